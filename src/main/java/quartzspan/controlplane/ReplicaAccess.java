package quartzspan.controlplane;

import quartzspan.replication.Change;
import quartzspan.replication.Replica;

/** The replica of the control state on this machine, and its requests. */
interface ReplicaAccess {
    Replica replica();

    /** Submits a change of the control state; the callback receives the result. */
    void submit(Change change, PendingReplicaRequests.Callback callback);
}
