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

/** Clients that leave while their request waits: it is not sent on, whatever it waits for. */
class EndpointDrainingTest extends ClientProxyFixture {
    private final BlockingQueue<String> held = new LinkedBlockingQueue<>();

    /** A host that serves, and a module that sends each request to it but those whose id says to hold them. */
    private Server serving() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> {
            if (r.id().startsWith("held")) {
                held.add(r.id());
            } else {
                module.actions.send(r.id(), "s", 0);
            }
        };
        return host;
    }

    private void onlyTheLastCame(Server host) throws Exception {
        assertEquals(200, client().unsafe("last", 20_000).read().status());
        assertEquals(
                "last", LoopbackPeers.next(host.received, "the last").message().header("x-request-id"));
        assertTrue(host.received.isEmpty());
    }

    @Test
    void whileTheLoopIsBusy() throws Exception {
        // Each request and its client's leaving are both there when the loop comes to look.
        Server host = serving();
        Client kept = client();
        Client reset = client();
        assertEquals(200, kept.unsafe("first", 20_000).read().status());
        assertEquals(200, reset.unsafe("second", 20_000).read().status());
        host.received.clear();
        Client standing = client();
        CountDownLatch goOn = stand(standing, () -> module.onRequest = next -> module.actions.send(next.id(), "s", 0));
        kept.unsafe("on a kept connection", 20_000).close();
        reset.unsafe("reset", 20_000).socket.setSoLinger(true, 0);
        reset.close();
        client().unsafe("in the queue", 20_000).close();
        client().unsafe("one", 20_000).unsafe("behind another", 20_000).close();
        goOn.countDown();
        assertEquals(503, standing.read().status());
        onlyTheLastCame(host);
        assertTrue(module.gone.isEmpty(), "none was begun");
    }

    @Test
    void whileTheModuleHoldsIt() throws Exception {
        Server host = serving();
        Client client = client().unsafe("held", 20_000);
        LoopbackPeers.next(held, "the request");
        client.close();
        assertEquals("held", LoopbackPeers.next(module.gone, "the client's leaving"));
        module.onRequest = r -> {
            module.actions.send("held", "s", 0);
            module.actions.send(r.id(), "s", 0);
        };
        onlyTheLastCame(host);
    }

    @Test
    void behindAnotherRequestOnItsConnection() throws Exception {
        Server host = serving();
        Client client = client().unsafe("held", 20_000).unsafe("behind", 20_000);
        LoopbackPeers.next(held, "the first request");
        client.close();
        assertEquals("held", LoopbackPeers.next(module.gone, "the client's leaving"));
        onlyTheLastCame(host);
    }

    @Test
    void whileItsConnectionComesUpLate() throws Exception {
        // Also where the settings forbid to cancel.
        for (boolean cancels : new boolean[] {true, false}) {
            try (FullBacklogServer deaf = new FullBacklogServer()) {
                module.cancels = cancels;
                start("", LoopbackPeers.host("s", deaf.address(), "in_service"));
                CountDownLatch sent = new CountDownLatch(1);
                module.onRequest = r -> {
                    module.actions.send(r.id(), "s", 0);
                    sent.countDown();
                };
                Client client = client().unsafe("late", 20_000);
                assertTrue(sent.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
                client.close();
                assertEquals("late", LoopbackPeers.next(module.gone, "the client's leaving"));
                if (cancels) {
                    assertEquals(
                            Outcome.CANCELED,
                            LoopbackPeers.next(module.ends, "the end").outcome());
                } else {
                    deaf.acceptAll();
                    assertTrue(deaf.closedWithoutInput(), "nothing was written");
                    assertEquals(
                            Outcome.IGNORED,
                            LoopbackPeers.next(module.ends, "the end").outcome());
                }
                proxy.drain();
            }
        }
    }

    @Test
    void betweenTwoAttempts() throws Exception {
        Server host = serving();
        BlockingQueue<ReceivedRequest> out = new LinkedBlockingQueue<>();
        Server first = host(out::add);
        ReceivedRequest watch = discovery.awaitWatch();
        Discovery.push(
                watch,
                LoopbackPeers.list(
                        2,
                        true,
                        LoopbackPeers.host("s", host.address(), "in_service"),
                        LoopbackPeers.host("t", first.address(), "in_service")));
        LoopbackPeers.next(module.lists, "the list");
        module.onRequest = r -> module.actions.send(r.id(), "t", 0);
        Client client = client().unsafe("twice", 20_000);
        LoopbackPeers.next(out, "the first attempt").notRun();
        AttemptEnd end = LoopbackPeers.next(module.ends, "its end");
        assertEquals(Outcome.QUEUE_FULL, end.outcome());
        client.close();
        assertEquals("twice", LoopbackPeers.next(module.gone, "the client's leaving"));
        module.onRequest = r -> {
            module.actions.send("twice", "s", 0);
            module.actions.send(r.id(), "s", 0);
        };
        onlyTheLastCame(host);
    }

    @Test
    void afterTheLastCallOfADrain() throws Exception {
        // A client that stays tells when the guards are due: the other's leaving is seen before.
        serving();
        client().unsafe("held a", 20_000);
        Client leaves = client().unsafe("held b", 20_000);
        LoopbackPeers.next(held, "the first request");
        LoopbackPeers.next(held, "the second request");
        Client idle = client();
        assertEquals(200, idle.unsafe("idle", 20_000).read().status());
        proxy.drain();
        long told = System.nanoTime();
        String ready = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
        while (idle.write(ready).read().header("connection") == null) {
            Thread.sleep(20);
        }
        assertTrue(idle.closed());
        // Idle ones are closed at the last call, which comes after the first that is sent away.
        try (Client last = client()) {
            assertTrue(last.closed());
        } catch (ConnectException over) {
            // this machine is slow: the last call has been
        }
        leaves.close();
        boolean inTime = System.nanoTime() - told < TimeUnit.MILLISECONDS.toNanos(3_400);
        String gone = LoopbackPeers.next(module.gone, "the client's leaving");
        // Only this machine's being slow excuses it: the guards were due by then.
        assertEquals(inTime ? "held b" : gone, gone);
    }
}
