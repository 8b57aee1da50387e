package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The times of a graceful shutdown. */
class ShutdownScheduleTest {
    private static final long GRACE_PERIOD_MS = 8_000;
    private static final long START = 100_000;
    private static final long END = START + GRACE_PERIOD_MS - ShutdownSchedule.KILL_MARGIN_MS;

    private final ShutdownSchedule schedule = new ShutdownSchedule(GRACE_PERIOD_MS, START);

    @Test
    void everythingIsForwardedBeforeAShutdown() {
        assertTrue(schedule.mayForward(START + 50_000, START + 90_000));
        assertFalse(schedule.closesIdleConnections(START + 50_000));
        assertFalse(schedule.isOver(START + 50_000, true));
    }

    @Test
    void everythingIsForwardedUntilClientsHaveSeenTheReadiness() {
        schedule.begin(START);
        long last = START + ShutdownSchedule.READINESS_MS - 1;
        assertTrue(schedule.mayForward(last, START + 90_000));
        assertFalse(schedule.closesIdleConnections(last));
    }

    @Test
    void laterOnlyWhatIsSureToEndIsForwarded() {
        schedule.begin(START);
        long later = START + ShutdownSchedule.READINESS_MS;
        assertTrue(schedule.closesIdleConnections(later));
        assertTrue(schedule.mayForward(later, END));
        assertFalse(schedule.mayForward(later, END + 1));
    }

    @Test
    void theGracePeriodOfAFrozenProcessRunsFromItsLastTick() {
        schedule.onTick(START);
        schedule.begin(START + 4_000);
        assertTrue(schedule.closesIdleConnections(START + 4_000));
        assertFalse(schedule.mayForward(START + 4_000, END + 1));
        assertTrue(schedule.isOver(END + 1, false));
    }

    @Test
    void aSignalIsDeliveredAfterTheFirstTickOfAThawedProcess() {
        schedule.onTick(START);
        schedule.onTick(START + 4_000);
        schedule.begin(START + 4_050);
        assertTrue(schedule.closesIdleConnections(START + 4_050));
        assertTrue(schedule.isOver(END + 1, false));
    }

    @Test
    void aFreezeLongBeforeTheSignalDoesNotCount() {
        schedule.onTick(START - 4_000);
        schedule.onTick(START - 1_000);
        schedule.onTick(START - 900);
        for (long now = START - 800; now <= START; now += 100) {
            schedule.onTick(now);
        }
        schedule.begin(START);
        assertTrue(schedule.mayForward(START + ShutdownSchedule.READINESS_MS - 1, START + 90_000));
    }

    @Test
    void aSecondSignalChangesNothing() {
        schedule.begin(START);
        schedule.onTick(START + 5_000);
        schedule.begin(START + 5_000);
        assertTrue(schedule.isOver(END + 1, false));
    }

    @Test
    void theProcessEndsOnceNothingIsInFlightAndNobodyComes() {
        schedule.begin(START);
        assertFalse(schedule.isOver(START + ShutdownSchedule.NEW_CONNECTIONS_MS, true));
        assertTrue(schedule.isOver(START + ShutdownSchedule.NEW_CONNECTIONS_MS + 1, true));
        assertFalse(schedule.isOver(END, false));
    }
}
