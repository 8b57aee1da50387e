package quartzspan.misbehavior;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** Crowds at the client proxy. */
class ClientProxyCrowdTest {
    private static final int HEAD_BYTES = 7_800;
    private static final int BODY_BYTES = 64_000;
    private static final int LARGE_CROWD_SIZE = 900;
    private static final String HELD_PATH = "/api/held";
    private static final String SERVED_PATH = "/api/served";
    private static final String REQUEST_HEADERS = "X-Class: safe\r\nX-Deadline-Ms: 20000\r\nX-Request-Id: ";

    @TempDir
    Path folder;

    private final AtomicInteger lastRequestId = new AtomicInteger();
    private Server server;
    private Discovery discovery;
    private ProgramProcess proxy;
    private CrowdTrial trial;

    @BeforeEach
    void start() throws Exception {
        server = new Server(ClientProxyCrowdTest::serve);
        discovery = new Discovery();
        String endpoint = LoopbackPeers.endpoint("s0", server.address(), "in_service");
        int port = freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                LoopbackPeers.config(port, discovery.server.address(), "", LoopbackPeers.list(1, true, endpoint))
                        .replace("\"sockets\":160", "\"sockets\":" + Resources.SMALL.fileDescriptors()));
        proxy = new ProgramProcess(
                "quartzspan.clientproxy.Main", List.of("serve"), "NODE_CONFIG", config, Resources.SMALL);
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(2, true, endpoint));
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        String ordinary = "GET " + SERVED_PATH + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + REQUEST_HEADERS
                + "ordinary\r\n\r\n";
        assertTrue(OrdinaryCaller.isServed(proxy, address, ordinary, 200), "no request is served");
        trial = new CrowdTrial(proxy, address, address, ordinary);
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
        discovery.close();
        server.close();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void serve(ReceivedRequest request) {
        if (!request.message().first().contains(HELD_PATH)) {
            request.served("ok");
        }
    }

    /** Each member's requests have an id of their own, since the proxy rejects one that is open already. */
    private HttpMisbehavior.Target target() {
        String headers = REQUEST_HEADERS + "c" + lastRequestId.incrementAndGet() + "\r\n";
        return new HttpMisbehavior.Target(HELD_PATH, headers, HEAD_BYTES, BODY_BYTES);
    }

    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        trial.run(member -> misbehavior.bytes(target()));
    }

    @Test
    void moreConnectionsThanThereIsRoomForEndNothing() throws Exception {
        trial.run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.SILENT.bytes(target()));
    }
}
