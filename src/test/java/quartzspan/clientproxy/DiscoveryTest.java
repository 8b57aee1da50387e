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

/** Endpoint lists, failing watches, and changes of the discovery address. */
class DiscoveryTest extends ClientProxyFixture {
    @Test
    void fullAndDeltaListsAreAppliedAndABrokenWatchIsReportedOnce() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        assertEquals(
                200,
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        ReceivedRequest watch = discovery.awaitWatch();
        String requestLine = watch.message().first();
        assertTrue(requestLine.startsWith("GET /api/targets?watch=1&after=1 "), requestLine);
        Discovery.push(watch, LoopbackPeers.list(2, true, LoopbackPeers.endpoint("t", "127.0.0.1:2", "in_service")));
        assertEquals("FULL [t 1 READY]", LoopbackPeers.next(balancer.discoveryEvents, "the full list"));
        Discovery.push(watch, "");
        Discovery.push(watch, LoopbackPeers.list(3, false, LoopbackPeers.endpoint("t", "127.0.0.1:2", "terminated")));
        assertEquals("DELTA [t 1 GONE]", LoopbackPeers.next(balancer.discoveryEvents, "the delta list"));
        assertEquals(
                503,
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        Discovery.push(watch, "{\"version\":4,\"servers\":[{\"id\":7");
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure after the invalid list"));
        watch.awaitEnd();
        assertEquals(
                0, discovery.server.received.size(), "a new watch must be opened only on request of the load balancer");
        balancer.onRequest = r -> {
            balancer.actions.subscribe();
            balancer.actions.fail(r.id());
        };
        connectClient().unsafe("id1", 20_000).read();
        ReceivedRequest secondWatch = discovery.awaitWatch();
        assertTrue(
                secondWatch.message().first().contains("after=3 "),
                secondWatch.message().first());
        secondWatch.reset();
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure after the reset"));
        assertTrue(balancer.discoveryEvents.isEmpty(), "each failure must be reported once");
    }

    @Test
    void automaticModeStartsAndRetriesTheWatchItself() throws Exception {
        // In automatic mode the load balancer neither subscribes nor receives failures, so the proxy opens the watch.
        discovery = closeAfterTest(new Discovery());
        String config =
                LoopbackPeers.config(0, discovery.server.address(), "", "null").replace("subscribe", "automatic");
        proxy = ClientProxy.start(
                ClientProxyConfig.parse(config.getBytes(StandardCharsets.UTF_8)),
                (settings, seed, now, actions) -> balancer,
                starting -> {});
        ReceivedRequest watch = discovery.awaitWatch();
        assertTrue(
                watch.message().first().startsWith("GET /api/targets?watch=1 "),
                watch.message().first());
        watch.reset();
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(1, true));
        assertEquals("FULL []", LoopbackPeers.next(balancer.discoveryEvents, "the list"));
    }

    @Test
    void automaticModeReceivesTheFirstListBeforeListening() throws Exception {
        // The protocol counts the agent's list as received at startup, and the cached list may be outdated: no request
        // may go to an endpoint that is already draining.
        Server agent = startServer(s -> {
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            s.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Discovery.push(s, LoopbackPeers.list(2, true, LoopbackPeers.endpoint("s", "127.0.0.1:1", "terminating")));
        });
        String config = LoopbackPeers.config(
                        0,
                        agent.address(),
                        "",
                        LoopbackPeers.list(1, true, LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service")))
                .replace("subscribe", "automatic");
        List<String> eventsBeforeListening = new ArrayList<>();
        proxy = ClientProxy.start(
                ClientProxyConfig.parse(config.getBytes(StandardCharsets.UTF_8)),
                (settings, seed, now, actions) -> balancer,
                starting -> balancer.discoveryEvents.drainTo(eventsBeforeListening));
        assertEquals(List.of("CACHED [s 1 READY]", "FULL [s 1 DRAINING]"), eventsBeforeListening);
    }

    @Test
    void idleConnectionsCloseWhenAnEndpointChangesAddressOrDrains() throws Exception {
        Server before = startServer(s -> s.served("x"));
        Server after = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", before.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", 0);
        ReceivedRequest watch = discovery.awaitWatch();
        Client client = connectClient();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Discovery.push(watch, LoopbackPeers.list(2, false, LoopbackPeers.endpoint("s", after.address(), "in_service")));
        LoopbackPeers.next(before.received, "the first request").awaitEnd();
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        Discovery.push(
                watch, LoopbackPeers.list(3, false, LoopbackPeers.endpoint("s", after.address(), "terminating")));
        LoopbackPeers.next(after.received, "the second request").awaitEnd();
    }

    @Test
    void watchWithoutDataFailsAfterTheReadTimeout() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure after the read timeout"));
        watch.awaitEnd();
    }

    private void changeDiscovery(String address) throws Exception {
        proxy.reload(ClientProxyConfig.parse(
                LoopbackPeers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void changingTheDiscoveryAddressRequestsAFullListWithoutReportingAFailure() throws Exception {
        // Another discovery service has its own version numbers, so a delta since the old version would be wrong.
        Discovery other = closeAfterTest(new Discovery());
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        Discovery.push(watch, LoopbackPeers.list(7, true, LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [s 1 READY]", LoopbackPeers.next(balancer.discoveryEvents, "the first list"));
        changeDiscovery(other.server.address());
        watch.awaitEnd();
        ReceivedRequest newWatch = other.awaitWatch();
        assertTrue(
                newWatch.message().first().startsWith("GET /api/targets?watch=1 "),
                newWatch.message().first());
        assertEquals(
                200,
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status(),
                "the old list must stay in use");
        changeDiscovery(other.server.address());
        Discovery.push(newWatch, LoopbackPeers.list(2, true, LoopbackPeers.endpoint("t", "127.0.0.1:1", "in_service")));
        assertEquals(
                "FULL [t 1 READY]",
                LoopbackPeers.next(
                        balancer.discoveryEvents, "the list of the new discovery service, with no failure before it"));
        assertEquals(0, other.server.received.size(), "setting the same address must not open a new watch");
    }

    @Test
    void unresponsiveNewDiscoveryAddressFailsTheWatch() throws Exception {
        Discovery unresponsive = closeAfterTest(new Discovery());
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        discovery.awaitWatch();
        changeDiscovery(unresponsive.server.address());
        LoopbackPeers.next(unresponsive.server.received, "the unanswered watch").awaitEnd();
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure"));
        changeDiscovery(discovery.server.address());
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(9, true));
        assertEquals("FULL []", LoopbackPeers.next(balancer.discoveryEvents, "the list after the change back"));
    }

    @Test
    void invalidListFailsTheWatchAndTheCurrentListStays() throws Exception {
        Server server = startServer(s -> s.served("x"));
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> {
            balancer.actions.subscribe();
            balancer.actions.send(r.id(), "s", 0);
        };
        String endpoint = LoopbackPeers.endpoint("s", server.address(), "in_service");
        int ids = 0;
        for (String invalid : new String[] {
            "nonsense",
            "[]",
            "{\"version\":9}",
            "{\"full\":true,\"servers\":[]}",
            LoopbackPeers.list(9, true, endpoint).replace("in_service", "asleep"),
            LoopbackPeers.list(9, true, endpoint, "7"),
            LoopbackPeers.list(9, true, endpoint).substring(0, 60)
        }) {
            ReceivedRequest watch = discovery.awaitWatch();
            Discovery.push(watch, invalid);
            assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, invalid));
            watch.awaitEnd();
            assertEquals(
                    200, connectClient().unsafe("id" + ids++, 20_000).read().status(), invalid);
        }
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(9, true, endpoint, endpoint));
        assertEquals(
                "FULL [s 1 READY, s 1 READY]",
                LoopbackPeers.next(balancer.discoveryEvents, "the list with a duplicate server"));
        assertEquals(200, connectClient().unsafe("last", 20_000).read().status());
    }

    private static String indented(String list) {
        return list.replace("{", "{\n  ")
                .replace(",", ",\n  ")
                .replace("[", "[\n ")
                .replace("}", "\n}");
    }

    @Test
    void listsAreDecodedWhenIndentedConcatenatedOrSplitAtAnyByte() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        String idWithBraces = LoopbackPeers.endpoint("t}{\\\"]", "127.0.0.1:2", "in_service");
        Discovery.push(
                watch, indented(LoopbackPeers.list(2, true, LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"))));
        assertEquals("FULL [s 1 READY]", LoopbackPeers.next(balancer.discoveryEvents, "the list over several lines"));
        Discovery.push(
                watch,
                LoopbackPeers.list(3, false, idWithBraces) + "  "
                        + indented(LoopbackPeers.list(
                                4, false, LoopbackPeers.endpoint("s", "127.0.0.1:1", "terminating"))));
        assertEquals(
                "DELTA [t}{\"] 1 READY]",
                LoopbackPeers.next(balancer.discoveryEvents, "the first of two lists in one line"));
        assertEquals(
                "DELTA [s 1 DRAINING]",
                LoopbackPeers.next(balancer.discoveryEvents, "the second of two lists in one line"));
        for (char c : (LoopbackPeers.list(5, true, idWithBraces).replace(",", ",\n ") + "\n").toCharArray()) {
            watch.write("1\r\n" + c + "\r\n");
        }
        assertEquals(
                "FULL [t}{\"] 1 READY]", LoopbackPeers.next(balancer.discoveryEvents, "the list sent byte by byte"));
        watch.reset();
        assertEquals(
                "failed",
                LoopbackPeers.next(balancer.discoveryEvents, "the failure after the reset, with none before it"));
    }

    @Test
    void watchFailsWhenAListIsSentByteByByteAndNeverCompleted() throws Exception {
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        watch.write("1\r\n{\r\n");
        Thread slowSender = new Thread(() -> {
            while (!watch.ended().isDone()) {
                watch.write("1\r\n \r\n");
                try {
                    watch.ended().get(200, TimeUnit.MILLISECONDS);
                } catch (TimeoutException stillOpen) {
                    // The watch is still open: send another byte.
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            }
        });
        slowSender.setDaemon(true);
        slowSender.start();
        assertEquals("failed", LoopbackPeers.next(balancer.discoveryEvents, "the failure after the read timeout"));
        watch.awaitEnd();
        slowSender.join();
    }

    @Test
    void emptyLinesKeepAnIdleWatchOpen() throws Exception {
        // The empty lines continue for longer than the read timeout; the list arrives on the same watch.
        start("", LoopbackPeers.endpoint("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.awaitWatch();
        for (int i = 0; i < 12; i++) {
            assertNull(balancer.discoveryEvents.poll(500, TimeUnit.MILLISECONDS));
            Discovery.push(watch, "");
        }
        Discovery.push(watch, LoopbackPeers.list(2, true));
        assertEquals("FULL []", LoopbackPeers.next(balancer.discoveryEvents, "the list"));
    }

    @Test
    void stoppedDiscoveryOpensNoWatch() throws Exception {
        // After a drain, a SIGHUP or the retry of a failed watch may still occur and must not open a new watch.
        Discovery old = closeAfterTest(new Discovery());
        Discovery other = closeAfterTest(new Discovery());
        ClientProxyConfig config = ClientProxyConfig.parse(
                LoopbackPeers.config(0, old.server.address(), "", "null").getBytes(StandardCharsets.UTF_8));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        closeAfterTest(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
        EventLoop loop = group.next();
        loop.submit(() -> {
                    quartzspan.clientproxy.Discovery stopped = new quartzspan.clientproxy.Discovery(
                            config,
                            loop,
                            new ConnectionPool(loop, 1, 1, 1),
                            new quartzspan.clientproxy.Discovery.Listener() {
                                @Override
                                public void onList(Source source, List<Endpoint> endpoints) {}

                                @Override
                                public void onWatchFailed() {}
                            });
                    stopped.stop();
                    stopped.watch();
                    stopped.changeAddress(
                            ClientProxyConfig.parse(LoopbackPeers.config(0, other.server.address(), "", "null")
                                            .getBytes(StandardCharsets.UTF_8))
                                    .discovery());
                    return null;
                })
                .get();
        // Connections are accepted in the order they were made: this one comes after any made by the stopped discovery.
        for (Discovery each : List.of(old, other)) {
            closeAfterTest(new Client(each.server.socket.getLocalPort())).write("GET /last HTTP/1.1\r\n\r\n");
            assertEquals(
                    "GET /last HTTP/1.1",
                    LoopbackPeers.next(each.server.received, "the connection of the test")
                            .message()
                            .first());
            assertEquals(1, each.server.connections.size());
        }
    }
}
