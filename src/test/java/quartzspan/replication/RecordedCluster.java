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
 * Replicas with files on disk in simulated time, without any chance: every message and every record comes out the same in
 * each run. The trace has a line for each of them, with its time and the checksum of its bytes.
 */
final class RecordedCluster {
    private static final long MESSAGE_MS = 2;
    private static final long DISK_MS = 3;
    private static final long TICK_MS = 50;
    /** Where an encoded message has its kind: behind the header. */
    private static final int KIND_OFFSET = 8;

    private record Event(long at, long order, Runnable run) {}

    private final Path folder;
    private final List<String> seeds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Machine> machines = new TreeMap<>();
    private final StringBuilder trace = new StringBuilder();
    private final List<String> answers = new ArrayList<>();
    private long now = 10_000;
    private long order;
    private long requestIds;

    RecordedCluster(Path folder, List<String> seeds) {
        this.folder = folder;
        this.seeds = seeds;
    }

    /** One machine: its replica in one incarnation after the other, and its disk. */
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

        void start(boolean found) {
            incarnation++;
            int mine = incarnation;
            store = new ReplicaStore(new SlotStore(new FileDisk(disk())));
            List<byte[]> kept = store.open();
            long seed = name.hashCode() * 31L + incarnation;
            replica = new Replica(name, seeds, 1, found, kept, seed, now, this);
            tick(mine);
        }

        private void tick(int mine) {
            if (incarnation == mine) {
                replica.onTick(now);
                after(TICK_MS, () -> tick(mine));
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

        private void handle(int ofIncarnation, Runnable event) {
            if (replica != null && incarnation == ofIncarnation) {
                event.run();
            }
        }

        @Override
        public void send(String to, ReplicaMessage message) {
            byte[] encoded = MessageCodec.encode(message);
            record(name + " > " + to + " kind " + encoded[KIND_OFFSET], encoded);
            after(MESSAGE_MS, () -> {
                Machine receiver = machines.get(to);
                if (receiver != null && receiver.replica != null) {
                    receiver.replica.onMessage(now, name, message);
                }
            });
        }

        @Override
        public void persist(long number, byte[] record) {
            record(name + " writes " + (char) record[0], record);
            int mine = incarnation;
            after(DISK_MS, () -> handle(mine, () -> replica.onPersisted(now, number, store.persist(record))));
        }

        @Override
        public void completed(long requestId, FleetException refusal, ControlState state) {
            answers.add(requestId + (refusal == null ? " granted" : " " + refusal.code()));
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            record(name + " commits " + index, state.bytes());
        }
    }

    private void record(String what, byte[] bytes) {
        CRC32 checksum = new CRC32();
        checksum.update(bytes);
        trace.append(String.format("%d %s %d bytes %08x%n", now, what, bytes.length, checksum.getValue()));
    }

    Machine add(String name) {
        Machine machine = new Machine(name);
        machines.put(name, machine);
        return machine;
    }

    void after(long ms, Runnable run) {
        events.add(new Event(now + ms, ++order, run));
    }

    void run(long ms) {
        long end = now + ms;
        runUntil(end, () -> false);
        now = end;
    }

    /** Runs events until a condition holds; false if it does not by the end. */
    boolean runUntil(long end, BooleanSupplier condition) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        return condition.getAsBoolean();
    }

    long now() {
        return now;
    }

    Machine primary() {
        return machines.values().stream()
                .filter(m -> m.replica != null && m.replica.isPrimary())
                .findFirst()
                .orElseThrow();
    }

    /** Whether a view of any machine is a joint one. */
    boolean changesVoters() {
        return machines.values().stream()
                .anyMatch(m -> m.replica != null && m.replica.membership().isJoint());
    }

    /** Asks the primary for a change; its answer stands in {@link #answers}. */
    void change(Change change) {
        primary().replica.submit(now, ++requestIds, change);
        run(200);
    }

    void read() {
        primary().replica.read(now, ++requestIds);
        run(200);
    }

    List<String> answers() {
        return answers;
    }

    String trace() {
        return trace.toString();
    }
}
