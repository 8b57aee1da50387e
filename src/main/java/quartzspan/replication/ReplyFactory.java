package quartzspan.replication;

import quartzspan.replication.ReplicaMessage.Kind;

/** Makes replies that say what this replica has promised and how far its log reaches. */
final class ReplyFactory {
    private final VoterState voter;
    private final ReplicaLog log;

    ReplyFactory(VoterState voter, ReplicaLog log) {
        this.voter = voter;
        this.log = log;
    }

    /** A reply; others learn of promises only once they are durable. */
    ReplicaMessage reply(Kind kind, Epoch epoch, boolean granted) {
        return ReplicaMessage.of(kind, epoch)
                .withGranted(granted)
                .withPromisedEpoch(voter.durablePromisedEpoch(), voter.isRecovering())
                .withLogPosition(log.epoch(), log.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    /** A refusal, with the promise that it is made for. */
    ReplicaMessage rejection(Kind kind, Epoch epoch) {
        return reply(kind, epoch, false).withPromisedEpoch(voter.promisedEpoch(), voter.isRecovering());
    }
}
