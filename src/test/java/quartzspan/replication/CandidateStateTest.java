package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ChangeHistory.Entry;
import quartzspan.replication.ReplicaMessage.Kind;

/** The steps of an election: what each waits for, resends, and what ends it early. */
class CandidateStateTest {
    private static final Epoch EPOCH = new Epoch(3, "c", 1);
    private static final Epoch HIGHER = new Epoch(90, "b", 1);
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final Membership MEMBERSHIP = new Membership(EPOCH, "c", List.of("c", "b", "a"), VOTERS, List.of());

    private final RecordingOutput output = new RecordingOutput();
    private final ReplicaContext context = new ReplicaContext("a", 1, 1, 10_000, output);
    private final DiskQueue disk = new DiskQueue(output);
    private final VoterState voter = new VoterState(disk);
    private final ReplicaLog log = new ReplicaLog(disk);
    private final RecordingListener listener = new RecordingListener();
    private CandidateState candidate;

    /** Records the results of the election. */
    private static final class RecordingListener implements CandidateState.Listener {
        private final List<Membership> elected = new ArrayList<>();
        private int abandoned;
        private int diskFailures;

        @Override
        public void elected(Membership membership) {
            elected.add(membership);
        }

        @Override
        public void abandoned() {
            abandoned++;
        }

        @Override
        public void diskFailed() {
            diskFailures++;
        }
    }

    @BeforeEach
    void writeState() {
        log.initialize(context.nowMs(), durable -> {});
        finishWrites(true);
        log.append(context.nowMs(), log.nextEntry(EPOCH, null), log.state(), durable -> {});
        voter.promise(EPOCH);
        voter.adoptIfNewer(MEMBERSHIP);
        voter.persist(context.nowMs(), durable -> {});
        finishWrites(true);
        begin(ElectionPlan.FAILOVER);
    }

    private void begin(ElectionPlan plan) {
        candidate = new CandidateState(context, voter, log, plan, listener);
        context.setCandidate(candidate);
    }

    private void finishWrites(boolean durable) {
        while (!output.pendingWrites().isEmpty()) {
            disk.onPersisted(context.nowMs(), output.pendingWrites().remove(), durable);
        }
    }

    private void tickAfter(long ms) {
        context.advance(context.nowMs() + ms);
        candidate.onTick();
    }

    private Epoch epoch() {
        return voter.promisedEpoch();
    }

    private ReplicaMessage granted(Kind kind) {
        return ReplicaMessage.of(kind, epoch())
                .withGranted(true)
                .withMembership(MEMBERSHIP)
                .withLogPosition(EPOCH, 1);
    }

    private ReplicaMessage rejected(Kind kind, Epoch promised) {
        return ReplicaMessage.of(kind, epoch()).withPromisedEpoch(promised, false);
    }

    private void reply(String from, ReplicaMessage reply) {
        candidate.onReply(from, reply);
    }

    /** Runs the election until its own log is written under its epoch and waits for the other data replica. */
    private void replicate() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        finishWrites(true);
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE));
    }

    private ReplicaMessage replicated() {
        return granted(Kind.REPLICATE_REPLY).withLogPosition(epoch(), log.index());
    }

    private void accept() {
        replicate();
        reply("b", replicated());
        finishWrites(true);
        assertEquals(List.of("b", "c"), output.receivers(Kind.ACCEPT));
    }

    /** Runs the election until it waits for the state of b, whose log is longer. */
    private void fetch() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY).withLogPosition(EPOCH, 2));
        assertEquals(List.of("b"), output.receivers(Kind.FETCH));
        assertEquals(1, output.last(Kind.FETCH).logIndex());
    }

    private ReplicaMessage fetched(StateUpdate update) {
        return granted(Kind.FETCH_REPLY).withLogPosition(EPOCH, 2).withBody(update.bytes());
    }

    private static StateUpdate missingEntry() {
        return StateUpdate.ofEntries(EPOCH, 1, List.of(new Entry(2, EPOCH, null)));
    }

    @Test
    void preVoteIsResentToThoseWithoutReplyUntilItTimesOut() {
        candidate.startWithPreVote();
        assertEquals(List.of("b", "c"), output.receivers(Kind.PRE_VOTE));
        reply("b", preVoteRejection(EPOCH));
        output.clearSent();
        tickAfter(Timing.RETRY_MS - 1);
        assertEquals(List.of(), output.sent());
        tickAfter(1);
        assertEquals(List.of("c"), output.receivers(Kind.PRE_VOTE));
        tickAfter(1);
        assertEquals(1, output.sent().size(), "the next retry is due later");
        tickAfter(Timing.ELECTION_STEP_TIMEOUT_MS - Timing.RETRY_MS - 1);
        assertEquals(0, listener.abandoned);
        tickAfter(1);
        assertEquals(1, listener.abandoned);
    }

    private ReplicaMessage preVoteRejection(Epoch promised) {
        return ReplicaMessage.of(Kind.PRE_VOTE_REPLY, output.last(Kind.PRE_VOTE).epoch())
                .withMembership(MEMBERSHIP)
                .withPromisedEpoch(promised, false);
    }

    @Test
    void higherPromiseInAPreVoteReplyRestartsThePreVoteAboveIt() {
        candidate.startWithPreVote();
        assertEquals(EPOCH.number() + 1, output.last(Kind.PRE_VOTE).epoch().number());
        reply("b", preVoteRejection(HIGHER));
        assertEquals(HIGHER, voter.promisedEpoch());
        assertEquals(HIGHER.number() + 1, output.last(Kind.PRE_VOTE).epoch().number());
    }

    @Test
    void rejectedPreVotesStartNoElection() {
        candidate.startWithPreVote();
        reply("b", preVoteRejection(EPOCH));
        reply("c", preVoteRejection(EPOCH));
        finishWrites(true);
        assertNull(output.last(Kind.VOTE));
        reply("c", preVoteRejection(EPOCH).withGranted(true));
        finishWrites(true);
        assertEquals(List.of("b", "c"), output.receivers(Kind.VOTE));
    }

    @Test
    void removedReplicaAbandonsItsPreVote() {
        candidate.startWithPreVote();
        Membership without =
                new Membership(new Epoch(4, "b", 1), "b", List.of("b", "c"), List.of("b", "c", "d"), List.of());
        reply("b", preVoteRejection(EPOCH).withGranted(true).withMembership(without));
        assertEquals(1, listener.abandoned);
        assertEquals(without, voter.membership());
        assertNull(output.last(Kind.VOTE));
    }

    @Test
    void voteIsResentOnceItsOwnIsDurable() {
        candidate.startWithVote();
        tickAfter(Timing.RETRY_MS);
        assertNull(output.last(Kind.VOTE));
        finishWrites(true);
        assertEquals(List.of("b", "c"), output.receivers(Kind.VOTE));
        reply(
                "b",
                granted(Kind.VOTE_REPLY)
                        .withMembership(MEMBERSHIP)
                        .withLogPosition(Epoch.INITIAL, 0)
                        .withGranted(false));
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "c"), output.receivers(Kind.VOTE), "a rejection is no reply");
        tickAfter(Timing.ELECTION_STEP_TIMEOUT_MS);
        assertEquals(1, listener.abandoned);
    }

    @Test
    void voteIsNotResentToThoseThatGrantedIt() {
        begin(new ElectionPlan(List.of("a", "b", "c", "d", "e"), Set.of(), true));
        candidate.startWithVote();
        finishWrites(true);
        assertEquals(List.of("b", "c", "d", "e"), output.receivers(Kind.VOTE), "the target voters are asked too");
        assertTrue(output.last(Kind.VOTE).granted(), "the primary requested the election");
        reply("d", granted(Kind.VOTE_REPLY));
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "c", "e"), output.receivers(Kind.VOTE));
    }

    @Test
    void votesThatArriveBeforeItsOwnIsDurableCountLater() {
        candidate.startWithVote();
        reply("b", granted(Kind.VOTE_REPLY));
        reply("c", granted(Kind.VOTE_REPLY));
        assertEquals(List.of(), output.sent());
        finishWrites(true);
        finishWrites(true);
        assertEquals(1, output.receivers(Kind.REPLICATE).size());
    }

    @Test
    void ownVoteThatIsNotDurableIsADiskFailure() {
        candidate.startWithVote();
        finishWrites(false);
        assertEquals(1, listener.diskFailures);
        assertEquals(List.of(), output.sent());
    }

    @Test
    void writeOfAnEndedElectionIsIgnored() {
        candidate.startWithVote();
        context.setCandidate(null);
        finishWrites(true);
        assertEquals(List.of(), output.sent());
        begin(ElectionPlan.FAILOVER);
        candidate.startWithVote();
        begin(ElectionPlan.FAILOVER);
        finishWrites(false);
        assertEquals(0, listener.diskFailures);
    }

    @Test
    void writeOfAnEarlierVoteOfTheSameElectionIsIgnored() {
        candidate.startWithVote();
        Epoch first = epoch();
        candidate.startWithVote();
        disk.onPersisted(context.nowMs(), output.pendingWrites().remove(), true);
        assertEquals(List.of(), output.sent());
        finishWrites(true);
        assertNotEquals(first, output.last(Kind.VOTE).epoch());
    }

    @Test
    void rejectedVoteWithAHigherPromiseEndsTheElection() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", rejected(Kind.VOTE_REPLY, EPOCH));
        assertEquals(0, listener.abandoned);
        Epoch own = epoch();
        ReplicaMessage rejection = rejected(Kind.VOTE_REPLY, HIGHER);
        reply("b", ReplicaMessage.of(Kind.VOTE_REPLY, EPOCH).withPromisedEpoch(HIGHER, false));
        assertEquals(0, listener.abandoned, "the reply to another election");
        assertEquals(own, epoch());
        reply("b", rejection);
        assertEquals(1, listener.abandoned);
        assertEquals(HIGHER, voter.promisedEpoch());
    }

    @Test
    void voteOfAMembershipWithoutThisReplicaEndsTheElection() {
        candidate.startWithVote();
        finishWrites(true);
        Membership without =
                new Membership(new Epoch(4, "b", 1), "b", List.of("b", "c"), List.of("b", "c", "d"), List.of());
        reply("b", granted(Kind.VOTE_REPLY).withMembership(without));
        assertEquals(1, listener.abandoned);
        assertEquals(without, voter.membership());
    }

    @Test
    void votersAreKeptIfAVoteReportsANewerMembership() {
        begin(new ElectionPlan(List.of("a", "b", "d"), Set.of(), true));
        candidate.startWithVote();
        finishWrites(true);
        Epoch newer = new Epoch(4, "a", 0);
        Membership reported = new Membership(newer, "a", List.of("a", "b"), VOTERS, List.of());
        reply("b", granted(Kind.VOTE_REPLY).withMembership(reported).withLogPosition(newer, 2));
        reply("b", fetched(StateUpdate.ofSnapshot(newer, 2, ControlState.EMPTY)).withLogPosition(newer, 2));
        finishWrites(true);
        reply("b", replicated());
        finishWrites(true);
        assertEquals(VOTERS, output.last(Kind.ACCEPT).membership().voters());
    }

    @Test
    void fetchIsResentWithVoteRequestsUntilItTimesOut() {
        fetch();
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "c"), output.receivers(Kind.VOTE));
        assertEquals(List.of("b"), output.receivers(Kind.FETCH));
        tickAfter(Timing.STATE_TRANSFER_TIMEOUT_MS - Timing.RETRY_MS);
        assertEquals(0, listener.abandoned);
        tickAfter(1);
        assertEquals(1, listener.abandoned);
    }

    @Test
    void onlyTheStateOfTheChosenReplicaIsTaken() {
        fetch();
        reply("c", fetched(missingEntry()));
        reply("b", fetched(missingEntry()).withLogPosition(Epoch.INITIAL, 2));
        reply("b", fetched(StateUpdate.ofEntries(EPOCH, 4, List.of(new Entry(5, EPOCH, null)))));
        assertTrue(output.pendingWrites().isEmpty(), "another replica, an older log, another base");
        reply("b", fetched(missingEntry()));
        assertEquals(1, output.pendingWrites().size());
        reply("b", fetched(missingEntry()));
        assertEquals(1, output.pendingWrites().size(), "the same reply again");
    }

    @Test
    void fetchedEntriesAreWrittenWithOneOfTheNewEpoch() {
        fetch();
        reply("b", fetched(missingEntry()));
        finishWrites(true);
        assertEquals(3, log.index());
        assertEquals(epoch(), log.epoch());
        StateUpdate sent = StateUpdate.parse(output.last(Kind.REPLICATE, "b").body());
        assertEquals(1, sent.entries().size(), "b has the others");
        assertEquals(3, sent.index());
    }

    @Test
    void fetchedSnapshotIsWrittenUnderTheNewEpoch() {
        fetch();
        reply("b", fetched(StateUpdate.ofSnapshot(EPOCH, 7, ControlState.EMPTY)));
        finishWrites(true);
        assertEquals(8, log.index());
        assertEquals(epoch(), log.epoch());
    }

    @Test
    void stateIsTakenOnce() {
        fetch();
        reply("b", fetched(missingEntry()));
        finishWrites(true);
        reply("b", fetched(StateUpdate.ofSnapshot(EPOCH, 9, ControlState.EMPTY)));
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void fetchedStateWaitsWhileTheLogIsWritten() {
        log.append(context.nowMs(), log.nextEntry(EPOCH, null), log.state(), durable -> {});
        long pendingWrite = output.pendingWrites().remove();
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        assertTrue(output.pendingWrites().isEmpty());
        disk.onPersisted(context.nowMs(), pendingWrite, false);
        tickAfter(Timing.RETRY_MS);
        assertEquals(1, output.pendingWrites().size(), "it is written at the retry");
    }

    @Test
    void stateIsResentToThoseThatLackItOnceItsOwnIsDurable() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "c"), output.receivers(Kind.VOTE));
        assertEquals(List.of(), output.receivers(Kind.REPLICATE));
        finishWrites(true);
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE));
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "b"), output.receivers(Kind.REPLICATE));
        tickAfter(Timing.STATE_TRANSFER_TIMEOUT_MS - 2 * Timing.RETRY_MS);
        assertEquals(0, listener.abandoned);
        tickAfter(1);
        assertEquals(1, listener.abandoned);
    }

    @Test
    void ownStateThatIsNotDurableIsADiskFailure() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        finishWrites(false);
        assertEquals(1, listener.diskFailures);
        assertNull(output.last(Kind.REPLICATE));
    }

    @Test
    void dataReplicasSyncTheStateOfThisElection() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.REPLICATE_REPLY));
        reply("b", granted(Kind.VOTE_REPLY));
        reply("b", granted(Kind.REPLICATE_REPLY).withLogPosition(epoch(), 2));
        assertEquals(1, log.index(), "its own write is not done");
        finishWrites(true);
        reply("b", granted(Kind.REPLICATE_REPLY).withLogPosition(EPOCH, 1));
        reply("c", replicated());
        finishWrites(true);
        assertNull(output.last(Kind.ACCEPT), "another index, another replica");
        reply("b", replicated());
        finishWrites(true);
        assertEquals(List.of("b", "c"), output.receivers(Kind.ACCEPT));
        assertEquals(List.of("a", "b"), output.last(Kind.ACCEPT).membership().dataReplicas());
    }

    @Test
    void acknowledgementBeforeItsOwnWriteDoesNotCount() {
        replicateAtSameIndex();
        assertNull(output.last(Kind.ACCEPT));
    }

    /** The other replica reports the index that this log has before its write is done. */
    private void replicateAtSameIndex() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        reply("b", granted(Kind.REPLICATE_REPLY).withLogPosition(EPOCH, log.index()));
        finishWrites(true);
    }

    @Test
    void rejectedStateIsSentFromTheReportedPosition() {
        replicate();
        ReplicaMessage rejection = rejected(Kind.REPLICATE_REPLY, epoch()).withLogPosition(Epoch.INITIAL, 0);
        reply("c", rejection);
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE), "c has not voted");
        reply("b", rejection);
        assertEquals(
                2,
                StateUpdate.parse(output.last(Kind.REPLICATE).body()).entries().size());
        reply("b", rejection);
        assertEquals(2, output.receivers(Kind.REPLICATE).size(), "the same position again");
        assertEquals(0, listener.abandoned);
    }

    @Test
    void rejectedStateIsNotSentBeforeItsOwnIsDurable() {
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        reply("b", rejected(Kind.REPLICATE_REPLY, epoch()).withLogPosition(Epoch.INITIAL, 0));
        assertNull(output.last(Kind.REPLICATE));
    }

    @Test
    void higherPromiseOfADataReplicaEndsTheElection() {
        replicate();
        reply("b", rejected(Kind.REPLICATE_REPLY, HIGHER));
        assertEquals(1, listener.abandoned);
        assertEquals(HIGHER, voter.promisedEpoch());
    }

    @Test
    void membershipIsAcceptedByAQuorumAndResentUntilThen() {
        accept();
        reply("c", rejected(Kind.ACCEPT_REPLY, epoch()));
        assertEquals(0, listener.abandoned);
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(List.of("b", "c"), output.receivers(Kind.ACCEPT));
        assertEquals(List.of(), listener.elected);
        reply("c", granted(Kind.ACCEPT_REPLY));
        assertEquals("a", listener.elected.get(0).primary());
    }

    @Test
    void membershipIsNotResentToThoseThatAcceptedIt() {
        List<String> five = List.of("a", "b", "c", "d", "e");
        begin(new ElectionPlan(five, Set.of(), true));
        candidate.startWithVote();
        finishWrites(true);
        reply("b", granted(Kind.VOTE_REPLY));
        finishWrites(true);
        reply("b", replicated());
        finishWrites(true);
        reply("d", granted(Kind.ACCEPT_REPLY));
        output.clearSent();
        tickAfter(Timing.RETRY_MS);
        assertEquals(Set.of("b", "c", "e"), Set.copyOf(output.receivers(Kind.ACCEPT)));
        assertEquals(List.of(), listener.elected);
        tickAfter(Timing.ELECTION_STEP_TIMEOUT_MS);
        assertEquals(1, listener.abandoned);
    }

    @Test
    void acceptanceIsCountedAtItsStepOnly() {
        replicate();
        reply("b", granted(Kind.ACCEPT_REPLY));
        reply("c", granted(Kind.ACCEPT_REPLY));
        reply("c", rejected(Kind.ACCEPT_REPLY, HIGHER));
        assertEquals(0, listener.abandoned);
        assertEquals(List.of(), listener.elected);
        reply("b", replicated());
        finishWrites(true);
        assertEquals(List.of(), listener.elected);
    }

    @Test
    void higherPromiseInsteadOfAnAcceptanceEndsTheElection() {
        accept();
        reply("c", rejected(Kind.ACCEPT_REPLY, HIGHER));
        assertEquals(1, listener.abandoned);
        assertEquals(HIGHER, voter.promisedEpoch());
        assertEquals(List.of(), listener.elected);
    }

    @Test
    void repliesOfEarlierStepsAreIgnored() {
        accept();
        int sent = output.sent().size();
        Epoch own = epoch();
        reply("b", granted(Kind.PRE_VOTE_REPLY));
        reply("b", rejected(Kind.PRE_VOTE_REPLY, HIGHER));
        assertEquals(own, epoch());
        reply("b", replicated());
        reply("b", fetched(missingEntry()));
        reply("b", rejected(Kind.REPLICATE_REPLY, epoch()).withLogPosition(Epoch.INITIAL, 0));
        assertEquals(sent, output.sent().size());
        assertEquals(0, listener.abandoned);
    }

    @Test
    void lateVoteWithTheMembershipOfThisElectionIsNoReasonToEndIt() {
        accept();
        Membership own = voter.membership();
        reply("c", granted(Kind.VOTE_REPLY).withMembership(own));
        assertEquals(0, listener.abandoned);
        reply("c", granted(Kind.VOTE_REPLY).withMembership(MEMBERSHIP));
        assertEquals(0, listener.abandoned);
    }
}
