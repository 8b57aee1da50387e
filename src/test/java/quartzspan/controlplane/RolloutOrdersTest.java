package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry.State;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/** Which servers a rollout orders and withdraws, and how the servers' reports change that. */
class RolloutOrdersTest {
    private static final String MODEL = "m";
    private static final long APPLY_MS = 10_000;
    private static final Map<String, Long> TARGETS = Map.of(MODEL, 2L);

    private final WeightsDeadlines deadlines = new WeightsDeadlines(APPLY_MS);
    private final RolloutPlanner planner = new RolloutPlanner(deadlines);

    private static Server server(String id, String model, long version, long loadingVersion, State state) {
        return new Server(id, "s", "10.0.0.1:1", "z", model, version, loadingVersion, 1, state);
    }

    private static Server outdated(String id) {
        return server(id, MODEL, 1, 0, State.READY);
    }

    private List<String> ordered(long now, Server... servers) {
        return planner.dueOrders(now, TARGETS, List.of(servers)).stream()
                .map(order -> order.server().id())
                .toList();
    }

    private List<String> withdrawn(long now, Server... servers) {
        return planner.dueWithdrawals(now, TARGETS, List.of(servers)).stream()
                .map(order -> order.server().id())
                .toList();
    }

    private void order(long now, Server server) {
        planner.dueOrders(now, TARGETS, List.of(server)).forEach(order -> planner.onOrdered(now, order));
    }

    @Test
    void onlyOutdatedServersOfTheModelThatAreHeardAreOrdered() {
        assertEquals(List.of("a"), ordered(0, outdated("a")));
        assertEquals(List.of(), ordered(0, server("b", MODEL, 2, 0, State.READY)));
        assertEquals(List.of(), ordered(0, server("b", MODEL, 3, 0, State.READY)));
        assertEquals(List.of(), ordered(0, server("c", "other", 1, 0, State.READY)));
        assertEquals(List.of(), ordered(0, server("d", MODEL, 1, 0, State.GONE)));
        assertEquals(List.of(), ordered(0, server("e", MODEL, 1, 0, State.LOST)));
        assertEquals(List.of("f"), ordered(0, server("f", MODEL, 1, 0, State.DRAINING)));
    }

    @Test
    void serverThatConfirmsItsLoadIsNotOrderedAgain() {
        order(0, outdated("a"));
        planner.onConfirmed(2_000, "a");
        assertEquals(List.of(), ordered(LoadTracker.RETRY_INTERVAL_MS + 100, outdated("a")));
        assertEquals(List.of("a"), planner.loadingServers(LoadTracker.RETRY_INTERVAL_MS + 100));
    }

    @Test
    void serverThatReportsNoLoadIsOrderedAgain() {
        order(0, outdated("a"));
        planner.onIdle(1_500, "a");
        assertEquals(List.of("a"), ordered(1_500, outdated("a")));
    }

    @Test
    void loadOfAServerThatIsGoneIsForgotten() {
        order(0, outdated("a"));
        ordered(100, outdated("b"));
        assertEquals(List.of(), planner.loadingServers(100));
    }

    @Test
    void finishedLoadIsReportedOnceWithItsTimeSinceTheFirstOrder() {
        order(0, outdated("a"));
        planner.onRejected(100, "a");
        order(1_000, outdated("a"));
        ordered(4_000, server("a", MODEL, 2, 0, State.READY));
        List<LoadTracker.FinishedLoad> finished = planner.takeFinished();
        assertEquals(4_000, finished.get(0).durationMs());
        assertEquals(List.of(), planner.takeFinished());
    }

    @Test
    void serversAreWithdrawnFromTheEndOfTheirWeightsOn() {
        planner.observe(0, TARGETS);
        long usableUntilMs = deadlines.usableUntilMs(MODEL, 1);
        assertEquals(List.of(), withdrawn(usableUntilMs - 1, outdated("a")));
        assertEquals(List.of("a"), withdrawn(usableUntilMs, outdated("a")));
        assertEquals(List.of(), withdrawn(usableUntilMs, server("b", MODEL, 1, 2, State.READY)), "it is loading");
        assertEquals(List.of(), withdrawn(usableUntilMs, server("c", MODEL, 2, 0, State.READY)));
    }

    @Test
    void progressIsThatOfTheLastPlan() {
        ordered(0, outdated("a"), outdated("b"), server("c", MODEL, 2, 0, State.READY));
        assertEquals(
                new RolloutPlanner.Status(MODEL, 2, 3, 2, 0, 1),
                planner.statuses().iterator().next());
    }
}
