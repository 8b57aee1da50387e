package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** Requests wait for the replica although their callers have gone: they are bounded by number and by size. */
class PendingReplicaRequestsTest {
    private final PendingReplicaRequests pending = new PendingReplicaRequests();

    @Test
    void noMoreRequestsWaitThanTheirNumberAllows() {
        for (int i = 0; i < PendingReplicaRequests.MAX_REQUESTS; i++) {
            assertNull(pending.rejectionIfFull(0));
            pending.add(0, (rejection, state) -> {});
        }
        FleetException rejection = pending.rejectionIfFull(0);
        assertNotNull(rejection);
        assertEquals(503, rejection.code().httpStatus());
        pending.complete(1, null, null);
        assertNull(pending.rejectionIfFull(0));
    }

    @Test
    void noMoreChangesWaitThanTheirSizeAllows() {
        int half = PendingReplicaRequests.MAX_CHANGE_BYTES / 2;
        assertNull(pending.rejectionIfFull(Integer.MAX_VALUE), "a single one may always wait");
        long first = pending.add(half, (rejection, state) -> {});
        assertNull(pending.rejectionIfFull(half));
        assertNotNull(pending.rejectionIfFull(half + 1));
        assertNull(pending.rejectionIfFull(0), "a read");
        pending.complete(first, null, null);
        pending.complete(first, null, null);
        assertNull(pending.rejectionIfFull(half + 1));
        assertTrue(pending.isEmpty());
    }
}
