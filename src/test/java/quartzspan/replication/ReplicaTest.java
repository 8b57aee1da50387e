package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/** The transitions between the roles of a replica, and what its callers see. */
class ReplicaTest {
    private static final String A = "10.0.0.1:7";
    private static final String B = "10.0.0.2:7";
    private static final String C = "10.0.0.3:7";
    private static final String S = "10.0.0.9:7";
    private static final List<String> SEEDS = List.of(A, B, C);
    private static final long SETTLED_MS = 5_000;

    private final RecordingOutput output = new RecordingOutput();
    private Replica replica;
    private long nowMs = 100_000;

    private void start(String self, boolean bootstrap, List<byte[]> records) {
        replica = new Replica(self, SEEDS, 1, bootstrap, records, 5, nowMs, output);
    }

    private void bootstrap(String self) {
        start(self, true, List.of());
        finishWrites(true);
    }

    private void finishWrites(boolean durable) {
        while (!output.pendingWrites().isEmpty()) {
            replica.onPersisted(nowMs, output.pendingWrites().remove(), durable);
        }
    }

    private void receive(String from, ReplicaMessage message) {
        replica.onMessage(nowMs, from, message);
        finishWrites(true);
    }

    private void tickAfter(long ms) {
        nowMs += ms;
        replica.onTick(nowMs);
    }

    private void tickUntil(Kind kind) {
        for (int i = 0; i < 60 && output.last(kind) == null; i++) {
            tickAfter(50);
        }
        assertNotNull(output.last(kind));
    }

    private static Epoch epoch(long number, String candidate) {
        return new Epoch(number, candidate, 1);
    }

    private static Membership membership(Epoch epoch, String backup) {
        return new Membership(epoch, epoch.candidate(), List.of(epoch.candidate(), backup), SEEDS, List.of());
    }

    private static ReplicaMessage heartbeat(Membership membership) {
        return ReplicaMessage.of(Kind.HEARTBEAT, membership.epoch())
                .withMembership(membership)
                .withNonce(1);
    }

    private void becomeCandidate() {
        tickUntil(Kind.PRE_VOTE);
        receive(
                B,
                ReplicaMessage.of(
                                Kind.PRE_VOTE_REPLY, output.last(Kind.PRE_VOTE).epoch())
                        .withGranted(true));
        assertEquals(ReplicaRole.CANDIDATE, replica.role());
    }

    private void becomePrimary() {
        becomeCandidate();
        Epoch epoch = output.last(Kind.VOTE).epoch();
        ReplicaMessage vote = ReplicaMessage.of(Kind.VOTE_REPLY, epoch)
                .withGranted(true)
                .withMembership(replica.membership())
                .withLogPosition(Epoch.INITIAL, 0);
        receive(B, vote);
        receive(
                B,
                ReplicaMessage.of(Kind.REPLICATE_REPLY, epoch).withGranted(true).withLogPosition(epoch, 1));
        receive(B, ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true));
        assertEquals(ReplicaRole.PRIMARY, replica.role());
    }

    private ReplicaMessage heartbeatReply() {
        return ReplicaMessage.of(Kind.HEARTBEAT_REPLY, replica.membership().epoch())
                .withGranted(true)
                .withNonce(output.last(Kind.HEARTBEAT).nonce())
                .withLogPosition(replica.logEpoch(), replica.logIndex());
    }

    private static Change claim() {
        return new Change(Change.Kind.ROLLOUT_CLAIM, 0, "a".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void bootstrapCreatesTheSameMembershipOnEachSeed() {
        bootstrap(A);
        Membership initial = replica.membership();
        assertEquals(ReplicaRole.BACKUP, replica.role());
        assertEquals(0, replica.logIndex());
        bootstrap(C);
        assertEquals(initial, replica.membership());
        assertEquals(ReplicaRole.WITNESS, replica.role());
        assertEquals(-1, replica.logIndex(), "a witness holds no data");
        bootstrap(S);
        assertEquals(ReplicaRole.RECOVERING, replica.role(), "no seed");
        start(A, false, List.of());
        assertEquals(ReplicaRole.RECOVERING, replica.role(), "no bootstrap");
    }

    @Test
    void storedRecordsAreLoaded() {
        bootstrap(A);
        receive(C, heartbeat(membership(epoch(3, C), A)));
        StateUpdate update =
                StateUpdate.ofEntries(Epoch.INITIAL, 0, List.of(new ChangeHistory.Entry(1, epoch(3, C), claim())));
        receive(C, ReplicaMessage.replicate(update, 0));
        List<byte[]> records = new ArrayList<>(output.records());
        int written = output.records().size();
        start(A, true, records);
        assertEquals(written, output.records().size(), "nothing is initialized");
        assertEquals(epoch(3, C), replica.promisedEpoch());
        assertEquals(1, replica.logIndex());
        assertEquals(1, replica.state().fencingToken());
        assertEquals(ReplicaRole.BACKUP, replica.role());
    }

    @Test
    void damagedStoreIsTreatedAsALostDisk() {
        bootstrap(A);
        receive(C, heartbeat(membership(epoch(3, C), A)));
        List<byte[]> records = new ArrayList<>(output.records());
        records.add(new byte[] {VoterState.RECORD_TAG, 'x'});
        start(A, true, records);
        assertEquals(ReplicaRole.RECOVERING, replica.role());
        assertEquals(Epoch.NONE, replica.promisedEpoch());
        assertEquals(Membership.NONE, replica.membership());
        assertEquals(-1, replica.logIndex());
    }

    @Test
    void requestsAtOtherReplicasAreRejected() {
        bootstrap(B);
        replica.submit(nowMs, 7, claim());
        replica.read(nowMs, 8);
        assertEquals(2, output.completed().size());
        output.completed()
                .forEach(entry -> assertEquals(
                        FleetException.Code.NOT_PRIMARY, entry.rejection().code()));
        assertTrue(replica.confirmedAtMs() < 0);
    }

    @Test
    void primaryIsKnownWhileItIsHeard() {
        bootstrap(B);
        assertNull(replica.knownPrimary(nowMs + SETTLED_MS), "no heartbeat was received");
        nowMs += SETTLED_MS;
        Membership membership = membership(epoch(3, A), B);
        receive(A, heartbeat(membership));
        assertEquals(A, replica.knownPrimary(nowMs + Timing.QUORUM_TIMEOUT_MS - 1));
        assertNull(replica.knownPrimary(nowMs + Timing.QUORUM_TIMEOUT_MS));
    }

    @Test
    void standbyWithoutMembershipKnowsNoPrimary() {
        start(S, false, List.of());
        assertNull(replica.knownPrimary(nowMs));
    }

    @Test
    void formerPrimaryDoesNotNameItself() {
        bootstrap(A);
        becomePrimary();
        assertEquals(A, replica.knownPrimary(nowMs));
        assertTrue(replica.isPrimary());
        receive(C, ReplicaMessage.of(Kind.VOTE, epoch(9, C)).withGranted(true).withMembership(replica.membership()));
        assertFalse(replica.isPrimary());
        assertEquals(A, replica.membership().primary());
        assertNull(replica.knownPrimary(nowMs));
    }

    @Test
    void primaryReportsItsConfirmationAndCommittedState() {
        bootstrap(A);
        becomePrimary();
        receive(B, heartbeatReply());
        assertEquals(nowMs, replica.confirmedAtMs());
        replica.submit(nowMs, 7, claim());
        finishWrites(true);
        assertEquals(0, replica.state().fencingToken(), "the backup has not synced it");
        assertEquals(2, replica.logIndex());
        nowMs += 10;
        replica.read(nowMs, 8);
        receive(B, heartbeatReply());
        assertEquals(nowMs, replica.confirmedAtMs());
        assertEquals(1, output.completed().size());
    }

    @Test
    void timeOfACallIsUsed() {
        bootstrap(A);
        becomePrimary();
        receive(B, heartbeatReply());
        output.clearSent();
        nowMs += Timing.HEARTBEAT_MS;
        replica.submit(nowMs, 7, claim());
        nowMs += Timing.HEARTBEAT_MS - 1;
        replica.onTick(nowMs);
        assertEquals(1, output.receivers(Kind.REPLICATE).size(), "not resent: submitted less than an interval ago");
    }

    @Test
    void lateWriteIsCompletedAtItsTime() {
        bootstrap(A);
        becomeCandidate();
        Epoch epoch = output.last(Kind.VOTE).epoch();
        receive(
                B,
                ReplicaMessage.of(Kind.VOTE_REPLY, epoch)
                        .withGranted(true)
                        .withMembership(replica.membership())
                        .withLogPosition(Epoch.INITIAL, 0));
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(Kind.REPLICATE_REPLY, epoch).withGranted(true).withLogPosition(epoch, 1));
        replica.onMessage(nowMs, B, ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true));
        nowMs += 400;
        finishWrites(true);
        receive(B, ReplicaMessage.of(Kind.ACCEPT_REPLY, epoch).withGranted(true));
        assertTrue(replica.isPrimary());
        output.clearSent();
        tickAfter(Timing.HEARTBEAT_MS - 1);
        assertNull(output.last(Kind.HEARTBEAT), "its interval runs from the write's end");
    }

    @Test
    void backupThatHandsOverAnnouncesItAndWaitsForItsReplacement() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        receive(A, heartbeat(membership(epoch(3, A), B)));
        assertFalse(replica.isHandoverComplete(nowMs), "not begun");
        output.clearSent();
        replica.beginHandover(nowMs);
        assertEquals(List.of(A, C), output.receivers(Kind.LEAVING));
        assertFalse(replica.isHandoverComplete(nowMs), "it holds data");
        Membership withoutData = membership(epoch(4, A), C);
        receive(A, heartbeat(withoutData));
        assertTrue(replica.isHandoverComplete(nowMs));
        receive(A, heartbeat(withoutData).withGranted(true));
        assertFalse(replica.isHandoverComplete(nowMs), "its vote can be replaced");
        receive(A, heartbeat(withoutData));
        nowMs += Timing.QUORUM_TIMEOUT_MS;
        assertFalse(replica.isHandoverComplete(nowMs), "the primary is not heard");
    }

    @Test
    void handoverIsNotCompleteUnderAMembershipThatIsNotInEffect() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        receive(A, heartbeat(membership(epoch(3, A), B)));
        replica.beginHandover(nowMs);
        receive(A, ReplicaMessage.of(Kind.ACCEPT, epoch(4, A)).withMembership(membership(epoch(4, A), C)));
        assertFalse(replica.isHandoverComplete(nowMs));
        receive(A, heartbeat(membership(epoch(4, A), C)));
        assertTrue(replica.isHandoverComplete(nowMs));
    }

    @Test
    void removedReplicaHasHandedOver() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        Membership without = new Membership(epoch(3, A), A, List.of(A, C), List.of(A, C, S), List.of());
        receive(A, heartbeat(without));
        assertFalse(replica.isHandoverComplete(nowMs), "not begun");
        replica.beginHandover(nowMs);
        nowMs += SETTLED_MS;
        assertTrue(replica.isHandoverComplete(nowMs), "without hearing the primary");
    }

    @Test
    void primaryThatHandsOverAsksItsBackupAndStaysUntilThen() {
        bootstrap(A);
        becomePrimary();
        receive(B, heartbeatReply());
        output.clearSent();
        replica.beginHandover(nowMs);
        assertEquals(List.of(B), output.receivers(Kind.HANDOVER));
        assertEquals(List.of(), output.receivers(Kind.LEAVING));
        assertFalse(replica.isHandoverComplete(nowMs));
        tickAfter(Timing.RETRY_MS - 1);
        assertEquals(1, output.receivers(Kind.HANDOVER).size());
        tickAfter(1);
        assertEquals(2, output.receivers(Kind.HANDOVER).size());
    }

    @Test
    void recoveringReplicaMayShutDownOnceItHandsOver() {
        start(A, false, List.of());
        assertFalse(replica.isHandoverComplete(nowMs));
        receive(B, heartbeat(membership(epoch(3, B), A)));
        replica.beginHandover(nowMs);
        assertTrue(replica.isHandoverComplete(nowMs));
    }

    @Test
    void backupTakesOverAtTheRequestOfThePrimary() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        Membership membership = membership(epoch(3, A), B);
        receive(A, heartbeat(membership));
        receive(C, ReplicaMessage.of(Kind.HANDOVER, epoch(3, A)));
        receive(A, ReplicaMessage.of(Kind.HANDOVER, Epoch.INITIAL));
        assertNull(output.last(Kind.VOTE), "another replica, another epoch");
        receive(A, ReplicaMessage.of(Kind.HANDOVER, epoch(3, A)));
        assertTrue(output.last(Kind.VOTE).granted());
        Epoch first = output.last(Kind.VOTE).epoch();
        receive(A, ReplicaMessage.of(Kind.HANDOVER, epoch(3, A)));
        assertEquals(first, output.last(Kind.VOTE).epoch(), "the election is in progress");
    }

    @Test
    void onlyADataReplicaWithAnIdleDiskTakesOver() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        receive(A, heartbeat(membership(epoch(3, A), C)));
        receive(A, ReplicaMessage.of(Kind.HANDOVER, epoch(3, A)));
        assertNull(output.last(Kind.VOTE), "it holds no data");
        receive(A, heartbeat(membership(epoch(4, A), B)));
        receive(S, ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE));
        replica.onMessage(nowMs, S, recoveryRequest());
        replica.onMessage(nowMs, A, ReplicaMessage.of(Kind.HANDOVER, epoch(4, A)));
        finishWrites(true);
        assertNull(output.last(Kind.VOTE), "its disk is busy");
        replica.beginHandover(nowMs);
        receive(A, ReplicaMessage.of(Kind.HANDOVER, epoch(4, A)));
        assertNull(output.last(Kind.VOTE), "it is about to shut down itself");
    }

    private static ReplicaMessage recoveryRequest() {
        return ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                .withPromisedEpoch(Epoch.NONE, true)
                .withGeneration(1)
                .withNonce(77);
    }

    @Test
    void primaryThatHandsOverIsAvoidedByItsSuccessor() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        receive(A, heartbeat(membership(epoch(3, A), B)));
        receive(A, ReplicaMessage.of(Kind.HANDOVER, epoch(3, A)));
        Epoch epoch = output.last(Kind.VOTE).epoch();
        Epoch before = epoch(3, A);
        ReplicaMessage vote = ReplicaMessage.of(Kind.VOTE_REPLY, epoch)
                .withGranted(true)
                .withMembership(membership(before, B))
                .withLogPosition(before, 4);
        receive(C, vote.withLogPosition(Epoch.NONE, -1));
        assertNull(output.last(Kind.FETCH), "its own log is behind");
        receive(A, vote);
        receive(
                A,
                ReplicaMessage.of(Kind.FETCH_REPLY, epoch)
                        .withGranted(true)
                        .withLogPosition(before, 4)
                        .withBody(StateUpdate.ofSnapshot(before, 4, ControlState.EMPTY)
                                .bytes()));
        assertEquals(List.of(C), output.receivers(Kind.REPLICATE));
    }

    @Test
    void noElectionStartsWhileTheDiskIsBusyOrTheReplicaHandsOver() {
        bootstrap(A);
        replica.onMessage(nowMs, S, recoveryRequest());
        for (int i = 0; i < 40; i++) {
            tickAfter(50);
        }
        assertNull(output.last(Kind.PRE_VOTE));
        finishWrites(true);
        replica.beginHandover(nowMs);
        tickAfter(SETTLED_MS);
        assertNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void noElectionStartsWhileThePrimaryIsHeardOrWithoutAVote() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        Membership membership = membership(epoch(3, A), B);
        for (int i = 0; i < 30; i++) {
            receive(A, heartbeat(membership));
            tickAfter(Timing.ELECTION_TIMEOUT_MS - 1);
        }
        assertNull(output.last(Kind.PRE_VOTE));
        receive(A, heartbeat(new Membership(epoch(4, A), A, List.of(A, C), List.of(A, C, S), List.of())));
        assertEquals(ReplicaRole.STANDBY, replica.role());
        output.clearSent();
        tickAfter(SETTLED_MS);
        assertNull(output.last(Kind.PRE_VOTE));
        assertEquals(List.of(A, C, S), output.receivers(Kind.RECOVERY), "it requests to join");
        assertFalse(output.last(Kind.RECOVERY).recovering());
    }

    @Test
    void dataReplicasStartElectionsSooner() {
        long backupSum = 0;
        long witnessSum = 0;
        for (int seed = 0; seed < 30; seed++) {
            backupSum += electionDelayMs(A, seed);
            witnessSum += electionDelayMs(C, seed);
        }
        assertTrue(backupSum < 0.7 * witnessSum, backupSum + " and " + witnessSum);
    }

    private long electionDelayMs(String self, int seed) {
        RecordingOutput own = new RecordingOutput();
        Replica started = new Replica(self, SEEDS, 1, true, List.of(), seed, 0, own);
        while (!own.pendingWrites().isEmpty()) {
            started.onPersisted(0, own.pendingWrites().remove(), true);
        }
        long delayMs = 2 * Timing.HEARTBEAT_MS;
        started.onTick(delayMs);
        while (own.last(Kind.PRE_VOTE) == null) {
            delayMs++;
            started.onTick(delayMs);
        }
        return delayMs - 2 * Timing.HEARTBEAT_MS;
    }

    @Test
    void candidateWithAStuckDiskPausesItsElections() {
        bootstrap(A);
        becomeCandidate();
        replica.onMessage(nowMs, S, recoveryRequest());
        nowMs += Timing.DISK_TIMEOUT_MS;
        replica.onTick(nowMs);
        assertEquals(ReplicaRole.CANDIDATE, replica.role());
        tickAfter(1);
        assertEquals(ReplicaRole.BACKUP, replica.role());
        finishWrites(true);
        output.clearSent();
        tickAfter(Timing.ELECTION_PAUSE_MS - 1);
        assertNull(output.last(Kind.PRE_VOTE));
        tickAfter(1);
        assertNotNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void followerWithAStuckDiskStaysWhatItIs() {
        bootstrap(A);
        replica.onMessage(nowMs, S, recoveryRequest());
        tickAfter(Timing.DISK_TIMEOUT_MS + 1);
        finishWrites(true);
        tickAfter(50);
        assertNotNull(output.last(Kind.PRE_VOTE), "its elections are not paused");
    }

    @Test
    void failedVotePausesElections() {
        bootstrap(A);
        tickUntil(Kind.PRE_VOTE);
        replica.onMessage(
                nowMs,
                B,
                ReplicaMessage.of(
                                Kind.PRE_VOTE_REPLY, output.last(Kind.PRE_VOTE).epoch())
                        .withGranted(true));
        finishWrites(false);
        assertEquals(ReplicaRole.BACKUP, replica.role());
        output.clearSent();
        tickAfter(Timing.ELECTION_PAUSE_MS - 1);
        assertNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void primaryWithAFailedDiskStepsDownAndPauses() {
        bootstrap(A);
        becomePrimary();
        replica.submit(nowMs, 7, claim());
        finishWrites(false);
        assertEquals(ReplicaRole.BACKUP, replica.role());
        assertEquals(
                FleetException.Code.NOT_PRIMARY,
                output.completed().get(0).rejection().code());
        output.clearSent();
        tickAfter(Timing.ELECTION_PAUSE_MS - 1);
        assertNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void timedOutElectionEndsAndAnotherOneStarts() {
        bootstrap(A);
        becomeCandidate();
        Epoch first = output.last(Kind.VOTE).epoch();
        tickAfter(Timing.ELECTION_STEP_TIMEOUT_MS + 1);
        assertEquals(ReplicaRole.BACKUP, replica.role());
        output.clearSent();
        tickUntil(Kind.PRE_VOTE);
        assertTrue(output.last(Kind.PRE_VOTE).epoch().isAbove(first));
    }

    @Test
    void primaryEndsWithAHigherEpochAndRejectsWhatIsPending() {
        bootstrap(A);
        becomePrimary();
        replica.read(nowMs, 7);
        receive(C, heartbeat(membership(epoch(9, C), A)));
        assertEquals(ReplicaRole.BACKUP, replica.role());
        assertEquals(
                FleetException.Code.NOT_PRIMARY,
                output.completed().get(0).rejection().code());
        assertEquals(C, replica.knownPrimary(nowMs));
    }

    @Test
    void candidateEndsWithAHigherEpoch() {
        bootstrap(A);
        becomeCandidate();
        receive(C, heartbeat(membership(epoch(9, C), A)));
        assertEquals(ReplicaRole.BACKUP, replica.role());
    }

    @Test
    void confirmedPrimaryGrantsNoVote() {
        bootstrap(A);
        becomePrimary();
        nowMs += SETTLED_MS;
        replica.onTick(nowMs - SETTLED_MS);
        receive(B, heartbeatReply());
        nowMs -= SETTLED_MS;
        receive(B, heartbeatReply());
        receive(C, ReplicaMessage.of(Kind.PRE_VOTE, epoch(9, C)));
        assertFalse(output.last(Kind.PRE_VOTE_REPLY).granted());
        nowMs += Timing.VOTE_STICKINESS_MS;
        receive(C, ReplicaMessage.of(Kind.PRE_VOTE, epoch(9, C)));
        assertTrue(output.last(Kind.PRE_VOTE_REPLY).granted(), "no quorum has confirmed it lately");
    }

    @Test
    void fetchIsAnswered() {
        bootstrap(A);
        nowMs += SETTLED_MS;
        receive(C, ReplicaMessage.of(Kind.VOTE, epoch(4, C)));
        receive(C, ReplicaMessage.of(Kind.FETCH, epoch(4, C)).withLogPosition(Epoch.NONE, -1));
        assertNotNull(output.last(Kind.FETCH_REPLY, C));
    }

    @Test
    void standbyLearnsTheMembershipFromReplies() {
        bootstrap(B);
        nowMs += SETTLED_MS;
        receive(A, heartbeat(new Membership(epoch(3, A), A, List.of(A, C), List.of(A, C, S), List.of())));
        Membership later = membership(epoch(4, A), B);
        receive(
                A,
                ReplicaMessage.of(Kind.RECOVERY_REPLY, Epoch.NONE)
                        .withGranted(true)
                        .withMembership(later));
        assertEquals(later, replica.membership());
        Membership latest = membership(epoch(5, A), C);
        receive(
                A,
                ReplicaMessage.of(Kind.RECOVERY_REPLY, Epoch.NONE)
                        .withGranted(true)
                        .withMembership(latest));
        assertEquals(later, replica.membership(), "a voter learns it from heartbeats");
    }

    private ReplicaMessage recoveryReply() {
        ReplicaMessage request = output.last(Kind.RECOVERY);
        return ReplicaMessage.of(Kind.RECOVERY_REPLY, Epoch.NONE)
                .withGranted(true)
                .withNonce(request.nonce())
                .withGenerations(Map.of(A, request.generation()))
                .withMembership(membership(epoch(3, B), A))
                .withPromisedEpoch(epoch(6, C), false);
    }

    @Test
    void recoveredReplicaWaitsForAHeartbeatBeforeItsFirstElection() {
        start(A, false, List.of());
        replica.onTick(nowMs);
        nowMs += SETTLED_MS;
        receive(B, recoveryReply());
        assertTrue(replica.isRecovering());
        receive(C, recoveryReply());
        assertEquals(ReplicaRole.BACKUP, replica.role());
        assertEquals(epoch(6, C), replica.promisedEpoch());
        tickAfter(Timing.ELECTION_TIMEOUT_MS - 1);
        assertNull(output.last(Kind.PRE_VOTE));
        tickAfter(1);
        assertNotNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void recoveryThatCannotBeWrittenStartsAnew() {
        start(A, false, List.of());
        replica.onTick(nowMs);
        long nonce = output.last(Kind.RECOVERY).nonce();
        replica.onMessage(nowMs, B, recoveryReply());
        replica.onMessage(nowMs, C, recoveryReply());
        assertEquals(1, output.pendingWrites().size(), "the promises have to be durable");
        finishWrites(false);
        assertEquals(ReplicaRole.RECOVERING, replica.role());
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertNotEquals(nonce, output.last(Kind.RECOVERY).nonce());
    }

    @Test
    void recoveringReplicaDoesNothingElse() {
        start(A, false, List.of());
        tickAfter(SETTLED_MS);
        assertEquals(List.of(B, C), output.receivers(Kind.RECOVERY));
        assertEquals(2, output.sent().size());
        receive(B, heartbeat(membership(epoch(3, B), A)));
        receive(B, ReplicaMessage.of(Kind.HANDOVER, epoch(3, B)));
        assertNull(output.last(Kind.VOTE));
        tickAfter(SETTLED_MS);
        assertNull(output.last(Kind.PRE_VOTE));
    }

    @Test
    void voterRequestsNoMembershipChange() {
        bootstrap(A);
        tickAfter(50);
        assertEquals(List.of(), output.sent());
    }

    @Test
    void acceptanceThatArrivesAfterTheElectionIsIgnored() {
        bootstrap(A);
        becomePrimary();
        replica.read(nowMs, 7);
        receive(
                C,
                ReplicaMessage.of(Kind.ACCEPT_REPLY, replica.membership().epoch())
                        .withGranted(true));
        receive(C, heartbeatReply());
        assertEquals(1, output.completed().size());
    }
}
