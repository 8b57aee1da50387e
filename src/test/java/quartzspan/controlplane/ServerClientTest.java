package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.ConnectionPool;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** When an order goes out, and what is known of one that has no answer. */
class ServerClientTest {
    private static final int PATIENCE_S = 10;
    private static final long TIMEOUT_MS = 800;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerClient client = new ServerClient(new ConnectionPool(loop, 500_000, 2_000_000, 16));
    private ServerSocket listening;
    private Server server;

    @BeforeEach
    void listen() throws Exception {
        listening = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        listening.setSoTimeout(PATIENCE_S * 1_000);
        server = new Server(
                "i", "s", "127.0.0.1:" + listening.getLocalPort(), "z", "m", 1, 0, 1, RegistryEntry.State.READY);
    }

    @AfterEach
    void end() throws Exception {
        listening.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<Integer> post(BooleanSupplier permitted) {
        CompletableFuture<Integer> ended = new CompletableFuture<>();
        loop.execute(() -> client.post(
                server, "/quartzspan/order", "{}", TIMEOUT_MS, permitted, (status, body) -> ended.complete(status)));
        return ended;
    }

    @Test
    void permissionIsCheckedOnceConnectedAndNothingIsSentWithoutIt() throws Exception {
        CompletableFuture<Boolean> early = new CompletableFuture<>();
        AtomicInteger asked = new AtomicInteger();
        CompletableFuture<Integer> ended = new CompletableFuture<>();
        loop.execute(() -> {
            client.post(
                    server,
                    "/quartzspan/order",
                    "{}",
                    TIMEOUT_MS,
                    () -> asked.incrementAndGet() > 1_000,
                    (status, body) -> ended.complete(status));
            early.complete(asked.get() > 0);
        });
        try (Socket accepted = listening.accept()) {
            assertEquals(ServerClient.NOT_SENT, ended.get(PATIENCE_S, TimeUnit.SECONDS));
            assertFalse(early.get(PATIENCE_S, TimeUnit.SECONDS), "not before it connects");
            assertEquals(1, asked.get());
            assertThrows(SocketException.class, () -> accepted.getInputStream().read(), "reset without a byte");
        }
    }

    @Test
    void unansweredOrderIsNotWrittenAgain() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        CompletableFuture<Integer> ended = post(() -> asked.incrementAndGet() > 0);
        try (Socket accepted = listening.accept()) {
            assertTrue(accepted.getInputStream().read() >= 0);
            accepted.setSoLinger(true, 0);
        }
        assertEquals(ServerClient.NO_RESPONSE, ended.get(PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(1, asked.get(), "one write");
    }

    @Test
    void responseOfAnyStatusIsReported() throws Exception {
        CompletableFuture<Integer> ended = post(() -> true);
        try (Socket accepted = listening.accept()) {
            accepted.getInputStream().read();
            accepted.getOutputStream()
                    .write("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII));
            assertEquals(409, ended.get(PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void unreachableServerCountsAsNotSent() throws Exception {
        listening.close();
        assertEquals(ServerClient.NOT_SENT, post(() -> true).get(PATIENCE_S, TimeUnit.SECONDS));
    }

    @Test
    void abandonedOrderIsDiscardedFromTheConnection() throws Exception {
        CompletableFuture<Integer> ended = post(() -> true);
        try (Socket accepted = listening.accept()) {
            assertEquals(ServerClient.NO_RESPONSE, ended.get(PATIENCE_S, TimeUnit.SECONDS), "its time runs out");
            accepted.setSoTimeout(PATIENCE_S * 1_000);
            assertThrows(
                    SocketException.class,
                    () -> accepted.getInputStream().readAllBytes(),
                    "reset: what was not read yet is gone");
        }
    }

    /** A server answers a question twice: the second answer is not taken for that of the order which follows. */
    @Test
    void extraResponseOnAPooledConnectionIsNotTheOrders() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        CompletableFuture<Integer> asked = new CompletableFuture<>();
        loop.execute(
                () -> client.get(server, "/quartzspan/report", Map.of(), (status, body) -> asked.complete(status)));
        try (Socket kept = listening.accept()) {
            kept.getInputStream().read();
            kept.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, asked.get(PATIENCE_S, TimeUnit.SECONDS));
            CompletableFuture<Integer> ordered = post(() -> true);
            try (Socket fresh = listening.accept()) {
                kept.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                fresh.getInputStream().read();
                fresh.getOutputStream()
                        .write(answer.replace("200 OK", "409 Conflict").getBytes(StandardCharsets.US_ASCII));
                assertEquals(409, ordered.get(PATIENCE_S, TimeUnit.SECONDS));
            }
        }
    }
}
