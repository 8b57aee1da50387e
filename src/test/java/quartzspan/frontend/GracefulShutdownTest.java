package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.Server;

/** After SIGTERM a proxy completes the requests that it has forwarded, and forwards none that may not end before its exit. */
class GracefulShutdownTest extends FleetFixture {
    private static final int GRACE_PERIOD_S = 8;
    private static final int FREEZE_MS = 3_200;
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: stream\r\nX-Server-Seal: seal.1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\n1st\r\n";

    private final CountDownLatch streamMayEnd = new CountDownLatch(1);

    /** Starts a server whose response to the request {@code stream} continues until the test ends it. */
    private Server streamingServer(String name) throws Exception {
        return startServer(name, seen -> {
            if (!attemptId(seen).equals("stream")) {
                seen.write(response(attemptId(seen), "done"));
                return;
            }
            seen.write(STREAM_HEAD);
            try {
                streamMayEnd.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            seen.write("3\r\n2nd\r\n0\r\n\r\n");
        });
    }

    @Test
    void requestThatMayNotEndBeforeTheExitIsRejectedAndNotForwarded() throws Exception {
        Server server = streamingServer("streaming");
        ProxyProcess proxy = startProxyProcess(GRACE_PERIOD_S);
        Client streaming = closeAfterTest(proxy.client()).write(request("read", "stream"));
        assertEquals(200, streaming.readHead().status());
        Client idle = closeAfterTest(proxy.client());
        assertEquals("done", idle.write(request("read", "a1")).read().text());
        proxy.signal("TERM");
        assertTrue(idle.closed(), "idle connections are closed once clients have seen that the proxy is not ready");
        server.received.clear();
        assertRejected(
                closeAfterTest(proxy.client()).write(request("read", "a2")).read());
        assertEquals(0, server.received.size(), "the rejected request is not forwarded");
        Message inTime = closeAfterTest(proxy.client())
                .write(request("POST", "read", "a3", "", 1_000))
                .read();
        assertEquals("done", inTime.text(), "this request ends before the exit");
        streamMayEnd.countDown();
        String rest = new String(streaming.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(
                rest.endsWith("3\r\n2nd\r\n0\r\n\r\n"),
                "the stream that was forwarded before the shutdown is complete: " + rest);
        assertTrue(proxy.exitsInTime());
    }

    @Test
    void gracePeriodRunsWhileTheProcessIsFrozen() throws Exception {
        Server server = streamingServer("streaming-on");
        ProxyProcess proxy = startProxyProcess(GRACE_PERIOD_S);
        Client streaming = closeAfterTest(proxy.client()).write(request("read", "stream"));
        assertEquals(200, streaming.readHead().status());
        proxy.signal("STOP");
        proxy.signal("TERM");
        assertNoResponse(closeAfterTest(proxy.client()).write("GET /nowhere HTTP/1.1\r\nHost: h.example\r\n\r\n"));
        proxy.signal("CONT");
        proxy.awaitReadiness(503);
        server.received.clear();
        assertRejected(
                closeAfterTest(proxy.client()).write(request("read", "a2")).read());
        assertEquals(0, server.received.size(), "the rejected request is not forwarded");
        streamMayEnd.countDown();
        assertTrue(proxy.exitsInTime());
    }

    private static void assertNoResponse(Client client) throws IOException {
        client.socket.setSoTimeout(FREEZE_MS);
        assertThrows(SocketTimeoutException.class, client::read, "the process is frozen");
    }

    private static void assertRejected(Message response) {
        assertEquals(503, response.status(), response.first());
        assertNotNull(response.header("retry-after"), "a rejection has a Retry-After header");
        assertEquals("close", response.header("connection"));
    }
}
