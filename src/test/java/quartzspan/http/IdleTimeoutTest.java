package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the idle timeout of pooled connections adapts to stale and usable connections. */
class IdleTimeoutTest {
    private static final long MS = 1_000_000;
    private final IdleTimeout idleTimeout = new IdleTimeout(6_000 * MS);

    @Test
    void limitIsMaximalWhileNoConnectionWasStale() {
        assertEquals(6_000 * MS, idleTimeout.nanos());
        assertEquals(6_000 * MS, idleTimeout.cautiousNanos());
    }

    @Test
    void nonRetryableRequestsStayWellBelowTheStaleIdleTime() {
        idleTimeout.onStale(0, 375 * MS);
        assertEquals(300 * MS, idleTimeout.nanos());
        assertEquals(150 * MS, idleTimeout.cautiousNanos());
        idleTimeout.onUsable(1_000 * MS, 140 * MS, true);
        assertEquals(
                300 * MS,
                idleTimeout.nanos(),
                "cautious requests do not raise the limit right after a stale connection");
        idleTimeout.onUsable(1_000 * MS, 280 * MS, false);
        assertEquals(330 * MS, idleTimeout.nanos(), "retryable requests raise the limit");
    }

    @Test
    void limitRecoversWithNonRetryableRequestsOnly() {
        idleTimeout.onStale(0, 375 * MS);
        for (int i = 0; i < 100; i++) {
            idleTimeout.onUsable(6_000 * MS, idleTimeout.cautiousNanos(), true);
        }
        assertEquals(6_000 * MS, idleTimeout.nanos());
    }

    @Test
    void resetAfterShortIdleTimeDoesNotReduceTheLimit() {
        idleTimeout.onStale(0, 90 * MS);
        assertEquals(6_000 * MS, idleTimeout.nanos());
        idleTimeout.onStale(0, 101 * MS);
        assertTrue(idleTimeout.nanos() >= 100 * MS);
    }
}
