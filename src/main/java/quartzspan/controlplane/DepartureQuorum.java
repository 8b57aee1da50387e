package quartzspan.controlplane;

import java.util.Set;
import quartzspan.replication.Membership;

/**
 * How many core machines must hold a departure on disk before it is acknowledged, and of how many a machine that has started must
 * know the departures. Both are quorums of the voters, so they have a machine in common, also if as many disks as may be lost at
 * once are lost in between.
 */
final class DepartureQuorum {
    private DepartureQuorum() {}

    /**
     * Whether a departure that these machines hold on disk may be acknowledged.
     *
     * @param toleratedFailures number of machines that may be lost at once
     */
    static boolean isDurable(Membership membership, int toleratedFailures, Set<String> holders) {
        long holdingVoters =
                membership.voters().stream().filter(holders::contains).count();
        int requiredVoters = Math.min(toleratedFailures + 1, membership.voters().size());
        return membership.isQuorum(holders) && holdingVoters >= requiredVoters;
    }

    /** Whether the departures that these machines hold include every acknowledged one. */
    static boolean isComplete(Membership membership, Set<String> known) {
        return membership.isQuorum(known);
    }
}
