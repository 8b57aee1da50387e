package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three core machines on loopback addresses, and checks the responses to their callers as they stop one after
 * the other.
 */
class CoreClusterTest {
    private static final List<String> HOSTS = CoreCluster.HOSTS;
    private static final int GRACE_PERIOD_S = 8;

    @TempDir
    Path folder;

    private CoreCluster cluster;

    @BeforeEach
    void begin() throws IOException {
        cluster = new CoreCluster(folder, GRACE_PERIOD_S);
    }

    @AfterEach
    void end() {
        cluster.close();
    }

    private static String heartbeat(long count, String state) {
        return "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"" + state
                + "\",\"models\":[],\"call_count\":" + count + "}";
    }

    private int sendHeartbeat(String host, String server, long count, String state) throws IOException {
        return cluster.status(host, "POST /quartzspan/Instances.Heartbeat/" + server, "", heartbeat(count, state));
    }

    @Test
    void primaryHandsOverAndTheLastRemainingMachineAcknowledgesNothing() throws Exception {
        cluster.startAll();
        Set<String> remaining = new HashSet<>(HOSTS);
        String first = cluster.primary(remaining);
        for (String host : HOSTS) {
            assertEquals(
                    200, sendHeartbeat(host, "i-" + host, 2, "draining"), "another machine has the entry: " + host);
        }
        String change = "{\"version\":2,\"routes\":[],\"services\":[]}";
        assertEquals(
                200, cluster.status(first, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", change));
        long started = System.nanoTime();
        cluster.stop(first);
        assertTrue(
                System.nanoTime() - started < TimeUnit.SECONDS.toNanos(7),
                "handover completes before the grace period ends");
        remaining.remove(first);
        String second = cluster.primary(remaining);
        assertNotEquals(first, second);
        assertTrue(cluster.call(second, "GET /quartzspan/Configuration.Describe", "", "")
                .contains("\"version\":2"));
        cluster.stop(second);
        remaining.remove(second);
        String last = remaining.iterator().next();
        for (long end = System.nanoTime() + CoreCluster.TIMEOUT_NANOS;
                cluster.describe(last) != 503 && System.nanoTime() < end; ) {
            assertNotEquals(400, cluster.describe(last));
        }
        assertAcknowledgesNothing(last, change);
    }

    @Test
    void primaryThatAnswersReadsAcceptsHeartbeats() throws Exception {
        cluster.startAll();
        String primary = cluster.primary(HOSTS);
        assertEquals(200, sendHeartbeat(primary, "i-1", 1, "ready"));
    }

    @Test
    void isolatedMachineAcknowledgesNothing() throws Exception {
        cluster.start(HOSTS.get(0), false);
        assertAcknowledgesNothing(HOSTS.get(0), "{\"version\":2,\"routes\":[],\"services\":[]}");
    }

    /**
     * The machine rejects requests within the second for which callers wait, so that they call another one: its
     * state may be stale.
     */
    private void assertAcknowledgesNothing(String host, String change) throws IOException {
        assertEquals(503, cluster.describe(host));
        for (String base : List.of("0", "1", "7")) {
            String header = "X-Base-Version: " + base + "\r\n";
            assertEquals(503, cluster.status(host, "POST /quartzspan/Configuration.Replace", header, change));
            assertEquals(503, cluster.status(host, "POST /quartzspan/Configuration.Update", header, change));
        }
        assertEquals(503, cluster.status(host, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", "{"));
        assertEquals(503, cluster.status(host, "POST /quartzspan/version-put", "", "{\"model\":\"m\",\"version\":2}"));
        assertEquals(503, sendHeartbeat(host, "i-9", 3, "draining"), "no other machine has the entry");
        assertEquals(503, cluster.status(host, "POST /quartzspan/Instances.Deregister/i-9", "", "{}"));
        assertEquals(200, cluster.status(host, "GET /quartzspan/status", "", ""));
        assertFalse(cluster.call(host, "GET /quartzspan/status", "", "").contains("\"role\":\"PRIMARY\""));
    }
}
