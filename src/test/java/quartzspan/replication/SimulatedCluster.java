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

/** Core machines in simulated time: replicas, disks, links, concurrent operators, and faults generated from a seed. */
final class SimulatedCluster {
    private record Event(long atMs, long order, Runnable action) {}

    /** One machine; its disk survives a crash of the replica, unless the disk is lost. */
    final class Machine implements Replica.Output {
        final String name;
        List<byte[]> disk = new ArrayList<>();
        Replica replica;
        int incarnation;
        boolean frozen;
        boolean diskFull;
        long diskDelayMs;
        long diskIdleAtMs;
        /** The incarnation that ended with writes in flight, at least one of which did not reach the disk. */
        int incarnationWithLostWrite = -1;

        final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();
        final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

        Machine(String name) {
            this.name = name;
        }

        void start(boolean bootstrap) {
            incarnation++;
            int startedIncarnation = incarnation;
            pendingRequests.clear();
            replica = new Replica(
                    name, seedNodes, toleratedFailures, bootstrap, List.copyOf(disk), random.nextLong(), nowMs, this);
            tick(startedIncarnation);
        }

        private void tick(int startedIncarnation) {
            if (replica != null && incarnation == startedIncarnation) {
                replica.onTick(nowMs);
                schedule(50, () -> dispatch(this, startedIncarnation, () -> tick(startedIncarnation)));
            }
        }

        void kill() {
            replica = null;
            incarnation++;
            deferredEvents.clear();
            // Of the writes in flight, a prefix reaches the disk.
            diskIdleAtMs = nowMs;
        }

        @Override
        public void send(String to, ReplicaMessage message) {
            int startedIncarnation = incarnation;
            if (cutLinks.contains(name + ">" + to) || random.nextInt(1000) < messageLossPerMille) {
                return;
            }
            long networkDelayMs = 1 + random.nextLong(3) + (random.nextInt(50) == 0 ? random.nextLong(120) : 0);
            schedule(networkDelayMs, () -> {
                Machine machine = machines.get(to);
                if (machine != null && !cutLinks.contains(name + ">" + to) && startedIncarnation >= 0) {
                    dispatch(machine, machine.incarnation, () -> {
                        if (machine.replica != null) {
                            machine.replica.onMessage(nowMs, name, message);
                        }
                    });
                }
            });
        }

        @Override
        public void persist(long number, byte[] record) {
            int startedIncarnation = incarnation;
            List<byte[]> targetDisk = disk;
            long doneAtMs = Math.max(nowMs, diskIdleAtMs) + 1 + random.nextLong(3) + diskDelayMs;
            diskIdleAtMs = doneAtMs;
            boolean writeFails = diskFull;
            scheduleAt(doneAtMs, () -> {
                // The log is written in order: after a lost write, the later writes of that incarnation are lost, too.
                boolean lost = incarnation != startedIncarnation
                        && (writeFails
                                || incarnationWithLostWrite == startedIncarnation
                                || random.nextBoolean()
                                || incarnation != startedIncarnation + 1);
                if (lost) {
                    incarnationWithLostWrite = startedIncarnation;
                } else if (!writeFails) {
                    targetDisk.add(record);
                }
                if (incarnation == startedIncarnation) {
                    dispatch(this, startedIncarnation, () -> replica.onPersisted(nowMs, number, !writeFails));
                }
            });
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            PendingRequest request = pendingRequests.remove(requestId);
            if (request != null && rejection == null) {
                request.accepted(state);
            }
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            long[] position = {index};
            Epoch epoch = replica.membership().epoch();
            String primary = primaryByEpoch.putIfAbsent(epoch, name);
            require(primary == null || primary.equals(name), "two primaries committed in epoch " + epoch);
            Long otherVersion = versionByPosition.get(position);
            require(
                    otherVersion == null
                            || otherVersion == state.configuration().version(),
                    "two versions committed at index " + index);
            long version = state.configuration().version();
            for (Map.Entry<long[], Long> entry :
                    versionByPosition.headMap(position, true).entrySet()) {
                require(
                        entry.getValue() <= version,
                        "version " + version + " committed after version " + entry.getValue());
            }
            for (Map.Entry<long[], Long> entry :
                    versionByPosition.tailMap(position, false).entrySet()) {
                require(
                        entry.getValue() >= version,
                        "version " + version + " committed before version " + entry.getValue());
            }
            versionByPosition.put(position, version);
        }
    }

    private interface PendingRequest {
        void accepted(ControlState state);
    }

    final SplittableRandom random;
    final int toleratedFailures;
    final List<String> seedNodes;
    final Map<String, Machine> machines = new TreeMap<>();
    final Set<String> cutLinks = new HashSet<>();
    int messageLossPerMille;
    long nowMs = 1_000_000;
    private long lastOrder;
    private long lastRequestId;
    private final PriorityQueue<Event> events = new PriorityQueue<>((first, second) -> first.atMs != second.atMs
            ? Long.compare(first.atMs, second.atMs)
            : Long.compare(first.order, second.order));
    private final TreeMap<long[], Long> versionByPosition = new TreeMap<>(Arrays::compare);
    private final Map<Epoch, String> primaryByEpoch = new HashMap<>();
    /** Acknowledged changes by version. */
    final TreeMap<Long, Change> acknowledgedChanges = new TreeMap<>();

    private final Set<Long> acknowledgedBaseVersions = new HashSet<>();
    private long nextVersion = 1;
    private long knownVersion;
    int reads;

    SimulatedCluster(long seed, int toleratedFailures) {
        this.random = new SplittableRandom(seed);
        this.toleratedFailures = toleratedFailures;
        int machineCount = 2 * toleratedFailures + 1;
        for (int i = 0; i < machineCount; i++) {
            String name = "10.0.0." + (i + 1) + ":7000";
            machines.put(name, new Machine(name));
        }
        seedNodes = machines.keySet().stream().limit(3).toList();
    }

    static void require(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    void scheduleAt(long timeMs, Runnable action) {
        events.add(new Event(Math.max(timeMs, nowMs), ++lastOrder, action));
    }

    void schedule(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /** Runs an event at a machine: dropped if that incarnation has ended, deferred while the machine is frozen. */
    private void dispatch(Machine machine, int incarnation, Runnable action) {
        if (machine.incarnation != incarnation) {
            return;
        }
        if (machine.frozen) {
            machine.deferredEvents.add(() -> dispatch(machine, incarnation, action));
        } else {
            action.run();
        }
    }

    void run(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = untilMs;
    }

    void thaw(Machine machine) {
        machine.frozen = false;
        for (Runnable event; (event = machine.deferredEvents.poll()) != null; ) {
            schedule(0, event);
        }
    }

    static byte[] document(long version) {
        return ("{\"version\":" + version + ",\"routes\":[],\"services\":[]}").getBytes(StandardCharsets.UTF_8);
    }

    /** Submits concurrent changes based on the latest known version; each acknowledgement is recorded and checked. */
    void submitConcurrentChanges(int count) {
        for (int i = 0; i < count; i++) {
            nextVersion = Math.max(nextVersion, knownVersion) + 1 + random.nextInt(3);
            change(new Change(Change.Kind.REPLACE, knownVersion, document(nextVersion)), nextVersion, 6);
        }
    }

    private void change(Change change, long version, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return;
        }
        for (Machine machine : machines.values()) {
            // An operator follows redirects to a machine that considers itself primary, which a partitioned one may do
            // as well.
            if (machine.replica != null && machine.replica.isPrimary() && !machine.frozen) {
                long requestId = ++lastRequestId;
                machine.pendingRequests.put(requestId, state -> {
                    if (!acknowledgedChanges.containsKey(version)) {
                        require(
                                acknowledgedBaseVersions.add(change.baseVersion()),
                                "two changes acknowledged on base version " + change.baseVersion());
                    }
                    acknowledgedChanges.put(version, change);
                    knownVersion = Math.max(knownVersion, version);
                });
                machine.replica.submit(nowMs, requestId, change);
            }
        }
        schedule(300 + random.nextInt(500), () -> {
            if (!acknowledgedChanges.containsKey(version)) {
                change(change, version, attemptsLeft - 1);
            }
        });
    }

    /** Reads from every machine that considers itself primary. */
    void read() {
        long newestVersion = acknowledgedChanges.isEmpty() ? 0 : acknowledgedChanges.lastKey();
        for (Machine machine : machines.values()) {
            if (machine.replica != null && machine.replica.isPrimary() && !machine.frozen) {
                long requestId = ++lastRequestId;
                machine.pendingRequests.put(requestId, state -> {
                    reads++;
                    require(
                            state.configuration().version() >= newestVersion,
                            "read version " + state.configuration().version() + " after acknowledged version "
                                    + newestVersion);
                    knownVersion = Math.max(knownVersion, state.configuration().version());
                });
                machine.replica.read(nowMs, requestId);
            }
        }
    }

    Machine primary() {
        return machines.values().stream()
                .filter(machine -> machine.replica != null && machine.replica.isPrimary())
                .findFirst()
                .orElse(null);
    }

    Machine pickRunningMachine() {
        List<Machine> running = machines.values().stream()
                .filter(machine -> machine.replica != null)
                .toList();
        Machine primary = primary();
        return primary != null && random.nextInt(3) == 0 ? primary : running.get(random.nextInt(running.size()));
    }
}
