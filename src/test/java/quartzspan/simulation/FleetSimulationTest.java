package quartzspan.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The whole control path in one simulated world, over many scenarios of a seed each. By hand: {@code -Dfleet.histories=100000}.
 */
class FleetSimulationTest {
    private static final int HISTORIES = Integer.getInteger("fleet.histories", 3_000);

    private QuietLogs quietLogs;

    @BeforeEach
    void silence() {
        quietLogs = new QuietLogs();
    }

    @AfterEach
    void restoreLogs() {
        quietLogs.close();
    }

    @Test
    void noRuleIsBrokenInAnyScenario() {
        FleetHistories histories = new FleetHistories();
        histories.run(1, HISTORIES, 1);
        assertTrue(
                histories.violations().isEmpty(),
                () -> FleetHistories.explain(
                        histories.violations().keySet().iterator().next()));
        assertTrue(histories.count("requests run") > 200L * HISTORIES, histories::summary);
        assertTrue(histories.count("changes acknowledged") > 5L * HISTORIES, histories::summary);
        assertTrue(histories.count("reads answered") > 5L * HISTORIES, histories::summary);
    }

    @Test
    void scenarioIsDeterminedByItsSeed() {
        for (long seed = 1; seed <= 5; seed++) {
            assertEquals(trace(seed), trace(seed), "seed " + seed);
        }
    }

    private static String trace(long seed) {
        FleetSimulation simulation = new FleetSimulation(FleetScenario.generate(seed), true);
        simulation.run();
        return String.join("\n", simulation.fleet().world().traceLines())
                + simulation.fleet().rules().executions();
    }
}
