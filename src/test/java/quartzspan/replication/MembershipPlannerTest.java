package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ReplicaMessage.Kind;

/** Which replicas hold the data and vote after an election, and whose state the candidate fetches. */
class MembershipPlannerTest {
    private static final Epoch EPOCH = new Epoch(5, "a", 1);
    private static final Epoch LATEST_EPOCH = new Epoch(3, "b", 1);
    private static final List<String> VOTERS = List.of("a", "b", "c", "d", "e");
    private static final Membership LATEST =
            new Membership(LATEST_EPOCH, "d", List.of("d", "e", "c"), VOTERS, List.of());

    private static MembershipPlanner planner(Set<String> avoided) {
        return new MembershipPlanner("a", 2, new ElectionPlan(null, avoided, false));
    }

    private static ReplicaMessage voteAt(Epoch logEpoch, long logIndex) {
        return ReplicaMessage.of(Kind.VOTE_REPLY, EPOCH).withGranted(true).withLogPosition(logEpoch, logIndex);
    }

    @Test
    void replicasThatHoldDataArePreferredUnlessAvoided() {
        Membership next = planner(Set.of()).nextMembership(EPOCH, LATEST, null, Set.of("a", "b", "c", "d", "e"));
        assertEquals(List.of("a", "c", "d"), next.dataReplicas());
        assertEquals(VOTERS, next.voters());
        assertEquals(List.of(), next.previousVoters());
        assertEquals("a", next.primary());
        Membership avoiding =
                planner(Set.of("c", "d")).nextMembership(EPOCH, LATEST, null, Set.of("a", "b", "c", "d", "e"));
        assertEquals(List.of("a", "e", "b"), avoiding.dataReplicas());
        Membership unavoidable = planner(Set.of("c", "d")).nextMembership(EPOCH, LATEST, null, Set.of("a", "b", "c"));
        assertEquals(List.of("a", "b", "c"), unavoidable.dataReplicas());
    }

    @Test
    void tooFewVotesToHoldTheDataFormNoMembership() {
        assertNull(planner(Set.of()).nextMembership(EPOCH, LATEST, null, Set.of("a", "b")));
    }

    @Test
    void changeOfVotersIsJoint() {
        List<String> target = List.of("a", "b", "c", "d", "f");
        Membership next = planner(Set.of()).nextMembership(EPOCH, LATEST, target, Set.of("a", "b", "c"));
        assertEquals(target, next.voters());
        assertEquals(VOTERS, next.previousVoters());
        Membership unchanged = planner(Set.of()).nextMembership(EPOCH, LATEST, VOTERS, Set.of("a", "b", "c"));
        assertEquals(List.of(), unchanged.previousVoters());
    }

    @Test
    void changeOfVotersInProgressIsCompletedFirst() {
        List<String> previous = List.of("a", "b", "c", "d", "x");
        Membership joint = new Membership(LATEST_EPOCH, "d", List.of("d", "e", "c"), VOTERS, previous);
        Membership next = planner(Set.of())
                .nextMembership(EPOCH, joint, List.of("a", "b", "c", "d", "f"), Set.of("a", "b", "c", "d"));
        assertEquals(VOTERS, next.voters());
        assertEquals(previous, next.previousVoters());
    }

    @Test
    void spareVoterHoldsDataToo() {
        List<String> withSpare = List.of("a", "b", "c", "d", "e", "f");
        assertEquals(3, MembershipPlanner.targetDataReplicaCount(VOTERS, 2));
        assertEquals(4, MembershipPlanner.targetDataReplicaCount(withSpare, 2));
        assertEquals(1, MembershipPlanner.targetDataReplicaCount(List.of("a"), 2));
        assertEquals(5, MembershipPlanner.minVoterCount(2));
        Membership next = planner(Set.of()).nextMembership(EPOCH, LATEST, withSpare, Set.copyOf(withSpare));
        assertEquals(4, next.dataReplicas().size());
        Membership fewVotes = planner(Set.of()).nextMembership(EPOCH, LATEST, withSpare, Set.of("a", "b", "c"));
        assertEquals(List.of("a", "c", "b"), fewVotes.dataReplicas(), "as many as have granted their vote");
    }

    @Test
    void newestLogOfTheLatestMembershipIsFetched() {
        Map<String, ReplicaMessage> replies = Map.of(
                "a", voteAt(LATEST_EPOCH, 9),
                "c", voteAt(LATEST_EPOCH, 7),
                "d", voteAt(LATEST_EPOCH, 8),
                "e", voteAt(new Epoch(2, "e", 1), 11));
        MembershipPlanner planner = planner(Set.of());
        assertEquals("d", planner.mostCompleteReplica(LATEST, Set.of("a", "c", "d", "e"), replies));
        assertEquals(
                "c", planner.mostCompleteReplica(LATEST, Set.of("a", "c", "e"), replies), "d has not granted its vote");
        assertNull(
                planner.mostCompleteReplica(LATEST, Set.of("a", "e"), replies), "e lacks the latest membership's log");
    }

    @Test
    void ownLogIsPreferredAmongEquals() {
        Membership latest = new Membership(LATEST_EPOCH, "d", List.of("d", "a", "e"), VOTERS, List.of());
        Map<String, ReplicaMessage> replies = Map.of(
                "a", voteAt(LATEST_EPOCH, 8),
                "d", voteAt(LATEST_EPOCH, 8),
                "e", voteAt(LATEST_EPOCH, 8));
        assertEquals("a", planner(Set.of()).mostCompleteReplica(latest, Set.of("a", "d", "e"), replies));
    }

    @Test
    void laterEpochOfALogCountsMoreThanItsIndex() {
        Map<String, ReplicaMessage> replies =
                Map.of("c", voteAt(LATEST_EPOCH, 9), "d", voteAt(new Epoch(4, "d", 1), 8));
        assertEquals("d", planner(Set.of()).mostCompleteReplica(LATEST, Set.of("c", "d"), replies));
    }
}
