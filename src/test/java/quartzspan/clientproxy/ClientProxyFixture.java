package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;
import quartzspan.loadbalancing.LoadBalancer;
import quartzspan.loadbalancing.LoadBalancer.Actions;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.Source;

/** Runs a client proxy on real sockets with a scripted load balancer, so that each outcome can be tested alone. */
abstract class ClientProxyFixture {
    final List<AutoCloseable> resources = new ArrayList<>();
    final ScriptedBalancer balancer = new ScriptedBalancer();
    ClientProxy proxy;
    Discovery discovery;

    /** A load balancer that records events; a test sets its reaction to a request and to the end of an attempt. */
    static final class ScriptedBalancer implements LoadBalancer {
        final BlockingQueue<AttemptEnd> attemptEnds = new LinkedBlockingQueue<>();
        final BlockingQueue<String> discoveryEvents = new LinkedBlockingQueue<>();
        final BlockingQueue<String> disconnects = new LinkedBlockingQueue<>();
        final BlockingQueue<Outcome> probeOutcomes = new LinkedBlockingQueue<>();
        volatile Consumer<Request> onRequest = r -> {};
        volatile Consumer<AttemptEnd> onAttemptEnd = e -> {};
        volatile boolean cancelOnDisconnect = true;
        volatile Actions actions;

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            discoveryEvents.add(source + " "
                    + endpoints.stream()
                            .map(e -> e.id() + " " + e.zone() + " " + e.availability())
                            .toList());
        }

        @Override
        public void onDiscoveryFailed(long now) {
            discoveryEvents.add("failed");
        }

        @Override
        public void onRequest(long now, Request request) {
            onRequest.accept(request);
        }

        @Override
        public void onRequestGone(long now, String requestId) {
            disconnects.add(requestId);
            if (cancelOnDisconnect) {
                actions.cancel(requestId, 0);
            }
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {}

        @Override
        public void onAttemptEnded(long now, AttemptEnd end) {
            attemptEnds.add(end);
            onAttemptEnd.accept(end);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {
            probeOutcomes.add(outcome);
        }

        @Override
        public void onTimer(long now) {}
    }

    void start(String limits, String... endpoints) throws Exception {
        start(starting -> {}, limits, endpoints);
    }

    void start(Consumer<ClientProxy> beforeListening, String limits, String... endpoints) throws Exception {
        discovery = closeAfterTest(new Discovery());
        String known = LoopbackPeers.list(1, true, endpoints);
        ClientProxyConfig config =
                ClientProxyConfig.parse(LoopbackPeers.config(0, discovery.server.address(), limits, known)
                        .getBytes(StandardCharsets.UTF_8));
        proxy = ClientProxy.start(
                config,
                (settings, seed, now, actions) -> {
                    balancer.actions = actions;
                    actions.subscribe();
                    return balancer;
                },
                beforeListening);
        assertTrue(
                LoopbackPeers.next(balancer.discoveryEvents, "the cached list").startsWith("CACHED"));
    }

    Server startServer(Consumer<ReceivedRequest> script) throws Exception {
        return closeAfterTest(new Server(script));
    }

    Client connectClient() throws Exception {
        return closeAfterTest(new Client(proxy.port()));
    }

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    @AfterEach
    void closeResources() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        if (proxy != null) {
            proxy.drain();
        }
    }

    /** Blocks the event loop in a request of this client until the returned latch is opened; then runs the action. */
    CountDownLatch blockEventLoop(Client client, Runnable afterRelease) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        balancer.onRequest = r -> {
            blocked.countDown();
            try {
                assertTrue(release.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            afterRelease.run();
            balancer.actions.refuse(r.id(), 0);
        };
        client.unsafe("blocking", 20_000);
        assertTrue(blocked.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        return release;
    }

    /** Sends one request to a server with this script, in one attempt; returns the end of the attempt. */
    AttemptEnd attemptOnce(Consumer<ReceivedRequest> script, long timeoutUs) throws Exception {
        Server server = startServer(script);
        start("", LoopbackPeers.endpoint("s", server.address(), "in_service"));
        balancer.onRequest = r -> balancer.actions.send(r.id(), "s", timeoutUs);
        balancer.onAttemptEnd = e -> balancer.actions.fail(e.requestId());
        Client client = connectClient().unsafe("id1", 20_000);
        AttemptEnd end = LoopbackPeers.next(balancer.attemptEnds, "the attempt's end");
        int status = client.read().status();
        assertEquals(end.outcome() == Outcome.OK ? 200 : 502, status);
        assertEquals(end.outcome() == Outcome.OK, end.requestDone());
        assertEquals(1, server.received.size(), "the request must be sent exactly once");
        return end;
    }
}
