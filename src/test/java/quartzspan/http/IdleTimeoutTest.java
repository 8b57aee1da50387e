package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How idle a kept connection may be, by what lately became of others. */
class IdleTimeoutTest {
    private static final long MS = 1_000_000;
    private final IdleTimeout limit = new IdleTimeout(6_000 * MS);

    @Test
    void allIsAllowedWhileNothingWasStale() {
        assertEquals(6_000 * MS, limit.nanos());
        assertEquals(6_000 * MS, limit.cautiousNanos());
    }

    @Test
    void requestsThatRunOnceStayWellBelowWhatWasStale() {
        limit.stale(0, 375 * MS);
        assertEquals(300 * MS, limit.nanos());
        assertEquals(150 * MS, limit.cautiousNanos());
        limit.good(1_000 * MS, 140 * MS, true);
        assertEquals(300 * MS, limit.nanos(), "they do not try out more so soon");
        limit.good(1_000 * MS, 280 * MS, false);
        assertEquals(330 * MS, limit.nanos(), "others do");
    }

    @Test
    void theLimitGrowsBackWithRequestsThatRunOnceAlone() {
        limit.stale(0, 375 * MS);
        for (int i = 0; i < 100; i++) {
            limit.good(6_000 * MS, limit.cautiousNanos(), true);
        }
        assertEquals(6_000 * MS, limit.nanos());
    }

    @Test
    void aResetOfAConnectionInUseTeachesNothing() {
        limit.stale(0, 90 * MS);
        assertEquals(6_000 * MS, limit.nanos());
        limit.stale(0, 101 * MS);
        assertTrue(limit.nanos() >= 100 * MS);
    }
}
