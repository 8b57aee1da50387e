package quartzspan.replication;

import java.util.List;
import quartzspan.common.FleetException;

/**
 * The replica of the control state on one core machine, without clock, thread or I/O. It owns the role objects and is the only
 * one that makes transitions between roles:
 *
 * <pre>
 * RECOVERING  disk lost           to STANDBY, BACKUP, WITNESS   enough others have reported what was promised
 * STANDBY     no vote             to BACKUP, WITNESS            a primary's membership names it as voter
 * BACKUP,     follow the primary  to CANDIDATE                  the primary is not heard, or hands over
 * WITNESS
 * CANDIDATE   runs an election    to PRIMARY                    its membership is in effect
 *                                 to BACKUP, WITNESS            another one has a higher epoch, a step timed out
 * PRIMARY     accepts changes     to CANDIDATE                  its membership has to change
 *                                 to BACKUP, WITNESS            another one has a higher epoch, no quorum, a slow disk
 * </pre>
 *
 * <p>An {@link Epoch} forms one {@link Membership} at most: a primary, the backups that hold data, and the voters. A change is
 * acknowledged when the disks of the primary and of all backups have it. There is no log that a majority replicates: voters
 * without data keep promises and memberships only.
 *
 * <p>Not thread-safe: all calls come from one event loop. All times are milliseconds of a steady clock.
 */
public final class Replica {
    /** The decisions of a replica; called only from within an event. */
    public interface Output {
        /** Sends a message, which may be lost. */
        void send(String to, ReplicaMessage message);

        /** Makes a record durable, in the order of the calls; {@link Replica#onPersisted} reports each. */
        void persist(long recordNumber, byte[] record);

        /** The answer to {@link Replica#submit} or {@link Replica#read}; the refusal is null if it is granted. */
        void completed(long requestId, FleetException rejection, ControlState state);

        /**
         * A state is committed; only a primary says so. Committed indexes only rise, and each identifies one state: they form
         * one line over all memberships.
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
     * @param self own name, as other replicas send to it
     * @param seedNodes names of the replicas that found the system, the same everywhere; later only whom to ask first
     * @param toleratedFailures number of replicas that may be lost at once
     * @param bootstrap whether to found the system if the disk is empty
     * @param records the records found on disk, oldest first; empty for none
     * @param randomSeed seed of the replica's random numbers
     * @param nowMs the present time
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

    /** Whether all records could be read; damage is as good as an empty disk, for the others know what was promised. */
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
            // Whatever a parser throws at damaged bytes: none of the records can be used then.
            voter.clear();
            log.clear();
            return false;
        }
    }

    /** The founding membership is a function of the settings alone: whoever founds, and however often, founds the same. */
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

    // ---- state ---------------------------------------------------------------------------------------

    public boolean isPrimary() {
        return primary != null;
    }

    /** The newest membership known here. */
    public Membership membership() {
        return voter.membership();
    }

    public Epoch promisedEpoch() {
        return voter.promisedEpoch();
    }

    /** Whether the disk was lost, and what it had promised has not been learnt again. */
    public boolean isRecovering() {
        return voter.isRecovering();
    }

    /** What this replica does at present. */
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

    /** The primary, as far as heard of late; null if unknown. */
    public String knownPrimary(long nowMs) {
        if (isPrimary()) {
            return context.self();
        }
        context.advance(nowMs);
        String primaryName = membership().primary();
        boolean hasPrimaryContact = follower.hasPrimaryContactWithin(Timing.QUORUM_TIMEOUT_MS);
        return hasPrimaryContact && !primaryName.isEmpty() && !primaryName.equals(context.self()) ? primaryName : null;
    }

    /** The latest time at which this primary's state was surely the newest; far in the past if it is not primary. */
    public long confirmedAtMs() {
        return isPrimary() ? primary.confirmedAtMs() : Long.MIN_VALUE / 2;
    }

    public Epoch logEpoch() {
        return log.epoch();
    }

    public long logIndex() {
        return log.index();
    }

    /** The committed state at a primary; elsewhere the end of the log, which may be behind or ahead of it. */
    public ControlState state() {
        return isPrimary() ? primary.committedState() : log.state();
    }

    // ---- requests ------------------------------------------------------------------------------------

    /** Asks for a change of the control state; {@link Output#completed} answers. */
    public void submit(long nowMs, long requestId, Change change) {
        context.advance(nowMs);
        if (isPrimary()) {
            primary.submit(requestId, change);
        } else {
            output.completed(requestId, notPrimary(), null);
        }
    }

    /** Asks for the newest state; {@link Output#completed} answers once a quorum has confirmed that it is the newest. */
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
                "ask another machine of the core, or retry in a moment");
    }

    /** Begins to hand over what others need of this replica: the lead, its data, and its vote where a standby can take it. */
    public void beginHandover(long nowMs) {
        context.advance(nowMs);
        handingOver = true;
        nextMembershipRequestAtMs = nowMs;
        onTick(nowMs);
    }

    /** Whether nothing is lost when a replica that hands over ends now. */
    public boolean isHandoverComplete(long nowMs) {
        context.advance(nowMs);
        if (voter.isRecovering()) {
            // It vouches for nothing, so nobody counts on it.
            return handingOver;
        }
        if (!handingOver || isPrimary() || !follower.isMembershipActive()) {
            return false;
        }
        boolean hasPrimaryContact = follower.hasPrimaryContactWithin(Timing.QUORUM_TIMEOUT_MS);
        boolean voteOrDataNeeded = holdsData() || follower.isReplaceable();
        return !isVoter() || hasPrimaryContact && !voteOrDataNeeded;
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** To be called every 50 ms or so. */
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

    /** A replica that recovers or has no vote asks to be taken in; one that hands over asks to be released. */
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
            // Also one of the previous voters of a joint membership: nobody notifies it when that is committed.
            membershipRequests.requestJoin();
        }
    }

    // ---- transitions ---------------------------------------------------------------------------------

    /** Stops being primary or candidate. */
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

    /** The disk does not keep up, or refuses: another replica had better be primary. */
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

    // ---- messages ------------------------------------------------------------------------------------

    /** A message came from another replica. */
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
            default -> throw new IllegalStateException("unknown message " + message.kind());
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

    // ---- the disk ------------------------------------------------------------------------------------

    /** A record is durable, or was refused. Records are reported in their order. */
    public void onPersisted(long nowMs, long recordNumber, boolean durable) {
        context.advance(nowMs);
        disk.onPersisted(nowMs, recordNumber, durable);
    }
}
