package quartzspan.replication;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the membership that a candidate forms should look like.
 *
 * @param voters the wanted voters; null to leave them as they are
 * @param avoided replicas that should hold no data if others can
 * @param handedOver whether the primary has asked for this election, so that its being heard is no reason to refuse a vote
 */
record ElectionPlan(List<String> voters, Set<String> avoided, boolean handedOver) {
    /** The primary is not heard any more. */
    static final ElectionPlan FAILOVER = new ElectionPlan(null, Set.of(), false);

    /** The primary asked this replica to take its place. */
    static final ElectionPlan HANDOVER = new ElectionPlan(null, Set.of(), true);

    /** The same plan that avoids further replicas. */
    ElectionPlan avoiding(Set<String> more) {
        Set<String> all = new TreeSet<>(avoided);
        all.addAll(more);
        return new ElectionPlan(voters, all, handedOver);
    }
}
