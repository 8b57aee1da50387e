package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;

/** {@link HttpServer} with a scripted request handler. */
class HttpServerTest {
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int SHORT_REQUEST_TIMEOUT_MS = 100;
    private static final int REQUEST_TIMEOUT_MS = 10_000;

    /** Passes each request's client to a script. */
    private record ScriptedHandler(int requestTimeoutMs, Consumer<HttpServer.ClientConnection> script)
            implements RequestHandler {
        @Override
        public long now() {
            return System.nanoTime() / 1000;
        }

        @Override
        public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
            script.accept(client);
        }

        @Override
        public ConnectionLimits limits() {
            return new ConnectionLimits(8, 8_192, 8_192, 30_000, requestTimeoutMs);
        }
    }

    /** A pipelined request that times out while it is received must not end the in-flight request before it. */
    @Test
    void receiveTimeoutOfPipelinedRequestDoesNotEndInFlightRequest() throws Exception {
        // The response comes long after the time-out of the second request.
        RunningHttpServer server = new RunningHttpServer(loop -> new ScriptedHandler(
                SHORT_REQUEST_TIMEOUT_MS,
                client -> loop.schedule(
                        () -> client.answer(HttpResponseStatus.OK),
                        9 * SHORT_REQUEST_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS)));
        try (server) {
            Client client =
                    server.client().write(REQUEST + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
            assertEquals("HTTP/1.1 200 OK", client.readHead().first());
        }
    }

    /** The process runs on for some milliseconds after the close: requests accepted then would be lost. */
    @Test
    void requestsThatArriveAfterCloseAreNotHandled() throws Exception {
        AtomicInteger handledRequests = new AtomicInteger();
        RunningHttpServer server = new RunningHttpServer(loop -> new ScriptedHandler(REQUEST_TIMEOUT_MS, client -> {
            handledRequests.incrementAndGet();
            client.answer(HttpResponseStatus.OK);
        }));
        try (server) {
            Client client = server.client();
            assertEquals(200, client.write(REQUEST).read().status());
            server.call(() -> {
                // The request arrives before the event loop reads again.
                client.write(REQUEST);
                server.server().close();
                return null;
            });
            assertTrue(client.closed());
            assertEquals(1, handledRequests.get());
        }
    }

    /** Requests that had been received by then are answered, though they wait behind another one. */
    @Test
    void requestsThatWaitAtTheCloseAreAnswered() throws Exception {
        BlockingQueue<HttpServer.ClientConnection> received = new LinkedBlockingQueue<>();
        RunningHttpServer server =
                new RunningHttpServer(loop -> new ScriptedHandler(REQUEST_TIMEOUT_MS, received::add));
        try (server) {
            Client client = server.client().write(REQUEST + REQUEST + "GET /partial");
            HttpServer.ClientConnection first = LoopbackPeers.next(received, "the first request");
            server.run(() -> {
                server.server().close();
                first.answer(HttpResponseStatus.OK);
            });
            assertEquals(200, client.read().status());
            HttpServer.ClientConnection second = LoopbackPeers.next(received, "the second request");
            server.run(() -> second.answer(HttpResponseStatus.OK));
            assertEquals(200, client.read().status());
            assertTrue(client.closed(), "a request that is not complete at the close is not waited for");
        }
    }
}
