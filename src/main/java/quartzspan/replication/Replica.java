package quartzspan.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quartzspan.common.FleetException;
import quartzspan.replication.CandidateState.Plan;
import quartzspan.replication.ReplicaMessage.Kind;
import quartzspan.replication.VoterState.DiskIncarnation;

/**
 * One core machine's part in keeping the control state, without clock, thread or I/O.
 *
 * <p>A {@link Epoch} forms one {@link Membership} at most: a primary, the backups that hold copies, and the voters. A change is
 * answered when the disks of the primary and of all backups have it. Whoever wants to take over asks the voters for a higher
 * epoch ({@link CandidateState}); there is no log that a majority replicates, and voters without a copy keep promises and views
 * only. A replica whose disk was lost takes no part until it has recovered ({@link DiskLossRecovery}).
 *
 * <p>All times are milliseconds of a steady clock.
 */
public final class Replica {
    /** Where decisions go; called only from within an event. */
    public interface Out {
        void send(String to, ReplicaMessage message);

        /** Makes a record durable, in the order of the calls; {@link Replica#onPersisted} tells. */
        void persist(long number, byte[] record);

        /** The answer to {@link Replica#change} or {@link Replica#confirm}; the refusal is null if granted. */
        void done(long requestId, FleetException refusal, ControlState state);

        /**
         * The state that is in force from now on; only a primary says so. Committed indexes only rise, and each identifies
         * one state: they form one line over all views.
         */
        void committed(long index, ControlState state, ChangeHistory history);
    }

    private final ReplicaContext context;
    private final Out out;
    private final DiskQueue disk;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final Set<String> seeds;
    private DiskLossRecovery recovery;
    private PrimaryState leadership;
    /** When the primary, or a candidate in its stead, was last heard. */
    private long primaryHeardAtMs;
    /** The epoch of the view that was last heard to be in force. */
    private Epoch activeEpoch = Epoch.NONE;
    /** Whether the primary can do without this replica's vote. */
    private boolean replaceable;

    private long nextElectionAtMs;
    private long nextRequestAtMs;
    private boolean leaving;

    /**
     * Starts a replica.
     *
     * @param self own name, as others send to it
     * @param seeds names of the replicas that found the system, the same everywhere; later only whom to ask first
     * @param losses replicas that may be lost at once
     * @param found whether to found the system if nothing was kept
     * @param kept the records found on disk, oldest first; empty for none
     */
    public Replica(
            String self,
            List<String> seeds,
            int losses,
            boolean found,
            List<byte[]> kept,
            long seed,
            long now,
            Out out) {
        this.out = out;
        this.seeds = new LinkedHashSet<>(seeds);
        this.context = new ReplicaContext(self, losses, seed, now, out);
        this.disk = new DiskQueue(out);
        this.voter = new VoterState(disk);
        this.log = new ReplicaLog(disk);
        this.peers = new PeerLiveness(self, now);
        boolean damaged = !restore(kept);
        if (damaged || voter.membership().epoch().equals(Epoch.NONE)) {
            begin(found && !damaged);
        }
        // A primary that lives is heard within a heartbeat or two; after a loss of power of all nobody has to be waited
        // for.
        primaryHeardAtMs = now - Timing.ELECTION_TIMEOUT_MS + 2 * Timing.HEARTBEAT_MS;
        follow();
    }

    /** Whether all records could be read; damage is as good as an empty disk, for the others know what was promised. */
    private boolean restore(List<byte[]> kept) {
        try {
            for (byte[] record : kept) {
                if (record[0] == VoterState.RECORD_TAG) {
                    voter.restore(record);
                } else {
                    log.restore(record);
                }
            }
            return true;
        } catch (RuntimeException unreadable) {
            voter.clear();
            log.clear();
            return false;
        }
    }

    /** Founding is a function of the settings alone: whoever does it, and however often, founds the same. */
    private void begin(boolean found) {
        List<String> founders = seeds.stream().distinct().sorted().toList();
        if (!found || !founders.contains(context.self())) {
            voter.setRecovering(true);
            recovery = new DiskLossRecovery(context.self(), voter, context.randomLong());
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

    // ---- what is asked of outside --------------------------------------------------------------------

    public boolean isPrimary() {
        return leadership != null;
    }

    public Membership membership() {
        return voter.membership();
    }

    public Epoch promisedEpoch() {
        return voter.promisedEpoch();
    }

    /** Whether the disk was lost, and what it promised has not been learnt again. */
    public boolean isRecovering() {
        return voter.isRecovering();
    }

    /** What this replica does at present, in a word. */
    public String role() {
        if (voter.isRecovering()) {
            return "BLANK";
        }
        if (!membership().voters().contains(context.self())) {
            return "STANDBY";
        }
        if (leadership != null) {
            return "PRIMARY";
        }
        if (context.candidacy() != null) {
            return "CANDIDATE";
        }
        return membership().dataReplicas().contains(context.self()) ? "BACKUP" : "WITNESS";
    }

    /** Who is primary, as far as heard of late; null if unknown. */
    public String knownPrimary(long now) {
        if (isPrimary()) {
            return context.self();
        }
        String named = membership().primary();
        boolean heard = now - primaryHeardAtMs < Timing.QUORUM_TIMEOUT_MS;
        return heard && !named.isEmpty() && !named.equals(context.self()) ? named : null;
    }

    /** The latest time at which this primary's state was surely the newest; far in the past if it is not primary. */
    public long confirmedAt() {
        return isPrimary() ? leadership.confirmedAt() : Long.MIN_VALUE / 2;
    }

    public Epoch logEpoch() {
        return log.epoch();
    }

    public long logIndex() {
        return log.index();
    }

    /** The state in force at a primary; elsewhere the copy held here, which may be behind or ahead of it. */
    public ControlState state() {
        return isPrimary() ? leadership.committedState() : log.state();
    }

    /** Asks for a change of the control state. */
    public void submit(long now, long requestId, Change change) {
        context.advance(now);
        if (isPrimary()) {
            leadership.change(requestId, change);
        } else {
            out.done(requestId, notPrimary(), null);
        }
    }

    /** Asks whether the state here is the newest; the answer comes once a quorum has confirmed it. */
    public void read(long now, long requestId) {
        context.advance(now);
        if (isPrimary()) {
            leadership.read(requestId);
        } else {
            out.done(requestId, notPrimary(), null);
        }
    }

    private static FleetException notPrimary() {
        return new FleetException(
                FleetException.Code.NOT_PRIMARY,
                "this machine doesn't decide at present",
                "ask another machine of the core, or again in a moment");
    }

    /** Begins to hand over what others need of this replica: the lead, its copy, and its vote where a standby can take it. */
    public void beginHandover(long now) {
        context.advance(now);
        leaving = true;
        nextRequestAtMs = now;
        onTick(now);
    }

    /** Whether nothing is lost when a replica that leaves ends now. */
    public boolean isHandoverComplete(long now) {
        if (voter.isRecovering()) {
            // It vouches for nothing, so nobody counts on it.
            return leaving;
        }
        boolean inForce = activeEpoch.equals(membership().epoch());
        if (!leaving || isPrimary() || !inForce) {
            return false;
        }
        boolean heard = now - primaryHeardAtMs < Timing.QUORUM_TIMEOUT_MS;
        boolean needed = membership().dataReplicas().contains(context.self()) || replaceable;
        return !membership().voters().contains(context.self()) || heard && !needed;
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** To be called every 50 ms or so. */
    public void onTick(long now) {
        context.advance(now);
        if (now >= nextRequestAtMs) {
            nextRequestAtMs = now + Timing.RETRY_MS;
            requestMembership();
        }
        if (voter.isRecovering()) {
            return;
        }
        if (disk.waitingFor(now) > Timing.DISK_TIMEOUT_MS && (context.candidacy() != null)) {
            pauseElections();
        }
        if (leadership != null) {
            leadership.onTick();
        } else if (context.candidacy() != null) {
            context.candidacy().onTick();
        } else if (mayStartElection(now)) {
            startElection(Plan.TAKE_OVER).startWithPreVote();
        }
    }

    private boolean mayStartElection(long now) {
        return !leaving
                && now >= nextElectionAtMs
                && now - primaryHeardAtMs >= Timing.ELECTION_TIMEOUT_MS
                && membership().voters().contains(context.self())
                && disk.isIdle();
    }

    /** One that is blank or has no vote asks to be taken in; one that leaves asks to be let go. */
    private void requestMembership() {
        if (voter.isRecovering()) {
            others().forEach(name -> context.send(name, recovery.request()));
        } else if (leaving) {
            requestHandover();
        } else if (!membership().voters().contains(context.self())) {
            // Also one of the previous voters of a joint view: it is not told when that view is settled.
            ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Epoch.NONE)
                    .withNonce(voter.incarnationNonce())
                    .withGeneration(voter.generation());
            others().forEach(name -> context.send(name, request));
        }
    }

    private void requestHandover() {
        if (leadership == null) {
            others().forEach(name -> context.send(
                    name, ReplicaMessage.of(Kind.LEAVING, membership().epoch())));
            return;
        }
        String successor = leadership.successor();
        if (successor != null) {
            context.send(
                    successor, ReplicaMessage.of(Kind.HANDOVER, membership().epoch()));
        }
    }

    private Set<String> others() {
        Set<String> all = new LinkedHashSet<>(membership().electorate());
        all.add(membership().primary());
        all.addAll(seeds);
        all.remove(context.self());
        all.remove("");
        return all;
    }

    // ---- roles ---------------------------------------------------------------------------------------

    /** Neither leads nor stands any more. */
    private void follow() {
        long spread =
                Timing.ELECTION_TIMEOUT_JITTER_MS / (membership().dataReplicas().contains(context.self()) ? 2 : 1);
        nextElectionAtMs = context.now() + context.randomBelow(spread);
        context.setCandidacy(null);
        endLeadership();
    }

    private void endLeadership() {
        PrimaryState ended = leadership;
        leadership = null;
        if (ended != null) {
            ended.end(notPrimary());
        }
    }

    /** The disk does not keep up or refuses: somebody else had better lead. */
    private void pauseElections() {
        follow();
        nextElectionAtMs = context.now() + Timing.ELECTION_PAUSE_MS;
    }

    private CandidateState startElection(Plan plan) {
        endLeadership();
        Set<String> avoided = new LinkedHashSet<>(plan.avoided());
        avoided.addAll(peers.leaving(context.now()));
        CandidateState candidacy = new CandidateState(
                context, voter, log, new Plan(plan.voters(), avoided, plan.handedOver()), new CandidacyOutcome());
        context.setCandidacy(candidacy);
        return candidacy;
    }

    private final class CandidacyOutcome implements CandidateState.Listener {
        @Override
        public void elected(Membership membership) {
            context.setCandidacy(null);
            leadership = new PrimaryState(context, voter, log, peers, membership, new LeadershipOutcome());
            leadership.begin();
        }

        @Override
        public void abandoned() {
            follow();
        }

        @Override
        public void diskRefused() {
            pauseElections();
        }
    }

    private final class LeadershipOutcome implements PrimaryState.Listener {
        @Override
        public void reform(Plan plan) {
            startElection(plan).startWithVote();
        }

        @Override
        public void stepDown() {
            follow();
        }

        @Override
        public void diskRefused() {
            pauseElections();
        }

        @Override
        public void committed(long index, ControlState state) {
            out.committed(index, state, log.history());
        }

        @Override
        public void answered(long requestId, FleetException refusal, ControlState state) {
            out.done(requestId, refusal, state);
        }
    }

    // ---- messages ------------------------------------------------------------------------------------

    /** Something came from another replica. */
    public void onMessage(long now, String from, ReplicaMessage message) {
        context.advance(now);
        peers.onMessageFrom(now, from);
        switch (message.kind()) {
            case HEARTBEAT -> onHeartbeat(from, message);
            case HEARTBEAT_REPLY -> {
                if (leadership != null) {
                    leadership.onHeartbeatReply(from, message);
                }
            }
            case PRE_VOTE -> onPreVote(from, message);
            case VOTE -> onVote(from, message);
            case FETCH -> onFetch(from, message);
            case REPLICATE -> onReplicate(from, message);
            case ACCEPT -> onAccept(from, message);
            case REPLICATE_REPLY -> {
                if (leadership != null) {
                    leadership.onReplicateReply(from, message);
                } else {
                    toCandidacy(from, message);
                }
            }
            case PRE_VOTE_REPLY, VOTE_REPLY, FETCH_REPLY, ACCEPT_REPLY -> toCandidacy(from, message);
            case RECOVERY -> onRecovery(from, message);
            case RECOVERY_REPLY -> onRecoveryReply(from, message);
            case LEAVING -> peers.onLeaving(now, from);
            case HANDOVER -> onHandover(from, message);
            default -> throw new IllegalStateException("no message " + message.kind());
        }
    }

    private void toCandidacy(String from, ReplicaMessage message) {
        if (context.candidacy() != null) {
            context.candidacy().onReply(from, message);
        }
    }

    /** An answer, with what this replica has promised durably and holds. */
    private ReplicaMessage reply(Kind kind, Epoch epoch, boolean ok) {
        return ReplicaMessage.of(kind, epoch)
                .withGranted(ok)
                .withPromisedEpoch(voter.durablePromisedEpoch(), voter.isRecovering())
                .withLogPosition(log.epoch(), log.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    /** A refusal, with the promise that stands against it. */
    private ReplicaMessage refusal(Kind kind, Epoch epoch) {
        return reply(kind, epoch, false).withPromisedEpoch(voter.promisedEpoch(), voter.isRecovering());
    }

    private boolean primaryHeardRecently() {
        return context.now() - primaryHeardAtMs < Timing.VOTE_STICKINESS_MS;
    }

    /** Whether a candidacy may be granted: not while somebody else leads well, unless that one has asked for it. */
    private boolean mayGrant(ReplicaMessage request) {
        boolean handedOver = request.granted() && !membership().supersedes(request.membership());
        boolean confirmedRecently =
                leadership != null && context.now() - leadership.unconfirmedSince() < Timing.VOTE_STICKINESS_MS;
        return handedOver || !confirmedRecently && !primaryHeardRecently();
    }

    private void onPreVote(String from, ReplicaMessage request) {
        boolean ok = !voter.isRecovering() && request.epoch().isAbove(voter.promisedEpoch()) && mayGrant(request);
        context.send(
                from,
                refusal(Kind.PRE_VOTE_REPLY, request.epoch())
                        .withGranted(ok)
                        .withMembership(voter.durableMembership()));
    }

    private void onVote(String from, ReplicaMessage request) {
        Epoch epoch = request.epoch();
        boolean granted = epoch.equals(voter.promisedEpoch());
        if (voter.isRecovering() || epoch.isBelow(voter.promisedEpoch()) || !granted && !mayGrant(request)) {
            context.send(from, refusal(Kind.VOTE_REPLY, epoch));
            return;
        }
        deferElection();
        if (!granted) {
            follow();
            voter.promise(epoch);
        }
        if (epoch.equals(voter.durablePromisedEpoch())) {
            context.send(from, grant(epoch));
            return;
        }
        voter.persist(context.now(), durable -> {
            boolean holds = durable && epoch.equals(voter.promisedEpoch());
            context.send(from, holds ? grant(epoch) : refusal(Kind.VOTE_REPLY, epoch));
        });
    }

    private ReplicaMessage grant(Epoch epoch) {
        return reply(Kind.VOTE_REPLY, epoch, true).withMembership(voter.durableMembership());
    }

    /** A candidate has time for its steps before anybody else stands. */
    private void deferElection() {
        primaryHeardAtMs = Math.max(primaryHeardAtMs, context.now() - Timing.ELECTION_DEFERRAL_AGE_MS);
    }

    private void onFetch(String from, ReplicaMessage request) {
        if (voter.isRecovering() || !request.epoch().equals(voter.durablePromisedEpoch()) || log.index() < 0) {
            return;
        }
        StateUpdate update = log.updateFrom(request.logEpoch(), request.logIndex());
        context.send(from, reply(Kind.FETCH_REPLY, request.epoch(), true).withBody(update.bytes()));
    }

    private void onHeartbeat(String from, ReplicaMessage heartbeat) {
        Epoch epoch = heartbeat.epoch();
        if (epoch.isBelow(voter.promisedEpoch()) && !voter.isRecovering()) {
            context.send(from, refusal(Kind.HEARTBEAT_REPLY, epoch).withNonce(heartbeat.nonce()));
            return;
        }
        if (!heartbeat.membership().epoch().equals(epoch)
                || !heartbeat.membership().primary().equals(from)) {
            return;
        }
        primaryHeardAtMs = context.now();
        activeEpoch = epoch;
        replaceable = heartbeat.granted();
        peers.learnSinceHeard(context.now(), heartbeat.sinceHeardMs());
        if (voter.isRecovering()) {
            // Tells whom to ask; to answer would be to vouch for an epoch.
            voter.learn(heartbeat.membership());
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        boolean newer =
                epoch.isAbove(voter.promisedEpoch()) || heartbeat.membership().supersedes(membership());
        if (!newer) {
            acknowledge(from, heartbeat);
            return;
        }
        voter.promise(epoch);
        voter.learn(heartbeat.membership());
        voter.persist(context.now(), durable -> {
            if (durable) {
                acknowledge(from, heartbeat);
            }
        });
    }

    private void acknowledge(String from, ReplicaMessage heartbeat) {
        boolean holds = !voter.promisedEpoch().isAbove(heartbeat.epoch());
        ReplicaMessage answer = holds
                ? reply(Kind.HEARTBEAT_REPLY, heartbeat.epoch(), true)
                : refusal(Kind.HEARTBEAT_REPLY, heartbeat.epoch());
        context.send(from, answer.withNonce(heartbeat.nonce()));
    }

    static ReplicaMessage replicateMessage(StateUpdate update, long generation) {
        return ReplicaMessage.of(Kind.REPLICATE, update.epoch())
                .withLogPosition(update.epoch(), update.index())
                .withGeneration(generation)
                .withBody(update.bytes());
    }

    /** Whether two answers tell of the same copy on the same disk. */
    static boolean sameLogPosition(ReplicaMessage one, ReplicaMessage other) {
        return one.logEpoch().equals(other.logEpoch())
                && one.logIndex() == other.logIndex()
                && one.generation() == other.generation();
    }

    private void onReplicate(String from, ReplicaMessage message) {
        Epoch epoch = message.epoch();
        if (voter.isRecovering()) {
            return;
        }
        if (epoch.isBelow(voter.promisedEpoch()) || message.generation() != voter.generation()) {
            context.send(from, refusal(Kind.REPLICATE_REPLY, epoch));
            return;
        }
        if (epoch.equals(log.epoch()) && message.logIndex() <= log.index()) {
            context.send(from, replicated(message));
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        deferElection();
        if (log.isAppending()) {
            return;
        }
        StateUpdate update = StateUpdate.parse(message.body());
        if (!log.isApplicable(update)) {
            context.send(from, refusal(Kind.REPLICATE_REPLY, epoch));
            return;
        }
        if (epoch.isAbove(voter.promisedEpoch())) {
            voter.promise(epoch);
            voter.persist(context.now(), durable -> {});
        }
        log.append(context.now(), update, log.stateAfter(update), durable -> {
            if (durable) {
                context.send(from, replicated(message));
            }
        });
    }

    private ReplicaMessage replicated(ReplicaMessage message) {
        ReplicaMessage answer = reply(Kind.REPLICATE_REPLY, message.epoch(), true);
        return answer.withLogPosition(message.epoch(), message.logIndex());
    }

    private void onAccept(String from, ReplicaMessage message) {
        Epoch epoch = message.epoch();
        if (voter.isRecovering() || !message.membership().epoch().equals(epoch)) {
            return;
        }
        if (epoch.isBelow(voter.promisedEpoch())) {
            context.send(from, refusal(Kind.ACCEPT_REPLY, epoch));
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        primaryHeardAtMs = context.now();
        voter.promise(epoch);
        voter.learn(message.membership());
        voter.persist(context.now(), durable -> {
            if (durable) {
                context.send(from, reply(Kind.ACCEPT_REPLY, epoch, true));
            }
        });
    }

    private void onRecovery(String from, ReplicaMessage request) {
        if (voter.isRecovering()) {
            return;
        }
        if (!request.recovering()) {
            peers.onStandby(context.now(), from);
            context.send(from, reply(Kind.RECOVERY_REPLY, Epoch.NONE, true).withMembership(voter.durableMembership()));
            return;
        }
        DiskIncarnation claimed = new DiskIncarnation(request.generation(), request.nonce());
        boolean noted = voter.recordIncarnation(from, claimed);
        voter.persist(context.now(), durable -> {
            if (durable) {
                context.send(
                        from,
                        reply(Kind.RECOVERY_REPLY, Epoch.NONE, noted)
                                .withNonce(request.nonce())
                                .withMembership(voter.durableMembership()));
            }
        });
    }

    private void onRecoveryReply(String from, ReplicaMessage reply) {
        if (!voter.isRecovering()) {
            if (!membership().voters().contains(context.self())) {
                voter.learn(reply.membership());
            }
            return;
        }
        if (!recovery.onReply(from, reply)) {
            return;
        }
        recovery = null;
        voter.setRecovering(false);
        primaryHeardAtMs = context.now();
        voter.persist(context.now(), durable -> {
            if (!durable) {
                recoverAgain();
            }
        });
    }

    private void recoverAgain() {
        follow();
        voter.setRecovering(true);
        recovery = new DiskLossRecovery(context.self(), voter, context.randomLong());
    }

    private void onHandover(String from, ReplicaMessage message) {
        peers.onLeaving(context.now(), from);
        boolean current = message.epoch().equals(membership().epoch())
                && membership().primary().equals(from);
        boolean able = !voter.isRecovering()
                && !leaving
                && disk.isIdle()
                && membership().dataReplicas().contains(context.self());
        if (current && able && context.candidacy() == null && leadership == null) {
            startElection(new Plan(null, Set.of(), true)).startWithVote();
        }
    }

    // ---- the disk ------------------------------------------------------------------------------------

    /** A record is durable, or was refused. Records are told of in their order. */
    public void onPersisted(long now, long number, boolean durable) {
        context.advance(now);
        disk.onPersisted(now, number, durable);
    }
}
