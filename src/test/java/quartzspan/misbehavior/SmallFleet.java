package quartzspan.misbehavior;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** One core machine, one proxy and one model server that sends timer. The two programs are processes of their own. */
final class SmallFleet implements AutoCloseable {
    private static final String CORE_HOST = "127.3.0.1";
    private static final String PROXY_HOST = "127.3.0.2";
    private static final String INSTANCE_ID = "i-1";
    private static final long HEARTBEAT_MS = 300;

    /** Headers that a valid request to the fleet's route carries. */
    static final String CLIENT_HEADERS = "X-Attempt-Id: 1\r\nX-Deadline-Ms: 2000\r\nX-Model: m\r\n"
            + "X-Token-Count: 30,4\r\nX-Prompt-Prefix: 1a:10,2b:10,3c:10\r\nAuthorization: Token k\r\n";
    /** A path whose requests the server answers at once. */
    static final String SERVED_PATH = "/a/served";
    /** A path whose requests the server never answers. */
    static final String HELD_PATH = "/a/held";
    /** A path whose requests the server answers with a long error. */
    static final String LONG_ERROR_PATH = "/a/error";

    private static final int LONG_ERROR_BYTES = 60_000;
    private static final long CACHE_EVENTS_WAIT_MS = 800;
    private static final String NO_CACHE_EVENTS = "{\"epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}";
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/\","
                    + "\"route_type\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":400,\"priority\":0,"
                    + "\"service\":\"s\",\"max_attempts\":1,\"session_affinity\":true,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"s\",\"max_connections\":400,\"engine\":{\"capacity\":8,"
                    + "\"models\":[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";

    private final int controlPort = freePort();
    private final int internalPort = freePort();
    private final int frontendPort = freePort();
    private final int readinessPort = freePort();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Server modelServer = new Server(this::serve);
    private final ProgramProcess core;
    private final ProgramProcess proxy;

    /** Starts a fleet; returns once a request is served. */
    SmallFleet(Path folder, Resources ofProxy) throws IOException, InterruptedException {
        Path disk = Files.createDirectory(folder.resolve("disk"));
        core = start(
                folder,
                CORE_HOST,
                quartzspan.controlplane.Main.class,
                "control_plane: \"" + CORE_HOST + ':' + controlPort + '"',
                '"' + disk.toString() + '"',
                Resources.SMALL);
        proxy = start(
                folder,
                PROXY_HOST,
                quartzspan.frontend.Main.class,
                "frontend: \"" + PROXY_HOST + ':' + frontendPort + "\"\n  readiness: \"" + PROXY_HOST + ':'
                        + readinessPort + '"',
                "null",
                ofProxy);
        String replace = post("/quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", CONFIGURATION);
        assertTrue(OrdinaryCaller.isServed(core, control(), replace, 200), "the configuration was not accepted");
        timer.scheduleWithFixedDelay(this::sendHeartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        assertTrue(OrdinaryCaller.isServed(proxy, readiness(), readinessRequest(), 200), "the proxy is not ready");
        assertTrue(OrdinaryCaller.isServed(proxy, frontend(), clientRequest(), 200), "no request is served");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private ProgramProcess start(
            Path folder, String host, Class<?> program, String listen, String dataDirectory, Resources resources)
            throws IOException {
        Path settings = folder.resolve(host + ".yaml");
        Files.writeString(
                settings,
                "node_name: \"" + host + "\"\nip_address: \"" + host + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\n"
                        + "listen_addresses:\n  " + listen + "\ninternal_ports:\n  - " + internalPort + "\n  - "
                        + internalPort + "\nseed_nodes:\n  - \"" + CORE_HOST + ':' + controlPort
                        + "\"\nbootstrap: true\nlimits:\n  memory_mb: " + resources.memoryMib()
                        + "\n  file_descriptors: " + resources.fileDescriptors() + "\ndata_directory: "
                        + dataDirectory + "\nheartbeat_ms: " + HEARTBEAT_MS
                        + "\nfault_tolerance:\n  machines: 0\nbounds:\n  strict_revocation: true\n"
                        + "  grace_period_s: 1\n  revocation_ms: 5000\n");
        return new ProgramProcess(program.getName(), List.of(), "QUARTZSPAN_CONFIG", settings, resources);
    }

    private void serve(ReceivedRequest request) {
        String path = request.message().first().split(" ")[1];
        String headers = "X-Attempt-Id: " + request.message().header("x-attempt-id") + "\r\nX-Server-Seal: s\r\n";
        if (path.equals(LONG_ERROR_PATH)) {
            request.answer(500, headers, "e".repeat(LONG_ERROR_BYTES));
        } else if (path.equals("/quartzspan/report")) {
            request.answer(
                    200,
                    "Content-Type: application/json\r\n",
                    "{\"busy\":false,\"models\":[{\"name\":\"m\",\"version\":1}],\"call_count\":0,\"queued\":0,"
                            + "\"active\":0}");
        } else if (path.startsWith("/quartzspan/kv-events")) {
            timer.schedule(
                    () -> request.answer(200, "Content-Type: application/json\r\n", NO_CACHE_EVENTS),
                    CACHE_EVENTS_WAIT_MS,
                    TimeUnit.MILLISECONDS);
        } else if (!path.equals(HELD_PATH) && !path.startsWith("/quartzspan/")) {
            request.answer(200, headers, "ok");
        }
    }

    private void sendHeartbeat() {
        String body = "{\"service\":\"s\",\"address\":\"" + modelServer.address() + "\",\"zone\":\"z\",\"capacity\":8,"
                + "\"state\":\"ready\",\"models\":[{\"name\":\"m\",\"version\":1}],\"call_count\":0}";
        OrdinaryCaller.call(control(), post("/quartzspan/Instances.Heartbeat/" + INSTANCE_ID, "", body));
    }

    private static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Type: application/json\r\n"
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String readinessRequest() {
        return "GET /quartzspan/readiness HTTP/1.1\r\nHost: p\r\n\r\n";
    }

    /** A request that the model server answers at once. */
    static String clientRequest() {
        return "POST " + SERVED_PATH + " HTTP/1.1\r\nHost: h.example\r\n" + CLIENT_HEADERS
                + "Content-Length: 3\r\n\r\nask";
    }

    static String describeRequest() {
        return "GET /quartzspan/Configuration.Describe HTTP/1.1\r\nHost: c\r\n\r\n";
    }

    ProgramProcess core() {
        return core;
    }

    ProgramProcess proxy() {
        return proxy;
    }

    InetSocketAddress control() {
        return new InetSocketAddress(CORE_HOST, controlPort);
    }

    InetSocketAddress frontend() {
        return new InetSocketAddress(PROXY_HOST, frontendPort);
    }

    InetSocketAddress readiness() {
        return new InetSocketAddress(PROXY_HOST, readinessPort);
    }

    InetSocketAddress internal(InetSocketAddress ofSameMachine) {
        return new InetSocketAddress(ofSameMachine.getAddress(), internalPort);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        proxy.close();
        core.close();
        modelServer.close();
    }
}
