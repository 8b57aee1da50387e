package quartzspan.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import quartzspan.replication.ReplicaMessage.Kind;

/**
 * One attempt of a replica to become primary, or of a primary to change its view.
 *
 * <ol>
 *   <li>Pre-vote: whether a quorum would grant a ballot; promises nothing, so that a replica that hears nobody deposes nobody.
 *   <li>Vote: a quorum promises, durably, to take nothing below the ballot, and names the newest view it knows.
 *   <li>Fetch: the state of one copy of that view is taken over. It holds all that was ever answered, since a change is only
 *       answered when every copy has it, and this one takes nothing of the old view any more.
 *   <li>Copy: the copies of the view to be sync the state.
 *   <li>Accept: a quorum of the view to be, and of the voters before it, syncs the view. Then it is in force.
 * </ol>
 */
final class Candidacy {
    /** The steps, in their order. */
    enum Step {
        PRE_VOTE,
        VOTE,
        FETCH,
        COPY,
        ACCEPT
    }

    /** What becomes of a candidacy. */
    interface Listener {
        /** The view is in force. */
        void elected(View view);

        /** It leads to nothing. */
        void givenUp();

        /** The disk refused. */
        void diskRefused();
    }

    /**
     * What the view to be should look like.
     *
     * @param voters the voters wanted; null to leave them as they are
     * @param avoided replicas that should hold no copy if others can
     * @param handedOver whether the primary has asked for this candidacy
     */
    record Plan(List<String> voters, Set<String> avoided, boolean handedOver) {
        static final Plan TAKE_OVER = new Plan(null, Set.of(), false);
    }

    private final ReplicaContext context;
    private final VoterState voter;
    private final StateCopy copy;
    private final Plan plan;
    private final Listener listener;

    private Step step;
    private long stepSince;
    private long retryAt;
    private Ballot ballot;
    /** Answers to the present step, by replica; of the votes those that count. */
    private final Map<String, ReplicaMessage> replies = new TreeMap<>();
    /** The states that the copies to be hold, as far as they told. */
    private final Map<String, ReplicaMessage> holdings = new TreeMap<>();

    private final Set<String> synced = new TreeSet<>();
    /** The newest view that the votes told. */
    private View latest;

    private View next;
    private List<String> wantedVoters;
    /** The replica whose state is taken over. */
    private String source;

    Candidacy(ReplicaContext context, VoterState voter, StateCopy copy, Plan plan, Listener listener) {
        this.context = context;
        this.voter = voter;
        this.copy = copy;
        this.plan = plan;
        this.listener = listener;
        this.wantedVoters = plan.voters();
        this.latest = voter.view();
    }

    Step step() {
        return step;
    }

    Ballot ballot() {
        return ballot;
    }

    private void enter(Step entered) {
        step = entered;
        stepSince = context.now();
        retryAt = context.now() + Timing.RETRY_MS;
        replies.clear();
    }

    void onTick() {
        long now = context.now();
        boolean movesState = step == Step.FETCH || step == Step.COPY;
        if (now - stepSince > (movesState ? Timing.MOVE_STEP_MS : Timing.STEP_MS)) {
            listener.givenUp();
        } else if (now >= retryAt) {
            retryAt = now + Timing.RETRY_MS;
            repeat();
        }
    }

    /** Sends the present step's request again to whom it may not have reached. */
    private void repeat() {
        switch (step) {
            case PRE_VOTE -> askUnanswered(Kind.PRE_VOTE);
            case VOTE -> {
                if (replies.containsKey(context.self())) {
                    askUnanswered(Kind.VOTE);
                }
            }
            case FETCH -> {
                keepVoters();
                fetch();
            }
            case COPY -> {
                keepVoters();
                if (synced.contains(context.self())) {
                    sendCopies();
                }
            }
            case ACCEPT -> {
                if (replies.containsKey(context.self())) {
                    sendAccept();
                }
            }
            default -> throw new IllegalStateException("no step " + step);
        }
    }

    private void askUnanswered(Kind kind) {
        for (String name : electorate()) {
            if (!replies.containsKey(name)) {
                context.send(name, request(kind));
            }
        }
    }

    private ReplicaMessage request(Kind kind) {
        return ReplicaMessage.of(kind, ballot).withOk(plan.handedOver()).withView(latest);
    }

    /** Voters that hear of the candidacy now and then do not stand themselves. */
    private void keepVoters() {
        electorate().forEach(name -> context.send(name, request(Kind.VOTE)));
    }

    /** Everybody whose vote may count, but this replica. */
    private Set<String> electorate() {
        Set<String> all = new LinkedHashSet<>(latest.electorate());
        all.addAll(voter.view().electorate());
        if (wantedVoters != null) {
            all.addAll(wantedVoters);
        }
        all.remove(context.self());
        return all;
    }

    // ---- pre-vote ------------------------------------------------------------------------------------

    void startWithPreVote() {
        enter(Step.PRE_VOTE);
        ballot = nextBallot();
        replies.put(context.self(), ownReply(Kind.PRE_VOTE_REPLY));
        askUnanswered(Kind.PRE_VOTE);
        countPreVotes();
    }

    private Ballot nextBallot() {
        return new Ballot(voter.promised().number() + 1, context.self(), context.randomLong());
    }

    private void onPreVoteReply(String from, ReplicaMessage reply) {
        voter.learn(reply.view());
        latest = voter.view();
        replies.put(from, reply);
        if (!mayLead()) {
            listener.givenUp();
        } else if (reply.promised().isAbove(voter.promised())) {
            voter.promise(reply.promised());
            startWithPreVote();
        } else {
            countPreVotes();
        }
    }

    /** Whether the newest view that is known has this replica among its voters; else it has been dropped. */
    private boolean mayLead() {
        return latest.voters().contains(context.self());
    }

    private void countPreVotes() {
        if (step == Step.PRE_VOTE && latest.isQuorum(granting())) {
            startWithVote();
        }
    }

    /** Who granted what the present step asks for. */
    private Set<String> granting() {
        Set<String> all = new TreeSet<>();
        replies.forEach((name, reply) -> {
            if (reply.ok() && !isVoid(name, reply)) {
                all.add(name);
            }
        });
        return all;
    }

    /** Whether another one that answered knows that the answering disk was lost since. */
    private boolean isVoid(String name, ReplicaMessage reply) {
        long own = voter.generations().getOrDefault(name, 0L);
        return own > reply.generation()
                || replies.values().stream()
                        .anyMatch(other -> other.generations().getOrDefault(name, 0L) > reply.generation());
    }

    // ---- vote ----------------------------------------------------------------------------------------

    void startWithVote() {
        enter(Step.VOTE);
        ballot = nextBallot();
        voter.promise(ballot);
        Ballot mine = ballot;
        voter.persist(context.now(), durable -> {
            if (!isAt(Step.VOTE, mine)) {
                return;
            }
            if (!durable) {
                listener.diskRefused();
                return;
            }
            replies.put(context.self(), ownReply(Kind.VOTE_REPLY));
            askUnanswered(Kind.VOTE);
            countVotes();
        });
    }

    private boolean isAt(Step wanted, Ballot wantedBallot) {
        return context.isCurrent(this) && step == wanted && ballot.equals(wantedBallot);
    }

    private ReplicaMessage ownReply(Kind kind) {
        return ReplicaMessage.of(kind, ballot)
                .withOk(true)
                .withView(voter.durableView())
                .withCopy(copy.ballot(), copy.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    private void onVoteReply(String from, ReplicaMessage reply) {
        if (!reply.ok()) {
            if (reply.promised().isAbove(voter.promised())) {
                voter.promise(reply.promised());
                listener.givenUp();
            }
            return;
        }
        if (step == Step.VOTE) {
            replies.put(from, reply);
            countVotes();
        } else if (reply.view().supersedes(latest) && !reply.view().ballot().equals(ballot)) {
            // A view that was accepted before this vote: the state taken over may not hold what it answered.
            voter.learn(reply.view());
            listener.givenUp();
        }
    }

    private void countVotes() {
        if (step != Step.VOTE || !replies.containsKey(context.self())) {
            return;
        }
        Set<String> granting = granting();
        View newest = voter.view();
        for (String name : granting) {
            View told = replies.get(name).view();
            newest = told.supersedes(newest) ? told : newest;
        }
        if (!newest.ballot().equals(latest.ballot())) {
            // The wish was about another view.
            wantedVoters = null;
        }
        latest = newest;
        if (!mayLead()) {
            voter.learn(latest);
            listener.givenUp();
            return;
        }
        if (!latest.isQuorum(granting)) {
            return;
        }
        String source = newestCopy(granting);
        if (source != null) {
            holdings.clear();
            holdings.putAll(replies);
            takeOver(source, granting);
        }
    }

    /** Of the copies of the newest view that granted, the one that has most; this replica where it has as much. */
    private String newestCopy(Set<String> granting) {
        Comparator<String> order = Comparator.<String, Ballot>comparing(
                        name -> replies.get(name).copyBallot())
                .thenComparingLong(name -> replies.get(name).index())
                .thenComparing(name -> name.equals(context.self()));
        return latest.copies().stream()
                .filter(granting::contains)
                .filter(name -> !replies.get(name).copyBallot().isBelow(latest.ballot()))
                .max(order)
                .orElse(null);
    }

    // ---- fetch ---------------------------------------------------------------------------------------

    private void takeOver(String from, Set<String> granting) {
        List<String> copies = chooseCopies(granting);
        if (copies == null) {
            return;
        }
        next = nextView(copies);
        source = from;
        enter(Step.FETCH);
        fetch();
    }

    private View nextView(List<String> copies) {
        if (latest.joint()) {
            // Whether it is in force is not known: its change of voters is carried to the end first.
            return new View(ballot, context.self(), copies, latest.voters(), latest.previousVoters());
        }
        List<String> voters = votersToBe();
        List<String> previous = voters.equals(latest.voters()) ? List.of() : latest.voters();
        return new View(ballot, context.self(), copies, voters, previous);
    }

    private List<String> votersToBe() {
        return wantedVoters == null || latest.joint() ? latest.voters() : wantedVoters;
    }

    /** Copies for the view to be: who answered, who is not to be avoided, and who has a copy already go first. */
    private List<String> chooseCopies(Set<String> granting) {
        List<String> voters = votersToBe();
        List<String> able = new ArrayList<>(voters);
        able.retainAll(granting);
        able.remove(context.self());
        able.sort(Comparator.<String, Boolean>comparing(plan.avoided()::contains)
                .thenComparing(name -> !latest.copies().contains(name)));
        int needed = Math.min(context.losses() + 1, voters.size());
        if (able.size() + 1 < needed) {
            return null;
        }
        int count = Math.min(wantedCopies(voters, context.losses()), able.size() + 1);
        List<String> copies = new ArrayList<>();
        copies.add(context.self());
        copies.addAll(able.subList(0, count - 1));
        return copies;
    }

    /** One copy more than may be lost at once, and one for each voter more than that needs. */
    static int wantedCopies(List<String> voters, int losses) {
        int spare = Math.max(0, voters.size() - (2 * losses + 1));
        return Math.min(losses + 1 + spare, voters.size());
    }

    private void fetch() {
        if (source.equals(context.self())) {
            copyState(null);
            return;
        }
        context.send(source, ReplicaMessage.of(Kind.FETCH, ballot).withCopy(copy.ballot(), copy.index()));
    }

    private void onFetchReply(String from, ReplicaMessage reply) {
        if (step != Step.FETCH || !from.equals(source) || reply.copyBallot().isBelow(latest.ballot())) {
            return;
        }
        StateUpdate update = StateUpdate.parse(reply.body());
        if (copy.accepts(update)) {
            copyState(update);
        }
    }

    // ---- copy ----------------------------------------------------------------------------------------

    /** Writes the state taken over, under the new ballot, here first and then at the other copies. */
    private void copyState(StateUpdate fetched) {
        if (copy.writing()) {
            return;
        }
        enter(Step.COPY);
        synced.clear();
        StateUpdate update = underNewBallot(fetched);
        Ballot mine = ballot;
        copy.write(context.now(), update, copy.result(update), durable -> {
            if (!isAt(Step.COPY, mine)) {
                return;
            }
            if (!durable) {
                listener.diskRefused();
                return;
            }
            synced.add(context.self());
            sendCopies();
            countCopies();
        });
    }

    private StateUpdate underNewBallot(StateUpdate fetched) {
        if (fetched == null) {
            return copy.nextStep(ballot, null);
        }
        if (fetched.isSnapshot()) {
            return StateUpdate.snapshot(ballot, fetched.index() + 1, copy.result(fetched));
        }
        List<ChangeHistory.Entry> entries = new ArrayList<>(fetched.entries());
        entries.add(new ChangeHistory.Entry(fetched.index() + 1, ballot, null));
        return StateUpdate.steps(fetched.baseBallot(), fetched.baseIndex(), entries);
    }

    private void sendCopies() {
        next.copies().stream().filter(name -> !synced.contains(name)).forEach(this::sendCopy);
    }

    private void sendCopy(String to) {
        ReplicaMessage held = holdings.get(to);
        StateUpdate update = copy.updateFrom(held.copyBallot(), held.index());
        context.send(to, Replica.copyMessage(update, held.generation()));
    }

    private void onCopyReply(String from, ReplicaMessage reply) {
        if (step != Step.COPY) {
            return;
        }
        if (reply.ok()) {
            if (reply.index() == copy.index() && synced.contains(context.self())) {
                synced.add(from);
                countCopies();
            }
        } else if (reply.promised().isAbove(ballot)) {
            voter.promise(reply.promised());
            listener.givenUp();
        } else if (holdings.containsKey(from)) {
            boolean changed = !Replica.sameHolding(holdings.put(from, reply), reply);
            if (changed && synced.contains(context.self())) {
                sendCopy(from);
            }
        }
    }

    private void countCopies() {
        if (step == Step.COPY && synced.containsAll(next.copies())) {
            accept();
        }
    }

    // ---- accept --------------------------------------------------------------------------------------

    private void accept() {
        enter(Step.ACCEPT);
        Ballot mine = ballot;
        voter.learn(next);
        voter.persist(context.now(), durable -> {
            if (!isAt(Step.ACCEPT, mine)) {
                return;
            }
            if (!durable) {
                listener.diskRefused();
                return;
            }
            replies.put(context.self(), ownReply(Kind.ACCEPT_REPLY));
            sendAccept();
            countAcceptances();
        });
    }

    private void sendAccept() {
        for (String name : next.electorate()) {
            if (!replies.containsKey(name)) {
                context.send(name, ReplicaMessage.of(Kind.ACCEPT, ballot).withView(next));
            }
        }
    }

    private void onAcceptReply(String from, ReplicaMessage reply) {
        if (step != Step.ACCEPT) {
            return;
        }
        if (reply.ok()) {
            replies.put(from, reply);
            countAcceptances();
        } else if (reply.promised().isAbove(ballot)) {
            voter.promise(reply.promised());
            listener.givenUp();
        }
    }

    private void countAcceptances() {
        if (step == Step.ACCEPT && next.isQuorum(granting())) {
            listener.elected(next);
        }
    }

    /** An answer to one of this candidacy's requests. */
    void onReply(String from, ReplicaMessage reply) {
        if (!reply.ballot().equals(ballot)) {
            return;
        }
        switch (reply.kind()) {
            case PRE_VOTE_REPLY -> {
                if (step == Step.PRE_VOTE) {
                    onPreVoteReply(from, reply);
                }
            }
            case VOTE_REPLY -> onVoteReply(from, reply);
            case FETCH_REPLY -> onFetchReply(from, reply);
            case COPY_REPLY -> onCopyReply(from, reply);
            case ACCEPT_REPLY -> onAcceptReply(from, reply);
            default -> throw new IllegalStateException("no answer to a candidate: " + reply.kind());
        }
    }
}
