package quartzspan.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/**
 * What a primary does while its view is in force: heartbeats, changes and reads.
 *
 * <p>A change is answered once every copy has synced it. A read, and a refusal too, is answered once a quorum has
 * acknowledged a heartbeat that was sent after the question: until then somebody else may lead.
 */
final class Leadership {
    private static final int MAX_HEARTBEATS_KEPT = 64;

    /** What a primary decides and its replica has to carry out. */
    interface Listener {
        /** The view has to change. */
        void reform(Candidacy.Plan plan);

        /** Nobody else may count on this primary any more. */
        void standDown();

        /** The disk refused or is too slow. */
        void diskRefused();

        void committed(long index, ControlState state);

        void answered(long ticket, FleetException refusal, ControlState state);
    }

    private record Request(long ticket, Change change) {}

    /** A question whose answer waits for a quorum; {@code refusal} is the answer, null for a read. */
    private record Question(long ticket, long nonce, FleetException refusal) {}

    /** The change under way. */
    private record Write(long ticket, StateUpdate update, long since) {}

    private final ReplicaContext context;
    private final VoterState voter;
    private final StateCopy copy;
    private final Contacts contacts;
    private final Listener listener;
    private final long since;
    private View view;
    /** The state as last answered: the copy may hold a change that other copies lack. */
    private ControlState inForce;

    private long heartbeatAt;
    private long nonce;
    private final TreeMap<Long, Long> heartbeatSentAt = new TreeMap<>();
    private final Map<String, Long> acknowledged = new HashMap<>();
    private long confirmedNonce;
    private long confirmedAt;
    private final ArrayDeque<Request> requests = new ArrayDeque<>();
    private final List<Question> questions = new ArrayList<>();
    private Write write;
    private final Set<String> synced = new HashSet<>();
    /** The states that other replicas hold, as far as they told. */
    private final Map<String, ReplicaMessage> holdings = new HashMap<>();

    private final Map<String, Long> copySentAt = new HashMap<>();
    private boolean ended;

    Leadership(
            ReplicaContext context, VoterState voter, StateCopy copy, Contacts contacts, View view, Listener listener) {
        this.context = context;
        this.voter = voter;
        this.copy = copy;
        this.contacts = contacts;
        this.view = view;
        this.listener = listener;
        this.since = context.now();
        this.confirmedAt = Long.MIN_VALUE / 2;
        this.inForce = copy.state();
    }

    /** Begins to lead: the view is in force, so the voters before it are needed no more. */
    void begin() {
        listener.committed(copy.index(), inForce);
        if (view.joint()) {
            voter.learn(view.settled());
            voter.persist(context.now(), durable -> {
                if (durable && !ended) {
                    view = view.settled();
                    heartbeat();
                }
            });
        }
        heartbeat();
    }

    View view() {
        return view;
    }

    ControlState inForce() {
        return inForce;
    }

    /** The latest time at which the state here was surely the newest. */
    long confirmedAt() {
        return confirmedAt;
    }

    /** Since when nobody has confirmed that this primary leads. */
    long unconfirmedSince() {
        return Math.max(confirmedAt, since);
    }

    // ---- time ----------------------------------------------------------------------------------------

    void onTick() {
        long now = context.now();
        if (now - unconfirmedSince() > Timing.ISOLATED_MS) {
            listener.standDown();
            return;
        }
        if (now >= heartbeatAt) {
            heartbeat();
            resendWrite();
        }
        if (!ended
                && write != null
                && !synced.contains(context.self())
                && now - write.since() > allowed(Timing.DISK_MS)) {
            listener.diskRefused();
            return;
        }
        startWrites();
        if (!ended) {
            considerView();
        }
    }

    /** Large states are allowed more time. */
    private long allowed(long base) {
        return base + copy.state().size() / Timing.BYTES_PER_MS;
    }

    private void heartbeat() {
        long now = context.now();
        heartbeatAt = now + Timing.HEARTBEAT_MS;
        nonce++;
        heartbeatSentAt.put(nonce, now);
        while (heartbeatSentAt.size() > MAX_HEARTBEATS_KEPT) {
            heartbeatSentAt.pollFirstEntry();
        }
        List<String> standbys = contacts.standbys(now, view);
        ReplicaMessage heartbeat = ReplicaMessage.of(Kind.HEARTBEAT, view.ballot())
                .withView(view)
                .withNonce(nonce)
                .withOk(hasSpareVoter(now))
                .withCopy(copy.ballot(), copy.index())
                .withSilences(contacts.silences(now, view.voters()));
        Set<String> to = view.electorate();
        to.remove(context.self());
        to.addAll(standbys);
        to.forEach(name -> context.send(name, heartbeat));
        confirm();
    }

    // ---- reads ---------------------------------------------------------------------------------------

    void read(long ticket) {
        ask(ticket, null);
    }

    private void ask(long ticket, FleetException refusal) {
        questions.add(new Question(ticket, nonce + 1, refusal));
        heartbeat();
    }

    void onHeartbeatReply(String from, ReplicaMessage reply) {
        if (!reply.ballot().equals(view.ballot())) {
            return;
        }
        if (!reply.ok()) {
            // Somebody was granted a higher ballot without taking over: only a higher one has this voter's word again.
            if (reply.promised().isAbove(voter.promised())) {
                voter.promise(reply.promised());
                listener.reform(plan(null, Set.of()));
            }
            return;
        }
        acknowledged.merge(from, reply.nonce(), Math::max);
        holdings.put(from, reply);
        confirm();
        if (!ended && write == null) {
            bringUpToDate(from, reply);
        }
    }

    /** Counts whose acknowledgements make a quorum, and answers what has waited for it. */
    private void confirm() {
        long sure = confirmedNonce;
        for (long candidate : acknowledged.values()) {
            sure = candidate > sure && isConfirmed(candidate) ? candidate : sure;
        }
        sure = isConfirmed(nonce) ? nonce : sure;
        if (sure > confirmedNonce) {
            confirmedNonce = sure;
            Map.Entry<Long, Long> sent = heartbeatSentAt.floorEntry(sure);
            confirmedAt = sent == null ? confirmedAt : Math.max(confirmedAt, sent.getValue());
        }
        for (Question question : List.copyOf(questions)) {
            if (question.nonce() <= confirmedNonce && questions.remove(question)) {
                listener.answered(question.ticket(), question.refusal(), inForce);
            }
        }
    }

    private boolean isConfirmed(long atNonce) {
        Set<String> replicas = new HashSet<>();
        replicas.add(context.self());
        acknowledged.forEach((name, acked) -> {
            if (acked >= atNonce) {
                replicas.add(name);
            }
        });
        return view.isQuorum(replicas);
    }

    // ---- changes -------------------------------------------------------------------------------------

    void change(long ticket, Change change) {
        requests.add(new Request(ticket, change));
        startWrites();
    }

    /** One change at a time: the next is judged by the state after the one before. */
    private void startWrites() {
        while (!ended && write == null && !copy.writing() && !requests.isEmpty()) {
            Request request = requests.poll();
            ControlState changed;
            try {
                changed = copy.state().with(request.change());
            } catch (FleetException refusal) {
                ask(request.ticket(), refusal);
                continue;
            }
            if (changed == copy.state()) {
                ask(request.ticket(), null);
            } else {
                startWrite(request, changed);
            }
        }
    }

    private void startWrite(Request request, ControlState changed) {
        StateUpdate update = copy.nextStep(view.ballot(), request.change());
        Write started = new Write(request.ticket(), update, context.now());
        write = started;
        synced.clear();
        copy.write(context.now(), update, changed, durable -> {
            if (ended || write != started) {
                return;
            }
            if (durable) {
                synced.add(context.self());
                finishWrite();
            } else {
                listener.diskRefused();
            }
        });
        for (String name : view.copies()) {
            if (!name.equals(context.self())) {
                sendCopy(name, update);
            }
        }
    }

    /** To who has not synced the change under way. */
    private void resendWrite() {
        if (write == null || context.now() - write.since() < Timing.HEARTBEAT_MS) {
            return;
        }
        for (String name : view.copies()) {
            if (!synced.contains(name) && !name.equals(context.self())) {
                sendCopy(name, updateFor(name));
            }
        }
    }

    /** What brings a replica from the state that it last told to the one that is wanted of it. */
    private StateUpdate updateFor(String name) {
        if (write != null && !synced.contains(context.self())) {
            return write.update();
        }
        ReplicaMessage held = holdings.get(name);
        return held == null ? copy.updateFrom(Ballot.NONE, -1) : copy.updateFrom(held.copyBallot(), held.index());
    }

    private void sendCopy(String to, StateUpdate update) {
        ReplicaMessage held = holdings.get(to);
        copySentAt.put(to, context.now());
        context.send(to, Replica.copyMessage(update, held == null ? 0 : held.generation()));
    }

    /** A backup that is behind lost its disk, or a message. Between changes it is brought up to date. */
    private void bringUpToDate(String name, ReplicaMessage held) {
        boolean behind = !copy.is(held.copyBallot(), held.index());
        boolean sentLately = context.now() - copySentAt.getOrDefault(name, Long.MIN_VALUE / 2) < Timing.RETRY_MS;
        if (view.copies().contains(name) && behind && !sentLately && !copy.writing()) {
            sendCopy(name, copy.updateFrom(held.copyBallot(), held.index()));
        }
    }

    void onCopyReply(String from, ReplicaMessage reply) {
        if (!reply.ballot().equals(view.ballot())) {
            return;
        }
        if (!reply.ok()) {
            onCopyRefused(from, reply);
            return;
        }
        if (write != null && reply.index() == write.update().index()) {
            synced.add(from);
            finishWrite();
        }
    }

    private void onCopyRefused(String from, ReplicaMessage reply) {
        if (reply.promised().isAbove(view.ballot())) {
            if (reply.promised().isAbove(voter.promised())) {
                voter.promise(reply.promised());
            }
            listener.standDown();
            return;
        }
        ReplicaMessage before = holdings.put(from, reply);
        boolean changed = before == null || !Replica.sameHolding(before, reply);
        if (changed && view.copies().contains(from) && !copy.writing()) {
            sendCopy(from, copy.updateFrom(reply.copyBallot(), reply.index()));
        }
    }

    private void finishWrite() {
        if (write == null || !synced.containsAll(view.copies())) {
            return;
        }
        long ticket = write.ticket();
        write = null;
        inForce = copy.state();
        listener.committed(copy.index(), inForce);
        listener.answered(ticket, null, inForce);
        startWrites();
    }

    // ---- the view ------------------------------------------------------------------------------------

    /** Replaces copies that are silent, slow or about to end, and voters that are gone. */
    private void considerView() {
        long now = context.now();
        Set<String> failing = failingCopies(now);
        List<String> voters = wantedVoters(now);
        long healthy = healthyOthers(now, failing);
        int wanted = Candidacy.wantedCopies(view.voters(), context.losses());
        boolean canReplace = !failing.isEmpty() && healthy >= context.losses();
        boolean canAdd = view.copies().size() < wanted && healthy >= wanted - 1;
        if (canReplace || canAdd || voters != null) {
            listener.reform(plan(voters, failing));
        }
    }

    private Candidacy.Plan plan(List<String> voters, Set<String> failing) {
        Set<String> avoided = new TreeSet<>(failing);
        avoided.addAll(contacts.leaving(context.now()));
        return new Candidacy.Plan(voters, avoided, true);
    }

    private Set<String> failingCopies(long now) {
        Set<String> leaving = contacts.leaving(now);
        Set<String> failing = new TreeSet<>();
        for (String name : view.copies()) {
            boolean slow = write != null && !synced.contains(name) && now - write.since() > allowed(Timing.BACKUP_MS);
            if (!name.equals(context.self())
                    && (slow || leaving.contains(name) || contacts.silence(now, name) > Timing.BACKUP_MS)) {
                failing.add(name);
            }
        }
        return failing;
    }

    private long healthyOthers(long now, Set<String> failing) {
        Set<String> leaving = contacts.leaving(now);
        return view.voters().stream()
                .filter(name -> !name.equals(context.self()))
                .filter(name -> contacts.silence(now, name) <= Timing.BACKUP_MS)
                .filter(name -> !failing.contains(name) && !leaving.contains(name))
                .count();
    }

    /**
     * The voters as they should be, one change away from what they are; null if they are as they should be.
     *
     * <p>One standby is taken in beside all others, as voter and copy, so that whoever ends next is not missed.
     */
    private List<String> wantedVoters(long now) {
        if (view.joint()) {
            return null;
        }
        List<String> standbys = contacts.standbys(now, view);
        List<String> voters = new ArrayList<>(view.voters());
        int needed = 2 * context.losses() + 1;
        String replaced = voterToReplace(now);
        if (replaced != null && !standbys.isEmpty()) {
            voters.set(voters.indexOf(replaced), standbys.get(0));
        } else if (replaced != null && voters.size() > needed) {
            voters.remove(replaced);
        } else if (replaced == null && !standbys.isEmpty() && mayAdd(now, standbys.get(0))) {
            voters.add(standbys.get(0));
        } else {
            return null;
        }
        return voters;
    }

    /**
     * Whether a standby may be taken in beside all voters: where there are too few, or as the spare one. Beside a voter that
     * is silent it would make a set in which that one is missed twice.
     */
    private boolean mayAdd(long now, String standby) {
        int needed = 2 * context.losses() + 1;
        if (view.voters().size() < needed) {
            return true;
        }
        boolean allHeard = view.voters().stream().allMatch(name -> contacts.silence(now, name) <= Timing.BACKUP_MS);
        return view.voters().size() == needed
                && allHeard
                && contacts.standingFor(now, standby) >= Timing.SPARE_AFTER_MS;
    }

    /** Whether a voter that ends can be done without. */
    private boolean hasSpareVoter(long now) {
        return !contacts.standbys(now, view).isEmpty() || view.voters().size() > 2 * context.losses() + 1;
    }

    /** The voter that has been silent for longest, or else one that is about to end; null if there is none. */
    private String voterToReplace(long now) {
        boolean spare = view.voters().size() > 2 * context.losses() + 1;
        long limit = spare ? Timing.SPARE_VOTER_MS : Timing.VOTER_MS;
        String silent = null;
        for (String name : view.voters()) {
            long silence = contacts.silence(now, name);
            if (silence > limit && (silent == null || silence > contacts.silence(now, silent))) {
                silent = name;
            }
        }
        Set<String> leaving = contacts.leaving(now);
        String ends =
                view.voters().stream().filter(leaving::contains).findFirst().orElse(null);
        return silent != null ? silent : ends;
    }

    /** The backup that can take over at once; null if there is none. */
    String successor() {
        long now = context.now();
        Set<String> leaving = contacts.leaving(now);
        return view.copies().stream()
                .filter(name -> !name.equals(context.self()) && !leaving.contains(name))
                .filter(name -> contacts.silence(now, name) <= Timing.BACKUP_MS)
                .findFirst()
                .orElse(null);
    }

    /** Leads no more: nothing that waits here can be answered. */
    void end(FleetException refusal) {
        ended = true;
        List<Long> tickets = new ArrayList<>();
        if (write != null) {
            tickets.add(write.ticket());
        }
        requests.forEach(request -> tickets.add(request.ticket()));
        questions.forEach(question -> tickets.add(question.ticket()));
        write = null;
        requests.clear();
        questions.clear();
        tickets.forEach(ticket -> listener.answered(ticket, refusal, null));
    }
}
