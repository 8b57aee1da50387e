package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** When a primary changes its membership: for failing data replicas, for failed voters, and for a spare voter. */
class ReconfigurationPolicyTest {
    private static final Membership MEMBERSHIP =
            new Membership(new Epoch(3, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c"), List.of());
    private static final long STANDBY_REQUEST_MS = 250;

    private final ReplicaContext context = new ReplicaContext("a", 1, 1, 0, new NoOutput());
    private final PeerLiveness peers = new PeerLiveness("a", 0);
    private final ReconfigurationPolicy policy = new ReconfigurationPolicy(context, peers);
    private long nowMs;

    private static final class NoOutput implements Replica.Output {
        @Override
        public void send(String to, ReplicaMessage message) {}

        @Override
        public void persist(long recordNumber, byte[] record) {}

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {}

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {}
    }

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
        run(Timing.VOTER_TIMEOUT_MS, Set.of("b"));
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
}
