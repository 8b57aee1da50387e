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
 * How what one process knows gets to the others, without clock or I/O: news go at once to a few, who pass on what was news to
 * them; questions that carry digests find what was missed; and answers say how fresh the control state is. Who "the few"
 * are, rendezvous hashing says ({@link Registry#few}).
 */
public final class Gossip {
    /** Time between questions to the core, and to other proxies. */
    private static final long CORE_MS = 250;

    private static final long PEER_MS = 500;
    /** A question not answered in this time counts against whom it was put to. */
    private static final long PATIENCE_MS = 400;
    /** State older than this at a core machine is not good enough where another may have it fresher. */
    private static final long STALE_MS = 900;
    /** Who asked within this time is sent news at once. */
    private static final long ASKED_MS = 1_500;

    private static final int PEERS = 3;
    /** News within this time of the last are collected and told together by the next tick. */
    private static final long COLLECT_MS = 40;

    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final Registry.News NO_NEWS = new Registry.News(List.of(), false);

    /** Where messages go. */
    public interface Out {
        void send(String to, GossipMessage message);
    }

    private record Asked(String to, long at, boolean full) {}

    private final String self;
    private final boolean core;
    private List<String> seeds;
    private final Registry registry;
    private final Out out;
    private final Map<Long, Asked> open = new LinkedHashMap<>();
    private final Map<String, Long> askers = new HashMap<>();
    private final ReceiptTracker receipts = new ReceiptTracker();
    /** News that wait for the next tick; the later of two about one key stands for both. */
    private final Map<String, RegistryEntry> untold = new LinkedHashMap<>();

    private boolean stateUntold;
    /** Whether the untold state was published by this process. */
    private boolean publishes;
    /** Index of the state that was last told. */
    private long indexTold = -1;

    private final StateFetch fetches;
    private long toldAt = Long.MIN_VALUE / 2;
    /** How often in a row a core machine left a question without a good answer. */
    private final Map<String, Integer> poor = new HashMap<>();

    private long lastNonce;
    private long coreAt;
    private long peerAt;
    private int turn;
    private boolean leaving;
    /** Ranked lists, kept until what they come from changes. */
    private List<String> rankedCores = List.of();

    private long coresAsOf = -1;
    private List<String> rankedPeers = List.of();
    private long peersAsOf = -1;

    /** As below, with questions numbered from 1 on: for a process that has no earlier life. */
    public Gossip(String self, boolean core, List<String> seeds, Registry registry, Out out) {
        this(self, core, seeds, registry, out, 0);
    }

    /**
     * Starts without knowledge.
     *
     * @param seeds internal addresses of core machines to begin with
     * @param firstNonce from where on questions are numbered: an answer to a question of an earlier life of this process
     *     must match none of this life, or old state would count as fresh
     */
    public Gossip(String self, boolean core, List<String> seeds, Registry registry, Out out, long firstNonce) {
        this.self = self;
        this.core = core;
        this.seeds = seeds;
        this.registry = registry;
        this.out = out;
        this.fetches = new StateFetch(registry.states(), firstNonce, out);
        this.lastNonce = firstNonce;
    }

    /** A first nonce that no other life is likely to be near, drawn by a seed. */
    public static long firstNonce(long seed) {
        return new SplittableRandom(seed).nextLong() >>> 2;
    }

    /** Other core machines to begin with. */
    public void seeds(List<String> changed) {
        seeds = changed;
        coresAsOf = -1;
    }

    /** The core machines known, best first. */
    public List<String> cores() {
        long changes = registry.changes(RegistryEntry.Subject.CORE);
        if (coresAsOf != changes) {
            coresAsOf = changes;
            rankedCores = Registry.few(self, knownCores(), Integer.MAX_VALUE);
        }
        if (poor.values().stream().allMatch(p -> p == 0)) {
            return rankedCores;
        }
        List<String> best = new ArrayList<>(rankedCores);
        best.sort(Comparator.comparingInt(c -> poor.getOrDefault(c, 0)));
        return best;
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

    /** The few other proxies that this process knows. */
    public List<String> peers() {
        long changes = registry.changes(RegistryEntry.Subject.PROXY);
        if (peersAsOf != changes) {
            peersAsOf = changes;
            rankedPeers = Registry.few(self, registry.ready(RegistryEntry.Subject.PROXY), PEERS);
        }
        return rankedPeers;
    }

    /** To be called every 50 to 100 ms; {@code leader}: on a core machine, who is primary, if known and not itself. */
    public void onTick(long now, String leader) {
        tellCollected(now);
        String mute = fetches.onTick(now);
        if (mute != null) {
            poor.merge(mute, 1, Integer::sum);
        }
        open.entrySet().removeIf(e -> {
            boolean late = now - e.getValue().at() > PATIENCE_MS;
            if (late) {
                poor.merge(e.getValue().to(), 1, Integer::sum);
            }
            return late;
        });
        receipts.due(now, cores()).forEach(r -> sendForReceipt(r.nonce(), r.news(), r.to()));
        if (now >= coreAt) {
            coreAt = now + CORE_MS;
            List<String> cores = cores();
            if (leader != null) {
                ask(now, leader, false);
            } else if (!cores.isEmpty()) {
                ask(now, cores.get(0), false);
                // The first choice again, now and then: it may be well again.
                if (poor.getOrDefault(cores.get(0), 0) > 0 && cores.size() > 1) {
                    ask(now, cores.get(1 + turn++ % (cores.size() - 1)), false);
                }
            }
        }
        if (now >= peerAt) {
            peerAt = now + PEER_MS;
            List<String> peers = core ? cores() : peers();
            if (!peers.isEmpty()) {
                ask(now, peers.get(turn++ % peers.size()), false);
            }
            askers.values().removeIf(at -> now - at > ASKED_MS);
            if (poor.size() > 0 && turn % 8 == 0) {
                poor.replaceAll((k, v) -> v / 2);
            }
        }
    }

    private void ask(long now, String to, boolean full) {
        open.put(++lastNonce, new Asked(to, now, full));
        out.send(to, registry.ask(now, lastNonce, full));
    }

    /** Something came; the news in it have been passed on already. */
    public Registry.News onGossip(long now, String from, GossipMessage in) {
        Registry.News news =
                switch (in.kind()) {
                    case ASK -> onAsk(now, from, in);
                    case ANSWER -> onAnswer(now, from, in);
                    case FETCH -> onFetch(from, in);
                    case FETCHED -> onFetched(now, from, in);
                    default -> onNews(now, from, in);
                };
        if (news.any()) {
            tell(now, news, from);
        }
        return news;
    }

    /** This process is about to end: it confirms no more that it holds anything. */
    public void leave() {
        leaving = true;
    }

    private Registry.News onAsk(long now, String from, GossipMessage in) {
        askers.put(from, now);
        out.send(from, registry.answer(now, in));
        return NO_NEWS;
    }

    private Registry.News onAnswer(long now, String from, GossipMessage in) {
        Asked asked = open.get(in.nonce());
        if (asked != null && asked.to().equals(from)) {
            open.remove(in.nonce());
        } else {
            asked = null;
        }
        receipts.acknowledged(in.nonce(), from);
        if (asked != null) {
            poor.put(from, in.ageMs() < 0 || in.ageMs() > STALE_MS ? poor.getOrDefault(from, 0) + 1 : 0);
        }
        Registry.News news = registry.take(now, in, asked == null ? NEVER : asked.at());
        if (asked != null && in.buckets().length == Registry.BUCKETS) {
            if (asked.full()) {
                sendLacking(from, in.buckets());
            } else {
                ask(now, from, true);
            }
        }
        fetches.onIndex(now, from, in.stateIndex(), false);
        return news;
    }

    private Registry.News onNews(long now, String from, GossipMessage in) {
        Registry.News news = registry.take(now, in, NEVER);
        if (in.nonce() != 0 && !leaving) {
            out.send(from, GossipMessage.receipt(in.nonce()));
        }
        fetches.onIndex(now, from, in.stateIndex(), !in.deltas().isEmpty());
        return news;
    }

    /** Tells the steps from the asker's state to the one held, or a part of a snapshot where the steps are not known. */
    private Registry.News onFetch(String from, GossipMessage in) {
        StateFollower states = registry.states();
        boolean anyWill = in.chunk().index() == SnapshotChunk.ANY;
        List<StateDelta> steps = anyWill ? states.since(in.stateIndex()) : List.of();
        SnapshotChunk chunk = steps.isEmpty() ? states.chunk(in.stateIndex(), in.chunk()) : SnapshotChunk.NONE;
        out.send(from, GossipMessage.fetched(in.nonce(), states.index(), steps, chunk));
        return NO_NEWS;
    }

    private Registry.News onFetched(long now, String from, GossipMessage in) {
        boolean newer = fetches.onFetched(now, from, in);
        return newer ? new Registry.News(List.of(), true) : NO_NEWS;
    }

    /** What the one who answered does not have, or has older. */
    private void sendLacking(String to, long[] buckets) {
        List<RegistryEntry> lacking = registry.differing(buckets);
        if (!lacking.isEmpty()) {
            out.send(to, GossipMessage.news(0, registry.stateIndex(), lacking, List.of()));
        }
    }

    /** Who asked of late: on a core machine the proxies that it serves. */
    public List<String> askers() {
        return List.copyOf(askers.keySet());
    }

    /** Passes one entry on, as {@link #tell(long, Registry.News, String)} does. */
    public void tell(long now, RegistryEntry news) {
        tell(now, new Registry.News(List.of(news), false), null);
    }

    /**
     * Passes news on: a proxy to the few it knows, a core machine to who asked it of late and to the rest of the core. The
     * first goes at once; what follows within {@link #COLLECT_MS} goes together. Of the state a core machine tells the steps;
     * others only say which they hold, and who still lacks it then fetches it.
     */
    public void tell(long now, Registry.News news, String not) {
        if (now - toldAt < COLLECT_MS) {
            news.entries().forEach(entry -> untold.put(entry.subject().ordinal() + entry.key(), entry));
            stateUntold |= news.state();
            return;
        }
        tellAtOnce(now, news, not);
    }

    private void tellCollected(long now) {
        if (untold.isEmpty() && !stateUntold || now - toldAt < COLLECT_MS) {
            return;
        }
        Registry.News news = new Registry.News(List.copyOf(untold.values()), stateUntold);
        untold.clear();
        stateUntold = false;
        tellAtOnce(now, news, null);
    }

    private void tellAtOnce(long now, Registry.News news, String not) {
        toldAt = now;
        Set<String> to = new LinkedHashSet<>(core ? askers.keySet() : peers());
        if (core) {
            to.addAll(cores());
        }
        List<StateDelta> steps = core && news.state() ? registry.states().since(indexTold) : List.of();
        indexTold = registry.stateIndex();
        GossipMessage index = GossipMessage.news(0, indexTold, news.entries(), List.of());
        GossipMessage whole = GossipMessage.news(0, indexTold, news.entries(), steps);
        for (String other : to) {
            if (!other.equals(not) && !other.equals(self)) {
                out.send(other, publishes || !cores().contains(other) ? whole : index);
            }
        }
        publishes = false;
    }

    /** A new state was published by this process: the rest of the core has it from nobody else. */
    public void published(long now) {
        publishes = true;
        tell(now, new Registry.News(List.of(), true), null);
    }

    /**
     * Tells news, and says when enough other core machines hold them: then they outlive this process and others with it.
     * Whoever has not answered is told again until then, or until {@link #cancelReceipt}.
     *
     * @param wanted how many others must hold them, at least one
     * @return what to give to {@link #cancelReceipt}
     */
    public long tellSurely(long now, List<RegistryEntry> news, int wanted, Runnable known) {
        List<String> cores = cores();
        List<String> others = new ArrayList<>(askers.keySet());
        if (!core) {
            peers().stream().filter(p -> !others.contains(p)).forEach(others::add);
        }
        others.removeAll(cores);
        GossipMessage plain = GossipMessage.news(0, registry.stateIndex(), news, List.of());
        others.forEach(to -> out.send(to, plain));
        long nonce = ++lastNonce;
        receipts.open(now, nonce, wanted, cores, news, known);
        sendForReceipt(nonce, news, cores);
        return nonce;
    }

    /** Nobody waits for these news to be held by others any more. */
    public void cancelReceipt(long receipt) {
        receipts.cancel(receipt);
    }

    private void sendForReceipt(long nonce, List<RegistryEntry> news, List<String> to) {
        GossipMessage asking = GossipMessage.news(nonce, registry.stateIndex(), news, List.of());
        to.forEach(c -> out.send(c, asking));
    }
}
