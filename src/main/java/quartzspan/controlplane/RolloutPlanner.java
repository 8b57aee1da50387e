package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/**
 * Brings servers to the weights that were named: the wanted state is the control state's, what is, the servers say; this
 * works out whom to order next. One machine does it, the primary, and only after the one before has surely stopped. No
 * clock, no I/O; times are milliseconds of a steady clock.
 */
final class RolloutPlanner {
    /** An order that was not answered or not seen to take effect is given anew after this. */
    private static final long RETRY_INTERVAL_MS = 2_500;
    /** Fraction of a service's servers that load at once while the rollout is on schedule; a load is slower while many do. */
    private static final double CONCURRENT_LOADS = 0.28;
    /** Largest fraction of a service's servers that load at once, however late the rollout is: the others serve. */
    private static final double MAX_CONCURRENT_LOADS = 0.6;
    /** Fraction of the time allowed after which a rollout on schedule has reached all servers; the last ones need the rest. */
    private static final double SCHEDULED_FRACTION = 0.5;

    /** Whom to order what. */
    record Order(Server server, String model, long version) {}

    /** A server that has the weights that it was ordered to load, {@code tookMs} after its first order. */
    record Loaded(String server, String model, long version, long tookMs) {}

    /**
     * How far a rollout is.
     *
     * @param servers servers that have the model or are to have it
     * @param behind those of them that lack the version
     * @param loading those that are under an order
     * @param limit how many may be at once
     */
    record Status(String model, long version, int servers, int behind, int loading, long limit) {}

    private record Progress(long version, long startedAt) {}

    private final long applyMs;
    private final Map<String, Long> orderedAt = new HashMap<>();
    private final Map<String, Long> firstOrderedAt = new HashMap<>();
    private final List<Loaded> loaded = new ArrayList<>();
    private final Map<String, Status> statuses = new TreeMap<>();
    /** Rollouts that some server still lacks, by model. */
    private final Map<String, Progress> running = new HashMap<>();

    /** @param applyMs time within which all servers are to have the weights that were named */
    RolloutPlanner(long applyMs) {
        this.applyMs = applyMs;
    }

    /** Notes which rollouts are under way while no orders may be given: their time runs. */
    void observe(long now, Map<String, Long> wanted, List<Server> servers) {
        wanted.forEach((model, version) -> {
            List<Server> of = loadable(model, servers);
            long behind = of.stream().filter(s -> s.weights() < version).count();
            atOnce(now, model, version, of.size(), (int) behind);
        });
    }

    private static List<Server> loadable(String model, List<Server> servers) {
        return servers.stream()
                .filter(s -> s.model().equals(model)
                        && s.state() != RegistryEntry.State.GONE
                        && s.state() != RegistryEntry.State.LOST)
                .toList();
    }

    /** The orders to give now. */
    List<Order> due(long now, Map<String, Long> wanted, List<Server> servers) {
        return wanted.entrySet().stream()
                .flatMap(w -> {
                    List<Server> of = loadable(w.getKey(), servers);
                    List<Server> behind =
                            of.stream().filter(s -> s.weights() < w.getValue()).toList();
                    of.stream().filter(s -> s.weights() >= w.getValue()).forEach(s -> finished(now, s));
                    long under = behind.stream().filter(s -> busy(now, s)).count();
                    long atOnce = atOnce(now, w.getKey(), w.getValue(), of.size(), behind.size());
                    statuses.put(
                            w.getKey(),
                            new Status(w.getKey(), w.getValue(), of.size(), behind.size(), (int) under, atOnce));
                    return behind.stream()
                            .filter(s -> !busy(now, s))
                            .limit(Math.max(0, atOnce - under))
                            .map(s -> new Order(s, w.getKey(), w.getValue()));
                })
                .toList();
    }

    private void finished(long now, Server server) {
        orderedAt.remove(server.id());
        Long since = firstOrderedAt.remove(server.id());
        if (since != null) {
            loaded.add(new Loaded(server.id(), server.model(), server.weights(), now - since));
        }
    }

    /** The servers that have finished a load since the last call. */
    List<Loaded> takeLoaded() {
        List<Loaded> taken = List.copyOf(loaded);
        loaded.clear();
        return taken;
    }

    /** How far each rollout is, as of the last {@link #due}. */
    Collection<Status> statuses() {
        return statuses.values();
    }

    /**
     * How many servers may load at once. A load takes as long as the runs before it, so a fixed number at once may take
     * longer than is allowed; where fewer servers than scheduled have the weights, so many more load.
     */
    private long atOnce(long now, String model, long version, int servers, int behind) {
        if (behind == 0) {
            running.remove(model);
            return 0;
        }
        Progress progress = running.get(model);
        if (progress == null || progress.version() != version) {
            progress = new Progress(version, now);
            running.put(model, progress);
        }
        long usual = Math.max(1, Math.round(servers * CONCURRENT_LOADS));
        long most = Math.max(usual, Math.round(servers * MAX_CONCURRENT_LOADS));
        double scheduled = Math.min(servers, servers * (now - progress.startedAt()) / (SCHEDULED_FRACTION * applyMs));
        long late = (long) scheduled - (servers - behind) - usual;
        return Math.min(most, usual + Math.max(0, late));
    }

    private boolean busy(long now, Server s) {
        return now - orderedAt.getOrDefault(s.id(), Long.MIN_VALUE / 2) < RETRY_INTERVAL_MS;
    }

    /** An order is about to be sent. */
    void ordered(long now, Order order) {
        orderedAt.put(order.server().id(), now);
        firstOrderedAt.putIfAbsent(order.server().id(), now);
    }

    /** Servers under an order. */
    List<String> under(long now) {
        return orderedAt.entrySet().stream()
                .filter(e -> now - e.getValue() < RETRY_INTERVAL_MS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The server refused the order; it is sent again soon. */
    void refused(long now, String id) {
        orderedAt.put(id, now - RETRY_INTERVAL_MS + 400);
    }
}
