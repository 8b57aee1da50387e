package quartzspan.replication.simulation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** Plays many scenarios, each on one thread, and tells which of them break a rule. */
final class SimulationRunner {
    private static final long SHRINK_MS = 20_000;
    private static final long BLOCK = 100;

    private final Map<Long, Violation> broken = new ConcurrentSkipListMap<>();
    private final AtomicLong acknowledged = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong played = new AtomicLong();

    /** Plays the scenarios of so many seeds; draws no new ones once so many are broken. */
    void play(long first, long count, int stopAfter) {
        LongStream.range(first, first + count).parallel().forEach(seed -> {
            if (broken.size() < stopAfter) {
                play(seed);
            }
        });
    }

    /**
     * Plays scenarios in blocks, in the order of their seeds, until one breaks a rule: after how many histories a fault that was
     * brought in on purpose is found, the same each time.
     *
     * @return the first broken seed; -1 if none is broken
     */
    long playUntilBroken(long first, long count) {
        for (long from = first; from < first + count; from += BLOCK) {
            play(from, Math.min(BLOCK, first + count - from), Integer.MAX_VALUE);
            if (!broken.isEmpty()) {
                return broken.keySet().iterator().next();
            }
        }
        return -1;
    }

    private void play(long seed) {
        Simulation simulation = new Simulation(ScenarioGenerator.draw(seed), false);
        try {
            simulation.run();
        } catch (Violation violation) {
            broken.put(seed, violation);
        } catch (RuntimeException fault) {
            throw new IllegalStateException("history " + seed, fault);
        }
        acknowledged.addAndGet(simulation.history().acknowledged());
        reads.addAndGet(simulation.history().reads());
        played.incrementAndGet();
    }

    Map<Long, Violation> broken() {
        return broken;
    }

    long acknowledged() {
        return acknowledged.get();
    }

    long reads() {
        return reads.get();
    }

    String summary() {
        StringBuilder text = new StringBuilder(
                played + " histories, " + acknowledged + " changes, " + reads + " reads, " + broken.size() + " broken");
        Map<Violation.Rule, Integer> rules = new TreeMap<>();
        broken.values().forEach(v -> rules.merge(v.rule(), 1, Integer::sum));
        text.append(' ').append(rules);
        broken.forEach((seed, v) -> text.append("\n  ")
                .append(seed)
                .append(' ')
                .append(v.getMessage().split("\n")[0]));
        return text.toString();
    }

    /** A broken scenario, shrunk, with its steps in words. */
    static String explain(long seed, Violation violation, boolean withTrace) {
        Scenario drawn = ScenarioGenerator.draw(seed);
        Scenario small = ScenarioShrinker.shrink(drawn, violation.rule(), SHRINK_MS);
        Simulation replay = new Simulation(small, true);
        String failure = "nothing when played again";
        try {
            replay.run();
        } catch (Violation again) {
            failure = again.getMessage();
        }
        return "history " + seed + " breaks " + failure + "\nshrunk from "
                + drawn.steps().size() + " to "
                + small.steps().size() + " steps; " + small.describe()
                + (withTrace ? "\n" + String.join("\n", replay.traceLines()) : "");
    }

    /**
     * Arguments: first seed, number of histories, broken ones after which to stop (0: in order, until the first one), how many
     * of them to explain.
     */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        int stopAfter = Integer.parseInt(arguments[2]);
        int explained = Integer.parseInt(arguments[3]);
        long begun = System.nanoTime();
        SimulationRunner runner = new SimulationRunner();
        if (stopAfter == 0) {
            System.out.println("first broken: " + runner.playUntilBroken(first, count));
        } else {
            runner.play(first, count, stopAfter);
        }
        System.out.println(runner.summary());
        System.out.println((System.nanoTime() - begun) / 1_000_000 + " ms");
        runner.broken().entrySet().stream()
                .limit(explained)
                .forEach(e -> System.out.println(explain(e.getKey(), e.getValue(), Boolean.getBoolean("trace"))));
    }
}
