package quartzspan.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.replication.VoterState.DiskIncarnation;

/**
 * Recovers the promises of a replica that lost its disk.
 *
 * <p>The replica sends recovery requests with a new generation of its disk. From each set of voters that contains the replica, as
 * many have to reply as are needed to intersect every majority that the replica may have been part of; from any other set, a
 * majority. Each replying replica has recorded the generation durably, so that votes granted before the loss are not counted
 * any more.
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

    /** The request to be sent to all known replicas. */
    ReplicaMessage request() {
        return ReplicaMessage.of(ReplicaMessage.Kind.RECOVERY, Epoch.NONE)
                .withNonce(voter.incarnationNonce())
                .withGeneration(voter.generation())
                .withPromisedEpoch(Epoch.NONE, true);
    }

    /**
     * Handles a reply.
     *
     * @return whether enough replicas have replied; then their promises have been adopted, and have to be persisted
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

    /** If another incarnation of this disk has already used the generation, restarts recovery with a higher one. */
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
