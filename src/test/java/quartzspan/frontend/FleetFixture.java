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
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/**
 * A core machine and a frontend proxy in this process, and scripted model servers on plain sockets. Each test uses a service of
 * its own, so that the proxy's state from earlier tests doesn't affect it.
 */
abstract class FleetFixture {
    private static final int SERVICES = 60;
    private static final int FIRST_VERSION = 2;
    private static final int MAX_CALLS = 20_000;
    private static final String SERVER_SEAL = "X-Server-Seal: seal.1\r\n";

    @TempDir
    private static Path folder;

    private static ControlPlane core;
    private static FrontendProxy proxy;
    private static int controlPort;
    private static int coreInternalPort;
    private static int frontendPort;
    private static int nextService;
    private static int configurationVersion;

    private final List<AutoCloseable> resources = new ArrayList<>();
    /** The number of this test's service, which is part of its routes' paths. */
    private final int service = nextService++;

    @BeforeAll
    static void startFleet() throws Exception {
        int[] ports = freePorts(5);
        controlPort = ports[0];
        coreInternalPort = ports[1];
        frontendPort = ports[2];
        Path dataDirectory = Files.createDirectory(folder.resolve("core"));
        core = ControlPlane.start(Settings.parse(settings(
                "core",
                "control_plane: \"127.0.0.1:" + ports[0] + "\"",
                ports[1],
                '"' + dataDirectory.toString() + '"')));
        proxy = FrontendProxy.start(
                Settings.parse(settings(
                        "proxy",
                        "frontend: \"127.0.0.1:" + ports[2] + "\"\n  readiness: \"127.0.0.1:" + ports[3] + '"',
                        ports[4],
                        "null")),
                "127.0.0.1:" + ports[1]);
        nextService = 0;
        configurationVersion = FIRST_VERSION;
        callUntilStatus(
                200, controlPort, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", configuration());
    }

    @AfterAll
    static void stopFleet() {
        proxy.stop();
        core.stop();
    }

    @AfterEach
    void closeResources() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private static String settings(String name, String listenAddresses, int internalPort, String dataDirectory) {
        return settings(name, "127.0.0.1", listenAddresses, internalPort, dataDirectory, 1);
    }

    private static String settings(
            String name,
            String address,
            String listenAddresses,
            int internalPort,
            String dataDirectory,
            int gracePeriodS) {
        return "node_name: \"" + name
                + "\"\nip_address: \"" + address + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  "
                + listenAddresses + "\ninternal_ports:\n  - " + internalPort + "\n  - " + internalPort
                + "\nseed_nodes:\n  - \"127.0.0.1:"
                + controlPort
                + "\"\nbootstrap: true\nlimits:\n  memory_mb: 256\n  file_descriptors: 1024\ndata_directory: "
                + dataDirectory
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
        return "{\"version\":" + FIRST_VERSION + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", names) + "]}";
    }

    private static String route(String kind, int service, String type, int attempts) {
        return "{\"name\":\"" + kind + service + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + kind + service
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":20000,\"target_latency_ms\":400,\"service\":\"s"
                + service + "\",\"max_attempts\":" + attempts + "}";
    }

    /** Starts a proxy in a separate process at another loopback address; returns once it is ready. */
    ProxyProcess startProxyProcess(int gracePeriodS) throws Exception {
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
        ProxyProcess process = closeAfterTest(new ProxyProcess(file, ports[0], ports[1]));
        process.awaitReadiness(200);
        return process;
    }

    /** Adds tenants to the configuration, or replaces them by name; returns once the proxy applies the change. */
    static void updateTenants(String tenants) throws IOException {
        int base = configurationVersion++;
        String applied = "applied" + configurationVersion;
        callUntilStatus(
                200,
                controlPort,
                "POST /quartzspan/Configuration.Update",
                "X-Base-Version: " + base + "\r\n",
                "{\"version\":" + configurationVersion + ",\"upsert\":{\"routes\":[" + route(applied, 0, "mutating", 1)
                        + "],\"tenants\":[" + tenants + "]},\"remove\":{}}");
        // Only a proxy that knows the route rejects a request on it for the lack of a key.
        callUntilStatus(401, frontendPort, "POST /" + applied + "0/x", "X-Attempt-Id: a\r\n", "");
    }

    /** Sends a change with these tenants that has to be refused as invalid. */
    static void refuseTenants(String tenants) throws IOException {
        String change = "{\"version\":" + (configurationVersion + 1) + ",\"upsert\":{\"tenants\":[" + tenants + "]}}";
        String headers = "X-Base-Version: " + configurationVersion + "\r\n";
        assertEquals(
                400,
                call(controlPort, "POST /quartzspan/Configuration.Update", headers, change)
                        .status(),
                tenants);
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static Message call(int port, String requestLine, String headers, String body) throws IOException {
        try (Client client = new Client(port)) {
            return client.write(requestLine + " HTTP/1.1\r\nHost: h.example\r\n" + headers + "Content-Length: "
                            + body.length() + "\r\n\r\n" + body)
                    .read();
        }
    }

    /** Repeats a call, which may be sent too early, until its response has a status. */
    private static void callUntilStatus(int status, int port, String requestLine, String headers, String body)
            throws IOException {
        Message last = null;
        for (int i = 0; i < MAX_CALLS; i++) {
            last = call(port, requestLine, headers, body);
            if (last.status() == status) {
                return;
            }
        }
        throw new AssertionError(
                "no response with status " + status + " to " + requestLine + ", last one: " + last.first());
    }

    /**
     * Starts a model server of this test's service. Returns once the proxy forwards to it; the script receives only requests of
     * the test, and the proxy has no open connection to the server.
     */
    Server startServer(String id, Consumer<ReceivedRequest> script) throws Exception {
        return startServer(id, "", script);
    }

    /** Starts a model server that reports a weights version of a model. */
    Server startServerWithWeights(String id, String model, long version, Consumer<ReceivedRequest> script)
            throws Exception {
        return startServer(id, ",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version + "}]", script);
    }

    private Server startServer(String id, String models, Consumer<ReceivedRequest> script) throws Exception {
        Server server = closeAfterTest(new Server(seen -> {
            if ("warm".equals(seen.message().header("x-attempt-id"))) {
                seen.answer(200, "X-Attempt-Id: warm\r\nX-Server-Seal: w\r\nConnection: close\r\n", "");
            } else {
                script.accept(seen);
            }
        }));
        sendHeartbeat(id, server.address(), models);
        for (int calls = 0; server.received.isEmpty(); calls++) {
            assertTrue(calls < MAX_CALLS, "the proxy forwards no request to " + id);
            call(frontendPort, "POST /once" + service + "/warm", "X-Attempt-Id: warm\r\n", "");
        }
        server.received.clear();
        server.connections.clear();
        return server;
    }

    /** Registers a server whose socket the test handles by itself. */
    void registerServer(String id, ServerSocket socket) throws Exception {
        sendHeartbeat(id, "127.0.0.1:" + socket.getLocalPort(), "");
    }

    private void sendHeartbeat(String id, String address, String models) throws IOException {
        String heartbeat = "{\"service\":\"s" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"z\",\"state\":\"ready\",\"call_count\":1" + models + "}";
        callUntilStatus(200, controlPort, "POST /quartzspan/Instances.Heartbeat/" + id, "", heartbeat);
    }

    /** Sets the weights version that servers of a model should load. */
    static void setModelVersion(String model, long version) throws IOException {
        String body = "{\"model\":\"" + model + "\",\"version\":" + version + "}";
        callUntilStatus(200, controlPort, "POST /quartzspan/version-put", "", body);
    }

    /** Opens a client connection to the proxy. */
    Client client() throws Exception {
        return closeAfterTest(new Client(frontendPort));
    }

    /** The text of a request on one of this test's routes: once (mutating), read (read-only) or single (read-only, one attempt). */
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

    /** The response of a server that executed the request with this attempt id. */
    static String response(String attemptId, String body) {
        return response(200, "X-Attempt-Id: " + attemptId + "\r\n" + SERVER_SEAL, body);
    }

    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The response of a server that did not execute the request with this attempt id. */
    static String notExecutedResponse(int status, String attemptId) {
        return response(status, "X-Attempt-Id: " + attemptId + "\r\nX-Not-Executed: 1\r\n", "");
    }

    static String attemptId(ReceivedRequest seen) {
        return seen.message().header("x-attempt-id");
    }

    /** Asserts a response of the proxy that doesn't imply that the request was not executed. */
    static void assertMayHaveBeenExecuted(Message response) {
        assertEquals(502, response.status(), "the request may have been executed: " + response.first());
        assertEquals(null, response.header("x-server-seal"), "the response is not a server's");
    }

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    /** Waits until the proxy may reuse its idle connections, which it does only some time after the last response. */
    static void waitUntilConnectionsAreReusable() throws IOException {
        long endNanos = System.nanoTime() + 5_000_000;
        while (System.nanoTime() < endNanos) {
            assertEquals(404, call(frontendPort, "GET /nowhere", "", "").status());
        }
    }

    static ReceivedRequest nextRequest(Server server, String what) throws InterruptedException {
        return LoopbackPeers.next(server.received, what);
    }
}
