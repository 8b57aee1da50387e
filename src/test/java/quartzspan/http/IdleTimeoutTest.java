package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How idle a kept connection may be, by what lately became of others. */
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
        assertEquals(300 * MS, idleTimeout.nanos(), "they do not try out more so soon");
        idleTimeout.onUsable(1_000 * MS, 280 * MS, false);
        assertEquals(330 * MS, idleTimeout.nanos(), "others do");
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
