package quartzspan.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/**
 * A primary while its membership is in effect: sends heartbeats, commits changes, answers reads.
 *
 * <p>A change is acknowledged once every data replica has synced it. A read, and a rejection too, is answered once a quorum has
 * acknowledged a heartbeat that was sent after the request: until then another replica may be primary.
 */
final class PrimaryState {
    /** What a primary decides and its replica carries out. */
    interface Listener {
        /** The membership has to change. */
        void changeMembership(ElectionPlan plan);

        /** Nobody may count on this primary any more. */
        void stepDown();

        /** The disk refused a record, or is too slow. */
        void diskRefused();

        void committed(long index, ControlState state);

        /** The answer to a request; {@code refusal} is null if it is granted. */
        void completed(long requestId, FleetException refusal, ControlState state);
    }

    private record PendingChange(long requestId, Change change) {}

    /** A request whose answer waits for a quorum; {@code refusal} is the answer, null for a read. */
    private record PendingAnswer(long requestId, long nonce, FleetException refusal) {}

    /** The change in flight. */
    private record InFlight(long requestId, StateUpdate update, long sinceMs) {}

    private final ReplicaContext context;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final MembershipReview review;
    private final HeartbeatQuorum heartbeats;
    private final Listener listener;
    private final long sinceMs;
    private Membership membership;
    /** The state as last acknowledged: the log may end with a change that other data replicas lack. */
    private ControlState committedState;

    private long nextHeartbeatAtMs;
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private final List<PendingAnswer> pendingAnswers = new ArrayList<>();
    private InFlight inFlight;
    private final Set<String> synced = new HashSet<>();
    /** The ends of other replicas' logs, as last reported. */
    private final Map<String, ReplicaMessage> reportedPositions = new HashMap<>();

    private final Map<String, Long> replicatedAtMs = new HashMap<>();
    private boolean ended;

    PrimaryState(
            ReplicaContext context,
            VoterState voter,
            ReplicaLog log,
            PeerLiveness peers,
            Membership membership,
            Listener listener) {
        this.context = context;
        this.voter = voter;
        this.log = log;
        this.peers = peers;
        this.review = new MembershipReview(context, peers);
        this.heartbeats = new HeartbeatQuorum(context.self());
        this.membership = membership;
        this.listener = listener;
        this.sinceMs = context.now();
        this.committedState = log.state();
    }

    /** The membership is in effect, so the voters before it are needed no more. */
    void begin() {
        listener.committed(log.index(), committedState);
        if (membership.isJoint()) {
            voter.learn(membership.committed());
            voter.persist(context.now(), durable -> {
                if (durable && !ended) {
                    membership = membership.committed();
                    sendHeartbeat();
                }
            });
        }
        sendHeartbeat();
    }

    ControlState committedState() {
        return committedState;
    }

    /** The latest time at which the state here was surely the newest; far in the past if it never was. */
    long confirmedAtMs() {
        return heartbeats.confirmedAtMs();
    }

    /** Since when no quorum has confirmed that this replica is primary. */
    long unconfirmedSinceMs() {
        return Math.max(heartbeats.confirmedAtMs(), sinceMs);
    }

    /** The backup that can take over at once; null if there is none. */
    String successor() {
        return review.successor(membership);
    }

    // ---- time ----------------------------------------------------------------------------------------

    void onTick() {
        long now = context.now();
        if (now - unconfirmedSinceMs() > Timing.QUORUM_TIMEOUT_MS) {
            listener.stepDown();
            return;
        }
        if (now >= nextHeartbeatAtMs) {
            sendHeartbeat();
            resendInFlight();
        }
        if (!ended && isOwnDiskSlow(now)) {
            listener.diskRefused();
            return;
        }
        startChanges();
        if (!ended) {
            review.neededElection(membership, slowReplicas(now)).ifPresent(listener::changeMembership);
        }
    }

    private boolean isOwnDiskSlow(long now) {
        return inFlight != null
                && !synced.contains(context.self())
                && now - inFlight.sinceMs() > scaledToState(Timing.DISK_TIMEOUT_MS);
    }

    private Set<String> slowReplicas(long now) {
        Set<String> slow = new HashSet<>();
        if (inFlight != null && now - inFlight.sinceMs() > scaledToState(Timing.BACKUP_TIMEOUT_MS)) {
            slow.addAll(membership.dataReplicas());
            slow.removeAll(synced);
        }
        return slow;
    }

    /** Large states are allowed more time. */
    private long scaledToState(long timeoutMs) {
        return timeoutMs + log.state().size() / Timing.STATE_BYTES_PER_MS;
    }

    // ---- heartbeats and reads ------------------------------------------------------------------------

    private void sendHeartbeat() {
        long now = context.now();
        nextHeartbeatAtMs = now + Timing.HEARTBEAT_MS;
        List<String> standbys = peers.standbys(now, membership);
        ReplicaMessage heartbeat = ReplicaMessage.of(Kind.HEARTBEAT, membership.epoch())
                .withMembership(membership)
                .withNonce(heartbeats.send(now))
                .withGranted(review.hasSpareVoter(membership))
                .withLogPosition(log.epoch(), log.index())
                .withSinceHeardMs(peers.allSinceHeardMs(now, membership.voters()));
        Set<String> receivers = membership.electorate();
        receivers.remove(context.self());
        receivers.addAll(standbys);
        receivers.forEach(name -> context.send(name, heartbeat));
        answerConfirmed();
    }

    void read(long requestId) {
        answerWhenConfirmed(requestId, null);
    }

    private void answerWhenConfirmed(long requestId, FleetException refusal) {
        pendingAnswers.add(new PendingAnswer(requestId, heartbeats.nonce() + 1, refusal));
        sendHeartbeat();
    }

    void onHeartbeatReply(String from, ReplicaMessage reply) {
        if (!reply.epoch().equals(membership.epoch())) {
            return;
        }
        if (!reply.granted()) {
            // A higher epoch was granted without taking effect: only a still higher one has this voter's support again.
            if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
                voter.promise(reply.promisedEpoch());
                listener.changeMembership(review.election(null, Set.of()));
            }
            return;
        }
        heartbeats.acknowledge(from, reply.nonce());
        reportedPositions.put(from, reply);
        answerConfirmed();
        if (!ended && inFlight == null) {
            catchUp(from, reply);
        }
    }

    private void answerConfirmed() {
        heartbeats.update(membership);
        for (PendingAnswer pending : List.copyOf(pendingAnswers)) {
            if (pending.nonce() <= heartbeats.confirmedNonce() && pendingAnswers.remove(pending)) {
                listener.completed(pending.requestId(), pending.refusal(), committedState);
            }
        }
    }

    // ---- changes -------------------------------------------------------------------------------------

    void submit(long requestId, Change change) {
        pendingChanges.add(new PendingChange(requestId, change));
        startChanges();
    }

    /** One change at a time: the next is judged by the state after the one before. */
    @SuppressWarnings("ReferenceEquality") // ControlState.with returns the same object where nothing changes.
    private void startChanges() {
        while (!ended && inFlight == null && !log.isAppending() && !pendingChanges.isEmpty()) {
            PendingChange pending = pendingChanges.poll();
            ControlState changed;
            try {
                changed = log.state().with(pending.change());
            } catch (FleetException refusal) {
                answerWhenConfirmed(pending.requestId(), refusal);
                continue;
            }
            if (changed == log.state()) {
                answerWhenConfirmed(pending.requestId(), null);
            } else {
                startChange(pending, changed);
            }
        }
    }

    @SuppressWarnings("ReferenceEquality") // The very change that was started, not an equal one.
    private void startChange(PendingChange pending, ControlState changed) {
        StateUpdate update = log.nextEntry(membership.epoch(), pending.change());
        InFlight started = new InFlight(pending.requestId(), update, context.now());
        inFlight = started;
        synced.clear();
        log.append(context.now(), update, changed, durable -> {
            if (ended || inFlight != started) {
                return;
            }
            if (durable) {
                synced.add(context.self());
                commitIfSynced();
            } else {
                listener.diskRefused();
            }
        });
        for (String name : membership.dataReplicas()) {
            if (!name.equals(context.self())) {
                replicateTo(name, update);
            }
        }
    }

    /** Sends the change in flight again to the data replicas that have not synced it. */
    private void resendInFlight() {
        if (inFlight == null || context.now() - inFlight.sinceMs() < Timing.HEARTBEAT_MS) {
            return;
        }
        for (String name : membership.dataReplicas()) {
            if (!synced.contains(name) && !name.equals(context.self())) {
                replicateTo(name, updateFor(name));
            }
        }
    }

    /** What leads a replica from the state that it last reported to the one that is wanted of it. */
    private StateUpdate updateFor(String name) {
        if (inFlight != null && !synced.contains(context.self())) {
            return inFlight.update();
        }
        ReplicaMessage reported = reportedPositions.get(name);
        return reported == null
                ? log.updateFrom(Epoch.NONE, -1)
                : log.updateFrom(reported.logEpoch(), reported.logIndex());
    }

    private void replicateTo(String to, StateUpdate update) {
        ReplicaMessage reported = reportedPositions.get(to);
        replicatedAtMs.put(to, context.now());
        context.send(to, ReplicaMessage.replicate(update, reported == null ? 0 : reported.generation()));
    }

    /** A backup that is behind has lost its disk, or a message. Between changes it is brought up to date. */
    private void catchUp(String name, ReplicaMessage reported) {
        boolean behind = !log.isAt(reported.logEpoch(), reported.logIndex());
        long sinceReplicatedMs = context.now() - replicatedAtMs.getOrDefault(name, Long.MIN_VALUE / 2);
        boolean sentRecently = sinceReplicatedMs < Timing.RETRY_MS;
        if (membership.dataReplicas().contains(name) && behind && !sentRecently && !log.isAppending()) {
            replicateTo(name, log.updateFrom(reported.logEpoch(), reported.logIndex()));
        }
    }

    void onReplicateReply(String from, ReplicaMessage reply) {
        if (!reply.epoch().equals(membership.epoch())) {
            return;
        }
        if (!reply.granted()) {
            onReplicationRefused(from, reply);
            return;
        }
        if (inFlight != null && reply.logIndex() == inFlight.update().index()) {
            synced.add(from);
            commitIfSynced();
        }
    }

    private void onReplicationRefused(String from, ReplicaMessage reply) {
        if (reply.promisedEpoch().isAbove(membership.epoch())) {
            if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
                voter.promise(reply.promisedEpoch());
            }
            listener.stepDown();
            return;
        }
        ReplicaMessage before = reportedPositions.put(from, reply);
        boolean changed = before == null || !before.hasSameLogPosition(reply);
        if (changed && membership.dataReplicas().contains(from) && !log.isAppending()) {
            replicateTo(from, log.updateFrom(reply.logEpoch(), reply.logIndex()));
        }
    }

    private void commitIfSynced() {
        if (inFlight == null || !synced.containsAll(membership.dataReplicas())) {
            return;
        }
        long requestId = inFlight.requestId();
        inFlight = null;
        committedState = log.state();
        listener.committed(log.index(), committedState);
        listener.completed(requestId, null, committedState);
        startChanges();
    }

    /** This replica is primary no more: nothing that waits here can be answered. */
    void end(FleetException refusal) {
        ended = true;
        List<Long> requestIds = new ArrayList<>();
        if (inFlight != null) {
            requestIds.add(inFlight.requestId());
        }
        pendingChanges.forEach(pending -> requestIds.add(pending.requestId()));
        pendingAnswers.forEach(pending -> requestIds.add(pending.requestId()));
        inFlight = null;
        pendingChanges.clear();
        pendingAnswers.clear();
        requestIds.forEach(requestId -> listener.completed(requestId, refusal, null));
    }
}
