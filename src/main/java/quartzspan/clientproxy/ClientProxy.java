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
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpFraming;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
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
 * A client proxy on sockets: turns what happens on them into the module's events and carries out what it
 * decides. One event-loop thread owns all of it, so nothing here is locked and nothing may block.
 */
public final class ClientProxy implements LoadBalancer.Actions, HttpServer.RequestHandler {
    /** We are done this long before the client's time is up: the way back and a busy core take time. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** What the module is told ends this much earlier still, so that its own last word comes first. */
    private static final long BALANCER_MARGIN_US = 10_000;
    /**
     * Descriptors that the process needs for itself: some 20 for the JVM, selector, listener and watch, and
     * as many that have been accepted or closed but not counted yet. Of the rest clients have one half and
     * connections to hosts, of which a client's request has one at most, the other.
     */
    private static final int RESERVED_SOCKETS = 48;
    /** SIGKILL comes this long after the longest deadline (3 s where that is longer), and no sooner. */
    private static final long KILL_DELAY_MS = 700;

    private static final long MAX_DRAIN_DEADLINE_MS = 3_000;
    /** Whatever is open is answered this long before SIGKILL may come. */
    private static final long KILL_MARGIN_US = 100_000;

    /** How often a bind is tried again while the address is still in use, and the wait between. */
    private static final int MAX_BIND_RETRIES = 40;

    private static final long BIND_RETRY_DELAY_MS = 50;
    /** The agent that pushes lists answers at once and at no cost, unlike discovery that is asked. */
    private static final long AGENT_RETRY_DELAY_MS = 500;
    /**
     * A connection without an open request ends after this long: the protocol allows it after 2 s, and a
     * client that says nothing or never gets to the end of a request is owed an end within 3 s.
     */
    private static final long CLIENT_TIMEOUT_MS = 2_300;
    /** What the agent has counts as told from our first moment: so long its list is waited for at a start. */
    private static final long AGENT_FIRST_LIST_TIMEOUT_MS = 1_000;

    private final ClientProxyConfig config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final ConnectionPool upstream;
    private final Discovery discovery;
    private final HttpServer.ConnectionLimits connectionLimits;
    private final HttpServer httpServer;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Exchange> openRequests = new HashMap<>();
    /** Events for the module and its actions, in order; see {@link #execute}. */
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    private boolean runningTasks;
    private boolean warmingUp;
    private final AtomicBoolean drainStarted = new AtomicBoolean();
    /** Done when a list has come from discovery. */
    private final CountDownLatch listReceived = new CountDownLatch(1);

    private long killAtUs = Long.MAX_VALUE;
    private final BalancerFactory balancerFactory;
    private LoadBalancer balancer;
    private ScheduledFuture<?> balancerTimer;

    /** Makes the module; a test's own can do what the real one never would. */
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
        this.connectionLimits = new HttpServer.ConnectionLimits(
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

    /** A request taken and not yet forgotten. */
    static final class Exchange {
        private final HttpServer.ClientConnection client;
        private final Request request;
        private final RequestClass requestClass;
        private final OutgoingRequest outgoing;
        private final long budgetEndUs;
        /** When it is answered whatever the module does. */
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
     * Starts to serve; returns once it listens.
     *
     * @param beforeListening told of the client proxy before it listens: from then on an end must be a drain
     */
    public static ClientProxy start(ClientProxyConfig config, Consumer<ClientProxy> beforeListening) throws Exception {
        WarmUp.warmUpBalancer(config.settings());
        warmUp(config);
        return start(config, LoadBalancer::create, beforeListening);
    }

    /** Is its own host for a moment, and not ready; ends before the real one begins. */
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
        // The address is ours alone, but what held it last may be a moment in going.
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
        upstream.begin();
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
     * Serves to the end what clients have sent or are about to; to be told twice is once. The future is done when
     * all has ended.
     */
    public Future<?> drain() {
        if (!drainStarted.compareAndSet(false, true)) {
            return group.terminationFuture();
        }
        System.err.println("quartzspan: told to end; finishing what is open");
        long longestMs = config.settings().classes().stream()
                        .mapToLong(RequestClass::deadlineUs)
                        .max()
                        .orElse(0)
                / 1000;
        long leftMs = Math.min(longestMs, MAX_DRAIN_DEADLINE_MS) + KILL_DELAY_MS;
        loop.execute(() -> {
            killAtUs = now() + leftMs * 1000;
            // What is open may have longer than that, and SIGKILL would find it unanswered.
            openRequests.values().forEach(exchange -> setResponseTimeout(exchange, killAtUs - KILL_MARGIN_US));
            httpServer.drain(leftMs, () -> {
                discovery.stop();
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            });
        });
        return group.terminationFuture();
    }

    /**
     * Takes up what may change while it serves: where discovery is. The rest of a configuration holds from
     * start to end.
     */
    public void reload(ClientProxyConfig changed) {
        loop.execute(() -> execute(() -> discovery.changeAddress(changed.discovery())));
    }

    /** The port it listens on. */
    public int port() {
        return httpServer.port();
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public HttpServer.ConnectionLimits limits() {
        return connectionLimits;
    }

    boolean isReady() {
        return discovery.hasEndpoints() && !warmingUp;
    }

    /**
     * Runs an event or an action now, or after the one that is running. The module makes its decisions
     * inside an event call, and a socket may have news inside an action: neither may re-enter the module.
     * A failure ends the one task; the request it was about still has its guard.
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
            // Exceptions thrown often come without a trace.
            System.err.println("quartzspan: " + e
                    + Arrays.stream(e.getStackTrace())
                            .limit(1)
                            .map(at -> " at " + at)
                            .collect(Collectors.joining()));
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    /** Takes a request that is as the protocol says, and answers for it at once if it is not. */
    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
        String path = in.uri().split("\\?", 2)[0];
        if (path.equals("/-/ready")) {
            client.answer(
                    isReady() && !httpServer.draining()
                            ? HttpResponseStatus.OK
                            : HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else if (!path.equals("/api") && !path.startsWith("/api/")) {
            client.answer(HttpResponseStatus.NOT_FOUND);
        } else {
            handleRequest(client, in, body, at);
        }
    }

    private void handleRequest(HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
        HttpHeaders headers = in.headers();
        String id = singleValue(headers, "X-Request-Id");
        Integer classIndex = classIndexes.get(singleValue(headers, "X-Class"));
        long deadlineMs = HttpFraming.number(singleValue(headers, OutgoingRequest.DEADLINE));
        String tenantName = singleValue(headers, "X-Tenant");
        int tenant = config.tenants().indexOf(tenantName);
        boolean knownTenant = !headers.contains("X-Tenant") || config.tenants().isEmpty() || tenant >= 0;
        boolean validId = id != null && !id.isEmpty() && !openRequests.containsKey(id);
        if (!validId
                || classIndex == null
                || deadlineMs < 1
                || !knownTenant
                || config.settings().classes().get(classIndex).effect() != declaredEffect(in, body)) {
            client.answer(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RequestClass requestClass = config.settings().classes().get(classIndex);
        // Nobody waits longer than the class's own patience, so neither does a drain.
        long deadlineUs = Math.min(deadlineMs, requestClass.deadlineUs() / 1000 + 1) * 1000;
        long responseTimeoutUs =
                Math.min(deadlineUs - Math.min(RESPONSE_MARGIN_US, deadlineUs / 4), killAtUs - KILL_MARGIN_US - at);
        long budgetUs = responseTimeoutUs - Math.min(BALANCER_MARGIN_US, deadlineUs / 8) - (now() - at);
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
                Math.max(0, HttpFraming.number(headers.get("X-Cost-Hint"))),
                tenant,
                "1".equals(headers.get("X-Retry")));
        Exchange exchange = new Exchange(client, request, requestClass, OutgoingRequest.of(in, body), now() + budgetUs);
        openRequests.put(id, exchange);
        setResponseTimeout(exchange, at + responseTimeoutUs);
        client.onDisconnect(() -> onClientDisconnect(exchange));
        execute(() -> balancer.onRequest(now(), exchange.request));
    }

    /** What the method and its headers say of a repeat; null if they say nothing that the protocol knows. */
    private static Effect declaredEffect(HttpRequest in, byte[] body) {
        int keys = in.headers().getAll("Idempotency-Key").size();
        boolean printable = in.uri().chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!printable || keys > 1) {
            return null;
        }
        return switch (in.method().name()) {
            case "GET" -> body.length == 0 && keys == 0 ? Effect.RETRYABLE : null;
            case "POST" -> keys == 1 ? Effect.DEDUP : Effect.FRAGILE;
            default -> null;
        };
    }

    /** The value of a header that comes once; null if it is missing or repeated: no reader is to choose. */
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
        reportClientGone(exchange);
    }

    /** Sets the time at which a request is answered whatever the module does, unless that is sooner already. */
    private void setResponseTimeout(Exchange exchange, long atUs) {
        if (!exchange.answered && atUs < exchange.timeoutAtUs) {
            if (exchange.timeout != null) {
                exchange.timeout.cancel(false);
            }
            exchange.timeoutAtUs = atUs;
            exchange.timeout = loop.schedule(() -> onResponseTimeout(exchange), atUs - now(), TimeUnit.MICROSECONDS);
        }
    }

    /** Whatever the module does, the client has an answer in time, and a refusal only if that is true. */
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
            reportClientGone(exchange);
        }
    }

    private void markAnswered(Exchange exchange) {
        exchange.answered = true;
        exchange.timeout.cancel(false);
    }

    private void reportClientGone(Exchange exchange) {
        execute(() -> {
            try {
                balancer.onRequestGone(now(), exchange.request.id());
            } finally {
                removeLater(exchange);
            }
        });
    }

    /** After the actions already decided: they may still name the request. */
    private void removeLater(Exchange exchange) {
        tasks.add(() -> openRequests.remove(exchange.request.id(), exchange));
    }

    // ---- the module's decisions ----------------------------------------------------------------------

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
        long sentAt = now();
        long remainingUs = exchange.budgetEndUs - sentAt;
        boolean ignored = exchange.answered
                || remainingUs <= 0
                || timeoutUs < 0
                || exchange.attempt != null
                || endpoint == null
                || number >= config.settings().limits().maxAttempts();
        if (ignored) {
            reportAttemptEnd(exchange, number, sentAt, Outcome.IGNORED);
            return;
        }
        exchange.attemptNumber = number;
        exchange.attempt = upstream.attempt(
                endpoint,
                exchange.outgoing,
                timeoutUs == 0 ? remainingUs : Math.min(remainingUs, timeoutUs),
                () -> !exchange.answered,
                (outcome, answer) -> {
                    exchange.attempt = null;
                    exchange.mayHaveRun |= !outcome.neverRan();
                    if (outcome == Outcome.OK && !exchange.answered) {
                        markAnswered(exchange);
                        exchange.client.answer(HttpResponseStatus.OK, answer, 0);
                        execute(() -> removeLater(exchange));
                    }
                    reportAttemptEnd(exchange, number, sentAt, outcome);
                });
        exchange.attempt.start();
    }

    private void reportAttemptEnd(Exchange exchange, int number, long sentAt, Outcome outcome) {
        boolean done = exchange.answered;
        execute(() -> balancer.onAttemptEnded(
                now(), new AttemptEnd(exchange.request.id(), number, outcome, done, now() - sentAt)));
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
            long sentAt = now();
            ConnectionPool.Endpoint endpoint = discovery.endpoint(endpointId);
            ConnectionPool.CompletionListener end = (outcome, answer) ->
                    execute(() -> balancer.onProbeEnded(now(), endpointId, outcome, now() - sentAt));
            if (endpoint == null) {
                end.ended(Outcome.IGNORED, null);
            } else {
                upstream.attempt(endpoint, OutgoingRequest.health(), config.dialTimeoutUs(), () -> true, end)
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
