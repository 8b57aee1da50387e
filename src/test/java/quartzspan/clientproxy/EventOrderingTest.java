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

/** News that meets a request, an answer or a signal on its way, each forced where two could cross. */
class EventOrderingTest extends ClientProxyFixture {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
    private volatile String late;

    @Test
    void anAnswerThatMeetsTheCancelOfItsAttemptIsOneEnd() throws Exception {
        // The answer is there when the loop, which stood still, carries out the cancel.
        BlockingQueue<ReceivedRequest> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("met", 20_000);
        ReceivedRequest attempt = LoopbackPeers.next(out, "the attempt");
        Client other = client();
        module.onEnd = e -> module.actions.fail(e.requestId());
        CountDownLatch goOn = stand(other, () -> module.actions.cancel("met", 0));
        attempt.served("too late");
        goOn.countDown();
        assertEquals(503, other.read().status());
        assertEquals(502, client.read().status());
        AttemptEnd end = LoopbackPeers.next(module.ends, "the end");
        assertEquals(Outcome.CANCELED, end.outcome());
        attempt.awaitEnd();
        assertTrue(module.ends.isEmpty(), "one end");
        assertEquals(1, host.received.size(), "no second copy");
    }

    @Test
    void anAttemptThatTimesOutAsItsAnswerComesIsOneEnd() throws Exception {
        BlockingQueue<ReceivedRequest> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 300_000);
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        Client client = client().unsafe("met", 20_000);
        ReceivedRequest attempt = LoopbackPeers.next(out, "the attempt");
        Client other = client();
        CountDownLatch goOn = stand(other, () -> {});
        Thread.sleep(400); // the attempt's time runs out while nothing is looked at
        attempt.served("x");
        goOn.countDown();
        int status = client.read().status();
        AttemptEnd end = LoopbackPeers.next(module.ends, "the end");
        assertEquals(end.outcome() == Outcome.OK ? 200 : 502, status, "the end and the answer agree");
        assertTrue(end.outcome() == Outcome.OK || end.outcome() == Outcome.TIMED_OUT, end.toString());
        assertEquals(503, other.read().status());
        assertTrue(module.ends.isEmpty(), "one end");
        assertEquals(1, host.received.size());
    }

    @Test
    void aHostToldToDrainBetweenTheChoiceAndAReusedConnectionGetsNothing() throws Exception {
        // The module chose the host before it was told, and the send is carried out after.
        Server host = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        assertEquals(200, client.unsafe("first", 20_000).read().status());
        module.onEnd = e -> module.actions.refuse(e.requestId(), 0);
        module.onRequest = r -> {
            Discovery.push(watch, LoopbackPeers.list(2, false, LoopbackPeers.host("s", host.address(), "terminating")));
            late = r.id();
        };
        client.unsafe("second", 20_000);
        assertEquals("DELTA [s 1 DRAINING]", LoopbackPeers.next(module.lists, "the drain"));
        LoopbackPeers.next(host.received, "the first request").awaitEnd();
        module.onRequest = r -> {
            module.actions.send(late, "s", 0);
            module.actions.refuse(r.id(), 0);
        };
        assertEquals(503, client().unsafe("third", 20_000).read().status());
        assertEquals(503, client.read().status());
        assertEquals(
                Outcome.OK, LoopbackPeers.next(module.ends, "the first end").outcome());
        assertEquals(
                Outcome.IGNORED, LoopbackPeers.next(module.ends, "the second").outcome());
        assertTrue(host.received.isEmpty(), "nothing new");
    }

    @Test
    void aRequestOnceMoreAfterItsFirstCopyWasClosedOnIsTaken() throws Exception {
        // Its first copy was never read: the connection was closed by us as quiet.
        Server host = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client half = client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: same\r\n"
                + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbo");
        assertEquals(408, half.read().status());
        assertTrue(half.closed());
        assertEquals(200, client().unsafe("same", 20_000).read().status());
        assertEquals(1, host.received.size());
    }

    @Test
    void aRequestOnceMoreAfterItsClientLeftRunsOnceAtATime() throws Exception {
        // The first copy is out when its client goes; the second is sent on a connection of its own, after.
        BlockingQueue<ReceivedRequest> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client first = client().safe("same", 20_000);
        ReceivedRequest one = LoopbackPeers.next(out, "the first copy");
        first.close();
        assertEquals("same", LoopbackPeers.next(module.gone, "the client's leaving"));
        one.awaitEnd();
        Client second = client().safe("same", 20_000);
        LoopbackPeers.next(out, "the second copy").served("again");
        assertEquals("again", second.read().text());
        assertEquals(
                Outcome.CANCELED,
                LoopbackPeers.next(module.ends, "the first end").outcome());
        assertEquals(
                Outcome.OK, LoopbackPeers.next(module.ends, "the second end").outcome());
    }

    @Test
    void requestsBehindAnOpenOneAreAnsweredInADrain() throws Exception {
        BlockingQueue<ReceivedRequest> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", LoopbackPeers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("a", 20_000).unsafe("b", 20_000);
        ReceivedRequest first = LoopbackPeers.next(out, "the first");
        proxy.drain();
        assertEquals(503, client().write(READY).read().status(), "the drain has begun");
        first.served("one");
        assertEquals("one", client.read().text());
        LoopbackPeers.next(out, "the second").served("two");
        assertEquals("two", client.read().text());
    }

    @Test
    void aMoveWhileACallConnectsAndOneBackGiveUpTheOldCalls() throws Exception {
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        try (LoopbackPeers.FullBacklogServer deaf = new LoopbackPeers.FullBacklogServer()) {
            move(deaf.address());
            watch.awaitEnd();
            move(discovery.server.address());
            ReceivedRequest back = discovery.awaitWatch();
            Discovery.push(back, LoopbackPeers.list(7, true, LoopbackPeers.host("t", "127.0.0.1:1", "in_service")));
            assertEquals("FULL [t 1 READY]", LoopbackPeers.next(module.lists, "the list, and no failure before"));
        }
    }

    @Test
    void aMoveInADrainIsTakenUp() throws Exception {
        Discovery other = keep(new Discovery());
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        discovery.awaitWatch();
        module.onRequest = r -> {};
        client().unsafe("open", 20_000);
        proxy.drain();
        move(other.server.address());
        Discovery.push(
                other.awaitWatch(), LoopbackPeers.list(2, true, LoopbackPeers.host("t", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [t 1 READY]", LoopbackPeers.next(module.lists, "the other's list"));
    }

    @Test
    void aWatchResetHalfWayThroughAListIsAFailedCallAndNothingOfItHolds() throws Exception {
        Server server = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", server.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String list = LoopbackPeers.list(9, true, LoopbackPeers.host("t", "127.0.0.1:1", "in_service"));
        watch.write("f00\r\n" + list.substring(0, list.length() - 1));
        watch.reset();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the break"));
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.send(r.id(), "s", 0);
        };
        assertEquals(200, client().unsafe("id1", 20_000).read().status(), "the list held stays");
        String asked = discovery.awaitWatch().message().first();
        assertTrue(asked.contains("after=1 "), asked);
    }

    @Test
    void aListToldTwiceChangesNothing() throws Exception {
        Server server = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", server.address(), "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String same = LoopbackPeers.list(2, true, LoopbackPeers.host("s", server.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        Discovery.push(watch, same);
        LoopbackPeers.next(module.lists, "the list");
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Thread.sleep(20); // a connection rests after an answer before it is used again
        Discovery.push(watch, same);
        LoopbackPeers.next(module.lists, "the same list");
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        assertEquals(1, server.connections.size(), "its connections stay");
    }

    @Test
    void aRequestWhoseTimePassedWhileTheProcessStoodStillIsNotWritten() throws Exception {
        // As after a freeze: the connection is up before the timer is looked at, and the deadline is long past.
        try (LoopbackPeers.FullBacklogServer deaf = new LoopbackPeers.FullBacklogServer()) {
            start("", LoopbackPeers.host("s", deaf.address(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 700_000);
            module.onEnd = e -> module.actions.refuse(e.requestId(), 0);
            Client client = client().unsafe("id1", 20_000);
            // Once this is answered, the connection has been asked for.
            client().write(READY).read();
            CountDownLatch thaw = stand(client(), () -> {});
            // The connection comes up when its opening is repeated, after a second.
            deaf.acceptAll();
            thaw.countDown();
            assertTrue(LoopbackPeers.next(module.ends, "the attempt's end")
                    .outcome()
                    .neverRan());
            assertEquals(503, client.read().status());
            assertTrue(deaf.closedWithoutInput(), "nothing was written");
        }
    }

    private void move(String address) throws Exception {
        proxy.reload(ClientProxyConfig.parse(
                LoopbackPeers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }
}
