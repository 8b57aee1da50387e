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
        void diskFailed();

        void committed(long index, ControlState state);

        /** The answer to a request; {@code rejection} is null if it is granted. */
        void completed(long requestId, FleetException rejection, ControlState state);
    }

    private record PendingChange(long requestId, Change change) {}

    /** A request whose answer waits for a quorum; {@code rejection} is the answer, null for a read. */
    private record PendingConfirmation(long requestId, long heartbeatSequence, FleetException rejection) {}

    /** The change in flight. */
    private record InFlightChange(long requestId, StateUpdate update, long startedAtMs) {}

    private final ReplicaContext context;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final ReconfigurationPolicy reconfigurationPolicy;
    private final HeartbeatQuorum heartbeatQuorum;
    private final Listener listener;
    private final long startedAtMs;
    private Membership membership;
    /** The state as last acknowledged: the log may end with a change that other data replicas lack. */
    private ControlState committedState;

    private long nextHeartbeatAtMs;
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
    private InFlightChange inFlightChange;
    private final Set<String> syncedReplicas = new HashSet<>();
    /** The ends of other replicas' logs, as last reported. */
    private final Map<String, ReplicaMessage> reportedPositions = new HashMap<>();

    private final Map<String, Long> lastReplicatedAtMs = new HashMap<>();
    private boolean stopped;

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
        this.reconfigurationPolicy = new ReconfigurationPolicy(context, peers);
        this.heartbeatQuorum = new HeartbeatQuorum(context.self());
        this.membership = membership;
        this.listener = listener;
        this.startedAtMs = context.nowMs();
        this.committedState = log.state();
    }

    /** The membership is in effect, so the voters before it are needed no more. */
    void begin() {
        listener.committed(log.index(), committedState);
        if (membership.isJoint()) {
            voter.adoptIfNewer(membership.committed());
            voter.persist(context.nowMs(), durable -> {
                if (durable && !stopped) {
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
        return heartbeatQuorum.confirmedAtMs();
    }

    /** Since when no quorum has confirmed that this replica is primary. */
    long unconfirmedSinceMs() {
        return Math.max(heartbeatQuorum.confirmedAtMs(), startedAtMs);
    }

    /** The backup that can take over at once; null if there is none. */
    String successor() {
        return reconfigurationPolicy.successor(membership);
    }

    // ---- time ----------------------------------------------------------------------------------------

    void onTick() {
        long nowMs = context.nowMs();
        if (nowMs - unconfirmedSinceMs() > Timing.QUORUM_TIMEOUT_MS) {
            listener.stepDown();
            return;
        }
        if (nowMs >= nextHeartbeatAtMs) {
            sendHeartbeat();
            resendInFlightChange();
        }
        if (!stopped && isOwnDiskSlow(nowMs)) {
            listener.diskFailed();
            return;
        }
        startChanges();
        if (!stopped) {
            reconfigurationPolicy
                    .requiredElection(membership, slowReplicas(nowMs))
                    .ifPresent(listener::changeMembership);
        }
    }

    private boolean isOwnDiskSlow(long nowMs) {
        return inFlightChange != null
                && !syncedReplicas.contains(context.self())
                && nowMs - inFlightChange.startedAtMs() > scaledToStateSize(Timing.DISK_TIMEOUT_MS);
    }

    private Set<String> slowReplicas(long nowMs) {
        Set<String> slow = new HashSet<>();
        if (inFlightChange != null
                && nowMs - inFlightChange.startedAtMs() > scaledToStateSize(Timing.BACKUP_TIMEOUT_MS)) {
            slow.addAll(membership.dataReplicas());
            slow.removeAll(syncedReplicas);
        }
        return slow;
    }

    /** Large states are allowed more time. */
    private long scaledToStateSize(long timeoutMs) {
        return timeoutMs + log.state().size() / Timing.STATE_BYTES_PER_MS;
    }

    // ---- heartbeats and reads ------------------------------------------------------------------------

    private void sendHeartbeat() {
        long nowMs = context.nowMs();
        nextHeartbeatAtMs = nowMs + Timing.HEARTBEAT_MS;
        List<String> standbys = peers.standbys(nowMs, membership);
        ReplicaMessage heartbeat = ReplicaMessage.of(Kind.HEARTBEAT, membership.epoch())
                .withMembership(membership)
                .withNonce(heartbeatQuorum.nextSequence(nowMs))
                .withGranted(reconfigurationPolicy.hasSpareVoter(membership))
                .withLogPosition(log.epoch(), log.index())
                .withSinceLastContactMs(peers.allSinceLastContactMs(nowMs, membership.voters()));
        Set<String> receivers = membership.electorate();
        receivers.remove(context.self());
        receivers.addAll(standbys);
        receivers.forEach(name -> context.send(name, heartbeat));
        completeConfirmed();
    }

    void read(long requestId) {
        completeWhenConfirmed(requestId, null);
    }

    private void completeWhenConfirmed(long requestId, FleetException rejection) {
        pendingConfirmations.add(new PendingConfirmation(requestId, heartbeatQuorum.lastSequence() + 1, rejection));
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
                listener.changeMembership(reconfigurationPolicy.election(null, Set.of()));
            }
            return;
        }
        heartbeatQuorum.acknowledge(from, reply.nonce());
        reportedPositions.put(from, reply);
        completeConfirmed();
        if (!stopped && inFlightChange == null) {
            catchUp(from, reply);
        }
    }

    private void completeConfirmed() {
        heartbeatQuorum.update(membership);
        for (PendingConfirmation pending : List.copyOf(pendingConfirmations)) {
            if (pending.heartbeatSequence() <= heartbeatQuorum.confirmedSequence()
                    && pendingConfirmations.remove(pending)) {
                listener.completed(pending.requestId(), pending.rejection(), committedState);
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
        while (!stopped && inFlightChange == null && !log.isAppending() && !pendingChanges.isEmpty()) {
            PendingChange pending = pendingChanges.poll();
            ControlState changedState;
            try {
                changedState = log.state().with(pending.change());
            } catch (FleetException rejection) {
                completeWhenConfirmed(pending.requestId(), rejection);
                continue;
            }
            if (changedState == log.state()) {
                completeWhenConfirmed(pending.requestId(), null);
            } else {
                startChange(pending, changedState);
            }
        }
    }

    @SuppressWarnings("ReferenceEquality") // The very change that was started, not an equal one.
    private void startChange(PendingChange pending, ControlState changedState) {
        StateUpdate update = log.nextEntry(membership.epoch(), pending.change());
        InFlightChange started = new InFlightChange(pending.requestId(), update, context.nowMs());
        inFlightChange = started;
        syncedReplicas.clear();
        log.append(context.nowMs(), update, changedState, durable -> {
            if (stopped || inFlightChange != started) {
                return;
            }
            if (durable) {
                syncedReplicas.add(context.self());
                commitIfSynced();
            } else {
                listener.diskFailed();
            }
        });
        for (String name : membership.dataReplicas()) {
            if (!name.equals(context.self())) {
                replicateTo(name, update);
            }
        }
    }

    /** Sends the change in flight again to the data replicas that have not synced it. */
    private void resendInFlightChange() {
        if (inFlightChange == null || context.nowMs() - inFlightChange.startedAtMs() < Timing.HEARTBEAT_MS) {
            return;
        }
        for (String name : membership.dataReplicas()) {
            if (!syncedReplicas.contains(name) && !name.equals(context.self())) {
                replicateTo(name, updateFor(name));
            }
        }
    }

    /** What leads a replica from the state that it last reported to the one that is wanted of it. */
    private StateUpdate updateFor(String name) {
        if (inFlightChange != null && !syncedReplicas.contains(context.self())) {
            return inFlightChange.update();
        }
        ReplicaMessage reported = reportedPositions.get(name);
        return reported == null
                ? log.updateFrom(Epoch.NONE, -1)
                : log.updateFrom(reported.logEpoch(), reported.logIndex());
    }

    private void replicateTo(String to, StateUpdate update) {
        ReplicaMessage reported = reportedPositions.get(to);
        lastReplicatedAtMs.put(to, context.nowMs());
        context.send(to, ReplicaMessage.replicate(update, reported == null ? 0 : reported.generation()));
    }

    /** A backup that is behind has lost its disk, or a message. Between changes it is brought up to date. */
    private void catchUp(String name, ReplicaMessage reported) {
        boolean behind = !log.isAt(reported.logEpoch(), reported.logIndex());
        long sinceReplicatedMs = context.nowMs() - lastReplicatedAtMs.getOrDefault(name, Long.MIN_VALUE / 2);
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
            onReplicationRejected(from, reply);
            return;
        }
        if (inFlightChange != null
                && reply.logIndex() == inFlightChange.update().index()) {
            syncedReplicas.add(from);
            commitIfSynced();
        }
    }

    private void onReplicationRejected(String from, ReplicaMessage reply) {
        if (reply.promisedEpoch().isAbove(membership.epoch())) {
            if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
                voter.promise(reply.promisedEpoch());
            }
            listener.stepDown();
            return;
        }
        ReplicaMessage previous = reportedPositions.put(from, reply);
        boolean positionChanged = previous == null || !previous.hasSameLogPosition(reply);
        if (positionChanged && membership.dataReplicas().contains(from) && !log.isAppending()) {
            replicateTo(from, log.updateFrom(reply.logEpoch(), reply.logIndex()));
        }
    }

    private void commitIfSynced() {
        if (inFlightChange == null || !syncedReplicas.containsAll(membership.dataReplicas())) {
            return;
        }
        long requestId = inFlightChange.requestId();
        inFlightChange = null;
        committedState = log.state();
        listener.committed(log.index(), committedState);
        listener.completed(requestId, null, committedState);
        startChanges();
    }

    /** This replica is primary no more: nothing that waits here can be answered. */
    void stop(FleetException rejection) {
        stopped = true;
        List<Long> requestIds = new ArrayList<>();
        if (inFlightChange != null) {
            requestIds.add(inFlightChange.requestId());
        }
        pendingChanges.forEach(pending -> requestIds.add(pending.requestId()));
        pendingConfirmations.forEach(pending -> requestIds.add(pending.requestId()));
        inFlightChange = null;
        pendingChanges.clear();
        pendingConfirmations.clear();
        requestIds.forEach(requestId -> listener.completed(requestId, rejection, null));
    }
}
