package quartzspan.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState.Change;

/**
 * One core machine's part in keeping the control state, without clock, thread or I/O.
 *
 * <p>An epoch has one {@link View}: a primary, the f backups that hold copies, and the voters. A change is answered when the
 * disks of the primary and of all backups have it. Whoever wants to take over asks the voters for a higher epoch; a majority
 * has to grant it, each on its disk, and says the latest view it knows. One copy of that view, which no longer takes
 * anything of the old epoch, holds all that was ever answered: it is copied to the new view's copies, and only then a
 * majority of the voters (of the old and of the new ones, where they change) puts the view into effect. Witnesses keep
 * epochs and views, no changes; there is no log that a majority replicates.
 *
 * <p>A machine whose disk came back empty has forgotten what it granted. It grants nothing until so many others have told it
 * what they granted that no majority it took part in is without one of them.
 *
 * <p>All times are milliseconds of a steady clock.
 */
public final class Replica {
    /** Time between beats, and between repeats of a question. */
    private static final long BEAT_MS = 150;

    private static final long AGAIN_MS = 250;
    /** A primary that has had no majority for so long is none; longer than a beat that was lost and one that was late. */
    private static final long ALONE_MS = 700;
    /** Nobody grants an epoch while it has heard the primary within this. */
    private static final long STICKY_MS = 500;
    /** Silence of the primary after which to stand for its place, and the most that chance adds. */
    private static final long SILENCE_MS = 700;

    private static final long SPREAD_MS = 500;
    /** Silence of a backup after which another takes its place. */
    private static final long BACKUP_MS = 600;
    /** Silence of a voter after which a machine that stands by takes its place for good. */
    private static final long VOTER_MS = 2_500;
    /** Time for one step of a candidature. */
    private static final long STEP_MS = 900;
    /** A disk that takes longer than this hands over. */
    private static final long DISK_MS = 800;
    /** After the disk refused: how long not to stand. */
    private static final long ASIDE_MS = 1_500;

    /** What is kept for good: the tag of a record, then its fields. */
    static final byte VOTE = 'V';

    static final byte COPY = 'C';

    /** Where decisions go; called only from within an event. */
    public interface Out {
        void send(String to, ReplicaMessage message);

        /** Keeps a record for good, in the order of the calls; {@link Replica#onPersisted} tells. */
        void persist(long seq, byte[] record);

        /** The answer to {@link Replica#change} or {@link Replica#confirm}; {@code why} is null if granted. */
        void done(long ticket, FleetException why, ControlState state);

        /** The state that is in force here from now on; only a primary says so. */
        void committed(long epoch, long index, ControlState state);
    }

    private enum Phase {
        FOLLOWING,
        SOUNDING,
        ASKING,
        FETCHING,
        COPYING,
        ACCEPTING,
        PRIMARY
    }

    private interface Then {
        void run(long now, boolean ok);
    }

    private record Waiting(long ticket, Change change) {}

    /** A question that a majority must confirm before its answer is given. */
    private record Question(long ticket, long nonce, FleetException why) {}

    private final String self;
    private final int losses;
    private final Set<String> seeds;
    private final SplittableRandom random;
    private final Out out;

    private long promised;
    /** To whom the promised epoch was granted, if that was in this life: to ask again is no new question. */
    private String grantedTo;

    private View view = View.NONE;
    private boolean blank;
    /** The copy on this disk. */
    private long copyEpoch = -1;

    private long copyIndex = -1;
    private ControlState state = ControlState.EMPTY;
    /** The state as last answered: the copy may hold a change that the backups don't have yet. */
    private ControlState inForce = ControlState.EMPTY;

    private Phase phase = Phase.FOLLOWING;
    private long phaseAt;
    private long heardAt;
    private long standAfter;
    private long againAt;
    /** The time of the event at hand, for what its outcome starts. */
    private long last;

    private long seq;
    private final TreeMap<Long, Then> persisting = new TreeMap<>();
    private long oldestPersistAt;
    private final Map<String, ReplicaMessage> answers = new HashMap<>();
    /** Copies and votes of a candidature or a change that are on a disk. */
    private final Set<String> synced = new LinkedHashSet<>();

    private View next = View.NONE;
    private View before = View.NONE;
    private long nextIndex;
    private ControlState nextState;
    /** Wanted voters of the next view; null to leave them. */
    private List<String> wantedVoters;

    private final Map<String, Long> lastHeard = new HashMap<>();
    /** Machines that stand by, with the time of their last word. */
    private final Map<String, Long> standing = new TreeMap<>();

    private final Map<String, long[]> copyOf = new HashMap<>();

    private long nonce;
    private final TreeMap<Long, Long> beatAt = new TreeMap<>();
    private final Map<String, Long> beaten = new HashMap<>();
    private long confirmedNonce;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final List<Question> questions = new ArrayList<>();
    private Waiting writing;
    private long writingAt;

    /**
     * @param self own name, as others send to it
     * @param seeds names of the machines that found the system, the same everywhere; later only whom to ask first
     * @param losses machines that may be lost at once
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
        this.self = self;
        this.seeds = new LinkedHashSet<>(seeds);
        this.losses = losses;
        this.random = new SplittableRandom(seed);
        this.out = out;
        last = now;
        kept.forEach(this::recall);
        inForce = state;
        if (view.epoch() < 0) {
            // Founding is a function of the settings alone: whoever does it, and however often, founds the same.
            List<String> founders = seeds.stream().distinct().sorted().toList();
            if (found && founders.contains(self)) {
                view = new View(
                        0, founders.get(0), founders.subList(0, Math.min(losses + 1, founders.size())), founders);
                if (view.copies().contains(self)) {
                    copyEpoch = 0;
                    copyIndex = 0;
                    persist(copyRecord(0, 0, state), (at, ok) -> {});
                }
                persistVote(now, ok -> {});
            } else {
                blank = true;
            }
        }
        // A primary that lives is heard within a beat or two; after a loss of power of all nobody has to be waited for.
        heardAt = now - SILENCE_MS + 2 * BEAT_MS;
        follow(now);
    }

    // ---- what is asked of outside --------------------------------------------------------------------

    public boolean primary() {
        return phase == Phase.PRIMARY;
    }

    public View view() {
        return view;
    }

    public long promised() {
        return promised;
    }

    public boolean blank() {
        return blank;
    }

    /** What this machine does at present, in a word. */
    public String role() {
        return blank
                ? "BLANK"
                : !view.voters().contains(self)
                        ? "STANDBY"
                        : phase == Phase.FOLLOWING ? view.copies().contains(self) ? "BACKUP" : "WITNESS" : phase.name();
    }

    /** Who is primary, as far as heard of late; null if unknown. */
    public String leader(long now) {
        return primary()
                ? self
                : now - heardAt < ALONE_MS
                                && !view.primary().isEmpty()
                                && !view.primary().equals(self)
                        ? view.primary()
                        : null;
    }

    /** The latest time at which this primary's state was surely the newest; far in the past if it is not primary. */
    public long confirmedAt() {
        return primary() ? confirmedAt : Long.MIN_VALUE / 2;
    }

    public long copyEpoch() {
        return copyEpoch;
    }

    public long copyIndex() {
        return copyIndex;
    }

    public ControlState state() {
        return inForce;
    }

    /** Asks for a change of the control state. */
    public void change(long now, long ticket, Change change) {
        last = now;
        if (!primary()) {
            out.done(ticket, notPrimary(), null);
            return;
        }
        queue.add(new Waiting(ticket, change));
        write(now);
    }

    /** Asks whether the state here is the newest; the answer comes once a majority has confirmed it. */
    public void confirm(long now, long ticket) {
        last = now;
        question(now, ticket, null);
    }

    private void question(long now, long ticket, FleetException why) {
        if (!primary()) {
            out.done(ticket, notPrimary(), null);
            return;
        }
        beat(now);
        questions.add(new Question(ticket, nonce, why));
        confirmed(now);
    }

    private static FleetException notPrimary() {
        return new FleetException(
                FleetException.Code.NOT_PRIMARY,
                "this machine doesn't decide at present",
                "ask another machine of the core, or again in a moment");
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** To be called every 50 ms or so. */
    public void onTick(long now) {
        last = now;
        if (blank || !view.voters().contains(self)) {
            if (now >= againAt) {
                againAt = now + AGAIN_MS;
                known().forEach(to -> out.send(
                        to,
                        ReplicaMessage.of(ReplicaMessage.Kind.RECOVERY, 0, view).says(true, promised, blank)));
            }
            if (blank) {
                return;
            }
        }
        if (!persisting.isEmpty() && now - oldestPersistAt > DISK_MS && phase != Phase.FOLLOWING) {
            aside(now);
        }
        switch (phase) {
            case PRIMARY -> lead(now);
            case FOLLOWING -> {
                if (now >= standAfter
                        && now - heardAt >= SILENCE_MS
                        && view.voters().contains(self)
                        && persisting.isEmpty()) {
                    sound(now);
                }
            }
            default -> {
                if (now - phaseAt > STEP_MS) {
                    follow(now);
                } else if (now >= againAt) {
                    repeat(now);
                }
            }
        }
    }

    /** Questions of the present step again, to whom they may not have reached. */
    private void repeat(long now) {
        againAt = now + AGAIN_MS;
        switch (phase) {
            case SOUNDING, ASKING -> {
                ReplicaMessage.Kind kind =
                        phase == Phase.SOUNDING ? ReplicaMessage.Kind.PRE_VOTE : ReplicaMessage.Kind.VOTE;
                for (String v : electors()) {
                    if (!answers.containsKey(v) && !v.equals(self)) {
                        out.send(v, ReplicaMessage.of(kind, next.epoch(), view));
                    }
                }
            }
            case COPYING -> next.copies().stream()
                    .filter(c -> !synced.contains(c) && !c.equals(self))
                    .forEach(c -> out.send(c, copyMessage(next.epoch(), nextIndex, nextState)));
            case ACCEPTING -> acceptors().stream()
                    .filter(v -> !synced.contains(v) && !v.equals(self))
                    .forEach(v -> out.send(v, ReplicaMessage.of(ReplicaMessage.Kind.ACCEPT, next.epoch(), next)));
            default -> {}
        }
    }

    private void follow(long now) {
        phase = Phase.FOLLOWING;
        phaseAt = now;
        standAfter = now + random.nextLong(SPREAD_MS / (view.copies().contains(self) ? 2 : 1));
        answers.clear();
        synced.clear();
        wantedVoters = null;
        fail();
    }

    /** The disk does not keep up or refuses: somebody else had better do it. */
    private void aside(long now) {
        follow(now);
        standAfter = now + ASIDE_MS;
    }

    /** Nothing that waits here can be answered. */
    private void fail() {
        List<Long> tickets = new ArrayList<>();
        if (writing != null) {
            tickets.add(writing.ticket());
        }
        writing = null;
        queue.forEach(w -> tickets.add(w.ticket()));
        queue.clear();
        questions.forEach(q -> tickets.add(q.ticket()));
        questions.clear();
        tickets.forEach(t -> out.done(t, notPrimary(), null));
    }

    private Set<String> known() {
        Set<String> all = new LinkedHashSet<>(view.voters());
        all.addAll(seeds);
        all.remove(self);
        return all;
    }

    // ---- standing for an epoch -----------------------------------------------------------------------

    private void sound(long now) {
        step(Phase.SOUNDING, now);
        answers.clear();
        before = view;
        next = new View(promised + 1, self, List.of(), List.of());
        answers.put(
                self,
                ReplicaMessage.of(ReplicaMessage.Kind.PRE_VOTE_REPLY, next.epoch(), view)
                        .says(true, promised, false));
        repeat(now);
        sounded(now);
    }

    private void step(Phase to, long now) {
        phase = to;
        phaseAt = now;
        againAt = now;
    }

    private Set<String> electors() {
        Set<String> all = new LinkedHashSet<>(view.voters());
        all.addAll(before.voters());
        return all;
    }

    private void sounded(long now) {
        if (phase == Phase.SOUNDING && granted(view)) {
            ask(now);
        }
    }

    private boolean granted(View by) {
        return by.voters().stream()
                        .filter(v -> answers.containsKey(v) && answers.get(v).ok())
                        .count()
                >= by.majority();
    }

    private void ask(long now) {
        fail();
        step(Phase.ASKING, now);
        answers.clear();
        synced.clear();
        before = view;
        promise(promised + 1, self);
        long epoch = promised;
        next = new View(epoch, self, List.of(), List.of());
        persistVote(now, ok -> {
            if (phase == Phase.ASKING && next.epoch() == epoch) {
                if (!ok) {
                    aside(last);
                    return;
                }
                answers.put(
                        self,
                        ReplicaMessage.of(ReplicaMessage.Kind.VOTE_REPLY, epoch, view)
                                .body(copyEpoch, copyIndex, new byte[0])
                                .says(true, promised, false));
                repeat(last);
                asked(last);
            }
        });
    }

    private void asked(long now) {
        if (phase != Phase.ASKING || !answers.containsKey(self)) {
            return;
        }
        View latest = view;
        for (ReplicaMessage g : answers.values()) {
            if (g.ok() && g.view().epoch() > latest.epoch()) {
                latest = g.view();
            }
        }
        before = latest;
        if (latest.epoch() != view.epoch()) {
            wantedVoters = null;
        }
        if (!granted(latest)) {
            return;
        }
        String best = null;
        for (String c : latest.copies()) {
            ReplicaMessage g = answers.get(c);
            if (g != null
                    && g.ok()
                    && g.copyEpoch() >= latest.epoch()
                    && (best == null
                            || newer(g, answers.get(best))
                            || c.equals(self) && !newer(answers.get(best), g))) {
                best = c;
            }
        }
        if (best == null) {
            return;
        }
        if (best.equals(self)) {
            spread(now, copyIndex, state);
        } else {
            step(Phase.FETCHING, now);
            out.send(best, ReplicaMessage.of(ReplicaMessage.Kind.FETCH, next.epoch(), view));
        }
    }

    private static boolean newer(ReplicaMessage a, ReplicaMessage b) {
        return a.copyEpoch() > b.copyEpoch() || a.copyEpoch() == b.copyEpoch() && a.index() > b.index();
    }

    /** Brings what was fetched to the copies of the view to be. */
    private void spread(long now, long index, ControlState state) {
        step(Phase.COPYING, now);
        synced.clear();
        List<String> voters = wantedVoters != null ? wantedVoters : before.voters();
        List<String> copies = new ArrayList<>(List.of(self));
        // Who answers now, who has a copy already first: least is moved, and least waits.
        List<String> able = new ArrayList<>(voters.stream()
                .filter(v -> !v.equals(self)
                        && (answers.containsKey(v) && answers.get(v).ok() || standing.containsKey(v)))
                .toList());
        able.sort((a, b) ->
                Boolean.compare(before.copies().contains(b), before.copies().contains(a)));
        able.stream().limit(losses).forEach(copies::add);
        if (copies.size() < Math.min(losses + 1, voters.size())) {
            step(Phase.ASKING, phaseAt);
            return;
        }
        next = new View(next.epoch(), self, copies, voters);
        nextIndex = index + 1;
        nextState = state;
        View mine = next;
        persist(copyRecord(next.epoch(), nextIndex, state), (at, ok) -> {
            if (phase == Phase.COPYING && next == mine) {
                if (ok) {
                    synced.add(self);
                    copied(at);
                } else {
                    aside(at);
                }
            }
        });
        repeat(now);
    }

    private void copied(long now) {
        if (phase == Phase.COPYING && synced.containsAll(next.copies())) {
            step(Phase.ACCEPTING, now);
            synced.clear();
            View mine = next;
            view = next;
            persistVote(now, ok -> {
                if (phase == Phase.ACCEPTING && next == mine) {
                    if (ok) {
                        synced.add(self);
                        repeat(last);
                        accepted(last);
                    } else {
                        aside(last);
                    }
                }
            });
        }
    }

    private Set<String> acceptors() {
        Set<String> all = new LinkedHashSet<>(next.voters());
        all.addAll(before.voters());
        return all;
    }

    private void accepted(long now) {
        if (phase != Phase.ACCEPTING
                || before.voters().stream().filter(synced::contains).count() < before.majority()
                || next.voters().stream().filter(synced::contains).count() < next.majority()) {
            return;
        }
        step(Phase.PRIMARY, now);
        wantedVoters = null;
        standing.keySet().removeAll(view.voters());
        beatAt.clear();
        beaten.clear();
        confirmedNonce = nonce;
        confirmedAt = Long.MIN_VALUE / 2;
        copyOf.clear();
        view.voters().forEach(v -> lastHeard.put(v, now));
        inForce = state;
        out.committed(copyEpoch, copyIndex, inForce);
        beat(now);
        write(now);
    }

    // ---- leading -------------------------------------------------------------------------------------

    private void lead(long now) {
        if (now >= againAt) {
            beat(now);
            if (writing != null && now - writingAt > BEAT_MS) {
                ReplicaMessage copy = copyMessage(view.epoch(), nextIndex, nextState);
                view.copies().stream()
                        .filter(c -> !synced.contains(c) && !c.equals(self))
                        .forEach(c -> out.send(c, copy));
            }
        }
        long oldest = confirmedAt > phaseAt ? confirmedAt : phaseAt;
        if (now - oldest > ALONE_MS) {
            follow(now);
            return;
        }
        if (writing != null && now - writingAt > DISK_MS && !synced.contains(self)) {
            aside(now);
            return;
        }
        standing.values().removeIf(at -> now - at > BACKUP_MS);
        String slow = writing == null
                ? null
                : view.copies().stream()
                        .filter(c -> !c.equals(self) && !synced.contains(c) && now - writingAt > BACKUP_MS)
                        .findFirst()
                        .orElse(null);
        String silent = view.copies().stream()
                .filter(c -> !c.equals(self) && quiet(c, now) > BACKUP_MS)
                .findFirst()
                .orElse(slow);
        boolean enough = view.voters().stream()
                        .filter(v -> !v.equals(self) && quiet(v, now) <= BACKUP_MS && !v.equals(silent))
                        .count()
                >= losses;
        boolean few = view.copies().size() < Math.min(losses + 1, view.voters().size());
        List<String> voters = voters(now);
        if ((silent != null || few) && enough || voters != null) {
            wantedVoters = voters;
            ask(now);
        }
    }

    private long quiet(String voter, long now) {
        return voter.equals(self) ? 0 : now - lastHeard.getOrDefault(voter, now);
    }

    /** The voters as they should be, one change away from what they are; null if they are as they should be. */
    private List<String> voters(long now) {
        if (standing.isEmpty()) {
            return null;
        }
        List<String> all = new ArrayList<>(view.voters());
        String joins = standing.keySet().iterator().next();
        if (all.size() < 2 * losses + 1) {
            all.add(joins);
            return all;
        }
        for (String v : all) {
            if (quiet(v, now) > VOTER_MS) {
                all.set(all.indexOf(v), joins);
                return all;
            }
        }
        return null;
    }

    private void beat(long now) {
        againAt = now + BEAT_MS;
        nonce++;
        beatAt.put(nonce, now);
        while (beatAt.size() > 64) {
            beatAt.pollFirstEntry();
        }
        ReplicaMessage beat = ReplicaMessage.of(ReplicaMessage.Kind.HEARTBEAT, view.epoch(), view)
                .nonce(nonce)
                .body(copyEpoch, copyIndex, new byte[0]);
        for (String v : view.voters()) {
            if (!v.equals(self)) {
                out.send(v, beat);
            }
        }
        standing.keySet().forEach(s -> out.send(s, beat));
        // Where there is one voter, that is a majority.
        confirmed(now);
    }

    private void confirmed(long now) {
        if (!primary()) {
            return;
        }
        long[] acked = view.voters().stream()
                .mapToLong(v -> v.equals(self) ? nonce : beaten.getOrDefault(v, 0L))
                .sorted()
                .toArray();
        long sure = acked[acked.length - view.majority()];
        if (sure > confirmedNonce) {
            confirmedNonce = sure;
            Map.Entry<Long, Long> at = beatAt.floorEntry(sure);
            confirmedAt = at == null ? confirmedAt : Math.max(confirmedAt, at.getValue());
        }
        for (Question q : List.copyOf(questions)) {
            if (q.nonce() <= confirmedNonce && questions.remove(q)) {
                out.done(q.ticket(), q.why(), inForce);
            }
        }
    }

    /** One change at a time: the next is judged by the state after the one before. */
    private void write(long now) {
        while (primary() && writing == null && !queue.isEmpty()) {
            Waiting w = queue.poll();
            ControlState changed;
            try {
                changed = state.with(w.change());
            } catch (FleetException why) {
                question(now, w.ticket(), why);
                continue;
            }
            if (changed == state) {
                question(now, w.ticket(), null);
                continue;
            }
            writing = w;
            writingAt = now;
            synced.clear();
            nextIndex = copyIndex + 1;
            nextState = changed;
            persist(copyRecord(view.epoch(), nextIndex, changed), (at, ok) -> {
                if (primary() && writing == w) {
                    if (ok) {
                        synced.add(self);
                        written(at);
                    } else {
                        aside(at);
                    }
                }
            });
            ReplicaMessage copy = copyMessage(view.epoch(), nextIndex, changed);
            view.copies().stream().filter(c -> !c.equals(self)).forEach(c -> out.send(c, copy));
        }
    }

    private void written(long now) {
        if (primary() && writing != null && synced.containsAll(view.copies())) {
            long ticket = writing.ticket();
            writing = null;
            inForce = state;
            out.committed(copyEpoch, copyIndex, inForce);
            out.done(ticket, null, inForce);
            write(now);
        }
    }

    private static ReplicaMessage copyMessage(long epoch, long index, ControlState state) {
        return ReplicaMessage.of(ReplicaMessage.Kind.COPY, epoch, View.NONE).body(epoch, index, state.bytes());
    }

    // ---- messages -------------------------------------------------------------------------------------

    /** Something came from another machine of the core. */
    public void onMessage(long now, String from, ReplicaMessage in) {
        last = now;
        lastHeard.put(from, now);
        switch (in.kind()) {
            case HEARTBEAT -> onHeartbeat(now, from, in);
            case HEARTBEAT_REPLY -> onHeartbeatReply(now, from, in);
            case PRE_VOTE -> out.send(
                    from,
                    ReplicaMessage.of(ReplicaMessage.Kind.PRE_VOTE_REPLY, in.epoch(), view)
                            .says(!blank && in.epoch() > promised && free(now, from), promised, blank));
            case PRE_VOTE_REPLY -> {
                if (in.view().epoch() > view.epoch()) {
                    view = in.view();
                }
                if (phase == Phase.SOUNDING && in.epoch() == next.epoch()) {
                    answers.put(from, in);
                    if (in.promised() > promised) {
                        promise(in.promised(), null);
                        sound(now);
                    } else {
                        sounded(now);
                    }
                }
            }
            case VOTE -> onVote(now, from, in);
            case VOTE_REPLY -> {
                if (phase == Phase.ASKING && in.epoch() == next.epoch()) {
                    answers.put(from, in);
                    if (!in.ok() && in.promised() > promised) {
                        promise(in.promised(), null);
                        follow(now);
                    } else {
                        asked(now);
                    }
                }
            }
            case FETCH -> {
                if (!blank && in.epoch() == promised) {
                    out.send(
                            from,
                            ReplicaMessage.of(ReplicaMessage.Kind.FETCH_REPLY, in.epoch(), view)
                                    .body(copyEpoch, copyIndex, state.bytes()));
                }
            }
            case FETCH_REPLY -> {
                if (phase == Phase.FETCHING && in.epoch() == next.epoch() && in.copyEpoch() >= before.epoch()) {
                    spread(now, in.index(), ControlState.parse(in.body()));
                }
            }
            case COPY -> onCopy(now, from, in);
            case COPY_REPLY -> {
                if (!in.ok()) {
                    deposed(now, in);
                } else if ((phase == Phase.COPYING || primary() && writing != null)
                        && in.epoch() == next.epoch()
                        && in.index() == nextIndex) {
                    synced.add(from);
                    copied(now);
                    written(now);
                }
            }
            case ACCEPT -> onAccept(now, from, in);
            case ACCEPT_REPLY -> {
                if (!in.ok()) {
                    deposed(now, in);
                } else if (phase == Phase.ACCEPTING && in.epoch() == next.epoch()) {
                    synced.add(from);
                    accepted(now);
                }
            }
            case RECOVERY -> {
                if (!in.blank() && !view.voters().contains(from)) {
                    standing.put(from, now);
                }
                if (!blank) {
                    out.send(
                            from,
                            ReplicaMessage.of(ReplicaMessage.Kind.RECOVERY_REPLY, 0, view)
                                    .says(true, promised, false));
                }
            }
            case RECOVERY_REPLY -> onRecoveryReply(now, from, in);
            default -> {}
        }
    }

    /** Whether this one may grant an epoch: not while somebody else leads well. */
    private boolean free(long now, String from) {
        return from.equals(view.primary())
                || !primary() && now - heardAt >= STICKY_MS
                || primary() && now - Math.max(confirmedAt, phaseAt) >= STICKY_MS;
    }

    private void deposed(long now, ReplicaMessage in) {
        if (in.promised() > promised) {
            promise(in.promised(), null);
            if (phase != Phase.FOLLOWING) {
                follow(now);
                // The one that granted it heard nobody, or somebody else leads by now: the next beat shows.
            }
        }
    }

    private void onHeartbeat(long now, String from, ReplicaMessage in) {
        if (in.epoch() < promised && !blank) {
            out.send(
                    from,
                    ReplicaMessage.of(ReplicaMessage.Kind.HEARTBEAT_REPLY, in.epoch(), view)
                            .nonce(in.nonce())
                            .says(false, promised, false));
            return;
        }
        if (in.view().epoch() != in.epoch() || !in.view().primary().equals(from)) {
            return;
        }
        heardAt = now;
        if (phase != Phase.FOLLOWING && in.epoch() >= promised) {
            follow(now);
        }
        if (blank) {
            // What it says is kept in mind for whom to ask; to answer would be to vouch for an epoch.
            if (view.epoch() < in.view().epoch()) {
                view = in.view();
            }
            return;
        }
        ReplicaMessage ack = ReplicaMessage.of(ReplicaMessage.Kind.HEARTBEAT_REPLY, in.epoch(), View.NONE)
                .nonce(in.nonce());
        if (in.view().epoch() > view.epoch() || in.epoch() > promised) {
            promise(in.epoch(), null);
            view = in.view().epoch() > view.epoch() ? in.view() : view;
            persistVote(now, ok -> {
                if (ok) {
                    out.send(
                            from,
                            ack.body(copyEpoch, copyIndex, new byte[0]).says(promised <= in.epoch(), promised, false));
                }
            });
        } else {
            out.send(from, ack.body(copyEpoch, copyIndex, new byte[0]).says(true, promised, false));
        }
    }

    private void onHeartbeatReply(long now, String from, ReplicaMessage in) {
        if (!primary() || in.epoch() != view.epoch()) {
            return;
        }
        if (!in.ok()) {
            // Somebody was granted more without taking over: only a higher epoch has this voter's word again.
            if (in.promised() > promised) {
                promise(in.promised(), null);
                ask(now);
            }
            return;
        }
        beaten.merge(from, in.nonce(), Math::max);
        confirmed(now);
        // A backup that is behind lost its disk, or a message. Between changes it is brought up at once.
        if (primary()
                && writing == null
                && view.copies().contains(from)
                && (in.copyEpoch() < copyEpoch || in.index() < copyIndex)) {
            long[] sent = copyOf.computeIfAbsent(from, f -> new long[] {Long.MIN_VALUE / 2});
            if (now - sent[0] > AGAIN_MS) {
                sent[0] = now;
                out.send(from, copyMessage(copyEpoch, copyIndex, state));
            }
        }
    }

    private void onVote(long now, String from, ReplicaMessage in) {
        ReplicaMessage answer = ReplicaMessage.of(ReplicaMessage.Kind.VOTE_REPLY, in.epoch(), view);
        if (blank
                || in.epoch() < promised
                || in.epoch() == promised && !from.equals(grantedTo)
                || in.epoch() > promised && !free(now, from)) {
            out.send(from, answer.says(false, promised, blank));
            return;
        }
        if (phase != Phase.FOLLOWING) {
            follow(now);
        }
        // The candidate has time for its steps before anybody else stands.
        heardAt = Math.max(heardAt, now - STICKY_MS);
        promise(in.epoch(), from);
        persistVote(
                now,
                ok -> out.send(
                        from,
                        ReplicaMessage.of(ReplicaMessage.Kind.VOTE_REPLY, in.epoch(), view)
                                .body(copyEpoch, copyIndex, new byte[0])
                                .says(ok && promised == in.epoch(), promised, false)));
    }

    private void promise(long epoch, String to) {
        promised = epoch;
        grantedTo = to;
    }

    private void onCopy(long now, String from, ReplicaMessage in) {
        ReplicaMessage answer = ReplicaMessage.of(ReplicaMessage.Kind.COPY_REPLY, in.epoch(), View.NONE)
                .body(in.epoch(), in.index(), new byte[0]);
        if (blank) {
            return;
        }
        if (in.epoch() < promised) {
            out.send(from, answer.says(false, promised, false));
            return;
        }
        if (in.epoch() == copyEpoch && in.index() <= copyIndex) {
            out.send(from, answer.says(true, promised, false));
            return;
        }
        if (phase != Phase.FOLLOWING) {
            follow(now);
        }
        heardAt = Math.max(heardAt, now - STICKY_MS);
        if (in.epoch() > promised) {
            promise(in.epoch(), null);
            persistVote(now, ok -> {});
        }
        persist(copyRecord(in.epoch(), in.index(), ControlState.parse(in.body())), (at, ok) -> {
            if (ok) {
                out.send(from, answer.says(true, promised, false));
            }
        });
    }

    private void onAccept(long now, String from, ReplicaMessage in) {
        ReplicaMessage answer = ReplicaMessage.of(ReplicaMessage.Kind.ACCEPT_REPLY, in.epoch(), View.NONE);
        if (blank) {
            return;
        }
        if (in.epoch() < promised || in.view().epoch() != in.epoch()) {
            out.send(from, answer.says(false, promised, false));
            return;
        }
        if (phase != Phase.FOLLOWING) {
            follow(now);
        }
        heardAt = now;
        promise(in.epoch(), null);
        view = in.view();
        persistVote(now, ok -> {
            if (ok) {
                out.send(from, answer.says(true, promised, false));
            }
        });
    }

    /**
     * What others promised. One that is no voter of the latest view has promised nothing that counts. A voter waits for so
     * many others that each majority it may have been part of has one of them; nobody else's word counts.
     */
    private void onRecoveryReply(long now, String from, ReplicaMessage in) {
        if (!blank) {
            if (!view.voters().contains(self) && in.view().epoch() > view.epoch()) {
                view = in.view();
            }
            return;
        }
        answers.put(from, in);
        View latest = View.NONE;
        long most = 0;
        for (ReplicaMessage a : answers.values()) {
            latest = a.view().epoch() > latest.epoch() ? a.view() : latest;
            most = Math.max(most, a.promised());
        }
        if (latest.epoch() > view.epoch()) {
            view = latest;
        }
        View v = latest;
        long told = answers.keySet().stream().filter(v.voters()::contains).count();
        boolean voter = v.voters().contains(self);
        int wanted = voter ? v.voters().size() - v.majority() + 1 : v.majority();
        if (v.epoch() >= 0 && told >= wanted) {
            answers.clear();
            promise(most, null);
            view = v;
            blank = false;
            heardAt = now;
            persistVote(now, ok -> {
                if (!ok) {
                    blank = true;
                }
            });
        }
    }

    // ---- what is kept --------------------------------------------------------------------------------

    private interface Told {
        void run(boolean ok);
    }

    private void persistVote(long now, Told then) {
        byte[] text = view.text().getBytes(StandardCharsets.UTF_8);
        persist(
                ByteBuffer.allocate(9 + text.length)
                        .put(VOTE)
                        .putLong(promised)
                        .put(text)
                        .array(),
                (at, ok) -> then.run(ok));
    }

    private static byte[] copyRecord(long epoch, long index, ControlState state) {
        byte[] bytes = state.bytes();
        return ByteBuffer.allocate(17 + bytes.length)
                .put(COPY)
                .putLong(epoch)
                .putLong(index)
                .put(bytes)
                .array();
    }

    private void persist(byte[] record, Then then) {
        if (persisting.isEmpty()) {
            oldestPersistAt = last;
        }
        long number = ++seq;
        persisting.put(number, (at, ok) -> {
            if (ok) {
                if (record[0] == COPY) {
                    recall(record);
                }
            }
            then.run(at, ok);
        });
        out.persist(number, record);
    }

    /** A record is on disk for good, or was refused. Records are told of in their order. */
    public void onPersisted(long now, long number, boolean ok) {
        last = now;
        Then then = persisting.remove(number);
        oldestPersistAt = now;
        if (then != null) {
            then.run(now, ok);
        }
    }

    private void recall(byte[] record) {
        ByteBuffer b = ByteBuffer.wrap(record);
        byte tag = b.get();
        if (tag == VOTE) {
            promised = b.getLong();
            view = View.parse(new String(record, 9, record.length - 9, StandardCharsets.UTF_8));
        } else if (tag == COPY) {
            copyEpoch = b.getLong();
            copyIndex = b.getLong();
            state = ControlState.parse(Arrays.copyOfRange(record, 17, record.length));
        }
    }
}
