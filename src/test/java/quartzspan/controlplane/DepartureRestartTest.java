package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A server leaves, all core machines are killed, and a heartbeat that the server had sent before comes late. */
class DepartureRestartTest {
    private static final List<String> HOSTS = CoreCluster.HOSTS;
    private static final int GRACE_PERIOD_S = 1;

    @TempDir
    Path folder;

    private final Map<String, Process> processes = new LinkedHashMap<>();
    private CoreCluster cluster;

    @BeforeEach
    void startAll() throws Exception {
        cluster = new CoreCluster(folder, GRACE_PERIOD_S);
        for (String host : HOSTS) {
            processes.put(host, cluster.startProcess(host, true));
        }
        call("POST /quartzspan/Instances.Heartbeat/i", heartbeat(1, "ready"));
        assertTrue(isReady("i"), "the server is registered");
    }

    @AfterEach
    void killAll() {
        processes.values().forEach(process -> process.destroyForcibly().onExit().join());
    }

    private void killAndRestartAll() throws Exception {
        killAll();
        for (String host : HOSTS) {
            processes.put(host, cluster.startProcess(host, false));
        }
    }

    private static String heartbeat(long count, String state) {
        return "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"" + state
                + "\",\"models\":[],\"call_count\":" + count + "}";
    }

    /** Calls one machine after the other until one acknowledges, as servers do. */
    private void call(String requestLine, String body) {
        String last = "no call";
        for (long end = System.nanoTime() + CoreCluster.TIMEOUT_NANOS; System.nanoTime() < end; ) {
            for (String host : HOSTS) {
                try {
                    last = cluster.call(host, requestLine, "", body);
                } catch (IOException notListening) {
                    last = notListening.toString();
                }
                if (last.startsWith("HTTP/1.1 200")) {
                    return;
                }
            }
        }
        throw new AssertionError("not acknowledged within the timeout: " + requestLine + ", last: " + last);
    }

    /** Whether one of the machines has a server as ready. */
    private boolean isReady(String server) throws IOException {
        boolean ready = false;
        for (String host : HOSTS) {
            String status = cluster.call(host, "GET /quartzspan/status", "", "");
            ready |= status.contains("{\"key\":\"" + server + "\",\"state\":\"READY\"");
        }
        return ready;
    }

    /** Guards against an acknowledged deregistration that is forgotten with all processes. */
    @Test
    void lateHeartbeatDoesNotBringADeregisteredServerBack() throws Exception {
        call("POST /quartzspan/Instances.Deregister/i", "{}");
        killAndRestartAll();
        call("POST /quartzspan/Instances.Heartbeat/i", heartbeat(1, "ready"));
        assertFalse(isReady("i"));
    }

    /** Guards against an acknowledged announcement of draining that is forgotten with all processes. */
    @Test
    void lateHeartbeatDoesNotBringADrainingServerBack() throws Exception {
        call("POST /quartzspan/Instances.Heartbeat/i", heartbeat(2, "draining"));
        killAndRestartAll();
        call("POST /quartzspan/Instances.Heartbeat/i", heartbeat(1, "ready"));
        assertFalse(isReady("i"));
    }

    @Test
    void serverThatStaysIsReadyAgainAfterTheRestart() throws Exception {
        killAndRestartAll();
        call("POST /quartzspan/Instances.Heartbeat/i", heartbeat(2, "ready"));
        assertTrue(isReady("i"));
    }
}
