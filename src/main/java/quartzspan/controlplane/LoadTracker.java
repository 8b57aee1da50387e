package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.registry.Server;

/** The loads of weights that servers were ordered to begin and have not finished. No clock, no I/O. */
final class LoadTracker {
    /** Without a sign of a load for so long the order counts as lost. */
    static final long RETRY_INTERVAL_MS = 2_500;

    private static final long REFUSED_RETRY_INTERVAL_MS = 400;
    /** What a server reports may be older than an order that it has taken since. */
    private static final long REPORT_LAG_MS = 1_200;

    /**
     * A load.
     *
     * @param orderedAtMs when it was ordered last
     * @param retryAtMs when it counts as lost, unless there is another sign of it
     * @param refused whether the server did not take the order: it serves on
     */
    private record Load(long version, long firstOrderedAtMs, long orderedAtMs, long retryAtMs, boolean refused) {}

    /** A load that has ended, {@code durationMs} after its first order. */
    record FinishedLoad(Server server, long durationMs) {}

    private final Map<String, Load> loads = new HashMap<>();
    private final List<FinishedLoad> finished = new ArrayList<>();

    void onOrdered(long now, String server, long version) {
        Load previous = loads.get(server);
        long firstOrderedAtMs = previous == null ? now : previous.firstOrderedAtMs();
        loads.put(server, new Load(version, firstOrderedAtMs, now, now + RETRY_INTERVAL_MS, false));
    }

    /** The server has said that it is loading. */
    void onConfirmed(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(), load.firstOrderedAtMs(), load.orderedAtMs(), now + RETRY_INTERVAL_MS, false));
    }

    /** The server did not take the order. */
    void onRefused(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(),
                        load.firstOrderedAtMs(),
                        load.orderedAtMs(),
                        now + REFUSED_RETRY_INTERVAL_MS,
                        true));
    }

    /** The server has reported that it is not loading: if that is not older than the order, the order was lost. */
    void onIdle(long now, String server) {
        Load load = loads.get(server);
        if (load != null && now - load.orderedAtMs() >= REPORT_LAG_MS && now < load.retryAtMs()) {
            loads.put(server, new Load(load.version(), load.firstOrderedAtMs(), load.orderedAtMs(), now, true));
        }
    }

    /** Takes note of the weights that servers have. */
    void onWeights(long now, List<Server> servers) {
        for (Server server : servers) {
            Load load = loads.get(server.id());
            if (load != null && server.weights() >= load.version()) {
                loads.remove(server.id());
                finished.add(new FinishedLoad(server, now - load.firstOrderedAtMs()));
            }
        }
    }

    /** Whether a server is loading, or may be. */
    boolean isLoading(long now, String server) {
        Load load = loads.get(server);
        return load != null && !load.refused() && now < load.retryAtMs();
    }

    /** Whether a server may be ordered. */
    boolean mayOrder(long now, String server) {
        Load load = loads.get(server);
        return load == null || now >= load.retryAtMs();
    }

    /** The servers that are loading, or may be. */
    List<String> loadingServers(long now) {
        return loads.keySet().stream().filter(server -> isLoading(now, server)).toList();
    }

    /** The loads that have ended since the last call. */
    List<FinishedLoad> takeFinished() {
        List<FinishedLoad> taken = List.copyOf(finished);
        finished.clear();
        return taken;
    }

    /** Forgets the loads of servers that are gone. */
    void retainServers(List<String> servers) {
        loads.keySet().retainAll(servers);
    }
}
