package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import quartzspan.simulation.EventQueue;

/** Injects faults as far as the fault budget currently allows. */
final class FaultInjector {
    private static final long BUDGET_WAIT_MS = 15_000;
    private static final long TERMINATION_GRACE_MS = 8_000;
    private static final int MAX_MACHINES = 24;
    /**
     * Whether a machine whose successor has caught up stops counting as unavailable at its SIGTERM, as the specification
     * literally says, or only once its process has ended.
     */
    private static final boolean STRICT_PLANNED_REPLACEMENT = Boolean.getBoolean("strict");

    private final Simulation simulation;
    private final Scenario scenario;
    private final EventQueue queue;
    private final FaultBudget budget;

    FaultInjector(Simulation simulation, Scenario scenario) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.queue = simulation.queue();
        this.budget = simulation.budget();
    }

    void apply(Step step, SplittableRandom details) {
        apply(step, details, queue.nowMs() + (step.waitsForBudget() ? BUDGET_WAIT_MS : 0));
    }

    private void apply(Step step, SplittableRandom details, long deadlineMs) {
        switch (step.kind()) {
            case KILL_ALL -> crashAll(step, details, false);
            case POWER_LOSS_ALL -> crashAll(step, details, true);
            default -> {
                List<SimulatedMachine> targets = targets(step, details);
                while (targets.size() > 1 && !isAllowed(step, targets)) {
                    targets = targets.subList(0, targets.size() - 1);
                }
                if (targets.isEmpty()) {
                    return;
                }
                if (isAllowed(step, targets)) {
                    inject(step, targets, details);
                } else if (queue.nowMs() < deadlineMs) {
                    long waitMs = Math.max(1, budget.nextAvailableAtMs(queue.nowMs()) - queue.nowMs());
                    budget.beginPending();
                    queue.schedule(waitMs, () -> {
                        budget.endPending();
                        apply(step, details, deadlineMs);
                    });
                }
            }
        }
    }

    private List<SimulatedMachine> targets(Step step, SplittableRandom details) {
        List<SimulatedMachine> candidates = new ArrayList<>(
                simulation.running().stream().filter(m -> !m.terminating()).toList());
        if (candidates.isEmpty()) {
            return candidates;
        }
        Set<SimulatedMachine> chosen = new LinkedHashSet<>();
        SimulatedMachine first = select(step.target(), candidates, details);
        if (first != null) {
            chosen.add(first);
        }
        int count = step.kind() == Step.Kind.WIPE || step.kind() == Step.Kind.CUT
                ? 1 + details.nextInt(scenario.toleratedFailures())
                : 1;
        while (chosen.size() < Math.min(count, candidates.size())) {
            chosen.add(candidates.get(details.nextInt(candidates.size())));
        }
        return List.copyOf(chosen);
    }

    private SimulatedMachine select(Step.Target target, List<SimulatedMachine> candidates, SplittableRandom details) {
        SimulatedMachine primary = simulation.primary();
        List<String> dataReplicas =
                primary == null ? List.of() : primary.replica().dataReplicas();
        List<String> voters = primary == null ? List.of() : primary.replica().voters();
        List<SimulatedMachine> matching = candidates.stream()
                .filter(m -> switch (target) {
                    case ANY -> true;
                    case PRIMARY -> m == primary;
                    case BACKUP -> m != primary && dataReplicas.contains(m.name);
                    case WITNESS -> voters.contains(m.name) && !dataReplicas.contains(m.name);
                    case STANDBY -> !voters.contains(m.name);
                    case LAST_ACKNOWLEDGING -> m == simulation.lastAcknowledging();
                })
                .toList();
        return matching.isEmpty() ? null : matching.get(details.nextInt(matching.size()));
    }

    /** While no machine lacks its data, faults that keep the disks may affect any number of machines. */
    private boolean isAllowed(Step step, List<SimulatedMachine> targets) {
        long nowMs = queue.nowMs();
        if (step.kind() == Step.Kind.REPLACE_PLANNED) {
            return simulation.machineCount() < MAX_MACHINES && budget.allows(List.of("successor"), nowMs);
        }
        if (step.kind() == Step.Kind.REPLACE_UNPLANNED && simulation.machineCount() >= MAX_MACHINES) {
            return false;
        }
        boolean disksKept = step.kind() != Step.Kind.WIPE && step.kind() != Step.Kind.REPLACE_UNPLANNED;
        if (scenario.allowsExcessFaults()
                && disksKept
                && !budget.isAnyDataMissing(nowMs)
                && !budget.isSettling(nowMs)) {
            return true;
        }
        return budget.allows(targets.stream().map(m -> m.name).toList(), nowMs);
    }

    private void inject(Step step, List<SimulatedMachine> targets, SplittableRandom details) {
        SimulatedMachine machine = targets.get(0);
        simulation.trace(() -> "FAULT " + step.kind() + " of "
                + targets.stream()
                        .map(m -> m.name + (m.running() ? " (" + m.replica().role() + ")" : ""))
                        .toList()
                + " for " + step.durationMs() + " ms");
        switch (step.kind()) {
            case KILL -> crash(machine, false, step.durationMs());
            case POWER_LOSS -> crash(machine, true, step.durationMs());
            case WIPE -> wipeDisks(targets, step, details);
            case CUT -> targets.forEach(m -> cutMachine(m, step, details));
            case CUT_LINKS -> cutLinks(machine, step, details);
            case FREEZE -> injectForDuration(machine, step, machine::freeze, machine::thaw);
            case SLOW_PROCESS -> {
                long delayMs = 20 + details.nextLong(600);
                injectForDuration(
                        machine,
                        step,
                        () -> machine.addProcessingDelay(delayMs),
                        () -> machine.addProcessingDelay(-delayMs));
            }
            case LATE_MESSAGES -> {
                long maxExtraDelayMs = 300 + details.nextLong(5_000);
                injectForDuration(
                        machine,
                        step,
                        () -> simulation.network().addDelay(machine.name, maxExtraDelayMs),
                        () -> simulation.network().addDelay(machine.name, -maxExtraDelayMs));
            }
            case DISK_STALL -> injectForDuration(
                    machine, step, () -> machine.stallDisk(queue.nowMs() + step.durationMs()), () -> {});
            case DISK_FULL -> injectForDuration(
                    machine, step, () -> machine.setDiskFull(true), () -> machine.setDiskFull(false));
            case DISK_SLOW -> {
                long delayMs = 20 + details.nextLong(1_200);
                injectForDuration(
                        machine, step, () -> machine.addDiskDelay(delayMs), () -> machine.addDiskDelay(-delayMs));
            }
            case TERMINATE -> terminate(machine, details);
            case REPLACE_PLANNED -> replacePlanned(machine, details);
            case REPLACE_UNPLANNED -> replaceUnplanned(machine, step);
            default -> throw new IllegalArgumentException(step.kind().name());
        }
    }

    /** Injects a fault that ends after the duration of the step. */
    private void injectForDuration(SimulatedMachine machine, Step step, Runnable start, Runnable end) {
        budget.beginFault(machine.name, queue.nowMs());
        start.run();
        queue.schedule(step.durationMs(), () -> {
            simulation.trace(() -> step.kind() + " of " + machine.name + " is over");
            end.run();
            budget.endFault(machine.name, queue.nowMs());
        });
    }

    private void crash(SimulatedMachine machine, boolean losesPower, long downMs) {
        budget.beginFault(machine.name, queue.nowMs());
        machine.stop(losesPower);
        queue.schedule(downMs, () -> {
            machine.start(simulation.seedNodes(), false);
            budget.endFault(machine.name, queue.nowMs());
        });
    }

    private void crashAll(Step step, SplittableRandom details, boolean losesPower) {
        simulation.trace(() -> "FAULT " + step.kind());
        long downMs = losesPower ? 100 + details.nextLong(2_500) : 100 + details.nextLong(800);
        for (SimulatedMachine machine : simulation.running()) {
            if (!isExempt(machine)) {
                crash(machine, losesPower, downMs + details.nextInt(300));
            }
        }
    }

    /**
     * Exempts a machine that is being removed and no longer counts against the budget during its grace period: no quorum could
     * tolerate its sudden loss as well.
     */
    private static boolean isExempt(SimulatedMachine machine) {
        return STRICT_PLANNED_REPLACEMENT && machine.terminating();
    }

    /** Wipes disks, sometimes while all other machines lose power or are killed. */
    private void wipeDisks(List<SimulatedMachine> targets, Step step, SplittableRandom details) {
        int otherFault = details.nextInt(4);
        for (SimulatedMachine machine : simulation.running()) {
            boolean losesDisk = targets.contains(machine);
            if (losesDisk || otherFault < 2 && !isExempt(machine)) {
                long downMs = 100 + Math.min(step.durationMs(), 3_000) + details.nextInt(300);
                crash(machine, losesDisk ? details.nextBoolean() : otherFault == 0, downMs);
                if (losesDisk) {
                    machine.disk.wipe();
                    budget.onDiskLost(machine.name);
                    queue.schedule(downMs, () -> budget.onRestartedWithoutData(machine.name, queue.nowMs()));
                }
            }
        }
    }

    /** Cuts one machine off from all others; direction 1 cuts only its incoming links, 2 only its outgoing links. */
    private void cutMachine(SimulatedMachine machine, Step step, SplittableRandom details) {
        int direction = details.nextInt(4);
        int bufferedPerMille = details.nextInt(3) * 500;
        List<String> others = simulation.members().stream()
                .map(m -> m.name)
                .filter(n -> !n.equals(machine.name))
                .toList();
        SimulatedNetwork network = simulation.network();
        injectForDuration(
                machine,
                step,
                () -> others.forEach(other -> {
                    if (direction != 1) {
                        network.cut(machine.name, other, bufferedPerMille);
                    }
                    if (direction != 2) {
                        network.cut(other, machine.name, bufferedPerMille);
                    }
                }),
                () -> others.forEach(other -> {
                    if (direction != 1) {
                        network.heal(machine.name, other);
                    }
                    if (direction != 2) {
                        network.heal(other, machine.name);
                    }
                }));
    }

    /** Cuts some links of one machine, each in one direction or both. */
    private void cutLinks(SimulatedMachine machine, Step step, SplittableRandom details) {
        int bufferedPerMille = details.nextInt(3) * 500;
        List<String[]> links = new ArrayList<>();
        for (SimulatedMachine other : simulation.members()) {
            if (other != machine && details.nextBoolean()) {
                if (details.nextInt(3) > 0) {
                    links.add(new String[] {machine.name, other.name});
                }
                if (details.nextInt(3) > 0) {
                    links.add(new String[] {other.name, machine.name});
                }
            }
        }
        SimulatedNetwork network = simulation.network();
        injectForDuration(
                machine,
                step,
                () -> links.forEach(link -> network.cut(link[0], link[1], bufferedPerMille)),
                () -> links.forEach(link -> network.heal(link[0], link[1])));
    }

    /** Sends SIGTERM, then SIGKILL after the grace period, and starts a new process soon after the old one has ended. */
    private void terminate(SimulatedMachine machine, SplittableRandom details) {
        budget.beginFault(machine.name, queue.nowMs());
        machine.terminate();
        whenStopped(machine, queue.nowMs() + TERMINATION_GRACE_MS, () -> {
            queue.schedule(100 + details.nextInt(1_000), () -> {
                machine.start(simulation.seedNodes(), false);
                budget.endFault(machine.name, queue.nowMs());
            });
        });
    }

    private void whenStopped(SimulatedMachine machine, long killAtMs, Runnable action) {
        if (machine.running() && queue.nowMs() >= killAtMs) {
            machine.stop(false);
        }
        if (!machine.running()) {
            action.run();
        } else {
            queue.schedule(20, () -> whenStopped(machine, killAtMs, action));
        }
    }

    /** Starts the successor first; the old machine gets SIGTERM once the catch-up time is over, or up to 3 s later. */
    private void replacePlanned(SimulatedMachine old, SplittableRandom details) {
        SimulatedMachine successor = simulation.addMachine(simulation.machineCount());
        budget.onAdded(successor.name, queue.nowMs());
        successor.start(simulation.seedNodes(), false);
        long waitMs = scenario.catchUpMs() + (details.nextBoolean() ? 0 : details.nextLong(3_000));
        budget.beginPending();
        queue.schedule(waitMs, () -> {
            budget.endPending();
            long nowMs = queue.nowMs();
            boolean allowed = STRICT_PLANNED_REPLACEMENT
                    ? !budget.isUnavailable(successor.name, nowMs)
                    : budget.allows(List.of(old.name), nowMs);
            if (!old.running()
                    || old.terminating()
                    || successor.removed()
                    || budget.isUnavailable(old.name, nowMs)
                    || !allowed) {
                // A machine that is faulty itself can't hand over, so it stays.
                return;
            }
            simulation.trace(() -> "FAULT " + old.name
                    + " receives SIGTERM and is removed afterwards, its successor is " + successor.name);
            budget.beginFault(old.name, queue.nowMs());
            if (STRICT_PLANNED_REPLACEMENT) {
                budget.onRemoved(old.name);
            }
            budget.beginPending();
            old.terminate();
            whenStopped(old, queue.nowMs() + TERMINATION_GRACE_MS, () -> {
                old.remove();
                budget.extendSettling(queue.nowMs() + scenario.catchUpMs());
                // After an incomplete handover the machine counts until the others have settled without it.
                queue.schedule(old.handedOver() ? 0 : scenario.catchUpMs(), () -> {
                    budget.onRemoved(old.name);
                    budget.endPending();
                });
            });
        });
    }

    private void replaceUnplanned(SimulatedMachine old, Step step) {
        budget.beginFault(old.name, queue.nowMs());
        budget.onDiskLost(old.name);
        old.remove();
        queue.schedule(Math.min(step.durationMs(), 4_000), () -> {
            SimulatedMachine successor = simulation.addMachine(simulation.machineCount());
            budget.onReplaced(successor.name, old.name, queue.nowMs());
            successor.start(simulation.seedNodes(), false);
        });
    }
}
