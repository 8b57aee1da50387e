package quartzspan.replication.simulation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** Plays many scenarios, each on one thread, and tells which of them break a rule. */
final class SimulationRunner {
    private static final long SHRINK_MS = 20_000;

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
        StringBuilder text = new StringBuilder(played + " histories, " + acknowledged + " changes, " + reads
                + " reads, " + broken.size() + " broken");
        Map<Violation.Rule, Integer> rules = new TreeMap<>();
        broken.values().forEach(v -> rules.merge(v.rule(), 1, Integer::sum));
        text.append(' ').append(rules);
        broken.forEach((seed, v) -> text.append("\n  ").append(seed).append(' ').append(v.getMessage().split("\n")[0]));
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
        return "history " + seed + " breaks " + failure + "\nshrunk from " + drawn.steps().size() + " to "
                + small.steps().size() + " steps; " + small.describe()
                + (withTrace ? "\n" + String.join("\n", replay.traceLines()) : "");
    }

    /** Arguments: first seed, number of histories, broken ones after which to stop, how many of them to explain. */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        int stopAfter = Integer.parseInt(arguments[2]);
        int explained = Integer.parseInt(arguments[3]);
        long begun = System.nanoTime();
        SimulationRunner runner = new SimulationRunner();
        runner.play(first, count, stopAfter);
        System.out.println(runner.summary());
        System.out.println((System.nanoTime() - begun) / 1_000_000 + " ms");
        runner.broken().entrySet().stream()
                .limit(explained)
                .forEach(e -> System.out.println(explain(e.getKey(), e.getValue(), Boolean.getBoolean("trace"))));
    }
}
