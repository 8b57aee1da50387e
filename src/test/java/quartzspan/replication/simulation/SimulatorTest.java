package quartzspan.replication.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Plays drawn histories of overlapping troubles. A broken one is shrunk, and told with its seed and its steps.
 *
 * <ul>
 *   <li>More than the build plays: {@code mvn -o test -Dtest=SimulatorTest -Dhistories=100000}
 *   <li>Another part of the seeds: {@code -Dfirst=100001}; without some kinds of steps: {@code -Dwithout=WIPE,FREEZE}
 *   <li>Planned replacements by the letter, the leaving machine counting as lost no more from its SIGTERM: {@code -Dstrict=true}
 *   <li>One history with its trace: {@code -Dhistories=1 -Dfirst=SEED -Dtrace=true}
 *   <li>After how many histories a guard that was taken out is found: take it out, then {@code -Dfindings=0}; the seeds are
 *       played in order until the first broken one, whose number is told.
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
            System.out.println("first broken: " + runner.runUntilViolation(FIRST_SEED, SCENARIO_COUNT));
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
                "too little was asked");
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
