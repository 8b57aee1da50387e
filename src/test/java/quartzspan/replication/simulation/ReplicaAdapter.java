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

        void completed(long requestId, FleetException rejection, ControlState state);

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
            List<String> seedNodes,
            int toleratedFailures,
            boolean bootstrap,
            SimulatedDisk disk,
            long randomSeed,
            long nowMs,
            Host host) {
        store = new ReplicaStore(new SlotStore(disk));
        List<byte[]> storedRecords = store.open();
        replica = new Replica(
                self, seedNodes, toleratedFailures, bootstrap, storedRecords, randomSeed, nowMs, new Replica.Output() {
                    @Override
                    public void send(String to, ReplicaMessage message) {
                        host.send(to, message);
                    }

                    @Override
                    public void persist(long number, byte[] record) {
                        host.persist(number, record);
                    }

                    @Override
                    public void completed(long requestId, FleetException rejection, ControlState state) {
                        host.completed(requestId, rejection, state);
                    }

                    @Override
                    public void committed(long index, ControlState state, ChangeHistory history) {
                        host.committed(new Position(index), state);
                    }
                });
    }

    /** Writes a record to the disk; whether the disk took it. */
    boolean persist(byte[] record) {
        return store.persist(record);
    }

    void tick(long nowMs) {
        replica.onTick(nowMs);
    }

    void onMessage(long nowMs, String from, Object message) {
        replica.onMessage(nowMs, from, (ReplicaMessage) message);
    }

    static String describe(Object message) {
        ReplicaMessage replicaMessage = (ReplicaMessage) message;
        return replicaMessage.kind() + " " + replicaMessage.epoch().text() + " copy "
                + replicaMessage.logEpoch().text() + " at " + replicaMessage.logIndex() + " promised "
                + replicaMessage.promisedEpoch().text() + (replicaMessage.granted() ? " ok" : "")
                + (replicaMessage.recovering() ? " blank" : "")
                + " generation "
                + replicaMessage.generation() + " nonce " + replicaMessage.nonce() + " view ["
                + replicaMessage.membership().text() + "]";
    }

    void onPersisted(long nowMs, long number, boolean persisted) {
        replica.onPersisted(nowMs, number, persisted);
    }

    void submit(long nowMs, long requestId, Change change) {
        replica.submit(nowMs, requestId, change);
    }

    void read(long nowMs, long requestId) {
        replica.read(nowMs, requestId);
    }

    /** SIGTERM: the machine is to end soon. */
    void beginHandover(long nowMs) {
        replica.beginHandover(nowMs);
    }

    /** Whether the process may end after {@link #beginHandover}. */
    boolean isHandoverComplete(long nowMs) {
        return replica.isHandoverComplete(nowMs);
    }

    boolean isPrimary() {
        return replica.isPrimary();
    }

    String knownPrimary(long nowMs) {
        return replica.knownPrimary(nowMs);
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
    static int compareEpochs(String first, String second) {
        return Epoch.parse(first).compareTo(Epoch.parse(second));
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
    boolean isChangingVoters() {
        return replica.membership().isJoint();
    }

    List<String> dataReplicas() {
        return replica.membership().dataReplicas();
    }

    List<String> voters() {
        return replica.membership().voters();
    }

    Position logPosition() {
        return new Position(replica.logIndex());
    }

    ControlState state() {
        return replica.state();
    }

    String describe() {
        return role() + " promised " + replica.promisedEpoch().text() + " view ["
                + replica.membership().text() + "] copy " + replica.logEpoch().text() + " at " + replica.logIndex();
    }
}
