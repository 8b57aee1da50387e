package quartzspan.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The latest deltas of the published state, within bounds; each begins where the one before ends. */
final class StateHistory {
    /** More than this is dearer to keep and to send than a snapshot. */
    private static final int MAX_BYTES = 512 * 1024;

    private static final int MAX_STEPS = 1024;

    private final ArrayDeque<StateDelta> steps = new ArrayDeque<>();
    private long bytes;

    /** Adds the next step. */
    void append(StateDelta step) {
        if (!steps.isEmpty() && steps.peekLast().to() != step.from()) {
            clear();
        }
        steps.add(step);
        bytes += step.change().length;
        while (bytes > MAX_BYTES || steps.size() > MAX_STEPS) {
            bytes -= steps.poll().change().length;
        }
    }

    /** Starts again: the state was not reached by deltas. */
    void clear() {
        steps.clear();
        bytes = 0;
    }

    /** The steps from the state at an index to the newest; empty if they are not all known. */
    List<StateDelta> since(long index) {
        List<StateDelta> found = new ArrayList<>();
        for (StateDelta step : steps) {
            if (step.from() == index || !found.isEmpty()) {
                found.add(step);
            }
        }
        return found;
    }
}
