package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** Which servers count as loading, and when an order counts as lost. */
class LoadTrackerTest {
    private static final String ID = "i";
    private static final long RETRY_MS = LoadTracker.RETRY_INTERVAL_MS;

    private final LoadTracker loads = new LoadTracker();

    private static Server server(long weights) {
        return new Server(ID, "s", "10.0.0.1:1", "z", "m", weights, 0, 1, RegistryEntry.State.READY);
    }

    @Test
    void unconfirmedOrderMayBeSentAgainAfterTheRetryInterval() {
        loads.onOrdered(0, ID, 2);
        assertTrue(loads.isLoading(RETRY_MS - 1, ID));
        assertFalse(loads.mayOrder(RETRY_MS - 1, ID));
        assertTrue(loads.mayOrder(RETRY_MS, ID));
    }

    @Test
    void serverThatReportsLoadingIsNotOrderedAgain() {
        loads.onOrdered(0, ID, 2);
        for (long now = 0; now < 10 * RETRY_MS; now += RETRY_MS / 2) {
            loads.onConfirmed(now, ID);
            assertFalse(loads.mayOrder(now, ID));
        }
        assertEquals(List.of(ID), loads.loadingServers(10 * RETRY_MS - 1));
    }

    @Test
    void rejectedOrderLeavesTheServerServingUntilItIsRetried() {
        loads.onOrdered(0, ID, 2);
        loads.onRejected(100, ID);
        assertFalse(loads.isLoading(100, ID));
        assertFalse(loads.mayOrder(100, ID), "not immediately");
        assertTrue(loads.mayOrder(600, ID));
    }

    @Test
    void idleReportAllowsANewOrderUnlessItMayPredateTheOrder() {
        loads.onOrdered(0, ID, 2);
        loads.onIdle(300, ID);
        assertTrue(loads.isLoading(300, ID), "the report may predate the order");
        loads.onIdle(1_500, ID);
        assertTrue(loads.mayOrder(1_500, ID));
    }

    @Test
    void loadFinishesWithTheOrderedVersionOrALaterOne() {
        loads.onOrdered(0, ID, 3);
        loads.onWeights(500, List.of(server(2)));
        assertTrue(loads.isLoading(500, ID));
        loads.onWeights(900, List.of(server(4)));
        assertFalse(loads.isLoading(900, ID));
        assertEquals(900, loads.takeFinished().get(0).durationMs());
        assertEquals(List.of(), loads.takeFinished());
    }
}
