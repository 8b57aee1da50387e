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
    private static final int MAX_DELTA_BYTES = 64 * 1024;

    private long index = -1;
    private PublishedState state = PublishedState.EMPTY;
    private final DeltaHistory history = new DeltaHistory();
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
        if (change == null || change.length > MAX_DELTA_BYTES) {
            history.clear();
        } else {
            history.append(new StateDelta(index, committedIndex, change));
        }
        index = committedIndex;
        state = next;
        return true;
    }

    /** Applies the deltas that follow the state here; whether there were any. */
    boolean apply(List<StateDelta> deltas) {
        boolean advanced = false;
        for (StateDelta delta : deltas) {
            if (delta.fromIndex() != index || delta.toIndex() <= index) {
                continue;
            }
            try {
                state = state.withDelta(delta.change());
            } catch (FleetException e) {
                // Not the state of its sender: the state here stays, and a snapshot is requested.
                return advanced;
            }
            index = delta.toIndex();
            history.append(delta);
            advanced = true;
        }
        return advanced;
    }

    /** Takes a snapshot; whether it is newer. */
    boolean install(Snapshot newer) {
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
    List<StateDelta> deltasSince(long fromIndex) {
        return history.deltasSince(fromIndex);
    }

    /**
     * A chunk of a snapshot for a process with the state at an index: of the snapshot that it is reading, else of one that
     * is newer and from which the deltas to the state here are known.
     */
    SnapshotChunk chunk(long afterIndex, SnapshotChunk requested) {
        if (index <= afterIndex) {
            return SnapshotChunk.NONE;
        }
        boolean continuing = snapshot != null && requested.index() == snapshot.index();
        if (!continuing && !canServe(afterIndex)) {
            snapshot = Snapshot.of(index, state);
        }
        boolean within = continuing && requested.offset() >= 0 && requested.offset() < snapshot.bytes().length;
        return snapshot.chunk(within ? requested.offset() : 0);
    }

    private boolean canServe(long afterIndex) {
        return snapshot != null
                && snapshot.index() > afterIndex
                && (snapshot.index() == index
                        || !history.deltasSince(snapshot.index()).isEmpty());
    }
}
