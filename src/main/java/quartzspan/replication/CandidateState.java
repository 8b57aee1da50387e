package quartzspan.replication;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import quartzspan.replication.ReplicaMessage.Kind;

/**
 * An election: one attempt of a replica to become primary, or of a primary to change its membership.
 *
 * <ol>
 *   <li>Pre-vote: checks whether a quorum would grant an epoch, without any promise, so that an isolated replica cannot depose
 *       a working primary.
 *   <li>Vote: a quorum durably promises to reject requests of lower epochs, and reports the latest membership it knows.
 *   <li>Fetch: copies the state of one data replica of that membership. This replica has every acknowledged change, since a
 *       change is acknowledged only once every data replica has synced it, and after its vote it accepts no further changes of
 *       the old membership.
 *   <li>Replicate: the data replicas of the next membership sync the state.
 *   <li>Accept: a quorum of the next membership, and of the voters before it, syncs the membership, which is then in effect.
 * </ol>
 */
final class CandidateState {
    /** The steps of an election, in order. */
    enum Step {
        PRE_VOTE,
        VOTE,
        FETCH,
        REPLICATE,
        ACCEPT
    }

    /** Receives the result of an election; called once. */
    interface Listener {
        /** The membership is in effect. */
        void elected(Membership membership);

        /** The election has failed. */
        void abandoned();

        /** A write to the local disk failed. */
        void diskFailed();
    }

    private final ReplicaContext context;
    private final VoterState voter;
    private final ReplicaLog log;
    private final ElectionPlan plan;
    private final MembershipPlanner planner;
    private final Listener listener;

    private Step step;
    private long stepStartedAtMs;
    private long retryAtMs;
    private Epoch epoch;
    private final ElectionReplies replies;
    /** The last log position reported by each voter. */
    private final Map<String, ReplicaMessage> reportedPositions = new TreeMap<>();

    private final Set<String> syncedReplicas = new TreeSet<>();
    /** The latest membership reported with the votes. */
    private Membership latestMembership;

    private Membership nextMembership;
    private List<String> targetVoters;
    /** The data replica whose state is fetched. */
    private String stateSource;

    CandidateState(ReplicaContext context, VoterState voter, ReplicaLog log, ElectionPlan plan, Listener listener) {
        this.context = context;
        this.voter = voter;
        this.log = log;
        this.plan = plan;
        this.planner = new MembershipPlanner(context.self(), context.toleratedFailures(), plan);
        this.replies = new ElectionReplies(voter);
        this.listener = listener;
        this.targetVoters = plan.voters();
        this.latestMembership = voter.membership();
    }

    private void enterStep(Step newStep) {
        step = newStep;
        stepStartedAtMs = context.nowMs();
        retryAtMs = context.nowMs() + Timing.RETRY_MS;
        replies.clear();
    }

    void onTick() {
        long nowMs = context.nowMs();
        boolean transfersState = step == Step.FETCH || step == Step.REPLICATE;
        long timeoutMs = transfersState ? Timing.STATE_TRANSFER_TIMEOUT_MS : Timing.ELECTION_STEP_TIMEOUT_MS;
        if (nowMs - stepStartedAtMs > timeoutMs) {
            listener.abandoned();
        } else if (nowMs >= retryAtMs) {
            retryAtMs = nowMs + Timing.RETRY_MS;
            resend();
        }
    }

    /** Resends the request of the current step to the replicas that have not replied. */
    private void resend() {
        switch (step) {
            case PRE_VOTE -> requestMissingReplies(Kind.PRE_VOTE);
            case VOTE -> {
                if (replies.contains(context.self())) {
                    requestMissingReplies(Kind.VOTE);
                }
            }
            case FETCH -> {
                resendVoteRequests();
                fetch();
            }
            case REPLICATE -> {
                resendVoteRequests();
                if (syncedReplicas.contains(context.self())) {
                    replicateToAll();
                }
            }
            case ACCEPT -> {
                if (replies.contains(context.self())) {
                    sendAccept();
                }
            }
            default -> throw new IllegalStateException("unknown election step " + step);
        }
    }

    private void requestMissingReplies(Kind kind) {
        for (String name : electorate()) {
            if (!replies.contains(name)) {
                context.send(name, request(kind));
            }
        }
    }

    private ReplicaMessage request(Kind kind) {
        return ReplicaMessage.of(kind, epoch).withGranted(plan.handedOver()).withMembership(latestMembership);
    }

    /** Repeated vote requests keep the voters from starting elections of their own. */
    private void resendVoteRequests() {
        electorate().forEach(name -> context.send(name, request(Kind.VOTE)));
    }

    /** All other replicas whose vote may count. */
    private Set<String> electorate() {
        Set<String> all = new LinkedHashSet<>(latestMembership.electorate());
        all.addAll(voter.membership().electorate());
        if (targetVoters != null) {
            all.addAll(targetVoters);
        }
        all.remove(context.self());
        return all;
    }

    void startWithPreVote() {
        enterStep(Step.PRE_VOTE);
        epoch = nextEpoch();
        replies.put(context.self(), ownReply(Kind.PRE_VOTE_REPLY));
        requestMissingReplies(Kind.PRE_VOTE);
        countPreVotes();
    }

    private Epoch nextEpoch() {
        return new Epoch(voter.promisedEpoch().number() + 1, context.self(), context.randomLong());
    }

    private void onPreVoteReply(String from, ReplicaMessage reply) {
        voter.adoptIfNewer(reply.membership());
        latestMembership = voter.membership();
        replies.put(from, reply);
        if (!isVoter()) {
            listener.abandoned();
        } else if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
            voter.promise(reply.promisedEpoch());
            startWithPreVote();
        } else {
            countPreVotes();
        }
    }

    /** Whether this replica is a voter of the latest membership; if not, it has been removed. */
    private boolean isVoter() {
        return latestMembership.voters().contains(context.self());
    }

    private void countPreVotes() {
        if (step == Step.PRE_VOTE && latestMembership.isQuorum(replies.granting())) {
            startWithVote();
        }
    }

    void startWithVote() {
        enterStep(Step.VOTE);
        epoch = nextEpoch();
        voter.promise(epoch);
        persistVoterState(Step.VOTE, () -> {
            replies.put(context.self(), ownReply(Kind.VOTE_REPLY));
            requestMissingReplies(Kind.VOTE);
            countVotes();
        });
    }

    /** Persists the voter state, then continues if the election is still at this step. */
    private void persistVoterState(Step atStep, Runnable whenDurable) {
        voter.persist(context.nowMs(), ifStillAt(atStep, whenDurable));
    }

    private DiskQueue.Completion ifStillAt(Step atStep, Runnable whenDurable) {
        Epoch atEpoch = epoch;
        return durable -> {
            boolean current = context.isCurrent(this) && step == atStep && epoch.equals(atEpoch);
            if (!current) {
                return;
            }
            if (durable) {
                whenDurable.run();
            } else {
                listener.diskFailed();
            }
        };
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
        } else if (reply.membership().supersedes(latestMembership)
                && !reply.membership().epoch().equals(epoch)) {
            // The voter accepted this membership before its vote, so the fetched state may lack changes of it.
            voter.adoptIfNewer(reply.membership());
            listener.abandoned();
        }
    }

    private void countVotes() {
        if (step != Step.VOTE || !replies.contains(context.self())) {
            return;
        }
        Set<String> granting = replies.granting();
        adoptLatestMembership(granting);
        if (!isVoter()) {
            voter.adoptIfNewer(latestMembership);
            listener.abandoned();
            return;
        }
        if (!latestMembership.isQuorum(granting)) {
            return;
        }
        String mostComplete = planner.mostCompleteReplica(latestMembership, granting, replies.byReplica());
        if (mostComplete != null) {
            reportedPositions.clear();
            reportedPositions.putAll(replies.byReplica());
            startFetch(mostComplete, granting);
        }
    }

    private void adoptLatestMembership(Set<String> granting) {
        Membership newest = voter.membership();
        for (String name : granting) {
            Membership reported = replies.byReplica().get(name).membership();
            newest = reported.supersedes(newest) ? reported : newest;
        }
        if (!newest.epoch().equals(latestMembership.epoch())) {
            // The target voters were derived from another membership.
            targetVoters = null;
        }
        latestMembership = newest;
    }

    private void startFetch(String from, Set<String> granting) {
        Membership plannedMembership = planner.nextMembership(epoch, latestMembership, targetVoters, granting);
        if (plannedMembership == null) {
            return;
        }
        nextMembership = plannedMembership;
        stateSource = from;
        enterStep(Step.FETCH);
        fetch();
    }

    private void fetch() {
        if (stateSource.equals(context.self())) {
            replicate(null);
            return;
        }
        context.send(stateSource, ReplicaMessage.of(Kind.FETCH, epoch).withLogPosition(log.epoch(), log.index()));
    }

    private void onFetchReply(String from, ReplicaMessage reply) {
        if (step != Step.FETCH || !from.equals(stateSource) || reply.logEpoch().isBelow(latestMembership.epoch())) {
            return;
        }
        StateUpdate update = StateUpdate.parse(reply.body());
        if (log.isApplicable(update)) {
            replicate(update);
        }
    }

    /** Writes the fetched state under the new epoch, first to the local disk and then to the other data replicas. */
    private void replicate(StateUpdate fetched) {
        if (log.isAppending()) {
            return;
        }
        enterStep(Step.REPLICATE);
        syncedReplicas.clear();
        StateUpdate update = withEpochEntry(fetched);
        log.append(context.nowMs(), update, log.stateAfter(update), ifStillAt(Step.REPLICATE, () -> {
            syncedReplicas.add(context.self());
            replicateToAll();
            countSynced();
        }));
    }

    private StateUpdate withEpochEntry(StateUpdate fetched) {
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
        nextMembership.dataReplicas().stream()
                .filter(name -> !syncedReplicas.contains(name))
                .forEach(this::replicateTo);
    }

    private void replicateTo(String to) {
        ReplicaMessage reported = reportedPositions.get(to);
        StateUpdate update = log.updateFrom(reported.logEpoch(), reported.logIndex());
        context.send(to, ReplicaMessage.replicate(update, reported.generation()));
    }

    private void onReplicateReply(String from, ReplicaMessage reply) {
        if (step != Step.REPLICATE) {
            return;
        }
        if (reply.granted()) {
            if (reply.logIndex() == log.index() && syncedReplicas.contains(context.self())) {
                syncedReplicas.add(from);
                countSynced();
            }
        } else if (reply.promisedEpoch().isAbove(epoch)) {
            voter.promise(reply.promisedEpoch());
            listener.abandoned();
        } else if (reportedPositions.containsKey(from)) {
            boolean positionChanged = !reportedPositions.put(from, reply).hasSameLogPosition(reply);
            if (positionChanged && syncedReplicas.contains(context.self())) {
                replicateTo(from);
            }
        }
    }

    private void countSynced() {
        if (step == Step.REPLICATE && syncedReplicas.containsAll(nextMembership.dataReplicas())) {
            accept();
        }
    }

    private void accept() {
        enterStep(Step.ACCEPT);
        voter.adoptIfNewer(nextMembership);
        persistVoterState(Step.ACCEPT, () -> {
            replies.put(context.self(), ownReply(Kind.ACCEPT_REPLY));
            sendAccept();
            countAcceptances();
        });
    }

    private void sendAccept() {
        for (String name : nextMembership.electorate()) {
            if (!replies.contains(name)) {
                context.send(name, ReplicaMessage.of(Kind.ACCEPT, epoch).withMembership(nextMembership));
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
        if (step == Step.ACCEPT && nextMembership.isQuorum(replies.granting())) {
            listener.elected(nextMembership);
        }
    }

    /** Handles a reply to a request of this election; replies to other elections are ignored. */
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
            default -> throw new IllegalStateException("unexpected reply kind for a candidate: " + reply.kind());
        }
    }
}
