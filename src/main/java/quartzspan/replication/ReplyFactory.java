package quartzspan.replication;

import quartzspan.replication.ReplicaMessage.Kind;

/** Creates replies with the promised epoch and the log position of this replica. */
final class ReplyFactory {
    private final VoterState voter;
    private final ReplicaLog log;

    ReplyFactory(VoterState voter, ReplicaLog log) {
        this.voter = voter;
        this.log = log;
    }

    /** A reply that reports only durable promises. */
    ReplicaMessage reply(Kind kind, Epoch epoch, boolean granted) {
        return ReplicaMessage.of(kind, epoch)
                .withGranted(granted)
                .withPromisedEpoch(voter.durablePromisedEpoch(), voter.isRecovering())
                .withLogPosition(log.epoch(), log.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    /** A rejection, which reports the current promise even if that is not durable yet. */
    ReplicaMessage rejection(Kind kind, Epoch epoch) {
        return reply(kind, epoch, false).withPromisedEpoch(voter.promisedEpoch(), voter.isRecovering());
    }
}
