package quartzspan.replication.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Runs generated scenarios of overlapping faults. A failing scenario is shrunk and reported with its seed and its steps.
 *
 * <ul>
 *   <li>More scenarios than in the build: {@code mvn -o test -Dtest=SimulatorTest -Dhistories=100000}
 *   <li>Other seeds: {@code -Dfirst=100001}; without some kinds of steps: {@code -Dwithout=WIPE,FREEZE}
 *   <li>Strict planned replacements, in which the terminating machine stops counting as unavailable at its SIGTERM:
 *       {@code -Dstrict=true}
 *   <li>One scenario with its trace: {@code -Dhistories=1 -Dfirst=SEED -Dtrace=true}
 *   <li>Number of scenarios until the removal of a safety check is detected: remove the check, then {@code -Dfindings=0}; the
 *       seeds run in order up to the first violation, whose seed is printed.
 * </ul>
 */
class SimulatorTest {
    private static final long SCENARIO_COUNT = Long.getLong("histories", 3_000);
    private static final long FIRST_SEED = Long.getLong("first", 1);

    @Test
    void noGeneratedScenarioViolatesAnInvariant() {
        SimulationRunner runner = new SimulationRunner();
        int maxViolations = Integer.getInteger("findings", 1);
        if (maxViolations == 0) {
            System.out.println("first seed with a violation: " + runner.runUntilViolation(FIRST_SEED, SCENARIO_COUNT));
        } else {
            runner.run(FIRST_SEED, SCENARIO_COUNT, maxViolations);
        }
        System.out.println(runner.summary());
        for (Map.Entry<Long, Violation> first : runner.violations().entrySet()) {
            throw new AssertionError(
                    SimulationRunner.explain(first.getKey(), first.getValue(), Boolean.getBoolean("trace")));
        }
        assertTrue(
                SCENARIO_COUNT < 100
                        || runner.acknowledged() > 5 * SCENARIO_COUNT && runner.reads() > 5 * SCENARIO_COUNT,
                "too few changes or reads succeeded");
    }

    @Test
    void simulationIsDeterministic() {
        for (long seed = 1; seed <= 20; seed++) {
            assertEquals(fingerprint(seed), fingerprint(seed));
        }
    }

    private static String fingerprint(long seed) {
        Simulation simulation = new Simulation(ScenarioGenerator.generate(seed), false);
        try {
            simulation.run();
        } catch (Violation violation) {
            return violation.getMessage();
        }
        return simulation.fingerprint() + " " + simulation.history().acknowledged() + " "
                + simulation.history().reads();
    }
}
