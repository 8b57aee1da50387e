package quartzspan.docket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.docket.Letter.Kind;
import quartzspan.papers.Refusal;

/** Each guard of the protocol by itself, at one machine: what chance seldom brings about is brought about here. */
class DocketGuardsTest {
    private static final String A = "10.0.0.1:7";
    private static final String B = "10.0.0.2:7";
    private static final String C = "10.0.0.3:7";
    private static final List<String> ALL = List.of(A, B, C);

    private record Sent(String to, Letter letter) { }

    private final List<Sent> sent = new ArrayList<>();
    private final List<long[]> persisting = new ArrayList<>();
    private final List<byte[]> disk = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Docket docket;
    private long now = 100_000;

    private Docket start(String self, boolean found) {
        docket = new Docket(self, ALL, 1, found, List.copyOf(disk), 5, now, new Docket.Out() {
            @Override
            public void send(String to, Letter letter) {
                sent.add(new Sent(to, letter));
            }

            @Override
            public void persist(long seq, byte[] record) {
                persisting.add(new long[] {seq});
                disk.add(record);
            }

            @Override
            public void done(long ticket, Refusal why, Ledger ledger) {
                answers.add(ticket + (why == null ? " yes" : " " + why.code()));
            }

            @Override
            public void committed(long epoch, long index, Ledger ledger) {
                answers.add("in force " + epoch + "/" + index);
            }
        });
        sync();
        return docket;
    }

    private void sync() {
        while (!persisting.isEmpty()) {
            docket.onPersisted(now, persisting.remove(0)[0], true);
        }
    }

    private Letter last(Kind kind) {
        Letter found = null;
        for (Sent s : sent) {
            found = s.letter().kind() == kind ? s.letter() : found;
        }
        return found;
    }

    private void ask(String from, long epoch) {
        docket.onLetter(now, from, Letter.of(Kind.ASK, epoch, View.NONE));
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
        assertTrue(last(Kind.GRANTED).ok());
        docket.onLetter(now, A, Letter.of(Kind.COPY, 3, View.NONE).body(3, 9, Ledger.EMPTY.bytes()));
        sync();
        assertFalse(last(Kind.COPIED).ok());
        assertEquals(0, docket.copyEpoch());
    }

    @Test
    void aVoterPutsNoViewBelowItsPromiseIntoEffect() {
        start(B, true);
        now += 5_000;
        ask(C, 4);
        docket.onLetter(now, A, Letter.of(Kind.ACCEPT, 3, view(3, A, B)));
        sync();
        assertFalse(last(Kind.ACCEPTED).ok());
        assertEquals(0, docket.view().epoch());
    }

    @Test
    void anEpochIsGrantedOnceAndTheGrantOutlivesTheProcess() {
        start(B, true);
        now += 5_000;
        ask(C, 4);
        assertTrue(last(Kind.GRANTED).ok());
        ask(A, 4);
        assertFalse(last(Kind.GRANTED).ok(), "granted to another");
        ask(C, 4);
        assertTrue(last(Kind.GRANTED).ok(), "the same question again");
        start(B, false);
        now += 5_000;
        ask(A, 4);
        assertFalse(last(Kind.GRANTED).ok(), "a new life keeps the promise");
        ask(A, 5);
        assertTrue(last(Kind.GRANTED).ok());
    }

    @Test
    void nothingIsGrantedBeforeItIsOnTheDisk() {
        start(B, true);
        now += 5_000;
        docket.onLetter(now, C, Letter.of(Kind.ASK, 4, View.NONE));
        assertEquals(null, last(Kind.GRANTED));
        docket.onPersisted(now, persisting.remove(0)[0], false);
        assertFalse(last(Kind.GRANTED).ok(), "the disk refused");
    }

    @Test
    void anEmptyDiskGrantsNothingUntilAllOthersThatMayKnowHaveSaid() {
        start(B, false);
        assertTrue(docket.blank());
        docket.onTick(now);
        now += 5_000;
        ask(C, 4);
        assertFalse(last(Kind.GRANTED).ok());
        docket.onLetter(now, A, Letter.of(Kind.RECALLED, 0, view(2, A, B)).says(true, 6, false));
        sync();
        assertTrue(docket.blank(), "the third may have been granted more with our word");
        docket.onLetter(now, C, Letter.of(Kind.RECALLED, 0, view(2, A, B)).says(true, 9, false));
        sync();
        assertFalse(docket.blank());
        assertEquals(9, docket.promised());
        now += 5_000;
        ask(C, 9);
        assertFalse(last(Kind.GRANTED).ok());
    }

    @Test
    void nobodyIsGrantedAnEpochWhileThePrimaryIsHeard() {
        start(C, true);
        now += 5_000;
        docket.onLetter(now, A, Letter.of(Kind.ACCEPT, 1, view(1, A, B)));
        docket.onLetter(now, A, Letter.of(Kind.BEAT, 1, view(1, A, B)).nonce(1));
        sync();
        ask(B, 2);
        assertFalse(last(Kind.GRANTED).ok());
        now += 600;
        ask(B, 2);
        assertTrue(last(Kind.GRANTED).ok());
    }

    /** Every step of a candidature waits for whom it must. */
    @Test
    void aPrimaryHasAMajorityAtEachStepAndItsBackupAtEachChange() {
        start(A, true);
        for (int i = 0; i < 60 && last(Kind.SOUND) == null; i++) {
            now += 50;
            docket.onTick(now);
        }
        assertEquals(null, last(Kind.ASK), "sounded alone");
        docket.onLetter(now, B, Letter.of(Kind.SOUNDED, 1, view(0, A, B)).says(true, 0, false));
        sync();
        assertEquals(1, last(Kind.ASK).epoch());
        assertEquals(null, last(Kind.COPY), "granted by itself alone");
        docket.onLetter(now, B, Letter.of(Kind.GRANTED, 1, view(0, A, B)).body(0, 0, new byte[0]).says(true, 1, false));
        sync();
        assertEquals(1, last(Kind.COPY).epoch());
        assertEquals(null, last(Kind.ACCEPT), "no backup has it");
        docket.onLetter(now, B, Letter.of(Kind.COPIED, 1, View.NONE).body(1, 1, new byte[0]).says(true, 1, false));
        sync();
        assertEquals(List.of(A, B), last(Kind.ACCEPT).view().copies());
        assertFalse(docket.primary(), "accepted by itself alone");
        docket.onLetter(now, B, Letter.of(Kind.ACCEPTED, 1, View.NONE).says(true, 1, false));
        assertTrue(docket.primary());
        answers.clear();
        docket.confirm(now, 7);
        assertEquals(List.of(), answers, "a read needs a majority's word");
        Letter beat = last(Kind.BEAT);
        docket.onLetter(now, C, Letter.of(Kind.BEATEN, 1, View.NONE).nonce(beat.nonce()).says(true, 1, false));
        assertEquals(List.of("7 yes"), answers);
        docket.change(now, 8, new Ledger.Change(Ledger.Change.Kind.REPLACE, 0, World.document(5)));
        sync();
        docket.onLetter(now, C, Letter.of(Kind.COPIED, 1, View.NONE).body(1, 2, new byte[0]).says(true, 1, false));
        assertEquals(1, answers.size(), "a witness is no backup");
        docket.onLetter(now, B, Letter.of(Kind.COPIED, 1, View.NONE).body(1, 2, new byte[0]).says(true, 1, false));
        assertEquals(List.of("7 yes", "in force 1/2", "8 yes"), answers);
        now += 800;
        docket.onTick(now);
        assertFalse(docket.primary(), "no majority for long: nobody's primary");
    }

    /** Found by the rehearsal: with one voter its own word is a majority, and it deposed itself for want of others. */
    @Test
    void whereThereIsOneVoterItLeadsForGood() {
        docket = new Docket(A, List.of(A), 0, true, List.of(), 5, now, new Docket.Out() {
            @Override
            public void send(String to, Letter letter) {
                throw new AssertionError("to nobody");
            }

            @Override
            public void persist(long seq, byte[] record) {
                persisting.add(new long[] {seq});
            }

            @Override
            public void done(long ticket, Refusal why, Ledger ledger) { }

            @Override
            public void committed(long epoch, long index, Ledger ledger) { }
        });
        sync();
        for (int i = 0; i < 200; i++) {
            now += 50;
            docket.onTick(now);
            sync();
        }
        assertTrue(docket.primary());
        assertEquals(1, docket.view().epoch());
    }
}
