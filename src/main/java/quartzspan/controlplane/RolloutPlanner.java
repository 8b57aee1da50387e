package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/**
 * Brings servers to the target versions of their weights: compares the target versions of the control state with the versions
 * that servers report, and decides which servers to order next, the earliest deadline first. Only the primary does this, and
 * only after the previous primary has certainly stopped. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class RolloutPlanner {
    /** A server, and the version that it is to load. */
    record Order(Server server, String model, long version) {}

    /**
     * Progress of a rollout.
     *
     * @param servers servers that have the model or are to have it
     * @param outdated those of them that lack the version
     * @param loading those that are executing an order
     * @param limit how many may load at once
     */
    record Status(String model, long version, int servers, int outdated, int loading, long limit) {}

    private final WeightsDeadlines deadlines;
    private final LoadTracker loads = new LoadTracker();
    private final Map<String, Status> statuses = new TreeMap<>();

    RolloutPlanner(WeightsDeadlines deadlines) {
        this.deadlines = deadlines;
    }

    /**
     * Records the target versions while no orders may be sent: their deadlines apply nonetheless. The time of a version that
     * no core machine knows any more, because all have restarted, counts from now.
     */
    void observe(long now, Map<String, Long> targets) {
        deadlines.observe(now, targets);
    }

    /** The orders to send now. */
    List<Order> dueOrders(long now, Map<String, Long> targets, List<Server> servers) {
        deadlines.observe(now, targets);
        deadlines.expire(now);
        loads.retainServers(servers.stream().map(Server::id).toList());
        loads.onWeights(now, servers);
        List<Order> due = new ArrayList<>();
        targets.forEach(
                (model, version) -> due.addAll(dueOrders(now, model, version, loadableServers(model, servers))));
        return due;
    }

    private List<Order> dueOrders(long now, String model, long version, List<Server> servers) {
        RolloutRound round = new RolloutRound(now, deadlines, model, servers);
        servers.stream().filter(server -> loads.isLoading(now, server.id())).forEach(round::addLoading);
        int loading = round.loadingCount();
        List<Order> due = new ArrayList<>();
        for (Server server : outdatedServers(model, version, servers)) {
            if (loads.mayOrder(now, server.id()) && round.mayLoad(server)) {
                round.addLoading(server);
                due.add(new Order(server, model, version));
            }
        }
        statuses.put(
                model,
                new Status(
                        model, version, servers.size(), round.outdatedCount(version), loading, round.limit(version)));
        return due;
    }

    /** The servers that lack a version, the earliest deadline first. */
    private List<Server> outdatedServers(String model, long version, List<Server> servers) {
        return servers.stream()
                .filter(server -> server.weightsVersion() < version)
                .sorted(Comparator.comparingLong(server -> deadlines.deadlineOf(model, server.weightsVersion())))
                .toList();
    }

    private static List<Server> loadableServers(String model, List<Server> servers) {
        return servers.stream()
                .filter(s -> s.model().equals(model)
                        && s.state() != RegistryEntry.State.GONE
                        && s.state() != RegistryEntry.State.LOST)
                .toList();
    }

    /**
     * The servers that get no more requests until they have the target versions, whether they have been ordered or not. Each
     * proxy enforces this by itself; announcing it spares the proxies the attempts.
     */
    List<Order> dueWithdrawals(long now, Map<String, Long> targets, List<Server> servers) {
        List<Order> withdrawals = new ArrayList<>();
        targets.forEach((model, version) -> loadableServers(model, servers).stream()
                .filter(server ->
                        server.loadingVersion() == 0 && now >= deadlines.usableUntilMs(model, server.weightsVersion()))
                .forEach(server -> withdrawals.add(new Order(server, model, version))));
        return withdrawals;
    }

    /** An order is about to be sent. */
    void onOrdered(long now, Order order) {
        loads.onOrdered(now, order.server().id(), order.version());
    }

    /** The server has accepted the order, or is executing an earlier one. */
    void onConfirmed(long now, String id) {
        loads.onConfirmed(now, id);
    }

    /** The server rejected the order, which is retried soon. */
    void onRejected(long now, String id) {
        loads.onRejected(now, id);
    }

    /** The server reports that it is not loading. */
    void onIdle(long now, String id) {
        loads.onIdle(now, id);
    }

    /** The servers that are executing an order. */
    List<String> loadingServers(long now) {
        return loads.loadingServers(now);
    }

    /** The loads that have finished since the last call. */
    List<LoadTracker.FinishedLoad> takeFinished() {
        return loads.takeFinished();
    }

    /** Progress of each rollout, as of the last {@link #dueOrders}. */
    Collection<Status> statuses() {
        return statuses.values();
    }
}
