package quartzspan.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import quartzspan.common.FleetException;

/** Core machines in simulated time: their replicas, disks and links, operators who race, and troubles drawn from a seed. */
final class SimulatedCluster {
    private record Event(long at, long order, Runnable run) {}

    /** One machine; the disk outlives the replica, unless it is lost. */
    final class Machine implements Replica.Output {
        final String name;
        List<byte[]> disk = new ArrayList<>();
        Replica replica;
        int life;
        boolean frozen;
        boolean refuses;
        long slow;
        long diskFree;
        /** A life that ended while records were on their way, one of which did not reach the disk. */
        int lostOfLife = -1;

        final ArrayDeque<Runnable> held = new ArrayDeque<>();
        final Map<Long, Asked> asked = new HashMap<>();

        Machine(String name) {
            this.name = name;
        }

        void start(boolean found) {
            life++;
            int mine = life;
            asked.clear();
            replica = new Replica(name, seeds, losses, found, List.copyOf(disk), random.nextLong(), now, this);
            tick(mine);
        }

        private void tick(int mine) {
            if (replica != null && life == mine) {
                replica.onTick(now);
                after(50, () -> on(this, mine, () -> tick(mine)));
            }
        }

        void kill() {
            replica = null;
            life++;
            held.clear();
            // What was on its way to the disk is there or not, in order.
            diskFree = now;
        }

        @Override
        public void send(String to, ReplicaMessage message) {
            int mine = life;
            if (cuts.contains(name + ">" + to) || random.nextInt(1000) < lossPerMille) {
                return;
            }
            long delay = 1 + random.nextLong(3) + (random.nextInt(50) == 0 ? random.nextLong(120) : 0);
            after(delay, () -> {
                Machine m = machines.get(to);
                if (m != null && !cuts.contains(name + ">" + to) && mine >= 0) {
                    on(m, m.life, () -> {
                        if (m.replica != null) {
                            m.replica.onMessage(now, name, message);
                        }
                    });
                }
            });
        }

        @Override
        public void persist(long seq, byte[] record) {
            int mine = life;
            List<byte[]> kept = disk;
            long done = Math.max(now, diskFree) + 1 + random.nextLong(3) + slow;
            diskFree = done;
            boolean refused = refuses;
            at(done, () -> {
                // A log keeps what was on its way in order: nothing is there whose predecessor is not.
                boolean lost =
                        life != mine && (refused || lostOfLife == mine || random.nextBoolean() || life != mine + 1);
                if (lost) {
                    lostOfLife = mine;
                } else if (!refused) {
                    kept.add(record);
                }
                if (life == mine) {
                    on(this, mine, () -> replica.onPersisted(now, seq, !refused));
                }
            });
        }

        @Override
        public void completed(long requestId, FleetException why, ControlState state) {
            Asked a = asked.remove(requestId);
            if (a != null && why == null) {
                a.granted(state);
            }
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            long[] key = {index};
            Epoch epoch = replica.membership().epoch();
            String by = committedBy.putIfAbsent(epoch, name);
            need(by == null || by.equals(name), "two primaries in epoch " + epoch);
            Long other = committed.get(key);
            need(other == null || other == state.configuration().version(), "two states at index " + index);
            long version = state.configuration().version();
            for (Map.Entry<long[], Long> e : committed.headMap(key, true).entrySet()) {
                need(e.getValue() <= version, "version " + version + " after " + e.getValue());
            }
            for (Map.Entry<long[], Long> e : committed.tailMap(key, false).entrySet()) {
                need(e.getValue() >= version, "version " + version + " before " + e.getValue());
            }
            committed.put(key, version);
        }
    }

    private interface Asked {
        void granted(ControlState state);
    }

    final SplittableRandom random;
    final int losses;
    final List<String> seeds;
    final Map<String, Machine> machines = new TreeMap<>();
    final Set<String> cuts = new HashSet<>();
    int lossPerMille;
    long now = 1_000_000;
    private long order;
    private long requestIds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final TreeMap<long[], Long> committed = new TreeMap<>(Arrays::compare);
    private final Map<Epoch, String> committedBy = new HashMap<>();
    /** Acknowledged changes: base, by version. */
    final TreeMap<Long, Change> acked = new TreeMap<>();

    private final Set<Long> bases = new HashSet<>();
    private long nextVersion = 1;
    private long knownVersion;
    int reads;

    SimulatedCluster(long seed, int losses) {
        this.random = new SplittableRandom(seed);
        this.losses = losses;
        int n = 2 * losses + 1;
        for (int i = 0; i < n; i++) {
            String name = "10.0.0." + (i + 1) + ":7000";
            machines.put(name, new Machine(name));
        }
        seeds = machines.keySet().stream().limit(3).toList();
    }

    static void need(boolean ok, String otherwise) {
        if (!ok) {
            throw new AssertionError(otherwise);
        }
    }

    void at(long time, Runnable run) {
        events.add(new Event(Math.max(time, now), ++order, run));
    }

    void after(long ms, Runnable run) {
        at(now + ms, run);
    }

    /** An event at a machine: dropped if that life is over, held up while it is frozen. */
    private void on(Machine m, int life, Runnable run) {
        if (m.life != life) {
            return;
        }
        if (m.frozen) {
            m.held.add(() -> on(m, life, run));
        } else {
            run.run();
        }
    }

    void run(long untilMs) {
        while (!events.isEmpty() && events.peek().at <= untilMs) {
            Event e = events.poll();
            now = e.at;
            e.run.run();
        }
        now = untilMs;
    }

    void thaw(Machine m) {
        m.frozen = false;
        for (Runnable r; (r = m.held.poll()) != null; ) {
            after(0, r);
        }
    }

    // ---- operators -----------------------------------------------------------------------------------

    static byte[] document(long version) {
        return ("{\"version\":" + version + ",\"routes\":[],\"services\":[]}").getBytes(StandardCharsets.UTF_8);
    }

    /** Two changes on the version last seen, at two machines; whoever is told yes is held to it. */
    void race(int count) {
        for (int i = 0; i < count; i++) {
            nextVersion = Math.max(nextVersion, knownVersion) + 1 + random.nextInt(3);
            change(new Change(Change.Kind.REPLACE, knownVersion, document(nextVersion)), nextVersion, 6);
        }
    }

    private void change(Change change, long version, int tries) {
        if (tries == 0) {
            return;
        }
        for (Machine m : machines.values()) {
            // The operator is sent from one to the other until one says that it decides; a cut-off one may say so too.
            if (m.replica != null && m.replica.isPrimary() && !m.frozen) {
                long requestId = ++requestIds;
                m.asked.put(requestId, state -> {
                    if (!acked.containsKey(version)) {
                        need(bases.add(change.baseVersion()), "two changes on version " + change.baseVersion());
                    }
                    acked.put(version, change);
                    knownVersion = Math.max(knownVersion, version);
                });
                m.replica.submit(now, requestId, change);
            }
        }
        after(300 + random.nextInt(500), () -> {
            if (!acked.containsKey(version)) {
                change(change, version, tries - 1);
            }
        });
    }

    /** A read, at everybody who thinks that it decides. */
    void read() {
        long most = acked.isEmpty() ? 0 : acked.lastKey();
        for (Machine m : machines.values()) {
            if (m.replica != null && m.replica.isPrimary() && !m.frozen) {
                long requestId = ++requestIds;
                m.asked.put(requestId, state -> {
                    reads++;
                    need(
                            state.configuration().version() >= most,
                            "read " + state.configuration().version() + " after " + most);
                    knownVersion = Math.max(knownVersion, state.configuration().version());
                });
                m.replica.read(now, requestId);
            }
        }
    }

    Machine primary() {
        return machines.values().stream()
                .filter(m -> m.replica != null && m.replica.isPrimary())
                .findFirst()
                .orElse(null);
    }

    Machine any() {
        List<Machine> up =
                machines.values().stream().filter(m -> m.replica != null).toList();
        Machine p = primary();
        return p != null && random.nextInt(3) == 0 ? p : up.get(random.nextInt(up.size()));
    }
}
