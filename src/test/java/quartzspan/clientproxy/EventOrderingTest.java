package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Races between discovery events, requests, responses and signals, each forced into the order under test. */
class EventOrderingTest extends ClientProxyFixture {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
    private volatile String chosenRequestId;

    @Test
    void responseConcurrentWithACancellationEndsTheAttemptOnce() throws Exception {
        // The response has arrived when the event loop, which was blocked, carries out the cancellation.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient().unsafe("racing", 20_000);
        ReceivedRequest attempt = LoopbackPeers.next(received, "the attempt");
        Client other = connectClient();
        balancer.onAttemptEnd = e -> balancer.actions.fail(e.requestId());
        CountDownLatch release = blockEventLoop(other, () -> balancer.actions.cancel("racing", 0));
        attempt.served("too late");
        release.countDown();
        assertEquals(503, other.read().status());
        assertEquals(502, client.read().status());
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end");
        assertEquals(Outcome.CANCELED, end.outcome());
        attempt.awaitEnd();
        assertTrue(balancer.attemptEnds.isEmpty(), "the attempt must end once");
        assertEquals(1, server.received.size(), "the request must be sent once");
    }

    @Test
    void responseConcurrentWithATimeoutEndsTheAttemptOnce() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 300_000);
        balancer.onAttemptEnd = e -> {
            if (!e.requestDone()) {
                balancer.actions.fail(e.requestId());
            }
        };
        Client client = connectClient().unsafe("racing", 20_000);
        ReceivedRequest attempt = LoopbackPeers.next(received, "the attempt");
        Client other = connectClient();
        CountDownLatch release = blockEventLoop(other, () -> {});
        Thread.sleep(400); // the attempt times out while the event loop is blocked
        attempt.served("x");
        release.countDown();
        int status = client.read().status();
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end");
        assertEquals(end.outcome() == Outcome.OK ? 200 : 502, status, "the reported outcome must match the response");
        assertTrue(end.outcome() == Outcome.OK || end.outcome() == Outcome.TIMED_OUT, end.toString());
        assertEquals(503, other.read().status());
        assertTrue(balancer.attemptEnds.isEmpty(), "the attempt must end once");
        assertEquals(1, server.received.size());
    }

    @Test
    void endpointDrainedBetweenSelectionAndSendingReceivesNoRequest() throws Exception {
        // The load balancer selects the endpoint before the drain is listed; the request is sent afterwards.
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        assertEquals(200, client.unsafe("first", 20_000).read().status());
        balancer.onAttemptEnd = e -> balancer.actions.refuse(e.requestId(), 0);
        balancer.onRequest = r -> {
            Discovery.push(
                    watch, LoopbackPeers.list(2, false, LoopbackPeers.endpoint("s", server.address(), "terminating")));
            chosenRequestId = r.id();
        };
        client.unsafe("second", 20_000);
        assertEquals("DELTA [s 1 DRAINING]", LoopbackPeers.next(balancer.discoveryEvents, "the draining endpoint"));
        LoopbackPeers.next(server.received, "the first request").awaitEnd();
        balancer.onRequest = r -> {
            balancer.actions.send(chosenRequestId, "s", 0);
            balancer.actions.refuse(r.id(), 0);
        };
        assertEquals(503, connectClient().unsafe("third", 20_000).read().status());
        assertEquals(503, client.read().status());
        assertEquals(
                Outcome.OK,
                LoopbackPeers.next(balancer.attemptEnds, "the first end").outcome());
        assertEquals(
                Outcome.IGNORED,
                LoopbackPeers.next(balancer.attemptEnds, "the second").outcome());
        assertTrue(server.received.isEmpty(), "no further request must arrive");
    }

    @Test
    void requestIdIsAcceptedAgainAfterItsIncompleteFirstCopyTimedOut() throws Exception {
        // The first copy was never read completely: the proxy closed its connection after the request timeout.
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client incomplete = connectClient()
                .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: same\r\n"
                        + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbo");
        assertEquals(408, incomplete.read().status());
        assertTrue(incomplete.closed());
        assertEquals(200, connectClient().unsafe("same", 20_000).read().status());
        assertEquals(1, server.received.size());
    }

    @Test
    void requestResentAfterADisconnectIsSentOnlyAfterTheFirstAttemptIsClosed() throws Exception {
        // The client disconnects during the first attempt; the second copy is sent on another connection, afterwards.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client first = connectClient().safe("same", 20_000);
        ReceivedRequest firstAttempt = LoopbackPeers.next(received, "the first copy");
        first.close();
        assertEquals("same", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        firstAttempt.awaitEnd();
        Client second = connectClient().safe("same", 20_000);
        LoopbackPeers.next(received, "the second copy").served("again");
        assertEquals("again", second.read().text());
        assertEquals(
                Outcome.CANCELED,
                LoopbackPeers.next(balancer.attemptEnds, "the first end").outcome());
        assertEquals(
                Outcome.OK,
                LoopbackPeers.next(balancer.attemptEnds, "the second end").outcome());
    }

    @Test
    void pipelinedRequestsAreAnsweredInADrain() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server server = startServer(received::add);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient().unsafe("a", 20_000).unsafe("b", 20_000);
        ReceivedRequest first = LoopbackPeers.next(received, "the first");
        proxy.drain();
        assertEquals(
                503, connectClient().write(READY).read().status(), "readiness must be off once the drain has begun");
        first.served("one");
        assertEquals("one", client.read().text());
        LoopbackPeers.next(received, "the second").served("two");
        assertEquals("two", client.read().text());
    }

    @Test
    void changingTheAddressTwiceWhileConnectingClosesThePreviousWatches() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        try (LoopbackPeers.FullBacklogServer fullBacklog = new LoopbackPeers.FullBacklogServer()) {
            changeDiscovery(fullBacklog.address());
            watch.awaitEnd();
            changeDiscovery(discovery.server.address());
            ReceivedRequest newWatch = discovery.awaitWatch();
            Discovery.push(
                    newWatch, LoopbackPeers.list(7, true, LoopbackPeers.endpoint("t", "127.0.0.1:1", "in_service")));
            assertEquals(
                    "FULL [t 1 READY]",
                    LoopbackPeers.next(balancer.discoveryEvents, "the list, with no failure before it"));
        }
    }

    @Test
    void addressChangeInADrainTakesEffect() throws Exception {
        Discovery other = closeAfterTest(new Discovery());
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        discovery.awaitWatch();
        balancer.onRequest = r -> {};
        connectClient().unsafe("open", 20_000);
        proxy.drain();
        changeDiscovery(other.server.address());
        Discovery.push(
                other.awaitWatch(),
                LoopbackPeers.list(2, true, LoopbackPeers.endpoint("t", "127.0.0.1:1", "in_service")));
        assertEquals(
                "FULL [t 1 READY]",
                LoopbackPeers.next(balancer.discoveryEvents, "the list of the new discovery service"));
    }

    @Test
    void watchResetWithinAListFailsAndTheListIsDiscarded() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String list = LoopbackPeers.list(9, true, LoopbackPeers.endpoint("t", "127.0.0.1:1", "in_service"));
        watch.write("f00\r\n" + list.substring(0, list.length() - 1));
        watch.reset();
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure after the reset"));
        balancer.onRequest = r -> {
            balancer.actions.subscribe();
            balancer.actions.send(r.id(), "s", 0);
        };
        assertEquals(200, connectClient().unsafe("id1", 20_000).read().status(), "the current list must stay in use");
        String requestLine = discovery.awaitWatch().message().first();
        assertTrue(requestLine.contains("after=1 "), requestLine);
    }

    @Test
    void repeatedListKeepsConnectionsOpen() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String same = LoopbackPeers.list(2, true, LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        Client client = connectClient();
        Discovery.push(watch, same);
        LoopbackPeers.next(balancer.discoveryEvents, "the list");
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Thread.sleep(20); // a connection is reused only after a short pause
        Discovery.push(watch, same);
        LoopbackPeers.next(balancer.discoveryEvents, "the same list");
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        assertEquals(1, server.connections.size(), "the connection must be reused");
    }

    @Test
    void requestIsNotSentAfterItsTimeoutExpiredInAPause() throws Exception {
        // As after a pause of the process: the connection is established before the expired timeout is processed.
        try (LoopbackPeers.FullBacklogServer fullBacklog = new LoopbackPeers.FullBacklogServer()) {
            start("", LoopbackPeers.endpoint("s", fullBacklog.address(), "in_service"));
            balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 700_000);
            balancer.onAttemptEnd = e -> balancer.actions.refuse(e.requestId(), 0);
            Client client = connectClient().unsafe("id1", 20_000);
            // The response to this request shows that the connection attempt has started.
            connectClient().write(READY).read();
            CountDownLatch release = blockEventLoop(connectClient(), () -> {});
            // The connection is established when the SYN is retransmitted, after 1 s.
            fullBacklog.acceptAll();
            release.countDown();
            assertTrue(LoopbackPeers.next(balancer.attemptEnds, "the attempt's end")
                    .outcome()
                    .neverRan());
            assertEquals(503, client.read().status());
            assertTrue(fullBacklog.closedWithoutInput(), "nothing must be sent");
        }
    }

    private void changeDiscovery(String address) throws Exception {
        proxy.reload(ClientProxyConfig.parse(
                LoopbackPeers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }
}
