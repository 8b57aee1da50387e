package quartzspan.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Computes the membership that a candidate forms. */
final class MembershipPlanner {
    private final String self;
    private final int toleratedFailures;
    private final ElectionPlan plan;

    /** @param toleratedFailures number of replicas that may fail at the same time */
    MembershipPlanner(String self, int toleratedFailures, ElectionPlan plan) {
        this.self = self;
        this.toleratedFailures = toleratedFailures;
        this.plan = plan;
    }

    /**
     * The membership that succeeds the latest one.
     *
     * @param targetVoters the target voters; null to keep the current ones
     * @param granting the replicas that have granted their vote
     * @return null if too few voters have granted their vote to hold the data
     */
    Membership nextMembership(Epoch epoch, Membership latest, List<String> targetVoters, Set<String> granting) {
        List<String> voters = targetVoters == null || latest.isJoint() ? latest.voters() : targetVoters;
        List<String> dataReplicas = chooseDataReplicas(latest, voters, granting);
        if (dataReplicas == null) {
            return null;
        }
        if (latest.isJoint()) {
            // The joint membership may be in effect or not: its change of voters is completed first.
            return new Membership(epoch, self, dataReplicas, voters, latest.previousVoters());
        }
        List<String> previousVoters = voters.equals(latest.voters()) ? List.of() : latest.voters();
        return new Membership(epoch, self, dataReplicas, voters, previousVoters);
    }

    /** Chooses among the replicas that granted their vote; prefers those not to be avoided, then those that hold data. */
    private List<String> chooseDataReplicas(Membership latest, List<String> voters, Set<String> granting) {
        List<String> eligible = new ArrayList<>(voters);
        eligible.retainAll(granting);
        eligible.remove(self);
        eligible.sort(Comparator.<String, Boolean>comparing(plan.avoided()::contains)
                .thenComparing(name -> !latest.dataReplicas().contains(name)));
        int minCount = Math.min(toleratedFailures + 1, voters.size());
        if (eligible.size() + 1 < minCount) {
            return null;
        }
        int count = Math.min(targetDataReplicaCount(voters, toleratedFailures), eligible.size() + 1);
        List<String> dataReplicas = new ArrayList<>();
        dataReplicas.add(self);
        dataReplicas.addAll(eligible.subList(0, count - 1));
        return dataReplicas;
    }

    /** One data replica more than the tolerated failures, and one more for each spare voter. */
    static int targetDataReplicaCount(List<String> voters, int toleratedFailures) {
        int spareVoters = Math.max(0, voters.size() - minVoterCount(toleratedFailures));
        return Math.min(toleratedFailures + 1 + spareVoters, voters.size());
    }

    /** Smallest number of voters of which a majority remains after the tolerated failures. */
    static int minVoterCount(int toleratedFailures) {
        return 2 * toleratedFailures + 1;
    }

    /**
     * The data replica of the latest membership with the most complete log, among those that granted their vote; this replica
     * if its log is equally complete.
     *
     * @param replies the granting replies by replica
     * @return null if none of them has a log of the latest membership's epoch
     */
    String mostCompleteReplica(Membership latest, Set<String> granting, Map<String, ReplicaMessage> replies) {
        Comparator<String> byCompleteness = Comparator.<String, Epoch>comparing(
                        name -> replies.get(name).logEpoch())
                .thenComparingLong(name -> replies.get(name).logIndex())
                .thenComparing(name -> name.equals(self));
        return latest.dataReplicas().stream()
                .filter(granting::contains)
                .filter(name -> !replies.get(name).logEpoch().isBelow(latest.epoch()))
                .max(byCompleteness)
                .orElse(null);
    }
}
