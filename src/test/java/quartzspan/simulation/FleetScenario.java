package quartzspan.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A scenario: the fleet, what its operators do, how late timers run, and the faults.
 *
 * @param maxTickLatenessMs how late the timers of each process may run, by the order of cores, then proxies; 0: on time
 * @param steps what operators and servers do
 */
record FleetScenario(
        long seed,
        int toleratedFailures,
        int cores,
        int proxies,
        int servers,
        List<Integer> maxTickLatenessMs,
        List<OperatorStep> steps,
        List<FleetFault> faults) {
    static final long FIRST_FAULT_MS = 5_000;
    static final long LAST_FAULT_MS = 14_000;
    static final long END_OF_FAULTS_MS = 18_000;

    private static final long FIRST_STEP_MS = 3_000;
    private static final int MAX_FAULTS = 5;
    private static final int MAX_LATENESS_MS = 2_000;

    /** What an operator or a server does. */
    enum Action {
        CHANGE_CONFIGURATION,
        RACE,
        NAME_WEIGHTS,
        READ,
        DRAIN_SERVER,
        DEREGISTER_SERVER
    }

    record OperatorStep(long atMs, Action action) {}

    /** The scenario of a seed. */
    static FleetScenario generate(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        int toleratedFailures = random.nextInt(4) == 0 ? 2 : 1;
        int cores = 2 * toleratedFailures + 1 + (random.nextInt(3) == 0 ? 1 : 0);
        int proxies = 2 + random.nextInt(2);
        int servers = 3 + random.nextInt(4);
        List<Integer> lateness = new ArrayList<>();
        boolean late = random.nextBoolean();
        for (int i = 0; i < cores + proxies; i++) {
            lateness.add(late && random.nextBoolean() ? 50 + random.nextInt(MAX_LATENESS_MS - 49) : 0);
        }
        return new FleetScenario(
                seed, toleratedFailures, cores, proxies, servers, lateness, steps(random), faults(random));
    }

    private static List<OperatorStep> steps(SplittableRandom random) {
        List<OperatorStep> steps = new ArrayList<>();
        steps.add(new OperatorStep(1_500, Action.CHANGE_CONFIGURATION));
        int meanIntervalMs = 200 + random.nextInt(800);
        for (long atMs = FIRST_STEP_MS; atMs < END_OF_FAULTS_MS; atMs += 1 + random.nextInt(2 * meanIntervalMs)) {
            int choice = random.nextInt(20);
            Action action = choice < 6
                    ? Action.CHANGE_CONFIGURATION
                    : choice < 8
                            ? Action.RACE
                            : choice < 10
                                    ? Action.NAME_WEIGHTS
                                    : choice < 16
                                            ? Action.READ
                                            : choice < 19 ? Action.DRAIN_SERVER : Action.DEREGISTER_SERVER;
            steps.add(new OperatorStep(atMs, action));
        }
        return steps;
    }

    /** Few faults, most of them aimed at a step of the protocol, some close together. */
    private static List<FleetFault> faults(SplittableRandom random) {
        List<FleetFault> faults = new ArrayList<>();
        int count = random.nextInt(MAX_FAULTS);
        long atMs = FIRST_FAULT_MS + random.nextInt(3_000);
        for (int i = 0; i < count && atMs < LAST_FAULT_MS; i++) {
            FleetFault.Kind[] kinds = FleetFault.Kind.values();
            boolean aimed = random.nextBoolean();
            World.Crossing[] crossings = World.Crossing.values();
            World.Crossing crossing = aimed ? crossings[random.nextInt(crossings.length)] : null;
            int crossingCount = crossing == World.Crossing.GOSSIP_MESSAGE || crossing == World.Crossing.REPLICA_MESSAGE
                    ? 1 + random.nextInt(60)
                    : 1 + random.nextInt(4);
            faults.add(new FleetFault(
                    atMs,
                    kinds[random.nextInt(kinds.length)],
                    crossing,
                    crossingCount,
                    random.nextInt(1_000),
                    100 + random.nextInt(random.nextInt(4) == 0 ? 4_000 : 1_500),
                    random.nextDouble()));
            atMs += random.nextInt(3) == 0 ? random.nextInt(300) : random.nextInt(4_000);
        }
        return faults;
    }

    FleetScenario withFaults(List<FleetFault> fewer) {
        return new FleetScenario(
                seed, toleratedFailures, cores, proxies, servers, maxTickLatenessMs, steps, List.copyOf(fewer));
    }

    FleetScenario withSteps(List<OperatorStep> fewer) {
        return new FleetScenario(
                seed, toleratedFailures, cores, proxies, servers, maxTickLatenessMs, List.copyOf(fewer), faults);
    }

    FleetScenario withLateness(List<Integer> other) {
        return new FleetScenario(seed, toleratedFailures, cores, proxies, servers, List.copyOf(other), steps, faults);
    }

    String describe() {
        return "seed " + seed + ", f " + toleratedFailures + ", " + cores + " cores, " + proxies + " proxies, "
                + servers + " servers, timers late by up to " + maxTickLatenessMs + " ms, steps " + steps + ", faults "
                + faults;
    }
}
