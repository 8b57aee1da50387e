package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.ConnectionPool;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** When an order is sent, and what is reported about one without a response. */
class ServerClientTest {
    private static final int TIMEOUT_S = 10;
    private static final long ORDER_TIMEOUT_MS = 800;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerClient client = new ServerClient(new ConnectionPool(loop, 500_000, 2_000_000, 16));
    private ServerSocket serverSocket;
    private Server server;

    @BeforeEach
    void listen() throws Exception {
        serverSocket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(TIMEOUT_S * 1_000);
        server = new Server(
                "i", "s", "127.0.0.1:" + serverSocket.getLocalPort(), "z", "m", 1, 0, 1, RegistryEntry.State.READY);
    }

    @AfterEach
    void end() throws Exception {
        serverSocket.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<Integer> post(BooleanSupplier permitted) {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        loop.execute(() -> client.post(
                server,
                "/quartzspan/order",
                "{}",
                ORDER_TIMEOUT_MS,
                permitted,
                (status, body) -> result.complete(status)));
        return result;
    }

    @Test
    void permissionIsCheckedOnceConnectedAndNothingIsSentWithoutIt() throws Exception {
        CompletableFuture<Boolean> checkedBeforeConnecting = new CompletableFuture<>();
        AtomicInteger permissionChecks = new AtomicInteger();
        CompletableFuture<Integer> result = new CompletableFuture<>();
        loop.execute(() -> {
            client.post(
                    server,
                    "/quartzspan/order",
                    "{}",
                    ORDER_TIMEOUT_MS,
                    () -> permissionChecks.incrementAndGet() > 1_000,
                    (status, body) -> result.complete(status));
            checkedBeforeConnecting.complete(permissionChecks.get() > 0);
        });
        try (Socket accepted = serverSocket.accept()) {
            assertEquals(ServerClient.NOT_SENT, result.get(TIMEOUT_S, TimeUnit.SECONDS));
            assertFalse(
                    checkedBeforeConnecting.get(TIMEOUT_S, TimeUnit.SECONDS),
                    "not checked before the connection is established");
            assertEquals(1, permissionChecks.get());
            assertThrows(
                    SocketException.class,
                    () -> accepted.getInputStream().read(),
                    "connection reset before any byte was sent");
        }
    }

    @Test
    void unansweredOrderIsNotWrittenAgain() throws Exception {
        AtomicInteger permissionChecks = new AtomicInteger();
        CompletableFuture<Integer> result = post(() -> permissionChecks.incrementAndGet() > 0);
        try (Socket accepted = serverSocket.accept()) {
            assertTrue(accepted.getInputStream().read() >= 0);
            accepted.setSoLinger(true, 0);
        }
        assertEquals(ServerClient.NO_RESPONSE, result.get(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, permissionChecks.get(), "the request is written once");
    }

    @Test
    void responseOfAnyStatusIsReported() throws Exception {
        CompletableFuture<Integer> result = post(() -> true);
        try (Socket accepted = serverSocket.accept()) {
            accepted.getInputStream().read();
            accepted.getOutputStream()
                    .write("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII));
            assertEquals(409, result.get(TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void unreachableServerCountsAsNotSent() throws Exception {
        serverSocket.close();
        assertEquals(ServerClient.NOT_SENT, post(() -> true).get(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void timedOutOrderIsDiscardedFromTheConnection() throws Exception {
        CompletableFuture<Integer> result = post(() -> true);
        try (Socket accepted = serverSocket.accept()) {
            assertEquals(ServerClient.NO_RESPONSE, result.get(TIMEOUT_S, TimeUnit.SECONDS), "the request times out");
            accepted.setSoTimeout(TIMEOUT_S * 1_000);
            assertThrows(
                    SocketException.class,
                    () -> accepted.getInputStream().readAllBytes(),
                    "reset: unread bytes are discarded");
        }
    }

    /**
     * A server responds to a request twice: the second response is not taken for that of the order that follows.
     */
    @Test
    void extraResponseOnAPooledConnectionIsNotTakenForThatOfTheOrder() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        CompletableFuture<Integer> reported = new CompletableFuture<>();
        loop.execute(
                () -> client.get(server, "/quartzspan/report", Map.of(), (status, body) -> reported.complete(status)));
        try (Socket pooled = serverSocket.accept()) {
            pooled.getInputStream().read();
            pooled.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, reported.get(TIMEOUT_S, TimeUnit.SECONDS));
            CompletableFuture<Integer> ordered = post(() -> true);
            try (Socket fresh = serverSocket.accept()) {
                pooled.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                fresh.getInputStream().read();
                fresh.getOutputStream()
                        .write(response.replace("200 OK", "409 Conflict").getBytes(StandardCharsets.US_ASCII));
                assertEquals(409, ordered.get(TIMEOUT_S, TimeUnit.SECONDS));
            }
        }
    }

    /** A stand-in server that answers every request with the same body, on connections that it keeps open. */
    private final class KeepAliveServer implements AutoCloseable {
        /** Connection numbers, in the order of the requests. */
        private final List<Integer> connections = Collections.synchronizedList(new ArrayList<>());

        private final byte[] response;
        private final ExecutorService executor = Executors.newCachedThreadPool();

        KeepAliveServer(String body) {
            response = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII);
            executor.execute(this::accept);
        }

        /** The number of the connection that the last request arrived on. */
        int lastUsed() {
            return connections.get(connections.size() - 1);
        }

        private void accept() {
            try {
                for (int number = 0; !serverSocket.isClosed(); number++) {
                    Socket accepted = serverSocket.accept();
                    int connection = number;
                    executor.execute(() -> serve(connection, accepted));
                }
            } catch (IOException closed) {
                executor.shutdown();
            }
        }

        private void serve(int connection, Socket accepted) {
            try (accepted) {
                byte[] buffer = new byte[4_096];
                while (accepted.getInputStream().read(buffer) > 0) {
                    connections.add(connection);
                    accepted.getOutputStream().write(response);
                }
            } catch (IOException reset) {
                // The client has reset this connection; the others are still served.
            }
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
            executor.shutdownNow();
        }
    }

    /** Starts requests in one task of the event loop, so that none of them is answered before the last has started. */
    private List<CompletableFuture<byte[]>> startGets(String path, int count) {
        List<CompletableFuture<byte[]>> results =
                Stream.generate(CompletableFuture<byte[]>::new).limit(count).toList();
        loop.execute(() ->
                results.forEach(result -> client.get(server, path, Map.of(), (status, body) -> result.complete(body))));
        return results;
    }

    private byte[] get(String path) throws Exception {
        return startGets(path, 1).get(0).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void orderGetsAConnectionOfItsOwnThoughReportsReuseOne() throws Exception {
        try (KeepAliveServer keepAlive = new KeepAliveServer("{}")) {
            Set<Integer> seen = new HashSet<>();
            do {
                seen.addAll(keepAlive.connections);
                get("/quartzspan/report");
            } while (!seen.contains(keepAlive.lastUsed()));
            assertEquals(200, post(() -> true).get(TIMEOUT_S, TimeUnit.SECONDS));
            int ordered = keepAlive.lastUsed();
            assertFalse(seen.contains(ordered), "connection " + ordered + " of " + seen);
        }
    }

    /** Idle connections to a server count towards its connection limit, but don't keep an order from being sent. */
    @Test
    void orderIsSentThoughIdleConnectionsFillTheLimit() throws Exception {
        try (KeepAliveServer keepAlive = new KeepAliveServer("{}")) {
            List<CompletableFuture<byte[]>> reports =
                    startGets("/quartzspan/report", ServerClient.CONNECTIONS_PER_SERVER);
            for (CompletableFuture<byte[]> report : reports) {
                report.get(TIMEOUT_S, TimeUnit.SECONDS);
            }
            Set<Integer> pooled = new HashSet<>(keepAlive.connections);
            assertEquals(ServerClient.CONNECTIONS_PER_SERVER, pooled.size());
            assertEquals(200, post(() -> true).get(TIMEOUT_S, TimeUnit.SECONDS));
            assertFalse(pooled.contains(keepAlive.lastUsed()));
        }
    }

    @Test
    void longListOfCachedBlocksIsReadWhole() throws Exception {
        String list = "x".repeat(300 * 1024);
        try (KeepAliveServer keepAlive = new KeepAliveServer(list)) {
            assertEquals(list.length(), get("/quartzspan/kv-list").length);
            assertEquals(List.of(0), keepAlive.connections);
        }
    }
}
