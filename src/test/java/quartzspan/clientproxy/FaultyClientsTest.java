package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Clients that violate the protocol, and pipelining. */
class FaultyClientsTest extends ClientProxyFixture {
    @Test
    void longestIdleConnectionIsClosedAtTheConnectionLimit() throws Exception {
        // Guards the descriptor limit, and the other clients against hundreds of idle connections.
        start("");
        balancer.onRequest = r -> {};
        List<Client> idleClients = new ArrayList<>();
        Client busy = connectClient().unsafe("busy", 20_000);
        for (int i = 0; i < 70; i++) {
            idleClients.add(connectClient());
        }
        balancer.onRequest = r -> balancer.actions.fail(r.id());
        assertEquals(502, connectClient().unsafe("id1", 20_000).read().status());
        assertTrue(idleClients.get(0).closed(), "the longest idle connection must be closed");
        balancer.actions.fail("busy");
        assertEquals(502, connectClient().unsafe("id2", 20_000).read().status());
        assertEquals(502, busy.read().status(), "a connection with an open request must stay open");
    }

    @Test
    void idleConnectionIsClosedAndIncompleteRequestIsAnswered408() throws Exception {
        start("");
        Client idle = connectClient();
        Client incomplete = connectClient().write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhal");
        assertTrue(idle.closed());
        assertEquals(408, incomplete.read().status());
        assertTrue(incomplete.closed());
    }

    @Test
    void ambiguousRequestIsRejectedAndItsConnectionClosed() throws Exception {
        // Guards against request smuggling: nothing after an ambiguous head may be read as a request.
        start("");
        balancer.onRequest = r -> {
            throw new AssertionError("invalid request reached the load balancer: " + r);
        };
        String post =
                "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n" + "X-Deadline-Ms: 9000\r\n";
        String hidden =
                "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Class: safe\r\n" + "X-Deadline-Ms: 9000\r\n\r\n";
        Map<String, Integer> invalid = new LinkedHashMap<>();
        invalid.put(post + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        invalid.put(post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400);
        invalid.put(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400);
        invalid.put(post + "Transfer-Encoding: xchunked\r\n\r\n", 400);
        invalid.put(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        invalid.put(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
        invalid.put(post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400);
        for (String length : List.of("-1", "+4", "0x4", "4, 4", "4 4", "four", "", "99999999999999999999")) {
            invalid.put(post + "Content-Length: " + length + "\r\n\r\n", 400);
        }
        invalid.put(post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400);
        invalid.put(post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400);
        invalid.put(post + "Content-Length: 65537\r\n\r\n", 413);
        invalid.put(post + "Content-Length: 60000000\r\n\r\n", 413);
        invalid.put(post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + "x".repeat(65537), 413);
        invalid.put(post + "Expect: wonders\r\nContent-Length: 4\r\n\r\n", 417);
        invalid.put(post + "no colon here\r\n\r\n", 400);
        invalid.put(post + "nocolon\r\n\r\n", 400);
        invalid.put(post + "X-Class : unsafe\r\n\r\n", 400);
        invalid.put(post + "X-Key: a\0b\r\n\r\n", 400);
        invalid.put("GET /api HTTP/2.0\r\nHost: h\r\n\r\n", 400);
        invalid.put("GET  HTTP/1.1\r\n\r\n", 400);
        invalid.put("\0\1\2\r\n\r\n", 400);
        invalid.put("X".repeat(10_000), 414);
        invalid.put(post + ("X-Pad: " + "p".repeat(100) + "\r\n").repeat(200), 431);
        for (Map.Entry<String, Integer> invalidRequest : invalid.entrySet()) {
            String what = invalidRequest
                    .getKey()
                    .substring(0, Math.min(250, invalidRequest.getKey().length()));
            Client client = connectClient().write(invalidRequest.getKey() + hidden);
            assertEquals(invalidRequest.getValue(), client.read().status(), what);
            assertTrue(client.closed(), what);
        }
    }

    @Test
    void ambiguousHeadersAreRejected() throws Exception {
        start("");
        balancer.onRequest = r -> {
            throw new AssertionError("invalid request reached the load balancer: " + r);
        };
        String get = "GET /api HTTP/1.1\r\nHost: h\r\n";
        Client client = connectClient();
        for (String headers : List.of(
                "X-Request-Id: a\r\nX-Request-Id: b\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Class: unsafe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: +9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9e3\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 0\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nX-Deadline-Ms: 9\r\n",
                "X-Request-Id: \r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nContent-Length: 4\r\n")) {
            String body = headers.contains("Content-Length") ? "body" : "";
            assertEquals(400, client.write(get + headers + "\r\n" + body).read().status(), headers);
        }
    }

    @Test
    void duplicateOpenRequestIdIsRejectedAndTheFirstRequestIsServed() throws Exception {
        start("");
        CountDownLatch requestReceived = new CountDownLatch(1);
        balancer.onRequest = r -> requestReceived.countDown();
        Client first = connectClient().unsafe("same", 20_000);
        assertTrue(requestReceived.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(400, connectClient().unsafe("same", 20_000).read().status());
        balancer.onRequest = r -> {
            balancer.actions.fail("same");
            balancer.actions.refuse(r.id(), 0);
        };
        assertEquals(503, connectClient().unsafe("other", 20_000).read().status());
        assertEquals(502, first.read().status());
    }

    @Test
    void errorResponseIsSentAfterTheResponsesBeforeIt() throws Exception {
        // An error sent before the response to an open request would be taken for that response.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient()
                .unsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n" + "x".repeat(300_000));
        LoopbackPeers.next(received, "the first request").served("mine");
        assertEquals("mine", client.read().text());
        assertEquals(413, client.read().status());
        assertTrue(client.closed());
    }

    @Test
    void continueResponseIsSentAfterTheResponsesBeforeIt() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient()
                .unsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\n"
                        + "X-Request-Id: b\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n"
                        + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        LoopbackPeers.next(received, "the first request").served("mine");
        assertEquals("mine", client.read().text());
        assertEquals(100, client.read().status());
        client.write("body");
        ReceivedRequest second = LoopbackPeers.next(received, "the second request");
        assertEquals("body", second.message().text());
        second.served("too");
        assertEquals("too", client.read().text());
    }

    @Test
    void manyPipelinedRequestsAreAllAnsweredInOrder() throws Exception {
        // To limit memory, the proxy stops reading and resumes later; no request may be lost meanwhile.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < 300; i++) {
            client.unsafe("id" + i, 20_000);
        }
        for (int i = 0; i < 300; i++) {
            ReceivedRequest request = LoopbackPeers.next(received, "request " + i);
            assertEquals("id" + i, request.message().header("x-request-id"));
            request.served("id" + i);
            assertEquals("id" + i, client.read().text());
        }
    }

    @Test
    void disconnectIsDetectedBehindManyPipelinedRequests() throws Exception {
        Server server = startServer(s -> {});
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < 40; i++) {
            client.unsafe("id" + i, 20_000);
        }
        ReceivedRequest first = LoopbackPeers.next(server.received, "the first request");
        client.close();
        assertEquals("id0", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        first.awaitEnd();
        assertTrue(balancer.disconnects.isEmpty(), "the other requests must not reach the load balancer");
    }

    @Test
    void requestThatExpiresInTheQueueIsNotStarted() throws Exception {
        start("");
        BlockingQueue<String> started = new LinkedBlockingQueue<>();
        balancer.onRequest = r -> started.add(r.id());
        Client client = connectClient().unsafe("a", 400).unsafe("b", 100);
        assertEquals(503, client.read().status());
        Message expired = client.read();
        assertEquals(503, expired.status());
        assertEquals("2", expired.header("retry-after"));
        assertEquals("a", LoopbackPeers.next(started, "the first request"));
        assertTrue(started.isEmpty());
    }

    @Test
    void disconnectCancelsTheAttempt() throws Exception {
        Server server = startServer(s -> {});
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient().unsafe("id1", 20_000);
        ReceivedRequest seen = LoopbackPeers.next(server.received, "the request");
        client.close();
        assertEquals("id1", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt");
        assertEquals(Outcome.CANCELED, end.outcome());
        assertTrue(end.requestDone());
        seen.awaitEnd();
    }

    @Test
    void invalidRequestIsNotForwarded() throws Exception {
        start("");
        balancer.onRequest = r -> {
            throw new AssertionError("invalid request reached the load balancer: " + r);
        };
        String head = "Host: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n";
        assertEquals(400, connectClient().write("nonsense\r\n\r\n").read().status());
        assertEquals(
                404,
                connectClient()
                        .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("POST /api HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status(),
                "request without X-Request-Id");
        String post = "POST /api HTTP/1.1\r\n" + head;
        assertEquals(400, connectClient().write(post + "\r\n").read().status(), "request without X-Deadline-Ms");
        assertEquals(
                400,
                connectClient()
                        .write(post + "X-Deadline-Ms: soon\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("GET /api HTTP/1.1\r\n" + head + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status(),
                "GET in an unsafe class");
        assertEquals(
                400,
                connectClient()
                        .write(post + "X-Deadline-Ms: 9\r\nX-Tenant: ?\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: ?\r\n"
                                + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                413,
                connectClient()
                        .write(post + "X-Deadline-Ms: 9\r\n" + "Content-Length: 65537\r\n\r\n")
                        .read()
                        .status());
        balancer.onRequest = r -> balancer.actions.fail(r.id());
        assertEquals(
                502, connectClient().unsafe("id1", 20_000).read().status(), "the proxy must serve further requests");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        Server server = startServer(s -> s.served(s.message().header("x-request-id")));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient().unsafe("a", 20_000).unsafe("b", 20_000).unsafe("c", 20_000);
        for (String id : List.of("a", "b", "c")) {
            assertEquals(id, client.read().text());
        }
    }
}
