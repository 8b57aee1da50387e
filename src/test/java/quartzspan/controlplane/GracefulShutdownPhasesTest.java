package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a core machine may end after a shutdown was requested. */
class GracefulShutdownPhasesTest {
    private static final long GRACE_PERIOD_MS = 8_000;

    private int handovers;
    private boolean handoverComplete;
    private final GracefulShutdown shutdown = new GracefulShutdown(
            new GracefulShutdown.HandoverParticipant() {
                @Override
                public void beginHandover(long now) {
                    handovers++;
                }

                @Override
                public boolean isHandoverComplete(long now) {
                    return handoverComplete;
                }
            },
            GRACE_PERIOD_MS);

    @Test
    void notCompleteBeforeTheShutdownBegins() {
        handoverComplete = true;
        assertFalse(shutdown.isComplete(1_000_000, true));
        assertFalse(shutdown.hasStarted());
    }

    @Test
    void completeOnceHandedOverAndIdle() {
        shutdown.begin(100);
        shutdown.begin(150);
        assertEquals(1, handovers, "the handover begins once");
        assertFalse(shutdown.isComplete(200, true), "the other machines still need this one");
        handoverComplete = true;
        assertFalse(shutdown.isComplete(300, false), "a request waits for its response");
        assertTrue(shutdown.isComplete(350, true));
    }

    @Test
    void completeBeforeTheGracePeriodEnds() {
        shutdown.begin(0);
        assertFalse(shutdown.isComplete(GRACE_PERIOD_MS - GracefulShutdown.KILL_MARGIN_MS - 1, true));
        assertTrue(shutdown.isComplete(GRACE_PERIOD_MS - GracefulShutdown.KILL_MARGIN_MS, false));
    }
}
