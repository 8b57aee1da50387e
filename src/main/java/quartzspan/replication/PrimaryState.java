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
 * The primary while its membership is in effect: sends heartbeats, commits changes and serves reads.
 *
 * <p>A change is acknowledged once every data replica has synced it. Reads and rejections are completed once a quorum has
 * acknowledged a heartbeat that was sent after the request (as in Raft's ReadIndex): until then another replica may already be
 * primary.
 */
final class PrimaryState {
    /** Receives the decisions of a primary. */
    interface Listener {
        /** The membership has to change. */
        void changeMembership(ElectionPlan plan);

        /** This replica has to stop being primary. */
        void stepDown();

        /** A write to the local disk failed or takes too long. */
        void diskFailed();

        void committed(long index, ControlState state);

        /** The result of a request; {@code rejection} is null on success. */
        void completed(long requestId, FleetException rejection, ControlState state);
    }

    private record PendingChange(long requestId, Change change) {}

    /**
     * A request that is completed once a quorum has acknowledged a heartbeat.
     *
     * @param rejection null for a read and for a change that is already in effect
     */
    private record PendingConfirmation(long requestId, long heartbeatSequence, FleetException rejection) {}

    /** The change that is being replicated. */
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
    /** The last acknowledged state; the log may end with a change that other data replicas lack. */
    private ControlState committedState;

    private long nextHeartbeatAtMs;
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
    private InFlightChange inFlightChange;
    private final Set<String> syncedReplicas = new HashSet<>();
    /** The last log position reported by each of the other replicas. */
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

    /** Starts the primary and commits a joint membership, whose previous voters are no longer needed. */
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

    /** The latest time for which a quorum confirmed this primary; far in the past if none has yet. */
    long confirmedAtMs() {
        return heartbeatQuorum.confirmedAtMs();
    }

    /** The time since which no quorum has confirmed this primary. */
    long unconfirmedSinceMs() {
        return Math.max(heartbeatQuorum.confirmedAtMs(), startedAtMs);
    }

    /** A backup that can take over immediately; null if there is none. */
    String successor() {
        return reconfigurationPolicy.successor(membership);
    }

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

    /** Extends a timeout for large states, which take longer to write and send. */
    private long scaledToStateSize(long timeoutMs) {
        return timeoutMs + log.state().size() / Timing.STATE_BYTES_PER_MS;
    }

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
            // The voter promised a higher epoch that did not take effect, so it only accepts a still higher one.
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

    void submit(long requestId, Change change) {
        pendingChanges.add(new PendingChange(requestId, change));
        startChanges();
    }

    /** Replicates one change at a time, since each change is validated against the state after the previous one. */
    @SuppressWarnings("ReferenceEquality") // ControlState.with returns the same object if nothing changes.
    private void startChanges() {
        while (!stopped && inFlightChange == null && !log.isAppending() && !pendingChanges.isEmpty()) {
            PendingChange pending = pendingChanges.poll();
            ControlState changedState;
            try {
                changedState = log.state().withSubmitted(pending.change());
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

    @SuppressWarnings("ReferenceEquality") // Compares the change that was started by identity.
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

    /** Resends the change in flight to the data replicas that have not synced it. */
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

    /** The update from a replica's last reported position to the change in flight, or to the end of the log. */
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

    /** Brings a lagging backup up to date while no change is in flight; it has lost its disk or missed a message. */
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

    /** Stops being primary: all pending requests are completed with a rejection. */
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
