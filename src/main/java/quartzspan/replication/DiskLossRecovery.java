package quartzspan.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.replication.VoterState.DiskIncarnation;

/**
 * How a replica whose disk was lost learns again what it may have promised.
 *
 * <p>It asks the others in the name of a new generation of its disk. Of each set of voters that it belongs to, so many have to
 * answer that no majority which it took part in is without one of them; of any other set a majority. Who answers has noted
 * the generation durably, so that what was promised before the loss cannot be counted any more.
 */
final class DiskLossRecovery {
    private final String self;
    private final VoterState voter;
    private final Map<String, ReplicaMessage> answers = new TreeMap<>();

    DiskLossRecovery(String self, VoterState voter, long nonce) {
        this.self = self;
        this.voter = voter;
        voter.beginIncarnation(new DiskIncarnation(1, nonce));
    }

    /** The question to all others that are known. */
    ReplicaMessage request() {
        return ReplicaMessage.of(ReplicaMessage.Kind.RECOVERY, Epoch.NONE)
                .withNonce(voter.incarnationNonce())
                .withGeneration(voter.generation())
                .withPromisedEpoch(Epoch.NONE, true);
    }

    /**
     * Takes an answer in.
     *
     * @return whether enough have answered; what they know has been taken over then, and is to be persisted
     */
    boolean onReply(String from, ReplicaMessage reply) {
        if (reply.nonce() != voter.incarnationNonce()) {
            return false;
        }
        voter.learn(reply.membership());
        long noted = reply.generations().getOrDefault(self, 0L);
        if (!reply.granted()) {
            claimGenerationAbove(noted);
            return false;
        }
        if (noted != voter.generation()) {
            return false;
        }
        answers.put(from, reply);
        if (!enough(voter.membership())) {
            return false;
        }
        answers.values().forEach(answer -> voter.promise(answer.promisedEpoch()));
        answers.clear();
        return true;
    }

    /** Another life of this disk has used the generation: the count begins again with a higher one. */
    private void claimGenerationAbove(long noted) {
        if (noted >= voter.generation()) {
            voter.beginIncarnation(new DiskIncarnation(noted + 1, voter.incarnationNonce()));
            answers.clear();
        }
    }

    private boolean enough(Membership membership) {
        return !membership.voters().isEmpty()
                && enough(membership.voters())
                && (!membership.joint() || enough(membership.previousVoters()));
    }

    private boolean enough(List<String> voters) {
        long told = answers.keySet().stream().filter(voters::contains).count();
        int majority = Membership.majority(voters);
        int needed = voters.contains(self) ? voters.size() - majority + 1 : majority;
        return told >= needed;
    }
}
