package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;

/** How many core machines must hold a departure, and of how many a started machine must know the departures. */
class DepartureQuorumTest {
    private static final List<String> FIVE = List.of("a", "b", "c", "d", "e");

    private static Membership membership(List<String> voters, List<String> previousVoters) {
        return new Membership(Epoch.NONE, voters.get(0), voters, voters, previousVoters);
    }

    @Test
    void oneMoreThanMayBeLostAtOnceMustHoldIt() {
        Membership membership = membership(FIVE, List.of());
        assertFalse(DepartureQuorum.isDurable(membership, 2, Set.of("a", "b")));
        assertTrue(DepartureQuorum.isDurable(membership, 2, Set.of("a", "b", "e")));
        assertFalse(DepartureQuorum.isDurable(membership, 2, Set.of("a", "b", "standby")), "voters only");
    }

    @Test
    void allMustHoldItWhereFewerAreLeftThanTolerated() {
        Membership two = membership(List.of("a", "b"), List.of());
        assertFalse(DepartureQuorum.isDurable(two, 2, Set.of("a")));
        assertTrue(DepartureQuorum.isDurable(two, 2, Set.of("a", "b")));
        assertTrue(DepartureQuorum.isDurable(membership(List.of("a"), List.of()), 0, Set.of("a")));
    }

    @Test
    void whileVotersChangeBothSetsMustHoldIt() {
        Membership joint = membership(List.of("c", "d", "e"), List.of("a", "b", "c"));
        assertFalse(DepartureQuorum.isDurable(joint, 1, Set.of("c", "d")));
        assertTrue(DepartureQuorum.isDurable(joint, 1, Set.of("a", "c", "d")));
    }

    @Test
    void nothingIsDurableOrCompleteWithoutAMembership() {
        assertFalse(DepartureQuorum.isDurable(Membership.NONE, 1, Set.copyOf(FIVE)));
        assertFalse(DepartureQuorum.isComplete(Membership.NONE, Set.copyOf(FIVE)));
    }

    /** Whatever disks are lost, one holder is among the machines of which a started one knows the departures. */
    @Test
    void holdersAndKnownMachinesHaveOneInCommonDespiteLostDisks() {
        Membership membership = membership(FIVE, List.of());
        int checked = 0;
        for (Set<String> holders : subsets()) {
            for (Set<String> lost : subsets()) {
                for (Set<String> known : subsets()) {
                    boolean lostAnswer = known.stream().anyMatch(lost::contains);
                    if (lost.size() <= 2
                            && !lostAnswer
                            && DepartureQuorum.isDurable(membership, 2, holders)
                            && DepartureQuorum.isComplete(membership, known)) {
                        checked++;
                        assertTrue(holders.stream().anyMatch(known::contains), holders + " " + lost + " " + known);
                    }
                }
            }
        }
        assertTrue(checked > 0);
    }

    private static List<Set<String>> subsets() {
        List<Set<String>> all = new ArrayList<>();
        for (int bits = 0; bits < 1 << FIVE.size(); bits++) {
            Set<String> subset = new HashSet<>();
            for (int i = 0; i < FIVE.size(); i++) {
                if ((bits >> i & 1) == 1) {
                    subset.add(FIVE.get(i));
                }
            }
            all.add(subset);
        }
        return all;
    }
}
