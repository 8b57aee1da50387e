package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;

/** Limits that change while clients keep their connections: the present ones hold for each request, on old connections too. */
class KeptConnectionLimitsTest {
    private static final int NARROW_HEADER_BYTES = 4_096;
    private static final int NARROW_BODY_BYTES = 1_000;
    private static final int LONG_HEADER_BYTES = 6_000;
    private static final int LONG_BODY_BYTES = 2_000;
    private static final long LONG_TIMEOUT_MS = 60_000;
    private static final long SHORT_TIMEOUT_MS = 100;
    private static final String HOLD = "/hold";

    private static final ConnectionLimits NARROW =
            new ConnectionLimits(8, NARROW_HEADER_BYTES, NARROW_BODY_BYTES, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
    private static final ConnectionLimits WIDE =
            new ConnectionLimits(8, 65_536, 1_000_000, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);

    private final BlockingQueue<HttpServer.ClientConnection> held = new LinkedBlockingQueue<>();
    private volatile ConnectionLimits limits = NARROW;
    private RunningHttpServer server;

    private final class Handler implements RequestHandler {
        @Override
        public long now() {
            return System.nanoTime() / 1_000;
        }

        @Override
        public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
            if (request.uri().equals(HOLD)) {
                held.add(client);
            } else {
                client.answer(HttpResponseStatus.OK);
            }
        }

        @Override
        public ConnectionLimits limits() {
            return limits;
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

    private static String request(String path, int headerBytes, int bodyBytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Note: " + "n".repeat(headerBytes) + "\r\nContent-Length: "
                + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes);
    }

    private static String chunkedRequest(int bodyBytes) {
        return "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bodyBytes)
                + "\r\n" + "b".repeat(bodyBytes) + "\r\n0\r\n\r\n";
    }

    /** A client whose connection has served a request. */
    private Client keptConnection() throws IOException {
        Client client = server.client();
        assertEquals(200, client.write(request("/a", 10, 10)).read().status());
        return client;
    }

    /** Guards against proper requests that get 431 on kept connections after max_header_bytes was raised. */
    @Test
    void raisedHeaderLimitHoldsOnKeptConnections() throws Exception {
        Client kept = keptConnection();
        limits = WIDE;
        assertEquals(
                200, kept.write(request("/a", LONG_HEADER_BYTES, 10)).read().status());
    }

    /** Guards against proper requests that get 413 on kept connections after max_body_bytes was raised. */
    @Test
    void raisedBodyLimitHoldsOnKeptConnections() throws Exception {
        Client kept = keptConnection();
        limits = WIDE;
        assertEquals(200, kept.write(request("/a", 10, LONG_BODY_BYTES)).read().status());
        assertEquals(200, kept.write(chunkedRequest(LONG_BODY_BYTES)).read().status());
    }

    @Test
    void loweredLimitsHoldOnKeptConnections() throws Exception {
        limits = WIDE;
        Client longHead = keptConnection();
        Client longBody = keptConnection();
        Client longChunkedBody = keptConnection();
        limits = NARROW;
        assertEquals(
                431, longHead.write(request("/a", LONG_HEADER_BYTES, 10)).read().status());
        assertEquals(
                413, longBody.write(request("/a", 10, LONG_BODY_BYTES)).read().status());
        assertEquals(
                413,
                longChunkedBody.write(chunkedRequest(LONG_BODY_BYTES)).read().status());
    }

    /** The next request has been received, but not decoded, when the limits change. */
    @Test
    void raisedLimitsHoldForARequestThatWaitsBehindAnother() throws Exception {
        Client kept = keptConnection();
        kept.write(request(HOLD, 10, 10) + request("/a", LONG_HEADER_BYTES, LONG_BODY_BYTES));
        HttpServer.ClientConnection first = LoopbackPeers.next(held, "the first request");
        limits = WIDE;
        server.run(() -> first.answer(HttpResponseStatus.NO_CONTENT));
        assertEquals(204, kept.read().status());
        assertEquals(200, kept.read().status());
        assertEquals(200, kept.write(request("/a", 10, 10)).read().status(), "the connection stays usable");
    }

    /** The limit of a head is the one in force when its first bytes are decoded. */
    @Test
    void limitThatChangesWithinAHeadHoldsFromTheNextRequestOn() throws Exception {
        limits = WIDE;
        Client kept = keptConnection();
        String whole = request("/a", LONG_HEADER_BYTES, 10);
        int withinHead = whole.indexOf("X-Note");
        kept.write(whole.substring(0, withinHead));
        awaitReceiving();
        limits = NARROW;
        assertEquals(200, kept.write(whole.substring(withinHead)).read().status());
        assertEquals(431, kept.write(whole).read().status());
    }

    /** Returns once the server has read what was written before: another connection's request is read after it. */
    private void awaitReceiving() throws IOException {
        keptConnection();
    }

    /** Guards against idle connections that are closed by the time-out of an earlier configuration, or not at all. */
    @Test
    void idleTimeoutInForceClosesKeptConnections() throws Exception {
        Client kept = keptConnection();
        limits = new ConnectionLimits(8, NARROW_HEADER_BYTES, NARROW_BODY_BYTES, SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS);
        assertTrue(kept.closed());
    }

    @Test
    void requestTimeoutInForceEndsRequestsOnKeptConnections() throws Exception {
        Client kept = keptConnection();
        kept.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbb");
        limits = new ConnectionLimits(8, NARROW_HEADER_BYTES, NARROW_BODY_BYTES, LONG_TIMEOUT_MS, SHORT_TIMEOUT_MS);
        assertEquals(408, kept.read().status());
    }
}
