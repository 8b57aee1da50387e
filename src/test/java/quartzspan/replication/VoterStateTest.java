package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.VoterState.DiskIncarnation;

/** What a replica remembers of its promises, in memory and on disk. */
class VoterStateTest {
    private static final Epoch LOW = new Epoch(1, "a", 1);
    private static final Epoch HIGH = new Epoch(2, "b", 1);
    private static final List<String> VOTERS = List.of("a", "b", "c");

    private final RecordingOutput output = new RecordingOutput();
    private final DiskQueue disk = new DiskQueue(output);
    private final VoterState voter = new VoterState(disk);

    private static Membership membership(Epoch epoch, List<String> previousVoters) {
        return new Membership(epoch, "a", List.of("a", "b"), VOTERS, previousVoters);
    }

    private VoterState restored() {
        VoterState other = new VoterState(disk);
        other.restore(output.records().get(output.records().size() - 1));
        return other;
    }

    private static void assertDamaged(String record) {
        VoterState voter = new VoterState(new DiskQueue(new RecordingOutput()));
        FleetException damage = assertThrows(
                FleetException.class, () -> voter.restore(record.getBytes(StandardCharsets.UTF_8)), record);
        assertEquals(FleetException.Code.STORE_DAMAGED, damage.code());
    }

    @Test
    void promiseOnlyRises() {
        voter.promise(HIGH);
        voter.promise(LOW);
        assertEquals(HIGH, voter.promisedEpoch());
        assertEquals(HIGH, Epoch.max(LOW, HIGH));
        assertEquals(HIGH, Epoch.max(HIGH, LOW));
    }

    @Test
    void membershipIsReplacedByALaterOneOrItsCommittedForm() {
        Membership joint = membership(HIGH, List.of("a", "b", "d"));
        voter.adoptIfNewer(joint);
        voter.adoptIfNewer(membership(LOW, List.of()));
        assertSame(joint, voter.membership());
        assertFalse(joint.supersedes(joint.committed()));
        assertFalse(joint.supersedes(joint));
        assertFalse(joint.committed().supersedes(joint.committed()));
        voter.adoptIfNewer(joint.committed());
        assertFalse(voter.membership().isJoint());
        assertSame(voter.membership(), voter.membership().committed());
    }

    @Test
    void reportedAsDurableOnceWritten() {
        voter.promise(LOW);
        voter.adoptIfNewer(membership(LOW, List.of()));
        voter.persist(0, durable -> {});
        voter.promise(HIGH);
        assertEquals(Epoch.NONE, voter.durablePromisedEpoch());
        assertEquals(Membership.NONE, voter.durableMembership());
        disk.onPersisted(0, 1, true);
        assertEquals(LOW, voter.durablePromisedEpoch(), "as it was when the write began");
        assertEquals(LOW, voter.durableMembership().epoch());
        voter.persist(0, durable -> assertFalse(durable));
        disk.onPersisted(0, 2, false);
        assertEquals(LOW, voter.durablePromisedEpoch(), "the write failed");
    }

    @Test
    void generationOfADiskIsRecordedIfItIsNewOrTheSame() {
        assertTrue(voter.recordIncarnation("b", new DiskIncarnation(1, 5)));
        assertTrue(voter.recordIncarnation("b", new DiskIncarnation(1, 5)), "the same request again");
        assertFalse(voter.recordIncarnation("b", new DiskIncarnation(1, 6)), "another incarnation");
        assertTrue(voter.recordIncarnation("b", new DiskIncarnation(2, 6)));
        assertFalse(voter.recordIncarnation("b", new DiskIncarnation(1, 5)));
        assertEquals(Map.of("b", 2L), voter.generations());
    }

    @Test
    void recordIsRestored() {
        voter.promise(HIGH);
        voter.adoptIfNewer(membership(LOW, List.of("a", "b", "d")));
        voter.beginIncarnation(new DiskIncarnation(3, 8));
        voter.recordIncarnation("b", new DiskIncarnation(2, 6));
        voter.recordIncarnation("c", new DiskIncarnation(4, 7));
        voter.persist(0, durable -> {});
        VoterState restored = restored();
        assertEquals(HIGH, restored.promisedEpoch());
        assertEquals(HIGH, restored.durablePromisedEpoch());
        assertEquals(voter.membership(), restored.membership());
        assertEquals(voter.membership(), restored.durableMembership());
        assertEquals(3, restored.generation());
        assertEquals(8, restored.incarnationNonce());
        assertEquals(Map.of("b", 2L, "c", 4L), restored.generations());
        assertFalse(restored.recordIncarnation("c", new DiskIncarnation(4, 8)), "nonces are included");
        assertFalse(restored.isRecovering());
    }

    @Test
    void laterRecordReplacesAnEarlierOne() {
        voter.persist(0, durable -> {});
        VoterState other = new VoterState(disk);
        other.recordIncarnation("b", new DiskIncarnation(2, 6));
        other.restore(output.records().get(0));
        assertEquals(Map.of(), other.generations());
    }

    @Test
    void clearedStateKnowsNothing() {
        voter.promise(HIGH);
        voter.recordIncarnation("b", new DiskIncarnation(2, 6));
        voter.setRecovering(true);
        voter.clear();
        assertEquals(Epoch.NONE, voter.promisedEpoch());
        assertEquals(Map.of(), voter.generations());
        assertTrue(voter.isRecovering());
    }

    @Test
    void damagedRecordIsRejected() {
        String membership = Membership.NONE.text();
        assertDamaged("V\n-1//0\n" + membership + "\n0/0");
        assertDamaged("V\n-1//0\n" + membership + "\n0/0\n\n");
        assertDamaged("V\nx\n" + membership + "\n0/0\n");
        assertDamaged("V\n-1//0\n;;;\n0/0\n");
    }

    @Test
    void malformedTextsAreNoEpochAndNoMembership() {
        assertNull(Epoch.parse("1/a"));
        assertNull(Epoch.parse("1/a/2/3"));
        assertNull(Epoch.parse("one/a/2"));
        assertEquals(LOW, Epoch.parse(LOW.text()));
        assertNull(Membership.parse("1/a/1;a;a,b;a,b,c"));
        assertNull(Membership.parse("1/a/1;a;a,b;a,b,c;;"));
        assertNull(Membership.parse("x;a;a,b;a,b,c;"));
        Membership joint = membership(LOW, List.of("a", "b", "d"));
        assertEquals(joint, Membership.parse(joint.text()));
        assertEquals(Membership.NONE, Membership.parse(Membership.NONE.text()));
    }
}
