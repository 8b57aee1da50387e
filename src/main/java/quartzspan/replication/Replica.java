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
        void persist(long number, byte[] record);

        /** The answer to {@link Replica#submit} or {@link Replica#read}; the refusal is null if it is granted. */
        void completed(long requestId, FleetException refusal, ControlState state);

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
    private final List<String> seeds;
    private final FollowerState follower;
    private final RecoveryResponder recoveryResponder;
    private final MembershipRequests requests;
    private DiskLossRecovery recovery;
    private PrimaryState primary;
    private long nextElectionAtMs;
    private long nextRequestAtMs;
    private boolean handingOver;

    /**
     * Starts a replica.
     *
     * @param self own name, as other replicas send to it
     * @param seeds names of the replicas that found the system, the same everywhere; later only whom to ask first
     * @param losses number of replicas that may be lost at once
     * @param found whether to found the system if the disk is empty
     * @param records the records found on disk, oldest first; empty for none
     * @param seed seed of the replica's random numbers
     * @param now the present time
     */
    public Replica(
            String self,
            List<String> seeds,
            int losses,
            boolean found,
            List<byte[]> records,
            long seed,
            long now,
            Output output) {
        this.output = output;
        this.seeds = seeds.stream().distinct().toList();
        this.context = new ReplicaContext(self, losses, seed, now, output);
        this.disk = new DiskQueue(output);
        this.voter = new VoterState(disk);
        this.log = new ReplicaLog(disk);
        this.peers = new PeerLiveness(self, now);
        ReplyFactory replies = new ReplyFactory(voter, log);
        this.follower = new FollowerState(context, voter, log, peers, replies, new FollowerTransitions());
        this.recoveryResponder = new RecoveryResponder(context, voter, peers, replies);
        this.requests = new MembershipRequests(context, voter, this.seeds);
        boolean damaged = !restore(records);
        if (damaged || voter.membership().epoch().equals(Epoch.NONE)) {
            begin(found && !damaged);
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
        } catch (RuntimeException unreadable) {
            // Whatever a parser throws at damaged bytes: none of the records can be used then.
            voter.clear();
            log.clear();
            return false;
        }
    }

    /** The founding membership is a function of the settings alone: whoever founds, and however often, founds the same. */
    private void begin(boolean found) {
        List<String> founders = seeds.stream().sorted().toList();
        if (!found || !founders.contains(context.self())) {
            beginRecovery();
            return;
        }
        List<String> dataReplicas = founders.subList(0, Math.min(context.losses() + 1, founders.size()));
        voter.promise(Epoch.FOUNDING);
        voter.learn(new Membership(Epoch.FOUNDING, founders.get(0), dataReplicas, founders, List.of()));
        if (dataReplicas.contains(context.self())) {
            log.found(context.now(), durable -> {});
        }
        voter.persist(context.now(), durable -> {});
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
    public String knownPrimary(long now) {
        if (isPrimary()) {
            return context.self();
        }
        context.advance(now);
        String named = membership().primary();
        boolean heard = follower.isPrimaryHeardWithin(Timing.QUORUM_TIMEOUT_MS);
        return heard && !named.isEmpty() && !named.equals(context.self()) ? named : null;
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
    public void submit(long now, long requestId, Change change) {
        context.advance(now);
        if (isPrimary()) {
            primary.submit(requestId, change);
        } else {
            output.completed(requestId, notPrimary(), null);
        }
    }

    /** Asks for the newest state; {@link Output#completed} answers once a quorum has confirmed that it is the newest. */
    public void read(long now, long requestId) {
        context.advance(now);
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
    public void beginHandover(long now) {
        context.advance(now);
        handingOver = true;
        nextRequestAtMs = now;
        onTick(now);
    }

    /** Whether nothing is lost when a replica that hands over ends now. */
    public boolean isHandoverComplete(long now) {
        context.advance(now);
        if (voter.isRecovering()) {
            // It vouches for nothing, so nobody counts on it.
            return handingOver;
        }
        if (!handingOver || isPrimary() || !follower.isMembershipActive()) {
            return false;
        }
        boolean heard = follower.isPrimaryHeardWithin(Timing.QUORUM_TIMEOUT_MS);
        boolean needed = holdsData() || follower.isReplaceable();
        return !isVoter() || heard && !needed;
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** To be called every 50 ms or so. */
    public void onTick(long now) {
        context.advance(now);
        if (now >= nextRequestAtMs) {
            nextRequestAtMs = now + Timing.RETRY_MS;
            requestMembershipChange();
        }
        if (voter.isRecovering()) {
            return;
        }
        if (disk.waitingFor(now) > Timing.DISK_TIMEOUT_MS && context.candidate() != null) {
            pauseElections();
        }
        if (primary != null) {
            primary.onTick();
        } else if (context.candidate() != null) {
            context.candidate().onTick();
        } else if (mayStartElection(now)) {
            startElection(ElectionPlan.TAKE_OVER).startWithPreVote();
        }
    }

    private boolean mayStartElection(long now) {
        return !handingOver
                && now >= nextElectionAtMs
                && !follower.isPrimaryHeardWithin(Timing.ELECTION_TIMEOUT_MS)
                && isVoter()
                && disk.isIdle();
    }

    /** A replica that recovers or has no vote asks to be taken in; one that hands over asks to be released. */
    private void requestMembershipChange() {
        if (voter.isRecovering()) {
            requests.requestRecovery(recovery);
        } else if (handingOver && primary == null) {
            requests.requestRelease();
        } else if (handingOver) {
            String successor = primary.successor();
            if (successor != null) {
                requests.requestElection(successor);
            }
        } else if (!isVoter()) {
            // Also one of the previous voters of a joint membership: nobody notifies it when that is committed.
            requests.requestVote();
        }
    }

    // ---- transitions ---------------------------------------------------------------------------------

    /** Stops being primary or candidate. */
    private void becomeFollower() {
        long jitterMs = Timing.ELECTION_TIMEOUT_JITTER_MS / (holdsData() ? 2 : 1);
        nextElectionAtMs = context.now() + context.randomBelow(jitterMs);
        context.setCandidate(null);
        endPrimary();
    }

    private void endPrimary() {
        PrimaryState ended = primary;
        primary = null;
        if (ended != null) {
            ended.end(notPrimary());
        }
    }

    /** The disk does not keep up, or refuses: another replica had better be primary. */
    private void pauseElections() {
        becomeFollower();
        nextElectionAtMs = context.now() + Timing.ELECTION_PAUSE_MS;
    }

    private CandidateState startElection(ElectionPlan plan) {
        endPrimary();
        ElectionPlan avoidingLeaving = plan.avoiding(peers.leaving(context.now()));
        CandidateState candidate = new CandidateState(context, voter, log, avoidingLeaving, new ElectionOutcome());
        context.setCandidate(candidate);
        return candidate;
    }

    private void becomePrimary(Membership membership) {
        context.setCandidate(null);
        primary = new PrimaryState(context, voter, log, peers, membership, new PrimaryDecisions());
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
            return primary != null && context.now() - primary.unconfirmedSinceMs() < Timing.VOTE_STICKINESS_MS;
        }
    }

    private final class ElectionOutcome implements CandidateState.Listener {
        @Override
        public void elected(Membership membership) {
            becomePrimary(membership);
        }

        @Override
        public void abandoned() {
            becomeFollower();
        }

        @Override
        public void diskRefused() {
            pauseElections();
        }
    }

    private final class PrimaryDecisions implements PrimaryState.Listener {
        @Override
        public void changeMembership(ElectionPlan plan) {
            startElection(plan).startWithVote();
        }

        @Override
        public void stepDown() {
            becomeFollower();
        }

        @Override
        public void diskRefused() {
            pauseElections();
        }

        @Override
        public void committed(long index, ControlState state) {
            output.committed(index, state, log.history());
        }

        @Override
        public void completed(long requestId, FleetException refusal, ControlState state) {
            output.completed(requestId, refusal, state);
        }
    }

    // ---- messages ------------------------------------------------------------------------------------

    /** A message came from another replica. */
    public void onMessage(long now, String from, ReplicaMessage message) {
        context.advance(now);
        peers.onMessageFrom(now, from);
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
                    toCandidate(from, message);
                }
            }
            case PRE_VOTE_REPLY, VOTE_REPLY, FETCH_REPLY, ACCEPT_REPLY -> toCandidate(from, message);
            case RECOVERY -> recoveryResponder.onRequest(from, message);
            case RECOVERY_REPLY -> onRecoveryReply(from, message);
            case LEAVING -> peers.onLeaving(now, from);
            case HANDOVER -> onHandover(from, message);
            default -> throw new IllegalStateException("unknown message " + message.kind());
        }
    }

    private void toCandidate(String from, ReplicaMessage message) {
        if (context.candidate() != null) {
            context.candidate().onReply(from, message);
        }
    }

    private void onRecoveryReply(String from, ReplicaMessage reply) {
        if (!voter.isRecovering()) {
            if (!isVoter()) {
                voter.learn(reply.membership());
            }
            return;
        }
        if (!recovery.onReply(from, reply)) {
            return;
        }
        recovery = null;
        voter.setRecovering(false);
        follower.restartElectionTimeout();
        voter.persist(context.now(), durable -> {
            if (!durable) {
                becomeFollower();
                beginRecovery();
            }
        });
    }

    private void onHandover(String from, ReplicaMessage message) {
        peers.onLeaving(context.now(), from);
        boolean current = message.epoch().equals(membership().epoch())
                && membership().primary().equals(from);
        boolean able = !voter.isRecovering() && !handingOver && disk.isIdle() && holdsData();
        if (current && able && context.candidate() == null && primary == null) {
            startElection(ElectionPlan.HANDOVER).startWithVote();
        }
    }

    // ---- the disk ------------------------------------------------------------------------------------

    /** A record is durable, or was refused. Records are reported in their order. */
    public void onPersisted(long now, long number, boolean durable) {
        context.advance(now);
        disk.onPersisted(now, number, durable);
    }
}
