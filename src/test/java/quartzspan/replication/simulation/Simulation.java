package quartzspan.replication.simulation;

import static quartzspan.replication.simulation.Violation.require;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import quartzspan.replication.simulation.Violation.Rule;
import quartzspan.simulation.EventQueue;

/** Runs one scenario in simulated time; throws {@link Violation} if a rule is violated. */
final class Simulation {
    /** Time to settle beyond the catch-up time after the last fault. */
    private static final long SETTLE_MARGIN_MS = 1_000;
    /** Time for a change and a read once all faults are over. */
    private static final long REQUEST_WAIT_MS = 3_000;

    private static final long START_MS = 1_000;
    private static final int SEED_NODE_COUNT = 3;
    private static final int START_JITTER_MS = 300;

    private final Scenario scenario;
    private final EventQueue queue = new EventQueue(START_MS);
    private final Map<String, SimulatedMachine> machines = new TreeMap<>();
    private final List<String> trace;
    private final HistoryChecker history = new HistoryChecker();
    private final InvariantChecker invariants = new InvariantChecker();
    private final StepTriggers triggers = new StepTriggers(queue);
    private final FaultBudget budget;
    private final SimulatedNetwork network;
    private final OperatorClients operators;
    private final FaultInjector faultInjector;
    private final SplittableRandom random;
    private SimulatedMachine lastAcknowledging;
    private long fingerprint;
    private boolean faultFree;

    Simulation(Scenario scenario, boolean tracing) {
        this.scenario = scenario;
        this.trace = tracing ? new ArrayList<>() : null;
        this.random = randomStream("simulation");
        this.budget = new FaultBudget(scenario.toleratedFailures(), scenario.catchUpMs());
        this.network = new SimulatedNetwork(this, scenario);
        this.operators = new OperatorClients(this, scenario, history);
        this.faultInjector = new FaultInjector(this, scenario);
    }

    EventQueue queue() {
        return queue;
    }

    HistoryChecker history() {
        return history;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    StepTriggers triggers() {
        return triggers;
    }

    FaultBudget budget() {
        return budget;
    }

    SimulatedNetwork network() {
        return network;
    }

    OperatorClients operators() {
        return operators;
    }

    int toleratedFailures() {
        return scenario.toleratedFailures();
    }

    long fingerprint() {
        return fingerprint;
    }

    List<String> traceLines() {
        return trace;
    }

    void trace(Supplier<String> line) {
        fingerprint = fingerprint * 31 + queue.nowMs();
        if (trace != null) {
            trace.add((queue.nowMs() - START_MS) + " ms: " + line.get());
        }
    }

    /** Returns a random number stream that depends only on the seed of the scenario and the given name. */
    SplittableRandom randomStream(String name) {
        return new SplittableRandom(scenario.seed() * 0x9E3779B97F4A7C15L ^ name.hashCode() * 0xC2B2AE3D27D4EB4FL);
    }

    SimulatedMachine machine(String name) {
        return machines.get(name);
    }

    /** Machines that have not been removed. */
    List<SimulatedMachine> members() {
        return machines.values().stream().filter(m -> !m.removed()).toList();
    }

    List<SimulatedMachine> running() {
        return machines.values().stream().filter(SimulatedMachine::running).toList();
    }

    SimulatedMachine addMachine(int number) {
        String name = "10.0." + number / 200 + "." + (number % 200 + 1) + ":7000";
        SimulatedMachine machine = new SimulatedMachine(name, this, randomStream("machine " + name));
        machines.put(name, machine);
        return machine;
    }

    int machineCount() {
        return machines.size();
    }

    /** Picks the machine for an operator's request, mostly a running one. */
    SimulatedMachine pickMachine(SplittableRandom machineRandom) {
        List<SimulatedMachine> candidates = machineRandom.nextInt(8) == 0 ? members() : running();
        return candidates.isEmpty() ? null : candidates.get(machineRandom.nextInt(candidates.size()));
    }

    SimulatedMachine primary() {
        return running().stream()
                .filter(m -> m.replica().isPrimary())
                .findFirst()
                .orElse(null);
    }

    void onAcknowledged(SimulatedMachine machine) {
        lastAcknowledging = machine;
        triggers.fire(Step.Trigger.ACKNOWLEDGEMENT);
    }

    SimulatedMachine lastAcknowledging() {
        return lastAcknowledging;
    }

    /** Picks three of the current machines as the seed nodes in the settings of a process. */
    List<String> seedNodes() {
        List<String> candidates =
                new ArrayList<>(members().stream().map(m -> m.name).toList());
        while (candidates.size() > SEED_NODE_COUNT) {
            candidates.remove(random.nextInt(candidates.size()));
        }
        return candidates;
    }

    void run() {
        for (int i = 0; i < scenario.machines(); i++) {
            addMachine(i);
        }
        List<String> seedNodes =
                machines.keySet().stream().limit(SEED_NODE_COUNT).toList();
        for (SimulatedMachine machine : List.copyOf(machines.values())) {
            budget.onAdded(machine.name, queue.nowMs());
            queue.schedule(random.nextInt(START_JITTER_MS), () -> machine.start(seedNodes, true));
        }
        for (Step step : scenario.steps()) {
            queue.schedule(step.atMs(), () -> triggers.add(step, () -> apply(step)));
        }
        queue.runUntil(START_MS + scenario.endMs());
        triggers.cancelPending();
        while (budget.isAnyUnavailable(queue.nowMs())) {
            queue.runUntil(Math.max(queue.nowMs() + 1, budget.nextAvailableAtMs(queue.nowMs())));
        }
        queue.runUntil(queue.nowMs() + SETTLE_MARGIN_MS);
        checkAfterFaults();
    }

    private void apply(Step step) {
        SplittableRandom details = new SplittableRandom(step.detailSeed());
        switch (step.kind()) {
            case RACE -> operators.submitConcurrentChanges(details);
            case READ -> operators.read(6);
            case RESEND -> operators.resendChange(details);
            case NAME_WEIGHTS -> operators.submitWeightsVersion(details);
            case INVALID_CHANGE -> operators.submitInvalidChange(details);
            default -> faultInjector.apply(step, details);
        }
    }

    /** Whether the last fault is over. */
    boolean faultFree() {
        return faultFree;
    }

    private void checkAfterFaults() {
        faultFree = true;
        require(primary() != null, Rule.PRIMARY_EXISTS_AFTER_FAULTS, describe());
        checkRedundancy();
        int acknowledgedBefore = history.acknowledged();
        operators.read(20, () -> operators.submitConcurrentChanges(new SplittableRandom(1)));
        queue.runUntil(queue.nowMs() + REQUEST_WAIT_MS);
        require(history.acknowledged() > acknowledgedBefore, Rule.REQUESTS_SUCCEED_AFTER_FAULTS, describe());
        SimulatedMachine primary = primary();
        require(primary != null, Rule.PRIMARY_EXISTS_AFTER_FAULTS, describe());
        int readsBefore = history.reads();
        operators.read(20);
        queue.runUntil(queue.nowMs() + REQUEST_WAIT_MS);
        require(history.reads() > readsBefore, Rule.REQUESTS_SUCCEED_AFTER_FAULTS, "no read succeeded: " + describe());
        history.checkDurable(primary.replica().state());
        checkRedundancy();
    }

    /** Checks that no tolerated failure that comes next can lose an acknowledged change. */
    private void checkRedundancy() {
        ReplicaAdapter primary = primary().replica();
        int machineCount = members().size();
        List<String> dataReplicas = primary.dataReplicas();
        List<String> voters = primary.voters();
        require(
                dataReplicas.size() >= Math.min(scenario.toleratedFailures() + 1, machineCount)
                        && voters.size() >= Math.min(2 * scenario.toleratedFailures() + 1, machineCount),
                Rule.REDUNDANCY_RESTORED_AFTER_FAULTS,
                "too few data replicas or voters: " + describe());
        require(
                !primary.isChangingVoters(),
                Rule.REDUNDANCY_RESTORED_AFTER_FAULTS,
                "change of voters still in progress: " + describe());
        for (String name : voters) {
            SimulatedMachine machine = machines.get(name);
            require(
                    machine.running()
                            && !machine.replica().isRecovering()
                            && machine.replica().epoch().equals(primary.epoch()),
                    Rule.REDUNDANCY_RESTORED_AFTER_FAULTS,
                    name + " is a voter but has not caught up: " + describe());
        }
        for (String name : dataReplicas) {
            require(
                    machines.get(name).replica().logPosition().equals(primary.logPosition()),
                    Rule.REDUNDANCY_RESTORED_AFTER_FAULTS,
                    name + " is a data replica with an outdated log: " + describe());
        }
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        for (SimulatedMachine machine : machines.values()) {
            text.append("\n    ").append(machine.name).append(' ');
            text.append(
                    machine.removed()
                            ? "removed"
                            : machine.running() ? machine.replica().describe() : "down");
        }
        return text.toString();
    }
}
