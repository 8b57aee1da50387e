package quartzspan.replication;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.ChangeHistory.Entry;

/**
 * The copy of the control state on this replica's disk. It is written as a snapshot and the steps since; a new snapshot is
 * written once the steps outgrow the last one, so that the log stays bounded and a start reads little.
 */
final class StateCopy {
    /** The tags of the records on disk. */
    static final byte SNAPSHOT_RECORD = 'C';

    static final byte STEPS_RECORD = 'D';
    /** Steps are kept up to this many bytes, or the size of the last snapshot if that is more. */
    private static final long MIN_STEPS_BYTES = 64 * 1024;

    private static final int MAX_STEPS = 256;

    private final DiskQueue disk;
    private Ballot ballot = Ballot.NONE;
    private long index = -1;
    private ControlState state = ControlState.EMPTY;
    private final ChangeHistory history = new ChangeHistory(-1, Ballot.NONE);
    private boolean writing;
    private long snapshotBytes;
    private long stepsBytes;
    private int steps;

    StateCopy(DiskQueue disk) {
        this.disk = disk;
    }

    Ballot ballot() {
        return ballot;
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

    /** Whether an update is on its way to the disk: no other may begin before it is there. */
    boolean writing() {
        return writing;
    }

    boolean is(Ballot otherBallot, long otherIndex) {
        return index == otherIndex && ballot.equals(otherBallot);
    }

    /** What brings a holder of another state up to this one: the steps if they are known, else a snapshot. */
    StateUpdate updateFrom(Ballot otherBallot, long otherIndex) {
        List<Entry> since = history.since(otherIndex, otherBallot);
        if (since == null || since.isEmpty()) {
            return StateUpdate.snapshot(ballot, index, state);
        }
        return StateUpdate.steps(otherBallot, otherIndex, since);
    }

    /** The update by one step from the copy as it is. */
    StateUpdate nextStep(Ballot under, Change change) {
        return StateUpdate.steps(ballot, index, List.of(new Entry(index + 1, under, change)));
    }

    /** Whether an update can be applied to the copy as it is. */
    boolean accepts(StateUpdate update) {
        return update.isSnapshot() || is(update.baseBallot(), update.baseIndex());
    }

    /** The state that an update makes of the copy as it is; the copy stays as it is. */
    ControlState result(StateUpdate update) {
        if (update.isSnapshot()) {
            return ControlState.parse(update.snapshot());
        }
        ControlState next = state;
        for (Entry entry : update.entries()) {
            next = entry.change() == null ? next : next.with(entry.change());
        }
        return next;
    }

    /** Makes an update durable; the copy changes when it is. */
    void write(long now, StateUpdate update, ControlState result, DiskQueue.Completion completion) {
        if (writing || !accepts(update)) {
            throw new IllegalStateException("an update that does not follow " + ballot.text() + " at " + index);
        }
        writing = true;
        StateUpdate kept = toKeep(update, result);
        byte[] record = record(kept);
        disk.write(now, record, durable -> {
            writing = false;
            if (durable) {
                install(update, result);
                count(kept, record.length);
            }
            completion.done(durable);
        });
    }

    private StateUpdate toKeep(StateUpdate update, ControlState result) {
        boolean outgrown = stepsBytes > Math.max(MIN_STEPS_BYTES, snapshotBytes) || steps > MAX_STEPS;
        return !update.isSnapshot() && (outgrown || index < 0)
                ? StateUpdate.snapshot(update.ballot(), update.index(), result)
                : update;
    }

    private static byte[] record(StateUpdate update) {
        byte[] body = update.bytes();
        byte[] record = new byte[1 + body.length];
        record[0] = update.isSnapshot() ? SNAPSHOT_RECORD : STEPS_RECORD;
        System.arraycopy(body, 0, record, 1, body.length);
        return record;
    }

    private void count(StateUpdate kept, int bytes) {
        if (kept.isSnapshot()) {
            snapshotBytes = bytes;
            stepsBytes = 0;
            steps = 0;
        } else {
            stepsBytes += bytes;
            steps += kept.entries().size();
        }
    }

    private void install(StateUpdate update, ControlState result) {
        ballot = update.ballot();
        index = update.index();
        state = result;
        if (update.isSnapshot()) {
            history.reset(index, ballot);
        } else {
            update.entries().forEach(history::append);
        }
    }

    /** The founding state: the same for every founder. */
    void found(long now, DiskQueue.Completion completion) {
        StateUpdate founding = StateUpdate.snapshot(Ballot.FOUNDING, 0, ControlState.EMPTY);
        install(founding, ControlState.EMPTY);
        byte[] record = record(founding);
        count(founding, record.length);
        disk.write(now, record, completion);
    }

    /** Forgets everything. */
    void clear() {
        ballot = Ballot.NONE;
        index = -1;
        state = ControlState.EMPTY;
        history.reset(index, ballot);
    }

    /** Reads a record of {@link #write} at a start. */
    void restore(byte[] record) {
        byte[] body = new byte[record.length - 1];
        System.arraycopy(record, 1, body, 0, body.length);
        StateUpdate update = StateUpdate.parse(body);
        if (!accepts(update)) {
            throw damaged();
        }
        install(update, result(update));
        count(update, record.length);
    }

    static FleetException damaged() {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                "a record of the control state can't be read",
                "move the data directory aside and start again");
    }
}
