package quartzspan.replication;

import quartzspan.replication.ReplicaMessage.Kind;
import quartzspan.replication.VoterState.DiskIncarnation;

/** Replies to replicas that have lost their disk or have no vote, with the promise and membership known here. */
final class RecoveryResponder {
    private final ReplicaContext context;
    private final VoterState voter;
    private final PeerLiveness peers;
    private final ReplyFactory replies;

    RecoveryResponder(ReplicaContext context, VoterState voter, PeerLiveness peers, ReplyFactory replies) {
        this.context = context;
        this.voter = voter;
        this.peers = peers;
        this.replies = replies;
    }

    void onRequest(String from, ReplicaMessage request) {
        if (voter.isRecovering()) {
            return;
        }
        if (!request.recovering()) {
            peers.onStandby(context.nowMs(), from);
            context.send(
                    from,
                    replies.reply(Kind.RECOVERY_REPLY, Epoch.NONE, true).withMembership(voter.durableMembership()));
            return;
        }
        DiskIncarnation claimed = new DiskIncarnation(request.generation(), request.nonce());
        boolean recorded = voter.recordIncarnation(from, claimed);
        voter.persist(context.nowMs(), durable -> {
            if (durable) {
                context.send(
                        from,
                        replies.reply(Kind.RECOVERY_REPLY, Epoch.NONE, recorded)
                                .withNonce(request.nonce())
                                .withMembership(voter.durableMembership()));
            }
        });
    }
}
