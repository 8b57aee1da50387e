package quartzspan.simulation;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.controlplane.SimulatedCore;
import quartzspan.frontend.SimulatedProxy;

/** Injects the faults of a scenario, as far as the tolerance of the deployment allows. */
final class FleetFaults {
    /** A disk is lost only when all core machines have been calm for this long: others may not have caught up before. */
    private static final long DISK_LOSS_INTERVAL_MS = 6_000;

    private static final int MAX_RESTART_MS = 800;
    private static final int MAX_STALL_MS = 4_000;
    private static final int MAX_DISK_DELAY_MS = 600;
    private static final int MAX_LINK_DELAY_MS = 500;
    private static final int MAX_LOSS_PER_MILLE = 100;

    private final FleetWorld fleet;
    private final World world;
    private final Map<FleetFault.Kind, Integer> injected = new TreeMap<>();
    private long lastDiskLossMs = Long.MIN_VALUE / 4;

    FleetFaults(FleetWorld fleet) {
        this.fleet = fleet;
        this.world = fleet.world();
    }

    Map<FleetFault.Kind, Integer> injected() {
        return injected;
    }

    void schedule(FleetFault fault) {
        world.schedule(fault.atMs() - world.nowMs(), () -> {
            if (fault.crossing() == null) {
                inject(fault, null);
            } else {
                world.aim(fault.crossing(), fault.crossingCount(), process -> {
                    if (world.nowMs() < FleetScenario.LAST_FAULT_MS) {
                        inject(fault, process);
                    }
                });
            }
        });
    }

    private void inject(FleetFault fault, String crossingProcess) {
        SimulatedCore core = core(fault, crossingProcess);
        SimulatedProxy proxy =
                fleet.proxies().get(fault.target() % fleet.proxies().size());
        if ((fault.kind() == FleetFault.Kind.LOSE_DISK || fault.kind() == FleetFault.Kind.REPLACE_CORE)
                && !mayLoseDisk()) {
            return;
        }
        injected.merge(fault.kind(), 1, Integer::sum);
        world.trace(() -> "fault " + fault + " at " + crossingProcess);
        switch (fault.kind()) {
            case KILL_CORE -> killFor(core, fault.durationMs());
            case KILL_ALL_CORES -> List.copyOf(fleet.cores().values()).forEach(this::killForAShortTime);
            case KILL_ALL -> killAll();
            case LOSE_DISK -> {
                lastDiskLossMs = world.nowMs();
                core.kill();
                core.loseDisk();
                world.schedule(fault.durationMs(), core::start);
            }
            case REPLACE_CORE -> {
                lastDiskLossMs = world.nowMs();
                fleet.replaceCore(core);
            }
            case FREEZE_CORE -> freezeFor(core, fault.durationMs());
            case CUT_CORE -> cutFor(core, fault.durationMs(), true);
            case CUT_CORE_ONE_WAY -> cutFor(core, fault.durationMs(), false);
            case SLOW_DISK -> {
                long delayMs = 1 + (long) (fault.strength() * MAX_DISK_DELAY_MS);
                during(core, fault.durationMs(), () -> core.addDiskDelay(delayMs), () -> core.addDiskDelay(-delayMs));
            }
            case FULL_DISK -> during(
                    core, fault.durationMs(), () -> core.setDiskFull(true), () -> core.setDiskFull(false));
            case SLOW_LINKS_OF_CORE -> {
                long delayMs = 1 + (long) (fault.strength() * MAX_LINK_DELAY_MS);
                during(
                        core,
                        fault.durationMs(),
                        () -> world.addDelay(core.name(), delayMs),
                        () -> world.addDelay(core.name(), -delayMs));
            }
            case STALL_CORE -> stallFor(core, fault);
            case KILL_PROXY -> killFor(proxy, fault.durationMs());
            case STALL_PROXY -> stallFor(proxy, fault);
            case FREEZE_PROXY -> freezeFor(proxy, fault.durationMs());
            case CUT_PROXY -> cutFor(proxy, fault.durationMs(), true);
            case CRASH_SERVER -> crashServer(fault);
            case LOSSY_NETWORK -> during(
                    core,
                    fault.durationMs(),
                    () -> world.setLoss((int) (fault.strength() * MAX_LOSS_PER_MILLE)),
                    () -> world.setLoss(0));
            case DOUBLED_MESSAGES -> {
                world.setDuplication((int) (fault.strength() * MAX_LOSS_PER_MILLE));
                world.schedule(fault.durationMs(), () -> world.setDuplication(0));
            }
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    private boolean mayLoseDisk() {
        return world.nowMs() - lastDiskLossMs > DISK_LOSS_INTERVAL_MS
                && fleet.cores().values().stream()
                        .allMatch(core -> world.nowMs() - world.troubles().lastAtMs(world.nowMs(), core.name())
                                > DISK_LOSS_INTERVAL_MS / 2);
    }

    private SimulatedCore core(FleetFault fault, String crossingProcess) {
        SimulatedCore crossing = crossingProcess == null ? null : fleet.cores().get(crossingProcess);
        List<SimulatedCore> cores = List.copyOf(fleet.cores().values());
        return crossing != null ? crossing : cores.get(fault.target() % cores.size());
    }

    private void killAll() {
        List.copyOf(fleet.cores().values()).forEach(this::killForAShortTime);
        fleet.proxies().forEach(this::killForAShortTime);
    }

    private void killForAShortTime(SimulatedProcess process) {
        killFor(process, 100 + world.random().nextInt(MAX_RESTART_MS));
    }

    private void killFor(SimulatedProcess process, long durationMs) {
        process.kill();
        world.schedule(durationMs, () -> {
            if (!process.isRunning() && (!process.isCore() || fleet.cores().containsKey(process.name()))) {
                process.start();
            }
        });
    }

    private void stallFor(SimulatedProcess process, FleetFault fault) {
        process.pause();
        world.schedule(1 + (long) (fault.strength() * MAX_STALL_MS), process::resume);
    }

    private void freezeFor(SimulatedProcess process, long durationMs) {
        process.freeze();
        world.schedule(durationMs, process::thaw);
    }

    private void during(SimulatedProcess process, long durationMs, Runnable begin, Runnable end) {
        world.troubles().begin(world.nowMs(), process.name());
        begin.run();
        world.schedule(durationMs, () -> {
            end.run();
            world.troubles().end(world.nowMs(), process.name());
        });
    }

    private void cutFor(SimulatedProcess process, long durationMs, boolean bothWays) {
        List<String> others = List.copyOf(fleet.cores().keySet());
        during(process, durationMs, () -> cut(process.name(), others, bothWays), () -> {
            for (String other : others) {
                world.heal(process.name(), other);
                if (bothWays) {
                    world.heal(other, process.name());
                }
            }
        });
    }

    private void cut(String process, List<String> others, boolean bothWays) {
        for (String other : others) {
            world.cut(process, other);
            if (bothWays) {
                world.cut(other, process);
            }
        }
    }

    private void crashServer(FleetFault fault) {
        List<SimulatedServer> serving = fleet.servingServers();
        if (serving.size() > 1) {
            SimulatedServer crashed = serving.get(fault.target() % serving.size());
            crashed.crash();
            world.schedule(fault.durationMs(), () -> fleet.startServer(crashed.weights()));
        }
    }
}
