package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.registry.Server;

/** Tracks the loads of weights that servers were ordered to begin and have not finished. No clock, no I/O. */
final class LoadTracker {
    /** An order counts as lost if its load is not confirmed for this long. */
    static final long RETRY_INTERVAL_MS = 2_500;

    private static final long REJECTED_RETRY_INTERVAL_MS = 400;
    /** A report may predate an order that the server has accepted since, if it arrives within this time of the order. */
    private static final long REPORT_LAG_MS = 1_200;

    /**
     * A load.
     *
     * @param orderedAtMs when it was last ordered
     * @param retryAtMs when the order counts as lost, unless the load is confirmed before
     * @param rejected whether the server did not accept the order, and so keeps serving
     */
    private record Load(long version, long firstOrderedAtMs, long orderedAtMs, long retryAtMs, boolean rejected) {}

    /** A load that has finished, {@code durationMs} after its first order. */
    record FinishedLoad(Server server, long durationMs) {}

    private final Map<String, Load> loads = new HashMap<>();
    private final List<FinishedLoad> finished = new ArrayList<>();

    void onOrdered(long now, String server, long version) {
        Load previous = loads.get(server);
        long firstOrderedAtMs = previous == null ? now : previous.firstOrderedAtMs();
        loads.put(server, new Load(version, firstOrderedAtMs, now, now + RETRY_INTERVAL_MS, false));
    }

    /** The server has reported that it is loading. */
    void onConfirmed(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(), load.firstOrderedAtMs(), load.orderedAtMs(), now + RETRY_INTERVAL_MS, false));
    }

    /** The server did not accept the order. */
    void onRejected(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(),
                        load.firstOrderedAtMs(),
                        load.orderedAtMs(),
                        now + REJECTED_RETRY_INTERVAL_MS,
                        true));
    }

    /** The server has reported that it is not loading: unless the report may predate the order, the order was lost. */
    void onIdle(long now, String server) {
        Load load = loads.get(server);
        if (load != null && now - load.orderedAtMs() >= REPORT_LAG_MS && now < load.retryAtMs()) {
            loads.put(server, new Load(load.version(), load.firstOrderedAtMs(), load.orderedAtMs(), now, true));
        }
    }

    /** Finishes the loads of servers that have the ordered version or a later one. */
    void onWeights(long now, List<Server> servers) {
        for (Server server : servers) {
            Load load = loads.get(server.id());
            if (load != null && server.weightsVersion() >= load.version()) {
                loads.remove(server.id());
                finished.add(new FinishedLoad(server, now - load.firstOrderedAtMs()));
            }
        }
    }

    /** Whether a server is loading, or may be. */
    boolean isLoading(long now, String server) {
        Load load = loads.get(server);
        return load != null && !load.rejected() && now < load.retryAtMs();
    }

    /** Whether a server may be sent an order. */
    boolean mayOrder(long now, String server) {
        Load load = loads.get(server);
        return load == null || now >= load.retryAtMs();
    }

    /** The servers that are loading, or may be. */
    List<String> loadingServers(long now) {
        return loads.keySet().stream().filter(server -> isLoading(now, server)).toList();
    }

    /** The loads that have finished since the last call. */
    List<FinishedLoad> takeFinished() {
        List<FinishedLoad> taken = List.copyOf(finished);
        finished.clear();
        return taken;
    }

    /** Drops the loads of all but these servers. */
    void retainServers(List<String> servers) {
        loads.keySet().retainAll(servers);
    }
}
