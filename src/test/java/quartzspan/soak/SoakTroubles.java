package quartzspan.soak;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What happens in a soak, and when: drawn from its seed, in series that overlap. */
final class SoakTroubles {
    private static final long RESTART_MS = 200;
    private static final long MIN_DOWN_MS = 500;
    private static final long MAX_DOWN_MS = 2_500;
    /** The part of a soak in which all that happens is planned. */
    private static final double PLANNED_PART = 0.6;

    private final SoakPlan plan;
    private final SplittableRandom random;
    private final SoakClock clock;
    private final SoakRecord record;
    private final SoakFleet fleet;
    private final List<ServerLife> servers;
    private final SoakOperator operator;
    private final ScheduledExecutorService timeline;
    private final Set<FleetProcess> struck = ConcurrentHashMap.newKeySet();

    SoakTroubles(
            SoakPlan plan,
            SplittableRandom random,
            SoakClock clock,
            SoakRecord record,
            SoakFleet fleet,
            List<ServerLife> servers,
            SoakOperator operator,
            ScheduledExecutorService timeline) {
        this.plan = plan;
        this.random = random;
        this.clock = clock;
        this.record = record;
        this.fleet = fleet;
        this.servers = servers;
        this.operator = operator;
        this.timeline = timeline;
    }

    /** Draws all that is to happen, from now on. */
    void schedule() {
        long plannedUntilMs = (long) (PLANNED_PART * plan.durationMs());
        for (long atMs = 500; atMs < plan.durationMs(); atMs += random.nextLong(800, 3_500)) {
            boolean planned = atMs < plannedUntilMs || random.nextInt(3) > 0;
            at(atMs, planned ? drawPlanned() : drawTrouble());
        }
    }

    private void at(long ms, Runnable what) {
        timeline.schedule(what, ms, TimeUnit.MILLISECONDS);
    }

    private Runnable drawPlanned() {
        return switch (random.nextInt(9)) {
            case 0, 1 -> terminateInTurn(
                    fleet.proxies(), random.nextInt(1, 1 + fleet.proxies().size()));
            case 2 -> terminateInTurn(fleet.cores(), 1);
            case 3 -> this::hangUpAll;
            case 4 -> operator::changeRoute;
            case 5 -> operator::giveKey;
            case 6 -> operator::revokeKey;
            case 7 -> nameWeightsInTurn(random.nextInt(1, 4), random.nextLong(400, 4_000));
            default -> any(servers)::release;
        };
    }

    private Runnable drawTrouble() {
        long downMs = random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS);
        return switch (random.nextInt(5)) {
            case 0 -> {
                FleetProcess proxy = any(fleet.proxies());
                yield () -> kill(proxy, false, downMs);
            }
            case 1 -> {
                FleetProcess core = any(fleet.cores());
                yield () -> kill(core, true, downMs);
            }
            case 2 -> {
                FleetProcess proxy = any(fleet.proxies());
                yield () -> freeze(proxy, false, downMs);
            }
            case 3 -> {
                FleetProcess core = any(fleet.cores());
                yield () -> freeze(core, true, downMs);
            }
            default -> {
                ServerLife server = any(servers);
                yield () -> server.crash(downMs);
            }
        };
    }

    private <T> T any(List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private boolean isCore(FleetProcess process) {
        return fleet.cores().contains(process);
    }

    private Runnable nameWeightsInTurn(int count, long gapMs) {
        return () -> {
            for (int i = 0; i < count; i++) {
                at(i * gapMs, operator::nameWeights);
            }
        };
    }

    private Runnable terminateInTurn(List<FleetProcess> of, int count) {
        int first = random.nextInt(of.size());
        long gapMs = random.nextLong(300, 2_500);
        return () -> {
            for (int i = 0; i < count; i++) {
                FleetProcess process = of.get((first + i) % of.size());
                at(i * gapMs, () -> terminate(process));
            }
        };
    }

    private void hangUpAll() {
        // A process that has just been started knows no SIGHUP yet, and would end by it.
        fleet.proxies().stream().filter(proxy -> !struck.contains(proxy)).forEach(proxy -> signal(proxy, "HUP"));
    }

    private void signal(FleetProcess process, String signal) {
        try {
            if (process.isAlive()) {
                process.signal(signal);
            }
        } catch (IOException e) {
            record.faults.add("the soak itself: no signal to " + process.name() + ": " + e);
        }
    }

    /** SIGTERM, SIGKILL after the grace period, and a start after that; nothing if it is not running. */
    private void terminate(FleetProcess process) {
        if (!claim(process)) {
            return;
        }
        long beganAtMs = clock.nowMs();
        signal(process, "TERM");
        new Thread(() -> finishTermination(process, beganAtMs), "end of " + process.name()).start();
    }

    private void finishTermination(FleetProcess process, long beganAtMs) {
        try {
            if (!process.awaitEnd(SoakPlan.GRACE_PERIOD_MS)) {
                process.kill();
            }
            long endedAtMs = clock.nowMs();
            record.disturbances.add(
                    new SoakRecord.Disturbance("SIGTERM", process.host(), isCore(process), true, beganAtMs, endedAtMs));
            at(RESTART_MS, () -> restart(process));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void kill(FleetProcess process, boolean core, long downMs) {
        if (!claim(process)) {
            return;
        }
        long beganAtMs = clock.nowMs();
        try {
            process.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.disturbances.add(new SoakRecord.Disturbance(
                "SIGKILL", process.host(), core, false, beganAtMs, beganAtMs + downMs + SoakPlan.CONTACT_MS));
        at(downMs, () -> restart(process));
    }

    private void freeze(FleetProcess process, boolean core, long frozenMs) {
        if (!claim(process)) {
            return;
        }
        long beganAtMs = clock.nowMs();
        signal(process, "STOP");
        record.disturbances.add(new SoakRecord.Disturbance(
                "SIGSTOP", process.host(), core, false, beganAtMs, beganAtMs + frozenMs + SoakPlan.CONTACT_MS));
        at(frozenMs, () -> {
            signal(process, "CONT");
            release(process);
        });
    }

    /** Of the core one machine at most is struck at a time, and no process twice at once. */
    private synchronized boolean claim(FleetProcess process) {
        boolean coreIsStruck = struck.stream().anyMatch(this::isCore);
        return process.isAlive() && !(isCore(process) && coreIsStruck) && struck.add(process);
    }

    private synchronized void release(FleetProcess process) {
        struck.remove(process);
    }

    private void restart(FleetProcess process) {
        try {
            process.start();
        } catch (IOException e) {
            record.faults.add("the soak itself: " + process.name() + " does not start: " + e);
        }
        at(SoakPlan.CONTACT_MS, () -> release(process));
    }

    /** Whether nothing is struck at present. */
    boolean isCalm() {
        return struck.isEmpty();
    }

    @Override
    public String toString() {
        return struck.stream().map(FleetProcess::name).toList().toString();
    }
}
