package quartzspan.controlplane;

import java.util.HashMap;
import java.util.Map;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/**
 * The requests to the replica that wait for its result, by ID. They wait even if their callers have disconnected, so their number and
 * the size of their changes are bounded here.
 */
final class PendingReplicaRequests {
    /** Requests that may wait at once; many times what operators send. */
    static final int MAX_REQUESTS = 1_024;
    /** The changes that may wait at once, bytes; a single one always may. */
    static final int MAX_CHANGE_BYTES = 16 * 1024 * 1024;

    /** Called once with the result; {@code rejection} is null if the request was granted. */
    interface Callback {
        void onComplete(FleetException rejection, ControlState state);
    }

    private record Pending(Callback callback, int changeBytes) {}

    private final Map<Long, Pending> requests = new HashMap<>();
    private long lastRequestId;
    private long changeBytes;

    /**
     * Why one more request can't wait; null if it can.
     *
     * @param bytes the size of its change, bytes; 0 for a read
     */
    FleetException rejectionIfFull(int bytes) {
        if (requests.size() < MAX_REQUESTS && (changeBytes == 0 || changeBytes + bytes <= MAX_CHANGE_BYTES)) {
            return null;
        }
        return new FleetException(
                FleetException.Code.REPLICA_BUSY,
                requests.size() + " requests wait for the replica",
                "retry in a moment");
    }

    /** Registers a request with a change of this size; returns its ID. */
    long add(int bytes, Callback callback) {
        requests.put(++lastRequestId, new Pending(callback, bytes));
        changeBytes += bytes;
        return lastRequestId;
    }

    /** The replica has completed a request. */
    void complete(long requestId, FleetException rejection, ControlState state) {
        Pending pending = requests.remove(requestId);
        if (pending != null) {
            changeBytes -= pending.changeBytes();
            pending.callback().onComplete(rejection, state);
        }
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }
}
