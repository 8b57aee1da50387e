package quartzspan.replication.simulation;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.Ballot;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.ReplicaStore;
import quartzspan.replication.View;
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

        void answered(long ticket, FleetException refusal, ControlState state);

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
        replica = new Replica(self, seeds, losses, found, kept, seed, now, new Replica.Out() {
            @Override
            public void send(String to, ReplicaMessage message) {
                host.send(to, message);
            }

            @Override
            public void persist(long number, byte[] record) {
                host.persist(number, record);
            }

            @Override
            public void done(long ticket, FleetException why, ControlState state) {
                host.answered(ticket, why, state);
            }

            @Override
            public void committed(long index, ControlState state, ChangeHistory history) {
                host.committed(new Position(index), state);
            }
        });
    }

    /** Writes a record to the disk; whether the disk took it. */
    boolean keep(byte[] record) {
        return store.keep(record);
    }

    void tick(long now) {
        replica.onTick(now);
    }

    void message(long now, String from, Object message) {
        replica.onMessage(now, from, (ReplicaMessage) message);
    }

    static String describe(Object message) {
        ReplicaMessage m = (ReplicaMessage) message;
        return m.kind() + " " + m.ballot().text() + " copy " + m.copyBallot().text() + " at " + m.index() + " promised "
                + m.promised().text() + (m.ok() ? " ok" : "") + (m.blank() ? " blank" : "") + " generation "
                + m.generation() + " nonce " + m.nonce() + " view [" + m.view().text() + "]";
    }

    void persisted(long now, long number, boolean ok) {
        replica.onPersisted(now, number, ok);
    }

    void change(long now, long ticket, Change change) {
        replica.change(now, ticket, change);
    }

    void read(long now, long ticket) {
        replica.confirm(now, ticket);
    }

    /** SIGTERM: the machine is to end soon. */
    void leave(long now) {
        replica.leave(now);
    }

    /** Whether the process may end after {@link #leave}. */
    boolean left(long now) {
        return replica.left(now);
    }

    boolean primary() {
        return replica.primary();
    }

    String leader(long now) {
        return replica.leader(now);
    }

    String role() {
        return replica.role();
    }

    boolean blank() {
        return replica.blank();
    }

    /** The ballot of the view known here. */
    String ballot() {
        return replica.view().ballot().text();
    }

    /** The order of ballots as {@link #ballot} gives them. */
    static int compareBallots(String one, String other) {
        return Ballot.parse(one).compareTo(Ballot.parse(other));
    }

    /** Primary, copies and voters of the view known here. */
    String view() {
        View view = replica.view();
        return view.primary() + " copies " + view.copies() + " voters " + view.voters();
    }

    /** Identifies the view known here: another view is another object. */
    Object viewObject() {
        return replica.view();
    }

    /** Whether a change of voters is under way. */
    boolean changingVoters() {
        return replica.view().joint();
    }

    List<String> copies() {
        return replica.view().copies();
    }

    List<String> voters() {
        return replica.view().voters();
    }

    Position copyPosition() {
        return new Position(replica.copyIndex());
    }

    ControlState inForce() {
        return replica.state();
    }

    String describe() {
        return role() + " promised " + replica.promised().text() + " view ["
                + replica.view().text() + "] copy " + replica.copyBallot().text() + " at " + replica.copyIndex();
    }
}
