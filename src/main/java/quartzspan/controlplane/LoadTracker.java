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
     * @param orderedAt when it was ordered last
     * @param retryAt when it counts as lost, unless there is another sign of it
     * @param refused whether the server did not take the order: it serves on
     */
    private record Load(long version, long firstOrderedAt, long orderedAt, long retryAt, boolean refused) {}

    /** A load that has ended, {@code tookMs} after its first order. */
    record Finished(Server server, long tookMs) {}

    private final Map<String, Load> loads = new HashMap<>();
    private final List<Finished> finished = new ArrayList<>();

    void ordered(long now, String server, long version) {
        Load before = loads.get(server);
        long first = before == null ? now : before.firstOrderedAt();
        loads.put(server, new Load(version, first, now, now + RETRY_INTERVAL_MS, false));
    }

    /** The server has said that it is loading. */
    void confirmed(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(), load.firstOrderedAt(), load.orderedAt(), now + RETRY_INTERVAL_MS, false));
    }

    /** The server did not take the order. */
    void refused(long now, String server) {
        loads.computeIfPresent(
                server,
                (id, load) -> new Load(
                        load.version(),
                        load.firstOrderedAt(),
                        load.orderedAt(),
                        now + REFUSED_RETRY_INTERVAL_MS,
                        true));
    }

    /** The server has reported that it is not loading: if that is not older than the order, the order was lost. */
    void idle(long now, String server) {
        Load load = loads.get(server);
        if (load != null && now - load.orderedAt() >= REPORT_LAG_MS && now < load.retryAt()) {
            loads.put(server, new Load(load.version(), load.firstOrderedAt(), load.orderedAt(), now, true));
        }
    }

    /** Takes note of the weights that servers have. */
    void update(long now, List<Server> servers) {
        for (Server server : servers) {
            Load load = loads.get(server.id());
            if (load != null && server.weightsVersion() >= load.version()) {
                loads.remove(server.id());
                finished.add(new Finished(server, now - load.firstOrderedAt()));
            }
        }
    }

    /** Whether a server is loading, or may be. */
    boolean isLoading(long now, String server) {
        Load load = loads.get(server);
        return load != null && !load.refused() && now < load.retryAt();
    }

    /** Whether a server may be ordered. */
    boolean mayOrder(long now, String server) {
        Load load = loads.get(server);
        return load == null || now >= load.retryAt();
    }

    /** The servers that are loading, or may be. */
    List<String> loading(long now) {
        return loads.keySet().stream().filter(server -> isLoading(now, server)).toList();
    }

    /** The loads that have ended since the last call. */
    List<Finished> takeFinished() {
        List<Finished> taken = List.copyOf(finished);
        finished.clear();
        return taken;
    }

    /** Forgets the loads of servers that are gone. */
    void retain(List<String> servers) {
        loads.keySet().retainAll(servers);
    }
}
