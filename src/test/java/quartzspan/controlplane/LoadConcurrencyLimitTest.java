package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How many servers may load at once, by the elapsed fraction of the time within which all must have the version. */
class LoadConcurrencyLimitTest {
    private static long maxForVersion(int servers, int outdated, double elapsed) {
        return new LoadConcurrencyLimit(servers, outdated, elapsed).maxForVersion();
    }

    private static long maxTotal(int servers, double elapsed) {
        return new LoadConcurrencyLimit(servers, servers, elapsed).maxTotal();
    }

    @Test
    void fewServersLoadWhileTheRolloutIsOnSchedule() {
        assertEquals(3, maxForVersion(10, 10, 0));
        assertEquals(3, maxForVersion(10, 5, 0.25), "half of the servers after half of the schedule");
        assertEquals(3, maxForVersion(10, 0, 0.5));
    }

    @Test
    void asManyServersLoadAsTheRolloutIsBehind() {
        assertEquals(5, maxForVersion(10, 10, 0.25));
        assertEquals(4, maxForVersion(10, 9, 0.25));
    }

    @Test
    void someServersKeepServingUntilTheFinalPhase() {
        assertEquals(6, maxForVersion(10, 10, 0.5));
        assertEquals(6, maxTotal(10, 0));
        assertEquals(8, maxTotal(10, 0.625));
    }

    @Test
    void allServersMayLoadAtTheEndOfTheFinalPhase() {
        assertEquals(10, maxTotal(10, 0.75));
        assertEquals(10, maxTotal(10, 2));
        assertEquals(10, maxForVersion(10, 10, 2));
    }

    @Test
    void oneServerMayAlwaysLoad() {
        assertEquals(1, maxForVersion(1, 1, 0));
        assertEquals(1, maxTotal(1, 0));
        assertEquals(1, maxTotal(0, 0));
    }
}
