package quartzspan.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.store.SlotStore;

/**
 * Keeps a replica's records in a {@link SlotStore}: the latest voter record, the latest snapshot of the control state and the
 * entries since. Blocks.
 */
public final class ReplicaStore {
    /** The log is short: a start reads all of it. */
    private static final long MAX_LOG_BYTES = 1024 * 1024;
    /** A record larger than this goes into a slot at once. */
    private static final int MAX_APPENDED_BYTES = 256 * 1024;

    private final SlotStore store;
    private byte[] vote = {};
    private byte[] snapshot = {};
    private final List<byte[]> entries = new ArrayList<>();
    private boolean begun;
    private boolean discarded;

    public ReplicaStore(SlotStore store) {
        this.store = store;
    }

    /** The records to begin with, oldest first. */
    public List<byte[]> open() {
        List<byte[]> all = new ArrayList<>();
        SlotStore.Contents found = store.open();
        begun = found.state() != null;
        if (begun) {
            all.addAll(split(found.state()));
        }
        all.addAll(found.records());
        all.removeIf(record -> record.length == 0);
        all.forEach(this::note);
        return all;
    }

    private static List<byte[]> split(byte[] state) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(state);
        while (in.remaining() >= Integer.BYTES) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
        }
        return records;
    }

    /** Gives up what can't be read. */
    public void discard() {
        store.discard();
        vote = new byte[0];
        snapshot = new byte[0];
        entries.clear();
        begun = false;
        discarded = true;
    }

    /** Whether what was kept could not be read, and was given up. */
    public boolean discarded() {
        return discarded;
    }

    private void note(byte[] record) {
        switch (record[0]) {
            case VoterState.RECORD_TAG -> vote = record;
            case ReplicaLog.SNAPSHOT_RECORD -> {
                snapshot = record;
                entries.clear();
            }
            default -> entries.add(record);
        }
    }

    /**
     * Keeps a record for good.
     *
     * @return whether the disk took it
     */
    public boolean keep(byte[] record) {
        byte[] voteBefore = vote;
        byte[] snapshotBefore = snapshot;
        List<byte[]> entriesBefore = List.copyOf(entries);
        note(record);
        try {
            write(record);
            return true;
        } catch (FleetException refused) {
            vote = voteBefore;
            snapshot = snapshotBefore;
            entries.clear();
            entries.addAll(entriesBefore);
            return false;
        }
    }

    private void write(byte[] record) {
        if (begun && store.logBytes() < MAX_LOG_BYTES && record.length <= MAX_APPENDED_BYTES) {
            store.append(record);
        } else {
            store.checkpoint(join());
            begun = true;
        }
    }

    private byte[] join() {
        List<byte[]> all = new ArrayList<>(List.of(vote, snapshot));
        all.addAll(entries);
        int size =
                all.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        all.forEach(record -> out.putInt(record.length).put(record));
        return out.array();
    }
}
