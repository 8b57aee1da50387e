package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/** Which servers may begin to load in one planning round, with one or two target versions. */
class RolloutRoundTest {
    private static final String MODEL = "m";
    private static final long APPLY_MS = 10_000;

    private final WeightsDeadlines deadlines = new WeightsDeadlines(APPLY_MS);

    private static Server server(String id, long version) {
        return new Server(id, "s", "10.0.0.1:1", "z", MODEL, version, 0, 1, RegistryEntry.State.READY);
    }

    private static List<Server> servers(int outdated, int current) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < outdated + current; i++) {
            servers.add(server("i" + i, i < outdated ? 1 : 2));
        }
        return servers;
    }

    @Test
    void serversMayLoadUpToTheLimit() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        List<Server> servers = servers(10, 0);
        RolloutRound round = new RolloutRound(0, deadlines, MODEL, servers);
        assertEquals(3, round.limit(2));
        assertEquals(10, round.outdatedCount(2));
        for (Server server : servers.subList(0, 3)) {
            assertTrue(round.mayLoad(server));
            round.addLoading(server);
        }
        assertFalse(round.mayLoad(servers.get(3)));
        assertEquals(3, round.loadingCount());
    }

    @Test
    void serverThatHasTheVersionMayNotLoad() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        List<Server> servers = servers(3, 7);
        RolloutRound round = new RolloutRound(0, deadlines, MODEL, servers);
        assertFalse(round.mayLoad(servers.get(9)));
        assertEquals(3, round.outdatedCount(2));
        assertEquals(0, round.outdatedCount(5), "an unknown version");
        assertEquals(0, round.limit(5));
    }

    @Test
    void finishedRolloutHasNoLimit() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        assertEquals(0, new RolloutRound(0, deadlines, MODEL, servers(0, 10)).limit(2));
    }

    @Test
    void serverMayLoadForAnEarlierVersionThatIsBehindSchedule() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        deadlines.observe(4_000, Map.of(MODEL, 3L));
        List<Server> servers = servers(5, 5);
        RolloutRound round = new RolloutRound(4_000, deadlines, MODEL, servers);
        for (Server server : servers.subList(5, 8)) {
            round.addLoading(server);
        }
        assertFalse(round.mayLoad(servers.get(8)), "three load the later version already");
        assertTrue(round.mayLoad(servers.get(0)), "it lacks the earlier one too");
    }

    @Test
    void noMoreServersLoadThanTheTotalAllows() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        deadlines.observe(4_900, Map.of(MODEL, 3L));
        List<Server> servers = servers(10, 0);
        RolloutRound round = new RolloutRound(4_900, deadlines, MODEL, servers);
        servers.subList(0, 6).forEach(round::addLoading);
        assertFalse(round.mayLoad(servers.get(6)));
    }
}
