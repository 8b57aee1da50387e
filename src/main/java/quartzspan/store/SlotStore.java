package quartzspan.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import quartzspan.common.FleetException;

/**
 * Durable storage of a process: a state in one of two slots, which are written alternately, and a short log of the records
 * appended since. Completed appends and checkpoints survive a power loss; one in progress at the power loss is recovered
 * completely or not at all.
 *
 * <p>A slot is {@code generation, length, checksum, state}. The log begins with the generation of its slot, and a log of another
 * generation is ignored. Each record is synced before the next one is written, so only the last record can be torn: an invalid
 * record that is followed by a valid one means that the log is damaged, and {@link #open} fails.
 */
public final class SlotStore {
    private static final String[] SLOT_FILES = {"slot-a", "slot-b"};
    private static final String LOG_FILE = "log";
    private static final int SLOT_HEADER_BYTES = 16;
    private static final int LOG_HEADER_BYTES = 8;
    private static final int RECORD_HEADER_BYTES = 8;
    private static final int MAX_STATE_BYTES = 32 * 1024 * 1024;

    /** The stored state and the records appended since; {@code state} is null if no checkpoint was ever completed. */
    public record Contents(byte[] state, List<byte[]> records) {}

    private final Disk disk;
    private long generation;
    private long logEndOffset;
    private boolean hasTornTail;
    /** Whether the log header may still have an earlier generation, because writing the header has failed. */
    private boolean logHeaderPending;
    /** Whether the directory entry of the log is durable. */
    private boolean logNameSynced;

    public SlotStore(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads the stored contents. To be called before all other methods.
     *
     * <p>A process that was killed may have left bytes that it had written but not synced. Since they are read here, they are
     * synced before the caller relies on them.
     */
    public Contents open() {
        boolean anySlot = false;
        byte[] state = null;
        for (String name : SLOT_FILES) {
            byte[] file = readAndSync(name);
            anySlot |= file != null;
            byte[] newer = file == null ? null : readNewerState(file);
            state = newer == null ? state : newer;
        }
        byte[] log = readAndSync(LOG_FILE);
        if (anySlot || log != null) {
            disk.syncDirectory();
        }
        logNameSynced = log != null;
        if (state != null) {
            return new Contents(state, openLog(log));
        }
        // Nothing is acknowledged before the first checkpoint is complete, so incomplete files without a log are
        // ignored.
        if (anySlot && log != null && log.length > 0) {
            throw damaged("neither slot can be read, although the log is not empty");
        }
        return new Contents(null, new ArrayList<>());
    }

    /** The state of a slot if it is valid and newer than the current generation, which its generation then replaces; else null. */
    private byte[] readNewerState(byte[] slot) {
        if (slot.length < SLOT_HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(slot);
        long slotGeneration = header.getLong();
        int length = header.getInt();
        int storedChecksum = header.getInt();
        boolean complete = length >= 0
                && length <= slot.length - SLOT_HEADER_BYTES
                && storedChecksum == checksum(slotGeneration, slot, SLOT_HEADER_BYTES, length);
        if (!complete || slotGeneration <= generation) {
            return null;
        }
        generation = slotGeneration;
        return Arrays.copyOfRange(slot, SLOT_HEADER_BYTES, SLOT_HEADER_BYTES + length);
    }

    /** The records of the current generation; a log of another generation is replaced by an empty one. */
    private List<byte[]> openLog(byte[] log) {
        if (log == null || log.length < LOG_HEADER_BYTES || ByteBuffer.wrap(log).getLong() != generation) {
            restartLog();
            return new ArrayList<>();
        }
        List<byte[]> records = new ArrayList<>();
        int offset = LOG_HEADER_BYTES;
        byte[] record = readRecord(log, offset);
        while (record != null) {
            records.add(record);
            offset += RECORD_HEADER_BYTES + record.length;
            record = readRecord(log, offset);
        }
        requireNoRecordAfter(offset, log);
        logEndOffset = offset;
        hasTornTail = offset < log.length;
        return records;
    }

    /** Fails if a valid record follows an invalid one: only the last record can be torn, so the log is damaged. */
    private void requireNoRecordAfter(int offset, byte[] log) {
        for (int position = offset + 1; position + RECORD_HEADER_BYTES <= log.length; position++) {
            if (readRecord(log, position) != null) {
                throw damaged("the log can't be read at byte " + offset + ", although a valid record follows");
            }
        }
    }

    private byte[] readAndSync(String name) {
        byte[] file = disk.read(name);
        if (file != null) {
            disk.sync(name);
        }
        return file;
    }

    private byte[] readRecord(byte[] log, int offset) {
        if (log.length - offset < RECORD_HEADER_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(log, offset, RECORD_HEADER_BYTES);
        int length = buffer.getInt();
        int checksum = buffer.getInt();
        if (length <= 0
                || length > log.length - offset - RECORD_HEADER_BYTES
                || checksum != checksum(generation, log, offset + RECORD_HEADER_BYTES, length)) {
            return null;
        }
        return Arrays.copyOfRange(log, offset + RECORD_HEADER_BYTES, offset + RECORD_HEADER_BYTES + length);
    }

    /** Size of the log in bytes. */
    public long logBytes() {
        return logEndOffset;
    }

    /** Appends a record, which is durable on return. */
    public void append(byte[] record) {
        if (generation == 0) {
            throw new IllegalStateException("append before the first checkpoint");
        }
        if (logHeaderPending) {
            restartLog();
        } else if (hasTornTail) {
            disk.truncate(LOG_FILE, logEndOffset);
            disk.sync(LOG_FILE);
            hasTornTail = false;
        }
        hasTornTail = true;
        disk.write(
                LOG_FILE,
                logEndOffset,
                ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length)
                        .putInt(record.length)
                        .putInt(checksum(generation, record, 0, record.length))
                        .put(record)
                        .array());
        disk.sync(LOG_FILE);
        hasTornTail = false;
        logEndOffset += RECORD_HEADER_BYTES + record.length;
    }

    /** Replaces the state and all records by a new state, which is durable on return. */
    public void checkpoint(byte[] state) {
        if (state.length > MAX_STATE_BYTES) {
            throw new IllegalArgumentException(
                    "state of " + state.length + " bytes exceeds the maximum of " + MAX_STATE_BYTES);
        }
        long next = generation + 1;
        String slot = SLOT_FILES[(int) (next & 1)];
        disk.write(
                slot,
                0,
                ByteBuffer.allocate(SLOT_HEADER_BYTES + state.length)
                        .putLong(next)
                        .putInt(state.length)
                        .putInt(checksum(next, state, 0, state.length))
                        .put(state)
                        .array());
        disk.sync(slot);
        if (next <= 2) {
            disk.syncDirectory();
        }
        generation = next;
        restartLog();
    }

    /** Discards all contents, for use when they can't be read. */
    public void discard() {
        for (String name : List.of(SLOT_FILES[0], SLOT_FILES[1], LOG_FILE)) {
            disk.truncate(name, 0);
            disk.sync(name);
        }
        generation = 0;
        logEndOffset = 0;
        hasTornTail = false;
        logNameSynced = false;
    }

    private void restartLog() {
        logHeaderPending = true;
        logEndOffset = LOG_HEADER_BYTES;
        disk.truncate(LOG_FILE, 0);
        disk.write(
                LOG_FILE,
                0,
                ByteBuffer.allocate(LOG_HEADER_BYTES).putLong(generation).array());
        disk.sync(LOG_FILE);
        if (!logNameSynced) {
            disk.syncDirectory();
            logNameSynced = true;
        }
        logHeaderPending = false;
        hasTornTail = false;
    }

    private static int checksum(long generation, byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(12).putLong(generation).putInt(length).flip());
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static FleetException damaged(String reason) {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                reason,
                "move the data directory aside and restart: the machine then recovers its promised epoch from the other core machines");
    }
}
