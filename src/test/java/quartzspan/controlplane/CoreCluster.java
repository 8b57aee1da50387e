package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import quartzspan.common.Settings;

/** Core machines in this process, on the loopback addresses of {@link #HOSTS}. */
final class CoreCluster implements AutoCloseable {
    static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
    static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int RESPONSE_TIMEOUT_MS = 1_000;
    private static final int MAX_PORT_ATTEMPTS = 20;

    private final Path folder;
    private final Map<String, ControlPlane> machines = new TreeMap<>();
    private final int gracePeriodS;
    private final int controlPort;
    private final int internalPort;

    CoreCluster(Path folder, int gracePeriodS) throws IOException {
        this.folder = folder;
        this.gracePeriodS = gracePeriodS;
        this.controlPort = freePort();
        this.internalPort = freePort();
    }

    /** A port that is free at all addresses. */
    private static int freePort() throws IOException {
        for (int attempt = 0; ; attempt++) {
            List<ServerSocket> reserved = new ArrayList<>();
            try {
                reserved.add(new ServerSocket(0, 1, InetAddress.getByName(HOSTS.get(0))));
                int port = reserved.get(0).getLocalPort();
                for (String host : HOSTS.subList(1, HOSTS.size())) {
                    reserved.add(new ServerSocket(port, 1, InetAddress.getByName(host)));
                }
                return port;
            } catch (IOException portTaken) {
                if (attempt > MAX_PORT_ATTEMPTS) {
                    throw portTaken;
                }
            } finally {
                for (ServerSocket socket : reserved) {
                    socket.close();
                }
            }
        }
    }

    int controlPort() {
        return controlPort;
    }

    int internalPort() {
        return internalPort;
    }

    void start(String host, boolean bootstrap) throws Exception {
        machines.put(host, ControlPlane.start(Settings.parse(settings(host, bootstrap))));
    }

    private String settings(String host, boolean bootstrap) {
        StringBuilder seeds = new StringBuilder();
        HOSTS.forEach(h ->
                seeds.append("  - \"").append(h).append(':').append(controlPort).append("\"\n"));
        return "node_name: \"core-" + host + "\"\nip_address: \"" + host
                + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  control_plane: \"" + host + ':'
                + controlPort + "\"\ninternal_ports:\n  - " + internalPort + "\n  - " + internalPort
                + "\nseed_nodes:\n" + seeds + "bootstrap: " + bootstrap
                + "\nquorum_member: true\nlimits:\n  memory_mb: 256\n"
                + "  file_descriptors: 1024\ndata_directory: \"" + folder.resolve(host)
                + "\"\nheartbeat_ms: 1200\nfault_tolerance:\n  machines: 1\nbounds:\n"
                + "  strict_revocation: true\n  grace_period_s: " + gracePeriodS + "\n";
    }

    /** Starts a machine as a process of its own, which the caller has to end. */
    Process startProcess(String host, boolean bootstrap) throws IOException {
        Path file = folder.resolve(host + ".yaml");
        Files.writeString(file, settings(host, bootstrap));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName());
        builder.environment().put("QUARTZSPAN_CONFIG", file.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve(host + ".log").toFile())
                .start();
    }

    void startAll() throws Exception {
        for (String host : HOSTS) {
            start(host, true);
        }
    }

    void stop(String host) {
        machines.remove(host).stop();
    }

    @Override
    public void close() {
        machines.values().forEach(ControlPlane::stop);
        machines.clear();
    }

    /** Sends a request; returns the complete response. Each read times out after one second. */
    String call(String host, String requestLine, String headers, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, controlPort), RESPONSE_TIMEOUT_MS);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            socket.getOutputStream()
                    .write((requestLine + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" + headers + "Content-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    int status(String host, String requestLine, String headers, String body) throws IOException {
        String response = call(host, requestLine, headers, body);
        assertTrue(response.startsWith("HTTP/1.1 "), "response has no HTTP status line: " + response);
        return Integer.parseInt(response.substring(9, 12));
    }

    int describe(String host) throws IOException {
        return status(host, "GET /quartzspan/Configuration.Describe", "", "");
    }

    /** The host that serves requests as primary, as soon as there is one. */
    String primary(Collection<String> hosts) throws IOException {
        for (long end = System.nanoTime() + TIMEOUT_NANOS; System.nanoTime() < end; ) {
            for (String host : hosts) {
                if (describe(host) == 200) {
                    return host;
                }
            }
        }
        throw new AssertionError("no core machine serves requests as primary within the timeout");
    }
}
