package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry.State;
import quartzspan.registry.RegistryEntry.Subject;

/** Which heartbeats change a server's entry, when servers and proxies count as lost, and what other core machines are told. */
class HeartbeatTrackerTest {
    private static final long HEARTBEAT_MS = 1_000;
    private static final long SERVER_TIMEOUT_MS = 3_700;
    private static final long PROXY_TIMEOUT_MS = 4_000;
    private static final long CHECK_INTERVAL_MS = 200;
    private static final long REPORT_INTERVAL_MS = 200;
    private static final long PROXY_REPORT_INTERVAL_MS = 500;
    private static final long START_MS = 10_000;

    private final Registry registry = new Registry();
    private final HeartbeatTracker tracker = new HeartbeatTracker(registry, HEARTBEAT_MS);

    private static Server reported(long weightsVersion) {
        return new Server("i", "s", "10.0.0.1:80", "z", "m", weightsVersion, 0, 1, State.READY);
    }

    private RegistryEntry heartbeat(long nowMs, long count, State state, long weightsVersion) {
        return tracker.onServerHeartbeat(nowMs, "i", count, state, reported(weightsVersion));
    }

    private RegistryEntry entry() {
        return registry.entry(Subject.SERVER, "i");
    }

    private Server server() {
        return Server.of(entry());
    }

    @Test
    void onlyChangesOfStateOrAttributesChangeTheEntry() {
        assertNotNull(heartbeat(START_MS, 1, State.READY, 3));
        assertNull(heartbeat(START_MS, 2, State.READY, 3));
        assertNotNull(heartbeat(START_MS, 3, State.READY, 4));
        assertEquals(4, server().weightsVersion());
        assertNotNull(heartbeat(START_MS, 4, State.DRAINING, 4));
        assertNull(heartbeat(START_MS, 5, State.DRAINING, 4));
        assertEquals(State.DRAINING, entry().state());
    }

    @Test
    void sequenceRisesWithEachChangeEvenIfTheCountDoesNot() {
        heartbeat(START_MS, 5, State.READY, 3);
        assertEquals(5, entry().seq());
        heartbeat(START_MS, 5, State.READY, 4);
        assertEquals(6, entry().seq());
    }

    @Test
    void lateHeartbeatIsIgnoredUnlessItSaysThatTheServerDrains() {
        heartbeat(START_MS, 5, State.READY, 3);
        assertNull(heartbeat(START_MS, 4, State.READY, 9));
        assertNotNull(heartbeat(START_MS, 4, State.DRAINING, 3));
        assertNull(heartbeat(START_MS, 4, State.READY, 3), "the later count is remembered");
    }

    @Test
    void drainingServerStaysDraining() {
        heartbeat(START_MS, 5, State.DRAINING, 3);
        heartbeat(START_MS, 6, State.READY, 4);
        assertEquals(State.DRAINING, entry().state());
    }

    @Test
    void versionThatIsLoadingIsKeptUntilItIsReported() {
        heartbeat(START_MS, 1, State.READY, 3);
        assertNotNull(tracker.onLoadOrdered(START_MS, "i", 5));
        assertNull(tracker.onLoadOrdered(START_MS, "i", 5));
        assertNull(heartbeat(START_MS, 2, State.READY, 3));
        assertEquals(5, server().loadingVersion());
        assertNotNull(tracker.onWeightsReported(START_MS, "i", 5));
        assertNull(tracker.onWeightsReported(START_MS, "i", 5));
        assertEquals(5, server().weightsVersion());
        assertEquals(0, server().loadingVersion());
        assertNull(tracker.onWeightsReported(START_MS, "unknown", 5));
    }

    @Test
    void deregisteredServerIsGoneForGood() {
        heartbeat(START_MS, 7, State.READY, 3);
        assertNotNull(tracker.onDeregistered(START_MS, "i"));
        assertEquals(State.GONE, entry().state());
        assertEquals("10.0.0.1:80", server().address());
        assertNull(tracker.onDeregistered(START_MS, "i"));
        assertNull(tracker.onWeightsReported(START_MS, "i", 9));
        assertNull(heartbeat(START_MS, 8, State.READY, 3));
        assertNotNull(tracker.onDeregistered(START_MS, "never seen"));
    }

    @Test
    void countStartsAnewAfterADeregistration() {
        heartbeat(START_MS, 7, State.READY, 3);
        tracker.onDeregistered(START_MS, "i");
        heartbeat(START_MS, 1, State.READY, 3);
        assertEquals(1, tracker.takeUnreported(START_MS).get(0).seq());
    }

    @Test
    void silentServerIsLostAndComesBack() {
        heartbeat(START_MS, 1, State.READY, 3);
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS));
        assertEquals(
                1,
                tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + CHECK_INTERVAL_MS)
                        .size());
        assertEquals(State.LOST, entry().state());
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + 2 * SERVER_TIMEOUT_MS), "it is lost already");
        assertNotNull(heartbeat(START_MS + 2 * SERVER_TIMEOUT_MS, 2, State.READY, 3));
        assertEquals(State.READY, entry().state());
    }

    @Test
    void silentServerThatDrainedIsGone() {
        heartbeat(START_MS, 1, State.DRAINING, 3);
        assertEquals(1, tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + 1).size());
        assertEquals(State.GONE, entry().state());
    }

    @Test
    void checksHaveAnInterval() {
        heartbeat(START_MS, 1, State.READY, 3);
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + CHECK_INTERVAL_MS - 1));
        assertEquals(
                1,
                tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + CHECK_INTERVAL_MS)
                        .size());
    }

    @Test
    void timeoutOfAnEntryFromElsewhereBeginsWithItsFirstCheck() {
        registry.merge(
                START_MS,
                new RegistryEntry(
                        Subject.SERVER, "i", 4, State.READY, reported(3).encodeWith(3, 0)));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS));
        assertEquals(
                1,
                tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + CHECK_INTERVAL_MS)
                        .size());
    }

    @Test
    void heartbeatsThatOtherCoreMachinesReportCount() {
        heartbeat(START_MS, 4, State.READY, 3);
        RegistryEntry report = new RegistryEntry(Subject.SERVER, "i", 5, State.READY, "");
        tracker.onPeerReport(START_MS + SERVER_TIMEOUT_MS, List.of(report));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + SERVER_TIMEOUT_MS + 1));
        RegistryEntry outdated = new RegistryEntry(Subject.SERVER, "i", 4, State.READY, "");
        tracker.onPeerReport(START_MS + 2 * SERVER_TIMEOUT_MS, List.of(outdated));
        assertEquals(
                1, tracker.expireTimedOut(START_MS + 2 * SERVER_TIMEOUT_MS + 1).size(), "an earlier heartbeat");
    }

    @Test
    void timeoutsRestartAfterADisconnection() {
        heartbeat(START_MS, 4, State.READY, 3);
        tracker.onProxyMessage(START_MS, "10.0.0.9:7", "z");
        long reconnectedAtMs = START_MS + 60_000;
        tracker.restartTimeouts(reconnectedAtMs);
        assertEquals(List.of(), tracker.expireTimedOut(reconnectedAtMs + SERVER_TIMEOUT_MS));
        assertEquals(
                2,
                tracker.expireTimedOut(reconnectedAtMs + PROXY_TIMEOUT_MS + 1).size());
    }

    @Test
    void proxyIsRegisteredOnceAndLostWhenSilent() {
        assertNotNull(tracker.onProxyMessage(START_MS, "10.0.0.9:7", "z"));
        assertNull(tracker.onProxyMessage(START_MS + 100, "10.0.0.9:7", "z"));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + 100 + PROXY_TIMEOUT_MS));
        assertEquals(
                1, tracker.expireTimedOut(START_MS + 300 + PROXY_TIMEOUT_MS).size());
        assertEquals(State.LOST, registry.entry(Subject.PROXY, "10.0.0.9:7").state());
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + 600 + 2 * PROXY_TIMEOUT_MS));
        RegistryEntry back = tracker.onProxyMessage(START_MS + 9_000, "10.0.0.9:7", "z");
        assertEquals(State.READY, back.state());
    }

    @Test
    void peerReportOfAProxyKeepsIt() {
        tracker.onProxyMessage(START_MS, "10.0.0.9:7", "z");
        RegistryEntry report = new RegistryEntry(Subject.PROXY, "10.0.0.9:7", 0, State.READY, "");
        tracker.onPeerReport(START_MS + PROXY_TIMEOUT_MS, List.of(report));
        assertEquals(List.of(), tracker.expireTimedOut(START_MS + PROXY_TIMEOUT_MS + 1));
    }

    @Test
    void reportsHaveAnIntervalAndListEachProcessOnce() {
        heartbeat(START_MS, 1, State.READY, 3);
        heartbeat(START_MS, 2, State.READY, 3);
        tracker.onProxyMessage(START_MS, "10.0.0.9:7", "z");
        List<RegistryEntry> first = tracker.takeUnreported(START_MS);
        assertEquals(2, first.size());
        heartbeat(START_MS + 10, 3, State.READY, 3);
        assertEquals(List.of(), tracker.takeUnreported(START_MS + REPORT_INTERVAL_MS - 1));
        assertEquals(1, tracker.takeUnreported(START_MS + REPORT_INTERVAL_MS).size());
        assertEquals(List.of(), tracker.takeUnreported(START_MS + 2 * REPORT_INTERVAL_MS));
    }

    @Test
    void proxyIsReportedLessOftenThanItIsHeard() {
        tracker.onProxyMessage(START_MS, "10.0.0.9:7", "z");
        tracker.takeUnreported(START_MS);
        tracker.onProxyMessage(START_MS + PROXY_REPORT_INTERVAL_MS - 1, "10.0.0.9:7", "z");
        assertEquals(List.of(), tracker.takeUnreported(START_MS + PROXY_REPORT_INTERVAL_MS));
        tracker.onProxyMessage(START_MS + PROXY_REPORT_INTERVAL_MS, "10.0.0.9:7", "z");
        assertEquals(
                1,
                tracker.takeUnreported(START_MS + 2 * PROXY_REPORT_INTERVAL_MS).size());
    }
}
