package quartzspan.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quartzspan.replication.ReplicaMessage.Kind;

/** Asks other replicas to take this one in, or to release it before it ends. */
final class MembershipRequests {
    private final ReplicaContext context;
    private final VoterState voter;
    private final List<String> seedNodes;

    MembershipRequests(ReplicaContext context, VoterState voter, List<String> seedNodes) {
        this.context = context;
        this.voter = voter;
        this.seedNodes = seedNodes;
    }

    /** The disk was lost: asks what this replica had promised. */
    void requestRecovery(DiskLossRecovery recovery) {
        knownPeers().forEach(name -> context.send(name, recovery.request()));
    }

    /** This replica has no vote: it makes itself known as a standby. */
    void requestJoin() {
        ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                .withNonce(voter.incarnationNonce())
                .withGeneration(voter.generation());
        knownPeers().forEach(name -> context.send(name, request));
    }

    /** This replica is about to end: the primary had better do without it. */
    void requestRemoval() {
        Epoch epoch = voter.membership().epoch();
        knownPeers().forEach(name -> context.send(name, ReplicaMessage.of(Kind.LEAVING, epoch)));
    }

    /** This primary is about to end: a backup is to start an election at once. */
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
