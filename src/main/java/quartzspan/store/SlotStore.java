package quartzspan.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import quartzspan.common.FleetException;

/**
 * What must outlast its process: a state in one of two slots, written in turn, and a short log of records since. What has
 * been appended or checkpointed is there after any loss of power; what was being written then is there whole or not at all.
 *
 * <p>A slot is {@code generation, length, checksum, state}; the log begins with the generation of its slot, and a log of
 * another generation is as good as none. Only the last record can be torn, for each is synced before the next is written:
 * a record that can't be read before one that can is damage, and refused.
 */
public final class SlotStore {
    private static final String[] SLOTS = {"slot-a", "slot-b"};
    private static final String LOG = "log";
    private static final int HEAD = 16;
    private static final int RECORD = 8;
    /** No state or record is larger: a length above it is no length. */
    private static final int MOST = 32 * 1024 * 1024;

    /** What was found; {@code state} is null if nothing was ever kept. */
    public record Contents(byte[] state, List<byte[]> records) {}

    private final Disk disk;
    private long generation;
    private long end;
    private boolean torn;
    /** Whether the log's first bytes may not be this generation's. */
    private boolean headless;
    /** Whether the log's name is known to be on the disk. */
    private boolean logNamed;

    public SlotStore(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads what is there. To be called first.
     *
     * <p>A process that was killed may have written what it did not sync. It is read here, so it is synced here, before
     * anybody builds on it.
     */
    public Contents open() {
        byte[] state = null;
        boolean any = false;
        for (String name : SLOTS) {
            byte[] file = readSynced(name);
            any |= file != null;
            if (file != null && file.length >= HEAD) {
                ByteBuffer b = ByteBuffer.wrap(file);
                long g = b.getLong();
                int length = b.getInt();
                int sum = b.getInt();
                if (length >= 0
                        && length <= file.length - HEAD
                        && sum == sum(g, file, HEAD, length)
                        && g > generation) {
                    generation = g;
                    state = Arrays.copyOfRange(file, HEAD, HEAD + length);
                }
            }
        }
        byte[] log = readSynced(LOG);
        if (any || log != null) {
            disk.syncFolder();
        }
        logNamed = log != null;
        List<byte[]> records = new ArrayList<>();
        if (state == null) {
            // Before the first checkpoint is whole nothing was ever promised: what there is was begun and not finished.
            if (any && log != null && log.length > 0) {
                throw damaged("neither slot can be read");
            }
            return new Contents(null, records);
        }
        if (log == null || log.length < 8 || ByteBuffer.wrap(log).getLong() != generation) {
            restartLog();
            return new Contents(state, records);
        }
        int at = 8;
        for (byte[] r; (r = record(log, at)) != null; at += RECORD + r.length) {
            records.add(r);
        }
        for (int later = at + 1; later + RECORD <= log.length; later++) {
            if (record(log, later) != null) {
                throw damaged("the log can't be read at byte " + at);
            }
        }
        end = at;
        torn = at < log.length;
        return new Contents(state, records);
    }

    private byte[] readSynced(String name) {
        byte[] file = disk.read(name);
        if (file != null) {
            disk.sync(name);
        }
        return file;
    }

    private byte[] record(byte[] log, int at) {
        if (log.length - at < RECORD) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(log, at, RECORD);
        int length = b.getInt();
        int sum = b.getInt();
        if (length <= 0 || length > log.length - at - RECORD || sum != sum(generation, log, at + RECORD, length)) {
            return null;
        }
        return Arrays.copyOfRange(log, at + RECORD, at + RECORD + length);
    }

    /** Bytes in the log. */
    public long logged() {
        return end;
    }

    /** Adds a record; it is there for good on return. */
    public void append(byte[] record) {
        if (generation == 0) {
            throw new IllegalStateException("a checkpoint comes before the first record");
        }
        if (headless) {
            restartLog();
        } else if (torn) {
            disk.truncate(LOG, end);
            disk.sync(LOG);
            torn = false;
        }
        torn = true;
        disk.write(
                LOG,
                end,
                ByteBuffer.allocate(RECORD + record.length)
                        .putInt(record.length)
                        .putInt(sum(generation, record, 0, record.length))
                        .put(record)
                        .array());
        disk.sync(LOG);
        torn = false;
        end += RECORD + record.length;
    }

    /** Replaces state and records by a new state; it is there for good on return. */
    public void checkpoint(byte[] state) {
        if (state.length > MOST) {
            throw new IllegalArgumentException("a state of " + state.length + " bytes");
        }
        long next = generation + 1;
        String slot = SLOTS[(int) (next & 1)];
        disk.write(
                slot,
                0,
                ByteBuffer.allocate(HEAD + state.length)
                        .putLong(next)
                        .putInt(state.length)
                        .putInt(sum(next, state, 0, state.length))
                        .put(state)
                        .array());
        disk.sync(slot);
        if (next <= 2) {
            disk.syncFolder();
        }
        generation = next;
        restartLog();
    }

    /** Empties everything: what was there can't be read. */
    public void discard() {
        for (String name : List.of(SLOTS[0], SLOTS[1], LOG)) {
            disk.truncate(name, 0);
            disk.sync(name);
        }
        generation = 0;
        end = 0;
        torn = false;
        logNamed = false;
    }

    private void restartLog() {
        headless = true;
        end = 8;
        disk.truncate(LOG, 0);
        disk.write(LOG, 0, ByteBuffer.allocate(8).putLong(generation).array());
        disk.sync(LOG);
        if (!logNamed) {
            disk.syncFolder();
            logNamed = true;
        }
        headless = false;
        torn = false;
    }

    private static int sum(long generation, byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(12).putLong(generation).putInt(length).flip());
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }

    private static FleetException damaged(String reason) {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                reason,
                "move the data directory aside and start again: the machine then asks the others what it has promised");
    }
}
