package quartzspan.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** Plays the scenarios of many seeds, each on one thread, and shrinks those that break a rule. */
final class FleetHistories {
    private static final int MAX_TRACE_LINES = 60;

    private final Map<Long, FleetViolation> violations = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicLong> counts = new ConcurrentSkipListMap<>();

    /** Plays {@code count} scenarios; begins no more after {@code maxViolations} violations. */
    void run(long firstSeed, long count, int maxViolations) {
        LongStream.range(firstSeed, firstSeed + count).parallel().forEach(seed -> {
            if (violations.size() < maxViolations) {
                run(seed);
            }
        });
    }

    private void run(long seed) {
        FleetSimulation simulation = new FleetSimulation(FleetScenario.generate(seed), false);
        try {
            simulation.run();
        } catch (FleetViolation violation) {
            violations.put(seed, violation);
        } catch (RuntimeException fault) {
            throw new IllegalStateException("scenario " + seed + " failed", fault);
        }
        add("scenarios", 1);
        add("requests run", simulation.fleet().rules().executions());
        add("changes acknowledged", simulation.fleet().operator().changes());
        add("reads answered", simulation.fleet().operator().reads());
        simulation.faults().injected().forEach((kind, n) -> add("fault " + kind, n));
        simulation.fleet().world().crossings().forEach((crossing, n) -> add("crossing " + crossing, n));
    }

    private void add(String name, long count) {
        counts.computeIfAbsent(name, n -> new AtomicLong()).addAndGet(count);
    }

    Map<Long, FleetViolation> violations() {
        return violations;
    }

    long count(String name) {
        return counts.getOrDefault(name, new AtomicLong()).get();
    }

    String summary() {
        Map<FleetViolation.Rule, Integer> rules = new TreeMap<>();
        violations.values().forEach(violation -> rules.merge(violation.rule(), 1, Integer::sum));
        StringBuilder text = new StringBuilder(counts + "; violations " + rules);
        violations.forEach((seed, violation) ->
                text.append("\n  ").append(seed).append(' ').append(violation.getMessage()));
        return text.toString();
    }

    /** The smallest scenario that still breaks the same rule, with the end of its trace. */
    static String explain(long seed) {
        FleetScenario smallest = shrink(FleetScenario.generate(seed));
        FleetSimulation replay = new FleetSimulation(smallest, true);
        String message = "nothing when played again";
        try {
            replay.run();
        } catch (FleetViolation violation) {
            message = violation.getMessage();
        }
        List<String> trace = replay.fleet().world().traceLines();
        return message + "\n" + smallest.describe() + "\n"
                + String.join("\n", trace.subList(Math.max(0, trace.size() - MAX_TRACE_LINES), trace.size()));
    }

    private static FleetScenario shrink(FleetScenario failing) {
        FleetViolation.Rule rule = violatedRule(failing);
        FleetScenario smallest = failing;
        for (int i = smallest.faults().size() - 1; i >= 0; i--) {
            FleetScenario smaller = smallest.withFaults(without(smallest.faults(), i));
            smallest = violatedRule(smaller) == rule ? smaller : smallest;
        }
        for (int i = smallest.steps().size() - 1; i > 0; i--) {
            FleetScenario smaller = smallest.withSteps(without(smallest.steps(), i));
            smallest = violatedRule(smaller) == rule ? smaller : smallest;
        }
        for (int i = 0; i < smallest.maxTickLatenessMs().size(); i++) {
            List<Integer> lateness = new ArrayList<>(smallest.maxTickLatenessMs());
            lateness.set(i, 0);
            FleetScenario smaller = smallest.withLateness(lateness);
            smallest = violatedRule(smaller) == rule ? smaller : smallest;
        }
        return smallest;
    }

    private static <T> List<T> without(List<T> all, int index) {
        List<T> fewer = new ArrayList<>(all);
        fewer.remove(index);
        return fewer;
    }

    private static FleetViolation.Rule violatedRule(FleetScenario scenario) {
        try {
            new FleetSimulation(scenario, false).run();
            return null;
        } catch (FleetViolation violation) {
            return violation.rule();
        }
    }

    /** Plays scenarios in the order of their seeds until one breaks a rule or fails; prints which. */
    private void runUntilViolation(long firstSeed, long count) {
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            try {
                run(seed);
            } catch (IllegalStateException failed) {
                System.out.println("first violation: scenario " + seed + ", "
                        + failed.getCause().getClass().getSimpleName());
                return;
            }
            if (!violations.isEmpty()) {
                System.out.println("first violation: scenario " + seed + ", "
                        + violations.get(seed).rule());
                return;
            }
        }
    }

    /**
     * Arguments: first seed, number of scenarios, number of violations after which to stop, number of them to explain; or
     * {@code untilViolation}, first seed, number of scenarios.
     */
    public static void main(String[] arguments) {
        QuietLogs quietLogs = new QuietLogs();
        boolean clean = runMain(arguments);
        quietLogs.close();
        System.exit(clean ? 0 : 1);
    }

    private static boolean runMain(String[] arguments) {
        FleetHistories histories = new FleetHistories();
        if (arguments[0].equals("untilViolation")) {
            histories.runUntilViolation(Long.parseLong(arguments[1]), Long.parseLong(arguments[2]));
            return histories.violations().isEmpty();
        }
        long startedNanos = System.nanoTime();
        histories.run(Long.parseLong(arguments[0]), Long.parseLong(arguments[1]), Integer.parseInt(arguments[2]));
        System.out.println(histories.summary());
        System.out.println((System.nanoTime() - startedNanos) / 1_000_000 + " ms");
        histories.violations().keySet().stream()
                .limit(Integer.parseInt(arguments[3]))
                .forEach(seed -> System.out.println(explain(seed)));
        return histories.violations().isEmpty();
    }
}
