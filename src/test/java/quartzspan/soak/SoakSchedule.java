package quartzspan.soak;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The disruptions and operator actions of a soak run, drawn from its seed, in overlapping series. */
final class SoakSchedule {
    private static final long RESTART_DELAY_MS = 200;
    private static final long MIN_DOWN_MS = 500;
    private static final long MAX_DOWN_MS = 2_500;
    /** The fraction of a soak run, from its start, in which only planned operations happen. */
    private static final double PLANNED_FRACTION = 0.6;

    private final SoakPlan plan;
    private final SplittableRandom random;
    private final SoakClock clock;
    private final SoakRecord record;
    private final SoakFleet fleet;
    private final List<ServerSupervisor> servers;
    private final SoakOperator operator;
    private final ScheduledExecutorService timeline;
    private final Set<FleetProcess> disrupted = ConcurrentHashMap.newKeySet();

    SoakSchedule(
            SoakPlan plan,
            SplittableRandom random,
            SoakClock clock,
            SoakRecord record,
            SoakFleet fleet,
            List<ServerSupervisor> servers,
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

    /** Draws and schedules all actions of the run. */
    void schedule() {
        long plannedUntilMs = (long) (PLANNED_FRACTION * plan.durationMs());
        for (long atMs = 500; atMs < plan.durationMs(); atMs += random.nextLong(800, 3_500)) {
            boolean planned = atMs < plannedUntilMs || random.nextInt(3) > 0;
            runAfter(atMs, planned ? drawPlannedOperation() : drawFault());
        }
    }

    private void runAfter(long delayMs, Runnable action) {
        timeline.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private Runnable drawPlannedOperation() {
        return switch (random.nextInt(9)) {
            case 0, 1 -> terminateInSeries(
                    fleet.proxies(), random.nextInt(1, 1 + fleet.proxies().size()));
            case 2 -> terminateInSeries(fleet.cores(), 1);
            case 3 -> this::reloadAllProxies;
            case 4 -> operator::upsertRoute;
            case 5 -> operator::addKey;
            case 6 -> operator::revokeKey;
            case 7 -> setTargetVersionsInSeries(random.nextInt(1, 4), random.nextLong(400, 4_000));
            default -> pick(servers)::drainAndReplace;
        };
    }

    private Runnable drawFault() {
        long downMs = random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS);
        return switch (random.nextInt(5)) {
            case 0 -> {
                FleetProcess proxy = pick(fleet.proxies());
                yield () -> kill(proxy, false, downMs);
            }
            case 1 -> {
                FleetProcess core = pick(fleet.cores());
                yield () -> kill(core, true, downMs);
            }
            case 2 -> {
                FleetProcess proxy = pick(fleet.proxies());
                yield () -> freeze(proxy, false, downMs);
            }
            case 3 -> {
                FleetProcess core = pick(fleet.cores());
                yield () -> freeze(core, true, downMs);
            }
            default -> {
                ServerSupervisor server = pick(servers);
                yield () -> server.crash(downMs);
            }
        };
    }

    private <T> T pick(List<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    private boolean isCore(FleetProcess process) {
        return fleet.cores().contains(process);
    }

    private Runnable setTargetVersionsInSeries(int count, long gapMs) {
        return () -> {
            for (int i = 0; i < count; i++) {
                runAfter(i * gapMs, operator::setTargetVersion);
            }
        };
    }

    private Runnable terminateInSeries(List<FleetProcess> processes, int count) {
        int first = random.nextInt(processes.size());
        long gapMs = random.nextLong(300, 2_500);
        return () -> {
            for (int i = 0; i < count; i++) {
                FleetProcess process = processes.get((first + i) % processes.size());
                runAfter(i * gapMs, () -> terminate(process));
            }
        };
    }

    private void reloadAllProxies() {
        // A process that has just started has no SIGHUP handler yet and would be terminated by the signal.
        fleet.proxies().stream().filter(proxy -> !disrupted.contains(proxy)).forEach(proxy -> signal(proxy, "HUP"));
    }

    private void signal(FleetProcess process, String signal) {
        try {
            if (process.isAlive()) {
                process.signal(signal);
            }
        } catch (IOException e) {
            record.violations.add("HARNESS: could not send a signal to " + process.name() + ": " + e);
        }
    }

    /**
     * Sends SIGTERM, then SIGKILL after the grace period, and restarts the process. Does nothing if it is not running
     * or is already disrupted.
     */
    private void terminate(FleetProcess process) {
        if (!tryClaim(process)) {
            return;
        }
        long startedAtMs = clock.nowMs();
        signal(process, "TERM");
        new Thread(() -> awaitTermination(process, startedAtMs), "termination of " + process.name()).start();
    }

    private void awaitTermination(FleetProcess process, long startedAtMs) {
        try {
            if (!process.awaitExit(SoakPlan.GRACE_PERIOD_MS)) {
                process.kill();
            }
            long endedAtMs = clock.nowMs();
            record.disruptions.add(new SoakRecord.Disruption(
                    "SIGTERM", process.host(), isCore(process), true, startedAtMs, endedAtMs));
            runAfter(RESTART_DELAY_MS, () -> restart(process));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void kill(FleetProcess process, boolean core, long downMs) {
        if (!tryClaim(process)) {
            return;
        }
        long startedAtMs = clock.nowMs();
        try {
            process.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.disruptions.add(new SoakRecord.Disruption(
                "SIGKILL", process.host(), core, false, startedAtMs, startedAtMs + downMs + SoakPlan.RECOVERY_MS));
        runAfter(downMs, () -> restart(process));
    }

    private void freeze(FleetProcess process, boolean core, long frozenMs) {
        if (!tryClaim(process)) {
            return;
        }
        long startedAtMs = clock.nowMs();
        signal(process, "STOP");
        record.disruptions.add(new SoakRecord.Disruption(
                "SIGSTOP", process.host(), core, false, startedAtMs, startedAtMs + frozenMs + SoakPlan.RECOVERY_MS));
        runAfter(frozenMs, () -> {
            signal(process, "CONT");
            release(process);
        });
    }

    /** Reserves a process for a disruption: at most one core machine at a time, and no process twice at once. */
    private synchronized boolean tryClaim(FleetProcess process) {
        boolean coreDisrupted = disrupted.stream().anyMatch(this::isCore);
        return process.isAlive() && !(isCore(process) && coreDisrupted) && disrupted.add(process);
    }

    private synchronized void release(FleetProcess process) {
        disrupted.remove(process);
    }

    private void restart(FleetProcess process) {
        try {
            process.start();
        } catch (IOException e) {
            record.violations.add("HARNESS: could not start " + process.name() + ": " + e);
        }
        runAfter(SoakPlan.RECOVERY_MS, () -> release(process));
    }

    /** Whether no process is disrupted. */
    boolean isIdle() {
        return disrupted.isEmpty();
    }

    @Override
    public String toString() {
        return disrupted.stream().map(FleetProcess::name).toList().toString();
    }
}
