package quartzspan.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Spreads the registry and the published state between processes, without clock or I/O: an update goes at once to a few peers,
 * which forward what was new to them; queries with digests find what was missed (anti-entropy); and replies carry the age of
 * the control state. The peers are chosen by rendezvous hashing ({@link Registry#rendezvousSelect}).
 */
public final class Gossip {
    /** Time between queries to the core, and to other proxies. */
    private static final long CORE_QUERY_INTERVAL_MS = 250;

    private static final long PEER_QUERY_INTERVAL_MS = 500;
    /** A query that is not answered in this time counts as a failure of its receiver. */
    private static final long QUERY_TIMEOUT_MS = 400;
    /** A core machine whose state is older than this counts as failing: another one may have it fresher. */
    private static final long MAX_STALENESS_MS = 900;
    /** A process that sent a query within this time is sent updates at once. */
    private static final long SUBSCRIPTION_MS = 1_500;

    private static final int PEER_COUNT = 3;
    /** Updates within this time of the last broadcast are collected and sent together at the next tick. */
    private static final long BATCH_WINDOW_MS = 40;

    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final Registry.Update NO_UPDATE = new Registry.Update(List.of(), false);

    /** Where messages go. */
    public interface Sender {
        void send(String to, GossipMessage message);
    }

    private record Query(String to, long at, boolean full) {}

    private final String self;
    private final boolean core;
    private List<String> seeds;
    private final Registry registry;
    private final Sender sender;
    private final Map<Long, Query> openQueries = new LinkedHashMap<>();
    private final Map<String, Long> subscribers = new HashMap<>();
    private final AcknowledgementTracker acknowledgements = new AcknowledgementTracker();
    /** Entries that wait for the next tick; the later of two about one key replaces the other. */
    private final Map<String, RegistryEntry> pendingEntries = new LinkedHashMap<>();

    private boolean statePending;
    /** Whether the pending state was published by this process. */
    private boolean publishes;
    /** Index of the state that was last broadcast. */
    private long broadcastIndex = -1;

    private final StateFetch fetches;
    private long broadcastAtMs = Long.MIN_VALUE / 2;
    /** Number of queries in a row that a core machine has not answered well. */
    private final Map<String, Integer> failureCounts = new HashMap<>();

    private long lastNonce;
    private long nextCoreQueryAtMs;
    private long nextPeerQueryAtMs;
    private int rotation;
    private boolean acknowledgesNothing;
    /** Ranked lists, kept until what they come from changes. */
    private List<String> rankedCores = List.of();

    /** The zone whose core machines are preferred; null for none. */
    private String zone;

    private long rankedCoresVersion = -1;
    private List<String> rankedPeers = List.of();
    private long rankedPeersVersion = -1;

    /** As below, with queries numbered from 1 on: for a process without an earlier incarnation. */
    public Gossip(String self, boolean core, List<String> seeds, Registry registry, Sender sender) {
        this(self, core, seeds, registry, sender, 0);
    }

    /**
     * Starts without knowledge.
     *
     * @param seeds internal addresses of core machines to begin with
     * @param firstNonce the number before that of the first query: a reply to a query of an earlier incarnation of this
     *     process must match none of this one, or old state would count as fresh
     */
    public Gossip(String self, boolean core, List<String> seeds, Registry registry, Sender sender, long firstNonce) {
        this.self = self;
        this.core = core;
        this.seeds = seeds;
        this.registry = registry;
        this.sender = sender;
        this.fetches = new StateFetch(registry.states(), firstNonce, sender);
        this.lastNonce = firstNonce;
    }

    /** A first nonce that no other incarnation is likely to be near, drawn by a seed. */
    public static long firstNonce(long seed) {
        return new SplittableRandom(seed).nextLong() >>> 2;
    }

    /** Other core machines to begin with. */
    public void setSeeds(List<String> changed) {
        seeds = changed;
        rankedCoresVersion = -1;
    }

    /** Prefers the core machines of a zone, so that updates cross between zones once, not for each proxy. */
    public void preferZone(String preferred) {
        zone = preferred;
        rankedCoresVersion = -1;
    }

    /** The core machines known, best first. */
    public List<String> cores() {
        long changes = registry.version(RegistryEntry.Subject.CORE);
        if (rankedCoresVersion != changes) {
            rankedCoresVersion = changes;
            List<String> ranked = new ArrayList<>(Registry.rendezvousSelect(self, knownCores(), Integer.MAX_VALUE));
            ranked.sort(Comparator.comparing(address -> !near(address)));
            rankedCores = List.copyOf(ranked);
        }
        if (failureCounts.values().stream().allMatch(p -> p == 0)) {
            return rankedCores;
        }
        List<String> best = new ArrayList<>(rankedCores);
        best.sort(Comparator.comparingInt(c -> failureCounts.getOrDefault(c, 0)));
        return best;
    }

    private boolean near(String address) {
        RegistryEntry entry = registry.entry(RegistryEntry.Subject.CORE, address);
        return zone != null && entry != null && CoreMachine.of(entry).zone().equals(zone);
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

    /** The other proxies that this process exchanges updates with. */
    public List<String> peers() {
        long changes = registry.version(RegistryEntry.Subject.PROXY);
        if (rankedPeersVersion != changes) {
            rankedPeersVersion = changes;
            rankedPeers = Registry.rendezvousSelect(self, registry.ready(RegistryEntry.Subject.PROXY), PEER_COUNT);
        }
        return rankedPeers;
    }

    /** To be called every 50 to 100 ms; {@code leader}: on a core machine the primary, if known and another one. */
    public void onTick(long now, String leader) {
        broadcastCollected(now);
        String unresponsive = fetches.onTick(now);
        if (unresponsive != null) {
            failureCounts.merge(unresponsive, 1, Integer::sum);
        }
        openQueries.entrySet().removeIf(e -> {
            boolean late = now - e.getValue().at() > QUERY_TIMEOUT_MS;
            if (late) {
                failureCounts.merge(e.getValue().to(), 1, Integer::sum);
            }
            return late;
        });
        acknowledgements
                .takeDueRetries(now, cores())
                .forEach(r -> sendForAcknowledgement(r.nonce(), r.entries(), r.to()));
        if (now >= nextCoreQueryAtMs) {
            nextCoreQueryAtMs = now + CORE_QUERY_INTERVAL_MS;
            List<String> cores = cores();
            if (leader != null) {
                query(now, leader, false);
            } else if (!cores.isEmpty()) {
                query(now, cores.get(0), false);
                // The first choice is still queried, and another one beside it: it may have recovered.
                if (failureCounts.getOrDefault(cores.get(0), 0) > 0 && cores.size() > 1) {
                    query(now, cores.get(1 + rotation++ % (cores.size() - 1)), false);
                }
            }
        }
        if (now >= nextPeerQueryAtMs) {
            nextPeerQueryAtMs = now + PEER_QUERY_INTERVAL_MS;
            List<String> peers = core ? cores() : peers();
            if (!peers.isEmpty()) {
                query(now, peers.get(rotation++ % peers.size()), false);
            }
            subscribers.values().removeIf(at -> now - at > SUBSCRIPTION_MS);
            if (failureCounts.size() > 0 && rotation % 8 == 0) {
                failureCounts.replaceAll((k, v) -> v / 2);
            }
        }
    }

    private void query(long now, String to, boolean full) {
        openQueries.put(++lastNonce, new Query(to, now, full));
        sender.send(to, registry.query(now, lastNonce, full));
    }

    /** A message came; what was new in it has been forwarded already. */
    public Registry.Update onGossip(long now, String from, GossipMessage in) {
        Registry.Update update =
                switch (in.kind()) {
                    case QUERY -> onQuery(now, from, in);
                    case REPLY -> onReply(now, from, in);
                    case FETCH -> onFetch(from, in);
                    case FETCH_REPLY -> onFetchReply(now, from, in);
                    default -> onUpdate(now, from, in);
                };
        if (!update.isEmpty()) {
            broadcast(now, update, from);
        }
        return update;
    }

    /** This process is about to end: it acknowledges no more entries. */
    public void stopAcknowledging() {
        acknowledgesNothing = true;
    }

    private Registry.Update onQuery(long now, String from, GossipMessage in) {
        subscribers.put(from, now);
        sender.send(from, registry.reply(now, in));
        return NO_UPDATE;
    }

    private Registry.Update onReply(long now, String from, GossipMessage in) {
        Query query = openQueries.get(in.nonce());
        if (query != null && query.to().equals(from)) {
            openQueries.remove(in.nonce());
        } else {
            query = null;
        }
        acknowledgements.onAcknowledgement(in.nonce(), from);
        if (query != null) {
            failureCounts.put(
                    from,
                    in.ageMs() < 0 || in.ageMs() > MAX_STALENESS_MS ? failureCounts.getOrDefault(from, 0) + 1 : 0);
        }
        Registry.Update update = registry.merge(now, in, query == null ? NEVER : query.at());
        if (query != null && in.buckets().length == Registry.BUCKETS) {
            if (query.full()) {
                sendLacking(from, in.buckets());
            } else {
                query(now, from, true);
            }
        }
        fetches.onIndex(now, from, in.stateIndex(), false);
        return update;
    }

    private Registry.Update onUpdate(long now, String from, GossipMessage in) {
        Registry.Update update = registry.merge(now, in, NEVER);
        if (in.nonce() != 0 && !acknowledgesNothing) {
            sender.send(from, GossipMessage.acknowledgement(in.nonce()));
        }
        fetches.onIndex(now, from, in.stateIndex(), !in.deltas().isEmpty());
        return update;
    }

    /** Sends the deltas from the requester's state to the one here, or a chunk of a snapshot where the deltas are not known. */
    private Registry.Update onFetch(String from, GossipMessage in) {
        StateFollower states = registry.states();
        boolean anyWill = in.chunk().index() == SnapshotChunk.ANY;
        List<StateDelta> steps = anyWill ? states.since(in.stateIndex()) : List.of();
        SnapshotChunk chunk = steps.isEmpty() ? states.chunk(in.stateIndex(), in.chunk()) : SnapshotChunk.NONE;
        sender.send(from, GossipMessage.fetchReply(in.nonce(), states.index(), steps, chunk));
        return NO_UPDATE;
    }

    private Registry.Update onFetchReply(long now, String from, GossipMessage in) {
        boolean newer = fetches.onFetchReply(now, from, in);
        return newer ? new Registry.Update(List.of(), true) : NO_UPDATE;
    }

    /** Sends the entries that the other process lacks, or has older. */
    private void sendLacking(String to, long[] buckets) {
        List<RegistryEntry> lacking = registry.differing(buckets);
        if (!lacking.isEmpty()) {
            sender.send(to, GossipMessage.update(0, registry.stateIndex(), lacking, List.of()));
        }
    }

    /** The processes that have sent queries of late: on a core machine the proxies that it serves. */
    public List<String> subscribers() {
        return List.copyOf(subscribers.keySet());
    }

    /** Broadcasts one entry, as {@link #broadcast(long, Registry.Update, String)} does. */
    public void broadcast(long now, RegistryEntry update) {
        broadcast(now, new Registry.Update(List.of(update), false), null);
    }

    /**
     * Broadcasts an update: a proxy to its peers, a core machine to its subscribers and to the other core machines. The first one
     * goes at once; those within {@link #BATCH_WINDOW_MS} go together, with the next one or at the next tick. A core machine
     * sends the deltas of the state; other processes only send its index, and a process that lacks it fetches it.
     */
    public void broadcast(long now, Registry.Update update, String except) {
        boolean alone = !isUpdatePending();
        update.entries().forEach(entry -> pendingEntries.put(entry.subject().ordinal() + entry.key(), entry));
        statePending |= update.state();
        if (now - broadcastAtMs >= BATCH_WINDOW_MS) {
            broadcastPending(now, alone ? except : null);
        }
    }

    private boolean isUpdatePending() {
        return statePending || !pendingEntries.isEmpty();
    }

    private void broadcastCollected(long now) {
        if (isUpdatePending() && now - broadcastAtMs >= BATCH_WINDOW_MS) {
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
        broadcastAtMs = now;
        Set<String> to = new LinkedHashSet<>(core ? subscribers.keySet() : peers());
        if (core) {
            to.addAll(cores());
        }
        List<StateDelta> steps = core && update.state() ? registry.states().since(broadcastIndex) : List.of();
        broadcastIndex = registry.stateIndex();
        GossipMessage index = GossipMessage.update(0, broadcastIndex, update.entries(), List.of());
        GossipMessage full = GossipMessage.update(0, broadcastIndex, update.entries(), steps);
        for (String other : to) {
            if (!other.equals(except) && !other.equals(self)) {
                sender.send(other, publishes || !cores().contains(other) ? full : index);
            }
        }
        publishes = false;
    }

    /** This process has published a new state: it is the only one that sends it to the other core machines. */
    public void onPublished(long now) {
        publishes = true;
        broadcast(now, new Registry.Update(List.of(), true), null);
    }

    /**
     * Broadcasts entries until enough other core machines have acknowledged them: then they outlive this process and others
     * with it. They are sent again to the other ones until then, or until {@link #cancelBroadcast}.
     *
     * @param wanted number of other core machines that must have them, at least one
     * @return the argument of {@link #cancelBroadcast}
     */
    public long broadcastUntilAcknowledged(long now, List<RegistryEntry> update, int wanted, Runnable onAcknowledged) {
        List<String> cores = cores();
        List<String> others = new ArrayList<>(subscribers.keySet());
        if (!core) {
            peers().stream().filter(p -> !others.contains(p)).forEach(others::add);
        }
        others.removeAll(cores);
        GossipMessage plain = GossipMessage.update(0, registry.stateIndex(), update, List.of());
        others.forEach(to -> sender.send(to, plain));
        long nonce = ++lastNonce;
        acknowledgements.track(now, nonce, wanted, cores, update, onAcknowledged);
        sendForAcknowledgement(nonce, update, cores);
        return nonce;
    }

    /** The acknowledgements of a broadcast are not needed any more. */
    public void cancelBroadcast(long receipt) {
        acknowledgements.cancel(receipt);
    }

    private void sendForAcknowledgement(long nonce, List<RegistryEntry> update, List<String> to) {
        GossipMessage asking = GossipMessage.update(nonce, registry.stateIndex(), update, List.of());
        to.forEach(c -> sender.send(c, asking));
    }
}
