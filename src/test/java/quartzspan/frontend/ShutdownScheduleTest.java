package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Timing of a graceful shutdown. */
class ShutdownScheduleTest {
    private static final long GRACE_PERIOD_MS = 8_000;
    private static final long START_MS = 100_000;
    private static final long EXIT_DEADLINE_MS = START_MS + GRACE_PERIOD_MS - ShutdownSchedule.KILL_MARGIN_MS;

    private final ShutdownSchedule schedule = new ShutdownSchedule(GRACE_PERIOD_MS, START_MS);

    @Test
    void allRequestsAreForwardedBeforeAShutdown() {
        assertTrue(schedule.mayForward(START_MS + 50_000, START_MS + 90_000));
        assertFalse(schedule.shouldCloseIdleConnections(START_MS + 50_000));
        assertFalse(schedule.mayExit(START_MS + 50_000, true));
    }

    @Test
    void allRequestsAreForwardedUntilReadinessHasPropagated() {
        schedule.begin(START_MS);
        long last = START_MS + ShutdownSchedule.READINESS_PROPAGATION_MS - 1;
        assertTrue(schedule.mayForward(last, START_MS + 90_000));
        assertFalse(schedule.shouldCloseIdleConnections(last));
    }

    @Test
    void afterwardsOnlyRequestsThatEndBeforeTheExitAreForwarded() {
        schedule.begin(START_MS);
        long later = START_MS + ShutdownSchedule.READINESS_PROPAGATION_MS;
        assertTrue(schedule.shouldCloseIdleConnections(later));
        assertTrue(schedule.mayForward(later, EXIT_DEADLINE_MS));
        assertFalse(schedule.mayForward(later, EXIT_DEADLINE_MS + 1));
    }

    @Test
    void gracePeriodOfAFrozenProcessRunsFromItsLastTick() {
        schedule.onTick(START_MS);
        schedule.begin(START_MS + 4_000);
        assertTrue(schedule.shouldCloseIdleConnections(START_MS + 4_000));
        assertFalse(schedule.mayForward(START_MS + 4_000, EXIT_DEADLINE_MS + 1));
        assertTrue(schedule.mayExit(EXIT_DEADLINE_MS + 1, false));
    }

    @Test
    void signalAfterTheFirstTickOfAResumedProcessCountsFromTheFreeze() {
        schedule.onTick(START_MS);
        schedule.onTick(START_MS + 4_000);
        schedule.begin(START_MS + 4_050);
        assertTrue(schedule.shouldCloseIdleConnections(START_MS + 4_050));
        assertTrue(schedule.mayExit(EXIT_DEADLINE_MS + 1, false));
    }

    @Test
    void freezeLongBeforeTheSignalIsIgnored() {
        schedule.onTick(START_MS - 4_000);
        schedule.onTick(START_MS - 1_000);
        schedule.onTick(START_MS - 900);
        for (long now = START_MS - 800; now <= START_MS; now += 100) {
            schedule.onTick(now);
        }
        schedule.begin(START_MS);
        assertTrue(schedule.mayForward(START_MS + ShutdownSchedule.READINESS_PROPAGATION_MS - 1, START_MS + 90_000));
    }

    @Test
    void secondSignalIsIgnored() {
        schedule.begin(START_MS);
        schedule.onTick(START_MS + 5_000);
        schedule.begin(START_MS + 5_000);
        assertTrue(schedule.mayExit(EXIT_DEADLINE_MS + 1, false));
    }

    @Test
    void processExitsOnceIdleAndNoNewConnectionsAreExpected() {
        schedule.begin(START_MS);
        assertFalse(schedule.mayExit(START_MS + ShutdownSchedule.NEW_CONNECTION_WINDOW_MS, true));
        assertTrue(schedule.mayExit(START_MS + ShutdownSchedule.NEW_CONNECTION_WINDOW_MS + 1, true));
        assertFalse(schedule.mayExit(EXIT_DEADLINE_MS, false));
    }
}
