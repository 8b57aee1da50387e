package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/** How many servers load a target version at once, and by when all have it. */
class RolloutPlannerTest {
    private static final String MODEL = "m";
    private static final long APPLY_MS = 10_000;
    private static final int TICK_MS = 50;

    private final RolloutPlanner planner = new RolloutPlanner(new WeightsDeadlines(APPLY_MS));
    private final Map<String, Long> loadedAtMs = new HashMap<>();
    private final Set<String> loaded = new HashSet<>();
    private int maxConcurrentLoads;

    /**
     * Simulates a rollout to {@code servers} that each have the weights {@code loadMs} after their first order;
     * returns the time at which all have them.
     */
    private long timeToFinishMs(int servers, long loadMs) {
        for (long now = 0; now < 10 * APPLY_MS; now += TICK_MS) {
            long atMs = now;
            loadedAtMs.forEach((id, loadedAt) -> {
                if (loadedAt <= atMs) {
                    loaded.add(id);
                }
            });
            if (loaded.size() == servers) {
                return now;
            }
            for (RolloutPlanner.Order order : planner.dueOrders(now, Map.of(MODEL, 2L), servers(servers))) {
                planner.onOrdered(now, order);
                loadedAtMs.putIfAbsent(order.server().id(), now + loadMs);
            }
            maxConcurrentLoads = Math.max(maxConcurrentLoads, loadedAtMs.size() - loaded.size());
        }
        return Long.MAX_VALUE;
    }

    private List<Server> servers(int count) {
        List<Server> servers = new ArrayList<>();
        IntStream.range(0, count)
                .mapToObj(n -> "i" + n)
                .forEach(id -> servers.add(new Server(
                        id,
                        "s",
                        "10.0.0.1:1",
                        "z",
                        MODEL,
                        loaded.contains(id) ? 2 : 1,
                        0,
                        1,
                        RegistryEntry.State.READY)));
        return servers;
    }

    @Test
    void fewConcurrentLoadsWhileLoadsAreFast() {
        assertTrue(timeToFinishMs(8, 1_000) <= 5_000);
        assertEquals(2, maxConcurrentLoads);
    }

    @Test
    void moreConcurrentLoadsWhereRequestsDelayLoads() {
        for (int servers : new int[] {6, 8, 63, 78}) {
            loaded.clear();
            loadedAtMs.clear();
            assertTrue(new RolloutPlannerTest().timeToFinishMs(servers, 3_300) < 0.9 * APPLY_MS, servers + " servers");
        }
    }

    @Test
    void someServersKeepServingUntilTheDeadlineIsNear() {
        SimulatedRollout rollout = new SimulatedRollout();
        for (int i = 0; i < 10; i++) {
            rollout.add(new SimulatedRollout.LoadingServer("i" + i, 9_000));
        }
        rollout.setTarget(2).run(APPLY_MS / 2);
        assertEquals(6, rollout.maxConcurrentLoads());
        rollout.run(APPLY_MS / 2);
        assertEquals(List.of(), rollout.overdue());
    }

    @Test
    void someServersKeepServingWhereSlowLoadsDelayTheRollout() {
        timeToFinishMs(10, 3_300);
        assertTrue(maxConcurrentLoads <= 6, maxConcurrentLoads + " at once");
    }

    @Test
    void laterTargetVersionHasItsOwnSchedule() {
        timeToFinishMs(8, 1_000);
        assertEquals(2, planner.dueOrders(60_000, Map.of(MODEL, 3L), servers(8)).size());
    }
}
