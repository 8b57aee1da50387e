package quartzspan.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides for a primary whether its membership has to change: data replicas that are unresponsive, slow or about to shut down
 * are replaced, and so are voters that have failed.
 */
final class ReconfigurationPolicy {
    private final ReplicaContext context;
    private final PeerLiveness peers;

    ReconfigurationPolicy(ReplicaContext context, PeerLiveness peers) {
        this.context = context;
        this.peers = peers;
    }

    /**
     * The election that changes the membership as needed; empty if no change is needed.
     *
     * @param slow data replicas that have not synced the change in flight in time
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

    /** An election started by this primary, which avoids replicas that are failing or about to shut down. */
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
     * The target voters, which differ from the current ones by one replica; null if no change is needed.
     *
     * <p>One standby is added as a spare voter and data replica, so that the next failure of a voter leaves enough of them.
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
     * Whether a standby may be added without replacing a voter: if there are too few voters, or as the one spare voter. No
     * spare is added while a voter is unresponsive: that voter would be missing from the current set and from the larger one.
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

    /** Whether the membership can do without a voter that shuts down. */
    boolean hasSpareVoter(Membership membership) {
        return !peers.standbys(context.nowMs(), membership).isEmpty()
                || membership.voters().size() > minVoterCount();
    }

    /** The voter that has been unresponsive for longest, else one that is about to shut down; null if there is none. */
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

    /** A backup that can take over immediately; null if there is none. */
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
