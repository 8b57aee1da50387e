package quartzspan.controlplane;

import java.util.HashMap;
import java.util.Map;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;

/** The requests to the replica that wait for its result, by ID. */
final class PendingReplicaRequests {
    /** Called once with the result; {@code rejection} is null if the request was granted. */
    interface Callback {
        void onComplete(FleetException rejection, ControlState state);
    }

    private final Map<Long, Callback> callbacks = new HashMap<>();
    private long lastRequestId;

    /** Registers a request; returns its ID. */
    long add(Callback callback) {
        callbacks.put(++lastRequestId, callback);
        return lastRequestId;
    }

    /** The replica has completed a request. */
    void complete(long requestId, FleetException rejection, ControlState state) {
        Callback callback = callbacks.remove(requestId);
        if (callback != null) {
            callback.onComplete(rejection, state);
        }
    }

    boolean isEmpty() {
        return callbacks.isEmpty();
    }
}
