package quartzspan.clientproxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.LoadBalancer;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Source;

/**
 * Executes the request path a few hundred times before the first client request: code that the JVM has not
 * compiled yet takes ten times the CPU, which is scarce. Only the compiled code is kept.
 *
 * <p>A separate load balancer, all of whose attempts succeed, runs the decision code. The network code runs in a
 * client proxy that is its own only endpoint: a request goes from {@link ConnectionPool} to its {@link HttpServer},
 * is forwarded to itself once more, is rejected there because its id is already open, and the response goes back
 * the same way. So only the address that clients will connect to is listened on or connected to.
 */
final class WarmUp {
    /** The JVM compiles a method after 200 calls, and the methods that it calls a little later. */
    private static final int ITERATIONS = 250;

    private static final int ENDPOINTS = 12;
    private static final long MAX_WAIT_S = 3;
    static final String SELF_ID = "self";

    private WarmUp() {}

    /** Runs requests and their outcomes through a separate load balancer. */
    static void warmUpBalancer(LoadBalancer.Settings settings) {
        ArrayDeque<AttemptEnd> pendingEnds = new ArrayDeque<>();
        long now = 1_000_000;
        LoadBalancer balancer = LoadBalancer.create(settings, 1, now, new IgnoredActions() {
            @Override
            public void send(String requestId, String endpointId, long timeoutUs) {
                pendingEnds.add(new AttemptEnd(requestId, 0, Outcome.OK, true, 20_000));
            }
        });
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint("host" + i, i % 3, 0, i % 2, Availability.READY, 1, 0));
        }
        balancer.onEndpoints(now, Source.FULL, endpoints);
        for (int i = 0; i < ITERATIONS; i++) {
            int classIndex = i % settings.classes().size();
            now += 4_000;
            balancer.onRequest(
                    now,
                    new Request(
                            "id" + i,
                            classIndex,
                            "key" + i % 50,
                            settings.classes().get(classIndex).deadlineUs(),
                            0,
                            0,
                            false));
            for (AttemptEnd end; pendingEnds.size() > 4 && (end = pendingEnds.poll()) != null; ) {
                balancer.onAttemptEnded(now, end);
            }
            balancer.onTimer(now);
        }
    }

    /** An endpoint list with the client proxy itself as the only entry. */
    static EndpointList listOfSelf(InetAddress address, int port) {
        return new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        SELF_ID, new InetSocketAddress(address, port), "", "", 0, Availability.READY, 1, 0)));
    }

    /** A load balancer that forwards each request to the proxy itself and fails it when the attempt ends. */
    static LoadBalancer forwardingBalancer(LoadBalancer.Actions actions) {
        return new LoadBalancer() {
            @Override
            public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {}

            @Override
            public void onDiscoveryFailed(long now) {}

            @Override
            public void onRequest(long now, Request request) {
                actions.send(request.id(), SELF_ID, 0);
            }

            @Override
            public void onRequestGone(long now, String requestId) {}

            @Override
            public void onStreamStarted(long now, String requestId, int attempt) {}

            @Override
            public void onAttemptEnded(long now, AttemptEnd end) {
                actions.fail(end.requestId());
            }

            @Override
            public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {}

            @Override
            public void onTimer(long now) {}
        };
    }

    /** Sends requests through the sockets one after the other, on the event loop except for {@link #await}. */
    static final class SocketWarmUp {
        private final EventLoop loop;
        private final ConnectionPool upstream;
        private final ConnectionPool.Endpoint endpoint;
        private final RequestClass requestClass;
        private final CountDownLatch remaining = new CountDownLatch(ITERATIONS);

        SocketWarmUp(
                EventLoop loop, ConnectionPool upstream, ConnectionPool.Endpoint endpoint, RequestClass requestClass) {
            this.loop = loop;
            this.upstream = upstream;
            this.endpoint = endpoint;
            this.requestClass = requestClass;
        }

        SocketWarmUp sendNext() {
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set("Host", "origin.svc")
                    .set("X-Class", requestClass.name())
                    .set("X-Request-Id", "warmup" + remaining.getCount())
                    .set("X-Key", "key");
            if (requestClass.effect() == Effect.DEDUP) {
                headers.set("Idempotency-Key", "key");
            }
            OutgoingRequest outgoing = new OutgoingRequest(
                    requestClass.effect() == Effect.RETRYABLE ? "GET" : "POST", "/api", headers, new byte[0]);
            upstream.attempt(endpoint, outgoing, requestClass.deadlineUs(), () -> true, (outcome, response) -> {
                        remaining.countDown();
                        if (remaining.getCount() > 0) {
                            loop.execute(this::sendNext);
                        }
                    })
                    .start();
            return this;
        }

        void await() throws InterruptedException {
            remaining.await(MAX_WAIT_S, TimeUnit.SECONDS);
        }
    }

    /** Ignores all decisions. */
    private static class IgnoredActions implements LoadBalancer.Actions {
        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {}

        @Override
        public void refuse(String requestId, long retryAfterUs) {}

        @Override
        public void fail(String requestId) {}

        @Override
        public void cancel(String requestId, int attempt) {}

        @Override
        public void probe(String endpointId) {}

        @Override
        public void subscribe() {}

        @Override
        public void wakeAt(long atUs) {}
    }
}
