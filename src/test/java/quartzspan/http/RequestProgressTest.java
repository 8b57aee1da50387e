package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** What the bytes of a request that were written, and those of a response that were read, prove about its execution. */
class RequestProgressTest {
    private static final int HEAD_BYTES = 300;

    @Test
    void requestWithAnIncompleteHeadWasNotExecuted() {
        for (long written : new long[] {0, 1, HEAD_BYTES - 1}) {
            RequestProgress progress = RequestProgress.of(written, HEAD_BYTES, false);
            assertEquals(RequestProgress.UNSENT, progress);
            assertTrue(progress.mayReconnect());
            assertTrue(progress.onConnectionLost().neverRan());
            assertTrue(progress.onTimeout().neverRan());
        }
    }

    @Test
    void requestWhoseHeadWasWrittenMayHaveBeenExecuted() {
        for (long written : new long[] {HEAD_BYTES, HEAD_BYTES + 1}) {
            RequestProgress progress = RequestProgress.of(written, HEAD_BYTES, false);
            assertFalse(progress.mayReconnect());
            assertEquals(Outcome.RESET, progress.onConnectionLost());
            assertEquals(Outcome.TIMED_OUT, progress.onTimeout());
        }
    }

    /** A server may reject a request, or begin to answer it, before it has its whole head. */
    @Test
    void requestWhoseResponseHasBegunMayHaveBeenExecuted() {
        RequestProgress progress = RequestProgress.of(1, HEAD_BYTES, true);
        assertFalse(progress.mayReconnect());
        assertEquals(Outcome.RESET, progress.onConnectionLost());
        assertEquals(Outcome.TIMED_OUT, progress.onTimeout());
    }
}
