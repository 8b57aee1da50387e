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
final class MembershipReview {
    private final ReplicaContext context;
    private final PeerLiveness peers;

    MembershipReview(ReplicaContext context, PeerLiveness peers) {
        this.context = context;
        this.peers = peers;
    }

    /**
     * The election that is needed; empty if the membership is as it should be.
     *
     * @param slow data replicas that are late with the change in flight
     */
    Optional<ElectionPlan> neededElection(Membership membership, Set<String> slow) {
        long now = context.now();
        Set<String> failing = failingReplicas(now, membership, slow);
        List<String> voters = wantedVoters(now, membership);
        long healthy = healthyOthers(now, membership, failing);
        int wanted = MembershipPlanner.wantedDataReplicas(membership.voters(), context.losses());
        boolean canReplace = !failing.isEmpty() && healthy >= context.losses();
        boolean canAdd = membership.dataReplicas().size() < wanted && healthy >= wanted - 1;
        return canReplace || canAdd || voters != null ? Optional.of(election(voters, failing)) : Optional.empty();
    }

    /** An election that this primary starts itself: it avoids replicas that fail or are about to end. */
    ElectionPlan election(List<String> voters, Set<String> failing) {
        return new ElectionPlan(voters, failing, true).avoiding(peers.leaving(context.now()));
    }

    private Set<String> failingReplicas(long now, Membership membership, Set<String> slow) {
        Set<String> leaving = peers.leaving(now);
        Set<String> failing = new TreeSet<>();
        for (String name : membership.dataReplicas()) {
            boolean failed = slow.contains(name) || leaving.contains(name) || isSilent(now, name);
            if (!name.equals(context.self()) && failed) {
                failing.add(name);
            }
        }
        return failing;
    }

    private boolean isSilent(long now, String name) {
        return peers.sinceHeardMs(now, name) > Timing.BACKUP_TIMEOUT_MS;
    }

    private long healthyOthers(long now, Membership membership, Set<String> failing) {
        Set<String> leaving = peers.leaving(now);
        return membership.voters().stream()
                .filter(name -> !name.equals(context.self()))
                .filter(name -> !isSilent(now, name))
                .filter(name -> !failing.contains(name) && !leaving.contains(name))
                .count();
    }

    /**
     * The voters as they should be, one change away from what they are; null if they are as they should be.
     *
     * <p>One standby is taken in beside all others, as voter and data replica, so that whoever ends next is not missed.
     */
    private List<String> wantedVoters(long now, Membership membership) {
        if (membership.isJoint()) {
            return null;
        }
        List<String> standbys = peers.standbys(now, membership);
        List<String> voters = new ArrayList<>(membership.voters());
        String replaced = voterToReplace(now, membership);
        if (replaced != null && !standbys.isEmpty()) {
            voters.set(voters.indexOf(replaced), standbys.get(0));
        } else if (replaced != null && voters.size() > neededVoters()) {
            voters.remove(replaced);
        } else if (replaced == null && !standbys.isEmpty() && mayAdd(now, membership, standbys.get(0))) {
            voters.add(standbys.get(0));
        } else {
            return null;
        }
        return voters;
    }

    private int neededVoters() {
        return MembershipPlanner.neededVoters(context.losses());
    }

    /**
     * Whether a standby may be taken in beside all voters: where there are too few, or as the spare one. Beside a voter that
     * is silent it would make a set in which that one is missed twice.
     */
    private boolean mayAdd(long now, Membership membership, String standby) {
        if (membership.voters().size() < neededVoters()) {
            return true;
        }
        boolean allHeard = membership.voters().stream().noneMatch(name -> isSilent(now, name));
        return membership.voters().size() == neededVoters()
                && allHeard
                && peers.standbyForMs(now, standby) >= Timing.STANDBY_PROMOTION_DELAY_MS;
    }

    /** Whether the membership can do without a voter that ends. */
    boolean hasSpareVoter(Membership membership) {
        return !peers.standbys(context.now(), membership).isEmpty()
                || membership.voters().size() > neededVoters();
    }

    /** The voter that has been silent for longest, or else one that is about to end; null if there is none. */
    private String voterToReplace(long now, Membership membership) {
        boolean hasSpare = membership.voters().size() > neededVoters();
        long timeoutMs = hasSpare ? Timing.SPARE_VOTER_TIMEOUT_MS : Timing.VOTER_TIMEOUT_MS;
        String longestSilent = null;
        for (String name : membership.voters()) {
            long elapsedMs = peers.sinceHeardMs(now, name);
            boolean longer = longestSilent == null || elapsedMs > peers.sinceHeardMs(now, longestSilent);
            if (elapsedMs > timeoutMs && longer) {
                longestSilent = name;
            }
        }
        if (longestSilent != null) {
            return longestSilent;
        }
        Set<String> leaving = peers.leaving(now);
        return membership.voters().stream()
                .filter(leaving::contains)
                .findFirst()
                .orElse(null);
    }

    /** The backup that can take over at once; null if there is none. */
    String successor(Membership membership) {
        long now = context.now();
        Set<String> leaving = peers.leaving(now);
        return membership.dataReplicas().stream()
                .filter(name -> !name.equals(context.self()) && !leaving.contains(name))
                .filter(name -> !isSilent(now, name))
                .findFirst()
                .orElse(null);
    }
}
