package quartzspan.registry;

import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/**
 * The published state at one process, updated by deltas or snapshots, and the source of deltas and snapshots for other
 * processes. Its committed index never decreases. Performs no I/O and reads no clock.
 */
final class StateFollower {
    /** A larger delta costs more to send than a compressed snapshot. */
    private static final int MAX_DELTA_BYTES = 64 * 1024;

    /** Is told of each advance of the state, right after it. */
    interface Listener {
        /** The state has advanced from this index; -1 if there was none. */
        void onAdvanced(long previousIndex);
    }

    private final Listener listener;

    private long index = -1;
    private PublishedState state = PublishedState.EMPTY;
    private final DeltaHistory history = new DeltaHistory();
    /** The snapshot served or installed last. It is kept after later changes, so that processes that fetch it need not start over. */
    private Snapshot snapshot;

    StateFollower(Listener listener) {
        this.listener = listener;
    }

    long index() {
        return index;
    }

    PublishedState state() {
        return state;
    }

    /** Publishes a committed state of the local replica; returns whether it is newer. */
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
        advance(committedIndex, next);
        return true;
    }

    /** Applies the deltas that follow the local state; returns whether the state advanced. */
    boolean apply(List<StateDelta> deltas) {
        boolean advanced = false;
        for (StateDelta delta : deltas) {
            if (delta.fromIndex() != index || delta.toIndex() <= index) {
                continue;
            }
            PublishedState next;
            try {
                next = state.withDelta(delta.change());
            } catch (FleetException e) {
                // The delta doesn't apply: the local state is kept, and a snapshot is requested.
                return advanced;
            }
            advance(delta.toIndex(), next);
            history.append(delta);
            advanced = true;
        }
        return advanced;
    }

    /** Installs a snapshot; returns whether it is newer than the local state. */
    boolean install(Snapshot newer) {
        if (newer.index() <= index) {
            return false;
        }
        PublishedState next = newer.state();
        history.clear();
        snapshot = newer;
        advance(newer.index(), next);
        return true;
    }

    private void advance(long nextIndex, PublishedState next) {
        long previousIndex = index;
        index = nextIndex;
        state = next;
        listener.onAdvanced(previousIndex);
    }

    /** The deltas from another process's state to the local one; empty if they are not available. */
    List<StateDelta> deltasSince(long fromIndex) {
        return history.deltasSince(fromIndex);
    }

    /**
     * A chunk of a snapshot for a process whose state is at {@code afterIndex}: of the snapshot that it is already fetching,
     * otherwise of a newer one from which deltas lead to the local state.
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
