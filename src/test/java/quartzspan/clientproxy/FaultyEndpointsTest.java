package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Invalid, late or missing responses of servers, and the attempt outcomes that follow from them. */
class FaultyEndpointsTest extends ClientProxyFixture {
    @Test
    void errorResponseMayHaveRun() throws Exception {
        assertEquals(Outcome.FAILED, attemptOnce(s -> s.answer(500, "", "x"), 0).outcome());
    }

    @Test
    void a503WithoutTheNotRunHeaderMayHaveRun() throws Exception {
        // A 503 without X-Not-Run may come from an intermediary and does not show that the server rejected the request.
        assertEquals(Outcome.FAILED, attemptOnce(s -> s.answer(503, "", ""), 0).outcome());
    }

    @Test
    void a503WithTheNotRunHeaderIsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, attemptOnce(ReceivedRequest::notRun, 0).outcome());
    }

    @Test
    void a504WithTheNotRunHeaderIsKnownNotToHaveRun() throws Exception {
        assertEquals(
                Outcome.QUEUE_FULL,
                attemptOnce(s -> s.answer(504, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void notRunHeaderOnA500IsIgnored() throws Exception {
        assertEquals(
                Outcome.FAILED,
                attemptOnce(s -> s.answer(500, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void resetAfterTheRequestMayHaveRun() throws Exception {
        assertEquals(Outcome.RESET, attemptOnce(ReceivedRequest::reset, 0).outcome());
    }

    @Test
    void truncatedResponseIsAReset() throws Exception {
        assertEquals(
                Outcome.RESET,
                attemptOnce(
                                s -> {
                                    s.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                                    s.reset();
                                },
                                0)
                        .outcome());
    }

    @Test
    void invalidResponsesMayHaveRunAndAreNotPassedOn() throws Exception {
        // Guards against truncated or ambiguous responses: only complete, unambiguous ones may be passed on.
        String ok = "HTTP/1.1 200 OK\r\n";
        List<String> invalidResponses = List.of(
                "\0\1garbage\r\n\r\n",
                "ICY 200 OK\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na",
                "HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\na",
                ok + "no colon here\r\nContent-Length: 1\r\n\r\na",
                ok + "nocolon\r\nContent-Length: 1\r\n\r\na",
                ok + "\r\nno length",
                ok + "Content-Length: -1\r\nContent-Length: 1\r\n\r\na",
                ok + "Content-Length: 1\r\nContent-Length: 3\r\n\r\nabc",
                ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
                ok + "Content-Length: +1\r\n\r\na",
                ok + "Content-Length: 1, 1\r\n\r\na",
                ok + "Content-Length: 3000000000\r\n\r\na",
                ok + "Content-Length: 65537\r\n\r\n",
                ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + "x".repeat(65537) + "\r\n0\r\n\r\n",
                ok + "X-Pad: p\r\n".repeat(2000),
                "HTTP/1.1 101 Switching\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n".repeat(30) + ok + "Content-Length: 1\r\n\r\na",
                "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na");
        Server server = startServer(
                s -> s.write(invalidResponses.get(Integer.parseInt(s.message().header("x-request-id")))));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        balancer.onAttemptEnd = e -> {
            if (!e.requestDone()) {
                balancer.actions.fail(e.requestId());
            }
        };
        Client client = connectClient();
        for (int i = 0; i < invalidResponses.size(); i++) {
            String description = invalidResponses
                    .get(i)
                    .substring(0, Math.min(80, invalidResponses.get(i).length()));
            assertEquals(502, client.unsafe("" + i, 20_000).read().status(), description);
            assertEquals(
                    Outcome.FAILED,
                    LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                            .outcome(),
                    description);
            LoopbackPeers.next(server.received, "the request").awaitEnd();
        }
    }

    @Test
    void validResponsesArePassedOnAndExtraBytesAreDiscarded() throws Exception {
        String a = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        List<String> validResponses = List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + a,
                a + a,
                a + "noise that has no end",
                a + "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Load: %%%\r\nContent-Length: 1\r\nX-Load: {\"\r\n\r\na",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n");
        Server server = startServer(
                s -> s.write(validResponses.get(Integer.parseInt(s.message().header("x-request-id")))));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < validResponses.size(); i++) {
            Message answer = client.unsafe("" + i, 20_000).read();
            assertEquals(200, answer.status(), validResponses.get(i));
            assertEquals("a", answer.text(), validResponses.get(i));
        }
    }

    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        // A stray response would be passed on as that of a later request, and other bytes would corrupt it.
        Server server = startServer(s -> s.served(s.message().header("x-request-id")));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        for (String late : List.of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", "no", "\r\n")) {
            String id = "id" + late.length();
            assertEquals(id, client.unsafe(id, 20_000).read().text());
            ReceivedRequest seen = LoopbackPeers.next(server.received, "the request");
            seen.write(late);
            seen.awaitEnd();
        }
        assertEquals("last", client.unsafe("last", 20_000).read().text());
    }

    @Test
    void missingResponseTimesOutAndClosesTheConnection() throws Exception {
        BlockingQueue<ReceivedRequest> seen = new LinkedBlockingQueue<>();
        assertEquals(Outcome.TIMED_OUT, attemptOnce(seen::add, 50_000).outcome());
        LoopbackPeers.next(seen, "the request").awaitEnd();
    }

    @Test
    void idleLimitIsShortenedAfterAStaleConnection() throws Exception {
        // Guards against repeated resets: after a stale connection, idle connections are reused for a shorter time
        // only.
        Map<Socket, Long> served = new ConcurrentHashMap<>();
        Server server = startServer(s -> {
            Long last = served.put(s.socket(), System.nanoTime());
            if (last != null && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(200)) {
                s.reset();
            } else {
                s.served("x");
            }
        });
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        balancer.onAttemptEnd = e -> {
            if (!e.requestDone()) {
                balancer.actions.fail(e.requestId());
            }
        };
        Client client = connectClient();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Thread.sleep(400);
        assertEquals(502, client.unsafe("id2", 20_000).read().status(), "the first stale connection");
        assertEquals(200, client.unsafe("id3", 20_000).read().status());
        Thread.sleep(800);
        assertEquals(200, client.unsafe("id4", 20_000).read().status(), "the request must use a new connection");
    }

    @Test
    void immediateConnectionResetIsNotAConnectError() throws Exception {
        // Guards against avoiding a healthy server: a few resets of new connections do not mean that it is unreachable.
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread resetting = new Thread(() -> {
                try {
                    while (true) {
                        Socket s = listening.accept();
                        accepted.incrementAndGet();
                        s.setSoLinger(true, 0);
                        s.close();
                    }
                } catch (IOException e) {
                    // closed: the test is over
                }
            });
            resetting.setDaemon(true);
            resetting.start();
            start("", LoopbackPeers.endpoint("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
            balancer.onAttemptEnd = e -> balancer.actions.fail(e.requestId());
            Client client = connectClient();
            for (int i = 0; i < 20; i++) {
                int acceptedBefore = accepted.get();
                assertEquals(502, client.unsafe("id" + i, 20_000).read().status());
                Outcome outcome = LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                        .outcome();
                // The outcome depends on when the reset arrives; only three resets in a row may be a connect error.
                assertTrue(
                        outcome == Outcome.RESET || accepted.get() - acceptedBefore >= 3,
                        outcome + " before the third reset");
            }
        }
    }
}
