package quartzspan.registry;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/**
 * The published state at one process: reached by deltas or by a snapshot, and passed on likewise. It only ever moves
 * to higher committed indexes. No clock, no I/O.
 */
final class StateFollower {
    /** A longer step is dearer to send than a compressed snapshot. */
    private static final int MAX_STEP_BYTES = 64 * 1024;

    private long index = -1;
    private PublishedState state = PublishedState.EMPTY;
    private final StateHistory history = new StateHistory();
    /** The snapshot that was last requested; later changes do not make a reader of its chunks start again. */
    private Snapshot snapshot;

    long index() {
        return index;
    }

    PublishedState state() {
        return state;
    }

    /** Takes a committed state from the replica at this process; whether it is newer. */
    boolean publish(long committedIndex, ControlState committed) {
        if (committedIndex <= index) {
            return false;
        }
        PublishedState next = PublishedState.of(committed);
        byte[] change = index < 0 ? null : state.deltaTo(next);
        if (change == null || change.length > MAX_STEP_BYTES) {
            history.clear();
        } else {
            history.append(new StateDelta(index, committedIndex, change));
        }
        index = committedIndex;
        state = next;
        return true;
    }

    /** Applies the deltas that follow the state here; whether there were any. */
    boolean apply(List<StateDelta> steps) {
        boolean advanced = false;
        for (StateDelta step : steps) {
            if (step.from() != index || step.to() <= index) {
                continue;
            }
            try {
                state = state.with(step.change());
            } catch (FleetException e) {
                // Not the state of its sender: the state here stays, and a snapshot is requested.
                return advanced;
            }
            index = step.to();
            history.append(step);
            advanced = true;
        }
        return advanced;
    }

    /** Takes a snapshot; whether it is newer. */
    boolean take(Snapshot newer) {
        if (newer.index() <= index) {
            return false;
        }
        state = newer.state();
        index = newer.index();
        history.clear();
        snapshot = newer;
        return true;
    }

    /** The deltas from another process's state to the one here; empty if they are not known. */
    List<StateDelta> since(long from) {
        return history.since(from);
    }

    /**
     * A chunk of a snapshot for a process with the state at an index: of the snapshot that it is reading, else of one that
     * is newer and from which the deltas to the state here are known.
     */
    SnapshotChunk chunk(long after, SnapshotChunk wanted) {
        if (index <= after) {
            return SnapshotChunk.NONE;
        }
        boolean reading = snapshot != null && wanted.index() == snapshot.index();
        if (!reading && !usable(after)) {
            snapshot = Snapshot.of(index, state);
        }
        boolean within = reading && wanted.offset() >= 0 && wanted.offset() < snapshot.bytes().length;
        return snapshot.chunk(within ? wanted.offset() : 0);
    }

    private boolean usable(long after) {
        return snapshot != null
                && snapshot.index() > after
                && (snapshot.index() == index
                        || !history.since(snapshot.index()).isEmpty());
    }
}
