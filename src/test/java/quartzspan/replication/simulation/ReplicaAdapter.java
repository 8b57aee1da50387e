package quartzspan.replication.simulation;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.ReplicaStore;
import quartzspan.store.SlotStore;

/**
 * One life of a core machine's process: the replica and its store. The only class of the simulation that names them, so that
 * a change of their interface is followed here.
 */
final class ReplicaAdapter {
    /** Where the replica's decisions go. */
    interface Host {
        void send(String to, Object message);

        void persist(long number, byte[] record);

        void answered(long requestId, FleetException refusal, ControlState state);

        void committed(Position position, ControlState state);
    }

    /** The place of a state among all states that came in force. */
    record Position(long index) implements Comparable<Position> {
        @Override
        public int compareTo(Position other) {
            return Long.compare(index, other.index);
        }
    }

    private final ReplicaStore store;
    private final Replica replica;

    /** @throws FleetException if the store can't be read */
    ReplicaAdapter(
            String self,
            List<String> seeds,
            int losses,
            boolean found,
            SimulatedDisk disk,
            long seed,
            long now,
            Host host) {
        store = new ReplicaStore(new SlotStore(disk));
        List<byte[]> kept = store.open();
        replica = new Replica(self, seeds, losses, found, kept, seed, now, new Replica.Output() {
            @Override
            public void send(String to, ReplicaMessage message) {
                host.send(to, message);
            }

            @Override
            public void persist(long number, byte[] record) {
                host.persist(number, record);
            }

            @Override
            public void completed(long requestId, FleetException why, ControlState state) {
                host.answered(requestId, why, state);
            }

            @Override
            public void committed(long index, ControlState state, ChangeHistory history) {
                host.committed(new Position(index), state);
            }
        });
    }

    /** Writes a record to the disk; whether the disk took it. */
    boolean keep(byte[] record) {
        return store.persist(record);
    }

    void tick(long now) {
        replica.onTick(now);
    }

    void message(long now, String from, Object message) {
        replica.onMessage(now, from, (ReplicaMessage) message);
    }

    static String describe(Object message) {
        ReplicaMessage m = (ReplicaMessage) message;
        return m.kind() + " " + m.epoch().text() + " copy " + m.logEpoch().text() + " at " + m.logIndex() + " promised "
                + m.promisedEpoch().text() + (m.granted() ? " ok" : "") + (m.recovering() ? " blank" : "")
                + " generation "
                + m.generation() + " nonce " + m.nonce() + " view ["
                + m.membership().text() + "]";
    }

    void persisted(long now, long number, boolean ok) {
        replica.onPersisted(now, number, ok);
    }

    void submit(long now, long requestId, Change change) {
        replica.submit(now, requestId, change);
    }

    void read(long now, long requestId) {
        replica.read(now, requestId);
    }

    /** SIGTERM: the machine is to end soon. */
    void beginHandover(long now) {
        replica.beginHandover(now);
    }

    /** Whether the process may end after {@link #beginHandover}. */
    boolean isHandoverComplete(long now) {
        return replica.isHandoverComplete(now);
    }

    boolean isPrimary() {
        return replica.isPrimary();
    }

    String knownPrimary(long now) {
        return replica.knownPrimary(now);
    }

    String role() {
        return replica.role().statusName();
    }

    boolean isRecovering() {
        return replica.isRecovering();
    }

    /** The epoch of the view known here. */
    String epoch() {
        return replica.membership().epoch().text();
    }

    /** The order of epochs as {@link #epoch} gives them. */
    static int compareEpochs(String one, String other) {
        return Epoch.parse(one).compareTo(Epoch.parse(other));
    }

    /** Primary, copies and voters of the view known here. */
    String membership() {
        Membership membership = replica.membership();
        return membership.primary() + " copies " + membership.dataReplicas() + " voters " + membership.voters();
    }

    /** Identifies the view known here: another view is another object. */
    Object membershipObject() {
        return replica.membership();
    }

    /** Whether a change of voters is under way. */
    boolean changingVoters() {
        return replica.membership().isJoint();
    }

    List<String> dataReplicas() {
        return replica.membership().dataReplicas();
    }

    List<String> voters() {
        return replica.membership().voters();
    }

    Position copyPosition() {
        return new Position(replica.logIndex());
    }

    ControlState inForce() {
        return replica.state();
    }

    String describe() {
        return role() + " promised " + replica.promisedEpoch().text() + " view ["
                + replica.membership().text() + "] copy " + replica.logEpoch().text() + " at " + replica.logIndex();
    }
}
