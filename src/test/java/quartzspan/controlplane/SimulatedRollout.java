package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/**
 * Simulates, tick by tick, a rollout to servers that load for a given time, with target versions set at given
 * times.
 */
final class SimulatedRollout {
    static final long APPLY_MS = 10_000;
    private static final String MODEL = "m";
    private static final long TICK_MS = 50;

    private final RolloutPlanner planner = new RolloutPlanner(new WeightsDeadlines(APPLY_MS));
    private final NavigableMap<Long, Long> targetSetAtMs = new TreeMap<>();
    private final List<LoadingServer> servers = new ArrayList<>();
    private long nowMs;
    private int maxConcurrentLoads;
    private final Set<String> everOverdue = new TreeSet<>();

    /** A simulated server. */
    static final class LoadingServer {
        final String id;
        private final long loadMs;
        private long weights = 1;
        private long loadingVersion;
        private long loadedAtMs;

        LoadingServer(String id, long loadMs) {
            this.id = id;
            this.loadMs = loadMs;
        }

        /** Receives an order; a server that is executing another one rejects it. */
        private void order(long now, long version) {
            if (loadingVersion == 0) {
                loadingVersion = version;
                loadedAtMs = now + loadMs;
            }
        }

        private void onTick(long now) {
            if (loadingVersion > 0 && now >= loadedAtMs) {
                weights = loadingVersion;
                loadingVersion = 0;
            }
        }

        private Server registered() {
            return new Server(id, "s", "10.0.0.1:1", "z", MODEL, weights, 0, 1, RegistryEntry.State.READY);
        }
    }

    SimulatedRollout add(LoadingServer server) {
        servers.add(server);
        return this;
    }

    /** Sets a target version that is due {@link #APPLY_MS} later. */
    SimulatedRollout setTarget(long version) {
        targetSetAtMs.put(version, nowMs);
        return this;
    }

    /** Runs the simulation for some time. */
    SimulatedRollout run(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += TICK_MS) {
            servers.forEach(server -> server.onTick(nowMs));
            Map<String, Long> targets = Map.of(MODEL, targetSetAtMs.lastKey());
            List<Server> registered =
                    servers.stream().map(LoadingServer::registered).toList();
            for (RolloutPlanner.Order order : planner.dueOrders(nowMs, targets, registered)) {
                planner.onOrdered(nowMs, order);
                server(order.server().id()).order(nowMs, order.version());
            }
            servers.stream()
                    .filter(server -> server.loadingVersion > 0)
                    .forEach(server -> planner.onConfirmed(nowMs, server.id));
            int loading = (int)
                    servers.stream().filter(server -> server.loadingVersion > 0).count();
            maxConcurrentLoads = Math.max(maxConcurrentLoads, loading);
            everOverdue.addAll(overdue());
        }
        return this;
    }

    private LoadingServer server(String id) {
        return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
    }

    /** The largest number of servers that were loading at once. */
    int maxConcurrentLoads() {
        return maxConcurrentLoads;
    }

    /** The servers that were {@link #overdue} at any time. */
    Set<String> everOverdue() {
        return everOverdue;
    }

    /** Replaces a server by a new one that has the same weights. */
    void restart(int index) {
        LoadingServer stopped = servers.get(index);
        LoadingServer started = new LoadingServer(stopped.id + "'", stopped.loadMs);
        started.weights = stopped.weights;
        servers.set(index, started);
    }

    /**
     * The servers that begin requests on weights whose successor is overdue; a server that is executing an order
     * begins none.
     */
    List<String> overdue() {
        return servers.stream().filter(this::isOverdue).map(server -> server.id).toList();
    }

    private boolean isOverdue(LoadingServer server) {
        Map.Entry<Long, Long> earliestTarget = targetSetAtMs.higherEntry(server.weights);
        return server.loadingVersion == 0 && earliestTarget != null && nowMs - earliestTarget.getValue() > APPLY_MS;
    }
}
