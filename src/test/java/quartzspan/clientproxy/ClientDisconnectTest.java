package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.FullBacklogServer;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** A request whose client disconnects while it waits is not forwarded, whatever it waits for. */
class ClientDisconnectTest extends ClientProxyFixture {
    private final BlockingQueue<String> heldRequests = new LinkedBlockingQueue<>();

    /** Starts a server and a proxy that forwards every request to it, except those whose id starts with "held". */
    private Server startWithServer() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> {
            if (r.id().startsWith("held")) {
                heldRequests.add(r.id());
            } else {
                balancer.actions.send(r.id(), "s", 0);
            }
        };
        return server;
    }

    private void assertOnlyNextRequestArrives(Server server) throws Exception {
        assertEquals(200, connectClient().unsafe("last", 20_000).read().status());
        assertEquals(
                "last",
                LoopbackPeers.next(server.received, "the last request")
                        .message()
                        .header("x-request-id"));
        assertTrue(server.received.isEmpty());
    }

    @Test
    void requestIsNotForwardedAfterADisconnectWhileTheEventLoopIsBlocked() throws Exception {
        // When the event loop continues, it finds both the request and the disconnect of each client.
        Server server = startWithServer();
        Client reused = connectClient();
        Client reset = connectClient();
        assertEquals(200, reused.unsafe("first", 20_000).read().status());
        assertEquals(200, reset.unsafe("second", 20_000).read().status());
        server.received.clear();
        Client blocking = connectClient();
        CountDownLatch release =
                blockEventLoop(blocking, () -> balancer.onRequest = next -> balancer.actions.send(next.id(), "s", 0));
        reused.unsafe("on a reused connection", 20_000).close();
        reset.unsafe("reset", 20_000).socket.setSoLinger(true, 0);
        reset.close();
        connectClient().unsafe("in the queue", 20_000).close();
        connectClient().unsafe("one", 20_000).unsafe("behind another", 20_000).close();
        release.countDown();
        assertEquals(503, blocking.read().status());
        assertOnlyNextRequestArrives(server);
        assertTrue(balancer.disconnects.isEmpty(), "no request must reach the load balancer");
    }

    @Test
    void requestIsNotForwardedAfterADisconnectWhileTheBalancerHoldsIt() throws Exception {
        Server server = startWithServer();
        Client client = connectClient().unsafe("held", 20_000);
        LoopbackPeers.next(heldRequests, "the request");
        client.close();
        assertEquals("held", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        balancer.onRequest = r -> {
            balancer.actions.send("held", "s", 0);
            balancer.actions.send(r.id(), "s", 0);
        };
        assertOnlyNextRequestArrives(server);
    }

    @Test
    void requestIsNotForwardedAfterADisconnectWhileQueuedBehindAnother() throws Exception {
        Server server = startWithServer();
        Client client = connectClient().unsafe("held", 20_000).unsafe("behind", 20_000);
        LoopbackPeers.next(heldRequests, "the first request");
        client.close();
        assertEquals("held", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        assertOnlyNextRequestArrives(server);
    }

    @Test
    void requestIsNotForwardedAfterADisconnectDuringConnecting() throws Exception {
        // Also with settings that forbid the cancellation of attempts.
        for (boolean cancelOnDisconnect : new boolean[] {true, false}) {
            try (FullBacklogServer fullBacklog = new FullBacklogServer()) {
                balancer.cancelOnDisconnect = cancelOnDisconnect;
                start("", LoopbackPeers.endpoint("s", fullBacklog.address(), "in_service"));
                CountDownLatch sent = new CountDownLatch(1);
                balancer.onRequest = r -> {
                    balancer.actions.send(r.id(), "s", 0);
                    sent.countDown();
                };
                Client client = connectClient().unsafe("late", 20_000);
                assertTrue(sent.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
                client.close();
                assertEquals("late", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
                if (cancelOnDisconnect) {
                    assertEquals(
                            Outcome.CANCELED,
                            LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                                    .outcome());
                } else {
                    fullBacklog.acceptAll();
                    assertTrue(fullBacklog.closedWithoutInput(), "nothing must be sent");
                    assertEquals(
                            Outcome.IGNORED,
                            LoopbackPeers.next(balancer.attemptEnds, "the end of the attempt")
                                    .outcome());
                }
                proxy.drain();
            }
        }
    }

    @Test
    void requestIsNotRetriedAfterADisconnectBetweenTwoAttempts() throws Exception {
        Server server = startWithServer();
        BlockingQueue<ReceivedRequest> attempts = new LinkedBlockingQueue<>();
        Server rejecting = startServer(attempts::add);
        ReceivedRequest watch = discovery.awaitWatch();
        Discovery.push(
                watch,
                LoopbackPeers.list(
                        2,
                        true,
                        LoopbackPeers.endpoint("s", server.address(), "in_service"),
                        LoopbackPeers.endpoint("t", rejecting.address(), "in_service")));
        LoopbackPeers.next(balancer.discoveryEvents, "the list");
        balancer.onRequest = r -> balancer.actions.send(r.id(), "t", 0);
        Client client = connectClient().unsafe("twice", 20_000);
        LoopbackPeers.next(attempts, "the first attempt").notRun();
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the end of the first attempt");
        assertEquals(Outcome.QUEUE_FULL, end.outcome());
        client.close();
        assertEquals("twice", LoopbackPeers.next(balancer.disconnects, "the disconnect"));
        balancer.onRequest = r -> {
            balancer.actions.send("twice", "s", 0);
            balancer.actions.send(r.id(), "s", 0);
        };
        assertOnlyNextRequestArrives(server);
    }

    @Test
    void disconnectIsReportedAfterIdleConnectionsAreClosedInADrain() throws Exception {
        // One of two held requests is dropped by its client; the disconnect must be reported before the response
        // timeouts of the drain, which would report the other one first.
        startWithServer();
        connectClient().unsafe("held a", 20_000);
        Client leaving = connectClient().unsafe("held b", 20_000);
        LoopbackPeers.next(heldRequests, "the first request");
        LoopbackPeers.next(heldRequests, "the second request");
        Client idle = connectClient();
        assertEquals(200, idle.unsafe("idle", 20_000).read().status());
        proxy.drain();
        long drainStartedNs = System.nanoTime();
        String ready = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
        while (idle.write(ready).read().header("connection") == null) {
            Thread.sleep(20);
        }
        assertTrue(idle.closed());
        // Idle connections are closed together, after the first "Connection: close" response.
        try (Client lateClient = connectClient()) {
            assertTrue(lateClient.closed());
        } catch (ConnectException refused) {
            // slow machine: the proxy has stopped listening
        }
        leaving.close();
        boolean inTime = System.nanoTime() - drainStartedNs < TimeUnit.MILLISECONDS.toNanos(3_400);
        String disconnected = LoopbackPeers.next(balancer.disconnects, "the disconnect");
        // Another order is acceptable only on a slow machine, after the response timeouts.
        assertEquals(inTime ? "held b" : disconnected, disconnected);
    }
}
