package quartzspan.clientproxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.BindException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpFraming;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
import quartzspan.http.RequestHandler;
import quartzspan.loadbalancing.LoadBalancer;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.DedupScope;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Source;

/**
 * The network side of the client proxy: reports socket events to the {@link LoadBalancer} and carries out its
 * decisions. A single event-loop thread owns all state, so there is no locking and nothing may block.
 */
public final class ClientProxy implements LoadBalancer.Actions, RequestHandler {
    /** The response is sent this long before the client's deadline, to cover transit and a busy CPU. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** The load balancer's budget ends this much earlier, so that its decision precedes the response timeout. */
    private static final long BALANCER_MARGIN_US = 10_000;
    /**
     * Descriptors that the process itself needs: about 20 for the JVM, selector, listener and watch, and as many
     * for connections that are accepted or closed but not counted yet. Client connections get one half of the
     * rest and endpoint connections the other; a client request uses at most one of these at a time.
     */
    private static final int RESERVED_SOCKETS = 48;
    /** SIGKILL is sent no sooner than this long after the longest deadline, which counts as 3 s at most. */
    private static final long KILL_DELAY_MS = 700;

    private static final long MAX_DRAIN_DEADLINE_MS = 3_000;
    /** All open requests are answered this long before the earliest possible SIGKILL. */
    private static final long KILL_MARGIN_US = 100_000;

    /** Retries of a bind while the address is in use. */
    private static final int MAX_BIND_RETRIES = 40;

    private static final long BIND_RETRY_DELAY_MS = 50;
    /** In automatic mode an agent pushes the lists; it responds at once and at no cost, unlike the discovery service. */
    private static final long AGENT_RETRY_DELAY_MS = 500;
    /**
     * A connection without an open request is closed after this time. The protocol allows that after 2 s and
     * requires it within 3 s for a client that sends nothing or never completes a request.
     */
    private static final long CLIENT_TIMEOUT_MS = 2_300;
    /**
     * Time that startup waits for the agent's first list. The protocol counts the agent's data as received from
     * the start of the process.
     */
    private static final long AGENT_FIRST_LIST_TIMEOUT_MS = 1_000;

    private final ClientProxyConfig config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final ConnectionPool upstream;
    private final Discovery discovery;
    private final ConnectionLimits connectionLimits;
    private final HttpServer httpServer;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Exchange> openRequests = new HashMap<>();
    /** Pending load balancer events and actions, in order; see {@link #execute}. */
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    private boolean runningTasks;
    private boolean warmingUp;
    private final AtomicBoolean drainStarted = new AtomicBoolean();
    /** Counted down when discovery has delivered a list. */
    private final CountDownLatch listReceived = new CountDownLatch(1);

    private long killAtUs = Long.MAX_VALUE;
    private final BalancerFactory balancerFactory;
    private LoadBalancer balancer;
    private ScheduledFuture<?> balancerTimer;

    /** Creates the load balancer; tests pass in a scripted one. */
    interface BalancerFactory {
        LoadBalancer create(LoadBalancer.Settings settings, long seed, long now, LoadBalancer.Actions actions);
    }

    private ClientProxy(ClientProxyConfig config, BalancerFactory balancerFactory, EventLoopGroup group) {
        this.config = config;
        this.balancerFactory = balancerFactory;
        this.group = group;
        this.loop = group.next();
        int maxConnections = Math.max(1, (config.maxSockets() - RESERVED_SOCKETS) / 2);
        this.upstream = new ConnectionPool(
                loop, config.dialTimeoutUs(), config.settings().limits().connIdleUs(), maxConnections);
        this.discovery = new Discovery(config, loop, upstream, new Discovery.Listener() {
            @Override
            public void onList(Source source, List<Endpoint> endpoints) {
                execute(() -> {
                    balancer.onEndpoints(now(), source, endpoints);
                    if (source != Source.CACHED) {
                        listReceived.countDown();
                    }
                });
            }

            @Override
            public void onWatchFailed() {
                handleWatchFailure();
            }
        });
        this.connectionLimits = new ConnectionLimits(
                maxConnections,
                HttpFraming.MAX_HEADER_BYTES,
                HttpFraming.MAX_BODY_BYTES,
                CLIENT_TIMEOUT_MS,
                CLIENT_TIMEOUT_MS);
        this.httpServer = new HttpServer(this, loop);
        List<RequestClass> requestClasses = config.settings().classes();
        for (int i = 0; i < requestClasses.size(); i++) {
            classIndexes.put(requestClasses.get(i).name(), i);
        }
    }

    /** A client request from its acceptance until its removal from {@link #openRequests}. */
    static final class Exchange {
        private final HttpServer.ClientConnection client;
        private final Request request;
        private final RequestClass requestClass;
        private final OutgoingRequest outgoing;
        private final long budgetEndUs;
        /** The time at which the request is answered even without a decision of the load balancer. */
        private long timeoutAtUs = Long.MAX_VALUE;

        private ScheduledFuture<?> timeout;
        private ConnectionPool.Attempt attempt;
        private int attemptNumber;
        private int attemptCount;
        private boolean mayHaveRun;
        private boolean answered;

        Exchange(
                HttpServer.ClientConnection client,
                Request request,
                RequestClass requestClass,
                OutgoingRequest outgoing,
                long budgetEndUs) {
            this.client = client;
            this.request = request;
            this.requestClass = requestClass;
            this.outgoing = outgoing;
            this.budgetEndUs = budgetEndUs;
        }
    }

    /**
     * Starts a client proxy; returns once it listens.
     *
     * @param beforeListening receives the client proxy before it listens; from then on it must be shut down by
     *     {@link #drain}
     */
    public static ClientProxy start(ClientProxyConfig config, Consumer<ClientProxy> beforeListening) throws Exception {
        WarmUp.warmUpBalancer(config.settings());
        warmUp(config);
        return start(config, LoadBalancer::create, beforeListening);
    }

    /** Runs a temporary client proxy that is its own endpoint and not ready; it ends before the real one starts. */
    private static void warmUp(ClientProxyConfig config) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            ClientProxy proxy = new ClientProxy(config, null, group);
            proxy.warmingUp = true;
            proxy.balancer = WarmUp.forwardingBalancer(proxy);
            proxy.listen();
            proxy.loop
                    .submit(() -> {
                        proxy.discovery.applyList(
                                WarmUp.listOfSelf(config.listen().getAddress(), proxy.port()), Source.FULL);
                        return new WarmUp.SocketWarmUp(
                                        proxy.loop,
                                        proxy.upstream,
                                        proxy.discovery.endpoint(WarmUp.SELF_ID),
                                        config.settings().classes().get(0))
                                .sendNext();
                    })
                    .get()
                    .await();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    static ClientProxy start(
            ClientProxyConfig config, BalancerFactory balancerFactory, Consumer<ClientProxy> beforeListening)
            throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ClientProxy proxy = new ClientProxy(config, balancerFactory, group);
        try {
            proxy.loop.submit(proxy::initialize).get();
            if (!config.settings().subscribe()) {
                proxy.listReceived.await(AGENT_FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            beforeListening.accept(proxy);
            proxy.listen();
            System.err.println("quartzspan: listening on " + NetUtil.toSocketAddressString(config.listen()));
            return proxy;
        } catch (Exception e) {
            proxy.drainStarted.set(true);
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private void listen() throws Exception {
        ChannelFuture bindResult =
                loop.submit(() -> httpServer.listen(config.listen())).get().await();
        // No other service uses the address, but a predecessor may need a moment to release it.
        for (int i = 0; i < MAX_BIND_RETRIES && bindResult.cause() instanceof BindException; i++) {
            Thread.sleep(BIND_RETRY_DELAY_MS);
            bindResult =
                    loop.submit(() -> httpServer.bind(config.listen())).get().await();
        }
        if (!bindResult.isSuccess()) {
            throw new IOException("can't listen on " + NetUtil.toSocketAddressString(config.listen()) + ": "
                    + bindResult.cause().getMessage());
        }
    }

    private void initialize() {
        upstream.startIdleEviction();
        balancer = balancerFactory.create(config.settings(), config.seed(), now(), this);
        if (config.cachedList() != null) {
            discovery.applyList(config.cachedList(), Source.CACHED);
        }
        if (!config.settings().subscribe()) {
            discovery.watch();
        }
        runTasks();
    }

    /**
     * Starts a graceful shutdown: serves the requests that clients have sent or are about to send. Further calls
     * have no effect. The future completes when the event loop has terminated.
     */
    public Future<?> drain() {
        if (!drainStarted.compareAndSet(false, true)) {
            return group.terminationFuture();
        }
        System.err.println("quartzspan: shutdown requested; finishing open requests");
        long longestMs = config.settings().classes().stream()
                        .mapToLong(RequestClass::deadlineUs)
                        .max()
                        .orElse(0)
                / 1000;
        long remainingMs = Math.min(longestMs, MAX_DRAIN_DEADLINE_MS) + KILL_DELAY_MS;
        loop.execute(() -> {
            killAtUs = now() + remainingMs * 1000;
            // Open requests may have later deadlines; SIGKILL would leave them unanswered.
            openRequests.values().forEach(exchange -> setResponseTimeout(exchange, killAtUs - KILL_MARGIN_US));
            httpServer.drain(remainingMs, () -> {
                discovery.stop();
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            });
        });
        return group.terminationFuture();
    }

    /**
     * Applies the only setting that can change at run time: the address of discovery. Changes of other settings
     * require a restart.
     */
    public void reload(ClientProxyConfig changed) {
        loop.execute(() -> execute(() -> discovery.changeAddress(changed.discovery())));
    }

    /** The port that the proxy listens on. */
    public int port() {
        return httpServer.port();
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public ConnectionLimits limits() {
        return connectionLimits;
    }

    boolean isReady() {
        return discovery.hasEndpoints() && !warmingUp;
    }

    /**
     * Runs an event or an action now, or after those that are running or queued. The load balancer calls its
     * actions within an event call, and an action can cause further socket events; neither may re-enter the load
     * balancer. An exception ends only its own task; the request concerned still has its response timeout.
     */
    private void execute(Runnable task) {
        tasks.add(task);
        runTasks();
    }

    private void runTasks() {
        if (runningTasks) {
            return;
        }
        runningTasks = true;
        try {
            for (Runnable next; (next = tasks.poll()) != null; ) {
                runTask(next);
            }
        } finally {
            runningTasks = false;
        }
    }

    private static void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | LinkageError e) {
            // The JVM may omit the stack trace of an exception that is thrown often.
            System.err.println("quartzspan: " + e
                    + Arrays.stream(e.getStackTrace())
                            .limit(1)
                            .map(frame -> " at " + frame)
                            .collect(Collectors.joining()));
        }
    }

    /** Accepts a valid request; answers an invalid one at once. */
    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest httpRequest, byte[] body, long receivedAtUs) {
        String path = httpRequest.uri().split("\\?", 2)[0];
        if (path.equals("/-/ready")) {
            client.answer(
                    isReady() && !httpServer.draining()
                            ? HttpResponseStatus.OK
                            : HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else if (!path.equals("/api") && !path.startsWith("/api/")) {
            client.answer(HttpResponseStatus.NOT_FOUND);
        } else {
            handleRequest(client, httpRequest, body, receivedAtUs);
        }
    }

    private void handleRequest(
            HttpServer.ClientConnection client, HttpRequest httpRequest, byte[] body, long receivedAtUs) {
        HttpHeaders headers = httpRequest.headers();
        String id = singleValue(headers, "X-Request-Id");
        Integer classIndex = classIndexes.get(singleValue(headers, "X-Class"));
        long deadlineMs = HttpFraming.parseNumber(singleValue(headers, OutgoingRequest.DEADLINE_HEADER));
        String tenantName = singleValue(headers, "X-Tenant");
        int tenant = config.tenants().indexOf(tenantName);
        boolean knownTenant = !headers.contains("X-Tenant") || config.tenants().isEmpty() || tenant >= 0;
        boolean validId = id != null && !id.isEmpty() && !openRequests.containsKey(id);
        if (!validId
                || classIndex == null
                || deadlineMs < 1
                || !knownTenant
                || config.settings().classes().get(classIndex).effect() != declaredEffect(httpRequest, body)) {
            client.answer(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RequestClass requestClass = config.settings().classes().get(classIndex);
        // The class deadline is an upper limit for any request, so a drain is limited by it as well.
        long deadlineUs = Math.min(deadlineMs, requestClass.deadlineUs() / 1000 + 1) * 1000;
        long responseTimeoutUs = Math.min(
                deadlineUs - Math.min(RESPONSE_MARGIN_US, deadlineUs / 4), killAtUs - KILL_MARGIN_US - receivedAtUs);
        long budgetUs = responseTimeoutUs - Math.min(BALANCER_MARGIN_US, deadlineUs / 8) - (now() - receivedAtUs);
        if (budgetUs <= 0) {
            client.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, ConnectionPool.Response.EMPTY, maxRetryAfterUs());
            return;
        }
        String key = headers.contains("X-Key") ? String.join(",", headers.getAll("X-Key")) : null;
        Request request = new Request(
                id,
                classIndex,
                key,
                budgetUs,
                Math.max(0, HttpFraming.parseNumber(headers.get("X-Cost-Hint"))),
                tenant,
                "1".equals(headers.get("X-Retry")));
        Exchange exchange =
                new Exchange(client, request, requestClass, OutgoingRequest.of(httpRequest, body), now() + budgetUs);
        openRequests.put(id, exchange);
        setResponseTimeout(exchange, receivedAtUs + responseTimeoutUs);
        client.onDisconnect(() -> onClientDisconnect(exchange));
        execute(() -> balancer.onRequest(now(), exchange.request));
    }

    /** The effect of repeating the request according to its method and headers; null if they are invalid. */
    private static Effect declaredEffect(HttpRequest httpRequest, byte[] body) {
        int keys = httpRequest.headers().getAll("Idempotency-Key").size();
        boolean printable = httpRequest.uri().chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!printable || keys > 1) {
            return null;
        }
        return switch (httpRequest.method().name()) {
            case "GET" -> body.length == 0 && keys == 0 ? Effect.RETRYABLE : null;
            case "POST" -> keys == 1 ? Effect.DEDUP : Effect.NON_IDEMPOTENT;
            default -> null;
        };
    }

    /** The value of a header; null if it is missing or repeated, since a repeated header is ambiguous. */
    private static String singleValue(HttpHeaders headers, CharSequence name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0) : null;
    }

    private long maxRetryAfterUs() {
        return config.settings().limits().maxRetryAfterUs();
    }

    /** The client closed its connection. */
    void onClientDisconnect(Exchange exchange) {
        markAnswered(exchange);
        reportRequestGone(exchange);
    }

    /** Sets the response timeout of a request, unless an earlier one is set. */
    private void setResponseTimeout(Exchange exchange, long atUs) {
        if (!exchange.answered && atUs < exchange.timeoutAtUs) {
            if (exchange.timeout != null) {
                exchange.timeout.cancel(false);
            }
            exchange.timeoutAtUs = atUs;
            exchange.timeout = loop.schedule(() -> onResponseTimeout(exchange), atUs - now(), TimeUnit.MICROSECONDS);
        }
    }

    /** Answers a request that is still open: with 503 only if another try is harmless, otherwise with 504. */
    private void onResponseTimeout(Exchange exchange) {
        if (!exchange.answered) {
            markAnswered(exchange);
            boolean safeToRetry = exchange.requestClass.effect() == Effect.RETRYABLE
                    || !exchange.mayHaveRun && exchange.attempt == null
                    || exchange.requestClass.effect() == Effect.DEDUP
                            && exchange.requestClass.scope() == DedupScope.ALL;
            exchange.client.answer(
                    safeToRetry ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.GATEWAY_TIMEOUT,
                    ConnectionPool.Response.EMPTY,
                    safeToRetry ? maxRetryAfterUs() : 0);
            reportRequestGone(exchange);
        }
    }

    private void markAnswered(Exchange exchange) {
        exchange.answered = true;
        exchange.timeout.cancel(false);
    }

    /** Reports that no final answer is needed: the client disconnected, or the response timeout has answered it. */
    private void reportRequestGone(Exchange exchange) {
        execute(() -> {
            try {
                balancer.onRequestGone(now(), exchange.request.id());
            } finally {
                removeLater(exchange);
            }
        });
    }

    /** Removes the request after the queued actions, which may still refer to it. */
    private void removeLater(Exchange exchange) {
        tasks.add(() -> openRequests.remove(exchange.request.id(), exchange));
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        tasks.add(() -> {
            Exchange exchange = openRequests.get(requestId);
            if (exchange != null) {
                startAttempt(exchange, discovery.endpoint(endpointId), timeoutUs);
            }
        });
    }

    private void startAttempt(Exchange exchange, ConnectionPool.Endpoint endpoint, long timeoutUs) {
        int number = exchange.attemptCount++;
        long sentAtUs = now();
        long remainingUs = exchange.budgetEndUs - sentAtUs;
        boolean ignored = exchange.answered
                || remainingUs <= 0
                || timeoutUs < 0
                || exchange.attempt != null
                || endpoint == null
                || number >= config.settings().limits().maxAttempts();
        if (ignored) {
            reportAttemptEnd(exchange, number, sentAtUs, Outcome.IGNORED);
            return;
        }
        exchange.attemptNumber = number;
        exchange.attempt = upstream.attempt(
                endpoint,
                exchange.outgoing,
                timeoutUs == 0 ? remainingUs : Math.min(remainingUs, timeoutUs),
                () -> !exchange.answered,
                (outcome, response) -> {
                    exchange.attempt = null;
                    exchange.mayHaveRun |= !outcome.neverRan();
                    if (outcome == Outcome.OK && !exchange.answered) {
                        markAnswered(exchange);
                        exchange.client.answer(HttpResponseStatus.OK, response, 0);
                        execute(() -> removeLater(exchange));
                    }
                    reportAttemptEnd(exchange, number, sentAtUs, outcome);
                });
        exchange.attempt.start();
    }

    private void reportAttemptEnd(Exchange exchange, int number, long sentAtUs, Outcome outcome) {
        boolean done = exchange.answered;
        execute(() -> balancer.onAttemptEnded(
                now(), new AttemptEnd(exchange.request.id(), number, outcome, done, now() - sentAtUs)));
    }

    @Override
    public void cancel(String requestId, int number) {
        tasks.add(() -> {
            Exchange exchange = openRequests.get(requestId);
            if (exchange != null && exchange.attempt != null && number == exchange.attemptNumber) {
                exchange.attempt.cancel();
            }
        });
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        tasks.add(() -> respond(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs));
    }

    @Override
    public void fail(String requestId) {
        tasks.add(() -> respond(requestId, HttpResponseStatus.BAD_GATEWAY, 0));
    }

    private void respond(String requestId, HttpResponseStatus status, long retryAfterUs) {
        Exchange exchange = openRequests.get(requestId);
        if (exchange != null && !exchange.answered) {
            markAnswered(exchange);
            exchange.client.answer(status, ConnectionPool.Response.EMPTY, retryAfterUs);
            removeLater(exchange);
        }
    }

    @Override
    public void probe(String endpointId) {
        tasks.add(() -> {
            long sentAtUs = now();
            ConnectionPool.Endpoint endpoint = discovery.endpoint(endpointId);
            ConnectionPool.CompletionListener listener = (outcome, response) ->
                    execute(() -> balancer.onProbeEnded(now(), endpointId, outcome, now() - sentAtUs));
            if (endpoint == null) {
                listener.onComplete(Outcome.IGNORED, null);
            } else {
                upstream.attempt(endpoint, OutgoingRequest.healthCheck(), config.dialTimeoutUs(), () -> true, listener)
                        .start();
            }
        });
    }

    @Override
    public void subscribe() {
        tasks.add(discovery::watch);
    }

    private void handleWatchFailure() {
        if (config.settings().subscribe()) {
            execute(() -> balancer.onDiscoveryFailed(now()));
        } else {
            loop.schedule(discovery::watch, AGENT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        if (balancerTimer != null) {
            balancerTimer.cancel(false);
        }
        balancerTimer =
                loop.schedule(() -> execute(() -> balancer.onTimer(now())), atUs - now(), TimeUnit.MICROSECONDS);
    }
}
