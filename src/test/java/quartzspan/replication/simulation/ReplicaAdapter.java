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
 * One process incarnation of a core machine: the replica and its store. No other class of the simulator refers to them, so
 * changes of their interfaces affect only this class.
 */
final class ReplicaAdapter {
    /** Receives the output of the replica. */
    interface Host {
        void send(String to, Object message);

        void persist(long number, byte[] record);

        void completed(long requestId, FleetException rejection, ControlState state);

        void committed(Position position, ControlState state);
    }

    /** The position of a state in the sequence of committed states. */
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

    /** Writes a record to the disk; returns whether the write succeeded. */
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
        return replicaMessage.kind() + " " + replicaMessage.epoch().text() + " log "
                + replicaMessage.logEpoch().text() + " at " + replicaMessage.logIndex() + " promised "
                + replicaMessage.promisedEpoch().text() + (replicaMessage.granted() ? " granted" : "")
                + (replicaMessage.recovering() ? " recovering" : "")
                + " generation "
                + replicaMessage.generation() + " nonce " + replicaMessage.nonce() + " membership ["
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

    /** Starts the handover that follows a SIGTERM. */
    void beginHandover(long nowMs) {
        replica.beginHandover(nowMs);
    }

    /** Whether the handover is complete, so that the process may exit. */
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

    /** The epoch of the membership known to this replica. */
    String epoch() {
        return replica.membership().epoch().text();
    }

    /** Compares epochs in the text form that {@link #epoch} returns. */
    static int compareEpochs(String first, String second) {
        return Epoch.parse(first).compareTo(Epoch.parse(second));
    }

    /** Primary, data replicas and voters of the membership known to this replica. */
    String membership() {
        Membership membership = replica.membership();
        return membership.primary() + " data replicas " + membership.dataReplicas() + " voters " + membership.voters();
    }

    /** Identifies the membership known to this replica: a different membership is a different object. */
    Object membershipObject() {
        return replica.membership();
    }

    /** Whether the membership is joint, with a change of voters in progress. */
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
        return role() + " promised " + replica.promisedEpoch().text() + " membership ["
                + replica.membership().text() + "] log " + replica.logEpoch().text() + " at " + replica.logIndex();
    }
}
