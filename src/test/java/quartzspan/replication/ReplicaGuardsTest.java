package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ReplicaMessage.Kind;

/** Tests each safety check of the protocol in isolation at one replica, in situations that random scenarios seldom reach. */
class ReplicaGuardsTest {
    private static final String A = "10.0.0.1:7";
    private static final String B = "10.0.0.2:7";
    private static final String C = "10.0.0.3:7";
    private static final List<String> ALL = List.of(A, B, C);

    private final RecordingOutput output = new RecordingOutput();
    private Replica replica;
    private long nowMs = 100_000;

    private Replica start(String self, boolean bootstrap) {
        replica = new Replica(self, ALL, 1, bootstrap, List.copyOf(output.records()), 5, nowMs, output);
        sync();
        return replica;
    }

    private void sync() {
        finishWrites(true);
    }

    private void finishWrites(boolean durable) {
        while (!output.pendingWrites().isEmpty()) {
            replica.onPersisted(nowMs, output.pendingWrites().remove(), durable);
        }
    }

    private ReplicaMessage last(Kind kind) {
        return output.last(kind);
    }

    private static Epoch epoch(long number, String candidate) {
        return new Epoch(number, candidate, 1);
    }

    private void requestVote(String from, long number) {
        replica.onMessage(nowMs, from, ReplicaMessage.of(Kind.VOTE, epoch(number, from)));
        sync();
    }

    private static Membership membership(Epoch epoch, String primary, String backup) {
        return new Membership(epoch, primary, List.of(primary, backup), ALL, List.of());
    }

    private static ReplicaMessage snapshot(Epoch epoch, long index) {
        return ReplicaMessage.replicate(StateUpdate.ofSnapshot(epoch, index, ControlState.EMPTY), 0);
    }

    private static ReplicaMessage recoveryReply(long promised, Membership membership) {
        return ReplicaMessage.of(Kind.RECOVERY_REPLY, Epoch.NONE)
                .withGranted(true)
                .withMembership(membership)
                .withPromisedEpoch(epoch(promised, C), false);
    }

    @Test
    void backupRejectsEpochsBelowItsPromise() {
        start(B, true);
        nowMs += 5_000;
        requestVote(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).granted());
        replica.onMessage(nowMs, A, snapshot(epoch(3, A), 9));
        sync();
        assertFalse(last(Kind.REPLICATE_REPLY).granted());
        assertEquals(Epoch.INITIAL, replica.logEpoch());
    }

    @Test
    void voterRejectsMembershipsBelowItsPromise() {
        start(B, true);
        nowMs += 5_000;
        requestVote(C, 4);
        Epoch lower = epoch(3, A);
        replica.onMessage(nowMs, A, ReplicaMessage.of(Kind.ACCEPT, lower).withMembership(membership(lower, A, B)));
        sync();
        assertFalse(last(Kind.ACCEPT_REPLY).granted());
        assertEquals(Epoch.INITIAL, replica.membership().epoch());
    }

    @Test
    void epochNumberIsGrantedToOneCandidateAndTheVoteSurvivesARestart() {
        start(B, true);
        nowMs += 5_000;
        requestVote(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).granted());
        requestVote(A, 4);
        assertFalse(last(Kind.VOTE_REPLY).granted(), "granted to another candidate");
        requestVote(C, 4);
        assertTrue(last(Kind.VOTE_REPLY).granted(), "the same vote request again");
        start(B, false);
        nowMs += 5_000;
        requestVote(A, 4);
        assertFalse(last(Kind.VOTE_REPLY).granted(), "the promise survives a restart");
        requestVote(A, 5);
        assertTrue(last(Kind.VOTE_REPLY).granted());
    }

    /** Two candidates with the same epoch number: a voter that granted the higher one rejects everything from the lower one. */
    @Test
    void membershipOfTheSameNumberByALowerCandidateIsRejected() {
        start(B, true);
        nowMs += 5_000;
        requestVote(C, 6);
        Epoch sameNumber = epoch(6, A);
        replica.onMessage(
                nowMs, A, ReplicaMessage.of(Kind.ACCEPT, sameNumber).withMembership(membership(sameNumber, A, B)));
        sync();
        assertFalse(last(Kind.ACCEPT_REPLY).granted(), "granted to another candidate");
        replica.onMessage(nowMs, A, snapshot(sameNumber, 9));
        sync();
        assertFalse(last(Kind.REPLICATE_REPLY).granted(), "granted to another candidate");
    }

    @Test
    void voteIsGrantedOnlyOnceDurable() {
        start(B, true);
        nowMs += 5_000;
        replica.onMessage(nowMs, C, ReplicaMessage.of(Kind.VOTE, epoch(4, C)));
        assertEquals(null, last(Kind.VOTE_REPLY));
        finishWrites(false);
        assertFalse(last(Kind.VOTE_REPLY).granted(), "the disk write failed");
    }

    /** A membership that is not yet durable may be lost in a crash, so it is not reported. */
    @Test
    void membershipIsReportedOnlyOnceDurable() {
        start(B, true);
        nowMs += 5_000;
        Epoch accepted = epoch(4, C);
        replica.onMessage(
                nowMs, C, ReplicaMessage.of(Kind.ACCEPT, accepted).withMembership(membership(accepted, C, B)));
        replica.onMessage(nowMs, A, ReplicaMessage.of(Kind.PRE_VOTE, epoch(5, A)));
        assertEquals(Epoch.INITIAL, last(Kind.PRE_VOTE_REPLY).membership().epoch());
        sync();
        replica.onMessage(nowMs, A, ReplicaMessage.of(Kind.PRE_VOTE, epoch(5, A)));
        assertEquals(accepted, last(Kind.PRE_VOTE_REPLY).membership().epoch());
    }

    @Test
    void recoveringReplicaGrantsNothingUntilEnoughOthersHaveReplied() {
        start(B, false);
        assertTrue(replica.isRecovering());
        replica.onTick(nowMs);
        ReplicaMessage request = last(Kind.RECOVERY);
        nowMs += 5_000;
        requestVote(C, 4);
        assertFalse(last(Kind.VOTE_REPLY).granted());
        Membership known = membership(epoch(2, A), A, B);
        ReplicaMessage reply =
                recoveryReply(6, known).withNonce(request.nonce()).withGenerations(Map.of(B, request.generation()));
        replica.onMessage(nowMs, A, reply);
        sync();
        assertTrue(
                replica.isRecovering(),
                "the third voter may have been promised a higher epoch together with the lost vote");
        replica.onMessage(nowMs, C, reply.withPromisedEpoch(epoch(9, C), false));
        sync();
        assertFalse(replica.isRecovering());
        assertEquals(epoch(9, C), replica.promisedEpoch());
        nowMs += 5_000;
        requestVote(A, 9);
        assertFalse(last(Kind.VOTE_REPLY).granted());
    }

    /** The disk is lost twice: a reply to the previous incarnation's recovery request must not count for this one. */
    @Test
    void recoveryReplyToAnEarlierIncarnationDoesNotCount() {
        start(B, false);
        replica.onTick(nowMs);
        ReplicaMessage request = last(Kind.RECOVERY);
        Membership known = membership(epoch(2, A), A, B);
        ReplicaMessage stale =
                recoveryReply(6, known).withNonce(request.nonce() + 1).withGenerations(Map.of(B, request.generation()));
        replica.onMessage(nowMs, A, stale);
        replica.onMessage(nowMs, C, stale);
        assertTrue(replica.isRecovering());
        ReplicaMessage generationInUse = stale.withNonce(request.nonce()).withGranted(false);
        replica.onMessage(nowMs, A, generationInUse);
        nowMs += 1_000;
        replica.onTick(nowMs);
        assertEquals(
                request.generation() + 1,
                last(Kind.RECOVERY).generation(),
                "an earlier incarnation has used that generation");
    }

    @Test
    void generationIsRecordedDurablyBeforeTheReply() {
        start(A, true);
        ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                .withPromisedEpoch(Epoch.NONE, true)
                .withGeneration(1)
                .withNonce(77);
        replica.onMessage(nowMs, B, request);
        assertEquals(null, last(Kind.RECOVERY_REPLY));
        sync();
        assertTrue(last(Kind.RECOVERY_REPLY).granted());
        replica.onMessage(nowMs, B, request.withNonce(78));
        sync();
        assertFalse(last(Kind.RECOVERY_REPLY).granted(), "another incarnation has that generation");
        start(A, false);
        replica.onMessage(nowMs, B, request.withNonce(78));
        sync();
        assertFalse(last(Kind.RECOVERY_REPLY).granted(), "the recorded generation survives a restart");
    }

    @Test
    void updateForAnotherGenerationIsRejected() {
        start(B, true);
        nowMs += 5_000;
        ReplicaMessage updateForAnotherGeneration =
                ReplicaMessage.replicate(StateUpdate.ofSnapshot(epoch(3, A), 9, ControlState.EMPTY), 1);
        replica.onMessage(nowMs, A, updateForAnotherGeneration);
        sync();
        assertFalse(last(Kind.REPLICATE_REPLY).granted());
        assertEquals(Epoch.INITIAL, replica.logEpoch());
    }

    @Test
    void entriesThatFollowAnotherStateAreRejected() {
        start(B, true);
        nowMs += 5_000;
        Epoch epoch = epoch(3, A);
        ChangeHistory.Entry disconnectedEntry = new ChangeHistory.Entry(8, epoch, null);
        replica.onMessage(
                nowMs, A, ReplicaMessage.replicate(StateUpdate.ofEntries(epoch, 7, List.of(disconnectedEntry)), 0));
        sync();
        assertFalse(last(Kind.REPLICATE_REPLY).granted());
        ChangeHistory.Entry followingEntry = new ChangeHistory.Entry(1, epoch, null);
        replica.onMessage(
                nowMs,
                A,
                ReplicaMessage.replicate(StateUpdate.ofEntries(Epoch.INITIAL, 0, List.of(followingEntry)), 0));
        sync();
        assertTrue(last(Kind.REPLICATE_REPLY).granted());
        assertEquals(1, replica.logIndex());
    }

    @Test
    void updateIsAcknowledgedOnlyOnceDurable() {
        start(B, true);
        nowMs += 5_000;
        replica.onMessage(nowMs, A, snapshot(epoch(3, A), 9));
        assertEquals(null, last(Kind.REPLICATE_REPLY));
        finishWrites(false);
        assertEquals(null, last(Kind.REPLICATE_REPLY), "the disk write failed");
        replica.onMessage(nowMs, A, snapshot(epoch(3, A), 9));
        sync();
        assertTrue(last(Kind.REPLICATE_REPLY).granted());
    }

    /** Data replicas of the latest membership hold all changes acknowledged under it; an older replica may lack some. */
    @Test
    void replicaWithoutTheLatestMembershipIsNotAStateSource() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        replica.onMessage(
                nowMs,
                C,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, last(Kind.PRE_VOTE).epoch())
                        .withGranted(true));
        sync();
        Epoch epoch = last(Kind.VOTE).epoch();
        Epoch newer = new Epoch(0, B, 1);
        replica.onMessage(nowMs, C, vote(epoch, membership(newer, B, A), Epoch.NONE, -1));
        sync();
        assertEquals(null, last(Kind.REPLICATE), "its own state is older than that membership");
        replica.onMessage(nowMs, B, vote(epoch, membership(newer, B, A), newer, 4));
        sync();
        assertEquals(ReplicaRole.CANDIDATE, replica.role());
        assertEquals(List.of(B), output.receivers(Kind.FETCH));
    }

    @Test
    void noVoteIsGrantedWhilePrimaryHeartbeatsArrive() {
        start(C, true);
        nowMs += 5_000;
        Epoch first = epoch(1, A);
        replica.onMessage(nowMs, A, ReplicaMessage.of(Kind.ACCEPT, first).withMembership(membership(first, A, B)));
        replica.onMessage(
                nowMs,
                A,
                ReplicaMessage.of(Kind.HEARTBEAT, first)
                        .withMembership(membership(first, A, B))
                        .withNonce(1));
        sync();
        requestVote(B, 2);
        assertFalse(last(Kind.VOTE_REPLY).granted());
        nowMs += 600;
        requestVote(B, 2);
        assertTrue(last(Kind.VOTE_REPLY).granted());
    }

    private ReplicaMessage vote(Epoch epoch, Membership membership, Epoch logEpoch, long index) {
        return ReplicaMessage.of(Kind.VOTE_REPLY, epoch)
                .withGranted(true)
                .withMembership(membership)
                .withLogPosition(logEpoch, index)
                .withPromisedEpoch(epoch, false);
    }

    private void tickUntil(Kind kind) {
        for (int i = 0; i < 60 && last(kind) == null; i++) {
            nowMs += 50;
            replica.onTick(nowMs);
        }
    }

    /** A joint membership needs majorities of both voter sets: the new voters alone may not know of the old primary. */
    @Test
    void jointMembershipNeedsMajoritiesOfBothVoterSets() {
        String d = "10.0.0.4:7";
        start(A, true);
        Epoch joint = epoch(1, C);
        Membership jointMembership = new Membership(joint, C, List.of(C, A), List.of(A, C, d), ALL);
        replica.onMessage(nowMs, C, snapshot(joint, 4));
        replica.onMessage(nowMs, C, ReplicaMessage.of(Kind.ACCEPT, joint).withMembership(jointMembership));
        sync();
        output.clearSent();
        tickUntil(Kind.PRE_VOTE);
        Epoch preVoteEpoch = last(Kind.PRE_VOTE).epoch();
        ReplicaMessage granted =
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, preVoteEpoch).withGranted(true);
        replica.onMessage(nowMs, d, granted);
        sync();
        assertEquals(null, last(Kind.VOTE), "a majority of the new voters only");
        replica.onMessage(nowMs, B, granted);
        sync();
        Epoch epoch = last(Kind.VOTE).epoch();
        replica.onMessage(nowMs, d, vote(epoch, Membership.NONE, Epoch.NONE, -1));
        sync();
        assertEquals(null, last(Kind.REPLICATE), "a majority of the new voters only");
        replica.onMessage(nowMs, B, vote(epoch, Membership.NONE, Epoch.INITIAL, 0));
        sync();
        ReplicaMessage replicateMessage = last(Kind.REPLICATE);
        replica.onMessage(
                nowMs,
                d,
                ReplicaMessage.of(Kind.REPLICATE_REPLY, epoch)
                        .withGranted(true)
                        .withLogPosition(epoch, replicateMessage.logIndex()));
        sync();
        Membership nextMembership = last(Kind.ACCEPT).membership();
        assertEquals(List.of(A, C, d), nextMembership.voters(), "the change of voters is completed");
        assertEquals(ALL, nextMembership.previousVoters());
        replica.onMessage(nowMs, d, ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true));
        assertFalse(replica.isPrimary(), "a majority of the new voters only");
        replica.onMessage(nowMs, B, ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true));
        sync();
        assertTrue(replica.isPrimary());
        assertEquals(
                List.of(), replica.membership().previousVoters(), "accepted, so the old voters are no longer needed");
    }

    /** The others removed this replica while it was disconnected: it must not become primary although they grant pre-votes. */
    @Test
    void removedVoterAbandonsItsElection() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        Epoch newer = epoch(3, B);
        Membership withoutSelf = new Membership(newer, B, List.of(B, C), List.of(B, C, "10.0.0.4:7"), List.of());
        Epoch preVoteEpoch = last(Kind.PRE_VOTE).epoch();
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, preVoteEpoch)
                        .withGranted(true)
                        .withMembership(withoutSelf));
        replica.onMessage(
                nowMs,
                C,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, preVoteEpoch)
                        .withGranted(true)
                        .withMembership(withoutSelf));
        sync();
        assertEquals(null, last(Kind.VOTE));
        assertEquals(ReplicaRole.STANDBY, replica.role());
    }

    /** A vote sent before the voter lost its disk does not count once the candidate knows of the loss. */
    @Test
    void voteFromBeforeADiskLossDoesNotCount() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        replica.onMessage(
                nowMs,
                C,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, last(Kind.PRE_VOTE).epoch())
                        .withGranted(true));
        sync();
        Epoch epoch = last(Kind.VOTE).epoch();
        Membership initialMembership = replica.membership();
        replica.onMessage(
                nowMs, B, vote(epoch, initialMembership, Epoch.INITIAL, 0).withGranted(false));
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                        .withPromisedEpoch(Epoch.NONE, true)
                        .withGeneration(1)
                        .withNonce(5));
        sync();
        replica.onMessage(nowMs, B, vote(epoch, initialMembership, Epoch.INITIAL, 0));
        sync();
        assertEquals(null, last(Kind.REPLICATE), "the voter has lost its disk since");
        replica.onMessage(
                nowMs, B, vote(epoch, initialMembership, Epoch.INITIAL, 0).withGeneration(1));
        sync();
        assertEquals(epoch, last(Kind.REPLICATE).epoch());
    }

    /**
     * A late vote reports a membership accepted before that vote: changes acknowledged under it may be missing from the state
     * that the candidate has adopted.
     */
    @Test
    void newerMembershipInALateVoteEndsTheElection() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, last(Kind.PRE_VOTE).epoch())
                        .withGranted(true));
        sync();
        Epoch epoch = last(Kind.VOTE).epoch();
        replica.onMessage(nowMs, B, vote(epoch, replica.membership(), Epoch.INITIAL, 0));
        sync();
        assertEquals(ReplicaRole.CANDIDATE, replica.role());
        Epoch lowerEpoch = new Epoch(epoch.number(), "10.0.0.0:7", 1);
        replica.onMessage(nowMs, C, vote(epoch, membership(lowerEpoch, C, B), lowerEpoch, 5));
        assertEquals(ReplicaRole.WITNESS, replica.role());
    }

    /** Each step of an election waits for its quorum; a change waits for all backups. */
    @Test
    void electionNeedsAQuorumAtEachStepAndAChangeNeedsAllBackups() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        assertEquals(null, last(Kind.VOTE), "only its own pre-vote");
        Membership initialMembership = replica.membership();
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, last(Kind.PRE_VOTE).epoch())
                        .withGranted(true)
                        .withMembership(initialMembership));
        sync();
        Epoch epoch = last(Kind.VOTE).epoch();
        assertEquals(1, epoch.number());
        assertEquals(null, last(Kind.REPLICATE), "only its own vote");
        replica.onMessage(nowMs, B, vote(epoch, initialMembership, Epoch.INITIAL, 0));
        sync();
        assertEquals(epoch, last(Kind.REPLICATE).epoch());
        assertEquals(null, last(Kind.ACCEPT), "no backup has the state");
        ReplicaMessage replicated =
                ReplicaMessage.of(Kind.REPLICATE_REPLY, epoch).withGranted(true).withPromisedEpoch(epoch, false);
        replica.onMessage(nowMs, B, replicated.withLogPosition(epoch, 1));
        assertEquals(null, last(Kind.ACCEPT), "its own acceptance of the membership is not durable");
        nowMs += 300;
        replica.onTick(nowMs);
        assertEquals(null, last(Kind.ACCEPT), "still not durable when requests are resent");
        sync();
        assertEquals(List.of(A, B), last(Kind.ACCEPT).membership().dataReplicas());
        assertFalse(replica.isPrimary(), "accepted only by itself");
        ReplicaMessage accepted =
                ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true).withPromisedEpoch(epoch, false);
        replica.onMessage(nowMs, B, accepted);
        assertTrue(replica.isPrimary());
        output.results().clear();
        replica.read(nowMs, 7);
        assertEquals(List.of(), output.results(), "a read needs confirmation by a majority");
        ReplicaMessage heartbeat = last(Kind.HEARTBEAT);
        ReplicaMessage acknowledged = ReplicaMessage.of(Kind.HEARTBEAT_REPLY, epoch)
                .withGranted(true)
                .withPromisedEpoch(epoch, false)
                .withLogPosition(epoch, 1);
        replica.onMessage(nowMs, C, acknowledged.withNonce(heartbeat.nonce() - 1));
        assertEquals(List.of(), output.results(), "reply to a heartbeat sent before the read");
        replica.onMessage(nowMs, C, acknowledged.withNonce(heartbeat.nonce()));
        assertEquals(List.of("7 accepted"), output.results());
        replica.submit(nowMs, 8, new Change(Change.Kind.REPLACE, 0, SimulatedCluster.document(5)));
        sync();
        replica.onMessage(nowMs, C, replicated.withLogPosition(epoch, 2));
        assertEquals(1, output.results().size(), "a witness does not count as a backup");
        replica.onMessage(nowMs, B, replicated.withLogPosition(epoch, 2));
        assertEquals(List.of("7 accepted", "committed 2", "8 accepted"), output.results());
        nowMs += 800;
        replica.onTick(nowMs);
        assertFalse(replica.isPrimary(), "steps down after too long without a majority");
    }

    /** With one voter its own confirmation is a majority; in a local run such a primary stepped down for lack of peer replies. */
    @Test
    void singleVoterStaysPrimary() {
        replica = new Replica(A, List.of(A), 0, true, List.of(), 5, nowMs, output);
        sync();
        for (int i = 0; i < 200; i++) {
            nowMs += 50;
            replica.onTick(nowMs);
            sync();
        }
        assertTrue(replica.isPrimary());
        assertEquals(1, replica.membership().epoch().number());
        assertEquals(List.of(), output.sent());
    }

    @Test
    void voteReportsOnlyADurableMembership() {
        start(B, true);
        nowMs += 5_000;
        requestVote(C, 4);
        sync();
        Epoch accepted = last(Kind.VOTE_REPLY).epoch();
        replica.onMessage(
                nowMs, C, ReplicaMessage.of(Kind.ACCEPT, accepted).withMembership(membership(accepted, C, B)));
        requestVote(C, 4);
        assertEquals(Epoch.INITIAL, last(Kind.VOTE_REPLY).membership().epoch(), "the accepted one is not durable");
        sync();
        requestVote(C, 4);
        assertEquals(accepted, last(Kind.VOTE_REPLY).membership().epoch());
    }

    @Test
    void candidateAsksForVotesOnlyOnceItsOwnVoteIsDurable() {
        start(A, true);
        tickUntil(Kind.PRE_VOTE);
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.PRE_VOTE_REPLY, last(Kind.PRE_VOTE).epoch())
                        .withGranted(true)
                        .withMembership(replica.membership()));
        assertEquals(null, last(Kind.VOTE));
        sync();
        assertEquals(1, last(Kind.VOTE).epoch().number());
    }
}
