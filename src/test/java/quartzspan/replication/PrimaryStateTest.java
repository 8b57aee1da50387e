package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/** What a primary sends, acknowledges and gives up: heartbeats, reads, changes, and lagging or failing replicas. */
class PrimaryStateTest {
    private static final Epoch EPOCH = new Epoch(3, "a", 1);
    private static final Epoch HIGHER = new Epoch(4, "b", 1);
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final Membership MEMBERSHIP = new Membership(EPOCH, "a", List.of("a", "b"), VOTERS, List.of());

    private final RecordingOutput output = new RecordingOutput();
    private final ReplicaContext context = new ReplicaContext("a", 1, 1, 10_000, output);
    private final DiskQueue disk = new DiskQueue(output);
    private final VoterState voter = new VoterState(disk);
    private final ReplicaLog log = new ReplicaLog(disk);
    private final PeerLiveness peers = new PeerLiveness("a", 10_000);
    private final RecordingListener listener = new RecordingListener();
    private final FleetException stopped =
            new FleetException(FleetException.Code.NOT_PRIMARY, "stopped", "ask another");
    private PrimaryState primary;

    /** Records the decisions of the primary. */
    private final class RecordingListener implements PrimaryState.Listener {
        private final List<ElectionPlan> plans = new ArrayList<>();
        private int stepDowns;
        private int diskFailures;
        private boolean stopsOnCompletion;

        @Override
        public void changeMembership(ElectionPlan plan) {
            plans.add(plan);
        }

        @Override
        public void stepDown() {
            stepDowns++;
        }

        @Override
        public void diskFailed() {
            diskFailures++;
        }

        @Override
        public void committed(long index, ControlState state) {
            output.committed(index, state, log.history());
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            output.completed(requestId, rejection, state);
            if (stopsOnCompletion) {
                stopsOnCompletion = false;
                primary.stop(stopped);
            }
        }
    }

    @BeforeEach
    void writeInitialState() {
        log.initialize(context.nowMs(), durable -> {});
        finishWrites(true);
        StateUpdate first = log.nextEntry(EPOCH, null);
        log.append(context.nowMs(), first, log.state(), durable -> {});
        finishWrites(true);
        voter.promise(EPOCH);
    }

    private void begin(Membership membership) {
        voter.adoptIfNewer(membership);
        primary = new PrimaryState(context, voter, log, peers, membership, listener);
        primary.begin();
    }

    private void begin() {
        begin(MEMBERSHIP);
    }

    private void finishWrites(boolean durable) {
        while (!output.pendingWrites().isEmpty()) {
            disk.onPersisted(context.nowMs(), output.pendingWrites().remove(), durable);
        }
    }

    private void advance(long ms) {
        context.advance(context.nowMs() + ms);
    }

    /** Time passes, with heartbeats that all voters acknowledge. */
    private void runConfirmed(long ms) {
        for (long end = context.nowMs() + ms; context.nowMs() < end; ) {
            advance(Math.min(50, end - context.nowMs()));
            primary.onTick();
            for (String name : List.of("b", "c")) {
                peers.onMessageFrom(context.nowMs(), name);
                primary.onHeartbeatReply(name, heartbeatReply());
            }
        }
    }

    private ReplicaMessage heartbeatReply() {
        return ReplicaMessage.of(Kind.HEARTBEAT_REPLY, EPOCH)
                .withGranted(true)
                .withNonce(output.last(Kind.HEARTBEAT).nonce())
                .withLogPosition(log.epoch(), log.index());
    }

    private static ReplicaMessage replicated(long index) {
        return ReplicaMessage.of(Kind.REPLICATE_REPLY, EPOCH).withGranted(true).withLogPosition(EPOCH, index);
    }

    private static ReplicaMessage notReplicated(Epoch logEpoch, long index) {
        return ReplicaMessage.of(Kind.REPLICATE_REPLY, EPOCH).withLogPosition(logEpoch, index);
    }

    private static Change claim() {
        return new Change(Change.Kind.ROLLOUT_CLAIM, 0, "a".getBytes(StandardCharsets.UTF_8));
    }

    private static Change replace(long base, long version) {
        return new Change(Change.Kind.REPLACE, base, SimulatedCluster.document(version));
    }

    private List<Long> completedRequests() {
        return output.completed().stream()
                .map(RecordingOutput.Completed::requestId)
                .toList();
    }

    /** Submits a change and lets both data replicas sync it. */
    private void commit(long requestId, Change change) {
        primary.submit(requestId, change);
        finishWrites(true);
        primary.onReplicateReply("b", replicated(log.index()));
    }

    @Test
    void beginsWithItsCommittedStateAndHeartbeats() {
        peers.onStandby(context.nowMs(), "s");
        begin();
        assertEquals(1, output.committed().get(0).index());
        assertEquals(Set.of("b", "c", "s"), Set.copyOf(output.receivers(Kind.HEARTBEAT)));
        assertEquals(3, output.receivers(Kind.HEARTBEAT).size());
        assertTrue(output.pendingWrites().isEmpty(), "the membership needs no commit");
    }

    @Test
    void jointMembershipIsCommittedOnceDurable() {
        Membership joint = new Membership(EPOCH, "a", List.of("a", "b"), VOTERS, List.of("a", "b", "d"));
        begin(joint);
        assertTrue(output.last(Kind.HEARTBEAT).membership().isJoint());
        assertFalse(voter.membership().isJoint());
        output.clearSent();
        finishWrites(true);
        assertFalse(output.last(Kind.HEARTBEAT).membership().isJoint());
    }

    @Test
    void jointMembershipStaysWhileItsCommitIsNotDurable() {
        Membership joint = new Membership(EPOCH, "a", List.of("a", "b"), VOTERS, List.of("a", "b", "d"));
        begin(joint);
        output.clearSent();
        finishWrites(false);
        assertNull(output.last(Kind.HEARTBEAT));
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertTrue(output.last(Kind.HEARTBEAT).membership().isJoint());
    }

    @Test
    void stoppedPrimarySendsNothingWhenItsMembershipIsDurable() {
        Membership joint = new Membership(EPOCH, "a", List.of("a", "b"), VOTERS, List.of("a", "b", "d"));
        begin(joint);
        primary.stop(stopped);
        output.clearSent();
        finishWrites(true);
        assertEquals(List.of(), output.sent());
    }

    @Test
    void heartbeatsAreSentAtTheirInterval() {
        begin();
        output.clearSent();
        advance(Timing.HEARTBEAT_MS - 1);
        primary.onTick();
        assertNull(output.last(Kind.HEARTBEAT));
        advance(1);
        primary.onTick();
        assertNotNull(output.last(Kind.HEARTBEAT));
        output.clearSent();
        primary.onTick();
        assertNull(output.last(Kind.HEARTBEAT));
    }

    @Test
    void stepsDownWithoutAQuorum() {
        begin();
        advance(Timing.QUORUM_TIMEOUT_MS);
        primary.onTick();
        assertEquals(0, listener.stepDowns);
        output.clearSent();
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertEquals(1, listener.stepDowns);
        assertEquals(List.of(), output.sent(), "and sends no more heartbeats");
    }

    @Test
    void heartbeatRejectedForAHigherPromiseStartsAnElection() {
        begin();
        ReplicaMessage rejection = ReplicaMessage.of(Kind.HEARTBEAT_REPLY, EPOCH);
        primary.onHeartbeatReply("b", rejection.withPromisedEpoch(EPOCH, false));
        assertEquals(List.of(), listener.plans, "no higher promise");
        ReplicaMessage higher = rejection.withPromisedEpoch(HIGHER, false);
        primary.onHeartbeatReply(
                "b", ReplicaMessage.of(Kind.HEARTBEAT_REPLY, Epoch.INITIAL).withPromisedEpoch(HIGHER, false));
        assertEquals(List.of(), listener.plans, "the reply to an earlier membership");
        primary.onHeartbeatReply("b", higher);
        assertEquals(1, listener.plans.size());
        assertNull(listener.plans.get(0).voters());
        assertEquals(HIGHER, voter.promisedEpoch());
    }

    @Test
    void rejectedHeartbeatConfirmsNothing() {
        begin();
        primary.read(7);
        primary.onHeartbeatReply("b", heartbeatReply().withGranted(false));
        assertEquals(List.of(), completedRequests());
        primary.onHeartbeatReply("b", heartbeatReply());
        assertEquals(List.of(7L), completedRequests());
    }

    @Test
    void readsArePendingOnceEvenIfTheFirstCompletionStopsThePrimary() {
        begin();
        primary.read(7);
        primary.read(8);
        listener.stopsOnCompletion = true;
        primary.onHeartbeatReply("b", heartbeatReply());
        assertEquals(List.of(7L, 8L), completedRequests());
        assertNull(output.completed().get(0).rejection());
        assertEquals(stopped, output.completed().get(1).rejection());
    }

    @Test
    void laggingDataReplicaIsBroughtUpToDate() {
        begin();
        primary.onHeartbeatReply("b", heartbeatReply());
        assertNull(output.last(Kind.REPLICATE), "it is up to date");
        primary.onHeartbeatReply("c", heartbeatReply().withLogPosition(Epoch.NONE, -1));
        assertNull(output.last(Kind.REPLICATE), "a witness holds no data");
        ReplicaMessage lagging =
                heartbeatReply().withLogPosition(Epoch.INITIAL, 0).withGeneration(2);
        primary.onHeartbeatReply("b", lagging);
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE));
        assertEquals(2, output.last(Kind.REPLICATE).generation());
        StateUpdate update = StateUpdate.parse(output.last(Kind.REPLICATE).body());
        assertEquals(1, update.entries().size());
        advance(Timing.RETRY_MS - 1);
        primary.onHeartbeatReply("b", lagging);
        assertEquals(1, output.receivers(Kind.REPLICATE).size(), "it was sent recently");
        advance(1);
        primary.onHeartbeatReply("b", lagging);
        assertEquals(2, output.receivers(Kind.REPLICATE).size());
    }

    @Test
    void laggingReplicaWaitsForTheChangeInFlight() {
        begin();
        primary.submit(7, claim());
        finishWrites(true);
        output.clearSent();
        ReplicaMessage lagging = heartbeatReplyTo(1).withLogPosition(Epoch.INITIAL, 0);
        advance(Timing.RETRY_MS);
        primary.onHeartbeatReply("b", lagging);
        assertNull(output.last(Kind.REPLICATE));
    }

    private static ReplicaMessage heartbeatReplyTo(long sequence) {
        return ReplicaMessage.of(Kind.HEARTBEAT_REPLY, EPOCH).withGranted(true).withNonce(sequence);
    }

    @Test
    void laggingReplicaWaitsWhileTheLogIsWritten() {
        begin();
        output.clearSent();
        log.append(context.nowMs(), log.nextEntry(EPOCH, null), log.state(), durable -> {});
        primary.onHeartbeatReply("b", heartbeatReplyTo(1).withLogPosition(Epoch.INITIAL, 0));
        primary.onReplicateReply("b", notReplicated(Epoch.NONE, -1));
        assertNull(output.last(Kind.REPLICATE));
    }

    @Test
    void stoppedPrimaryReplicatesNothing() {
        begin();
        primary.stop(stopped);
        output.clearSent();
        primary.onHeartbeatReply("b", heartbeatReplyTo(1).withLogPosition(Epoch.INITIAL, 0));
        primary.submit(7, claim());
        assertNull(output.last(Kind.REPLICATE));
        assertTrue(output.pendingWrites().isEmpty());
    }

    @Test
    void changeIsSentToTheOtherDataReplicasAndAcknowledgedOnceAllHaveSyncedIt() {
        begin();
        output.clearSent();
        primary.submit(7, claim());
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE));
        primary.onReplicateReply("b", replicated(2));
        assertEquals(List.of(), completedRequests(), "its own write is not done");
        finishWrites(true);
        assertEquals(List.of(7L), completedRequests());
        assertEquals(2, output.committed().get(1).index());
        assertEquals(1, primary.committedState().fencingToken());
    }

    @Test
    void acknowledgementsOfEarlierChangesAndEpochsDoNotCount() {
        begin();
        commit(7, claim());
        primary.onReplicateReply("b", replicated(2));
        primary.submit(8, claim());
        finishWrites(true);
        assertEquals(List.of(7L), completedRequests(), "the other data replica has not synced it");
        primary.onReplicateReply("b", replicated(2));
        primary.onReplicateReply(
                "b",
                ReplicaMessage.of(Kind.REPLICATE_REPLY, Epoch.INITIAL)
                        .withGranted(true)
                        .withLogPosition(EPOCH, 3));
        assertEquals(List.of(7L), completedRequests());
        primary.onReplicateReply("b", replicated(3));
        assertEquals(List.of(7L, 8L), completedRequests());
    }

    @Test
    void changesAreReplicatedOneAfterTheOther() {
        begin();
        output.clearSent();
        primary.submit(7, claim());
        finishWrites(true);
        primary.submit(8, claim());
        assertEquals(1, output.receivers(Kind.REPLICATE).size());
        primary.onReplicateReply("b", replicated(2));
        assertEquals(2, output.receivers(Kind.REPLICATE).size(), "the next one starts with the commit");
        finishWrites(true);
        primary.onReplicateReply("b", replicated(3));
        assertEquals(List.of(7L, 8L), completedRequests());
    }

    @Test
    void changeWaitsWhileTheLogIsWrittenAndStartsAtATick() {
        begin();
        log.append(context.nowMs(), log.nextEntry(EPOCH, null), log.state(), durable -> {});
        output.clearSent();
        primary.submit(7, claim());
        assertNull(output.last(Kind.REPLICATE));
        finishWrites(true);
        primary.onTick();
        assertNotNull(output.last(Kind.REPLICATE));
    }

    @Test
    void rejectionIsReportedOnceAQuorumHasConfirmedThePrimary() {
        begin();
        primary.onHeartbeatReply("b", heartbeatReply());
        primary.submit(7, replace(5, 6));
        assertEquals(List.of(), completedRequests());
        primary.onHeartbeatReply("b", heartbeatReply());
        assertEquals(
                FleetException.Code.CONFIG_STALE,
                output.completed().get(0).rejection().code());
    }

    @Test
    void changeThatIsInEffectIsAcknowledgedOnceAQuorumHasConfirmedThePrimary() {
        begin();
        commit(7, replace(0, 5));
        output.clearSent();
        primary.submit(8, replace(0, 5));
        assertNull(output.last(Kind.REPLICATE));
        assertEquals(List.of(7L), completedRequests());
        primary.onHeartbeatReply("b", heartbeatReply());
        assertEquals(List.of(7L, 8L), completedRequests());
        assertNull(output.completed().get(1).rejection());
    }

    @Test
    void failedWriteOfAChangeIsADiskFailure() {
        begin();
        primary.submit(7, claim());
        finishWrites(false);
        assertEquals(1, listener.diskFailures);
        assertEquals(List.of(), completedRequests());
    }

    @Test
    void writeThatEndsAfterThePrimaryChangesNothing() {
        begin();
        primary.submit(7, claim());
        primary.stop(stopped);
        int commits = output.committed().size();
        finishWrites(true);
        assertEquals(List.of(7L), completedRequests());
        assertEquals(commits, output.committed().size());
        primary.onReplicateReply("b", replicated(2));
        assertEquals(commits, output.committed().size());
    }

    @Test
    void failedWriteAfterThePrimaryIsNoDiskFailure() {
        begin();
        primary.submit(7, claim());
        primary.stop(stopped);
        finishWrites(false);
        assertEquals(0, listener.diskFailures);
    }

    @Test
    void changeInFlightIsResentWithEachHeartbeat() {
        begin();
        advance(Timing.HEARTBEAT_MS);
        primary.submit(7, claim());
        output.clearSent();
        primary.onTick();
        assertEquals(List.of(), output.receivers(Kind.REPLICATE), "it was sent just now");
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertEquals(List.of("b"), output.receivers(Kind.REPLICATE), "not to itself");
        StateUpdate whileWriting = StateUpdate.parse(output.last(Kind.REPLICATE).body());
        assertEquals(1, whileWriting.entries().size());
        assertEquals(2, whileWriting.index());
        finishWrites(true);
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertTrue(StateUpdate.parse(output.last(Kind.REPLICATE).body()).isSnapshot(), "its position is not known");
        primary.onHeartbeatReply("b", heartbeatReplyTo(1).withLogPosition(Epoch.INITIAL, 0));
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertEquals(
                2,
                StateUpdate.parse(output.last(Kind.REPLICATE).body()).entries().size(),
                "from its last position");
    }

    @Test
    void changeIsNotResentToAReplicaThatHasSyncedIt() {
        begin();
        primary.submit(7, claim());
        primary.onReplicateReply("b", replicated(2));
        output.clearSent();
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        assertNull(output.last(Kind.REPLICATE));
    }

    @Test
    void nothingIsResentWithoutAChangeInFlight() {
        begin();
        output.clearSent();
        advance(2 * Timing.HEARTBEAT_MS);
        primary.onTick();
        assertNull(output.last(Kind.REPLICATE));
    }

    @Test
    void updateRejectedForAHigherPromiseEndsThePrimary() {
        begin();
        primary.submit(7, claim());
        primary.onReplicateReply("b", notReplicated(EPOCH, 1).withPromisedEpoch(HIGHER, false));
        assertEquals(1, listener.stepDowns);
        assertEquals(HIGHER, voter.promisedEpoch());
    }

    @Test
    void updateThatDoesNotFollowIsReplacedByOneThatDoes() {
        begin();
        commit(7, claim());
        output.clearSent();
        ReplicaMessage behind = notReplicated(Epoch.INITIAL, 0).withPromisedEpoch(EPOCH, false);
        primary.onReplicateReply("c", behind);
        assertNull(output.last(Kind.REPLICATE), "a witness");
        primary.onReplicateReply("b", behind);
        assertEquals(
                2,
                StateUpdate.parse(output.last(Kind.REPLICATE).body()).entries().size());
        primary.onReplicateReply("b", behind);
        assertEquals(1, output.receivers(Kind.REPLICATE).size(), "the same position again");
        primary.onReplicateReply("b", notReplicated(EPOCH, 1));
        assertEquals(2, output.receivers(Kind.REPLICATE).size());
        assertEquals(0, listener.stepDowns);
    }

    @Test
    void ownDiskThatIsTooSlowIsADiskFailure() {
        begin();
        primary.submit(7, claim());
        runConfirmed(Timing.DISK_TIMEOUT_MS);
        assertEquals(0, listener.diskFailures);
        advance(1);
        primary.onTick();
        assertEquals(1, listener.diskFailures);
    }

    @Test
    void largeStateExtendsTheTimeoutOfTheDisk() {
        begin();
        byte[] document = ("{\"version\":1,\"routes\":[],\"services\":[],\"padding\":\"" + "x".repeat(409_600) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        commit(7, new Change(Change.Kind.REPLACE, 0, document));
        primary.submit(8, claim());
        runConfirmed(Timing.DISK_TIMEOUT_MS + 100);
        assertEquals(0, listener.diskFailures);
        runConfirmed(10);
        assertEquals(1, listener.diskFailures);
    }

    @Test
    void backupThatIsTooSlowIsReplaced() {
        begin();
        primary.submit(7, claim());
        finishWrites(true);
        runConfirmed(Timing.BACKUP_TIMEOUT_MS);
        assertEquals(List.of(), listener.plans);
        runConfirmed(50);
        assertEquals(Set.of("b"), listener.plans.get(0).avoided());
        assertEquals(0, listener.diskFailures, "its own disk is not slow");
        runConfirmed(Timing.DISK_TIMEOUT_MS);
        assertEquals(0, listener.diskFailures);
    }

    @Test
    void idlePrimaryReplacesNobody() {
        begin();
        runConfirmed(2 * Timing.DISK_TIMEOUT_MS);
        assertEquals(List.of(), listener.plans);
        assertEquals(0, listener.diskFailures);
        assertEquals(0, listener.stepDowns);
    }

    @Test
    void allPendingRequestsAreRejectedOnceAtItsEnd() {
        begin();
        primary.submit(7, claim());
        primary.submit(8, claim());
        primary.read(9);
        primary.stop(stopped);
        assertEquals(List.of(7L, 8L, 9L), completedRequests());
        output.completed().forEach(entry -> assertEquals(stopped, entry.rejection()));
        finishWrites(true);
        primary.onHeartbeatReply("b", heartbeatReply());
        primary.stop(stopped);
        assertEquals(3, output.completed().size());
    }

    @Test
    void primaryThatIsStoppedWithinATickChangesNoMembership() {
        Membership alone = new Membership(EPOCH, "a", List.of("a"), List.of("a"), List.of());
        begin(alone);
        log.append(context.nowMs(), log.nextEntry(EPOCH, null), log.state(), durable -> {});
        primary.submit(7, replace(5, 6));
        finishWrites(true);
        peers.onStandby(context.nowMs(), "s");
        listener.stopsOnCompletion = true;
        primary.onTick();
        assertEquals(List.of(7L), completedRequests());
        assertEquals(List.of(), listener.plans);
    }

    @Test
    void timesOfConfirmation() {
        long startedAtMs = context.nowMs();
        begin();
        assertEquals(startedAtMs, primary.unconfirmedSinceMs());
        assertTrue(primary.confirmedAtMs() < 0);
        advance(Timing.HEARTBEAT_MS);
        primary.onTick();
        primary.onHeartbeatReply("b", heartbeatReply());
        assertEquals(context.nowMs(), primary.confirmedAtMs());
        assertEquals(context.nowMs(), primary.unconfirmedSinceMs());
        assertEquals("b", primary.successor());
        assertArrayEquals(log.state().bytes(), primary.committedState().bytes());
    }
}
