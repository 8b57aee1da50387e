package quartzspan.replication;

import quartzspan.replication.ReplicaMessage.Kind;

/**
 * The voter and backup part of a replica: replies to candidates and to the primary. It is active in every role, since a primary
 * or candidate becomes a follower as soon as another replica has a higher epoch.
 */
final class FollowerState {
    /** Role transitions, which only the replica makes. */
    interface Transitions {
        /** Stops acting as primary or candidate. */
        void becomeFollower();

        /** Whether this replica is primary or candidate. */
        boolean isPrimaryOrCandidate();

        /** Whether this replica is primary and a quorum has recently confirmed it. */
        boolean isConfirmedPrimary();
    }

    private final ReplicaContext context;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final ReplyFactory replies;
    private final Transitions transitions;
    /** Time of the last contact with the primary, or with a candidate that defers the election timeout. */
    private long lastPrimaryContactAtMs;
    /** The epoch of the last membership that a heartbeat reported to be in effect. */
    private Epoch activeEpoch = Epoch.NONE;
    /** Whether the membership can do without this replica's vote, as the primary last reported. */
    private boolean replaceable;

    FollowerState(
            ReplicaContext context,
            VoterState voter,
            ReplicaLog log,
            PeerLiveness peers,
            ReplyFactory replies,
            Transitions transitions) {
        this.context = context;
        this.voter = voter;
        this.log = log;
        this.peers = peers;
        this.replies = replies;
        this.transitions = transitions;
        // Only two heartbeat intervals of the election timeout remain at the start: a running primary sends a heartbeat
        // within them, and after a power loss of all replicas there is no primary to wait for.
        this.lastPrimaryContactAtMs = context.nowMs() - Timing.ELECTION_TIMEOUT_MS + 2 * Timing.HEARTBEAT_MS;
    }

    /** Whether another replica acted as primary, or as a candidate that defers elections, within the given time. */
    boolean hasPrimaryContactWithin(long windowMs) {
        return context.nowMs() - lastPrimaryContactAtMs < windowMs;
    }

    /** Restarts the election timeout as a heartbeat does. */
    void restartElectionTimeout() {
        lastPrimaryContactAtMs = context.nowMs();
    }

    /** Whether a heartbeat has reported the known membership to be in effect. */
    boolean isMembershipActive() {
        return activeEpoch.equals(voter.membership().epoch());
    }

    /** Whether the membership can do without this replica's vote, as the primary last reported. */
    boolean isReplaceable() {
        return replaceable;
    }

    void onPreVote(String from, ReplicaMessage request) {
        boolean granted =
                !voter.isRecovering() && request.epoch().isAbove(voter.promisedEpoch()) && mayGrantVote(request);
        context.send(
                from,
                replies.rejection(Kind.PRE_VOTE_REPLY, request.epoch())
                        .withGranted(granted)
                        .withMembership(voter.durableMembership()));
    }

    /** Whether a vote may be granted: not while there is a working primary, unless that primary has requested the election. */
    private boolean mayGrantVote(ReplicaMessage request) {
        boolean handedOver = request.granted() && !voter.membership().supersedes(request.membership());
        return handedOver || !transitions.isConfirmedPrimary() && !hasPrimaryContactWithin(Timing.VOTE_STICKINESS_MS);
    }

    void onVote(String from, ReplicaMessage request) {
        Epoch epoch = request.epoch();
        boolean alreadyGranted = epoch.equals(voter.promisedEpoch());
        if (voter.isRecovering() || epoch.isBelow(voter.promisedEpoch()) || !alreadyGranted && !mayGrantVote(request)) {
            context.send(from, replies.rejection(Kind.VOTE_REPLY, epoch));
            return;
        }
        deferElection();
        if (!alreadyGranted) {
            transitions.becomeFollower();
            voter.promise(epoch);
        }
        if (epoch.equals(voter.durablePromisedEpoch())) {
            context.send(from, voteReply(epoch));
            return;
        }
        voter.persist(context.nowMs(), durable -> {
            boolean promiseHolds = durable && epoch.equals(voter.promisedEpoch());
            context.send(from, promiseHolds ? voteReply(epoch) : replies.rejection(Kind.VOTE_REPLY, epoch));
        });
    }

    private ReplicaMessage voteReply(Epoch epoch) {
        return replies.reply(Kind.VOTE_REPLY, epoch, true).withMembership(voter.durableMembership());
    }

    /** Delays elections of this replica to give the candidate time for its steps. */
    private void deferElection() {
        lastPrimaryContactAtMs = Math.max(lastPrimaryContactAtMs, context.nowMs() - Timing.ELECTION_DEFERRAL_AGE_MS);
    }

    void onFetch(String from, ReplicaMessage request) {
        if (voter.isRecovering() || !request.epoch().equals(voter.durablePromisedEpoch()) || log.index() < 0) {
            return;
        }
        StateUpdate update = log.updateFrom(request.logEpoch(), request.logIndex());
        context.send(
                from, replies.reply(Kind.FETCH_REPLY, request.epoch(), true).withBody(update.bytes()));
    }

    void onAccept(String from, ReplicaMessage request) {
        Epoch epoch = request.epoch();
        if (voter.isRecovering() || !request.membership().epoch().equals(epoch)) {
            return;
        }
        if (epoch.isBelow(voter.promisedEpoch())) {
            context.send(from, replies.rejection(Kind.ACCEPT_REPLY, epoch));
            return;
        }
        stepDownIfNeeded();
        restartElectionTimeout();
        voter.promise(epoch);
        voter.adoptIfNewer(request.membership());
        voter.persist(context.nowMs(), durable -> {
            if (durable) {
                context.send(from, replies.reply(Kind.ACCEPT_REPLY, epoch, true));
            }
        });
    }

    private void stepDownIfNeeded() {
        if (transitions.isPrimaryOrCandidate()) {
            transitions.becomeFollower();
        }
    }

    void onHeartbeat(String from, ReplicaMessage heartbeat) {
        Epoch epoch = heartbeat.epoch();
        if (epoch.isBelow(voter.promisedEpoch()) && !voter.isRecovering()) {
            context.send(from, replies.rejection(Kind.HEARTBEAT_REPLY, epoch).withNonce(heartbeat.nonce()));
            return;
        }
        Membership membership = heartbeat.membership();
        if (!membership.epoch().equals(epoch) || !membership.primary().equals(from)) {
            return;
        }
        restartElectionTimeout();
        activeEpoch = epoch;
        replaceable = heartbeat.granted();
        peers.mergeReportedContacts(context.nowMs(), heartbeat.sinceLastContactMs());
        if (voter.isRecovering()) {
            // The membership lists the replicas to send recovery requests to.
            // No reply is sent: it would acknowledge an epoch.
            voter.adoptIfNewer(membership);
            return;
        }
        stepDownIfNeeded();
        boolean newer = epoch.isAbove(voter.promisedEpoch()) || membership.supersedes(voter.membership());
        if (!newer) {
            acknowledge(from, heartbeat);
            return;
        }
        voter.promise(epoch);
        voter.adoptIfNewer(membership);
        voter.persist(context.nowMs(), durable -> {
            if (durable) {
                acknowledge(from, heartbeat);
            }
        });
    }

    private void acknowledge(String from, ReplicaMessage heartbeat) {
        boolean promiseHolds = !voter.promisedEpoch().isAbove(heartbeat.epoch());
        ReplicaMessage reply = promiseHolds
                ? replies.reply(Kind.HEARTBEAT_REPLY, heartbeat.epoch(), true)
                : replies.rejection(Kind.HEARTBEAT_REPLY, heartbeat.epoch());
        context.send(from, reply.withNonce(heartbeat.nonce()));
    }

    void onReplicate(String from, ReplicaMessage request) {
        Epoch epoch = request.epoch();
        if (voter.isRecovering()) {
            return;
        }
        if (epoch.isBelow(voter.promisedEpoch()) || request.generation() != voter.generation()) {
            context.send(from, replies.rejection(Kind.REPLICATE_REPLY, epoch));
            return;
        }
        if (epoch.equals(log.epoch()) && request.logIndex() <= log.index()) {
            context.send(from, replicateAck(request));
            return;
        }
        stepDownIfNeeded();
        deferElection();
        if (log.isAppending()) {
            return;
        }
        StateUpdate update = StateUpdate.parse(request.body());
        if (!log.isApplicable(update)) {
            context.send(from, replies.rejection(Kind.REPLICATE_REPLY, epoch));
            return;
        }
        if (epoch.isAbove(voter.promisedEpoch())) {
            voter.promise(epoch);
            voter.persist(context.nowMs(), durable -> {});
        }
        log.append(context.nowMs(), update, log.stateAfter(update), durable -> {
            if (durable) {
                context.send(from, replicateAck(request));
            }
        });
    }

    private ReplicaMessage replicateAck(ReplicaMessage request) {
        return replies.reply(Kind.REPLICATE_REPLY, request.epoch(), true)
                .withLogPosition(request.epoch(), request.logIndex());
    }
}
