package quartzspan.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import quartzspan.frontend.SimulatedProxy;
import quartzspan.simulation.FleetScenario.Action;
import quartzspan.simulation.FleetScenario.OperatorStep;
import quartzspan.simulation.FleetViolation.Rule;

/** Plays one scenario in the simulated world; throws {@link FleetViolation} if a rule is broken. */
final class FleetSimulation {
    /** After the last fault, this long until the fleet must take changes and serve requests. */
    private static final long RECOVERY_MS = 9_000;

    private static final long FINAL_CHECK_MS = 4_000;
    private static final long SERVER_RESTART_MS = 1_000;

    private final FleetScenario scenario;
    private final FleetWorld fleet;
    private final World world;
    private final FleetFaults faults;

    FleetSimulation(FleetScenario scenario, boolean tracing) {
        this.scenario = scenario;
        this.fleet = new FleetWorld(scenario, tracing);
        this.world = fleet.world();
        this.faults = new FleetFaults(fleet);
    }

    FleetWorld fleet() {
        return fleet;
    }

    FleetFaults faults() {
        return faults;
    }

    /** Plays the scenario to its end. */
    void run() {
        fleet.clients().start();
        setTickLateness(scenario.maxTickLatenessMs());
        for (OperatorStep step : scenario.steps()) {
            world.schedule(step.atMs() - world.nowMs(), () -> perform(step.action()));
        }
        scenario.faults().forEach(faults::schedule);
        world.runUntil(FleetScenario.END_OF_FAULTS_MS);
        setTickLateness(IntStream.range(0, scenario.cores() + scenario.proxies())
                .mapToObj(i -> 0)
                .toList());
        world.runUntil(FleetScenario.END_OF_FAULTS_MS + RECOVERY_MS);
        checkRecovered();
    }

    private void setTickLateness(List<Integer> maxLatenessMs) {
        List<SimulatedProcess> processes = new ArrayList<>(fleet.cores().values());
        processes.addAll(fleet.proxies());
        for (int i = 0; i < processes.size(); i++) {
            processes.get(i).setTickLateness(maxLatenessMs.get(Math.min(i, maxLatenessMs.size() - 1)));
        }
    }

    private void perform(Action action) {
        switch (action) {
            case CHANGE_CONFIGURATION -> fleet.operator().changeConfiguration();
            case RACE -> {
                fleet.operator().changeConfiguration();
                fleet.operator().changeConfiguration();
            }
            case NAME_WEIGHTS -> fleet.operator().nameWeights();
            case READ -> fleet.operator().read();
            case DRAIN_SERVER -> drainServer(true);
            case DEREGISTER_SERVER -> drainServer(false);
            default -> throw new IllegalStateException("unknown action " + action);
        }
    }

    /** A server leaves, and another one takes its place; a new server has the newest weights. */
    private void drainServer(boolean announced) {
        List<SimulatedServer> serving = fleet.servingServers();
        if (serving.size() > 2) {
            serving.get(world.random().nextInt(serving.size())).drain(announced);
            world.schedule(
                    SERVER_RESTART_MS,
                    () -> fleet.startServer(Math.max(1, fleet.rules().newestAcknowledgedWeights())));
        }
    }

    /** A change is taken, the newest configuration is read, and requests are served. */
    private void checkRecovered() {
        long executionsBefore = fleet.rules().executions();
        long changesBefore = fleet.operator().changes();
        long readsBefore = fleet.operator().reads();
        fleet.operator().read();
        fleet.operator().read();
        world.runUntil(world.nowMs() + FINAL_CHECK_MS / 2);
        fleet.operator().changeConfiguration();
        world.runUntil(world.nowMs() + FINAL_CHECK_MS / 2);
        fleet.operator().read();
        fleet.operator().read();
        fleet.operator().read();
        fleet.operator().read();
        world.runUntil(world.nowMs() + FINAL_CHECK_MS);
        FleetRules.require(
                fleet.operator().changes() > changesBefore, Rule.RECOVER, () -> "no change is taken after the faults");
        FleetRules.require(
                fleet.operator().reads() > readsBefore, Rule.LOST, () -> "no read is answered after the faults");
        FleetRules.require(
                fleet.rules().executions() > executionsBefore,
                Rule.RECOVER,
                () -> "no request runs after the faults: " + fleet.clients().answers());
    }

    /** Requests that were forwarded. */
    long forwarded() {
        return fleet.clients().answers().getOrDefault(SimulatedProxy.Answer.FORWARDED, 0L);
    }
}
