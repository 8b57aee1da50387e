package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;

/** What a server keeps for its clients: bodies only while their requests are under way, and no more of them than its memory allows. */
class HttpServerMemoryTest {
    private static final int BODY_BYTES = 70_000;
    /** Room for one body of that size beside short ones. */
    private static final int MEMORY_BYTES = 100_000;

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final String HOLD = "/hold";
    private static final String STREAM = "/stream";

    private final BlockingQueue<HttpServer.ClientConnection> held = new LinkedBlockingQueue<>();
    private final AtomicInteger notifiedBytes = new AtomicInteger();
    private RunningHttpServer server;

    /** The bodies of all requests that were handled, as long as something else refers to them. */
    private final List<WeakReference<byte[]>> bodies = new CopyOnWriteArrayList<>();

    /** Answers requests at once, but holds those with the path {@link #HOLD}. */
    private final class Handler implements RequestHandler {
        @Override
        public long now() {
            return System.nanoTime() / 1_000;
        }

        @Override
        public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
            bodies.add(new WeakReference<>(body));
            client.onDisconnect(() -> notifiedBytes.addAndGet(body.length));
            if (request.uri().equals(HOLD)) {
                held.add(client);
            } else if (request.uri().equals(STREAM)) {
                stream(client, body);
            } else {
                client.answer(HttpResponseStatus.OK);
            }
        }

        /** Sends the body back; the listener of a slow client refers to it. */
        private void stream(HttpServer.ClientConnection client, byte[] body) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("Content-Length", body.length);
            client.startResponse(head);
            client.writeChunk(Unpooled.copiedBuffer(body));
            client.isWritable(() -> notifiedBytes.addAndGet(body.length));
            client.finishResponse();
        }

        @Override
        public ConnectionLimits limits() {
            return new ConnectionLimits(200, 8_192, MAX_BODY_BYTES, 30_000, 10_000, MEMORY_BYTES);
        }
    }

    @BeforeEach
    void start() throws Exception {
        server = new RunningHttpServer(loop -> new Handler());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    private Client client() throws IOException {
        return server.client();
    }

    private static String head(String path, int bodyBytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private static Client post(Client client, String path, int bodyBytes) throws IOException {
        return client.write(head(path, bodyBytes)).write("x".repeat(bodyBytes));
    }

    private long reservedBytes() throws Exception {
        return server.call(() -> server.server().requestMemory().reservedBytes());
    }

    private HttpServer.ClientConnection nextHeld() throws InterruptedException {
        return LoopbackPeers.next(held, "a held request");
    }

    private void awaitReservedBytes(long bytes) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackPeers.TIMEOUT_S);
        while (reservedBytes() != bytes) {
            assertTrue(System.nanoTime() < endNanos, reservedBytes() + " bytes stay reserved");
        }
    }

    /** Guards against buffers of long bodies that stay with their connections while these rest (review/2). */
    @Test
    void connectionsThatRestKeepNoBody() throws Exception {
        for (int i = 0; i < 40; i++) {
            assertEquals(200, post(client(), "/", BODY_BYTES).read().status(), "client " + i);
        }
        awaitReservedBytes(0);
    }

    /** Guards against listeners that keep a request, with its body, for as long as its connection rests (review/2). */
    @Test
    void connectionsThatRestReferToNoBody() throws Exception {
        for (String path : List.of("/", STREAM)) {
            Message response = post(client(), path, BODY_BYTES).read();
            assertEquals(200, response.status());
            awaitReservedBytes(0);
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackPeers.TIMEOUT_S);
        while (bodies.stream().anyMatch(body -> body.get() != null)) {
            assertTrue(System.nanoTime() < endNanos, "a resting connection keeps a body");
            System.gc();
        }
    }

    @Test
    void requestWhoseBodyDoesNotFitIsRejectedAndItsConnectionStaysUsable() throws Exception {
        post(client(), HOLD, BODY_BYTES);
        HttpServer.ClientConnection first = nextHeld();
        assertEquals(BODY_BYTES, reservedBytes());
        Client second = client();
        Message rejection = post(second, "/", BODY_BYTES).read();
        assertEquals(503, rejection.status());
        assertTrue(Double.parseDouble(rejection.header("retry-after")) > 0, "it says when to come back");
        assertEquals(BODY_BYTES, reservedBytes(), "of the rejected body nothing is kept");
        assertEquals(
                200, post(second, "/", RequestMemory.SHORT_BODY_BYTES).read().status(), "a short body fits");
        server.run(() -> first.answer(HttpResponseStatus.OK));
        awaitReservedBytes(0);
        assertEquals(200, post(second, "/", BODY_BYTES).read().status());
    }

    /** A close with unread input would reset the connection, and the client might not see the answer. */
    @Test
    void clientThatIsStillSendingGetsTheRejectionBeforeTheClose() throws Exception {
        for (int i = 0; i < 20; i++) {
            Client client = client();
            client.write(head("/", MAX_BODY_BYTES).replace("Host", "Connection: close\r\nHost"));
            client.write("x".repeat(MAX_BODY_BYTES));
            assertEquals(503, client.read().status());
            assertTrue(client.closed());
        }
        awaitReservedBytes(0);
    }

    @Test
    void bodiesOfUnknownLengthAreBoundedToo() throws Exception {
        Client client = client().write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
        client.write(chunk.repeat(20) + "0\r\n\r\n");
        assertEquals(503, client.read().status());
        assertEquals(200, post(client, "/", 10).read().status(), "the rest of the body is skipped");
    }

    @Test
    void clientsThatStopWithinABodyOrDisconnectGiveTheirMemoryBack() throws Exception {
        Client partial = client().write(head("/", BODY_BYTES)).write("x".repeat(20_000));
        post(client(), HOLD, 1_000);
        nextHeld();
        Client pipelining = client();
        post(post(pipelining, HOLD, 1_000), "/", 1_000);
        nextHeld();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackPeers.TIMEOUT_S);
        while (reservedBytes() < 23_000) {
            assertTrue(System.nanoTime() < endNanos, reservedBytes() + " bytes are reserved");
        }
        partial.close();
        server.closeClients();
        awaitReservedBytes(0);
    }

    /** All clients send at once; each gets an answer, and a rejected one gets 200 when it comes back. */
    @Test
    void everyRequestIsAnsweredWhileMemoryIsScarce() throws Exception {
        for (int i = 0; i < 60; i++) {
            post(client(), i % 3 == 0 ? "/" : HOLD, i % 2 == 0 ? 10_000 : 30_000);
        }
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            if (i % 3 != 0) {
                continue;
            }
            int status = server.clients().get(i).read().status();
            assertTrue(status == 200 || status == 503, "client " + i + ": " + status);
            rejected += status == 503 ? 1 : 0;
            assertTrue(reservedBytes() <= MEMORY_BYTES);
        }
        for (HttpServer.ClientConnection client; (client = held.poll()) != null; ) {
            HttpServer.ClientConnection next = client;
            server.run(() -> next.answer(HttpResponseStatus.OK));
        }
        awaitReservedBytes(0);
        assertTrue(rejected > 0, "the memory was never scarce");
    }
}
