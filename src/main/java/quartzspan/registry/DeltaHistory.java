package quartzspan.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The latest deltas of the published state, within bounds; each begins where the one before ends. */
final class DeltaHistory {
    /** More than this is dearer to keep and to send than a snapshot. */
    private static final int MAX_BYTES = 512 * 1024;

    private static final int MAX_DELTAS = 1024;

    private final ArrayDeque<StateDelta> deltas = new ArrayDeque<>();
    private long bytes;

    /** Adds the next step. */
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

    /** Starts again: the state was not reached by deltas. */
    void clear() {
        deltas.clear();
        bytes = 0;
    }

    /** The steps from the state at an index to the newest; empty if they are not all known. */
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
