package quartzspan.registry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import quartzspan.common.FleetException;

/**
 * A record of the {@link DepartureLog} on disk.
 *
 * @param checkpoint whether it replaces all records before it
 * @param complete whether the machine's records include every departure that was acknowledged before them; meaningful in a
 *     checkpoint only
 * @param entries entries of servers that drain or have ended
 */
public record DepartureRecord(boolean checkpoint, boolean complete, List<RegistryEntry> entries) {
    private static final byte CHECKPOINT_TAG = 'C';
    private static final byte INCOMPLETE_CHECKPOINT_TAG = 'I';
    private static final byte ENTRIES_TAG = 'E';
    private static final byte DRAINING_TAG = 'd';
    private static final byte GONE_TAG = 'g';

    /** A checkpoint of all departures that are known. */
    static DepartureRecord checkpoint(boolean complete, List<RegistryEntry> entries) {
        return new DepartureRecord(true, complete, List.copyOf(entries));
    }

    /** Departures in addition to those of the records before. */
    static DepartureRecord addition(List<RegistryEntry> entries) {
        return new DepartureRecord(false, false, List.copyOf(entries));
    }

    /** Whether an entry is that of a server that drains or has ended. */
    static boolean isDeparture(RegistryEntry entry) {
        return entry.subject() == RegistryEntry.Subject.SERVER
                && (entry.state() == RegistryEntry.State.DRAINING || entry.state() == RegistryEntry.State.GONE);
    }

    /** Binary encoding. */
    public byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(tag());
            out.writeInt(entries.size());
            for (RegistryEntry entry : entries) {
                out.writeByte(entry.state() == RegistryEntry.State.GONE ? GONE_TAG : DRAINING_TAG);
                out.writeUTF(entry.key());
                out.writeLong(entry.seq());
                out.writeUTF(entry.text());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private byte tag() {
        if (!checkpoint) {
            return ENTRIES_TAG;
        }
        return complete ? CHECKPOINT_TAG : INCOMPLETE_CHECKPOINT_TAG;
    }

    /**
     * Parses {@link #bytes}.
     *
     * @throws FleetException with {@code STORE_DAMAGED} if the bytes are no record
     */
    public static DepartureRecord parse(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            byte tag = in.readByte();
            if (tag != CHECKPOINT_TAG && tag != INCOMPLETE_CHECKPOINT_TAG && tag != ENTRIES_TAG) {
                throw malformed("tag " + tag);
            }
            List<RegistryEntry> entries = new ArrayList<>();
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                entries.add(readEntry(in));
            }
            return new DepartureRecord(tag != ENTRIES_TAG, tag == CHECKPOINT_TAG, entries);
        } catch (IOException e) {
            throw malformed(e.toString());
        }
    }

    private static RegistryEntry readEntry(DataInputStream in) throws IOException {
        RegistryEntry.State state = in.readByte() == GONE_TAG ? RegistryEntry.State.GONE : RegistryEntry.State.DRAINING;
        String key = in.readUTF();
        long seq = in.readLong();
        return new RegistryEntry(RegistryEntry.Subject.SERVER, key, seq, state, in.readUTF());
    }

    private static FleetException malformed(String reason) {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                "a record of departed servers can't be read: " + reason,
                "nothing: the machine learns them from the other core machines");
    }
}
