package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.replication.SimulatedCluster.Machine;

/**
 * Plays seeded histories of troubles against the control state: kills, lost disks, cuts (one way too), freezes, late and lost
 * messages, disks that refuse or are slow, machines replaced by empty ones at other addresses, two operators at once. What was
 * acknowledged must be there, changes on one version exclude each other, what is read is the newest, and calm brings a
 * primary that takes changes.
 */
class ReplicaSimulationTest {
    static final int HISTORIES = Integer.getInteger("quartzspan.histories", 1_500);

    @Test
    void noAcknowledgedChangeIsLostInAnyHistory() {
        long reads = 0;
        long acked = 0;
        for (long seed = 1; seed <= HISTORIES; seed++) {
            SimulatedCluster w = new SimulatedCluster(seed, seed % 4 == 0 ? 2 : 1);
            try {
                play(w);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("history " + seed + ": " + e.getMessage(), e);
            }
            reads += w.reads;
            acked += w.acked.size();
        }
        assertTrue(acked > 5L * HISTORIES && reads > 5L * HISTORIES, acked + " changes, " + reads + " reads");
    }

    private static void play(SimulatedCluster w) {
        w.lossPerMille = w.random.nextInt(3) == 0 ? 5 : 0;
        w.machines.values().forEach(m -> w.after(w.random.nextInt(300), () -> m.start(true)));
        for (long at = 2_000; at < 24_000; at += 400 + w.random.nextInt(900)) {
            w.after(at, () -> w.race(1 + w.random.nextInt(2)));
            w.after(at + w.random.nextInt(400), w::read);
        }
        long end = w.now + 24_000;
        w.run(w.now + 3_000);
        while (w.now < end) {
            episode(w);
            w.run(w.now + w.random.nextInt(2_500));
        }
        w.lossPerMille = 0;
        w.run(w.now + 6_000);
        SimulatedCluster.need(w.primary() != null, "calm brings no primary: " + roles(w));
        long last = w.acked.isEmpty() ? 0 : w.acked.lastKey();
        w.read();
        w.run(w.now + 1_000);
        w.race(1);
        w.run(w.now + 4_000);
        SimulatedCluster.need(!w.acked.isEmpty() && w.acked.lastKey() > last, "calm brings no change: " + roles(w));
        ControlState state = w.primary().replica.state();
        for (Change c : w.acked.values()) {
            SimulatedCluster.need(state.with(c) == state, "an acknowledged change is not there");
        }
    }

    private static String roles(SimulatedCluster w) {
        return w.machines.values().stream()
                .map(m -> m.name + "="
                        + (m.replica == null
                                ? "down"
                                : m.replica.role() + " " + m.replica.promisedEpoch() + " "
                                        + m.replica.membership().text()))
                .toList()
                .toString();
    }

    /** One trouble, or one that strikes right after a change was acknowledged. */
    private static void episode(SimulatedCluster w) {
        List<Machine> all = new ArrayList<>(w.machines.values());
        Machine m = w.any();
        long down = 200L + w.random.nextInt(4_000);
        switch (w.random.nextInt(14)) {
            case 0, 1 -> {
                m.kill();
                w.run(w.now + down);
                m.start(w.now < 1_004_000 && w.random.nextBoolean());
            }
            case 2 -> {
                // Everybody at once.
                all.forEach(Machine::kill);
                w.run(w.now + 300 + w.random.nextInt(1_500));
                all.forEach(a -> w.after(w.random.nextInt(300), () -> a.start(false)));
                w.run(w.now + 300);
            }
            case 3, 4 -> {
                cutOff(w, m, all);
                w.run(w.now + down);
                w.cuts.clear();
            }
            case 5 -> {
                m.frozen = true;
                w.run(w.now + down);
                w.thaw(m);
            }
            case 6 -> {
                m.refuses = true;
                w.run(w.now + down);
                m.refuses = false;
            }
            case 7 -> {
                m.slow = 20L + w.random.nextInt(1_200);
                w.run(w.now + down);
                m.slow = 0;
                w.run(w.now + 1_500);
            }
            case 8 -> wipe(w, all);
            case 9 -> replace(w, m);
            case 10, 11, 12 -> links(w, all, 200 + w.random.nextInt(4_000));
            default -> {
                // A change is on its way when its primary dies.
                Machine p = w.primary();
                if (p != null) {
                    w.race(2);
                    w.run(w.now + w.random.nextInt(8));
                    p.kill();
                    w.run(w.now + down);
                    p.start(false);
                }
            }
        }
    }

    /** One machine is cut off from all others, in one direction or both. */
    private static void cutOff(SimulatedCluster w, Machine m, List<Machine> all) {
        boolean oneWay = w.random.nextBoolean();
        boolean to = w.random.nextBoolean();
        for (Machine o : all) {
            if (o != m) {
                if (!oneWay || to) {
                    w.cuts.add(m.name + ">" + o.name);
                }
                if (!oneWay || !to) {
                    w.cuts.add(o.name + ">" + m.name);
                }
            }
        }
    }

    /** Some links fail, each in one direction or both, while everybody else hears everybody. */
    private static void links(SimulatedCluster w, List<Machine> all, long forMs) {
        for (int n = 1 + w.random.nextInt(all.size()); n > 0; n--) {
            Machine a = all.get(w.random.nextInt(all.size()));
            Machine b = all.get(w.random.nextInt(all.size()));
            w.cuts.add(a.name + ">" + b.name);
            if (w.random.nextBoolean()) {
                w.cuts.add(b.name + ">" + a.name);
            }
        }
        for (long end = w.now + forMs; w.now < end; w.run(w.now + 50 + w.random.nextInt(300))) {
            // Whoever thinks that it decides is asked.
            w.race(1);
        }
        w.cuts.clear();
    }

    /** As many disks as may be lost are, in a calm time, perhaps while all others lose power; then calm until caught up. */
    private static void wipe(SimulatedCluster w, List<Machine> all) {
        w.run(w.now + 4_500);
        boolean others = w.random.nextBoolean();
        if (w.random.nextBoolean()) {
            w.race(1);
            w.run(w.now + 5 + w.random.nextInt(40));
        }
        List<Machine> lost = new ArrayList<>();
        Machine p = w.primary();
        if (p != null && w.random.nextBoolean()) {
            lost.add(p);
        }
        while (lost.size() < w.losses) {
            Machine next = all.get(w.random.nextInt(all.size()));
            if (!lost.contains(next)) {
                lost.add(next);
            }
        }
        for (Machine m : all) {
            if (others || lost.contains(m)) {
                m.kill();
            }
        }
        lost.forEach(m -> {
            m.disk = new ArrayList<>();
        });
        w.run(w.now + 200 + w.random.nextInt(2_000));
        for (Machine m : all) {
            if (m.replica == null) {
                w.after(w.random.nextInt(300), () -> m.start(false));
            }
        }
        if (w.random.nextBoolean()) {
            // Disks are not the only trouble: what has come back empty vouches for nothing meanwhile.
            w.run(w.now + w.random.nextInt(700));
            links(w, all, 1_500);
        }
        w.run(w.now + 4_500);
    }

    /** A machine goes for good, and an empty one at another address comes. */
    private static void replace(SimulatedCluster w, Machine old) {
        w.run(w.now + 4_500);
        if (old.replica == null || w.machines.size() > 9) {
            return;
        }
        old.kill();
        w.machines.remove(old.name);
        Machine fresh = w.new Machine("10.0.1." + (w.now % 200 + 1) + ":7000");
        if (w.machines.containsKey(fresh.name)) {
            fresh = w.new Machine("10.0.2." + (w.now % 200 + 1) + ":7000");
        }
        w.machines.put(fresh.name, fresh);
        Machine added = fresh;
        w.after(w.random.nextInt(2_000), () -> added.start(false));
        w.run(w.now + 9_000);
    }
}
