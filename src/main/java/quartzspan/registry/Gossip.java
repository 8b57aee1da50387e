package quartzspan.registry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Replicates the registry and the published state between processes. An update is sent at once to a few peers, which forward
 * what was new to them; periodic queries with digests repair missed updates (anti-entropy); replies contain the age of the
 * published state. Peers are selected by rendezvous hashing ({@link Registry#rendezvousSelect}). Performs no I/O and reads no
 * clock.
 */
public final class Gossip {
    /** Interval between queries to a core machine. */
    private static final long CORE_QUERY_INTERVAL_MS = 250;
    /** Interval between queries to a peer: another proxy, or on a core machine another core machine. */
    private static final long PEER_QUERY_INTERVAL_MS = 500;
    /** A query that is not answered within this time counts as a failure of its recipient. */
    private static final long QUERY_TIMEOUT_MS = 400;
    /** A reply with a state older than this counts as a failure of the core machine: another one may have a newer state. */
    private static final long MAX_STALENESS_MS = 900;
    /** A process that has sent a query within this time receives updates as they occur. */
    private static final long SUBSCRIPTION_TTL_MS = 1_500;

    private static final int PEER_COUNT = 3;
    /** Updates within this time after the last broadcast are batched until the next update or tick. */
    private static final long BATCH_WINDOW_MS = 40;

    private static final Registry.Update NO_UPDATE = new Registry.Update(List.of(), false);

    /** Sends messages to other processes. */
    public interface Sender {
        void send(String to, GossipMessage message);
    }

    private record Query(String recipient, long sentAtMs, boolean full) {}

    private final String self;
    private final boolean isCoreMachine;
    private List<String> seeds;
    private final Registry registry;
    private final Sender sender;
    private final Map<Long, Query> openQueries = new LinkedHashMap<>();
    private final Map<String, Long> subscribers = new HashMap<>();
    private final AcknowledgementTracker acknowledgements = new AcknowledgementTracker();
    /** Entries to send with the next broadcast, by id; a later entry replaces an earlier one with the same key. */
    private final Map<String, RegistryEntry> pendingEntries = new LinkedHashMap<>();

    private boolean statePending;
    /** Whether this process published the pending state itself. */
    private boolean pendingStateIsOwn;
    /** Index of the last broadcast state. */
    private long lastBroadcastIndex = -1;

    private final StateFetch stateFetch;
    private final StallGuard stallGuard = new StallGuard();
    private long lastBroadcastAtMs = Long.MIN_VALUE / 2;
    /**
     * Failures by process: requests that timed out, and replies with a stale state. Reset by a reply with a fresh state, and
     * halved periodically.
     */
    private final Map<String, Integer> failureCounts = new HashMap<>();

    private long lastNonce;
    private long nextCoreQueryAtMs;
    private long nextPeerQueryAtMs;
    private int roundRobinCounter;
    private boolean acknowledgementsStopped;
    private EntryDurability durability = EntryDurability.IN_MEMORY;
    /** Core machines of which this process has merged all entries since it started. */
    private final Set<String> mergedCores = new HashSet<>();
    /** Core machines in order of preference, cached until the registry or the preference changes. */
    private List<String> rankedCores = List.of();

    /** The zone whose core machines are preferred; null if there is none. */
    private String preferredZone;

    private long rankedCoresVersion = -1;
    private List<String> rankedPeers = List.of();
    private long rankedPeersVersion = -1;

    /** Like the other constructor, with nonces from 1: for a process without earlier incarnations. */
    public Gossip(String self, boolean isCoreMachine, List<String> seeds, Registry registry, Sender sender) {
        this(self, isCoreMachine, seeds, registry, sender, 0);
    }

    /**
     * Starts with the seeds as the only known core machines.
     *
     * @param seeds internal addresses of the initial core machines
     * @param firstNonce the value before the first nonce. Replies to an earlier incarnation of this process must not match a
     *     query of this one, otherwise an old state would count as fresh.
     */
    public Gossip(
            String self, boolean isCoreMachine, List<String> seeds, Registry registry, Sender sender, long firstNonce) {
        this.self = self;
        this.isCoreMachine = isCoreMachine;
        this.seeds = seeds;
        this.registry = registry;
        this.sender = sender;
        this.stateFetch = new StateFetch(registry.stateFollower(), firstNonce, sender);
        this.lastNonce = firstNonce;
    }

    /** A random first nonce, most likely far from those of other incarnations. */
    public static long firstNonce(long seed) {
        return new SplittableRandom(seed).nextLong() >>> 2;
    }

    /** Replaces the initial core machines. */
    public void setSeeds(List<String> newSeeds) {
        seeds = newSeeds;
        rankedCoresVersion = -1;
    }

    /** Prefers the core machines of a zone, so that updates cross a zone boundary once rather than once per proxy. */
    public void preferZone(String zone) {
        preferredZone = zone;
        rankedCoresVersion = -1;
    }

    /** The known core machines, those with the fewest failures first, otherwise in order of preference. */
    public List<String> cores() {
        long version = registry.version(RegistryEntry.Subject.CORE);
        if (rankedCoresVersion != version) {
            rankedCoresVersion = version;
            List<String> ranked = new ArrayList<>(Registry.rendezvousSelect(self, knownCores(), Integer.MAX_VALUE));
            ranked.sort(Comparator.comparing(address -> !isInPreferredZone(address)));
            rankedCores = List.copyOf(ranked);
        }
        if (failureCounts.values().stream().allMatch(p -> p == 0)) {
            return rankedCores;
        }
        List<String> byFailures = new ArrayList<>(rankedCores);
        byFailures.sort(Comparator.comparingInt(c -> failureCounts.getOrDefault(c, 0)));
        return byFailures;
    }

    private boolean isInPreferredZone(String address) {
        RegistryEntry entry = registry.entry(RegistryEntry.Subject.CORE, address);
        return preferredZone != null
                && entry != null
                && CoreMachine.of(entry).zone().equals(preferredZone);
    }

    private List<String> knownCores() {
        Set<String> known = new LinkedHashSet<>(seeds);
        for (RegistryEntry entry : registry.all(RegistryEntry.Subject.CORE)) {
            if (entry.state() == RegistryEntry.State.READY) {
                known.add(entry.key());
            } else if (entry.state() == RegistryEntry.State.GONE) {
                known.remove(entry.key());
            }
        }
        return List.copyOf(known);
    }

    /** The other proxies with which this process exchanges updates. */
    public List<String> peers() {
        long version = registry.version(RegistryEntry.Subject.PROXY);
        if (rankedPeersVersion != version) {
            rankedPeersVersion = version;
            rankedPeers = Registry.rendezvousSelect(self, registry.readyKeys(RegistryEntry.Subject.PROXY), PEER_COUNT);
        }
        return rankedPeers;
    }

    /**
     * To be called every 50 to 100 ms.
     *
     * @param primary on a core machine the address of the primary, if it is known and another machine; otherwise null
     */
    public void onTick(long now, String primary) {
        stallGuard.onTick(now);
        broadcastIfDue(now);
        String unresponsive = stateFetch.onTick(now);
        if (unresponsive != null) {
            failureCounts.merge(unresponsive, 1, Integer::sum);
        }
        openQueries.entrySet().removeIf(e -> {
            boolean late = now - e.getValue().sentAtMs() > QUERY_TIMEOUT_MS;
            if (late) {
                failureCounts.merge(e.getValue().recipient(), 1, Integer::sum);
            }
            return late;
        });
        acknowledgements
                .takeDueRetries(now, cores())
                .forEach(r -> sendForAcknowledgement(r.nonce(), r.entries(), r.recipients()));
        if (now >= nextCoreQueryAtMs) {
            nextCoreQueryAtMs = now + CORE_QUERY_INTERVAL_MS;
            List<String> cores = cores();
            if (primary != null) {
                query(now, primary, false);
            } else if (!cores.isEmpty()) {
                query(now, cores.get(0), false);
                // A failing first choice is still queried, as it may have recovered; another one is queried in
                // addition.
                if (failureCounts.getOrDefault(cores.get(0), 0) > 0 && cores.size() > 1) {
                    query(now, cores.get(1 + roundRobinCounter++ % (cores.size() - 1)), false);
                }
            }
        }
        if (now >= nextPeerQueryAtMs) {
            nextPeerQueryAtMs = now + PEER_QUERY_INTERVAL_MS;
            List<String> peers = isCoreMachine ? cores() : peers();
            if (!peers.isEmpty()) {
                query(now, peers.get(roundRobinCounter++ % peers.size()), false);
            }
            subscribers.values().removeIf(at -> now - at > SUBSCRIPTION_TTL_MS);
            if (failureCounts.size() > 0 && roundRobinCounter % 8 == 0) {
                failureCounts.replaceAll((k, v) -> v / 2);
            }
        }
    }

    private void query(long now, String to, boolean full) {
        openQueries.put(++lastNonce, new Query(to, now, full));
        sender.send(to, registry.query(now, lastNonce, full));
    }

    /** Processes a message; returns the changes, which have already been forwarded. */
    public Registry.Update onGossip(long now, String from, GossipMessage message) {
        Registry.Update update =
                switch (message.kind()) {
                    case QUERY -> onQuery(now, from, message);
                    case REPLY -> onReply(now, from, message);
                    case FETCH -> onFetch(from, message);
                    case FETCH_REPLY -> onFetchReply(now, from, message);
                    default -> onUpdate(now, from, message);
                };
        if (!update.isEmpty()) {
            broadcast(now, update, from);
        }
        return update;
    }

    /** Acknowledges entries from now on only once they are durable at this process. */
    public void acknowledgeOnceDurable(EntryDurability entryDurability) {
        durability = entryDurability;
    }

    /** The core machines of which this process has merged all entries that they had at some time since it started. */
    public Set<String> mergedCores() {
        return Collections.unmodifiableSet(mergedCores);
    }

    /** Queries the core machines that {@link #mergedCores} lacks. */
    public void queryCoresToMerge(long now) {
        cores().stream().filter(core -> !mergedCores.contains(core)).forEach(core -> query(now, core, false));
    }

    /** Stops acknowledging entries, since this process is about to shut down. */
    public void stopAcknowledging() {
        acknowledgementsStopped = true;
    }

    private Registry.Update onQuery(long now, String from, GossipMessage message) {
        subscribers.put(from, now);
        sender.send(from, registry.reply(now, message));
        return NO_UPDATE;
    }

    private Registry.Update onReply(long now, String from, GossipMessage message) {
        Query query = openQueries.get(message.nonce());
        if (query != null && query.recipient().equals(from)) {
            openQueries.remove(message.nonce());
        } else {
            query = null;
        }
        acknowledgements.onAcknowledgement(message.nonce(), from);
        if (query != null) {
            failureCounts.put(
                    from,
                    message.ageMs() < 0 || message.ageMs() > MAX_STALENESS_MS
                            ? failureCounts.getOrDefault(from, 0) + 1
                            : 0);
        }
        Registry.Update update = registry.merge(now, message, query == null ? Registry.NEVER : query.sentAtMs());
        if (query != null && areEntriesComplete(query, from, message)) {
            mergedCores.add(from);
            if (registry.stateIndex() >= message.stateIndex()) {
                stallGuard.onConfirmed(query.sentAtMs());
            }
        }
        if (query != null && message.digests().length == Registry.BUCKETS) {
            if (query.full()) {
                sendMissing(from, message.digests());
            } else {
                query(now, from, true);
            }
        }
        stateFetch.onIndex(now, from, message.stateIndex(), false);
        return update;
    }

    /** Whether the sender, a core machine, has no entry that this process lacks after the merge. */
    private boolean areEntriesComplete(Query query, String from, GossipMessage reply) {
        return (query.full() || reply.digests().length == 0) && cores().contains(from);
    }

    /**
     * Whether this process was stalled and has not yet learnt from a core machine what it missed meanwhile. To be asked before
     * the registry or the published state is used for a decision that others rely on.
     */
    public boolean mayBeOutdated(long now) {
        return stallGuard.mayBeOutdated(now);
    }

    private Registry.Update onUpdate(long now, String from, GossipMessage message) {
        Registry.Update update = registry.merge(now, message, Registry.NEVER);
        if (message.nonce() != 0 && !acknowledgementsStopped) {
            durability.whenDurable(now, message.entries(), () -> acknowledge(from, message.nonce()));
        }
        stateFetch.onIndex(now, from, message.stateIndex(), !message.deltas().isEmpty());
        return update;
    }

    private void acknowledge(String to, long nonce) {
        if (!acknowledgementsStopped) {
            sender.send(to, GossipMessage.acknowledgement(nonce));
        }
    }

    /** Replies with the deltas from the requester's state to the local one, or with a snapshot chunk if they are not available. */
    private Registry.Update onFetch(String from, GossipMessage message) {
        StateFollower stateFollower = registry.stateFollower();
        boolean acceptsDeltas = message.chunk().index() == SnapshotChunk.DELTAS_OR_SNAPSHOT;
        List<StateDelta> deltas = acceptsDeltas ? stateFollower.deltasSince(message.stateIndex()) : List.of();
        SnapshotChunk chunk =
                deltas.isEmpty() ? stateFollower.chunk(message.stateIndex(), message.chunk()) : SnapshotChunk.NONE;
        sender.send(from, GossipMessage.fetchReply(message.nonce(), stateFollower.index(), deltas, chunk));
        return NO_UPDATE;
    }

    private Registry.Update onFetchReply(long now, String from, GossipMessage message) {
        boolean newer = stateFetch.onFetchReply(now, from, message);
        return newer ? new Registry.Update(List.of(), true) : NO_UPDATE;
    }

    /** Sends the entries of the differing buckets, which the other process may lack or have in an older version. */
    private void sendMissing(String to, long[] otherDigests) {
        List<RegistryEntry> missing = registry.entriesInDifferingBuckets(otherDigests);
        if (!missing.isEmpty()) {
            sender.send(to, GossipMessage.update(0, registry.stateIndex(), missing, List.of()));
        }
    }

    /** The processes that have recently sent queries: on a core machine, the proxies that it serves. */
    public List<String> subscribers() {
        return List.copyOf(subscribers.keySet());
    }

    /** Broadcasts one entry; see {@link #broadcast(long, Registry.Update, String)}. */
    public void broadcast(long now, RegistryEntry update) {
        broadcast(now, new Registry.Update(List.of(update), false), null);
    }

    /**
     * Broadcasts an update: a proxy to its peers, a core machine to its subscribers and to the other core machines. The first
     * update is sent at once; updates within {@link #BATCH_WINDOW_MS} after it are sent together, with the next update after
     * that window or at the next tick. A core machine sends the deltas of the state. Other processes send only its index, and
     * the recipients that lack the state fetch it.
     */
    public void broadcast(long now, Registry.Update update, String except) {
        boolean nothingPending = !isUpdatePending();
        update.entries().forEach(entry -> pendingEntries.put(entry.subject().ordinal() + entry.key(), entry));
        statePending |= update.stateAdvanced();
        if (now - lastBroadcastAtMs >= BATCH_WINDOW_MS) {
            broadcastPending(now, nothingPending ? except : null);
        }
    }

    private boolean isUpdatePending() {
        return statePending || !pendingEntries.isEmpty();
    }

    private void broadcastIfDue(long now) {
        if (isUpdatePending() && now - lastBroadcastAtMs >= BATCH_WINDOW_MS) {
            broadcastPending(now, null);
        }
    }

    private void broadcastPending(long now, String except) {
        Registry.Update update = new Registry.Update(List.copyOf(pendingEntries.values()), statePending);
        pendingEntries.clear();
        statePending = false;
        broadcastNow(now, update, except);
    }

    private void broadcastNow(long now, Registry.Update update, String except) {
        lastBroadcastAtMs = now;
        Set<String> recipients = new LinkedHashSet<>(isCoreMachine ? subscribers.keySet() : peers());
        if (isCoreMachine) {
            recipients.addAll(cores());
        }
        List<StateDelta> deltas = isCoreMachine && update.stateAdvanced()
                ? registry.stateFollower().deltasSince(lastBroadcastIndex)
                : List.of();
        lastBroadcastIndex = registry.stateIndex();
        GossipMessage withIndex = GossipMessage.update(0, lastBroadcastIndex, update.entries(), List.of());
        GossipMessage withDeltas = GossipMessage.update(0, lastBroadcastIndex, update.entries(), deltas);
        for (String recipient : recipients) {
            if (!recipient.equals(except) && !recipient.equals(self)) {
                sender.send(recipient, pendingStateIsOwn || !cores().contains(recipient) ? withDeltas : withIndex);
            }
        }
        pendingStateIsOwn = false;
    }

    /** Broadcasts a state that this process has published. Only the publisher sends its deltas to the other core machines. */
    public void onPublished(long now) {
        pendingStateIsOwn = true;
        broadcast(now, new Registry.Update(List.of(), true), null);
    }

    /**
     * Broadcasts entries until enough core machines, this process included, hold them durably. Until then, or until
     * {@link #cancelBroadcast}, they are sent again to the core machines that have not acknowledged them.
     *
     * @param enough whether these processes, which hold the entries, are enough
     * @return the nonce to pass to {@link #cancelBroadcast}
     */
    public long broadcastUntilAcknowledged(
            long now, List<RegistryEntry> update, Predicate<Set<String>> enough, Runnable onAcknowledged) {
        List<String> cores = cores();
        List<String> others = new ArrayList<>(subscribers.keySet());
        if (!isCoreMachine) {
            peers().stream().filter(p -> !others.contains(p)).forEach(others::add);
        }
        others.removeAll(cores);
        GossipMessage message = GossipMessage.update(0, registry.stateIndex(), update, List.of());
        others.forEach(to -> sender.send(to, message));
        long nonce = ++lastNonce;
        List<String> holders = new ArrayList<>(cores);
        holders.add(self);
        acknowledgements.track(now, nonce, enough, holders, update, onAcknowledged);
        sendForAcknowledgement(nonce, update, cores);
        durability.whenDurable(now, update, () -> acknowledgements.onAcknowledgement(nonce, self));
        return nonce;
    }

    /** Stops the retries of {@link #broadcastUntilAcknowledged}. */
    public void cancelBroadcast(long nonce) {
        acknowledgements.cancel(nonce);
    }

    private void sendForAcknowledgement(long nonce, List<RegistryEntry> update, List<String> to) {
        GossipMessage message = GossipMessage.update(nonce, registry.stateIndex(), update, List.of());
        to.forEach(c -> sender.send(c, message));
    }
}
