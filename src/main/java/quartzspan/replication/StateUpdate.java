package quartzspan.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.ChangeHistory.Entry;

/**
 * An update of a replica's log: a snapshot of the control state, or the entries that lead to it from another state. Used as the
 * record on disk and as the body of messages between replicas.
 *
 * @param epoch with {@code index}: identifies the resulting state
 * @param snapshot the complete state; null if the update has entries
 * @param baseIndex with {@code baseEpoch}: identifies the state to which the entries apply
 * @param entries the entries, in order, up to {@code index}; empty if the update is a snapshot
 */
public record StateUpdate(
        Epoch epoch, long index, byte[] snapshot, Epoch baseEpoch, long baseIndex, List<Entry> entries) {
    private static final byte SNAPSHOT_TAG = 'S';
    private static final byte ENTRIES_TAG = 'D';
    private static final byte NO_CHANGE_TAG = 0;
    private static final byte CHANGE_TAG = 1;
    private static final int MIN_ENTRY_BYTES = 8 + 2 + 1;

    /** An update with a complete state. */
    static StateUpdate ofSnapshot(Epoch epoch, long index, ControlState state) {
        return new StateUpdate(epoch, index, state.bytes(), Epoch.NONE, -1, List.of());
    }

    /** An update with the entries after another state; there has to be at least one. */
    static StateUpdate ofEntries(Epoch baseEpoch, long baseIndex, List<Entry> entries) {
        Entry last = entries.get(entries.size() - 1);
        return new StateUpdate(last.epoch(), last.index(), null, baseEpoch, baseIndex, List.copyOf(entries));
    }

    boolean isSnapshot() {
        return snapshot != null;
    }

    /** Binary encoding, used on disk and in messages. */
    byte[] bytes() {
        byte[] epochText = utf8(epoch);
        byte[] baseText = utf8(baseEpoch);
        int size = 1 + 2 + epochText.length + 8 + 2 + baseText.length + 8 + 4;
        size += isSnapshot()
                ? snapshot.length
                : entries.stream().mapToInt(StateUpdate::size).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(isSnapshot() ? SNAPSHOT_TAG : ENTRIES_TAG);
        putText(out, epochText);
        out.putLong(index);
        putText(out, baseText);
        out.putLong(baseIndex);
        if (isSnapshot()) {
            out.putInt(snapshot.length).put(snapshot);
        } else {
            out.putInt(entries.size());
            entries.forEach(entry -> write(out, entry));
        }
        return out.array();
    }

    private static int size(Entry entry) {
        return MIN_ENTRY_BYTES
                + utf8(entry.epoch()).length
                + (entry.change() == null ? 0 : entry.change().size());
    }

    private static void write(ByteBuffer out, Entry entry) {
        out.putLong(entry.index());
        putText(out, utf8(entry.epoch()));
        if (entry.change() == null) {
            out.put(NO_CHANGE_TAG);
        } else {
            out.put(CHANGE_TAG);
            entry.change().writeTo(out);
        }
    }

    private static byte[] utf8(Epoch epoch) {
        return epoch.text().getBytes(StandardCharsets.UTF_8);
    }

    private static void putText(ByteBuffer out, byte[] text) {
        out.putShort((short) text.length).put(text);
    }

    /**
     * Parses {@link #bytes}.
     *
     * @throws FleetException if the bytes are not a valid update
     */
    static StateUpdate parse(byte[] bytes) {
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            byte tag = in.get();
            Epoch epoch = readEpoch(in);
            long index = in.getLong();
            Epoch baseEpoch = readEpoch(in);
            long baseIndex = in.getLong();
            int length = in.getInt();
            if (tag == SNAPSHOT_TAG && length >= 0 && length <= in.remaining()) {
                byte[] snapshot = new byte[length];
                in.get(snapshot);
                return new StateUpdate(epoch, index, snapshot, baseEpoch, baseIndex, List.of());
            }
            if (tag != ENTRIES_TAG || length <= 0 || length > in.remaining() / MIN_ENTRY_BYTES) {
                throw malformed();
            }
            return new StateUpdate(epoch, index, null, baseEpoch, baseIndex, readEntries(in, baseIndex, length));
        } catch (BufferUnderflowException e) {
            throw malformed();
        }
    }

    private static List<Entry> readEntries(ByteBuffer in, long baseIndex, int count) {
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long index = in.getLong();
            if (index != baseIndex + 1 + i) {
                throw malformed();
            }
            Epoch epoch = readEpoch(in);
            entries.add(new Entry(index, epoch, in.get() == NO_CHANGE_TAG ? null : Change.readFrom(in)));
        }
        return entries;
    }

    private static Epoch readEpoch(ByteBuffer in) {
        int length = in.getShort();
        if (length < 0 || length > in.remaining()) {
            throw malformed();
        }
        byte[] text = new byte[length];
        in.get(text);
        Epoch epoch = Epoch.parse(new String(text, StandardCharsets.UTF_8));
        if (epoch == null) {
            throw malformed();
        }
        return epoch;
    }

    private static FleetException malformed() {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "the encoded state update is truncated or malformed",
                "run the same version everywhere");
    }
}
