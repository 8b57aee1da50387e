package quartzspan.localrun;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.http.RequestHandler;

/**
 * Starts a core machine, a proxy and a simulated server on loopback in one process, sends a few requests through the proxy and
 * exits. The build uses it as the training run of the class-data archive: the JVM records the loaded classes, so that the
 * deployed programs load them from the archive when they start.
 */
public final class Main {
    private static final String RESPONSE_BODY = "data: done\n\n";
    private static final int REQUEST_COUNT = 20;
    private static final int MAX_ATTEMPTS = 200;
    private static final int RETRY_INTERVAL_MS = 30;
    private static final String CONFIGURATION = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
            + "\"path_prefix\":\"/a/\",\"route_type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":400,"
            + "\"priority\":0,\"service\":\"s\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true}],"
            + "\"services\":[{\"name\":\"s\",\"max_connections\":60,\"engine\":{\"capacity\":8,\"models\":"
            + "[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";

    private Main() {}

    /**
     * Without arguments, settings and configuration are generated. With a directory as the argument, settings are read from its
     * {@code core.yaml} and {@code proxy.yaml} and the configuration from its {@code configuration.json}. Exits with status 1 if
     * the requests fail.
     */
    public static void main(String[] args) {
        int status = 0;
        try {
            run(args);
        } catch (Exception e) {
            e.printStackTrace();
            status = 1;
        }
        // Exits explicitly because the threads of the programs would keep the process running. Their shutdown hooks run
        // on exit, so the archive also contains the classes that a shutdown loads.
        System.exit(status);
    }

    private static void run(String[] args) throws Exception {
        if (args.length == 0) {
            runWithGeneratedSettings();
            return;
        }
        Path directory = Path.of(args[0]);
        sendRequests(
                Settings.parse(Files.readString(directory.resolve("core.yaml"))),
                Settings.parse(Files.readString(directory.resolve("proxy.yaml"))),
                Files.readString(directory.resolve("configuration.json")));
    }

    private static void runWithGeneratedSettings() throws Exception {
        Path folder = Files.createTempDirectory("local-run");
        int[] ports = freePorts(4);
        String coreSettings = settings(
                "core",
                "127.0.0.1",
                "control_plane: \"127.0.0.1:" + ports[0] + "\"",
                ports[1],
                ports[0],
                "\"" + folder + "\"");
        String proxySettings = settings(
                "proxy",
                "127.0.0.2",
                "frontend: \"127.0.0.2:" + ports[2] + "\"\n  readiness: \"127.0.0.2:" + ports[3] + "\"",
                ports[1],
                ports[0],
                "null");
        try {
            sendRequests(Settings.parse(coreSettings), Settings.parse(proxySettings), CONFIGURATION);
        } finally {
            deleteAtExit(folder);
        }
    }

    /** Registers the files in sorted order: the JVM deletes them in reverse, after the shutdown hooks that stop their writer. */
    private static void deleteAtExit(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted().forEach(file -> file.toFile().deleteOnExit());
        }
    }

    private static void sendRequests(Settings core, Settings proxy, String config) throws Exception {
        InetSocketAddress controlAddress = core.listenAddress("control_plane");
        InetSocketAddress frontendAddress = proxy.listenAddress("frontend");
        quartzspan.controlplane.Main.run(core);
        quartzspan.frontend.Main.run(proxy);
        int serverPort = startServer();
        long baseVersion = Configuration.read(bodyOf(retryUntil(
                        () -> call(controlAddress, "GET /quartzspan/Configuration.Describe", "", ""), " 200 ")))
                .version();
        if (baseVersion == 0) {
            retryUntil(
                    () -> call(
                            controlAddress, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", config),
                    " 200 ");
        }
        String heartbeat =
                "{\"service\":\"s\",\"address\":\"127.0.0.1:" + serverPort + "\",\"zone\":\"z\",\"capacity\":8,"
                        + "\"state\":\"ready\",\"models\":[{\"name\":\"m\",\"version\":1}],\"call_count\":1}";
        retryUntil(
                () -> call(controlAddress, "POST /quartzspan/Instances.Heartbeat/i-" + serverPort, "", heartbeat),
                " 200 ");
        retryUntil(() -> call(proxy.listenAddress("readiness"), "GET /quartzspan/readiness", "", ""), " 200 ");
        for (int i = 0; i < REQUEST_COUNT; i++) {
            retryUntil(
                    () -> call(
                            frontendAddress,
                            "POST /a/b",
                            "Host: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 2000\r\n"
                                    + "X-Model: m\r\nX-Token-Count: 30,4\r\nX-Prompt-Prefix: 1a:10,2b:10,3c:10\r\n"
                                    + "Authorization: Token k\r\n",
                            "ask"),
                    RESPONSE_BODY);
        }
        System.out.println(
                REQUEST_COUNT + " requests sent through " + proxy.nodeName() + " to i-" + serverPort + ", version "
                        + Math.max(
                                baseVersion,
                                Configuration.read(config.getBytes(StandardCharsets.UTF_8))
                                        .version()) + " in effect");
    }

    private static byte[] bodyOf(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.UTF_8);
    }

    private static String settings(
            String name, String address, String listen, int internalPort, int seedPort, String folder) {
        return "node_name: \"" + name
                + "\"\nip_address: \"" + address + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  "
                + listen + "\ninternal_ports:\n  - " + internalPort + "\n  - " + internalPort
                + "\nseed_nodes:\n  - \"127.0.0.1:" + seedPort
                + "\"\nbootstrap: true\nlimits:\n  memory_mb: 256\n  file_descriptors: 1024\ndata_directory: " + folder
                + "\nheartbeat_ms: 1200\nbounds:\n  strict_revocation: true\n  grace_period_s: 1\n";
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static int startServer() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        HttpServer server = loop.submit(() -> new HttpServer(
                        new RequestHandler() {
                            @Override
                            public long now() {
                                return System.nanoTime() / 1000;
                            }

                            @Override
                            public void onRequest(
                                    HttpServer.ClientConnection client,
                                    HttpRequest request,
                                    byte[] body,
                                    long receivedAtUs) {
                                HttpHeaders headers = new DefaultHttpHeaders()
                                        .set("X-Attempt-Id", request.headers().get("X-Attempt-Id", ""))
                                        .set("X-Server-Seal", "local");
                                client.answer(
                                        HttpResponseStatus.OK,
                                        new ConnectionPool.Response(
                                                RESPONSE_BODY.getBytes(StandardCharsets.UTF_8),
                                                "text/event-stream",
                                                headers),
                                        0);
                            }

                            @Override
                            public ConnectionLimits limits() {
                                return new ConnectionLimits(64, 16 * 1024, 64 * 1024, 30_000, 30_000);
                            }
                        },
                        loop))
                .get();
        loop.submit(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .get()
                .await();
        return server.port();
    }

    private interface Call {
        String run() throws IOException;
    }

    private static String retryUntil(Call call, String expectedText) throws Exception {
        String lastResult = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                lastResult = call.run();
                if (lastResult.contains(expectedText)) {
                    return lastResult;
                }
            } catch (IOException e) {
                lastResult = e.toString();
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
        throw new IllegalStateException("no response with \"" + expectedText.strip() + "\" after " + MAX_ATTEMPTS
                + " attempts, the last result was: " + lastResult);
    }

    private static String call(InetSocketAddress address, String requestLine, String headers, String body)
            throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write((requestLine + " HTTP/1.1\r\n" + (headers.contains("Host:") ? "" : "Host: c\r\n") + headers
                                    + "Content-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            try (InputStream in = socket.getInputStream()) {
                in.transferTo(response);
            }
            return response.toString(StandardCharsets.UTF_8);
        }
    }
}
