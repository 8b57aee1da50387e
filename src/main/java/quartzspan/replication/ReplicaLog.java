package quartzspan.replication;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.ChangeHistory.Entry;

/**
 * The log of the control state on this replica's disk: a snapshot and the entries after it. A new snapshot is written once the
 * entries outgrow the last one, which bounds the log and the time to read it at startup.
 */
final class ReplicaLog {
    /** First byte of a snapshot record on disk. */
    static final byte SNAPSHOT_RECORD_TAG = 'C';

    /** First byte of an entries record on disk. */
    static final byte ENTRIES_RECORD_TAG = 'D';
    /** A snapshot is written once the entries exceed this size and the size of the last snapshot. */
    private static final long MIN_ENTRIES_BYTES = 64 * 1024;

    private static final int MAX_ENTRIES = 256;

    private final DiskQueue disk;
    private Epoch epoch = Epoch.NONE;
    private long index = -1;
    private ControlState state = ControlState.EMPTY;
    private final ChangeHistory history = new ChangeHistory(-1, Epoch.NONE);
    private boolean appending;
    private long snapshotBytes;
    private long entriesBytes;
    private int entryCount;

    ReplicaLog(DiskQueue disk) {
        this.disk = disk;
    }

    Epoch epoch() {
        return epoch;
    }

    long index() {
        return index;
    }

    ControlState state() {
        return state;
    }

    ChangeHistory history() {
        return history;
    }

    /** Whether an update is being written; no other may be appended until the write has completed. */
    boolean isAppending() {
        return appending;
    }

    boolean isAt(Epoch otherEpoch, long otherIndex) {
        return index == otherIndex && epoch.equals(otherEpoch);
    }

    /** The update from another position to the end of this log: the entries if they are retained, else a snapshot. */
    StateUpdate updateFrom(Epoch otherEpoch, long otherIndex) {
        List<Entry> since = history.since(otherIndex, otherEpoch);
        if (since == null || since.isEmpty()) {
            return StateUpdate.ofSnapshot(epoch, index, state);
        }
        return StateUpdate.ofEntries(otherEpoch, otherIndex, since);
    }

    /** An update that appends one entry to the end of the log. */
    StateUpdate nextEntry(Epoch entryEpoch, Change change) {
        return StateUpdate.ofEntries(epoch, index, List.of(new Entry(index + 1, entryEpoch, change)));
    }

    /** Whether an update can be applied at the end of the log. */
    boolean isApplicable(StateUpdate update) {
        return update.isSnapshot() || isAt(update.baseEpoch(), update.baseIndex());
    }

    /** The state after applying an update at the end of the log; does not change the log. */
    ControlState stateAfter(StateUpdate update) {
        if (update.isSnapshot()) {
            return ControlState.parse(update.snapshot());
        }
        ControlState next = state;
        for (Entry entry : update.entries()) {
            next = entry.change() == null ? next : next.with(entry.change());
        }
        return next;
    }

    /** Writes an update to disk; it is applied to the log once it is durable. */
    void append(long nowMs, StateUpdate update, ControlState result, DiskQueue.Completion completion) {
        if (appending || !isApplicable(update)) {
            throw new IllegalStateException("update can't be appended at epoch " + epoch.text() + ", index " + index);
        }
        appending = true;
        StateUpdate stored = toStoredUpdate(update, result);
        byte[] record = encodeRecord(stored);
        disk.write(nowMs, record, durable -> {
            appending = false;
            if (durable) {
                apply(update, result);
                trackStoredSize(stored, record.length);
            }
            completion.done(durable);
        });
    }

    private StateUpdate toStoredUpdate(StateUpdate update, ControlState result) {
        boolean outgrown = entriesBytes > Math.max(MIN_ENTRIES_BYTES, snapshotBytes) || entryCount > MAX_ENTRIES;
        return !update.isSnapshot() && (outgrown || index < 0)
                ? StateUpdate.ofSnapshot(update.epoch(), update.index(), result)
                : update;
    }

    private static byte[] encodeRecord(StateUpdate update) {
        byte[] body = update.bytes();
        byte[] record = new byte[1 + body.length];
        record[0] = update.isSnapshot() ? SNAPSHOT_RECORD_TAG : ENTRIES_RECORD_TAG;
        System.arraycopy(body, 0, record, 1, body.length);
        return record;
    }

    private void trackStoredSize(StateUpdate stored, int bytes) {
        if (stored.isSnapshot()) {
            snapshotBytes = bytes;
            entriesBytes = 0;
            entryCount = 0;
        } else {
            entriesBytes += bytes;
            entryCount += stored.entries().size();
        }
    }

    private void apply(StateUpdate update, ControlState result) {
        epoch = update.epoch();
        index = update.index();
        state = result;
        if (update.isSnapshot()) {
            history.reset(index, epoch);
        } else {
            update.entries().forEach(history::append);
        }
    }

    /** Writes the initial state, which is the same on every replica that bootstraps. */
    void initialize(long nowMs, DiskQueue.Completion completion) {
        StateUpdate initial = StateUpdate.ofSnapshot(Epoch.INITIAL, 0, ControlState.EMPTY);
        apply(initial, ControlState.EMPTY);
        byte[] record = encodeRecord(initial);
        trackStoredSize(initial, record.length);
        disk.write(nowMs, record, completion);
    }

    /** Resets the log to its empty state. */
    void clear() {
        epoch = Epoch.NONE;
        index = -1;
        state = ControlState.EMPTY;
        history.reset(index, epoch);
    }

    /** Loads a record written by {@link #append} or {@link #initialize}. */
    void restore(byte[] record) {
        byte[] body = new byte[record.length - 1];
        System.arraycopy(record, 1, body, 0, body.length);
        StateUpdate update = StateUpdate.parse(body);
        if (!isApplicable(update)) {
            throw damagedRecord();
        }
        apply(update, stateAfter(update));
        trackStoredSize(update, record.length);
    }

    static FleetException damagedRecord() {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                "a stored replica record is truncated or malformed",
                "move the data directory aside and start again");
    }
}
