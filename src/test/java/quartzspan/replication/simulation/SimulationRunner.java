package quartzspan.replication.simulation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** Plays many scenarios, each on one thread, and tells which of them break a rule. */
final class SimulationRunner {
    private static final long SHRINK_LIMIT_MS = 20_000;
    private static final long BLOCK_SIZE = 100;

    private final Map<Long, Violation> violations = new ConcurrentSkipListMap<>();
    private final AtomicLong acknowledged = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong completed = new AtomicLong();

    /** Plays the scenarios of so many seeds; draws no new ones once so many are broken. */
    void run(long firstSeed, long count, int maxViolations) {
        LongStream.range(firstSeed, firstSeed + count).parallel().forEach(seed -> {
            if (violations.size() < maxViolations) {
                run(seed);
            }
        });
    }

    /**
     * Plays scenarios in blocks, in the order of their seeds, until one breaks a rule: after how many histories a fault that was
     * brought in on purpose is found, the same each time.
     *
     * @return the first broken seed; -1 if none is broken
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
            throw new IllegalStateException("history " + seed, fault);
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
        StringBuilder text = new StringBuilder(completed + " histories, " + acknowledged + " changes, " + reads
                + " reads, " + violations.size() + " broken");
        Map<Violation.Rule, Integer> rules = new TreeMap<>();
        violations.values().forEach(v -> rules.merge(v.rule(), 1, Integer::sum));
        text.append(' ').append(rules);
        violations.forEach((seed, v) -> text.append("\n  ")
                .append(seed)
                .append(' ')
                .append(v.getMessage().split("\n")[0]));
        return text.toString();
    }

    /** A broken scenario, shrunk, with its steps in words. */
    static String explain(long seed, Violation violation, boolean withTrace) {
        Scenario generated = ScenarioGenerator.generate(seed);
        Scenario shrunk = ScenarioShrinker.shrink(generated, violation.rule(), SHRINK_LIMIT_MS);
        Simulation replay = new Simulation(shrunk, true);
        String failure = "nothing when played again";
        try {
            replay.run();
        } catch (Violation repeated) {
            failure = repeated.getMessage();
        }
        return "history " + seed + " breaks " + failure + "\nshrunk from "
                + generated.steps().size() + " to "
                + shrunk.steps().size() + " steps; " + shrunk.describe()
                + (withTrace ? "\n" + String.join("\n", replay.traceLines()) : "");
    }

    /**
     * Arguments: first seed, number of histories, broken ones after which to stop (0: in order, until the first one), how many
     * of them to explain.
     */
    public static void main(String[] arguments) {
        long firstSeed = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        int maxViolations = Integer.parseInt(arguments[2]);
        int explainCount = Integer.parseInt(arguments[3]);
        long startNs = System.nanoTime();
        SimulationRunner runner = new SimulationRunner();
        if (maxViolations == 0) {
            System.out.println("first broken: " + runner.runUntilViolation(firstSeed, count));
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
