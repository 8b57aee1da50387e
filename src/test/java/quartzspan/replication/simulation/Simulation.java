package quartzspan.replication.simulation;

import static quartzspan.replication.simulation.Violation.require;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import quartzspan.replication.simulation.Violation.Rule;

/** Plays one scenario in simulated time; throws {@link Violation} where a rule is broken. */
final class Simulation {
    /** Time that members have beyond the catch-up time, after the last trouble. */
    private static final long MARGIN_MS = 1_000;
    /** Time for a change and a read in calm. */
    private static final long ANSWER_MS = 3_000;

    private static final long START = 1_000;
    private static final int SEEDS = 3;
    private static final int START_SPREAD_MS = 300;

    private final Scenario scenario;
    private final EventQueue queue = new EventQueue(START);
    private final Map<String, SimulatedMachine> machines = new TreeMap<>();
    private final List<String> trace;
    private final HistoryChecker history = new HistoryChecker();
    private final InvariantChecker invariants = new InvariantChecker();
    private final TriggerBoard triggers = new TriggerBoard(queue);
    private final FaultBudget budget;
    private final SimulatedNetwork network;
    private final OperatorClients operators;
    private final TroubleInjector troubles;
    private final SplittableRandom random;
    private SimulatedMachine lastAcknowledging;
    private long fingerprint;
    private boolean calm;

    Simulation(Scenario scenario, boolean tracing) {
        this.scenario = scenario;
        this.trace = tracing ? new ArrayList<>() : null;
        this.random = randomOf("simulation");
        this.budget = new FaultBudget(scenario.losses(), scenario.catchUpMs());
        this.network = new SimulatedNetwork(this, scenario);
        this.operators = new OperatorClients(this, scenario, history);
        this.troubles = new TroubleInjector(this, scenario);
    }

    // ---- its parts -----------------------------------------------------------------------------------

    EventQueue queue() {
        return queue;
    }

    HistoryChecker history() {
        return history;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    TriggerBoard triggers() {
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

    int losses() {
        return scenario.losses();
    }

    long fingerprint() {
        return fingerprint;
    }

    List<String> traceLines() {
        return trace;
    }

    void trace(Supplier<String> line) {
        fingerprint = fingerprint * 31 + queue.now();
        if (trace != null) {
            trace.add((queue.now() - START) + " ms: " + line.get());
        }
    }

    /** A stream of random numbers that depends on nothing but the seed and a name. */
    SplittableRandom randomOf(String name) {
        return new SplittableRandom(scenario.seed() * 0x9E3779B97F4A7C15L ^ name.hashCode() * 0xC2B2AE3D27D4EB4FL);
    }

    // ---- machines ------------------------------------------------------------------------------------

    SimulatedMachine machine(String name) {
        return machines.get(name);
    }

    /** Machines that were not removed. */
    List<SimulatedMachine> members() {
        return machines.values().stream().filter(m -> !m.removed()).toList();
    }

    List<SimulatedMachine> running() {
        return machines.values().stream().filter(SimulatedMachine::running).toList();
    }

    SimulatedMachine add(int number) {
        String name = "10.0." + number / 200 + "." + (number % 200 + 1) + ":7000";
        SimulatedMachine machine = new SimulatedMachine(name, this, randomOf("machine " + name));
        machines.put(name, machine);
        return machine;
    }

    int machineCount() {
        return machines.size();
    }

    /** Whom an operator calls: mostly one that runs. */
    SimulatedMachine anyMachine(SplittableRandom of) {
        List<SimulatedMachine> all = of.nextInt(8) == 0 ? members() : running();
        return all.isEmpty() ? null : all.get(of.nextInt(all.size()));
    }

    SimulatedMachine primary() {
        return running().stream()
                .filter(m -> m.replica().isPrimary())
                .findFirst()
                .orElse(null);
    }

    void acknowledgedBy(SimulatedMachine machine) {
        lastAcknowledging = machine;
        triggers.fire(Step.Trigger.ACKNOWLEDGEMENT);
    }

    SimulatedMachine lastAcknowledging() {
        return lastAcknowledging;
    }

    /** Three machines of the present ones, as the settings of a process name them. */
    List<String> seedNodes() {
        List<String> all = new ArrayList<>(members().stream().map(m -> m.name).toList());
        while (all.size() > SEEDS) {
            all.remove(random.nextInt(all.size()));
        }
        return all;
    }

    // ---- a history -----------------------------------------------------------------------------------

    void run() {
        for (int i = 0; i < scenario.machines(); i++) {
            add(i);
        }
        List<String> seeds = machines.keySet().stream().limit(SEEDS).toList();
        for (SimulatedMachine machine : List.copyOf(machines.values())) {
            budget.added(machine.name, queue.now());
            queue.after(random.nextInt(START_SPREAD_MS), () -> machine.start(seeds, true));
        }
        for (Step step : scenario.steps()) {
            queue.after(step.atMs(), () -> triggers.add(step, () -> apply(step)));
        }
        queue.runUntil(START + scenario.endMs());
        triggers.close();
        while (budget.anyLost(queue.now())) {
            queue.runUntil(Math.max(queue.now() + 1, budget.nextReturn(queue.now())));
        }
        queue.runUntil(queue.now() + MARGIN_MS);
        checkCalm();
    }

    private void apply(Step step) {
        SplittableRandom details = new SplittableRandom(step.variation());
        switch (step.kind()) {
            case RACE -> operators.race(details);
            case READ -> operators.read(6);
            case RESEND -> operators.resend(details);
            case NAME_WEIGHTS -> operators.nameWeights(details);
            case INVALID_CHANGE -> operators.invalid(details);
            default -> troubles.apply(step, details);
        }
    }

    /** Whether the last trouble is over. */
    boolean calm() {
        return calm;
    }

    private void checkCalm() {
        calm = true;
        require(primary() != null, Rule.CALM_HAS_A_PRIMARY, describe());
        checkRedundancy();
        int before = history.acknowledged();
        operators.read(20, () -> operators.race(new SplittableRandom(1)));
        queue.runUntil(queue.now() + ANSWER_MS);
        require(history.acknowledged() > before, Rule.CALM_ACCEPTS_A_CHANGE, describe());
        SimulatedMachine primary = primary();
        require(primary != null, Rule.CALM_HAS_A_PRIMARY, describe());
        int reads = history.reads();
        operators.read(20);
        queue.runUntil(queue.now() + ANSWER_MS);
        require(history.reads() > reads, Rule.CALM_ACCEPTS_A_CHANGE, "no read is answered: " + describe());
        history.checkDurable(primary.replica().inForce());
        checkRedundancy();
    }

    /** Whatever may be lost next, nothing that was acknowledged is lost with it. */
    private void checkRedundancy() {
        ReplicaAdapter primary = primary().replica();
        int machinesLeft = members().size();
        List<String> copies = primary.dataReplicas();
        List<String> voters = primary.voters();
        require(
                copies.size() >= Math.min(scenario.losses() + 1, machinesLeft)
                        && voters.size() >= Math.min(2 * scenario.losses() + 1, machinesLeft),
                Rule.CALM_RESTORES_REDUNDANCY,
                "too few copies or voters: " + describe());
        require(!primary.changingVoters(), Rule.CALM_RESTORES_REDUNDANCY, "voters still change: " + describe());
        for (String name : voters) {
            SimulatedMachine machine = machines.get(name);
            require(
                    machine.running()
                            && !machine.replica().isRecovering()
                            && machine.replica().epoch().equals(primary.epoch()),
                    Rule.CALM_RESTORES_REDUNDANCY,
                    name + " is a voter that is not caught up: " + describe());
        }
        for (String name : copies) {
            require(
                    machines.get(name).replica().copyPosition().equals(primary.copyPosition()),
                    Rule.CALM_RESTORES_REDUNDANCY,
                    name + " holds an old copy: " + describe());
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
