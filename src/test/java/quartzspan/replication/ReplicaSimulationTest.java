package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.replication.SimulatedCluster.Machine;

/**
 * Runs seeded fault scenarios against the replicated control state: crashes, lost disks, network partitions (one-way too),
 * process freezes, delayed and lost messages, full or slow disks, machines replaced by empty ones at other addresses, two
 * concurrent operators. Acknowledged changes must not be lost, at most one change succeeds per base version, reads return the
 * newest version, and after the faults a primary accepts changes.
 */
class ReplicaSimulationTest {
    static final int SCENARIO_COUNT = Integer.getInteger("quartzspan.histories", 1_500);

    @Test
    void noAcknowledgedChangeIsLostInAnyScenario() {
        long reads = 0;
        long acknowledgedCount = 0;
        for (long seed = 1; seed <= SCENARIO_COUNT; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, seed % 4 == 0 ? 2 : 1);
            try {
                runScenario(cluster);
            } catch (AssertionError | RuntimeException failure) {
                throw new AssertionError("scenario " + seed + ": " + failure.getMessage(), failure);
            }
            reads += cluster.reads;
            acknowledgedCount += cluster.acknowledgedChanges.size();
        }
        assertTrue(
                acknowledgedCount > 5L * SCENARIO_COUNT && reads > 5L * SCENARIO_COUNT,
                acknowledgedCount + " changes, " + reads + " reads");
    }

    private static void runScenario(SimulatedCluster cluster) {
        cluster.messageLossPerMille = cluster.random.nextInt(3) == 0 ? 5 : 0;
        cluster.machines
                .values()
                .forEach(machine -> cluster.schedule(cluster.random.nextInt(300), () -> machine.start(true)));
        for (long atMs = 2_000; atMs < 24_000; atMs += 400 + cluster.random.nextInt(900)) {
            cluster.schedule(atMs, () -> cluster.submitConcurrentChanges(1 + cluster.random.nextInt(2)));
            cluster.schedule(atMs + cluster.random.nextInt(400), cluster::read);
        }
        long endMs = cluster.nowMs + 24_000;
        cluster.run(cluster.nowMs + 3_000);
        while (cluster.nowMs < endMs) {
            injectFault(cluster);
            cluster.run(cluster.nowMs + cluster.random.nextInt(2_500));
        }
        cluster.messageLossPerMille = 0;
        cluster.run(cluster.nowMs + 6_000);
        SimulatedCluster.require(
                cluster.primary() != null, "no primary after the faults ended: " + describeMachines(cluster));
        long lastVersion = cluster.acknowledgedChanges.isEmpty() ? 0 : cluster.acknowledgedChanges.lastKey();
        cluster.read();
        cluster.run(cluster.nowMs + 1_000);
        cluster.submitConcurrentChanges(1);
        cluster.run(cluster.nowMs + 4_000);
        SimulatedCluster.require(
                !cluster.acknowledgedChanges.isEmpty() && cluster.acknowledgedChanges.lastKey() > lastVersion,
                "no change acknowledged after the faults ended: " + describeMachines(cluster));
        ControlState state = cluster.primary().replica.state();
        for (Change change : cluster.acknowledgedChanges.values()) {
            SimulatedCluster.require(state.with(change) == state, "an acknowledged change is missing");
        }
    }

    private static String describeMachines(SimulatedCluster cluster) {
        return cluster.machines.values().stream()
                .map(machine -> machine.name + "="
                        + (machine.replica == null
                                ? "down"
                                : machine.replica.role() + " " + machine.replica.promisedEpoch() + " "
                                        + machine.replica.membership().text()))
                .toList()
                .toString();
    }

    /** Injects one random fault, in some cases a crash of the primary right after changes were submitted. */
    private static void injectFault(SimulatedCluster cluster) {
        List<Machine> machines = new ArrayList<>(cluster.machines.values());
        Machine machine = cluster.pickRunningMachine();
        long durationMs = 200L + cluster.random.nextInt(4_000);
        switch (cluster.random.nextInt(14)) {
            case 0, 1 -> {
                machine.kill();
                cluster.run(cluster.nowMs + durationMs);
                machine.start(cluster.nowMs < 1_004_000 && cluster.random.nextBoolean());
            }
            case 2 -> {
                // All machines crash at once.
                machines.forEach(Machine::kill);
                cluster.run(cluster.nowMs + 300 + cluster.random.nextInt(1_500));
                machines.forEach(a -> cluster.schedule(cluster.random.nextInt(300), () -> a.start(false)));
                cluster.run(cluster.nowMs + 300);
            }
            case 3, 4 -> {
                isolate(cluster, machine, machines);
                cluster.run(cluster.nowMs + durationMs);
                cluster.cutLinks.clear();
            }
            case 5 -> {
                machine.frozen = true;
                cluster.run(cluster.nowMs + durationMs);
                cluster.thaw(machine);
            }
            case 6 -> {
                machine.diskFull = true;
                cluster.run(cluster.nowMs + durationMs);
                machine.diskFull = false;
            }
            case 7 -> {
                machine.diskDelayMs = 20L + cluster.random.nextInt(1_200);
                cluster.run(cluster.nowMs + durationMs);
                machine.diskDelayMs = 0;
                cluster.run(cluster.nowMs + 1_500);
            }
            case 8 -> loseDisks(cluster, machines);
            case 9 -> replaceMachine(cluster, machine);
            case 10, 11, 12 -> cutRandomLinks(cluster, machines, 200 + cluster.random.nextInt(4_000));
            default -> {
                // The primary crashes while changes are in flight.
                Machine primary = cluster.primary();
                if (primary != null) {
                    cluster.submitConcurrentChanges(2);
                    cluster.run(cluster.nowMs + cluster.random.nextInt(8));
                    primary.kill();
                    cluster.run(cluster.nowMs + durationMs);
                    primary.start(false);
                }
            }
        }
    }

    /** Cuts one machine off from all others, in one direction or both. */
    private static void isolate(SimulatedCluster cluster, Machine machine, List<Machine> machines) {
        boolean singleDirection = cluster.random.nextBoolean();
        boolean outbound = cluster.random.nextBoolean();
        for (Machine other : machines) {
            if (other != machine) {
                if (!singleDirection || outbound) {
                    cluster.cutLinks.add(machine.name + ">" + other.name);
                }
                if (!singleDirection || !outbound) {
                    cluster.cutLinks.add(other.name + ">" + machine.name);
                }
            }
        }
    }

    /** Cuts random links, each in one direction or both, while all other links work. */
    private static void cutRandomLinks(SimulatedCluster cluster, List<Machine> machines, long durationMs) {
        for (int remaining = 1 + cluster.random.nextInt(machines.size()); remaining > 0; remaining--) {
            Machine a = machines.get(cluster.random.nextInt(machines.size()));
            Machine b = machines.get(cluster.random.nextInt(machines.size()));
            cluster.cutLinks.add(a.name + ">" + b.name);
            if (cluster.random.nextBoolean()) {
                cluster.cutLinks.add(b.name + ">" + a.name);
            }
        }
        for (long endMs = cluster.nowMs + durationMs;
                cluster.nowMs < endMs;
                cluster.run(cluster.nowMs + 50 + cluster.random.nextInt(300))) {
            // Changes go to every machine that considers itself primary.
            cluster.submitConcurrentChanges(1);
        }
        cluster.cutLinks.clear();
    }

    /**
     * Loses as many disks as are tolerated while there are no other faults, perhaps together with a crash of all other machines;
     * then waits until the machines have caught up.
     */
    private static void loseDisks(SimulatedCluster cluster, List<Machine> machines) {
        cluster.run(cluster.nowMs + 4_500);
        boolean stopOthers = cluster.random.nextBoolean();
        if (cluster.random.nextBoolean()) {
            cluster.submitConcurrentChanges(1);
            cluster.run(cluster.nowMs + 5 + cluster.random.nextInt(40));
        }
        List<Machine> diskLosses = new ArrayList<>();
        Machine primary = cluster.primary();
        if (primary != null && cluster.random.nextBoolean()) {
            diskLosses.add(primary);
        }
        while (diskLosses.size() < cluster.toleratedFailures) {
            Machine next = machines.get(cluster.random.nextInt(machines.size()));
            if (!diskLosses.contains(next)) {
                diskLosses.add(next);
            }
        }
        for (Machine machine : machines) {
            if (stopOthers || diskLosses.contains(machine)) {
                machine.kill();
            }
        }
        diskLosses.forEach(machine -> {
            machine.disk = new ArrayList<>();
        });
        cluster.run(cluster.nowMs + 200 + cluster.random.nextInt(2_000));
        for (Machine machine : machines) {
            if (machine.replica == null) {
                cluster.schedule(cluster.random.nextInt(300), () -> machine.start(false));
            }
        }
        if (cluster.random.nextBoolean()) {
            // Link failures during recovery: a machine that restarted with an empty disk must not confirm anything
            // meanwhile.
            cluster.run(cluster.nowMs + cluster.random.nextInt(700));
            cutRandomLinks(cluster, machines, 1_500);
        }
        cluster.run(cluster.nowMs + 4_500);
    }

    /** Removes a machine permanently and starts an empty one at another address. */
    private static void replaceMachine(SimulatedCluster cluster, Machine old) {
        cluster.run(cluster.nowMs + 4_500);
        if (old.replica == null || cluster.machines.size() > 9) {
            return;
        }
        old.kill();
        cluster.machines.remove(old.name);
        Machine replacement = cluster.new Machine("10.0.1." + (cluster.nowMs % 200 + 1) + ":7000");
        if (cluster.machines.containsKey(replacement.name)) {
            replacement = cluster.new Machine("10.0.2." + (cluster.nowMs % 200 + 1) + ":7000");
        }
        cluster.machines.put(replacement.name, replacement);
        Machine added = replacement;
        cluster.schedule(cluster.random.nextInt(2_000), () -> added.start(false));
        cluster.run(cluster.nowMs + 9_000);
    }
}
