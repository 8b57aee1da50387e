package quartzspan.replication.simulation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** Runs many scenarios, each on one thread, and collects the violations. */
final class SimulationRunner {
    private static final long SHRINK_LIMIT_MS = 20_000;
    private static final long BLOCK_SIZE = 100;

    private final Map<Long, Violation> violations = new ConcurrentSkipListMap<>();
    private final AtomicLong acknowledged = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong completed = new AtomicLong();

    /** Runs the scenarios of {@code count} seeds; starts no new ones after {@code maxViolations} violations. */
    void run(long firstSeed, long count, int maxViolations) {
        LongStream.range(firstSeed, firstSeed + count).parallel().forEach(seed -> {
            if (violations.size() < maxViolations) {
                run(seed);
            }
        });
    }

    /**
     * Runs scenarios in blocks, in the order of their seeds, until one violates a rule. Measures reproducibly after how many
     * scenarios a deliberately introduced defect is detected.
     *
     * @return the first seed with a violation; -1 if there is none
     */
    long runUntilViolation(long firstSeed, long count) {
        for (long blockStart = firstSeed; blockStart < firstSeed + count; blockStart += BLOCK_SIZE) {
            run(blockStart, Math.min(BLOCK_SIZE, firstSeed + count - blockStart), Integer.MAX_VALUE);
            if (!violations.isEmpty()) {
                return violations.keySet().iterator().next();
            }
        }
        return -1;
    }

    private void run(long seed) {
        Simulation simulation = new Simulation(ScenarioGenerator.generate(seed), false);
        try {
            simulation.run();
        } catch (Violation violation) {
            violations.put(seed, violation);
        } catch (RuntimeException fault) {
            throw new IllegalStateException("scenario " + seed + " failed", fault);
        }
        acknowledged.addAndGet(simulation.history().acknowledged());
        reads.addAndGet(simulation.history().reads());
        completed.incrementAndGet();
    }

    Map<Long, Violation> violations() {
        return violations;
    }

    long acknowledged() {
        return acknowledged.get();
    }

    long reads() {
        return reads.get();
    }

    String summary() {
        StringBuilder text = new StringBuilder(completed + " scenarios, " + acknowledged + " changes, " + reads
                + " reads, " + violations.size() + " violations");
        Map<Violation.Rule, Integer> rules = new TreeMap<>();
        violations.values().forEach(v -> rules.merge(v.rule(), 1, Integer::sum));
        text.append(' ').append(rules);
        violations.forEach((seed, v) -> text.append("\n  ")
                .append(seed)
                .append(' ')
                .append(v.getMessage().split("\n")[0]));
        return text.toString();
    }

    /** Shrinks a failing scenario and describes its violation and its steps. */
    static String explain(long seed, Violation violation, boolean withTrace) {
        Scenario generated = ScenarioGenerator.generate(seed);
        Scenario shrunk = ScenarioShrinker.shrink(generated, violation.rule(), SHRINK_LIMIT_MS);
        Simulation replay = new Simulation(shrunk, true);
        String failure = "no rule when run again";
        try {
            replay.run();
        } catch (Violation repeated) {
            failure = repeated.getMessage();
        }
        return "scenario " + seed + " violates " + failure + "\nshrunk from "
                + generated.steps().size() + " to "
                + shrunk.steps().size() + " steps; " + shrunk.describe()
                + (withTrace ? "\n" + String.join("\n", replay.traceLines()) : "");
    }

    /** Prints the first scenario that violates a rule or fails. */
    private static void printFirstViolation(long firstSeed, long count) {
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            SimulationRunner runner = new SimulationRunner();
            try {
                runner.run(seed);
            } catch (IllegalStateException failed) {
                System.out.println("first violation: scenario " + seed + ", "
                        + failed.getCause().getClass().getSimpleName());
                return;
            }
            if (!runner.violations.isEmpty()) {
                System.out.println("first violation: scenario " + seed + ", "
                        + runner.violations.get(seed).rule());
                return;
            }
        }
    }

    /**
     * Arguments: first seed, number of scenarios, number of violations after which to stop (0: run in order until the first
     * violation), number of violations to explain; or {@code untilViolation}, first seed, number of scenarios.
     */
    public static void main(String[] arguments) {
        if (arguments[0].equals("untilViolation")) {
            printFirstViolation(Long.parseLong(arguments[1]), Long.parseLong(arguments[2]));
            return;
        }
        long firstSeed = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        int maxViolations = Integer.parseInt(arguments[2]);
        int explainCount = Integer.parseInt(arguments[3]);
        long startNs = System.nanoTime();
        SimulationRunner runner = new SimulationRunner();
        if (maxViolations == 0) {
            System.out.println("first seed with a violation: " + runner.runUntilViolation(firstSeed, count));
        } else {
            runner.run(firstSeed, count, maxViolations);
        }
        System.out.println(runner.summary());
        System.out.println((System.nanoTime() - startNs) / 1_000_000 + " ms");
        runner.violations().entrySet().stream()
                .limit(explainCount)
                .forEach(e -> System.out.println(explain(e.getKey(), e.getValue(), Boolean.getBoolean("trace"))));
    }
}
