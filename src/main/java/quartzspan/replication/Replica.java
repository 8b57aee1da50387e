package quartzspan.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quartzspan.common.FleetException;
import quartzspan.replication.Candidacy.Plan;
import quartzspan.replication.ReplicaMessage.Kind;
import quartzspan.replication.VoterState.DiskLife;

/**
 * One core machine's part in keeping the control state, without clock, thread or I/O.
 *
 * <p>A {@link Ballot} forms one {@link View} at most: a primary, the backups that hold copies, and the voters. A change is
 * answered when the disks of the primary and of all backups have it. Whoever wants to take over asks the voters for a higher
 * ballot ({@link Candidacy}); there is no log that a majority replicates, and voters without a copy keep promises and views
 * only. A replica whose disk was lost takes no part until it has recovered ({@link Recovery}).
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
        void done(long ticket, FleetException refusal, ControlState state);

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
    private final StateCopy copy;
    private final Contacts contacts;
    private final Set<String> seeds;
    private Recovery recovery;
    private Leadership leadership;
    /** When the primary, or a candidate in its stead, was last heard. */
    private long primaryHeardAt;
    /** The ballot of the view that was last heard to be in force. */
    private Ballot inForceBallot = Ballot.NONE;
    /** Whether the primary can do without this replica's vote. */
    private boolean replaceable;

    private long standAfter;
    private long askAt;
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
        this.copy = new StateCopy(disk);
        this.contacts = new Contacts(self, now);
        boolean damaged = !restore(kept);
        if (damaged || voter.view().ballot().equals(Ballot.NONE)) {
            begin(found && !damaged);
        }
        // A primary that lives is heard within a heartbeat or two; after a loss of power of all nobody has to be waited
        // for.
        primaryHeardAt = now - Timing.SILENCE_MS + 2 * Timing.HEARTBEAT_MS;
        follow();
    }

    /** Whether all records could be read; damage is as good as an empty disk, for the others know what was promised. */
    private boolean restore(List<byte[]> kept) {
        try {
            for (byte[] record : kept) {
                if (record[0] == VoterState.RECORD) {
                    voter.restore(record);
                } else {
                    copy.restore(record);
                }
            }
            return true;
        } catch (RuntimeException unreadable) {
            voter.clear();
            copy.clear();
            return false;
        }
    }

    /** Founding is a function of the settings alone: whoever does it, and however often, founds the same. */
    private void begin(boolean found) {
        List<String> founders = seeds.stream().distinct().sorted().toList();
        if (!found || !founders.contains(context.self())) {
            voter.setBlank(true);
            recovery = new Recovery(context.self(), voter, context.randomLong());
            return;
        }
        List<String> copies = founders.subList(0, Math.min(context.losses() + 1, founders.size()));
        voter.promise(Ballot.FOUNDING);
        voter.learn(new View(Ballot.FOUNDING, founders.get(0), copies, founders, List.of()));
        if (copies.contains(context.self())) {
            copy.found(context.now(), durable -> {});
        }
        voter.persist(context.now(), durable -> {});
    }

    // ---- what is asked of outside --------------------------------------------------------------------

    public boolean primary() {
        return leadership != null;
    }

    public View view() {
        return voter.view();
    }

    public Ballot promised() {
        return voter.promised();
    }

    /** Whether the disk was lost, and what it promised has not been learnt again. */
    public boolean blank() {
        return voter.blank();
    }

    /** What this replica does at present, in a word. */
    public String role() {
        if (voter.blank()) {
            return "BLANK";
        }
        if (!view().voters().contains(context.self())) {
            return "STANDBY";
        }
        if (leadership != null) {
            return "PRIMARY";
        }
        if (context.candidacy() != null) {
            return "CANDIDATE";
        }
        return view().copies().contains(context.self()) ? "BACKUP" : "WITNESS";
    }

    /** Who is primary, as far as heard of late; null if unknown. */
    public String leader(long now) {
        if (primary()) {
            return context.self();
        }
        String named = view().primary();
        boolean heard = now - primaryHeardAt < Timing.ISOLATED_MS;
        return heard && !named.isEmpty() && !named.equals(context.self()) ? named : null;
    }

    /** The latest time at which this primary's state was surely the newest; far in the past if it is not primary. */
    public long confirmedAt() {
        return primary() ? leadership.confirmedAt() : Long.MIN_VALUE / 2;
    }

    public Ballot copyBallot() {
        return copy.ballot();
    }

    public long copyIndex() {
        return copy.index();
    }

    /** The state in force at a primary; elsewhere the copy held here, which may be behind or ahead of it. */
    public ControlState state() {
        return primary() ? leadership.inForce() : copy.state();
    }

    /** Asks for a change of the control state. */
    public void change(long now, long ticket, Change change) {
        context.advance(now);
        if (primary()) {
            leadership.change(ticket, change);
        } else {
            out.done(ticket, notPrimary(), null);
        }
    }

    /** Asks whether the state here is the newest; the answer comes once a quorum has confirmed it. */
    public void confirm(long now, long ticket) {
        context.advance(now);
        if (primary()) {
            leadership.read(ticket);
        } else {
            out.done(ticket, notPrimary(), null);
        }
    }

    private static FleetException notPrimary() {
        return new FleetException(
                FleetException.Code.NOT_PRIMARY,
                "this machine doesn't decide at present",
                "ask another machine of the core, or again in a moment");
    }

    /** Begins to hand over what others need of this replica: the lead, its copy, and its vote where a standby can take it. */
    public void leave(long now) {
        context.advance(now);
        leaving = true;
        askAt = now;
        onTick(now);
    }

    /** Whether nothing is lost when a replica that leaves ends now. */
    public boolean left(long now) {
        boolean inForce = inForceBallot.equals(view().ballot());
        if (!leaving || primary() || !inForce) {
            return false;
        }
        boolean heard = now - primaryHeardAt < Timing.ISOLATED_MS;
        boolean needed = view().copies().contains(context.self()) || replaceable;
        return !view().voters().contains(context.self()) || heard && !needed;
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** To be called every 50 ms or so. */
    public void onTick(long now) {
        context.advance(now);
        if (now >= askAt) {
            askAt = now + Timing.RETRY_MS;
            askForHelp();
        }
        if (voter.blank()) {
            return;
        }
        if (disk.waitingFor(now) > Timing.DISK_MS && (context.candidacy() != null)) {
            standAside();
        }
        if (leadership != null) {
            leadership.onTick();
        } else if (context.candidacy() != null) {
            context.candidacy().onTick();
        } else if (mayStand(now)) {
            stand(Plan.TAKE_OVER).startWithPreVote();
        }
    }

    private boolean mayStand(long now) {
        return !leaving
                && now >= standAfter
                && now - primaryHeardAt >= Timing.SILENCE_MS
                && view().voters().contains(context.self())
                && disk.isIdle();
    }

    /** One that is blank or has no vote asks to be taken in; one that leaves asks to be let go. */
    private void askForHelp() {
        if (voter.blank()) {
            others().forEach(name -> context.send(name, recovery.request()));
        } else if (leaving) {
            askToLeave();
        } else if (!view().voters().contains(context.self())) {
            // Also one of the previous voters of a joint view: it is not told when that view is settled.
            ReplicaMessage request = ReplicaMessage.of(Kind.RECOVERY, Ballot.NONE)
                    .withNonce(voter.lifeNonce())
                    .withGeneration(voter.generation());
            others().forEach(name -> context.send(name, request));
        }
    }

    private void askToLeave() {
        if (leadership == null) {
            others().forEach(name -> context.send(name, ReplicaMessage.of(Kind.LEAVING, view().ballot())));
            return;
        }
        String successor = leadership.successor();
        if (successor != null) {
            context.send(successor, ReplicaMessage.of(Kind.HANDOVER, view().ballot()));
        }
    }

    private Set<String> others() {
        Set<String> all = new LinkedHashSet<>(view().electorate());
        all.add(view().primary());
        all.addAll(seeds);
        all.remove(context.self());
        all.remove("");
        return all;
    }

    // ---- roles ---------------------------------------------------------------------------------------

    /** Neither leads nor stands any more. */
    private void follow() {
        long spread = Timing.SILENCE_SPREAD_MS / (view().copies().contains(context.self()) ? 2 : 1);
        standAfter = context.now() + context.randomBelow(spread);
        context.setCandidacy(null);
        endLeadership();
    }

    private void endLeadership() {
        Leadership ended = leadership;
        leadership = null;
        if (ended != null) {
            ended.end(notPrimary());
        }
    }

    /** The disk does not keep up or refuses: somebody else had better lead. */
    private void standAside() {
        follow();
        standAfter = context.now() + Timing.STAND_ASIDE_MS;
    }

    private Candidacy stand(Plan plan) {
        endLeadership();
        Set<String> avoided = new LinkedHashSet<>(plan.avoided());
        avoided.addAll(contacts.leaving(context.now()));
        Candidacy candidacy = new Candidacy(
                context, voter, copy, new Plan(plan.voters(), avoided, plan.handedOver()), new CandidacyOutcome());
        context.setCandidacy(candidacy);
        return candidacy;
    }

    private final class CandidacyOutcome implements Candidacy.Listener {
        @Override
        public void elected(View view) {
            context.setCandidacy(null);
            leadership = new Leadership(context, voter, copy, contacts, view, new LeadershipOutcome());
            leadership.begin();
        }

        @Override
        public void givenUp() {
            follow();
        }

        @Override
        public void diskRefused() {
            standAside();
        }
    }

    private final class LeadershipOutcome implements Leadership.Listener {
        @Override
        public void reform(Plan plan) {
            stand(plan).startWithVote();
        }

        @Override
        public void standDown() {
            follow();
        }

        @Override
        public void diskRefused() {
            standAside();
        }

        @Override
        public void committed(long index, ControlState state) {
            out.committed(index, state, copy.history());
        }

        @Override
        public void answered(long ticket, FleetException refusal, ControlState state) {
            out.done(ticket, refusal, state);
        }
    }

    // ---- messages ------------------------------------------------------------------------------------

    /** Something came from another replica. */
    public void onMessage(long now, String from, ReplicaMessage message) {
        context.advance(now);
        contacts.heard(now, from);
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
            case COPY -> onCopy(from, message);
            case ACCEPT -> onAccept(from, message);
            case COPY_REPLY -> {
                if (leadership != null) {
                    leadership.onCopyReply(from, message);
                } else {
                    toCandidacy(from, message);
                }
            }
            case PRE_VOTE_REPLY, VOTE_REPLY, FETCH_REPLY, ACCEPT_REPLY -> toCandidacy(from, message);
            case RECOVERY -> onRecovery(from, message);
            case RECOVERY_REPLY -> onRecoveryReply(from, message);
            case LEAVING -> contacts.leaves(now, from);
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
    private ReplicaMessage reply(Kind kind, Ballot ballot, boolean ok) {
        return ReplicaMessage.of(kind, ballot)
                .withOk(ok)
                .withPromise(voter.durablePromise(), voter.blank())
                .withCopy(copy.ballot(), copy.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    /** A refusal, with the promise that stands against it. */
    private ReplicaMessage refusal(Kind kind, Ballot ballot) {
        return reply(kind, ballot, false).withPromise(voter.promised(), voter.blank());
    }

    private boolean heardOfLate() {
        return context.now() - primaryHeardAt < Timing.STICKY_MS;
    }

    /** Whether a candidacy may be granted: not while somebody else leads well, unless that one has asked for it. */
    private boolean mayGrant(ReplicaMessage request) {
        boolean handedOver = request.ok() && !view().supersedes(request.view());
        boolean leadsWell = leadership != null && context.now() - leadership.unconfirmedSince() < Timing.STICKY_MS;
        return handedOver || !leadsWell && !heardOfLate();
    }

    private void onPreVote(String from, ReplicaMessage request) {
        boolean ok = !voter.blank() && request.ballot().isAbove(voter.promised()) && mayGrant(request);
        context.send(
                from, refusal(Kind.PRE_VOTE_REPLY, request.ballot()).withOk(ok).withView(voter.durableView()));
    }

    private void onVote(String from, ReplicaMessage request) {
        Ballot ballot = request.ballot();
        boolean granted = ballot.equals(voter.promised());
        if (voter.blank() || ballot.isBelow(voter.promised()) || !granted && !mayGrant(request)) {
            context.send(from, refusal(Kind.VOTE_REPLY, ballot));
            return;
        }
        deferCandidacy();
        if (!granted) {
            follow();
            voter.promise(ballot);
        }
        if (ballot.equals(voter.durablePromise())) {
            context.send(from, grant(ballot));
            return;
        }
        voter.persist(context.now(), durable -> {
            boolean holds = durable && ballot.equals(voter.promised());
            context.send(from, holds ? grant(ballot) : refusal(Kind.VOTE_REPLY, ballot));
        });
    }

    private ReplicaMessage grant(Ballot ballot) {
        return reply(Kind.VOTE_REPLY, ballot, true).withView(voter.durableView());
    }

    /** A candidate has time for its steps before anybody else stands. */
    private void deferCandidacy() {
        primaryHeardAt = Math.max(primaryHeardAt, context.now() - Timing.CANDIDACY_AGE_MS);
    }

    private void onFetch(String from, ReplicaMessage request) {
        if (voter.blank() || !request.ballot().equals(voter.durablePromise()) || copy.index() < 0) {
            return;
        }
        StateUpdate update = copy.updateFrom(request.copyBallot(), request.index());
        context.send(from, reply(Kind.FETCH_REPLY, request.ballot(), true).withBody(update.bytes()));
    }

    private void onHeartbeat(String from, ReplicaMessage heartbeat) {
        Ballot ballot = heartbeat.ballot();
        if (ballot.isBelow(voter.promised()) && !voter.blank()) {
            context.send(from, refusal(Kind.HEARTBEAT_REPLY, ballot).withNonce(heartbeat.nonce()));
            return;
        }
        if (!heartbeat.view().ballot().equals(ballot)
                || !heartbeat.view().primary().equals(from)) {
            return;
        }
        primaryHeardAt = context.now();
        inForceBallot = ballot;
        replaceable = heartbeat.ok();
        contacts.learnSilences(context.now(), heartbeat.silences());
        if (voter.blank()) {
            // Tells whom to ask; to answer would be to vouch for a ballot.
            voter.learn(heartbeat.view());
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        boolean news = ballot.isAbove(voter.promised()) || heartbeat.view().supersedes(view());
        if (!news) {
            acknowledge(from, heartbeat);
            return;
        }
        voter.promise(ballot);
        voter.learn(heartbeat.view());
        voter.persist(context.now(), durable -> {
            if (durable) {
                acknowledge(from, heartbeat);
            }
        });
    }

    private void acknowledge(String from, ReplicaMessage heartbeat) {
        boolean holds = !voter.promised().isAbove(heartbeat.ballot());
        ReplicaMessage answer = holds
                ? reply(Kind.HEARTBEAT_REPLY, heartbeat.ballot(), true)
                : refusal(Kind.HEARTBEAT_REPLY, heartbeat.ballot());
        context.send(from, answer.withNonce(heartbeat.nonce()));
    }

    static ReplicaMessage copyMessage(StateUpdate update, long generation) {
        return ReplicaMessage.of(Kind.COPY, update.ballot())
                .withCopy(update.ballot(), update.index())
                .withGeneration(generation)
                .withBody(update.bytes());
    }

    /** Whether two answers tell of the same copy on the same disk. */
    static boolean sameHolding(ReplicaMessage one, ReplicaMessage other) {
        return one.copyBallot().equals(other.copyBallot())
                && one.index() == other.index()
                && one.generation() == other.generation();
    }

    private void onCopy(String from, ReplicaMessage message) {
        Ballot ballot = message.ballot();
        if (voter.blank()) {
            return;
        }
        if (ballot.isBelow(voter.promised()) || message.generation() != voter.generation()) {
            context.send(from, refusal(Kind.COPY_REPLY, ballot));
            return;
        }
        if (ballot.equals(copy.ballot()) && message.index() <= copy.index()) {
            context.send(from, copied(message));
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        deferCandidacy();
        if (copy.writing()) {
            return;
        }
        StateUpdate update = StateUpdate.parse(message.body());
        if (!copy.accepts(update)) {
            context.send(from, refusal(Kind.COPY_REPLY, ballot));
            return;
        }
        if (ballot.isAbove(voter.promised())) {
            voter.promise(ballot);
            voter.persist(context.now(), durable -> {});
        }
        copy.write(context.now(), update, copy.result(update), durable -> {
            if (durable) {
                context.send(from, copied(message));
            }
        });
    }

    private ReplicaMessage copied(ReplicaMessage message) {
        ReplicaMessage answer = reply(Kind.COPY_REPLY, message.ballot(), true);
        return answer.withCopy(message.ballot(), message.index());
    }

    private void onAccept(String from, ReplicaMessage message) {
        Ballot ballot = message.ballot();
        if (voter.blank() || !message.view().ballot().equals(ballot)) {
            return;
        }
        if (ballot.isBelow(voter.promised())) {
            context.send(from, refusal(Kind.ACCEPT_REPLY, ballot));
            return;
        }
        if (context.candidacy() != null || leadership != null) {
            follow();
        }
        primaryHeardAt = context.now();
        voter.promise(ballot);
        voter.learn(message.view());
        voter.persist(context.now(), durable -> {
            if (durable) {
                context.send(from, reply(Kind.ACCEPT_REPLY, ballot, true));
            }
        });
    }

    private void onRecovery(String from, ReplicaMessage request) {
        if (voter.blank()) {
            return;
        }
        if (!request.blank()) {
            contacts.standsBy(context.now(), from);
            context.send(from, reply(Kind.RECOVERY_REPLY, Ballot.NONE, true).withView(voter.durableView()));
            return;
        }
        DiskLife claimed = new DiskLife(request.generation(), request.nonce());
        boolean noted = voter.noteLife(from, claimed);
        voter.persist(context.now(), durable -> {
            if (durable) {
                context.send(
                        from,
                        reply(Kind.RECOVERY_REPLY, Ballot.NONE, noted)
                                .withNonce(request.nonce())
                                .withView(voter.durableView()));
            }
        });
    }

    private void onRecoveryReply(String from, ReplicaMessage reply) {
        if (!voter.blank()) {
            if (!view().voters().contains(context.self())) {
                voter.learn(reply.view());
            }
            return;
        }
        if (!recovery.onReply(from, reply)) {
            return;
        }
        recovery = null;
        voter.setBlank(false);
        primaryHeardAt = context.now();
        voter.persist(context.now(), durable -> {
            if (!durable) {
                becomeBlankAgain();
            }
        });
    }

    private void becomeBlankAgain() {
        follow();
        voter.setBlank(true);
        recovery = new Recovery(context.self(), voter, context.randomLong());
    }

    private void onHandover(String from, ReplicaMessage message) {
        contacts.leaves(context.now(), from);
        boolean current =
                message.ballot().equals(view().ballot()) && view().primary().equals(from);
        boolean able =
                !voter.blank() && !leaving && disk.isIdle() && view().copies().contains(context.self());
        if (current && able && context.candidacy() == null && leadership == null) {
            stand(new Plan(null, Set.of(), true)).startWithVote();
        }
    }

    // ---- the disk ------------------------------------------------------------------------------------

    /** A record is durable, or was refused. Records are told of in their order. */
    public void onPersisted(long now, long number, boolean durable) {
        context.advance(now);
        disk.onPersisted(now, number, durable);
    }
}
