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
 * Placement of requests on servers that run batches and cache prompts: ring hash as in gRFC A76, one ring for each service.
 * It has no clock, thread or I/O; times are microseconds.
 *
 * <p>A server's ring points come from its instance id. A request with a key goes to the first usable owner from the hash of
 * its key on: listed as ready, not ejected, not recently full, and within its load bound. A request without a key starts at a
 * random hash: the first usable server takes it if it is connected or no other connection is being opened, else the first
 * usable server that is connected.
 */
public final class PrefixAwarePlacement {
    /** Bounded load: multiple of its fair share of the outstanding work that a server may have. */
    private static final double LOAD_BOUND = 1.35;
    /** Least number of cached tokens to transfer: fewer are computed as fast. */
    private static final long MIN_TRANSFER_TOKENS = 100;
    /** Number of keys for which the server that ran them last is kept. */
    private static final int MAX_TRACKED_KEYS = 8_192;

    private final SplittableRandom random;
    private final ServerConnections connections;
    private final Map<String, PlacementServer> servers = new HashMap<>();
    private final Map<String, ServiceRing> rings = new HashMap<>();
    private final Map<String, String> lastServerOfKey = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_TRACKED_KEYS;
        }
    };
    private int walkCount;
    /** The server to which a connection is being opened, or null. */
    private PlacementServer connecting;

    public PrefixAwarePlacement(long seed, ServerConnections connections) {
        this.random = new SplittableRandom(seed);
        this.connections = connections;
    }

    /**
     * Adds a server or updates its listed state. A new incarnation of a server has a new id.
     *
     * @param loading whether it is loading weights and runs no requests meanwhile
     */
    public void onListed(long now, String id, String service, boolean ready, boolean loading) {
        PlacementServer server = servers.get(id);
        if (server == null) {
            server = new PlacementServer(id, service, now);
            servers.put(id, server);
            rings.computeIfAbsent(service, s -> new ServiceRing()).add(server);
        }
        server.onListed(ready, loading);
    }

    /** From this time on a server gets requests only if no other server can take them. */
    public void onUsableUntil(String id, long us) {
        PlacementServer server = servers.get(id);
        if (server != null) {
            server.onUsableUntil(us);
        }
    }

    /** Removes a server. */
    public void onGone(String id) {
        PlacementServer server = servers.remove(id);
        if (server != null) {
            rings.get(server.service()).remove(server);
            onConnected(server);
        }
    }

    private void onConnected(PlacementServer server) {
        connecting = connecting == server ? null : connecting;
    }

    /** Selects the server for a request, none of those already tried; null if there is none. */
    public String pick(long now, PlacementRequest request, Set<String> tried) {
        ServiceRing ring = rings.get(request.service());
        if (ring == null || ring.isEmpty()) {
            return null;
        }
        long hash = request.key() != null ? Ring.HASH.hashCharsToLong(request.key()) : random.nextLong();
        List<PlacementServer> usable = new ArrayList<>();
        PlacementServer lastResort = null;
        for (PlacementServer server : ring.walk(hash, ++walkCount)) {
            if (!server.isReady() || tried.contains(server.id()) || !connections.isReachable(server.id())) {
                continue;
            }
            if (!server.isLastResort(now)) {
                usable.add(server);
            } else if (lastResort == null) {
                lastResort = server;
            }
        }
        PlacementServer picked = usable.isEmpty() ? lastResort : pickUsable(now, request, ring, usable);
        return picked == null ? null : reserveConnection(picked);
    }

    /**
     * The first server within the load bound that, for a request without a key, is connected or may be connected to now; else
     * the first within the bound; else the one with the least work.
     */
    private PlacementServer pickUsable(
            long now, PlacementRequest request, ServiceRing ring, List<PlacementServer> usable) {
        double bound = LOAD_BOUND * (ring.outstandingWork() + request.work()) / usable.size();
        PlacementServer unconnected = null;
        for (PlacementServer server : usable) {
            double work = server.outstandingWork();
            boolean hasRoom = work == 0 || work + request.work() <= bound;
            if (!hasRoom || server.isFull(now)) {
                continue;
            }
            boolean mayConnect = connecting == null || connecting == server;
            if (request.key() != null || mayConnect || connections.isConnected(server.id())) {
                return server;
            }
            unconnected = unconnected == null ? server : unconnected;
        }
        return unconnected != null ? unconnected : leastLoaded(usable);
    }

    private static PlacementServer leastLoaded(List<PlacementServer> usable) {
        PlacementServer least = usable.get(0);
        for (PlacementServer server : usable) {
            least = server.outstandingWork() < least.outstandingWork() ? server : least;
        }
        return least;
    }

    private String reserveConnection(PlacementServer server) {
        if (connecting == null && !connections.isConnected(server.id())) {
            connecting = server;
        }
        return server.id();
    }

    /** A request was sent to a server. */
    public void onSent(String server, PlacementRequest request) {
        addWork(server, request.work());
        if (request.key() != null) {
            lastServerOfKey.put(request.key(), server);
        }
    }

    private void addWork(String id, double work) {
        PlacementServer server = servers.get(id);
        if (server != null) {
            server.addWork(work);
            rings.get(server.service()).addWork(work);
        }
    }

    /** A response has begun: the connection is established. */
    public void onResponseStarted(String id) {
        PlacementServer server = servers.get(id);
        if (server != null) {
            onConnected(server);
            server.onSuccess();
        }
    }

    /** An attempt at a server has ended. */
    public void onEnded(long now, String id, PlacementRequest request, Outcome outcome) {
        addWork(id, -request.work());
        PlacementServer server = servers.get(id);
        if (server == null) {
            return;
        }
        onConnected(server);
        switch (outcome) {
            case OK -> server.onSuccess();
            case QUEUE_FULL -> server.onFull(now);
            case CONNECT_ERROR, RESET, FAILED -> server.onFailure(now, outcome);
            default -> {}
        }
    }

    /** Another server responded at this server's address: this one has stopped, even if it is still listed. */
    public void onMisdirected(long now, String id) {
        PlacementServer server = servers.get(id);
        if (server != null) {
            server.onMisdirected(now);
        }
    }

    /**
     * The server from which another fetches the cached part of a prompt that it lacks: by the index the one with the most cached
     * tokens; if the index has none, the one most likely to have cached it. Call before {@link #onSent}. Null if there is none
     * or if computing is as fast.
     */
    public String prefixSource(long now, PlacementRequest request, String server, CachedTokens cached) {
        ServiceRing ring = rings.get(request.service());
        if (request.key() == null || ring == null) {
            return null;
        }
        long cachedHere = cached.onServer(server);
        PlacementServer indexed = indexedSource(now, request, server, cached, cachedHere);
        if (indexed != null) {
            return indexed.id();
        }
        PlacementServer likely = cachedHere > 0 ? null : likelySource(now, request, server, ring);
        return likely == null ? null : likely.id();
    }

    private PlacementServer indexedSource(
            long now, PlacementRequest request, String server, CachedTokens cached, long cachedHere) {
        long mostTokens = cachedHere + MIN_TRANSFER_TOKENS;
        PlacementServer best = null;
        for (PlacementServer other : servers.values()) {
            if (!other.service().equals(request.service()) || other.id().equals(server) || other.isEjected(now)) {
                continue;
            }
            long tokens = cached.onServer(other.id());
            boolean lessLoaded =
                    tokens == mostTokens && best != null && other.outstandingWork() < best.outstandingWork();
            if (tokens > mostTokens || lessLoaded) {
                mostTokens = tokens;
                best = other;
            }
        }
        return best;
    }

    /** The key's owner, the server that ran the key last, or the next owner if the owner was listed recently. */
    private PlacementServer likelySource(long now, PlacementRequest request, String server, ServiceRing ring) {
        List<PlacementServer> owners = ring.walk(Ring.HASH.hashCharsToLong(request.key()), ++walkCount).stream()
                .filter(owner -> !owner.isEjected(now))
                .limit(2)
                .toList();
        if (owners.isEmpty()) {
            return null;
        }
        PlacementServer owner = owners.get(0);
        boolean isOwner = owner.id().equals(server);
        if (!isOwner && !owner.isRecentlyListed(now)) {
            return owner;
        }
        PlacementServer last = servers.get(lastServerOfKey.getOrDefault(request.key(), server));
        if (last != null && !last.id().equals(server) && !last.isEjected(now)) {
            return last;
        }
        if (!isOwner) {
            return owner;
        }
        return owners.size() > 1 && owner.isRecentlyListed(now) ? owners.get(1) : null;
    }
}
