package quartzspan.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.store.SlotStore;

/**
 * Stores a replica's records in a {@link SlotStore}: the latest voter record, the latest snapshot of the control state and the
 * entries after it. Calls block on the disk.
 */
public final class ReplicaStore {
    /** Bounds the log, since all of it is read at startup. */
    private static final long MAX_LOG_BYTES = 1024 * 1024;
    /** A larger record is written as a checkpoint and not appended to the log. */
    private static final int MAX_APPENDED_BYTES = 256 * 1024;

    private final SlotStore store;
    private byte[] voterRecord = {};
    private byte[] snapshotRecord = {};
    private final List<byte[]> entryRecords = new ArrayList<>();
    private boolean hasCheckpoint;
    private boolean discarded;

    /** Creates a store; {@link #open} has to be called first. */
    public ReplicaStore(SlotStore store) {
        this.store = store;
    }

    /** Opens the store and returns its records, oldest first. */
    public List<byte[]> open() {
        List<byte[]> all = new ArrayList<>();
        SlotStore.Contents contents = store.open();
        hasCheckpoint = contents.state() != null;
        if (hasCheckpoint) {
            all.addAll(parseCheckpoint(contents.state()));
        }
        all.addAll(contents.records());
        all.removeIf(record -> record.length == 0);
        all.forEach(this::track);
        return all;
    }

    private static List<byte[]> parseCheckpoint(byte[] state) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(state);
        while (in.remaining() >= Integer.BYTES) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
        }
        return records;
    }

    /** Discards a store that can't be read. */
    public void discard() {
        store.discard();
        voterRecord = new byte[0];
        snapshotRecord = new byte[0];
        entryRecords.clear();
        hasCheckpoint = false;
        discarded = true;
    }

    /** Whether the stored records could not be read and were discarded. */
    public boolean discarded() {
        return discarded;
    }

    private void track(byte[] record) {
        switch (record[0]) {
            case VoterState.RECORD_TAG -> voterRecord = record;
            case ReplicaLog.SNAPSHOT_RECORD_TAG -> {
                snapshotRecord = record;
                entryRecords.clear();
            }
            default -> entryRecords.add(record);
        }
    }

    /**
     * Writes a record durably.
     *
     * @return whether the write succeeded
     */
    public boolean persist(byte[] record) {
        byte[] previousVoterRecord = voterRecord;
        byte[] previousSnapshotRecord = snapshotRecord;
        List<byte[]> previousEntryRecords = List.copyOf(entryRecords);
        track(record);
        try {
            write(record);
            return true;
        } catch (FleetException writeFailure) {
            voterRecord = previousVoterRecord;
            snapshotRecord = previousSnapshotRecord;
            entryRecords.clear();
            entryRecords.addAll(previousEntryRecords);
            return false;
        }
    }

    private void write(byte[] record) {
        if (hasCheckpoint && store.logBytes() < MAX_LOG_BYTES && record.length <= MAX_APPENDED_BYTES) {
            store.append(record);
        } else {
            store.checkpoint(encodeCheckpoint());
            hasCheckpoint = true;
        }
    }

    private byte[] encodeCheckpoint() {
        List<byte[]> all = new ArrayList<>(List.of(voterRecord, snapshotRecord));
        all.addAll(entryRecords);
        int size =
                all.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        all.forEach(record -> out.putInt(record.length).put(record));
        return out.array();
    }
}
