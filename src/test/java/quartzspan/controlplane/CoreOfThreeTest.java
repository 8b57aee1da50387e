package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.common.Settings;

/** Three core machines on loopback addresses, and what their callers are told as they end one after the other. */
class CoreOfThreeTest {
    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
    private static final int ANSWER_MS = 1_000;
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

    @TempDir
    Path folder;

    private final List<ControlPlane> machines = new ArrayList<>();
    private int control;
    private int internal;

    @AfterEach
    void end() {
        machines.forEach(m -> {
            if (m != null) {
                m.stop();
            }
        });
    }

    /** A port that is free at all addresses. */
    private static int port() throws IOException {
        for (int tries = 0; ; tries++) {
            List<ServerSocket> held = new ArrayList<>();
            try {
                held.add(new ServerSocket(0, 1, InetAddress.getByName(HOSTS.get(0))));
                int port = held.get(0).getLocalPort();
                for (String host : HOSTS.subList(1, HOSTS.size())) {
                    held.add(new ServerSocket(port, 1, InetAddress.getByName(host)));
                }
                return port;
            } catch (IOException taken) {
                if (tries > 20) {
                    throw taken;
                }
            } finally {
                for (ServerSocket s : held) {
                    s.close();
                }
            }
        }
    }

    private ControlPlane start(String host, boolean bootstrap) throws Exception {
        StringBuilder seeds = new StringBuilder();
        HOSTS.forEach(h ->
                seeds.append("  - \"").append(h).append(':').append(control).append("\"\n"));
        return ControlPlane.start(Settings.parse("node_name: \"core-" + host + "\"\nip_address: \"" + host
                + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  control_plane: \"" + host + ':' + control
                + "\"\ninternal_ports:\n  - " + internal + "\n  - " + internal + "\nseed_nodes:\n" + seeds
                + "bootstrap: " + bootstrap + "\nquorum_member: true\nlimits:\n  memory_mb: 256\n"
                + "  file_descriptors: 1024\ndata_directory: \"" + folder.resolve(host)
                + "\"\nheartbeat_ms: 1200\nfault_tolerance:\n  machines: 1\nbounds:\n  strict_revocation: true\n"
                + "  grace_period_s: 8\n"));
    }

    private void startAll() throws Exception {
        control = port();
        internal = port();
        for (String host : HOSTS) {
            machines.add(start(host, true));
        }
    }

    /** The whole answer, of which a caller waits a second for each byte. */
    private String call(String host, String what, String headers, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, control), ANSWER_MS);
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream()
                    .write((what + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" + headers + "Content-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private int status(String host, String what, String headers, String body) throws IOException {
        String answer = call(host, what, headers, body);
        assertTrue(answer.startsWith("HTTP/1.1 "), "an answer within a second: " + answer);
        return Integer.parseInt(answer.substring(9, 12));
    }

    private int describe(String host) throws IOException {
        return status(host, "GET /quartzspan/Configuration.Describe", "", "");
    }

    /** Who answers of itself, once somebody does. */
    private String primary(Set<String> hosts) throws IOException {
        for (long end = System.nanoTime() + PATIENCE_NANOS; System.nanoTime() < end; ) {
            for (String host : hosts) {
                if (describe(host) == 200) {
                    return host;
                }
            }
        }
        throw new AssertionError("nobody leads");
    }

    private static String heartbeat(long count, String state) {
        return "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"" + state
                + "\",\"models\":[],\"call_count\":" + count + "}";
    }

    private int beat(String host, String server, long count, String state) throws IOException {
        return status(host, "POST /quartzspan/Instances.Heartbeat/" + server, "", heartbeat(count, state));
    }

    private void stop(String host) {
        int index = HOSTS.indexOf(host);
        machines.get(index).stop();
        machines.set(index, null);
    }

    @Test
    void aPrimaryHandsOverAndTheLastOneAloneConfirmsNothing() throws Exception {
        startAll();
        Set<String> left = new HashSet<>(HOSTS);
        String first = primary(left);
        for (String host : HOSTS) {
            assertEquals(200, beat(host, "i-" + host, 2, "draining"), "one other holds it: " + host);
        }
        String change = "{\"version\":2,\"routes\":[],\"services\":[]}";
        assertEquals(200, status(first, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", change));
        long begun = System.nanoTime();
        stop(first);
        assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(7), "handed over before its time was up");
        left.remove(first);
        String second = primary(left);
        assertNotEquals(first, second);
        assertTrue(
                call(second, "GET /quartzspan/Configuration.Describe", "", "").contains("\"version\":2"));
        stop(second);
        left.remove(second);
        String last = left.iterator().next();
        for (long end = System.nanoTime() + PATIENCE_NANOS; describe(last) != 503 && System.nanoTime() < end; ) {
            assertNotEquals(400, describe(last));
        }
        confirmsNothing(last, change);
    }

    @Test
    void aMachineThatHearsNobodyConfirmsNothing() throws Exception {
        control = port();
        internal = port();
        machines.add(start(HOSTS.get(0), false));
        confirmsNothing(HOSTS.get(0), "{\"version\":2,\"routes\":[],\"services\":[]}");
    }

    /** It sends callers on, within the second that they wait: whatever it said could be old. */
    private void confirmsNothing(String host, String change) throws IOException {
        assertEquals(503, describe(host));
        for (String base : List.of("0", "1", "7")) {
            String header = "X-Base-Version: " + base + "\r\n";
            assertEquals(503, status(host, "POST /quartzspan/Configuration.Replace", header, change));
            assertEquals(503, status(host, "POST /quartzspan/Configuration.Update", header, change));
        }
        assertEquals(503, status(host, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", "{"));
        assertEquals(503, status(host, "POST /quartzspan/version-put", "", "{\"model\":\"m\",\"version\":2}"));
        assertEquals(503, beat(host, "i-9", 3, "draining"), "nobody else holds it");
        assertEquals(503, status(host, "POST /quartzspan/Instances.Deregister/i-9", "", "{}"));
        assertEquals(200, status(host, "GET /quartzspan/status", "", ""));
        assertFalse(call(host, "GET /quartzspan/status", "", "").contains("\"role\":\"PRIMARY\""));
    }
}
