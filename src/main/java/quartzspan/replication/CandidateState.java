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
 *   <li>Pre-vote: whether a quorum would grant an epoch; promises nothing, so that a replica that hears nobody deposes nobody.
 *   <li>Vote: a quorum promises, durably, to take nothing below the epoch, and names the newest view it knows.
 *   <li>Fetch: the state of one copy of that view is taken over. It holds all that was ever answered, since a change is only
 *       answered when every copy has it, and this one takes nothing of the old view any more.
 *   <li>Copy: the copies of the view to be sync the state.
 *   <li>Accept: a quorum of the view to be, and of the voters before it, syncs the view. Then it is in force.
 * </ol>
 */
final class CandidateState {
    /** The steps, in their order. */
    enum Step {
        PRE_VOTE,
        VOTE,
        FETCH,
        REPLICATE,
        ACCEPT
    }

    /** What becomes of a candidacy. */
    interface Listener {
        /** The view is in force. */
        void elected(Membership membership);

        /** It leads to nothing. */
        void abandoned();

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
    private final ReplicaLog log;
    private final Plan plan;
    private final Listener listener;

    private Step step;
    private long stepSince;
    private long retryAt;
    private Epoch epoch;
    /** Answers to the present step, by replica; of the votes those that count. */
    private final Map<String, ReplicaMessage> replies = new TreeMap<>();
    /** The states that the copies to be hold, as far as they told. */
    private final Map<String, ReplicaMessage> reportedPositions = new TreeMap<>();

    private final Set<String> synced = new TreeSet<>();
    /** The newest view that the votes told. */
    private Membership latest;

    private Membership next;
    private List<String> wantedVoters;
    /** The replica whose state is taken over. */
    private String source;

    CandidateState(ReplicaContext context, VoterState voter, ReplicaLog log, Plan plan, Listener listener) {
        this.context = context;
        this.voter = voter;
        this.log = log;
        this.plan = plan;
        this.listener = listener;
        this.wantedVoters = plan.voters();
        this.latest = voter.membership();
    }

    Step step() {
        return step;
    }

    Epoch epoch() {
        return epoch;
    }

    private void enter(Step entered) {
        step = entered;
        stepSince = context.now();
        retryAt = context.now() + Timing.RETRY_MS;
        replies.clear();
    }

    void onTick() {
        long now = context.now();
        boolean movesState = step == Step.FETCH || step == Step.REPLICATE;
        if (now - stepSince > (movesState ? Timing.STATE_TRANSFER_TIMEOUT_MS : Timing.ELECTION_STEP_TIMEOUT_MS)) {
            listener.abandoned();
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
                remindVoters();
                fetch();
            }
            case REPLICATE -> {
                remindVoters();
                if (synced.contains(context.self())) {
                    replicateToAll();
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
        return ReplicaMessage.of(kind, epoch).withGranted(plan.handedOver()).withMembership(latest);
    }

    /** Voters that hear of the candidacy now and then do not stand themselves. */
    private void remindVoters() {
        electorate().forEach(name -> context.send(name, request(Kind.VOTE)));
    }

    /** Everybody whose vote may count, but this replica. */
    private Set<String> electorate() {
        Set<String> all = new LinkedHashSet<>(latest.electorate());
        all.addAll(voter.membership().electorate());
        if (wantedVoters != null) {
            all.addAll(wantedVoters);
        }
        all.remove(context.self());
        return all;
    }

    // ---- pre-vote ------------------------------------------------------------------------------------

    void startWithPreVote() {
        enter(Step.PRE_VOTE);
        epoch = nextEpoch();
        replies.put(context.self(), ownReply(Kind.PRE_VOTE_REPLY));
        askUnanswered(Kind.PRE_VOTE);
        countPreVotes();
    }

    private Epoch nextEpoch() {
        return new Epoch(voter.promisedEpoch().number() + 1, context.self(), context.randomLong());
    }

    private void onPreVoteReply(String from, ReplicaMessage reply) {
        voter.learn(reply.membership());
        latest = voter.membership();
        replies.put(from, reply);
        if (!mayLead()) {
            listener.abandoned();
        } else if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
            voter.promise(reply.promisedEpoch());
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
            if (reply.granted() && !isVoid(name, reply)) {
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
        epoch = nextEpoch();
        voter.promise(epoch);
        Epoch mine = epoch;
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

    private boolean isAt(Step wanted, Epoch wantedEpoch) {
        return context.isCurrent(this) && step == wanted && epoch.equals(wantedEpoch);
    }

    private ReplicaMessage ownReply(Kind kind) {
        return ReplicaMessage.of(kind, epoch)
                .withGranted(true)
                .withMembership(voter.durableMembership())
                .withLogPosition(log.epoch(), log.index())
                .withGeneration(voter.generation())
                .withGenerations(voter.generations());
    }

    private void onVoteReply(String from, ReplicaMessage reply) {
        if (!reply.granted()) {
            if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
                voter.promise(reply.promisedEpoch());
                listener.abandoned();
            }
            return;
        }
        if (step == Step.VOTE) {
            replies.put(from, reply);
            countVotes();
        } else if (reply.membership().supersedes(latest)
                && !reply.membership().epoch().equals(epoch)) {
            // A view that was accepted before this vote: the state taken over may not hold what it answered.
            voter.learn(reply.membership());
            listener.abandoned();
        }
    }

    private void countVotes() {
        if (step != Step.VOTE || !replies.containsKey(context.self())) {
            return;
        }
        Set<String> granting = granting();
        Membership newest = voter.membership();
        for (String name : granting) {
            Membership reported = replies.get(name).membership();
            newest = reported.supersedes(newest) ? reported : newest;
        }
        if (!newest.epoch().equals(latest.epoch())) {
            // The wish was about another view.
            wantedVoters = null;
        }
        latest = newest;
        if (!mayLead()) {
            voter.learn(latest);
            listener.abandoned();
            return;
        }
        if (!latest.isQuorum(granting)) {
            return;
        }
        String source = mostCompleteReplica(granting);
        if (source != null) {
            reportedPositions.clear();
            reportedPositions.putAll(replies);
            takeOver(source, granting);
        }
    }

    /** Of the copies of the newest view that granted, the one that has most; this replica where it has as much. */
    private String mostCompleteReplica(Set<String> granting) {
        Comparator<String> order = Comparator.<String, Epoch>comparing(
                        name -> replies.get(name).logEpoch())
                .thenComparingLong(name -> replies.get(name).logIndex())
                .thenComparing(name -> name.equals(context.self()));
        return latest.dataReplicas().stream()
                .filter(granting::contains)
                .filter(name -> !replies.get(name).logEpoch().isBelow(latest.epoch()))
                .max(order)
                .orElse(null);
    }

    // ---- fetch ---------------------------------------------------------------------------------------

    private void takeOver(String from, Set<String> granting) {
        List<String> dataReplicas = chooseDataReplicas(granting);
        if (dataReplicas == null) {
            return;
        }
        next = nextMembership(dataReplicas);
        source = from;
        enter(Step.FETCH);
        fetch();
    }

    private Membership nextMembership(List<String> dataReplicas) {
        if (latest.joint()) {
            // Whether it is in force is not known: its change of voters is carried to the end first.
            return new Membership(epoch, context.self(), dataReplicas, latest.voters(), latest.previousVoters());
        }
        List<String> voters = votersToBe();
        List<String> previous = voters.equals(latest.voters()) ? List.of() : latest.voters();
        return new Membership(epoch, context.self(), dataReplicas, voters, previous);
    }

    private List<String> votersToBe() {
        return wantedVoters == null || latest.joint() ? latest.voters() : wantedVoters;
    }

    /** Copies for the view to be: who answered, who is not to be avoided, and who has a copy already go first. */
    private List<String> chooseDataReplicas(Set<String> granting) {
        List<String> voters = votersToBe();
        List<String> able = new ArrayList<>(voters);
        able.retainAll(granting);
        able.remove(context.self());
        able.sort(Comparator.<String, Boolean>comparing(plan.avoided()::contains)
                .thenComparing(name -> !latest.dataReplicas().contains(name)));
        int needed = Math.min(context.losses() + 1, voters.size());
        if (able.size() + 1 < needed) {
            return null;
        }
        int count = Math.min(wantedDataReplicas(voters, context.losses()), able.size() + 1);
        List<String> dataReplicas = new ArrayList<>();
        dataReplicas.add(context.self());
        dataReplicas.addAll(able.subList(0, count - 1));
        return dataReplicas;
    }

    /** One copy more than may be lost at once, and one for each voter more than that needs. */
    static int wantedDataReplicas(List<String> voters, int losses) {
        int spare = Math.max(0, voters.size() - (2 * losses + 1));
        return Math.min(losses + 1 + spare, voters.size());
    }

    private void fetch() {
        if (source.equals(context.self())) {
            replicateState(null);
            return;
        }
        context.send(source, ReplicaMessage.of(Kind.FETCH, epoch).withLogPosition(log.epoch(), log.index()));
    }

    private void onFetchReply(String from, ReplicaMessage reply) {
        if (step != Step.FETCH || !from.equals(source) || reply.logEpoch().isBelow(latest.epoch())) {
            return;
        }
        StateUpdate update = StateUpdate.parse(reply.body());
        if (log.isApplicable(update)) {
            replicateState(update);
        }
    }

    // ---- copy ----------------------------------------------------------------------------------------

    /** Writes the state taken over, under the new epoch, here first and then at the other copies. */
    private void replicateState(StateUpdate fetched) {
        if (log.isAppending()) {
            return;
        }
        enter(Step.REPLICATE);
        synced.clear();
        StateUpdate update = underNewEpoch(fetched);
        Epoch mine = epoch;
        log.append(context.now(), update, log.stateAfter(update), durable -> {
            if (!isAt(Step.REPLICATE, mine)) {
                return;
            }
            if (!durable) {
                listener.diskRefused();
                return;
            }
            synced.add(context.self());
            replicateToAll();
            countReplicated();
        });
    }

    private StateUpdate underNewEpoch(StateUpdate fetched) {
        if (fetched == null) {
            return log.nextEntry(epoch, null);
        }
        if (fetched.isSnapshot()) {
            return StateUpdate.ofSnapshot(epoch, fetched.index() + 1, log.stateAfter(fetched));
        }
        List<ChangeHistory.Entry> entries = new ArrayList<>(fetched.entries());
        entries.add(new ChangeHistory.Entry(fetched.index() + 1, epoch, null));
        return StateUpdate.ofEntries(fetched.baseEpoch(), fetched.baseIndex(), entries);
    }

    private void replicateToAll() {
        next.dataReplicas().stream().filter(name -> !synced.contains(name)).forEach(this::replicateTo);
    }

    private void replicateTo(String to) {
        ReplicaMessage reported = reportedPositions.get(to);
        StateUpdate update = log.updateFrom(reported.logEpoch(), reported.logIndex());
        context.send(to, Replica.replicateMessage(update, reported.generation()));
    }

    private void onReplicateReply(String from, ReplicaMessage reply) {
        if (step != Step.REPLICATE) {
            return;
        }
        if (reply.granted()) {
            if (reply.logIndex() == log.index() && synced.contains(context.self())) {
                synced.add(from);
                countReplicated();
            }
        } else if (reply.promisedEpoch().isAbove(epoch)) {
            voter.promise(reply.promisedEpoch());
            listener.abandoned();
        } else if (reportedPositions.containsKey(from)) {
            boolean changed = !Replica.sameLogPosition(reportedPositions.put(from, reply), reply);
            if (changed && synced.contains(context.self())) {
                replicateTo(from);
            }
        }
    }

    private void countReplicated() {
        if (step == Step.REPLICATE && synced.containsAll(next.dataReplicas())) {
            accept();
        }
    }

    // ---- accept --------------------------------------------------------------------------------------

    private void accept() {
        enter(Step.ACCEPT);
        Epoch mine = epoch;
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
                context.send(name, ReplicaMessage.of(Kind.ACCEPT, epoch).withMembership(next));
            }
        }
    }

    private void onAcceptReply(String from, ReplicaMessage reply) {
        if (step != Step.ACCEPT) {
            return;
        }
        if (reply.granted()) {
            replies.put(from, reply);
            countAcceptances();
        } else if (reply.promisedEpoch().isAbove(epoch)) {
            voter.promise(reply.promisedEpoch());
            listener.abandoned();
        }
    }

    private void countAcceptances() {
        if (step == Step.ACCEPT && next.isQuorum(granting())) {
            listener.elected(next);
        }
    }

    /** An answer to one of this candidacy's requests. */
    void onReply(String from, ReplicaMessage reply) {
        if (!reply.epoch().equals(epoch)) {
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
            case REPLICATE_REPLY -> onReplicateReply(from, reply);
            case ACCEPT_REPLY -> onAcceptReply(from, reply);
            default -> throw new IllegalStateException("no answer to a candidate: " + reply.kind());
        }
    }
}
