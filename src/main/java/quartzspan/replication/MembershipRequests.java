package quartzspan.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quartzspan.replication.ReplicaMessage.Kind;

/** Sends requests to join the membership, or to leave it before this replica shuts down. */
final class MembershipRequests {
    private final ReplicaContext context;
    private final VoterState voter;
    private final List<String> seedNodes;

    MembershipRequests(ReplicaContext context, VoterState voter, List<String> seedNodes) {
        this.context = context;
        this.voter = voter;
        this.seedNodes = seedNodes;
    }

    /** Requests the promises and generations that the other replicas know, after the disk was lost. */
    void requestRecovery(DiskLossRecovery recovery) {
        knownPeers().forEach(name -> context.send(name, recovery.request()));
    }

    /** Announces this replica, which has no vote, as a standby. */
    void requestJoin() {
        ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                .withNonce(voter.incarnationNonce())
                .withGeneration(voter.generation());
        knownPeers().forEach(name -> context.send(name, request));
    }

    /** Announces that this replica is about to shut down and should be replaced. */
    void requestRemoval() {
        Epoch epoch = voter.membership().epoch();
        knownPeers().forEach(name -> context.send(name, ReplicaMessage.of(Kind.LEAVING, epoch)));
    }

    /** Requests that a backup starts an election immediately, as this primary is about to shut down. */
    void requestElection(String successor) {
        context.send(
                successor, ReplicaMessage.of(Kind.HANDOVER, voter.membership().epoch()));
    }

    private Set<String> knownPeers() {
        Set<String> all = new LinkedHashSet<>(voter.membership().electorate());
        all.add(voter.membership().primary());
        all.addAll(seedNodes);
        all.remove(context.self());
        all.remove("");
        return all;
    }
}
