package quartzspan.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The most recent deltas of the published state, bounded in number and size; each starts at the index where the previous one ends. */
final class DeltaHistory {
    /** Beyond this size, deltas cost more memory and bandwidth than a snapshot. */
    private static final int MAX_BYTES = 512 * 1024;

    private static final int MAX_DELTAS = 1024;

    private final ArrayDeque<StateDelta> deltas = new ArrayDeque<>();
    private long bytes;

    /** Appends a delta; clears the history first if the delta doesn't follow the last one. */
    void append(StateDelta delta) {
        if (!deltas.isEmpty() && deltas.peekLast().toIndex() != delta.fromIndex()) {
            clear();
        }
        deltas.add(delta);
        bytes += delta.change().length;
        while (bytes > MAX_BYTES || deltas.size() > MAX_DELTAS) {
            bytes -= deltas.poll().change().length;
        }
    }

    /** Discards all deltas, after the state was replaced without one. */
    void clear() {
        deltas.clear();
        bytes = 0;
    }

    /** The deltas from the state at an index to the newest one; empty if any of them is missing. */
    List<StateDelta> deltasSince(long index) {
        List<StateDelta> found = new ArrayList<>();
        for (StateDelta delta : deltas) {
            if (delta.fromIndex() == index || !found.isEmpty()) {
                found.add(delta);
            }
        }
        return found;
    }
}
