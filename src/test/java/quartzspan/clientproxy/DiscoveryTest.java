package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import quartzspan.http.ConnectionPool;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Source;

/** Lists of hosts, watches that fail, and a move to another discovery. */
class DiscoveryTest extends ClientProxyFixture {
    @Test
    void listsReplaceOrAmendAndABrokenWatchIsAFailedCall() throws Exception {
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        assertEquals(
                200,
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        ReceivedRequest watch = discovery.awaitWatch();
        String asked = watch.message().first();
        assertTrue(asked.startsWith("GET /api/targets?watch=1&after=1 "), asked);
        Discovery.push(watch, LoopbackPeers.list(2, true, LoopbackPeers.host("t", "127.0.0.1:2", "in_service")));
        assertEquals("FULL [t 1 READY]", LoopbackPeers.next(module.lists, "the whole list"));
        Discovery.push(watch, "");
        Discovery.push(watch, LoopbackPeers.list(3, false, LoopbackPeers.host("t", "127.0.0.1:2", "terminated")));
        assertEquals("DELTA [t 1 GONE]", LoopbackPeers.next(module.lists, "a change"));
        assertEquals(
                503,
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        Discovery.push(watch, "{\"version\":4,\"servers\":[{\"id\":7");
        assertEquals("failed", LoopbackPeers.next(module.lists, "the bad line's failure"));
        watch.awaitEnd();
        assertEquals(0, discovery.server.received.size(), "asked again only when the module says so");
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.fail(r.id());
        };
        client().unsafe("id1", 20_000).read();
        ReceivedRequest again = discovery.awaitWatch();
        assertTrue(again.message().first().contains("after=3 "), again.message().first());
        again.reset();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the break"));
        assertTrue(module.lists.isEmpty(), "each failure is told once");
    }

    @Test
    void pushedListsAreWatchedUnasked() throws Exception {
        // Guards deployments whose lists are pushed: there the module never asks, and is told of no failure.
        discovery = keep(new Discovery());
        String config =
                LoopbackPeers.config(0, discovery.server.address(), "", "null").replace("subscribe", "automatic");
        proxy = ClientProxy.start(
                ClientProxyConfig.parse(config.getBytes(StandardCharsets.UTF_8)),
                (settings, seed, now, actions) -> module,
                starting -> {});
        ReceivedRequest watch = discovery.awaitWatch();
        assertTrue(
                watch.message().first().startsWith("GET /api/targets?watch=1 "),
                watch.message().first());
        watch.reset();
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(1, true));
        assertEquals("FULL []", LoopbackPeers.next(module.lists, "the list"));
    }

    @Test
    void whereListsArePushedTheFirstIsHeldBeforeItListens() throws Exception {
        // Guards rule 3 at a start: what the agent has counts as told, and the list known may be old.
        Server agent = host(s -> {
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            s.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Discovery.push(s, LoopbackPeers.list(2, true, LoopbackPeers.host("s", "127.0.0.1:1", "terminating")));
        });
        String config = LoopbackPeers.config(
                        0,
                        agent.address(),
                        "",
                        LoopbackPeers.list(1, true, LoopbackPeers.host("s", "127.0.0.1:1", "in_service")))
                .replace("subscribe", "automatic");
        List<String> before = new ArrayList<>();
        proxy = ClientProxy.start(
                ClientProxyConfig.parse(config.getBytes(StandardCharsets.UTF_8)),
                (settings, seed, now, actions) -> module,
                starting -> module.lists.drainTo(before));
        assertEquals(List.of("CACHED [s 1 READY]", "FULL [s 1 DRAINING]"), before);
    }

    @Test
    void aHostThatMovesIsReachedAnewAndOneThatDrainsIsLeft() throws Exception {
        Server before = host(s -> s.served("x"));
        Server after = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", before.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        ReceivedRequest watch = discovery.awaitWatch();
        Client client = client();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Discovery.push(watch, LoopbackPeers.list(2, false, LoopbackPeers.host("s", after.address(), "in_service")));
        LoopbackPeers.next(before.received, "the first request").awaitEnd();
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        Discovery.push(watch, LoopbackPeers.list(3, false, LoopbackPeers.host("s", after.address(), "terminating")));
        LoopbackPeers.next(after.received, "the second request").awaitEnd();
    }

    @Test
    void aSilentWatchIsAFailedCall() throws Exception {
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the silence"));
        watch.awaitEnd();
    }

    private void move(String address) throws Exception {
        proxy.reload(ClientProxyConfig.parse(
                LoopbackPeers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void aMoveToAnotherDiscoveryIsNoFailedCallAndAsksForTheWholeList() throws Exception {
        // Guards the numbering: another discovery counts its versions in its own way.
        Discovery other = keep(new Discovery());
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        Discovery.push(watch, LoopbackPeers.list(7, true, LoopbackPeers.host("s", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [s 1 READY]", LoopbackPeers.next(module.lists, "the first list"));
        move(other.server.address());
        watch.awaitEnd();
        ReceivedRequest moved = other.awaitWatch();
        assertTrue(
                moved.message().first().startsWith("GET /api/targets?watch=1 "),
                moved.message().first());
        assertEquals(
                200,
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status(),
                "the old list holds");
        move(other.server.address());
        Discovery.push(moved, LoopbackPeers.list(2, true, LoopbackPeers.host("t", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [t 1 READY]", LoopbackPeers.next(module.lists, "the other's list, and no failure before"));
        assertEquals(0, other.server.received.size(), "the same address is no move");
    }

    @Test
    void aMoveToWhereNobodyAnswersFailsWithinWhatCountsAsTold() throws Exception {
        Discovery mute = keep(new Discovery());
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        discovery.awaitWatch();
        move(mute.server.address());
        LoopbackPeers.next(mute.server.received, "the watch that is not answered")
                .awaitEnd();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the failure"));
        move(discovery.server.address());
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(9, true));
        assertEquals("FULL []", LoopbackPeers.next(module.lists, "the list after moving back"));
    }

    @Test
    void badListsAreFailedCallsAndTheListHeldStays() throws Exception {
        Server server = host(s -> s.served("x"));
        start("", LoopbackPeers.host("s", server.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.send(r.id(), "s", 0);
        };
        String host = LoopbackPeers.host("s", server.address(), "in_service");
        int ids = 0;
        for (String bad : new String[] {
            "nonsense",
            "[]",
            "{\"version\":9}",
            "{\"full\":true,\"servers\":[]}",
            LoopbackPeers.list(9, true, host).replace("in_service", "asleep"),
            LoopbackPeers.list(9, true, host, "7"),
            LoopbackPeers.list(9, true, host).substring(0, 60)
        }) {
            ReceivedRequest watch = discovery.awaitWatch();
            Discovery.push(watch, bad);
            assertEquals("failed", LoopbackPeers.next(module.lists, bad));
            watch.awaitEnd();
            assertEquals(200, client().unsafe("id" + ids++, 20_000).read().status(), bad);
        }
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(9, true, host, host));
        assertEquals("FULL [s 1 READY, s 1 READY]", LoopbackPeers.next(module.lists, "a host named twice"));
        assertEquals(200, client().unsafe("last", 20_000).read().status());
    }

    private static String indented(String list) {
        return list.replace("{", "{\n  ")
                .replace(",", ",\n  ")
                .replace("[", "[\n ")
                .replace("}", "\n}");
    }

    @Test
    void aListMayComeIndentedOrBesideAnotherOrCutAtAnyByte() throws Exception {
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String braces = LoopbackPeers.host("t}{\\\"]", "127.0.0.1:2", "in_service");
        Discovery.push(
                watch, indented(LoopbackPeers.list(2, true, LoopbackPeers.host("s", "127.0.0.1:1", "in_service"))));
        assertEquals("FULL [s 1 READY]", LoopbackPeers.next(module.lists, "a list over many lines"));
        Discovery.push(
                watch,
                LoopbackPeers.list(3, false, braces) + "  "
                        + indented(
                                LoopbackPeers.list(4, false, LoopbackPeers.host("s", "127.0.0.1:1", "terminating"))));
        assertEquals("DELTA [t}{\"] 1 READY]", LoopbackPeers.next(module.lists, "the first of two in one line"));
        assertEquals("DELTA [s 1 DRAINING]", LoopbackPeers.next(module.lists, "the second"));
        for (char c : (LoopbackPeers.list(5, true, braces).replace(",", ",\n ") + "\n").toCharArray()) {
            watch.write("1\r\n" + c + "\r\n");
        }
        assertEquals("FULL [t}{\"] 1 READY]", LoopbackPeers.next(module.lists, "one that came byte by byte"));
        watch.reset();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the break, and no failure before"));
    }

    @Test
    void aListThatComesALittleAtATimeAndHasNoEndIsSilence() throws Exception {
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        watch.write("1\r\n{\r\n");
        Thread drip = new Thread(() -> {
            while (!watch.ended().isDone()) {
                watch.write("1\r\n \r\n");
                try {
                    watch.ended().get(200, TimeUnit.MILLISECONDS);
                } catch (TimeoutException stillOpen) {
                    // The next byte tells.
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            }
        });
        drip.setDaemon(true);
        drip.start();
        assertEquals("failed", LoopbackPeers.next(module.lists, "the silence"));
        watch.awaitEnd();
        drip.join();
    }

    @Test
    void emptyLinesKeepAWatchThatHasNothingToTell() throws Exception {
        // Longer than silence is borne; the list that comes in the end comes on the same watch.
        start("", LoopbackPeers.host("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        for (int i = 0; i < 12; i++) {
            assertNull(module.lists.poll(500, TimeUnit.MILLISECONDS));
            Discovery.push(watch, "");
        }
        Discovery.push(watch, LoopbackPeers.list(2, true));
        assertEquals("FULL []", LoopbackPeers.next(module.lists, "the list"));
    }

    @Test
    void onceStoppedNothingAsksAgain() throws Exception {
        // Guards the end of a drain: a SIGHUP, or the pause after a failed call, may come after it.
        Discovery old = keep(new Discovery());
        Discovery other = keep(new Discovery());
        ClientProxyConfig config = ClientProxyConfig.parse(
                LoopbackPeers.config(0, old.server.address(), "", "null").getBytes(StandardCharsets.UTF_8));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        keep(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
        EventLoop loop = group.next();
        loop.submit(() -> {
                    quartzspan.clientproxy.Discovery stopped = new quartzspan.clientproxy.Discovery(
                            config,
                            loop,
                            new ConnectionPool(loop, 1, 1, 1),
                            new quartzspan.clientproxy.Discovery.Listener() {
                                @Override
                                public void listed(Source source, List<Endpoint> endpoints) {}

                                @Override
                                public void failed() {}
                            });
                    stopped.stop();
                    stopped.watch();
                    stopped.move(ClientProxyConfig.parse(LoopbackPeers.config(0, other.server.address(), "", "null")
                                    .getBytes(StandardCharsets.UTF_8))
                            .discovery());
                    return null;
                })
                .get();
        // Connections are accepted in the order in which they were made: one of our own comes after any.
        for (Discovery each : List.of(old, other)) {
            keep(new Client(each.server.socket.getLocalPort())).write("GET /last HTTP/1.1\r\n\r\n");
            assertEquals(
                    "GET /last HTTP/1.1",
                    LoopbackPeers.next(each.server.received, "ours").message().first());
            assertEquals(1, each.server.connections.size());
        }
    }
}
