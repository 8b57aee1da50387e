package quartzspan.replication;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32;
import quartzspan.common.FleetException;
import quartzspan.compatibility.GoldenFile;
import quartzspan.store.FileDisk;
import quartzspan.store.SlotStore;
import quartzspan.transport.MessageCodec;

/**
 * Replicas with files on disk in simulated time, fully deterministic: each run produces the same messages and records. The
 * trace has a line for each of them, with its time and the checksum of its bytes.
 */
final class RecordedCluster {
    private static final long MESSAGE_DELAY_MS = 2;
    private static final long DISK_DELAY_MS = 3;
    private static final long TICK_INTERVAL_MS = 50;
    /** Offset of the message kind in an encoded message, after the header. */
    private static final int KIND_OFFSET = 8;

    private record Event(long atMs, long order, Runnable action) {}

    private final Path folder;
    private final List<String> seedNodes;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final Map<String, Machine> machines = new TreeMap<>();
    private final StringBuilder trace = new StringBuilder();
    private final List<String> replies = new ArrayList<>();
    private long nowMs = 10_000;
    private long lastOrder;
    private long lastRequestId;

    RecordedCluster(Path folder, List<String> seedNodes) {
        this.folder = folder;
        this.seedNodes = seedNodes;
    }

    /** One machine: the successive incarnations of its replica, and its disk. */
    final class Machine implements Replica.Output {
        private final String name;
        private Replica replica;
        private ReplicaStore store;
        private int incarnation;

        Machine(String name) {
            this.name = name;
        }

        Path disk() {
            return folder.resolve(name.replace(':', '_'));
        }

        void start(boolean bootstrap) {
            incarnation++;
            int startedIncarnation = incarnation;
            store = new ReplicaStore(new SlotStore(new FileDisk(disk())));
            List<byte[]> storedRecords = store.open();
            long randomSeed = name.hashCode() * 31L + incarnation;
            replica = new Replica(name, seedNodes, 1, bootstrap, storedRecords, randomSeed, nowMs, this);
            tick(startedIncarnation);
        }

        private void tick(int startedIncarnation) {
            if (incarnation == startedIncarnation) {
                replica.onTick(nowMs);
                schedule(TICK_INTERVAL_MS, () -> tick(startedIncarnation));
            }
        }

        void kill() {
            incarnation++;
            replica = null;
        }

        void loseDisk() {
            for (Path file : GoldenFile.files(disk())) {
                try {
                    Files.delete(file);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        Replica replica() {
            return replica;
        }

        private void handle(int expectedIncarnation, Runnable event) {
            if (replica != null && incarnation == expectedIncarnation) {
                event.run();
            }
        }

        @Override
        public void send(String to, ReplicaMessage message) {
            byte[] encoded = MessageCodec.encode(message);
            record(name + " > " + to + " kind " + encoded[KIND_OFFSET], encoded);
            schedule(MESSAGE_DELAY_MS, () -> {
                Machine receiver = machines.get(to);
                if (receiver != null && receiver.replica != null) {
                    receiver.replica.onMessage(nowMs, name, message);
                }
            });
        }

        @Override
        public void persist(long number, byte[] record) {
            record(name + " writes " + (char) record[0], record);
            int startedIncarnation = incarnation;
            schedule(
                    DISK_DELAY_MS,
                    () -> handle(startedIncarnation, () -> replica.onPersisted(nowMs, number, store.persist(record))));
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            replies.add(requestId + (rejection == null ? " granted" : " " + rejection.code()));
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            record(name + " commits " + index, state.bytes());
        }
    }

    private void record(String description, byte[] bytes) {
        CRC32 checksum = new CRC32();
        checksum.update(bytes);
        trace.append(String.format("%d %s %d bytes %08x%n", nowMs, description, bytes.length, checksum.getValue()));
    }

    Machine add(String name) {
        Machine machine = new Machine(name);
        machines.put(name, machine);
        return machine;
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, ++lastOrder, action));
    }

    void run(long durationMs) {
        long endMs = nowMs + durationMs;
        runUntil(endMs, () -> false);
        nowMs = endMs;
    }

    /** Runs events until the condition holds; returns false if it does not hold by the end. */
    boolean runUntil(long endMs, BooleanSupplier condition) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        return condition.getAsBoolean();
    }

    long nowMs() {
        return nowMs;
    }

    Machine primary() {
        return machines.values().stream()
                .filter(m -> m.replica != null && m.replica.isPrimary())
                .findFirst()
                .orElseThrow();
    }

    /** Whether any machine has a joint membership. */
    boolean isChangingVoters() {
        return machines.values().stream()
                .anyMatch(m -> m.replica != null && m.replica.membership().isJoint());
    }

    /** Submits a change to the primary; {@link #replies} returns its reply. */
    void change(Change change) {
        primary().replica.submit(nowMs, ++lastRequestId, change);
        run(200);
    }

    void read() {
        primary().replica.read(nowMs, ++lastRequestId);
        run(200);
    }

    List<String> replies() {
        return replies;
    }

    String trace() {
        return trace.toString();
    }
}
