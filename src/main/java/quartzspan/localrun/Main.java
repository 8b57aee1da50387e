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
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;

/**
 * For the build: starts a core machine, a proxy and a stand-in server on loopback in one process, carries a few requests and
 * ends. Meanwhile the JVM notes which classes a start needs, so that the deployed programs have them at hand.
 */
public final class Main {
    private static final String BODY = "data: done\n\n";
    private static final int REQUESTS = 20;
    private static final String CONFIGURATION = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
            + "\"path_prefix\":\"/a/\",\"route_type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":400,"
            + "\"priority\":0,\"service\":\"s\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true}],"
            + "\"services\":[{\"name\":\"s\",\"max_connections\":60,\"engine\":{\"capacity\":8,\"models\":"
            + "[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";

    private Main() {}

    /**
     * Without arguments all is made up; with one, a folder, settings are read from its {@code core.yaml} and
     * {@code proxy.yaml} and the configuration from {@code configuration.json}. Ends with a status above 0 if the fleet does
     * not carry its requests.
     */
    public static void main(String[] args) {
        int status = 0;
        try {
            run(args);
        } catch (Exception why) {
            why.printStackTrace();
            status = 1;
        }
        // The programs' threads would keep the process; their shutdown hooks run here, so the archive holds an end as
        // well.
        System.exit(status);
    }

    private static void run(String[] args) throws Exception {
        if (args.length == 0) {
            runWithMadeUpSettings();
            return;
        }
        Path from = Path.of(args[0]);
        carryRequests(
                Settings.parse(Files.readString(from.resolve("core.yaml"))),
                Settings.parse(Files.readString(from.resolve("proxy.yaml"))),
                Files.readString(from.resolve("configuration.json")));
    }

    private static void runWithMadeUpSettings() throws Exception {
        Path folder = Files.createTempDirectory("local-run");
        int[] ports = ports(4);
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
            carryRequests(Settings.parse(coreSettings), Settings.parse(proxySettings), CONFIGURATION);
        } finally {
            deleteAtExit(folder);
        }
    }

    /** Files are deleted in the opposite order, after the shutdown hooks that stop their writer. */
    private static void deleteAtExit(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted().forEach(file -> file.toFile().deleteOnExit());
        }
    }

    private static void carryRequests(Settings core, Settings proxy, String config) throws Exception {
        InetSocketAddress control = core.listenAddress("control_plane");
        InetSocketAddress front = proxy.listenAddress("frontend");
        quartzspan.controlplane.Main.run(core);
        quartzspan.frontend.Main.run(proxy);
        int server = server();
        long base = Configuration.read(
                        body(until(() -> call(control, "GET /quartzspan/Configuration.Describe", "", ""), " 200 ")))
                .version();
        if (base == 0) {
            until(
                    () -> call(control, "POST /quartzspan/Configuration.Replace", "X-Base-Version: 0\r\n", config),
                    " 200 ");
        }
        String beat = "{\"service\":\"s\",\"address\":\"127.0.0.1:" + server + "\",\"zone\":\"z\",\"capacity\":8,"
                + "\"state\":\"ready\",\"models\":[{\"name\":\"m\",\"version\":1}],\"call_count\":1}";
        until(() -> call(control, "POST /quartzspan/Instances.Heartbeat/i-" + server, "", beat), " 200 ");
        until(() -> call(proxy.listenAddress("readiness"), "GET /quartzspan/readiness", "", ""), " 200 ");
        for (int i = 0; i < REQUESTS; i++) {
            until(
                    () -> call(
                            front,
                            "POST /a/b",
                            "Host: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 2000\r\n"
                                    + "X-Model: m\r\nX-Token-Count: 30,4\r\nX-Prompt-Prefix: 1a:10,2b:10,3c:10\r\n"
                                    + "Authorization: Token k\r\n",
                            "ask"),
                    BODY);
        }
        System.out.println(REQUESTS + " requests carried by " + proxy.nodeName() + " to i-" + server + ", version "
                + Math.max(
                        base,
                        Configuration.read(config.getBytes(StandardCharsets.UTF_8))
                                .version()) + " in force");
    }

    private static byte[] body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.UTF_8);
    }

    private static String settings(String name, String address, String listen, int internal, int seed, String folder) {
        return "node_name: \"" + name
                + "\"\nip_address: \"" + address + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\nlisten_addresses:\n  "
                + listen + "\ninternal_ports:\n  - " + internal + "\n  - " + internal
                + "\nseed_nodes:\n  - \"127.0.0.1:" + seed
                + "\"\nbootstrap: true\nlimits:\n  memory_mb: 256\n  file_descriptors: 1024\ndata_directory: " + folder
                + "\nheartbeat_ms: 1200\nbounds:\n  strict_revocation: true\n  grace_period_s: 1\n";
    }

    private static int[] ports(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(s);
            ports[i] = s.getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
        return ports;
    }

    private static int server() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        HttpServer frontend = loop.submit(() -> new HttpServer(
                        new HttpServer.RequestHandler() {
                            @Override
                            public long now() {
                                return System.nanoTime() / 1000;
                            }

                            @Override
                            public void onRequest(
                                    HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
                                HttpHeaders marks = new DefaultHttpHeaders()
                                        .set("X-Attempt-Id", in.headers().get("X-Attempt-Id", ""))
                                        .set("X-Server-Seal", "local");
                                client.answer(
                                        HttpResponseStatus.OK,
                                        new ConnectionPool.Response(
                                                BODY.getBytes(StandardCharsets.UTF_8), "text/event-stream", marks),
                                        0);
                            }

                            @Override
                            public HttpServer.ConnectionLimits limits() {
                                return new HttpServer.ConnectionLimits(64, 16 * 1024, 64 * 1024, 30_000, 30_000);
                            }
                        },
                        loop))
                .get();
        loop.submit(() -> frontend.listen(new InetSocketAddress("127.0.0.1", 0)))
                .get()
                .await();
        return frontend.port();
    }

    private interface Try {
        String run() throws IOException;
    }

    private static String until(Try call, String holds) throws Exception {
        String last = "";
        for (int i = 0; i < 200; i++) {
            try {
                last = call.run();
                if (last.contains(holds)) {
                    return last;
                }
            } catch (IOException e) {
                last = e.toString();
            }
            Thread.sleep(30);
        }
        throw new IllegalStateException("the local run got: " + last);
    }

    private static String call(InetSocketAddress to, String line, String headers, String body) throws IOException {
        try (Socket s = new Socket(to.getAddress(), to.getPort())) {
            s.setSoTimeout(5_000);
            s.getOutputStream()
                    .write((line + " HTTP/1.1\r\n" + (headers.contains("Host:") ? "" : "Host: c\r\n") + headers
                                    + "Content-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            try (InputStream in = s.getInputStream()) {
                in.transferTo(all);
            }
            return all.toString(StandardCharsets.UTF_8);
        }
    }
}
