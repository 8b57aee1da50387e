package quartzspan.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A scenario: the fleet, what its operators do, how late timers run, and the faults.
 *
 * @param maxTickLatenessMs how late the timers of each process may run, by the order of cores, then proxies; 0: on time
 * @param maxLoadMs how long a server may take to load weights
 * @param steps what operators and servers do
 */
record FleetScenario(
        long seed,
        int toleratedFailures,
        int cores,
        int proxies,
        int servers,
        List<Integer> maxTickLatenessMs,
        int maxLoadMs,
        List<OperatorStep> steps,
        List<FleetFault> faults) {
    static final long FIRST_FAULT_MS = 5_000;
    static final long LAST_FAULT_MS = 14_000;
    static final long END_OF_FAULTS_MS = 24_000;

    private static final long FIRST_STEP_MS = 3_000;
    private static final int MAX_FAULTS = 5;
    private static final int MAX_LATENESS_MS = 2_000;
    private static final int MIN_LOAD_MS = 1_000;
    private static final int MAX_SLOW_LOAD_MS = 6_000;
    /** Nothing is changed in the last part, so that all bounds run out while timers are still late. */
    private static final long LAST_STEP_MS = 18_000;

    /** What an operator or a server does. */
    enum Action {
        CHANGE_CONFIGURATION,
        RACE,
        NAME_WEIGHTS,
        READ,
        DRAIN_SERVER,
        DEREGISTER_SERVER
    }

    /** A step at a time. */
    record OperatorStep(long atMs, Action action) {}

    /** What the steps of a scenario are mostly about. */
    private enum Focus {
        MIXED,
        ROLLOUT,
        DRAINING,
        CONFIGURATION
    }

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
        Focus focus = Focus.values()[random.nextInt(Focus.values().length)];
        int maxLoadMs = MIN_LOAD_MS + random.nextInt(focus == Focus.ROLLOUT ? MAX_SLOW_LOAD_MS : MIN_LOAD_MS);
        return new FleetScenario(
                seed,
                toleratedFailures,
                cores,
                proxies,
                servers,
                lateness,
                maxLoadMs,
                steps(random, focus),
                faults(random));
    }

    private static List<OperatorStep> steps(SplittableRandom random, Focus focus) {
        List<OperatorStep> steps = new ArrayList<>();
        steps.add(new OperatorStep(1_500, Action.CHANGE_CONFIGURATION));
        int meanIntervalMs = 200 + random.nextInt(800);
        for (long atMs = FIRST_STEP_MS; atMs < LAST_STEP_MS; atMs += 1 + random.nextInt(2 * meanIntervalMs)) {
            Action action = random.nextInt(3) == 0 ? action(random, focus) : action(random, Focus.MIXED);
            steps.add(new OperatorStep(atMs, action));
        }
        return steps;
    }

    private static Action action(SplittableRandom random, Focus focus) {
        int choice = random.nextInt(10);
        return switch (focus) {
            case ROLLOUT -> choice < 7 ? Action.NAME_WEIGHTS : Action.READ;
            case DRAINING -> choice < 7 ? Action.DRAIN_SERVER : Action.DEREGISTER_SERVER;
            case CONFIGURATION -> choice < 7 ? Action.CHANGE_CONFIGURATION : Action.RACE;
            default -> choice < 3
                    ? Action.CHANGE_CONFIGURATION
                    : choice < 4
                            ? Action.RACE
                            : choice < 5
                                    ? Action.NAME_WEIGHTS
                                    : choice < 8
                                            ? Action.READ
                                            : choice < 9 ? Action.DRAIN_SERVER : Action.DEREGISTER_SERVER;
        };
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
                seed,
                toleratedFailures,
                cores,
                proxies,
                servers,
                maxTickLatenessMs,
                maxLoadMs,
                steps,
                List.copyOf(fewer));
    }

    FleetScenario withSteps(List<OperatorStep> fewer) {
        return new FleetScenario(
                seed,
                toleratedFailures,
                cores,
                proxies,
                servers,
                maxTickLatenessMs,
                maxLoadMs,
                List.copyOf(fewer),
                faults);
    }

    FleetScenario withLateness(List<Integer> other) {
        return new FleetScenario(
                seed, toleratedFailures, cores, proxies, servers, List.copyOf(other), maxLoadMs, steps, faults);
    }

    String describe() {
        return "seed " + seed + ", f " + toleratedFailures + ", " + cores + " cores, " + proxies + " proxies, "
                + servers + " servers that load in up to " + maxLoadMs + " ms, timers late by up to "
                + maxTickLatenessMs + " ms, steps " + steps + ", faults "
                + faults;
    }
}
