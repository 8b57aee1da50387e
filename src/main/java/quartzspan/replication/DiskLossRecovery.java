package quartzspan.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.replication.VoterState.DiskIncarnation;

/**
 * How a replica whose disk was lost learns again what it may have promised.
 *
 * <p>It asks the others in the name of a new generation of its disk. Of each set of voters that it belongs to, so many have to
 * answer that no majority which it took part in is without one of them; of any other set a majority. Whoever replies has recorded
 * the generation durably, so that what was promised before the loss cannot be counted any more.
 */
final class DiskLossRecovery {
    private final String self;
    private final VoterState voter;
    private final Map<String, ReplicaMessage> replies = new TreeMap<>();

    DiskLossRecovery(String self, VoterState voter, long nonce) {
        this.self = self;
        this.voter = voter;
        voter.beginIncarnation(new DiskIncarnation(1, nonce));
    }

    /** The request to all other replicas that are known. */
    ReplicaMessage request() {
        return ReplicaMessage.of(ReplicaMessage.Kind.RECOVERY, Epoch.NONE)
                .withNonce(voter.incarnationNonce())
                .withGeneration(voter.generation())
                .withPromisedEpoch(Epoch.NONE, true);
    }

    /**
     * Takes a reply in.
     *
     * @return whether enough have replied; what they know has been taken over then, and is to be persisted
     */
    boolean onReply(String from, ReplicaMessage reply) {
        if (reply.nonce() != voter.incarnationNonce()) {
            return false;
        }
        voter.adoptIfNewer(reply.membership());
        long recordedGeneration = reply.generations().getOrDefault(self, 0L);
        if (!reply.granted()) {
            claimGenerationAbove(recordedGeneration);
            return false;
        }
        if (recordedGeneration != voter.generation()) {
            return false;
        }
        replies.put(from, reply);
        if (!hasEnoughReplies(voter.membership())) {
            return false;
        }
        replies.values().forEach(received -> voter.promise(received.promisedEpoch()));
        replies.clear();
        return true;
    }

    /** Another incarnation of this disk has used the generation: the count begins again with a higher one. */
    private void claimGenerationAbove(long recordedGeneration) {
        if (recordedGeneration >= voter.generation()) {
            voter.beginIncarnation(new DiskIncarnation(recordedGeneration + 1, voter.incarnationNonce()));
            replies.clear();
        }
    }

    private boolean hasEnoughReplies(Membership membership) {
        return !membership.voters().isEmpty()
                && hasEnoughReplies(membership.voters())
                && (!membership.isJoint() || hasEnoughReplies(membership.previousVoters()));
    }

    private boolean hasEnoughReplies(List<String> voters) {
        long replyCount = replies.keySet().stream().filter(voters::contains).count();
        int majority = Membership.majority(voters);
        int requiredReplies = voters.contains(self) ? voters.size() - majority + 1 : majority;
        return replyCount >= requiredReplies;
    }
}
