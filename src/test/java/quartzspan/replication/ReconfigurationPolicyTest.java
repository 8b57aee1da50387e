package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a primary changes its membership: for failing data replicas, for failed voters, and for a spare voter. */
class ReconfigurationPolicyTest {
    private static final Membership MEMBERSHIP =
            new Membership(new Epoch(3, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c"), List.of());
    private static final long STANDBY_REQUEST_MS = 250;

    private final ReplicaContext context = new ReplicaContext("a", 1, 1, 0, new RecordingOutput());
    private final PeerLiveness peers = new PeerLiveness("a", 0);
    private final ReconfigurationPolicy policy = new ReconfigurationPolicy(context, peers);
    private long nowMs;

    /** A standby "s" has been heard for long enough to become a spare voter. */
    @BeforeEach
    void standByUntilPromotion() {
        run(Timing.STANDBY_PROMOTION_DELAY_MS, Set.of("b", "c"));
    }

    /** Time passes while these voters and the standby are heard. */
    private void run(long ms, Set<String> heard) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + STANDBY_REQUEST_MS);
            context.advance(nowMs);
            peers.onStandby(nowMs, "s");
            heard.forEach(name -> peers.onMessageFrom(nowMs, name));
        }
    }

    private Optional<List<String>> targetVoters() {
        return policy.requiredElection(MEMBERSHIP, Set.of()).map(ElectionPlan::voters);
    }

    @Test
    void standbyBecomesASpareVoterWhileAllVotersAreHeard() {
        assertEquals(Optional.empty(), targetVoters(), "not before the delay is over");
        run(STANDBY_REQUEST_MS, Set.of("b", "c"));
        assertEquals(Optional.of(List.of("a", "b", "c", "s")), targetVoters());
    }

    @Test
    void standbyBecomesNoSpareVoterBesideASilentOne() {
        run(Timing.BACKUP_TIMEOUT_MS + STANDBY_REQUEST_MS, Set.of("b"));
        assertEquals(Optional.empty(), targetVoters(), "of four voters two could be lost with the next one");
        run(Timing.SPARE_VOTER_TIMEOUT_MS, Set.of("b"));
        assertEquals(Optional.empty(), targetVoters(), "it may come back");
        run(Timing.VOTER_TIMEOUT_MS - Timing.SPARE_VOTER_TIMEOUT_MS, Set.of("b"));
        assertEquals(Optional.of(List.of("a", "b", "s")), targetVoters(), "it replaces the silent voter instead");
    }

    @Test
    void secondSpareVoterIsNotAdded() {
        run(STANDBY_REQUEST_MS, Set.of("b", "c"));
        Membership withSpare = new Membership(
                new Epoch(4, "a", 1), "a", List.of("a", "b", "c"), List.of("a", "b", "c", "d"), List.of());
        peers.onMessageFrom(nowMs, "d");
        assertEquals(Optional.empty(), policy.requiredElection(withSpare, Set.of()));
    }

    @Test
    void slowBackupIsReplacedByAVoterThatIsHeard() {
        Optional<ElectionPlan> plan = policy.requiredElection(MEMBERSHIP, Set.of("b"));
        assertTrue(plan.isPresent());
        assertEquals(Set.of("b"), plan.get().avoided());
        Membership next = new MembershipPlanner("a", 1, plan.get())
                .nextMembership(new Epoch(5, "a", 1), MEMBERSHIP, null, Set.of("a", "b", "c"));
        assertEquals(List.of("a", "c"), next.dataReplicas());
    }

    /** The slowness of a replica is forgotten with the membership; if it is chosen again and still slow, it is replaced again. */
    @Test
    void slowBackupThatIsChosenAgainIsReplacedAgain() {
        Membership again =
                new Membership(new Epoch(6, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c"), List.of());
        assertEquals(Optional.empty(), policy.requiredElection(again, Set.of()));
        assertEquals(
                Set.of("b"),
                policy.requiredElection(again, Set.of("b")).orElseThrow().avoided());
    }

    @Test
    void replicaThatLeavesIsReplacedAndIsNoSuccessor() {
        assertEquals("b", policy.successor(MEMBERSHIP));
        peers.onLeaving(nowMs, "b");
        assertEquals(null, policy.successor(MEMBERSHIP));
        assertEquals(Optional.of(List.of("a", "s", "c")), targetVoters());
        assertTrue(policy.hasSpareVoter(MEMBERSHIP));
    }

    private Optional<ElectionPlan> required(Membership membership) {
        return policy.requiredElection(membership, Set.of());
    }

    private static Membership membership(List<String> dataReplicas, List<String> voters) {
        return new Membership(new Epoch(4, "a", 1), "a", dataReplicas, voters, List.of());
    }

    @Test
    void missingDataReplicaIsAddedOnceEnoughVotersAreHeard() {
        Membership oneCopy = membership(List.of("a"), List.of("a", "b", "c"));
        assertTrue(required(oneCopy).isPresent());
        assertEquals(null, required(oneCopy).get().voters());
        run(Timing.BACKUP_TIMEOUT_MS + 1, Set.of());
        assertEquals(Optional.empty(), required(oneCopy), "nobody is heard who could hold it");
        peers.onMessageFrom(nowMs, "c");
        assertTrue(required(oneCopy).isPresent());
    }

    @Test
    void silentBackupIsReplacedOnlyIfAnotherVoterCanHoldTheData() {
        PeerLiveness noStandby = new PeerLiveness("a", nowMs);
        ReconfigurationPolicy others = new ReconfigurationPolicy(context, noStandby);
        advance(noStandby, Timing.BACKUP_TIMEOUT_MS, Set.of("c"));
        assertEquals(Optional.empty(), others.requiredElection(MEMBERSHIP, Set.of()), "not silent for long enough");
        advance(noStandby, 1, Set.of("c"));
        assertEquals(
                Set.of("b"),
                others.requiredElection(MEMBERSHIP, Set.of()).orElseThrow().avoided());
        advance(noStandby, Timing.BACKUP_TIMEOUT_MS + 1, Set.of());
        assertEquals(Optional.empty(), others.requiredElection(MEMBERSHIP, Set.of()), "nobody is heard");
    }

    @Test
    void leavingVoterCannotHoldTheDataOfASlowBackup() {
        Membership twoVoters = membership(List.of("a", "b"), List.of("a", "b", "c"));
        PeerLiveness noStandby = new PeerLiveness("a", 0);
        ReconfigurationPolicy others = new ReconfigurationPolicy(context, noStandby);
        noStandby.onMessageFrom(nowMs, "b");
        noStandby.onMessageFrom(nowMs, "c");
        assertTrue(others.requiredElection(twoVoters, Set.of("b")).isPresent());
        noStandby.onLeaving(nowMs, "c");
        assertEquals(Optional.empty(), others.requiredElection(twoVoters, Set.of("b")));
    }

    @Test
    void primaryDoesNotReplaceItself() {
        peers.onLeaving(nowMs, "a");
        Membership alone = membership(List.of("a", "b"), List.of("a", "b", "c"));
        Optional<ElectionPlan> plan = policy.requiredElection(alone, Set.of("a"));
        assertEquals(Optional.of(List.of("s", "b", "c")), plan.map(ElectionPlan::voters), "its vote is replaced");
        PeerLiveness noStandby = new PeerLiveness("a", 0);
        noStandby.onMessageFrom(nowMs, "b");
        noStandby.onMessageFrom(nowMs, "c");
        assertEquals(
                Optional.empty(), new ReconfigurationPolicy(context, noStandby).requiredElection(alone, Set.of("a")));
    }

    @Test
    void votersAreNotChangedWhileAChangeIsInProgress() {
        run(STANDBY_REQUEST_MS, Set.of("b", "c"));
        Membership joint = new Membership(
                new Epoch(4, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c"), List.of("a", "b", "d"));
        assertEquals(Optional.empty(), required(joint));
        assertEquals(Optional.of(List.of("a", "b", "c", "s")), targetVoters());
    }

    @Test
    void silentSpareVoterIsRemovedSoonerThanAnotherIsReplaced() {
        List<String> four = List.of("a", "b", "c", "d");
        Membership withSpare = membership(List.of("a", "b", "c"), four);
        PeerLiveness noStandby = new PeerLiveness("a", nowMs);
        ReconfigurationPolicy others = new ReconfigurationPolicy(context, noStandby);
        advance(noStandby, Timing.SPARE_VOTER_TIMEOUT_MS, Set.of("b", "c"));
        assertEquals(Optional.empty(), others.requiredElection(withSpare, Set.of()));
        advance(noStandby, 1, Set.of("b", "c"));
        assertEquals(
                Optional.of(List.of("a", "b", "c")),
                others.requiredElection(withSpare, Set.of()).map(ElectionPlan::voters));
        Membership threeVoters = membership(List.of("a", "b"), List.of("a", "b", "d"));
        assertEquals(Optional.empty(), others.requiredElection(threeVoters, Set.of()), "no voter to spare");
        advance(noStandby, Timing.VOTER_TIMEOUT_MS, Set.of("b", "c"));
        assertEquals(Optional.empty(), others.requiredElection(threeVoters, Set.of()), "and no standby to replace it");
    }

    private void advance(PeerLiveness liveness, long ms, Set<String> heard) {
        nowMs += ms;
        context.advance(nowMs);
        heard.forEach(name -> liveness.onMessageFrom(nowMs, name));
    }

    @Test
    void voterThatWasSilentForLongestIsReplacedFirst() {
        PeerLiveness liveness = new PeerLiveness("a", nowMs);
        ReconfigurationPolicy others = new ReconfigurationPolicy(context, liveness);
        Membership five = membership(List.of("a", "b"), List.of("a", "b", "c", "d"));
        advance(liveness, 300, Set.of("c"));
        advance(liveness, Timing.VOTER_TIMEOUT_MS + 1, Set.of("b"));
        assertEquals(
                Optional.of(List.of("a", "b", "c")),
                others.requiredElection(five, Set.of()).map(ElectionPlan::voters));
        PeerLiveness reversed = new PeerLiveness("a", nowMs);
        ReconfigurationPolicy again = new ReconfigurationPolicy(context, reversed);
        advance(reversed, 300, Set.of("d"));
        advance(reversed, Timing.VOTER_TIMEOUT_MS + 1, Set.of("b"));
        assertEquals(
                Optional.of(List.of("a", "b", "d")),
                again.requiredElection(five, Set.of()).map(ElectionPlan::voters));
    }

    @Test
    void tooFewVotersAreCompletedAtOnce() {
        Membership two = membership(List.of("a", "b"), List.of("a", "b"));
        PeerLiveness liveness = new PeerLiveness("a", nowMs);
        liveness.onMessageFrom(nowMs, "b");
        liveness.onStandby(nowMs, "s");
        assertEquals(
                Optional.of(List.of("a", "b", "s")),
                new ReconfigurationPolicy(context, liveness)
                        .requiredElection(two, Set.of())
                        .map(ElectionPlan::voters));
        assertEquals(
                Optional.empty(),
                new ReconfigurationPolicy(context, liveness)
                        .requiredElection(MEMBERSHIP, Set.of())
                        .map(ElectionPlan::voters),
                "a spare voter has to wait");
    }

    @Test
    void spareVoterOrStandbyMakesAVoterReplaceable() {
        PeerLiveness nobody = new PeerLiveness("a", nowMs);
        ReconfigurationPolicy others = new ReconfigurationPolicy(context, nobody);
        assertEquals(false, others.hasSpareVoter(MEMBERSHIP));
        assertTrue(others.hasSpareVoter(membership(List.of("a", "b", "c"), List.of("a", "b", "c", "d"))));
        assertTrue(policy.hasSpareVoter(MEMBERSHIP));
    }

    @Test
    void successorIsADataReplicaThatIsHeard() {
        Membership three = membership(List.of("a", "b", "c"), List.of("a", "b", "c", "d"));
        assertEquals("b", policy.successor(three));
        run(Timing.BACKUP_TIMEOUT_MS + 1, Set.of("c"));
        assertEquals("c", policy.successor(three));
        assertEquals(null, policy.successor(MEMBERSHIP));
    }
}
