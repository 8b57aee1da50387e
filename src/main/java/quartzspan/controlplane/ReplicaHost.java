package quartzspan.controlplane;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.ReplicaRole;
import quartzspan.transport.Transport;

/**
 * Runs the replica of the control state: connects it to the network, to the disk, and to the requests
 * that wait for its result. All calls are made on the event loop.
 */
final class ReplicaHost implements ReplicaAccess {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaHost.class);

    /** Called with each committed state. */
    interface CommitListener {
        void onCommitted(long index, ControlState state);
    }

    private final EventLoop loop;
    private final LongSupplier clockMs;
    private final Transport transport;
    private final CommitListener listener;
    private final CoreDisk disk;
    private final PendingReplicaRequests pending = new PendingReplicaRequests();
    private final Replica replica;
    private ReplicaRole lastRole;

    /**
     * @param self internal address of this machine
     * @param seeds internal addresses of the initial core machines
     */
    ReplicaHost(
            Settings settings,
            String self,
            List<String> seeds,
            EventLoop loop,
            LongSupplier clockMs,
            Transport transport,
            CoreDisk disk,
            CommitListener listener) {
        this.loop = loop;
        this.clockMs = clockMs;
        this.transport = transport;
        this.disk = disk;
        this.listener = listener;
        this.replica = new Replica(
                self,
                seeds,
                settings.toleratedFailures(),
                settings.bootstrap() && !disk.isReplicaDiscarded(),
                disk.replicaRecords(),
                System.nanoTime(),
                clockMs.getAsLong(),
                new ReplicaOutput());
    }

    @Override
    public Replica replica() {
        return replica;
    }

    @Override
    public void submit(Change change, PendingReplicaRequests.Callback callback) {
        int bytes = change.body().length;
        FleetException rejection = pending.rejectionIfFull(bytes);
        if (rejection != null) {
            callback.onComplete(rejection, null);
        } else {
            replica.submit(clockMs.getAsLong(), pending.add(bytes, callback), change);
        }
    }

    /** Reads the latest control state; the callback receives it once a quorum has confirmed it. */
    void read(PendingReplicaRequests.Callback callback) {
        FleetException rejection = pending.rejectionIfFull(0);
        if (rejection != null) {
            callback.onComplete(rejection, null);
        } else {
            replica.read(clockMs.getAsLong(), pending.add(0, callback));
        }
    }

    /** Whether no request waits for its result. */
    boolean isIdle() {
        return pending.isEmpty();
    }

    void onTick(long now) {
        replica.onTick(now);
        ReplicaRole role = replica.role();
        if (role != lastRole) {
            lastRole = role;
            logRole(role);
        }
    }

    private void logRole(ReplicaRole role) {
        if (role != ReplicaRole.CANDIDATE) {
            LOG.info(
                    "role {}, promised epoch {}, membership {}",
                    role,
                    replica.promisedEpoch().text(),
                    replica.membership().text());
        }
    }

    private final class ReplicaOutput implements Replica.Output {
        @Override
        public void send(String to, ReplicaMessage message) {
            transport.send(to, message);
        }

        @Override
        public void persist(long recordNumber, byte[] record) {
            disk.persistReplicaRecord(
                    record,
                    durable -> loop.execute(() -> replica.onPersisted(clockMs.getAsLong(), recordNumber, durable)));
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            pending.complete(requestId, rejection, state);
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            listener.onCommitted(index, state);
        }
    }
}
