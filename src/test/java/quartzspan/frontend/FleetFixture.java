package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.common.Settings;
import quartzspan.controlplane.ControlPlane;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.Seen;
import quartzspan.http.LoopbackPeers.Server;

/**
 * A core machine and a frontend proxy in this process, and model servers that are plain sockets under a test's script. Each
 * test takes a service of its own, so that nothing which an earlier test taught the proxy bears on it.
 */
abstract class FleetFixture {
    private static final int SERVICES = 60;
    private static final int MOST_CALLS = 20_000;
    private static final String SEAL = "X-Server-Seal: seal.1\r\n";

    @TempDir
    private static Path folder;

    private static ControlPlane core;
    private static FrontendProxy proxy;
    private static int controlPort;
    private static int coreInternalPort;
    private static int frontPort;
    private static int services;

    private final List<AutoCloseable> open = new ArrayList<>();
    /** The service of this test, as part of its routes' paths. */
    private final int service = services++;

    @BeforeAll
    static void startFleet() throws Exception {
        int[] ports = freePorts(5);
        controlPort = ports[0];
        coreInternalPort = ports[1];
        frontPort = ports[2];
        Path disk = Files.createDirectory(folder.resolve("core"));
        core = ControlPlane.start(Settings.parse(settings(
                "core", "control_plane: \"127.0.0.1:" + ports[0] + "\"", ports[1], '"' + disk.toString() + '"')));
        proxy = FrontendProxy.start(
                Settings.parse(settings(
                        "proxy",
                        "frontend: \"127.0.0.1:" + ports[2] + "\"\n  readiness: \"127.0.0.1:" + ports[3] + '"',
                        ports[4],
                        "null")),
                "127.0.0.1:" + ports[1]);
        services = 0;
        untilStatus(
                200, controlPort, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", configuration());
    }

    @AfterAll
    static void stopFleet() {
        proxy.stop();
        core.stop();
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
    }

    private static String settings(String name, String listen, int internal, String disk) {
        return settings(name, "127.0.0.1", listen, internal, disk, 1);
    }

    private static String settings(
            String name, String address, String listen, int internal, String disk, int gracePeriodS) {
        return "node_name: \"" + name
                + "\"\nip_address: \"" + address + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  "
                + listen + "\ninternal_ports:\n  - " + internal + "\n  - " + internal
                + "\nseed_nodes:\n  - \"127.0.0.1:"
                + controlPort
                + "\"\nbootstrap: true\nlimits:\n  memory_mb: 256\n  file_descriptors: 1024\ndata_directory: "
                + disk
                + "\nheartbeat_ms: 600000\nbounds:\n  retry_allowance: 1000\n  retry_budget_ratio: 100\n  grace_period_s: "
                + gracePeriodS + "\n";
    }

    private static String configuration() {
        List<String> routes = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            routes.add(route("once", i, "mutating", 3));
            routes.add(route("read", i, "read_only", 3));
            routes.add(route("single", i, "read_only", 1));
            names.add("{\"name\":\"s" + i + "\",\"max_connections\":60}");
        }
        return "{\"version\":2,\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", names)
                + "]}";
    }

    private static String route(String kind, int service, String type, int attempts) {
        return "{\"name\":\"" + kind + service + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + kind + service
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":20000,\"target_latency_ms\":400,\"service\":\"s"
                + service + "\",\"max_attempts\":" + attempts + "}";
    }

    /** A proxy in a process of its own, at another loopback address; returns once it is ready. */
    ProxyProcess startProcess(int gracePeriodS) throws Exception {
        int[] ports = freePorts(2);
        String settings = settings(
                "process",
                ProxyProcess.HOST,
                "frontend: \"" + ProxyProcess.HOST + ':' + ports[0] + "\"\n  readiness: \"" + ProxyProcess.HOST + ':'
                        + ports[1] + '"',
                coreInternalPort,
                "null",
                gracePeriodS);
        Path file = Files.createTempFile(folder, "settings", ".yaml");
        Files.writeString(file, settings);
        ProxyProcess process = keep(new ProxyProcess(file, ports[0], ports[1]));
        process.awaitReadiness(200);
        return process;
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            ports[i] = held.get(i).getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
        return ports;
    }

    private static Message call(int port, String line, String headers, String body) throws IOException {
        try (Client client = new Client(port)) {
            return client.write(line + " HTTP/1.1\r\nHost: h.example\r\n" + headers + "Content-Length: " + body.length()
                            + "\r\n\r\n" + body)
                    .read();
        }
    }

    /** Repeats a call, which may come too early, until it is answered with a status. */
    private static void untilStatus(int status, int port, String line, String headers, String body) throws IOException {
        Message last = null;
        for (int i = 0; i < MOST_CALLS; i++) {
            last = call(port, line, headers, body);
            if (last.status() == status) {
                return;
            }
        }
        throw new AssertionError(line + " is answered with " + last.first());
    }

    // ---- what tests use ------------------------------------------------------------------------------

    /**
     * A model server of this test's service. Returns once the proxy knows it; the script sees requests of the test only,
     * and the proxy has no connection to the server yet.
     */
    Server server(String id, Consumer<Seen> script) throws Exception {
        return server(id, "", script);
    }

    /** The same, of a server that has some weights. */
    Server serverWithWeights(String id, String model, long version, Consumer<Seen> script) throws Exception {
        return server(id, ",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version + "}]", script);
    }

    private Server server(String id, String models, Consumer<Seen> script) throws Exception {
        Server server = keep(new Server(seen -> {
            if ("warm".equals(seen.message().header("x-attempt-id"))) {
                seen.answer(200, "X-Attempt-Id: warm\r\nX-Server-Seal: w\r\nConnection: close\r\n", "");
            } else {
                script.accept(seen);
            }
        }));
        listed(id, server.address(), models);
        for (int calls = 0; server.seen.isEmpty(); calls++) {
            assertTrue(calls < MOST_CALLS, "the proxy forwards to " + id);
            call(frontPort, "POST /once" + service + "/warm", "X-Attempt-Id: warm\r\n", "");
        }
        server.seen.clear();
        server.connections.clear();
        return server;
    }

    /** Makes a server known that a test plays by itself. */
    void listen(String id, ServerSocket socket) throws Exception {
        listed(id, "127.0.0.1:" + socket.getLocalPort(), "");
    }

    private void listed(String id, String address, String models) throws IOException {
        String heartbeat = "{\"service\":\"s" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"z\",\"state\":\"ready\",\"call_count\":1" + models + "}";
        untilStatus(200, controlPort, "POST /quartzspan/Instances.Heartbeat/" + id, "", heartbeat);
    }

    /** Names the weights that servers of a model are to have. */
    static void nameWeights(String model, long version) throws IOException {
        String body = "{\"model\":\"" + model + "\",\"version\":" + version + "}";
        untilStatus(200, controlPort, "POST /quartzspan/version-put", "", body);
    }

    /** A client's connection to the proxy. */
    Client client() throws Exception {
        return keep(new Client(frontPort));
    }

    /** The head and body of a request on one of this test's routes: once (mutating), read or single (read only). */
    String request(String route, String attemptId) {
        return request("POST", route, attemptId, "", 20_000);
    }

    String request(String method, String route, String attemptId, String headers, long deadlineMs) {
        String body = method.equals("POST") ? "body" : "";
        return method + " /" + route + service + "/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attemptId
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + headers + "Content-Length: " + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** The answer of a server that ran the request with this id. */
    static String answer(String attemptId, String body) {
        return answer(200, "X-Attempt-Id: " + attemptId + "\r\n" + SEAL, body);
    }

    static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The answer of a server that did not run the request with this id. */
    static String notExecuted(int status, String attemptId) {
        return answer(status, "X-Attempt-Id: " + attemptId + "\r\nX-Not-Executed: 1\r\n", "");
    }

    static String id(Seen seen) {
        return seen.message().header("x-attempt-id");
    }

    /** Answers that promise that the request has not run and never will. */
    static void assertNoPromise(Message answer) {
        assertEquals(502, answer.status(), "the request may have run: " + answer.first());
        assertEquals(null, answer.header("x-server-seal"), "no server's word");
    }

    <T extends AutoCloseable> T keep(T one) {
        open.add(one);
        return one;
    }

    /** Lets the connections that the proxy keeps rest: it does not use them again right after an answer. */
    static void rest() throws IOException {
        long until = System.nanoTime() + 5_000_000;
        while (System.nanoTime() < until) {
            assertEquals(404, call(frontPort, "GET /nowhere", "", "").status());
        }
    }

    static Seen next(Server server, String what) throws InterruptedException {
        return LoopbackPeers.next(server.seen, what);
    }
}
