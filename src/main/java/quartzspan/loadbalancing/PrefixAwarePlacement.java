package quartzspan.loadbalancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/**
 * Where a proxy of the fleet sends each request: ring hash as in gRPC A76, one ring for each service, for servers that run
 * batches and keep prompts. Like all of the module it has no clock, thread or I/O; times are microseconds.
 *
 * <p>A server's ring points come from its instance id. A keyed request goes to the next usable owner from its key's hash on:
 * listed as ready, not failing, not full of late, and not beyond its bounded part of the work that is out. A keyless request
 * walks from a random hash: a usable server without a connection takes it if it comes before any connected one and no
 * connection is being opened, else the first usable connected one does.
 */
public final class PrefixAwarePlacement {
    /** Ring points of a server. */
    private static final int POINTS = 120;
    /** Bounded load: a server may have this multiple of its fair part of the work that is out. */
    private static final double BOUND = 1.35;
    /** A server younger than this may lack what the next owner kept in its place. */
    private static final long YOUNG_US = 12_000_000;
    /** Tokens that are worth a move: fewer are read as fast. */
    private static final long WORTH_MOVING = 100;
    /** Keys of which is remembered who ran them last. */
    private static final int MOST_KEYS = 8_192;
    /** Failed connections or answers in a row that make a server failing, and for how long at first and at most. */
    private static final int FAILURES = 2;

    private static final long ASIDE_US = 700_000;
    private static final long LONGEST_ASIDE_US = 6_000_000;
    /** How long a server that was full is passed over. */
    private static final long FULL_US = 150_000;
    /** Share of the retry budget that is used: what others count, and when, differs a little. */
    private static final double BUDGET_PART = 0.7;
    /** Work of a token written against one read. */
    private static final double WRITTEN = 10;

    /**
     * A request to be placed.
     *
     * @param key what it is about, or null
     * @param tokensIn tokens of its prompt, and {@code tokensOut} the most it may write
     */
    public record Job(String service, String key, long tokensIn, long tokensOut) {
        double work() {
            return 200 + tokensIn + WRITTEN * tokensOut;
        }
    }

    /** What the index of kept prompts says of a request. */
    public interface Kept {
        /** Tokens of its prompt that a server keeps, under the weights and wall at hand. */
        long tokens(String server);
    }

    /** What the proxy knows of its connections. */
    public interface Connections {
        boolean connected(String server);

        boolean reachable(String server);
    }

    private static final class Node {
        final String id;
        final String service;
        boolean ready;
        boolean busy;
        int failures;
        long asideUntil;
        long asideFor = ASIDE_US;
        long fullUntil;
        double out;
        int seen;
        long since;

        Node(String id, String service) {
            this.id = id;
            this.service = service;
        }
    }

    private static final class Group {
        final Ring<Node> ring = new Ring<>();
        int listed;
        double out;
    }

    private final SplittableRandom random;
    private final Connections connections;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private int walk;
    private Node opening;
    private double tokens;
    private final Map<String, String> lastOf = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_KEYS;
        }
    };

    public PrefixAwarePlacement(long seed, Connections connections) {
        this.random = new SplittableRandom(seed);
        this.connections = connections;
    }

    // ---- servers -------------------------------------------------------------------------------------

    /** A server as last heard of, and whether it is busy with other than requests; a new life of one has a new id. */
    public void listed(long now, String id, String service, boolean ready, boolean busy) {
        Node n = nodes.get(id);
        if (n == null) {
            n = new Node(id, service);
            n.since = now;
            nodes.put(id, n);
            Group g = groups.computeIfAbsent(service, s -> new Group());
            g.ring.add(n, Ring.points(Ring.HASH.hashCharsToLong(id), POINTS));
            g.ring.merge();
            g.listed++;
        }
        if (ready && !n.ready) {
            n.failures = 0;
            n.asideUntil = 0;
        }
        n.ready = ready;
        n.busy = busy;
    }

    /** A server that is no more. */
    public void gone(String id) {
        Node n = nodes.remove(id);
        if (n != null) {
            Group g = groups.get(n.service);
            g.ring.remove(n);
            g.ring.merge();
            g.listed--;
            g.out -= n.out;
            n.ready = false;
            opening = opening == n ? null : opening;
        }
    }

    /** Whether any server of a service is listed as ready. */
    public boolean serves(String service) {
        return nodes.values().stream().anyMatch(n -> n.service.equals(service) && n.ready);
    }

    // ---- requests ------------------------------------------------------------------------------------

    /** A request came: it earns part of a repeat. {@code proxies} share what may be repeated. */
    public void came(double ratio, double allowance, int proxies) {
        tokens = Math.min(BUDGET_PART * allowance / Math.max(1, proxies), tokens + BUDGET_PART * ratio);
    }

    /** Takes one repeat from the budget, if there is one. */
    public boolean mayRepeat() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** The server that is to run a request; null if none can. Not one of those tried. */
    public String pick(long now, Job job, Set<String> tried) {
        Group g = groups.get(job.service());
        if (g == null || g.listed == 0) {
            return null;
        }
        walk++;
        long hash = job.key() != null ? Ring.HASH.hashCharsToLong(job.key()) : random.nextLong();
        int from = g.ring.first(hash);
        int left = g.listed;
        Node least = null;
        Node failing = null;
        List<Node> usable = new ArrayList<>(left);
        for (int k = 0; k < g.ring.size() && left > 0; k++) {
            Node n = g.ring.owner(from + k);
            if (n.seen == walk) {
                continue;
            }
            n.seen = walk;
            left--;
            if (!n.ready || tried.contains(n.id) || !connections.reachable(n.id)) {
                continue;
            }
            if (now < n.asideUntil || n.busy) {
                failing = failing == null ? n : failing;
                continue;
            }
            usable.add(n);
            least = least == null || n.out < least.out ? n : least;
        }
        double bound = BOUND * (g.out + job.work()) / Math.max(1, usable.size());
        Node spare = null;
        for (Node n : usable) {
            boolean fits = n.out == 0 || n.out + job.work() <= bound;
            if (!fits || now < n.fullUntil) {
                continue;
            }
            boolean connected = connections.connected(n.id);
            if (job.key() != null || connected || opening == null || opening == n) {
                return chosen(n, connected);
            }
            spare = spare == null ? n : spare;
        }
        Node n = spare != null ? spare : least != null ? least : failing;
        return n == null ? null : chosen(n, connections.connected(n.id));
    }

    private String chosen(Node n, boolean connected) {
        if (!connected && opening == null) {
            opening = n;
        }
        return n.id;
    }

    /** A request goes to a server. */
    public void sent(String server, Job job) {
        add(server, job.work());
        if (job.key() != null) {
            lastOf.put(job.key(), server);
        }
    }

    /**
     * The server from which another is to fetch what it lacks of a prompt: who keeps the most by the index; where the index
     * knows of nobody, who most likely does: the key's owner, or who ran the key last, or the next owner as long as the
     * owner is new. To be asked before {@link #sent}. Null if there is none, or reading anew is as well.
     */
    public String source(long now, Job job, String server, Kept kept) {
        Group g = groups.get(job.service());
        if (job.key() == null || g == null) {
            return null;
        }
        long most = kept.tokens(server) + WORTH_MOVING;
        Node best = null;
        for (Node n : nodes.values()) {
            if (n.service.equals(job.service()) && !n.id.equals(server) && now >= n.asideUntil) {
                long has = kept.tokens(n.id);
                if (has > most || has == most && best != null && n.out < best.out) {
                    most = has;
                    best = n;
                }
            }
        }
        if (best != null) {
            return best.id;
        }
        if (most > WORTH_MOVING) {
            return null;
        }
        int from = g.ring.first(Ring.HASH.hashCharsToLong(job.key()));
        Node owner = null;
        Node next = null;
        for (int k = 0; k < g.ring.size() && next == null; k++) {
            Node n = g.ring.owner(from + k);
            if (now < n.asideUntil || n == owner) {
                continue;
            }
            next = owner == null ? null : n;
            owner = owner == null ? n : owner;
        }
        if (owner == null || !owner.id.equals(server) && now - owner.since > YOUNG_US) {
            return owner == null ? null : owner.id;
        }
        Node last = nodes.get(lastOf.getOrDefault(job.key(), server));
        if (last != null && !last.id.equals(server) && now >= last.asideUntil) {
            return last.id;
        }
        return !owner.id.equals(server) ? owner.id : next != null && now - owner.since < YOUNG_US ? next.id : null;
    }

    private void add(String server, double work) {
        Node n = nodes.get(server);
        if (n != null) {
            n.out = Math.max(0, n.out + work);
            Group g = groups.get(n.service);
            g.out = Math.max(0, g.out + work);
        }
    }

    /** The first of an answer came, or a connection is up: it isn't being opened any more. */
    public void answering(String server) {
        Node n = nodes.get(server);
        if (n != null) {
            opening = opening == n ? null : opening;
            n.failures = 0;
            n.asideFor = ASIDE_US;
        }
    }

    /** What was sent to a server has ended. */
    public void ended(long now, String server, Job job, Outcome outcome) {
        add(server, -job.work());
        Node n = nodes.get(server);
        if (n == null) {
            return;
        }
        opening = opening == n ? null : opening;
        switch (outcome) {
            case OK -> answering(server);
            case QUEUE_FULL -> n.fullUntil = now + FULL_US;
            case CONNECT_ERROR, RESET, FAILED -> {
                if (++n.failures >= FAILURES || outcome == Outcome.CONNECT_ERROR) {
                    n.asideUntil = now + n.asideFor;
                    n.asideFor = Math.min(LONGEST_ASIDE_US, 2 * n.asideFor);
                }
            }
            default -> {}
        }
    }

    /** A server's address answers as somebody else: it is gone, whatever the list says. */
    public void moved(long now, String server) {
        Node n = nodes.get(server);
        if (n != null) {
            n.asideUntil = now + LONGEST_ASIDE_US;
        }
    }
}
