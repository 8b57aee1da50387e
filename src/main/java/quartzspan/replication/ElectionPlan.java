package quartzspan.replication;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The requirements on the membership that a candidate forms.
 *
 * @param voters the target voters; null to keep the current ones
 * @param avoided replicas that should hold no data if others can
 * @param handedOver whether the primary has requested this election, so that recent contact with it does not prevent a vote
 */
record ElectionPlan(List<String> voters, Set<String> avoided, boolean handedOver) {
    /** The primary has timed out. */
    static final ElectionPlan FAILOVER = new ElectionPlan(null, Set.of(), false);

    /** The primary has requested that this replica takes over. */
    static final ElectionPlan HANDOVER = new ElectionPlan(null, Set.of(), true);

    /** A copy of this plan that avoids further replicas. */
    ElectionPlan avoiding(Set<String> more) {
        Set<String> all = new TreeSet<>(avoided);
        all.addAll(more);
        return new ElectionPlan(voters, all, handedOver);
    }
}
