package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/** Each guard of the protocol by itself, at one machine: what chance seldom brings about is brought about here. */
class ReplicaGuardsTest {
    private static final String A = "10.0.0.1:7";
    private static final String B = "10.0.0.2:7";
    private static final String C = "10.0.0.3:7";
    private static final List<String> ALL = List.of(A, B, C);

    private record Sent(String to, ReplicaMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<long[]> persisting = new ArrayList<>();
    private final List<byte[]> disk = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Replica replica;
    private long now = 100_000;

    private Replica start(String self, boolean found) {
        replica = new Replica(self, ALL, 1, found, List.copyOf(disk), 5, now, new Replica.Out() {
            @Override
            public void send(String to, ReplicaMessage message) {
                sent.add(new Sent(to, message));
            }

            @Override
            public void persist(long seq, byte[] record) {
                persisting.add(new long[] {seq});
                disk.add(record);
            }

            @Override
            public void done(long ticket, FleetException why, ControlState state) {
                answers.add(ticket + (why == null ? " yes" : " " + why.code()));
            }

            @Override
            public void committed(long epoch, long index, ControlState state) {
                answers.add("in force " + epoch + "/" + index);
            }
        });
        sync();
        return replica;
    }

    private void sync() {
        while (!persisting.isEmpty()) {
            replica.onPersisted(now, persisting.remove(0)[0], true);
        }
    }

    private ReplicaMessage last(Kind kind) {
        ReplicaMessage found = null;
        for (Sent s : sent) {
            found = s.message().kind() == kind ? s.message() : found;
        }
        return found;
    }

    private void ask(String from, long epoch) {
        replica.onMessage(now, from, ReplicaMessage.of(Kind.VOTE, epoch, View.NONE));
        sync();
    }

    private static View view(long epoch, String primary, String backup) {
        return new View(epoch, primary, List.of(primary, backup), ALL);
    }

    @Test
    void aBackupTakesNothingOfAnEpochBelowItsPromise() {
        start(B, true);
        now += 5_000;
        ask(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).ok());
        replica.onMessage(now, A, ReplicaMessage.of(Kind.COPY, 3, View.NONE).body(3, 9, ControlState.EMPTY.bytes()));
        sync();
        assertFalse(last(Kind.COPY_REPLY).ok());
        assertEquals(0, replica.copyEpoch());
    }

    @Test
    void aVoterPutsNoViewBelowItsPromiseIntoEffect() {
        start(B, true);
        now += 5_000;
        ask(C, 4);
        replica.onMessage(now, A, ReplicaMessage.of(Kind.ACCEPT, 3, view(3, A, B)));
        sync();
        assertFalse(last(Kind.ACCEPT_REPLY).ok());
        assertEquals(0, replica.view().epoch());
    }

    @Test
    void anEpochIsGrantedOnceAndTheGrantOutlivesTheProcess() {
        start(B, true);
        now += 5_000;
        ask(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).ok());
        ask(A, 4);
        assertFalse(last(Kind.VOTE_REPLY).ok(), "granted to another");
        ask(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).ok(), "the same question again");
        start(B, false);
        now += 5_000;
        ask(A, 4);
        assertFalse(last(Kind.VOTE_REPLY).ok(), "a new life keeps the promise");
        ask(A, 5);
        assertTrue(last(Kind.VOTE_REPLY).ok());
    }

    @Test
    void nothingIsGrantedBeforeItIsOnTheDisk() {
        start(B, true);
        now += 5_000;
        replica.onMessage(now, C, ReplicaMessage.of(Kind.VOTE, 4, View.NONE));
        assertEquals(null, last(Kind.VOTE_REPLY));
        replica.onPersisted(now, persisting.remove(0)[0], false);
        assertFalse(last(Kind.VOTE_REPLY).ok(), "the disk refused");
    }

    @Test
    void anEmptyDiskGrantsNothingUntilAllOthersThatMayKnowHaveSaid() {
        start(B, false);
        assertTrue(replica.blank());
        replica.onTick(now);
        now += 5_000;
        ask(C, 4);
        assertFalse(last(Kind.VOTE_REPLY).ok());
        replica.onMessage(
                now, A, ReplicaMessage.of(Kind.RECOVERY_REPLY, 0, view(2, A, B)).says(true, 6, false));
        sync();
        assertTrue(replica.blank(), "the third may have been granted more with our word");
        replica.onMessage(
                now, C, ReplicaMessage.of(Kind.RECOVERY_REPLY, 0, view(2, A, B)).says(true, 9, false));
        sync();
        assertFalse(replica.blank());
        assertEquals(9, replica.promised());
        now += 5_000;
        ask(C, 9);
        assertFalse(last(Kind.VOTE_REPLY).ok());
    }

    @Test
    void nobodyIsGrantedAnEpochWhileThePrimaryIsHeard() {
        start(C, true);
        now += 5_000;
        replica.onMessage(now, A, ReplicaMessage.of(Kind.ACCEPT, 1, view(1, A, B)));
        replica.onMessage(
                now, A, ReplicaMessage.of(Kind.HEARTBEAT, 1, view(1, A, B)).nonce(1));
        sync();
        ask(B, 2);
        assertFalse(last(Kind.VOTE_REPLY).ok());
        now += 600;
        ask(B, 2);
        assertTrue(last(Kind.VOTE_REPLY).ok());
    }

    /** Every step of a candidature waits for whom it must. */
    @Test
    void aPrimaryHasAMajorityAtEachStepAndItsBackupAtEachChange() {
        start(A, true);
        for (int i = 0; i < 60 && last(Kind.PRE_VOTE) == null; i++) {
            now += 50;
            replica.onTick(now);
        }
        assertEquals(null, last(Kind.VOTE), "sounded alone");
        replica.onMessage(
                now, B, ReplicaMessage.of(Kind.PRE_VOTE_REPLY, 1, view(0, A, B)).says(true, 0, false));
        sync();
        assertEquals(1, last(Kind.VOTE).epoch());
        assertEquals(null, last(Kind.COPY), "granted by itself alone");
        replica.onMessage(
                now,
                B,
                ReplicaMessage.of(Kind.VOTE_REPLY, 1, view(0, A, B))
                        .body(0, 0, new byte[0])
                        .says(true, 1, false));
        sync();
        assertEquals(1, last(Kind.COPY).epoch());
        assertEquals(null, last(Kind.ACCEPT), "no backup has it");
        replica.onMessage(
                now,
                B,
                ReplicaMessage.of(Kind.COPY_REPLY, 1, View.NONE)
                        .body(1, 1, new byte[0])
                        .says(true, 1, false));
        sync();
        assertEquals(List.of(A, B), last(Kind.ACCEPT).view().copies());
        assertFalse(replica.primary(), "accepted by itself alone");
        replica.onMessage(
                now, B, ReplicaMessage.of(Kind.ACCEPT_REPLY, 1, View.NONE).says(true, 1, false));
        assertTrue(replica.primary());
        answers.clear();
        replica.confirm(now, 7);
        assertEquals(List.of(), answers, "a read needs a majority's word");
        ReplicaMessage beat = last(Kind.HEARTBEAT);
        replica.onMessage(
                now,
                C,
                ReplicaMessage.of(Kind.HEARTBEAT_REPLY, 1, View.NONE)
                        .nonce(beat.nonce())
                        .says(true, 1, false));
        assertEquals(List.of("7 yes"), answers);
        replica.change(
                now, 8, new ControlState.Change(ControlState.Change.Kind.REPLACE, 0, SimulatedCluster.document(5)));
        sync();
        replica.onMessage(
                now,
                C,
                ReplicaMessage.of(Kind.COPY_REPLY, 1, View.NONE)
                        .body(1, 2, new byte[0])
                        .says(true, 1, false));
        assertEquals(1, answers.size(), "a witness is no backup");
        replica.onMessage(
                now,
                B,
                ReplicaMessage.of(Kind.COPY_REPLY, 1, View.NONE)
                        .body(1, 2, new byte[0])
                        .says(true, 1, false));
        assertEquals(List.of("7 yes", "in force 1/2", "8 yes"), answers);
        now += 800;
        replica.onTick(now);
        assertFalse(replica.primary(), "no majority for long: nobody's primary");
    }

    /** Found by the warm-up: with one voter its own word is a majority, and it deposed itself for want of others. */
    @Test
    void whereThereIsOneVoterItLeadsForGood() {
        replica = new Replica(A, List.of(A), 0, true, List.of(), 5, now, new Replica.Out() {
            @Override
            public void send(String to, ReplicaMessage message) {
                throw new AssertionError("to nobody");
            }

            @Override
            public void persist(long seq, byte[] record) {
                persisting.add(new long[] {seq});
            }

            @Override
            public void done(long ticket, FleetException why, ControlState state) {}

            @Override
            public void committed(long epoch, long index, ControlState state) {}
        });
        sync();
        for (int i = 0; i < 200; i++) {
            now += 50;
            replica.onTick(now);
            sync();
        }
        assertTrue(replica.primary());
        assertEquals(1, replica.view().epoch());
    }
}
