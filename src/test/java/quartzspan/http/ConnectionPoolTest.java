package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.InputStream;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.ConnectionPool.Attempt;
import quartzspan.http.ConnectionPool.Reuse;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** What an attempt's outcome proves about the execution of its request, however its connection ends. */
class ConnectionPoolTest {
    /** More than the kernel buffers of both sides take, so that a part of it stays unsent. */
    private static final int LONG_BODY_BYTES = 24 * 1024 * 1024;

    private static final int SHORT_BODY_BYTES = 100;
    private static final int TIMEOUT_MS = 20_000;
    private static final int ORDERS = Integer.getInteger("pool.orders", 400);
    private static final int SHORT_TIMEOUT_MS = 60;
    private static final String PIECE = "piece of run ";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ConnectionPool pool = new ConnectionPool(loop, 1_000_000, 10_000_000, 8);
    private final AtomicInteger runs = new AtomicInteger();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** The end of an attempt, and what was passed on of its response. */
    private record Result(Outcome outcome, boolean started, String passedOn) {}

    /** Passes each successful response on as it arrives. */
    private static final class Recorder implements ConnectionPool.ResponseHandler {
        private final StringBuilder passedOn = new StringBuilder();
        private boolean started;

        @Override
        public Outcome outcome(HttpResponse head) {
            boolean declined = head.headers().contains("X-Not-Executed");
            return declined ? Outcome.QUEUE_FULL : Outcome.OK;
        }

        @Override
        public boolean streamsBody(HttpResponse head) {
            started = true;
            return true;
        }

        @Override
        public boolean onChunk(ByteBuf bytes) {
            passedOn.append(bytes.toString(StandardCharsets.ISO_8859_1));
            return true;
        }
    }

    private Result send(ScriptedServer server, int bodyBytes, int timeoutMs, int cancelAfterMs) throws Exception {
        CompletableFuture<Result> result = new CompletableFuture<>();
        loop.execute(() -> {
            ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint("e");
            endpoint.update((InetSocketAddress) server.socket.getLocalSocketAddress(), true, 8);
            Recorder recorder = new Recorder();
            OutgoingRequest request =
                    new OutgoingRequest("POST", "/x", new DefaultHttpHeaders().set("Host", "h"), new byte[bodyBytes]);
            Attempt attempt = pool.attempt(
                    endpoint,
                    request,
                    timeoutMs * 1_000L,
                    () -> true,
                    recorder,
                    (outcome, response) ->
                            result.complete(new Result(outcome, recorder.started, recorder.passedOn.toString())));
            attempt.start(Reuse.NONE);
            if (cancelAfterMs > 0) {
                loop.schedule(attempt::cancel, cancelAfterMs, TimeUnit.MILLISECONDS);
            }
        });
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the head of a request, with which the server begins to run it; returns the number of the run. */
    private int beginRun(InputStream in) throws IOException {
        LoopbackPeers.readHead(in);
        return runs.incrementAndGet();
    }

    private static String responseOf(int run, int pieces) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < pieces; i++) {
            String piece = PIECE + run + ';';
            text.append(Integer.toHexString(piece.length()))
                    .append("\r\n")
                    .append(piece)
                    .append("\r\n");
        }
        return text + "0\r\n\r\n";
    }

    /** Guards against a second run of a request whose server began to answer before it had read the body (review/1). */
    @Test
    void requestIsNotSentAgainOnceItsResponseHasBegun() throws Exception {
        try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> {
            String response = responseOf(beginRun(in), 3);
            ScriptedServer.write(socket, response.substring(0, response.length() - 10));
            in.readNBytes(SHORT_BODY_BYTES);
            ScriptedServer.reset(socket);
        })) {
            Result result = send(server, LONG_BODY_BYTES, TIMEOUT_MS, 0);
            assertEquals(Outcome.RESET, result.outcome());
            assertEquals(1, server.connectionCount());
            assertEquals(1, runs.get());
        }
    }

    /** Guards against a promise that a request has not run whose server had begun to run it, without an answer. */
    @Test
    void requestWhoseHeadWasSentMayHaveBeenExecuted() throws Exception {
        try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> {
            beginRun(in);
            ScriptedServer.reset(socket);
        })) {
            assertEquals(
                    Outcome.RESET, send(server, LONG_BODY_BYTES, TIMEOUT_MS, 0).outcome());
            assertEquals(1, server.connectionCount());
        }
    }

    /** Guards against a promise that a request has not run whose server was still reading its body at the timeout. */
    @Test
    void requestWhoseHeadWasSentMayHaveBeenExecutedAtItsTimeout() throws Exception {
        try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> beginRun(in))) {
            assertEquals(
                    Outcome.TIMED_OUT,
                    send(server, LONG_BODY_BYTES, SHORT_TIMEOUT_MS, 0).outcome());
        }
    }

    /** Guards against the loss of a response that has arrived before the failure of the write is noticed. */
    @Test
    void completeResponseBeforeAResetIsDelivered() throws Exception {
        for (int i = 1; i <= 20; i++) {
            try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> {
                ScriptedServer.write(socket, responseOf(beginRun(in), 2));
                socket.close();
            })) {
                Result result = send(server, LONG_BODY_BYTES, TIMEOUT_MS, 0);
                assertEquals(Outcome.OK, result.outcome());
                assertEquals((PIECE + i + ';').repeat(2), result.passedOn());
                assertEquals(i, runs.get());
            }
        }
    }

    @Test
    void connectionThatIsResetBeforeTheRequestIsReplaced() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> {
            if (connections.incrementAndGet() == 1) {
                ScriptedServer.reset(socket);
            } else {
                ScriptedServer.write(socket, responseOf(beginRun(in), 1));
            }
        })) {
            Outcome outcome = send(server, SHORT_BODY_BYTES, TIMEOUT_MS, 0).outcome();
            // The request may have been handed to the socket before the reset was noticed.
            assertTrue(outcome == Outcome.OK || outcome == Outcome.RESET, outcome.name());
            assertTrue(runs.get() <= 1);
        }
    }

    /** Guards against a pooled connection that keeps the request for which it was opened, with its body (review/2). */
    @Test
    void connectionThatRestsInThePoolRefersToNoRequest() throws Exception {
        try (ScriptedServer server = ScriptedServer.startWithSmallBuffer((socket, in) -> {
            int run = beginRun(in);
            in.readNBytes(SHORT_BODY_BYTES);
            ScriptedServer.write(socket, responseOf(run, 1));
            in.read();
        })) {
            WeakReference<byte[]> body = sendAndRest(server);
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            while (body.get() != null) {
                assertTrue(System.nanoTime() < endNanos, "the pool keeps the request");
                System.gc();
            }
        }
    }

    private WeakReference<byte[]> sendAndRest(ScriptedServer server) throws Exception {
        byte[] body = new byte[SHORT_BODY_BYTES];
        CompletableFuture<Outcome> ended = new CompletableFuture<>();
        loop.execute(() -> {
            ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint("e");
            endpoint.update((InetSocketAddress) server.socket.getLocalSocketAddress(), true, 8);
            pool.attempt(
                            endpoint,
                            new OutgoingRequest("POST", "/x", new DefaultHttpHeaders(), body),
                            TIMEOUT_MS * 1_000L,
                            () -> true,
                            new Recorder(),
                            (outcome, response) -> {
                                assertTrue(endpoint.isConnected() && body.length > 0);
                                ended.complete(outcome);
                            })
                    .start();
        });
        assertEquals(Outcome.OK, ended.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        return new WeakReference<>(body);
    }

    /** What a server does with one request, as drawn from a seed. */
    private record Script(boolean readsHead, int bodyBytesRead, int responseBytes, String response, Ending ending) {
        private enum Ending {
            RESET,
            CLOSE,
            SILENCE
        }

        static Script draw(SplittableRandom random) {
            String response = random.nextInt(4) == 0
                    ? "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    : responseOf(0, 3);
            return new Script(
                    random.nextInt(5) > 0,
                    random.nextInt(3) * SHORT_BODY_BYTES / 2,
                    random.nextInt(response.length() + 1),
                    response,
                    Ending.values()[random.nextInt(Ending.values().length)]);
        }

        boolean runs() {
            return readsHead && response.startsWith("HTTP/1.1 200");
        }
    }

    private void play(Script script, Socket socket, InputStream in) throws IOException {
        if (script.readsHead()) {
            LoopbackPeers.readHead(in);
            if (script.runs()) {
                runs.incrementAndGet();
            }
            in.readNBytes(script.bodyBytesRead());
            ScriptedServer.write(socket, script.response().substring(0, script.responseBytes()));
        }
        switch (script.ending()) {
            case RESET -> ScriptedServer.reset(socket);
            case CLOSE -> socket.close();
            default -> {}
        }
    }

    /** Draws how far a server reads and answers, how the connection ends, and when the attempt is cancelled or times out. */
    @Test
    void inNoOrderOfEventsIsARequestRunTwiceOrARunDenied() throws Exception {
        for (int seed = 1; seed <= ORDERS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Script script = Script.draw(random);
            int bodyBytes = random.nextInt(3) == 0 ? LONG_BODY_BYTES : SHORT_BODY_BYTES;
            int cancelAfterMs = random.nextInt(4) == 0 ? 1 + random.nextInt(10) : 0;
            runs.set(0);
            try (ScriptedServer server =
                    ScriptedServer.startWithSmallBuffer((socket, in) -> play(script, socket, in))) {
                Result result = send(server, bodyBytes, SHORT_TIMEOUT_MS, cancelAfterMs);
                check("seed " + seed + ": " + script + ", " + bodyBytes + " bytes: " + result, script, result);
            }
        }
    }

    private void check(String order, Script script, Result result) {
        assertTrue(runs.get() <= 1, order);
        assertFalse(result.outcome().neverRan() && runs.get() > 0, order);
        boolean complete =
                script.runs() && script.responseBytes() == script.response().length();
        assertFalse(result.outcome() == Outcome.OK && !complete, order);
        assertTrue((PIECE + "0;").repeat(3).startsWith(result.passedOn()), order);
        assertTrue(!result.started() || script.readsHead(), order);
    }
}
