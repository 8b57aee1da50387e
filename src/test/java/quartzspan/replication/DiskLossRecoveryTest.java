package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ReplicaMessage.Kind;
import quartzspan.replication.VoterState.DiskIncarnation;

/** How many replies a replica without its disk needs, and which votes from before the loss no longer count. */
class DiskLossRecoveryTest {
    private static final long NONCE = 44;
    private static final Epoch EPOCH = new Epoch(3, "a", 1);
    private static final List<String> VOTERS = List.of("a", "b", "c", "d", "e");

    private final RecordingOutput output = new RecordingOutput();
    private final DiskQueue disk = new DiskQueue(output);
    private final VoterState voter = new VoterState(disk);

    private static Membership membership(List<String> voters, List<String> previousVoters) {
        return new Membership(EPOCH, "a", List.of("a", "b"), voters, previousVoters);
    }

    private static ReplicaMessage reply(Membership membership, long recordedGeneration, long promised) {
        return ReplicaMessage.of(Kind.RECOVERY_REPLY, Epoch.NONE)
                .withGranted(true)
                .withNonce(NONCE)
                .withMembership(membership)
                .withGenerations(Map.of("e", recordedGeneration))
                .withPromisedEpoch(new Epoch(promised, "a", 1), false);
    }

    private DiskLossRecovery begin(String self) {
        return new DiskLossRecovery(self, voter, NONCE);
    }

    @Test
    void requestHasANewGeneration() {
        ReplicaMessage request = begin("e").request();
        assertEquals(1, request.generation());
        assertEquals(NONCE, request.nonce());
        assertTrue(request.recovering());
    }

    @Test
    void voterNeedsRepliesThatIntersectEveryMajorityWithIt() {
        DiskLossRecovery recovery = begin("e");
        Membership membership = membership(VOTERS, List.of());
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertFalse(recovery.onReply("b", reply(membership, 1, 9)));
        assertFalse(recovery.onReply("b", reply(membership, 1, 9)), "the same replica again");
        assertFalse(recovery.onReply("x", reply(membership, 1, 4)), "no voter");
        assertEquals(Epoch.NONE, voter.promisedEpoch());
        assertTrue(recovery.onReply("c", reply(membership, 1, 5)));
        assertEquals(9, voter.promisedEpoch().number());
        assertEquals(EPOCH, voter.membership().epoch());
    }

    @Test
    void evenNumberOfVotersNeedsHalfOfThem() {
        DiskLossRecovery recovery = begin("e");
        Membership membership = membership(List.of("a", "b", "c", "e"), List.of());
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertTrue(recovery.onReply("b", reply(membership, 1, 4)), "each majority of 3 with it has one of these");
    }

    @Test
    void replicaWithoutAVoteNeedsAMajority() {
        DiskLossRecovery recovery = begin("e");
        Membership membership = membership(List.of("a", "b", "c", "d"), List.of());
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertFalse(recovery.onReply("b", reply(membership, 1, 4)));
        assertTrue(recovery.onReply("c", reply(membership, 1, 4)));
    }

    @Test
    void jointMembershipNeedsRepliesOfBothSets() {
        DiskLossRecovery recovery = begin("e");
        Membership joint = membership(List.of("a", "b", "e"), List.of("c", "d", "e"));
        assertFalse(recovery.onReply("a", reply(joint, 1, 4)));
        assertFalse(recovery.onReply("b", reply(joint, 1, 4)));
        assertFalse(recovery.onReply("c", reply(joint, 1, 4)));
        assertTrue(recovery.onReply("d", reply(joint, 1, 4)));
    }

    @Test
    void withoutAKnownMembershipNoReplySuffices() {
        assertFalse(begin("e").onReply("a", reply(Membership.NONE, 1, 4)));
    }

    @Test
    void replyThatRecordedAnotherGenerationDoesNotCount() {
        DiskLossRecovery recovery = begin("e");
        Membership membership = membership(List.of("a", "b", "e"), List.of());
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertFalse(recovery.onReply("b", reply(membership, 0, 4)));
        assertTrue(recovery.onReply("b", reply(membership, 1, 4)));
    }

    @Test
    void generationInUseIsReplacedByAHigherOneAndEarlierRepliesAreDropped() {
        DiskLossRecovery recovery = begin("e");
        Membership membership = membership(List.of("a", "b", "e"), List.of());
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertFalse(recovery.onReply("b", reply(membership, 0, 4).withGranted(false)));
        assertEquals(1, recovery.request().generation(), "a rejection that records a lower one");
        assertTrue(recovery.onReply("b", reply(membership, 1, 4)), "the first reply still counts");
        assertFalse(recovery.onReply("a", reply(membership, 1, 4)));
        assertFalse(recovery.onReply("b", reply(membership, 3, 4).withGranted(false)));
        assertEquals(4, recovery.request().generation());
        assertEquals(NONCE, recovery.request().nonce());
        assertFalse(recovery.onReply("b", reply(membership, 4, 4)), "the reply of a belongs to the earlier generation");
        assertTrue(recovery.onReply("a", reply(membership, 4, 4)));
    }

    private RecoveryResponder responder() {
        ReplicaContext context = new ReplicaContext("a", 1, 1, 2_000, output);
        ReplicaLog log = new ReplicaLog(disk);
        return new RecoveryResponder(context, voter, new PeerLiveness("a", 0), new ReplyFactory(voter, log));
    }

    @Test
    void standbyGetsTheMembership() {
        voter.adoptIfNewer(membership(VOTERS, List.of()));
        voter.persist(0, durable -> {});
        disk.onPersisted(0, output.pendingWrites().remove(), true);
        responder().onRequest("s", ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE));
        assertEquals(EPOCH, output.last(Kind.RECOVERY_REPLY, "s").membership().epoch());
        assertTrue(output.pendingWrites().isEmpty(), "nothing is recorded");
    }

    @Test
    void replicaThatRecoversItselfHelpsNobody() {
        voter.setRecovering(true);
        responder().onRequest("b", begin("b").request());
        responder().onRequest("s", ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE));
        assertEquals(List.of(), output.sent());
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void generationThatCouldNotBeRecordedGetsNoReply() {
        ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                .withPromisedEpoch(Epoch.NONE, true)
                .withGeneration(1)
                .withNonce(NONCE);
        responder().onRequest("b", request);
        disk.onPersisted(0, 1, false);
        assertNull(output.last(Kind.RECOVERY_REPLY));
        responder().onRequest("b", request);
        disk.onPersisted(0, 2, true);
        assertTrue(output.last(Kind.RECOVERY_REPLY).granted());
        assertEquals(NONCE, output.last(Kind.RECOVERY_REPLY).nonce());
        assertEquals(Map.of("b", 1L), output.last(Kind.RECOVERY_REPLY).generations());
    }

    @Test
    void voteFromBeforeALossKnownToAnotherVoterDoesNotCount() {
        ElectionReplies replies = new ElectionReplies(voter);
        ReplicaMessage granted = ReplicaMessage.of(Kind.VOTE_REPLY, EPOCH).withGranted(true);
        replies.put("b", granted);
        replies.put("c", granted.withGranted(false));
        assertEquals(List.of("b"), List.copyOf(replies.granting()));
        replies.put("d", granted.withGenerations(Map.of("b", 1L)));
        assertEquals(List.of("d"), List.copyOf(replies.granting()), "d knows that b has lost its disk since");
        replies.put("b", granted.withGeneration(1));
        assertEquals(List.of("b", "d"), List.copyOf(replies.granting()));
        voter.recordIncarnation("d", new DiskIncarnation(1, 1));
        assertEquals(List.of("b"), List.copyOf(replies.granting()), "this replica knows that d has lost its disk");
        assertTrue(replies.contains("c"));
        replies.clear();
        assertFalse(replies.contains("c"));
    }

    @Test
    void logPositionIsEpochIndexAndGeneration() {
        ReplicaMessage reply = ReplicaMessage.of(Kind.REPLICATE_REPLY, EPOCH).withLogPosition(EPOCH, 4);
        assertTrue(reply.hasSameLogPosition(reply.withNonce(9)));
        assertFalse(reply.hasSameLogPosition(reply.withLogPosition(EPOCH, 5)));
        assertFalse(reply.hasSameLogPosition(reply.withLogPosition(Epoch.INITIAL, 4)));
        assertFalse(reply.hasSameLogPosition(reply.withGeneration(1)));
    }
}
