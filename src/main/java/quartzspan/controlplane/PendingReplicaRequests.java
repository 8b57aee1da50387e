package quartzspan.controlplane;

import java.util.HashMap;
import java.util.Map;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/** Who waits for which answer of the replica. */
final class PendingReplicaRequests {
    /** Told once what became of a question; {@code why} is null if it was granted. */
    interface Pending {
        void done(FleetException why, ControlState state);
    }

    private final Map<Long, Pending> open = new HashMap<>();
    private long last;

    /** A ticket for a question to the replica. */
    long issue(Pending waiting) {
        open.put(++last, waiting);
        return last;
    }

    /** The replica's answer. */
    void done(long requestId, FleetException why, ControlState state) {
        Pending waiting = open.remove(requestId);
        if (waiting != null) {
            waiting.done(why, state);
        }
    }

    /** Whether nobody waits. */
    boolean idle() {
        return open.isEmpty();
    }
}
