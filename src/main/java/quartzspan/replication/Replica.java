package quartzspan.replication;

import java.util.List;
import quartzspan.common.FleetException;

/**
 * The replica of the control state on one core machine, without clock, thread or I/O. It owns the role objects and makes all
 * transitions between roles:
 *
 * <pre>
 * RECOVERING  disk lost           to STANDBY, BACKUP, WITNESS   enough peers have reported their promises
 * STANDBY     no vote             to BACKUP, WITNESS            a primary's membership lists it as a voter
 * BACKUP,     follow the primary  to CANDIDATE                  the primary timed out, or hands over
 * WITNESS
 * CANDIDATE   runs an election    to PRIMARY                    its membership is in effect
 *                                 to BACKUP, WITNESS            a higher epoch was promised, or a step timed out
 * PRIMARY     accepts changes     to CANDIDATE                  its membership has to change
 *                                 to BACKUP, WITNESS            a higher epoch was promised, quorum lost, or slow disk
 * </pre>
 *
 * <p>Each {@link Epoch} forms at most one {@link Membership}: a primary, the backups that hold data, and the voters. A change is
 * acknowledged once the primary and all backups have it on disk. Unlike in Raft, the log is not replicated to a majority of the
 * voters: witnesses store promises and memberships only.
 *
 * <p>Not thread-safe: all calls come from one event loop. All times are milliseconds of a steady clock.
 */
public final class Replica {
    /** Receives the outputs of a replica; called only while the replica handles an event. */
    public interface Output {
        /** Sends a message, which may be lost. */
        void send(String to, ReplicaMessage message);

        /** Writes a record durably, in the order of the calls; the host reports each with {@link Replica#onPersisted}. */
        void persist(long recordNumber, byte[] record);

        /** The result of {@link Replica#submit} or {@link Replica#read}; {@code rejection} is null on success. */
        void completed(long requestId, FleetException rejection, ControlState state);

        /**
         * A state is committed; reported by the primary only. Committed indexes increase, and each identifies one state:
         * committed states form a single sequence across all memberships.
         */
        void committed(long index, ControlState state, ChangeHistory history);
    }

    private final ReplicaContext context;
    private final Output output;
    private final DiskQueue disk;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final List<String> seedNodes;
    private final FollowerState follower;
    private final RecoveryResponder recoveryResponder;
    private final MembershipRequests membershipRequests;
    private DiskLossRecovery recovery;
    private PrimaryState primary;
    private long earliestElectionAtMs;
    private long nextMembershipRequestAtMs;
    private boolean handingOver;

    /**
     * Starts a replica.
     *
     * @param self name of this replica, to which other replicas send messages
     * @param seedNodes names of the replicas of the initial membership, the same on all replicas; after bootstrap only the
     *     initial contacts
     * @param toleratedFailures number of replicas that may fail at the same time
     * @param bootstrap whether to create the initial membership if the disk is empty
     * @param records the records read from disk, oldest first
     * @param randomSeed seed of the replica's random numbers
     * @param nowMs the current time
     */
    public Replica(
            String self,
            List<String> seedNodes,
            int toleratedFailures,
            boolean bootstrap,
            List<byte[]> records,
            long randomSeed,
            long nowMs,
            Output output) {
        this.output = output;
        this.seedNodes = seedNodes.stream().distinct().toList();
        this.context = new ReplicaContext(self, toleratedFailures, randomSeed, nowMs, output);
        this.disk = new DiskQueue(output);
        this.voter = new VoterState(disk);
        this.log = new ReplicaLog(disk);
        this.peers = new PeerLiveness(self, nowMs);
        ReplyFactory replies = new ReplyFactory(voter, log);
        this.follower = new FollowerState(context, voter, log, peers, replies, new FollowerTransitions());
        this.recoveryResponder = new RecoveryResponder(context, voter, peers, replies);
        this.membershipRequests = new MembershipRequests(context, voter, this.seedNodes);
        boolean storeDamaged = !restore(records);
        if (storeDamaged || voter.membership().epoch().equals(Epoch.NONE)) {
            initialize(bootstrap && !storeDamaged);
        }
        becomeFollower();
    }

    /**
     * Loads the stored records. A damaged store is treated as a lost disk, since the promises can be recovered from the other
     * replicas.
     *
     * @return whether all records could be parsed
     */
    private boolean restore(List<byte[]> records) {
        try {
            for (byte[] record : records) {
                if (record[0] == VoterState.RECORD_TAG) {
                    voter.restore(record);
                } else {
                    log.restore(record);
                }
            }
            return true;
        } catch (RuntimeException malformedRecord) {
            // Parsers throw various exceptions on damaged bytes. After any of them no record can be trusted.
            voter.clear();
            log.clear();
            return false;
        }
    }

    /**
     * Bootstraps or recovers. The initial membership depends on the settings alone, so that every replica that bootstraps, even
     * repeatedly, creates the same one.
     */
    private void initialize(boolean bootstrap) {
        List<String> initialVoters = seedNodes.stream().sorted().toList();
        if (!bootstrap || !initialVoters.contains(context.self())) {
            beginRecovery();
            return;
        }
        List<String> dataReplicas =
                initialVoters.subList(0, Math.min(context.toleratedFailures() + 1, initialVoters.size()));
        voter.promise(Epoch.INITIAL);
        voter.adoptIfNewer(new Membership(Epoch.INITIAL, initialVoters.get(0), dataReplicas, initialVoters, List.of()));
        if (dataReplicas.contains(context.self())) {
            log.initialize(context.nowMs(), durable -> {});
        }
        voter.persist(context.nowMs(), durable -> {});
    }

    private void beginRecovery() {
        voter.setRecovering(true);
        recovery = new DiskLossRecovery(context.self(), voter, context.randomLong());
    }

    public boolean isPrimary() {
        return primary != null;
    }

    /** The newest membership known to this replica. */
    public Membership membership() {
        return voter.membership();
    }

    public Epoch promisedEpoch() {
        return voter.promisedEpoch();
    }

    /** Whether the disk was lost and the promises on it have not been recovered yet. */
    public boolean isRecovering() {
        return voter.isRecovering();
    }

    /** The current role of this replica. */
    public ReplicaRole role() {
        if (voter.isRecovering()) {
            return ReplicaRole.RECOVERING;
        }
        if (!isVoter()) {
            return ReplicaRole.STANDBY;
        }
        if (primary != null) {
            return ReplicaRole.PRIMARY;
        }
        if (context.candidate() != null) {
            return ReplicaRole.CANDIDATE;
        }
        return holdsData() ? ReplicaRole.BACKUP : ReplicaRole.WITNESS;
    }

    private boolean isVoter() {
        return membership().voters().contains(context.self());
    }

    private boolean holdsData() {
        return membership().dataReplicas().contains(context.self());
    }

    /** The primary, if this replica had contact with it within the quorum timeout; otherwise null. */
    public String knownPrimary(long nowMs) {
        if (isPrimary()) {
            return context.self();
        }
        context.advance(nowMs);
        String primaryName = membership().primary();
        boolean hasPrimaryContact = follower.hasPrimaryContactWithin(Timing.QUORUM_TIMEOUT_MS);
        return hasPrimaryContact && !primaryName.isEmpty() && !primaryName.equals(context.self()) ? primaryName : null;
    }

    /** The latest time for which a quorum confirmed this replica as the primary; far in the past if it is not primary. */
    public long confirmedAtMs() {
        return isPrimary() ? primary.confirmedAtMs() : Long.MIN_VALUE / 2;
    }

    public Epoch logEpoch() {
        return log.epoch();
    }

    public long logIndex() {
        return log.index();
    }

    /** The committed state on a primary; on other replicas the end of the log, which may be behind or ahead of it. */
    public ControlState state() {
        return isPrimary() ? primary.committedState() : log.state();
    }

    /** Submits a change of the control state; the result is passed to {@link Output#completed}. */
    public void submit(long nowMs, long requestId, Change change) {
        context.advance(nowMs);
        if (isPrimary()) {
            primary.submit(requestId, change);
        } else {
            output.completed(requestId, notPrimary(), null);
        }
    }

    /**
     * Reads the control state with linearizable consistency. The state is passed to {@link Output#completed} once a quorum has
     * confirmed this replica as the primary.
     */
    public void read(long nowMs, long requestId) {
        context.advance(nowMs);
        if (isPrimary()) {
            primary.read(requestId);
        } else {
            output.completed(requestId, notPrimary(), null);
        }
    }

    private static FleetException notPrimary() {
        return new FleetException(
                FleetException.Code.NOT_PRIMARY,
                "this machine is not the primary",
                "send the request to another core machine, or retry after a moment");
    }

    /**
     * Begins to hand over the responsibilities of this replica: leadership, its data, and its vote if a standby can replace
     * it.
     */
    public void beginHandover(long nowMs) {
        context.advance(nowMs);
        handingOver = true;
        nextMembershipRequestAtMs = nowMs;
        onTick(nowMs);
    }

    /** Whether a replica that hands over can shut down now without reducing availability or durability. */
    public boolean isHandoverComplete(long nowMs) {
        context.advance(nowMs);
        if (voter.isRecovering()) {
            // A recovering replica grants no votes, so no quorum depends on it.
            return handingOver;
        }
        if (!handingOver || isPrimary() || !follower.isMembershipActive()) {
            return false;
        }
        boolean hasPrimaryContact = follower.hasPrimaryContactWithin(Timing.QUORUM_TIMEOUT_MS);
        boolean voteOrDataNeeded = holdsData() || follower.isReplaceable();
        return !isVoter() || hasPrimaryContact && !voteOrDataNeeded;
    }

    /** Runs timers; to be called about every 50 ms. */
    public void onTick(long nowMs) {
        context.advance(nowMs);
        if (nowMs >= nextMembershipRequestAtMs) {
            nextMembershipRequestAtMs = nowMs + Timing.RETRY_MS;
            requestMembershipChange();
        }
        if (voter.isRecovering()) {
            return;
        }
        if (disk.oldestWriteAgeMs(nowMs) > Timing.DISK_TIMEOUT_MS && context.candidate() != null) {
            pauseElections();
        }
        if (primary != null) {
            primary.onTick();
        } else if (context.candidate() != null) {
            context.candidate().onTick();
        } else if (mayStartElection(nowMs)) {
            startElection(ElectionPlan.FAILOVER).startWithPreVote();
        }
    }

    private boolean mayStartElection(long nowMs) {
        return !handingOver
                && nowMs >= earliestElectionAtMs
                && !follower.hasPrimaryContactWithin(Timing.ELECTION_TIMEOUT_MS)
                && isVoter()
                && disk.isIdle();
    }

    /** A recovering replica or a standby requests to join; a replica that hands over requests its removal. */
    private void requestMembershipChange() {
        if (voter.isRecovering()) {
            membershipRequests.requestRecovery(recovery);
        } else if (handingOver && primary == null) {
            membershipRequests.requestRemoval();
        } else if (handingOver) {
            String successor = primary.successor();
            if (successor != null) {
                membershipRequests.requestElection(successor);
            }
        } else if (!isVoter()) {
            // This includes removed voters of a joint membership: the primary does not notify them of its commit.
            membershipRequests.requestJoin();
        }
    }

    /** Stops acting as primary or candidate. */
    private void becomeFollower() {
        long jitterMs = Timing.ELECTION_TIMEOUT_JITTER_MS / (holdsData() ? 2 : 1);
        earliestElectionAtMs = context.nowMs() + context.randomBelow(jitterMs);
        context.setCandidate(null);
        stopPrimary();
    }

    private void stopPrimary() {
        PrimaryState stopped = primary;
        primary = null;
        if (stopped != null) {
            stopped.stop(notPrimary());
        }
    }

    /** Starts no election for a while after a slow or failed disk write, so that another replica can become primary. */
    private void pauseElections() {
        becomeFollower();
        earliestElectionAtMs = context.nowMs() + Timing.ELECTION_PAUSE_MS;
    }

    private CandidateState startElection(ElectionPlan plan) {
        stopPrimary();
        ElectionPlan planAvoidingLeaving = plan.avoiding(peers.leaving(context.nowMs()));
        CandidateState candidate =
                new CandidateState(context, voter, log, planAvoidingLeaving, new CandidateListener());
        context.setCandidate(candidate);
        return candidate;
    }

    private void becomePrimary(Membership membership) {
        context.setCandidate(null);
        primary = new PrimaryState(context, voter, log, peers, membership, new PrimaryListener());
        primary.begin();
    }

    private final class FollowerTransitions implements FollowerState.Transitions {
        @Override
        public void becomeFollower() {
            Replica.this.becomeFollower();
        }

        @Override
        public boolean isPrimaryOrCandidate() {
            return primary != null || context.candidate() != null;
        }

        @Override
        public boolean isConfirmedPrimary() {
            return primary != null && context.nowMs() - primary.unconfirmedSinceMs() < Timing.VOTE_STICKINESS_MS;
        }
    }

    private final class CandidateListener implements CandidateState.Listener {
        @Override
        public void elected(Membership membership) {
            becomePrimary(membership);
        }

        @Override
        public void abandoned() {
            becomeFollower();
        }

        @Override
        public void diskFailed() {
            pauseElections();
        }
    }

    private final class PrimaryListener implements PrimaryState.Listener {
        @Override
        public void changeMembership(ElectionPlan plan) {
            startElection(plan).startWithVote();
        }

        @Override
        public void stepDown() {
            becomeFollower();
        }

        @Override
        public void diskFailed() {
            pauseElections();
        }

        @Override
        public void committed(long index, ControlState state) {
            output.committed(index, state, log.history());
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            output.completed(requestId, rejection, state);
        }
    }

    /** Handles a message from another replica. */
    public void onMessage(long nowMs, String from, ReplicaMessage message) {
        context.advance(nowMs);
        peers.onMessageFrom(nowMs, from);
        switch (message.kind()) {
            case HEARTBEAT -> follower.onHeartbeat(from, message);
            case PRE_VOTE -> follower.onPreVote(from, message);
            case VOTE -> follower.onVote(from, message);
            case FETCH -> follower.onFetch(from, message);
            case REPLICATE -> follower.onReplicate(from, message);
            case ACCEPT -> follower.onAccept(from, message);
            case HEARTBEAT_REPLY -> {
                if (primary != null) {
                    primary.onHeartbeatReply(from, message);
                }
            }
            case REPLICATE_REPLY -> {
                if (primary != null) {
                    primary.onReplicateReply(from, message);
                } else {
                    forwardToCandidate(from, message);
                }
            }
            case PRE_VOTE_REPLY, VOTE_REPLY, FETCH_REPLY, ACCEPT_REPLY -> forwardToCandidate(from, message);
            case RECOVERY -> recoveryResponder.onRequest(from, message);
            case RECOVERY_REPLY -> onRecoveryReply(from, message);
            case LEAVING -> peers.onLeaving(nowMs, from);
            case HANDOVER -> onHandover(from, message);
            default -> throw new IllegalStateException("unknown message kind " + message.kind());
        }
    }

    private void forwardToCandidate(String from, ReplicaMessage message) {
        if (context.candidate() != null) {
            context.candidate().onReply(from, message);
        }
    }

    private void onRecoveryReply(String from, ReplicaMessage reply) {
        if (!voter.isRecovering()) {
            if (!isVoter()) {
                voter.adoptIfNewer(reply.membership());
            }
            return;
        }
        if (!recovery.onReply(from, reply)) {
            return;
        }
        recovery = null;
        voter.setRecovering(false);
        follower.restartElectionTimeout();
        voter.persist(context.nowMs(), durable -> {
            if (!durable) {
                becomeFollower();
                beginRecovery();
            }
        });
    }

    private void onHandover(String from, ReplicaMessage message) {
        peers.onLeaving(context.nowMs(), from);
        boolean fromCurrentPrimary = message.epoch().equals(membership().epoch())
                && membership().primary().equals(from);
        boolean canTakeOver = !voter.isRecovering() && !handingOver && disk.isIdle() && holdsData();
        if (fromCurrentPrimary && canTakeOver && context.candidate() == null && primary == null) {
            startElection(ElectionPlan.HANDOVER).startWithVote();
        }
    }

    /** Handles the result of {@link Output#persist}; results arrive in the order of the records. */
    public void onPersisted(long nowMs, long recordNumber, boolean durable) {
        context.advance(nowMs);
        disk.onPersisted(nowMs, recordNumber, durable);
    }
}
