package quartzspan.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Judges, for a primary, whether its membership has to change: data replicas that are silent, slow or about to end are
 * replaced, and so are voters that are gone.
 */
final class ReconfigurationPolicy {
    private final ReplicaContext context;
    private final PeerLiveness peers;

    ReconfigurationPolicy(ReplicaContext context, PeerLiveness peers) {
        this.context = context;
        this.peers = peers;
    }

    /**
     * The election that is needed; empty if the membership is as it should be.
     *
     * @param slow data replicas that are late with the change in flight
     */
    Optional<ElectionPlan> requiredElection(Membership membership, Set<String> slow) {
        long nowMs = context.nowMs();
        Set<String> failing = failingReplicas(nowMs, membership, slow);
        List<String> voters = targetVoters(nowMs, membership);
        long healthy = countHealthyPeers(nowMs, membership, failing);
        int targetCount = MembershipPlanner.targetDataReplicaCount(membership.voters(), context.toleratedFailures());
        boolean canReplace = !failing.isEmpty() && healthy >= context.toleratedFailures();
        boolean canAdd = membership.dataReplicas().size() < targetCount && healthy >= targetCount - 1;
        return canReplace || canAdd || voters != null ? Optional.of(election(voters, failing)) : Optional.empty();
    }

    /** An election that this primary starts itself: it avoids replicas that fail or are about to end. */
    ElectionPlan election(List<String> voters, Set<String> failing) {
        return new ElectionPlan(voters, failing, true).avoiding(peers.leaving(context.nowMs()));
    }

    private Set<String> failingReplicas(long nowMs, Membership membership, Set<String> slow) {
        Set<String> leaving = peers.leaving(nowMs);
        Set<String> failing = new TreeSet<>();
        for (String name : membership.dataReplicas()) {
            boolean failed = slow.contains(name) || leaving.contains(name) || isUnresponsive(nowMs, name);
            if (!name.equals(context.self()) && failed) {
                failing.add(name);
            }
        }
        return failing;
    }

    private boolean isUnresponsive(long nowMs, String name) {
        return peers.sinceLastContactMs(nowMs, name) > Timing.BACKUP_TIMEOUT_MS;
    }

    private long countHealthyPeers(long nowMs, Membership membership, Set<String> failing) {
        Set<String> leaving = peers.leaving(nowMs);
        return membership.voters().stream()
                .filter(name -> !name.equals(context.self()))
                .filter(name -> !isUnresponsive(nowMs, name))
                .filter(name -> !failing.contains(name) && !leaving.contains(name))
                .count();
    }

    /**
     * The voters as they should be, one change away from what they are; null if they are as they should be.
     *
     * <p>One standby is taken in beside all others, as voter and data replica, so that whoever ends next is not missed.
     */
    private List<String> targetVoters(long nowMs, Membership membership) {
        if (membership.isJoint()) {
            return null;
        }
        List<String> standbys = peers.standbys(nowMs, membership);
        List<String> voters = new ArrayList<>(membership.voters());
        String replaced = voterToReplace(nowMs, membership);
        if (replaced != null && !standbys.isEmpty()) {
            voters.set(voters.indexOf(replaced), standbys.get(0));
        } else if (replaced != null && voters.size() > minVoterCount()) {
            voters.remove(replaced);
        } else if (replaced == null && !standbys.isEmpty() && mayAddVoter(nowMs, membership, standbys.get(0))) {
            voters.add(standbys.get(0));
        } else {
            return null;
        }
        return voters;
    }

    private int minVoterCount() {
        return MembershipPlanner.minVoterCount(context.toleratedFailures());
    }

    /**
     * Whether a standby may be taken in beside all voters: where there are too few, or as the spare one. Beside a voter that
     * is silent it would make a set in which that one is missed twice.
     */
    private boolean mayAddVoter(long nowMs, Membership membership, String standby) {
        if (membership.voters().size() < minVoterCount()) {
            return true;
        }
        boolean allResponsive = membership.voters().stream().noneMatch(name -> isUnresponsive(nowMs, name));
        return membership.voters().size() == minVoterCount()
                && allResponsive
                && peers.standbyDurationMs(nowMs, standby) >= Timing.STANDBY_PROMOTION_DELAY_MS;
    }

    /** Whether the membership can do without a voter that ends. */
    boolean hasSpareVoter(Membership membership) {
        return !peers.standbys(context.nowMs(), membership).isEmpty()
                || membership.voters().size() > minVoterCount();
    }

    /** The voter that has been silent for longest, or else one that is about to end; null if there is none. */
    private String voterToReplace(long nowMs, Membership membership) {
        boolean hasSpare = membership.voters().size() > minVoterCount();
        long timeoutMs = hasSpare ? Timing.SPARE_VOTER_TIMEOUT_MS : Timing.VOTER_TIMEOUT_MS;
        String longestUnresponsive = null;
        for (String name : membership.voters()) {
            long sinceContactMs = peers.sinceLastContactMs(nowMs, name);
            boolean isLonger = longestUnresponsive == null
                    || sinceContactMs > peers.sinceLastContactMs(nowMs, longestUnresponsive);
            if (sinceContactMs > timeoutMs && isLonger) {
                longestUnresponsive = name;
            }
        }
        if (longestUnresponsive != null) {
            return longestUnresponsive;
        }
        Set<String> leaving = peers.leaving(nowMs);
        return membership.voters().stream()
                .filter(leaving::contains)
                .findFirst()
                .orElse(null);
    }

    /** The backup that can take over at once; null if there is none. */
    String successor(Membership membership) {
        long nowMs = context.nowMs();
        Set<String> leaving = peers.leaving(nowMs);
        return membership.dataReplicas().stream()
                .filter(name -> !name.equals(context.self()) && !leaving.contains(name))
                .filter(name -> !isUnresponsive(nowMs, name))
                .findFirst()
                .orElse(null);
    }
}
