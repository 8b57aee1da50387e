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
final class PrimaryState {
    private static final int MAX_HEARTBEATS_KEPT = 64;

    /** What a primary decides and its replica has to carry out. */
    interface Listener {
        /** The view has to change. */
        void reform(CandidateState.Plan plan);

        /** Nobody else may count on this primary any more. */
        void stepDown();

        /** The disk refused or is too slow. */
        void diskRefused();

        void committed(long index, ControlState state);

        void answered(long requestId, FleetException refusal, ControlState state);
    }

    private record Request(long requestId, Change change) {}

    /** A question whose answer waits for a quorum; {@code refusal} is the answer, null for a read. */
    private record PendingRead(long requestId, long nonce, FleetException refusal) {}

    /** The change under way. */
    private record Write(long requestId, StateUpdate update, long since) {}

    private final ReplicaContext context;
    private final VoterState voter;
    private final ReplicaLog log;
    private final PeerLiveness peers;
    private final Listener listener;
    private final long since;
    private Membership membership;
    /** The state as last answered: the copy may hold a change that other copies lack. */
    private ControlState committedState;

    private long heartbeatAt;
    private long nonce;
    private final TreeMap<Long, Long> heartbeatSentAt = new TreeMap<>();
    private final Map<String, Long> acknowledgedNonce = new HashMap<>();
    private long confirmedNonce;
    private long confirmedAt;
    private final ArrayDeque<Request> pendingRequests = new ArrayDeque<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private Write write;
    private final Set<String> synced = new HashSet<>();
    /** The states that other replicas hold, as far as they told. */
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
        this.membership = membership;
        this.listener = listener;
        this.since = context.now();
        this.confirmedAt = Long.MIN_VALUE / 2;
        this.committedState = log.state();
    }

    /** Begins to lead: the view is in force, so the voters before it are needed no more. */
    void begin() {
        listener.committed(log.index(), committedState);
        if (membership.joint()) {
            voter.learn(membership.settled());
            voter.persist(context.now(), durable -> {
                if (durable && !ended) {
                    membership = membership.settled();
                    heartbeat();
                }
            });
        }
        heartbeat();
    }

    Membership membership() {
        return membership;
    }

    ControlState committedState() {
        return committedState;
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
        if (now - unconfirmedSince() > Timing.QUORUM_TIMEOUT_MS) {
            listener.stepDown();
            return;
        }
        if (now >= heartbeatAt) {
            heartbeat();
            resendWrite();
        }
        if (!ended
                && write != null
                && !synced.contains(context.self())
                && now - write.since() > allowed(Timing.DISK_TIMEOUT_MS)) {
            listener.diskRefused();
            return;
        }
        startWrites();
        if (!ended) {
            reviewMembership();
        }
    }

    /** Large states are allowed more time. */
    private long allowed(long base) {
        return base + log.state().size() / Timing.STATE_BYTES_PER_MS;
    }

    private void heartbeat() {
        long now = context.now();
        heartbeatAt = now + Timing.HEARTBEAT_MS;
        nonce++;
        heartbeatSentAt.put(nonce, now);
        while (heartbeatSentAt.size() > MAX_HEARTBEATS_KEPT) {
            heartbeatSentAt.pollFirstEntry();
        }
        List<String> standbys = peers.standbys(now, membership);
        ReplicaMessage heartbeat = ReplicaMessage.of(Kind.HEARTBEAT, membership.epoch())
                .withMembership(membership)
                .withNonce(nonce)
                .withGranted(hasSpareVoter(now))
                .withLogPosition(log.epoch(), log.index())
                .withSinceHeardMs(peers.allSinceHeardMs(now, membership.voters()));
        Set<String> to = membership.electorate();
        to.remove(context.self());
        to.addAll(standbys);
        to.forEach(name -> context.send(name, heartbeat));
        confirm();
    }

    // ---- reads ---------------------------------------------------------------------------------------

    void read(long requestId) {
        awaitConfirmation(requestId, null);
    }

    private void awaitConfirmation(long requestId, FleetException refusal) {
        pendingReads.add(new PendingRead(requestId, nonce + 1, refusal));
        heartbeat();
    }

    void onHeartbeatReply(String from, ReplicaMessage reply) {
        if (!reply.epoch().equals(membership.epoch())) {
            return;
        }
        if (!reply.granted()) {
            // Somebody was granted a higher epoch without taking over: only a higher one has this voter's word again.
            if (reply.promisedEpoch().isAbove(voter.promisedEpoch())) {
                voter.promise(reply.promisedEpoch());
                listener.reform(plan(null, Set.of()));
            }
            return;
        }
        acknowledgedNonce.merge(from, reply.nonce(), Math::max);
        reportedPositions.put(from, reply);
        confirm();
        if (!ended && write == null) {
            catchUp(from, reply);
        }
    }

    /** Counts whose acknowledgements make a quorum, and answers what has waited for it. */
    private void confirm() {
        long sure = confirmedNonce;
        for (long candidate : acknowledgedNonce.values()) {
            sure = candidate > sure && isConfirmed(candidate) ? candidate : sure;
        }
        sure = isConfirmed(nonce) ? nonce : sure;
        if (sure > confirmedNonce) {
            confirmedNonce = sure;
            Map.Entry<Long, Long> sent = heartbeatSentAt.floorEntry(sure);
            confirmedAt = sent == null ? confirmedAt : Math.max(confirmedAt, sent.getValue());
        }
        for (PendingRead read : List.copyOf(pendingReads)) {
            if (read.nonce() <= confirmedNonce && pendingReads.remove(read)) {
                listener.answered(read.requestId(), read.refusal(), committedState);
            }
        }
    }

    private boolean isConfirmed(long atNonce) {
        Set<String> replicas = new HashSet<>();
        replicas.add(context.self());
        acknowledgedNonce.forEach((name, acked) -> {
            if (acked >= atNonce) {
                replicas.add(name);
            }
        });
        return membership.isQuorum(replicas);
    }

    // ---- changes -------------------------------------------------------------------------------------

    void change(long requestId, Change change) {
        pendingRequests.add(new Request(requestId, change));
        startWrites();
    }

    /** One change at a time: the next is judged by the state after the one before. */
    private void startWrites() {
        while (!ended && write == null && !log.isAppending() && !pendingRequests.isEmpty()) {
            Request request = pendingRequests.poll();
            ControlState changed;
            try {
                changed = log.state().with(request.change());
            } catch (FleetException refusal) {
                awaitConfirmation(request.requestId(), refusal);
                continue;
            }
            if (changed == log.state()) {
                awaitConfirmation(request.requestId(), null);
            } else {
                startWrite(request, changed);
            }
        }
    }

    private void startWrite(Request request, ControlState changed) {
        StateUpdate update = log.nextEntry(membership.epoch(), request.change());
        Write started = new Write(request.requestId(), update, context.now());
        write = started;
        synced.clear();
        log.append(context.now(), update, changed, durable -> {
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
        for (String name : membership.dataReplicas()) {
            if (!name.equals(context.self())) {
                replicateTo(name, update);
            }
        }
    }

    /** To who has not synced the change under way. */
    private void resendWrite() {
        if (write == null || context.now() - write.since() < Timing.HEARTBEAT_MS) {
            return;
        }
        for (String name : membership.dataReplicas()) {
            if (!synced.contains(name) && !name.equals(context.self())) {
                replicateTo(name, updateFor(name));
            }
        }
    }

    /** What brings a replica from the state that it last told to the one that is wanted of it. */
    private StateUpdate updateFor(String name) {
        if (write != null && !synced.contains(context.self())) {
            return write.update();
        }
        ReplicaMessage reported = reportedPositions.get(name);
        return reported == null
                ? log.updateFrom(Epoch.NONE, -1)
                : log.updateFrom(reported.logEpoch(), reported.logIndex());
    }

    private void replicateTo(String to, StateUpdate update) {
        ReplicaMessage reported = reportedPositions.get(to);
        replicatedAtMs.put(to, context.now());
        context.send(to, Replica.replicateMessage(update, reported == null ? 0 : reported.generation()));
    }

    /** A backup that is behind lost its disk, or a message. Between changes it is brought up to date. */
    private void catchUp(String name, ReplicaMessage reported) {
        boolean behind = !log.isAt(reported.logEpoch(), reported.logIndex());
        boolean sentLately = context.now() - replicatedAtMs.getOrDefault(name, Long.MIN_VALUE / 2) < Timing.RETRY_MS;
        if (membership.dataReplicas().contains(name) && behind && !sentLately && !log.isAppending()) {
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
        if (write != null && reply.logIndex() == write.update().index()) {
            synced.add(from);
            finishWrite();
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
        boolean changed = before == null || !Replica.sameLogPosition(before, reply);
        if (changed && membership.dataReplicas().contains(from) && !log.isAppending()) {
            replicateTo(from, log.updateFrom(reply.logEpoch(), reply.logIndex()));
        }
    }

    private void finishWrite() {
        if (write == null || !synced.containsAll(membership.dataReplicas())) {
            return;
        }
        long requestId = write.requestId();
        write = null;
        committedState = log.state();
        listener.committed(log.index(), committedState);
        listener.answered(requestId, null, committedState);
        startWrites();
    }

    // ---- the view ------------------------------------------------------------------------------------

    /** Replaces copies that are silent, slow or about to end, and voters that are gone. */
    private void reviewMembership() {
        long now = context.now();
        Set<String> failing = failingReplicas(now);
        List<String> voters = wantedVoters(now);
        long healthy = healthyOthers(now, failing);
        int wanted = CandidateState.wantedDataReplicas(membership.voters(), context.losses());
        boolean canReplace = !failing.isEmpty() && healthy >= context.losses();
        boolean canAdd = membership.dataReplicas().size() < wanted && healthy >= wanted - 1;
        if (canReplace || canAdd || voters != null) {
            listener.reform(plan(voters, failing));
        }
    }

    private CandidateState.Plan plan(List<String> voters, Set<String> failing) {
        Set<String> avoided = new TreeSet<>(failing);
        avoided.addAll(peers.leaving(context.now()));
        return new CandidateState.Plan(voters, avoided, true);
    }

    private Set<String> failingReplicas(long now) {
        Set<String> leaving = peers.leaving(now);
        Set<String> failing = new TreeSet<>();
        for (String name : membership.dataReplicas()) {
            boolean slow =
                    write != null && !synced.contains(name) && now - write.since() > allowed(Timing.BACKUP_TIMEOUT_MS);
            if (!name.equals(context.self())
                    && (slow || leaving.contains(name) || peers.sinceHeardMs(now, name) > Timing.BACKUP_TIMEOUT_MS)) {
                failing.add(name);
            }
        }
        return failing;
    }

    private long healthyOthers(long now, Set<String> failing) {
        Set<String> leaving = peers.leaving(now);
        return membership.voters().stream()
                .filter(name -> !name.equals(context.self()))
                .filter(name -> peers.sinceHeardMs(now, name) <= Timing.BACKUP_TIMEOUT_MS)
                .filter(name -> !failing.contains(name) && !leaving.contains(name))
                .count();
    }

    /**
     * The voters as they should be, one change away from what they are; null if they are as they should be.
     *
     * <p>One standby is taken in beside all others, as voter and copy, so that whoever ends next is not missed.
     */
    private List<String> wantedVoters(long now) {
        if (membership.joint()) {
            return null;
        }
        List<String> standbys = peers.standbys(now, membership);
        List<String> voters = new ArrayList<>(membership.voters());
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
        if (membership.voters().size() < needed) {
            return true;
        }
        boolean allHeard = membership.voters().stream()
                .allMatch(name -> peers.sinceHeardMs(now, name) <= Timing.BACKUP_TIMEOUT_MS);
        return membership.voters().size() == needed
                && allHeard
                && peers.standbyForMs(now, standby) >= Timing.STANDBY_PROMOTION_DELAY_MS;
    }

    /** Whether a voter that ends can be done without. */
    private boolean hasSpareVoter(long now) {
        return !peers.standbys(now, membership).isEmpty() || membership.voters().size() > 2 * context.losses() + 1;
    }

    /** The voter that has been silent for longest, or else one that is about to end; null if there is none. */
    private String voterToReplace(long now) {
        boolean spare = membership.voters().size() > 2 * context.losses() + 1;
        long limit = spare ? Timing.SPARE_VOTER_TIMEOUT_MS : Timing.VOTER_TIMEOUT_MS;
        String longestSilent = null;
        for (String name : membership.voters()) {
            long elapsedMs = peers.sinceHeardMs(now, name);
            if (elapsedMs > limit && (longestSilent == null || elapsedMs > peers.sinceHeardMs(now, longestSilent))) {
                longestSilent = name;
            }
        }
        Set<String> leaving = peers.leaving(now);
        String ends = membership.voters().stream()
                .filter(leaving::contains)
                .findFirst()
                .orElse(null);
        return longestSilent != null ? longestSilent : ends;
    }

    /** The backup that can take over at once; null if there is none. */
    String successor() {
        long now = context.now();
        Set<String> leaving = peers.leaving(now);
        return membership.dataReplicas().stream()
                .filter(name -> !name.equals(context.self()) && !leaving.contains(name))
                .filter(name -> peers.sinceHeardMs(now, name) <= Timing.BACKUP_TIMEOUT_MS)
                .findFirst()
                .orElse(null);
    }

    /** Leads no more: nothing that waits here can be answered. */
    void end(FleetException refusal) {
        ended = true;
        List<Long> requestIds = new ArrayList<>();
        if (write != null) {
            requestIds.add(write.requestId());
        }
        pendingRequests.forEach(request -> requestIds.add(request.requestId()));
        pendingReads.forEach(read -> requestIds.add(read.requestId()));
        write = null;
        pendingRequests.clear();
        pendingReads.clear();
        requestIds.forEach(requestId -> listener.answered(requestId, refusal, null));
    }
}
