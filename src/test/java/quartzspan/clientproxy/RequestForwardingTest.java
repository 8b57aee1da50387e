package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.FullBacklogServer;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Forwarding of requests and responses, attempts and drains, with peers that follow the protocol. */
class RequestForwardingTest extends ClientProxyFixture {
    @Test
    void a200IsPassedOn() throws Exception {
        assertEquals(Outcome.OK, attemptOnce(s -> s.served("x"), 0).outcome());
    }

    @Test
    void bodiesOfTheMaximumSizeAreForwarded() throws Exception {
        String largestBody = "x".repeat(64 * 1024);
        Server server = startServer(s -> s.served(s.message().text()));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Message answer = connectClient()
                .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                        + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 65536\r\n\r\n" + largestBody)
                .read();
        assertEquals(200, answer.status());
        assertEquals(largestBody, answer.text());
    }

    @Test
    void refusedConnectionIsAConnectError() throws Exception {
        ServerSocket closedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closedPort.close();
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:" + closedPort.getLocalPort(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        balancer.onAttemptEnd = e -> balancer.actions.refuse(e.requestId(), 250_000);
        Message answer = connectClient().unsafe("id1", 20_000).read();
        assertEquals(
                Outcome.CONNECT_ERROR,
                LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                        .outcome());
        assertEquals(503, answer.status());
        assertEquals("0.25", answer.header("retry-after"));
    }

    @Test
    void openConnectionsAreServedAfterADrainBegan() throws Exception {
        // Until SIGKILL, connections must stay open: a client whose connection is closed has no other proxy to use.
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        assertEquals(200, client.unsafe("before", 20_000).read().status());
        proxy.drain();
        for (int i = 0; i < 3; i++) {
            Message answer = client.unsafe("after" + i, 20_000).read();
            assertEquals(200, answer.status());
            assertEquals(null, answer.header("connection"), "the connection must stay open");
        }
    }

    @Test
    void requestsReceivedInADrainAreAnsweredBeforeSigkill() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        AtomicLong budgetUs = new AtomicLong();
        balancer.onRequest = r -> {
            budgetUs.set(r.budgetUs());
            balancer.actions.refuse(r.id(), 0);
        };
        proxy.drain();
        assertEquals(503, connectClient().unsafe("id1", 20_000).read().status());
        assertTrue(budgetUs.get() < 3_600_000, "budget must end before SIGKILL: " + budgetUs);
    }

    @Test
    void requestsOpenAtTheStartOfADrainAreAnsweredBeforeSigkill() throws Exception {
        // Guards classes whose deadline is longer than the time until SIGKILL: 20 s here, against 3.7 s.
        Server server = startServer(s -> {});
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        BlockingQueue<String> receivedRequests = new LinkedBlockingQueue<>();
        balancer.onRequest = r -> {
            if (r.id().equals("out")) {
                balancer.actions.send(r.id(), "s", 0);
            }
            receivedRequests.add(r.id());
        };
        Client held = connectClient().unsafe("held", 20_000);
        Client sent = connectClient().unsafe("out", 20_000);
        LoopbackPeers.next(receivedRequests, "the first request");
        LoopbackPeers.next(receivedRequests, "the second request");
        long drainStartedNs = System.nanoTime();
        proxy.drain();
        assertEquals(503, held.read().status(), "not forwarded, so a 503 is correct");
        assertEquals(504, sent.read().status(), "forwarded, so it may have run");
        long tookMs = (System.nanoTime() - drainStartedNs) / 1_000_000;
        assertTrue(tookMs < 15_000, "responses must precede SIGKILL; they took ms: " + tookMs);
    }

    @Test
    void drainStartedBeforeListeningServesRequestsAndCompletes() throws Exception {
        // A signal may come between listening and the end of the startup; clients that connect then must be served.
        Server server = startServer(s -> s.served("x"));
        List<Future<?>> drainFutures = new ArrayList<>();
        start(
                starting -> drainFutures.add(starting.drain()),
                "",
                LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        assertEquals(200, connectClient().unsafe("id1", 20_000).read().status());
        assertTrue(drainFutures.get(0).await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS), "the drain must complete");
    }

    @Test
    void bindIsRetriedWhileTheAddressIsInUse() throws Exception {
        discovery = closeAfterTest(new LoopbackPeers.Discovery());
        ServerSocket occupied = closeAfterTest(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        ClientProxyConfig config = ClientProxyConfig.parse(LoopbackPeers.config(
                        occupied.getLocalPort(),
                        discovery.server.address(),
                        "",
                        LoopbackPeers.list(1, true, LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service")))
                .getBytes(StandardCharsets.UTF_8));
        Thread releasing = new Thread(() -> {
            try {
                Thread.sleep(300);
                occupied.close();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        proxy = ClientProxy.start(
                config,
                (settings, seed, now, actions) -> {
                    balancer.actions = actions;
                    releasing.start();
                    return balancer;
                },
                starting -> {});
        balancer.onRequest = r -> balancer.actions.refuse(r.id(), 0);
        assertEquals(503, connectClient().unsafe("id1", 20_000).read().status());
    }

    @Test
    void attemptTimeoutIncludesConnecting() throws Exception {
        // Guards against an attempt that hangs because its connection is never established: it has not run.
        try (FullBacklogServer fullBacklog = new FullBacklogServer()) {
            start("", LoopbackPeers.endpoint("s", fullBacklog.address(), "in_service"));
            balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 100_000);
            balancer.onAttemptEnd = e -> balancer.actions.refuse(e.requestId(), 0);
            assertEquals(503, connectClient().unsafe("id1", 20_000).read().status());
            assertEquals(
                    Outcome.CONNECT_ERROR,
                    LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                            .outcome());
        }
    }

    @Test
    void nothingIsSentToAnEndpointDrainedWhileConnecting() throws Exception {
        // A draining endpoint gets no new requests: here the decision precedes the drain and the connection follows it.
        try (FullBacklogServer fullBacklog = new FullBacklogServer()) {
            start("", LoopbackPeers.endpoint("s", fullBacklog.address(), "in_service"));
            ReceivedRequest watch = discovery.awaitWatch();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            balancer.onRequest = r -> {
                balancer.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            balancer.onAttemptEnd = e -> balancer.actions.refuse(e.requestId(), 0);
            Client client = connectClient().unsafe("id1", 20_000);
            LoopbackPeers.next(sent, "the decision");
            Discovery.push(
                    watch,
                    LoopbackPeers.list(2, false, LoopbackPeers.endpoint("s", fullBacklog.address(), "terminating")));
            assertEquals("DELTA [s 1 DRAINING]", LoopbackPeers.next(balancer.discoveryEvents, "the draining endpoint"));
            fullBacklog.acceptAll();
            assertEquals(
                    Outcome.IGNORED,
                    LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                            .outcome());
            assertEquals(503, client.read().status());
            assertTrue(fullBacklog.closedWithoutInput(), "nothing must be sent");
        }
    }

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        String body = "\0\r\n\u00ff binary";
        Server server = startServer(
                s -> s.answer(200, "Content-Type: a/b\r\n", s.message().text() + "!"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Message answer = connectClient()
                .write("POST /api/x?q=%20a&b HTTP/1.1\r\nHost: origin.svc\r\n"
                        + "X-Request-Id: id1\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Key: k\r\n"
                        + "X-Deadline-Ms: 20000\r\n"
                        + "Idempotency-Key: i-k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .read();
        Message seen = LoopbackPeers.next(server.received, "the request").message();
        assertEquals("POST /api/x?q=%20a&b HTTP/1.1", seen.first());
        assertEquals("id1", seen.header("x-request-id"));
        assertEquals("i-k", seen.header("idempotency-key"));
        assertNull(seen.header("x-hop"), "hop-by-hop headers must not be forwarded");
        assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), seen.body());
        long deadline = Long.parseLong(seen.header("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline < 20_000, "the forwarded deadline must be reduced: " + deadline);
        assertEquals(200, answer.status());
        assertEquals(body + "!", answer.text());
        assertEquals("a/b", answer.header("content-type"));
    }

    @Test
    void connectionsAreReusedAndAStaleOneIsAReset() throws Exception {
        Server server = startServer(s -> {
            if (s.message().header("x-request-id").equals("id2")) {
                s.reset();
            } else {
                s.served("x");
            }
        });
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        balancer.onAttemptEnd = e -> balancer.actions.fail(e.requestId());
        Client client = connectClient();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Thread.sleep(50); // a connection is reused only after a short pause
        assertEquals(502, client.unsafe("id2", 20_000).read().status());
        assertEquals(
                Outcome.OK,
                LoopbackPeers.next(balancer.attemptEnds, "the first end").outcome());
        assertEquals(
                Outcome.RESET,
                LoopbackPeers.next(balancer.attemptEnds, "the second end").outcome());
        assertEquals(1, server.connections.size());
        assertEquals(2, server.received.size(), "each request must be sent exactly once");
    }

    @Test
    void idleConnectionsCloseAfterTheConfiguredTime() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start(",\"connIdleUs\":400000", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        assertEquals(200, connectClient().unsafe("id1", 20_000).read().status());
        LoopbackPeers.next(server.received, "the request").awaitEnd();
    }

    @Test
    void nextAttemptIsSentOnlyAfterThePreviousOneIsClosed() throws Exception {
        // A request has at most one attempt at a time: the first connection must be closed before the second attempt.
        Server unresponsive = startServer(s -> {});
        Server other = startServer(s -> s.served("x"));
        start(
                "",
                LoopbackPeers.endpoint("s", unresponsive.address(), "in_service"),
                LoopbackPeers.endpoint("t", other.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 50_000);
        balancer.onAttemptEnd = e -> {
            if (e.attempt() == 0) {
                balancer.actions.send(e.requestId(), "t", 0);
            }
        };
        assertEquals(200, connectClient().safe("id1", 20_000).read().status());
        LoopbackPeers.next(unresponsive.received, "the first attempt").awaitEnd();
        assertEquals(1, other.received.size());
    }

    @Test
    void secondConcurrentAttemptIsNotSent() throws Exception {
        Server unresponsive = startServer(s -> {});
        Server other = startServer(s -> s.served("x"));
        start(
                "",
                LoopbackPeers.endpoint("s", unresponsive.address(), "in_service"),
                LoopbackPeers.endpoint("t", other.address(), "in_service"));
        balancer.onRequest = r -> {
            balancer.actions.send(r.id(), "s", 0);
            balancer.actions.send(r.id(), "t", 0);
        };
        connectClient().unsafe("id1", 20_000);
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end of the second attempt");
        assertEquals(1, end.attempt());
        assertEquals(Outcome.IGNORED, end.outcome());
        assertEquals(0, other.received.size());
    }

    @Test
    void cancelClosesOnlyTheAttemptWithThatNumber() throws Exception {
        // An attempt that was not sent still has a number, which must not refer to the attempt in progress.
        Server server = startServer(s -> {});
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> {
            balancer.actions.send(r.id(), "s", 0);
            balancer.actions.send(r.id(), "s", 0);
        };
        balancer.onAttemptEnd = e -> {
            if (e.attempt() == 1) {
                balancer.actions.cancel(e.requestId(), 1);
                balancer.actions.cancel(e.requestId(), 0);
            } else {
                balancer.actions.fail(e.requestId());
            }
        };
        assertEquals(502, connectClient().unsafe("id1", 20_000).read().status());
        assertEquals(
                Outcome.IGNORED,
                LoopbackPeers.next(balancer.attemptEnds, "the end of the second attempt")
                        .outcome());
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end of the first attempt");
        assertEquals(0, end.attempt());
        assertEquals(Outcome.CANCELED, end.outcome());
        assertFalse(end.requestDone());
        assertTrue(balancer.attemptEnds.isEmpty());
    }

    @Test
    void clientIsAnsweredByItsDeadlineWithoutABalancerDecision() throws Exception {
        Server server = startServer(s -> {});
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        // Without an attempt a 503 is correct. With one in progress it is correct only for requests that are safe to
        // repeat.
        Message held = connectClient().unsafe("held", 300).read();
        assertEquals(503, held.status());
        assertEquals("2", held.header("retry-after"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        assertEquals(504, connectClient().unsafe("out", 300).read().status());
        assertEquals(503, connectClient().safe("safe", 300).read().status());
    }

    @Test
    void sendAfterTheResponseIsIgnored() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> {
            balancer.actions.refuse(r.id(), 0);
            balancer.actions.send(r.id(), "s", 0);
        };
        assertEquals(503, connectClient().unsafe("id1", 20_000).read().status());
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt");
        assertEquals(Outcome.IGNORED, end.outcome());
        assertTrue(end.requestDone());
        assertEquals(0, server.received.size());
    }

    @Test
    void requestIsAnsweredWhenTheBalancerThrows() throws Exception {
        start("");
        balancer.onRequest = r -> {
            throw new IllegalStateException("simulated defect in the load balancer");
        };
        assertEquals(503, connectClient().unsafe("id1", 300).read().status());
        balancer.onRequest = r -> balancer.actions.fail(r.id());
        assertEquals(502, connectClient().unsafe("id2", 20_000).read().status());
    }

    @Test
    void probeOutcomeIsReported() throws Exception {
        Server server =
                startServer(s -> s.answer(s.message().first().startsWith("GET /-/healthy ") ? 200 : 404, "", ""));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> {
            balancer.actions.probe("s");
            balancer.actions.fail(r.id());
        };
        connectClient().unsafe("id1", 20_000).read();
        assertEquals(Outcome.OK, LoopbackPeers.next(balancer.probeOutcomes, "the probe outcome"));
    }
}
