package quartzspan.controlplane;

import java.util.HashMap;
import java.util.Map;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/** Who waits for which answer of the replica. */
final class ReplicaTickets {
    /** Told once what became of a question; {@code why} is null if it was granted. */
    interface Waiting {
        void done(FleetException why, ControlState state);
    }

    private final Map<Long, Waiting> open = new HashMap<>();
    private long last;

    /** A ticket for a question to the replica. */
    long issue(Waiting waiting) {
        open.put(++last, waiting);
        return last;
    }

    /** The replica's answer. */
    void done(long requestId, FleetException why, ControlState state) {
        Waiting waiting = open.remove(requestId);
        if (waiting != null) {
            waiting.done(why, state);
        }
    }

    /** Whether nobody waits. */
    boolean idle() {
        return open.isEmpty();
    }
}
