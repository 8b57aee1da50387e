package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ChangeHistory.Entry;
import quartzspan.replication.ReplicaMessage.Kind;

/** What a voter and backup grants, writes and replies to candidates and to the primary. */
class FollowerStateTest {
    private static final Epoch EPOCH = new Epoch(3, "a", 1);
    private static final Epoch HIGHER = new Epoch(4, "c", 1);
    private static final Epoch HIGHEST = new Epoch(5, "a", 2);
    private static final List<String> VOTERS = List.of("a", "b", "c");

    private final RecordingOutput output = new RecordingOutput();
    private final ReplicaContext context = new ReplicaContext("b", 1, 1, 10_000, output);
    private final DiskQueue disk = new DiskQueue(output);
    private final VoterState voter = new VoterState(disk);
    private final ReplicaLog log = new ReplicaLog(disk);
    private final PeerLiveness peers = new PeerLiveness("b", 10_000);
    private final RecordingTransitions transitions = new RecordingTransitions();
    private final FollowerState follower =
            new FollowerState(context, voter, log, peers, new ReplyFactory(voter, log), transitions);

    /** Counts the transitions; the roles are set by the test. */
    private static final class RecordingTransitions implements FollowerState.Transitions {
        private int becameFollower;
        private boolean primaryOrCandidate;
        private boolean confirmedPrimary;

        @Override
        public void becomeFollower() {
            becameFollower++;
        }

        @Override
        public boolean isPrimaryOrCandidate() {
            return primaryOrCandidate;
        }

        @Override
        public boolean isConfirmedPrimary() {
            return confirmedPrimary;
        }
    }

    private static Membership membership(Epoch epoch) {
        return new Membership(epoch, epoch.candidate(), List.of("a", "b"), VOTERS, List.of());
    }

    @BeforeEach
    void joinTheMembership() {
        log.initialize(context.nowMs(), durable -> {});
        voter.promise(EPOCH);
        voter.adoptIfNewer(membership(EPOCH));
        voter.persist(context.nowMs(), durable -> {});
        finishWrites(true);
        advance(2 * Timing.ELECTION_TIMEOUT_MS);
    }

    private void finishWrites(boolean durable) {
        while (!output.pendingWrites().isEmpty()) {
            disk.onPersisted(context.nowMs(), output.pendingWrites().remove(), durable);
        }
    }

    private void advance(long ms) {
        context.advance(context.nowMs() + ms);
    }

    private static ReplicaMessage heartbeat(Epoch epoch) {
        return ReplicaMessage.of(Kind.HEARTBEAT, epoch)
                .withMembership(membership(epoch))
                .withNonce(17);
    }

    private static ReplicaMessage accept(Epoch epoch) {
        return ReplicaMessage.of(Kind.ACCEPT, epoch).withMembership(membership(epoch));
    }

    private static ReplicaMessage entry(Epoch baseEpoch, long baseIndex, Epoch epoch) {
        return ReplicaMessage.replicate(
                StateUpdate.ofEntries(baseEpoch, baseIndex, List.of(new Entry(baseIndex + 1, epoch, null))), 0);
    }

    private boolean preVote(ReplicaMessage request) {
        follower.onPreVote("c", request);
        return output.last(Kind.PRE_VOTE_REPLY).granted();
    }

    private static ReplicaMessage preVoteRequest(Epoch epoch) {
        return ReplicaMessage.of(Kind.PRE_VOTE, epoch).withMembership(membership(EPOCH));
    }

    @Test
    void preVoteIsGrantedForAHigherEpochWithoutAWorkingPrimary() {
        assertFalse(preVote(preVoteRequest(EPOCH)), "no higher epoch");
        assertTrue(preVote(preVoteRequest(HIGHER)));
        assertEquals(EPOCH, output.last(Kind.PRE_VOTE_REPLY).membership().epoch());
        assertEquals(EPOCH, voter.promisedEpoch(), "nothing is promised");
        transitions.confirmedPrimary = true;
        assertFalse(preVote(preVoteRequest(HIGHER)));
        transitions.confirmedPrimary = false;
        voter.setRecovering(true);
        assertFalse(preVote(preVoteRequest(HIGHER)));
    }

    @Test
    void preVoteIsNotGrantedSoonAfterAHeartbeatUnlessThePrimaryHandsOver() {
        follower.onHeartbeat("a", heartbeat(EPOCH));
        assertFalse(preVote(preVoteRequest(HIGHER)));
        assertTrue(preVote(preVoteRequest(HIGHER).withGranted(true)));
        ReplicaMessage outdated = preVoteRequest(HIGHER).withGranted(true).withMembership(membership(Epoch.INITIAL));
        assertFalse(preVote(outdated), "a primary before the present one has handed over");
        advance(Timing.VOTE_STICKINESS_MS);
        assertTrue(preVote(preVoteRequest(HIGHER)));
    }

    @Test
    void grantedVoteEndsOwnRolesAndDefersElections() {
        assertFalse(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        follower.onVote("c", ReplicaMessage.of(Kind.VOTE, HIGHER));
        assertEquals(1, transitions.becameFollower);
        assertNull(output.last(Kind.VOTE_REPLY), "not durable");
        finishWrites(true);
        assertTrue(output.last(Kind.VOTE_REPLY).granted());
        assertTrue(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        advance(Timing.ELECTION_TIMEOUT_MS - Timing.ELECTION_DEFERRAL_AGE_MS);
        assertFalse(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        output.clearSent();
        follower.onVote("c", ReplicaMessage.of(Kind.VOTE, HIGHER));
        assertTrue(output.last(Kind.VOTE_REPLY).granted(), "the same request again");
        assertEquals(1, transitions.becameFollower);
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void voteOvertakenByAHigherPromiseIsRejected() {
        follower.onVote("c", ReplicaMessage.of(Kind.VOTE, HIGHER));
        voter.promise(HIGHEST);
        finishWrites(true);
        assertFalse(output.last(Kind.VOTE_REPLY).granted());
        assertEquals(HIGHEST, output.last(Kind.VOTE_REPLY).promisedEpoch());
    }

    @Test
    void deferredElectionNeverShortensAHeartbeat() {
        follower.onHeartbeat("a", heartbeat(EPOCH));
        follower.onVote(
                "c", ReplicaMessage.of(Kind.VOTE, HIGHER).withGranted(true).withMembership(membership(EPOCH)));
        advance(Timing.ELECTION_TIMEOUT_MS - 1);
        assertTrue(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
    }

    @Test
    void stateIsSentToTheCandidateThatWasPromised() {
        ReplicaMessage request = ReplicaMessage.of(Kind.FETCH, EPOCH).withLogPosition(Epoch.NONE, -1);
        follower.onFetch("a", request);
        ReplicaMessage reply = output.last(Kind.FETCH_REPLY, "a");
        assertTrue(reply.granted());
        assertTrue(StateUpdate.parse(reply.body()).isSnapshot());
        output.clearSent();
        follower.onFetch("c", ReplicaMessage.of(Kind.FETCH, HIGHER));
        voter.promise(HIGHER);
        follower.onFetch("c", ReplicaMessage.of(Kind.FETCH, HIGHER));
        assertNull(output.last(Kind.FETCH_REPLY), "that promise is not durable");
        voter.setRecovering(true);
        follower.onFetch("a", request);
        voter.setRecovering(false);
        log.clear();
        follower.onFetch("a", request);
        assertNull(output.last(Kind.FETCH_REPLY));
    }

    @Test
    void membershipIsAcceptedOnceDurable() {
        transitions.primaryOrCandidate = true;
        follower.onAccept("c", accept(HIGHER));
        assertEquals(1, transitions.becameFollower);
        assertTrue(follower.hasPrimaryContactWithin(1));
        assertEquals(HIGHER, voter.promisedEpoch());
        assertEquals(HIGHER, voter.membership().epoch());
        assertNull(output.last(Kind.ACCEPT_REPLY));
        finishWrites(false);
        assertNull(output.last(Kind.ACCEPT_REPLY));
        transitions.primaryOrCandidate = false;
        follower.onAccept("c", accept(HIGHER));
        assertEquals(1, transitions.becameFollower);
        finishWrites(true);
        assertTrue(output.last(Kind.ACCEPT_REPLY, "c").granted());
    }

    @Test
    void membershipOfAnotherEpochThanItsRequestIsIgnored() {
        follower.onAccept("c", ReplicaMessage.of(Kind.ACCEPT, HIGHER).withMembership(membership(HIGHEST)));
        assertEquals(EPOCH, voter.promisedEpoch());
        voter.setRecovering(true);
        follower.onAccept("c", accept(HIGHER));
        assertEquals(EPOCH, voter.promisedEpoch());
        assertEquals(List.of(), output.sent());
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void heartbeatOfTheKnownMembershipIsAcknowledgedAtOnce() {
        transitions.primaryOrCandidate = true;
        assertFalse(follower.isMembershipActive());
        follower.onHeartbeat("a", heartbeat(EPOCH).withGranted(true).withSinceLastContactMs(Map.of("c", 30L)));
        assertTrue(follower.hasPrimaryContactWithin(1));
        assertTrue(follower.isMembershipActive());
        assertTrue(follower.isReplaceable());
        assertEquals(30, peers.sinceLastContactMs(context.nowMs(), "c"));
        assertEquals(1, transitions.becameFollower);
        assertTrue(output.last(Kind.HEARTBEAT_REPLY, "a").granted());
        assertEquals(17, output.last(Kind.HEARTBEAT_REPLY).nonce());
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void heartbeatOfALaterEpochIsAcknowledgedOnceDurable() {
        follower.onHeartbeat("c", heartbeat(HIGHER));
        assertEquals(HIGHER, voter.promisedEpoch());
        assertEquals(HIGHER, voter.membership().epoch());
        assertNull(output.last(Kind.HEARTBEAT_REPLY));
        finishWrites(false);
        assertNull(output.last(Kind.HEARTBEAT_REPLY));
        voter.promise(HIGHEST);
        follower.onHeartbeat("a", heartbeat(HIGHEST));
        finishWrites(true);
        assertTrue(output.last(Kind.HEARTBEAT_REPLY).granted());
    }

    @Test
    void heartbeatWithTheCommittedMembershipIsWritten() {
        Membership joint = new Membership(HIGHER, "c", List.of("c", "b"), VOTERS, List.of("b", "c", "d"));
        voter.promise(HIGHER);
        voter.adoptIfNewer(joint);
        follower.onHeartbeat("c", heartbeat(HIGHER).withMembership(joint.committed()));
        assertFalse(voter.membership().isJoint());
        assertEquals(1, output.pendingWrites().size());
    }

    @Test
    void heartbeatOvertakenByAHigherPromiseIsRejected() {
        follower.onHeartbeat("c", heartbeat(HIGHER));
        voter.promise(HIGHEST);
        finishWrites(true);
        assertFalse(output.last(Kind.HEARTBEAT_REPLY).granted());
        assertEquals(HIGHEST, output.last(Kind.HEARTBEAT_REPLY).promisedEpoch());
        assertEquals(17, output.last(Kind.HEARTBEAT_REPLY).nonce());
    }

    @Test
    void heartbeatBelowThePromiseIsRejected() {
        voter.promise(HIGHER);
        follower.onHeartbeat("a", heartbeat(EPOCH));
        assertFalse(output.last(Kind.HEARTBEAT_REPLY, "a").granted());
        assertEquals(17, output.last(Kind.HEARTBEAT_REPLY).nonce());
        assertEquals(HIGHER, output.last(Kind.HEARTBEAT_REPLY).promisedEpoch());
        assertFalse(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
    }

    @Test
    void heartbeatThatContradictsItsMembershipIsIgnored() {
        follower.onHeartbeat("a", heartbeat(EPOCH).withMembership(membership(HIGHEST)));
        follower.onHeartbeat("c", heartbeat(EPOCH));
        assertFalse(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        assertEquals(List.of(), output.sent());
    }

    @Test
    void recoveringReplicaLearnsTheMembershipAndAcknowledgesNothing() {
        voter.promise(HIGHEST);
        voter.setRecovering(true);
        follower.onHeartbeat("c", heartbeat(HIGHER));
        assertEquals(HIGHER, voter.membership().epoch());
        assertTrue(follower.hasPrimaryContactWithin(1));
        assertEquals(List.of(), output.sent());
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void updateIsWrittenAndAcknowledged() {
        transitions.primaryOrCandidate = true;
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        assertEquals(1, transitions.becameFollower);
        assertTrue(follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        assertNull(output.last(Kind.REPLICATE_REPLY));
        assertEquals(1, output.pendingWrites().size(), "the promise is unchanged");
        finishWrites(true);
        ReplicaMessage reply = output.last(Kind.REPLICATE_REPLY, "a");
        assertTrue(reply.granted());
        assertEquals(1, reply.logIndex());
        assertEquals(EPOCH, reply.logEpoch());
    }

    @Test
    void updateThatIsAlreadyWrittenIsAcknowledgedAgain() {
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        finishWrites(true);
        follower.onReplicate("a", entry(EPOCH, 1, EPOCH));
        assertEquals(1, output.receivers(Kind.REPLICATE_REPLY).size(), "the second one has to be written first");
        finishWrites(true);
        output.clearSent();
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        assertEquals(1, output.last(Kind.REPLICATE_REPLY).logIndex());
        assertTrue(output.last(Kind.REPLICATE_REPLY).granted());
        follower.onReplicate("a", entry(EPOCH, 1, EPOCH));
        assertEquals(2, output.last(Kind.REPLICATE_REPLY).logIndex());
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void updateOfAHigherEpochIsAPromiseToo() {
        follower.onReplicate("c", entry(Epoch.INITIAL, 0, HIGHER));
        assertEquals(HIGHER, voter.promisedEpoch());
        assertEquals(2, output.pendingWrites().size());
        finishWrites(true);
        assertEquals(HIGHER, voter.durablePromisedEpoch());
        output.clearSent();
        follower.onReplicate("c", entry(Epoch.INITIAL, 0, EPOCH));
        assertFalse(output.last(Kind.REPLICATE_REPLY).granted(), "below the promise");
    }

    @Test
    void updateOfAnotherEpochAtTheSameIndexIsNotAcknowledgedAsWritten() {
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        finishWrites(true);
        output.clearSent();
        follower.onReplicate("c", entry(Epoch.INITIAL, 0, HIGHER));
        assertFalse(output.last(Kind.REPLICATE_REPLY).granted(), "it doesn't follow");
    }

    @Test
    void updateIsIgnoredWhileAnotherIsWritten() {
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        assertEquals(1, output.pendingWrites().size());
        finishWrites(false);
        assertNull(output.last(Kind.REPLICATE_REPLY));
    }

    @Test
    void recoveringReplicaWritesNoUpdate() {
        voter.setRecovering(true);
        follower.onReplicate("a", entry(Epoch.INITIAL, 0, EPOCH));
        assertTrue(output.pendingWrites().isEmpty());
        assertEquals(List.of(), output.sent());
    }

    @Test
    void startedReplicaWaitsForTwoHeartbeats() {
        FollowerState started =
                new FollowerState(context, voter, log, peers, new ReplyFactory(voter, log), transitions);
        advance(2 * Timing.HEARTBEAT_MS - 1);
        assertTrue(started.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        advance(1);
        assertFalse(started.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS));
        started.restartElectionTimeout();
        assertTrue(started.hasPrimaryContactWithin(1));
        assertNotNull(voter.membership());
    }
}
