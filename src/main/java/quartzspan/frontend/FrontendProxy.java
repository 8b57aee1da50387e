package quartzspan.frontend;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.PeriodicTask;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Route;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.http.RequestHandler;
import quartzspan.loadbalancing.RetryBudget;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.GossipMessage;
import quartzspan.transport.Listening;
import quartzspan.transport.MessageCodec.Hello;
import quartzspan.transport.TcpTransport;

/**
 * The proxy on a frontend machine: accepts client requests, looks up their route and tenant in the configuration, and forwards
 * them to the model server that the load balancer selects. All of its state is owned by one event loop.
 */
public final class FrontendProxy implements RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(FrontendProxy.class);
    private static final int TICK_INTERVAL_MS = 100;
    /** File descriptors reserved for files and for connections between the system's own processes. */
    private static final int RESERVED_DESCRIPTORS = 300;
    /** One in so many file descriptors may be a connection that another of the system's processes has opened. */
    private static final int DESCRIPTORS_PER_INTERNAL_CONNECTION = 8;

    private static final int CONNECT_TIMEOUT_US = 400_000;
    /** Idle timeout of the servers; the pool closes idle connections before the servers do. */
    private static final long SERVER_IDLE_TIMEOUT_US = 8_000_000;

    private static final int PEER_IDLE_TIMEOUT_MS = 10_000;
    private static final long EVENT_LOOP_SHUTDOWN_TIMEOUT_MS = 200;
    /** The Retry-After time as a fraction of the route's latency target, before jitter. */
    private static final double RETRY_AFTER_FRACTION = 0.3;

    private static final double RETRY_AFTER_MIN_JITTER = 0.8;
    private static final double RETRY_AFTER_JITTER_RANGE = 0.4;
    /** The Retry-After time while the proxy has no fresh configuration. */
    private static final long NOT_READY_RETRY_AFTER_US = 300_000;

    private final Settings settings;
    private final Clock clock = new Clock();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final FleetView fleet;
    private final TcpTransport transport;
    private final HttpServer httpServer;
    private final HttpServer readinessServer;
    private final ConnectionPool connectionPool;
    private final PrefixCacheIndex prefixCacheIndex = new PrefixCacheIndex();
    private final PrefixCacheRouting prefixCacheRouting;
    private final SplittableRandom random = new SplittableRandom(System.nanoTime());
    private final RequestClassifier classifier = new RequestClassifier(random);
    private final RetryBudget retryBudget = new RetryBudget();
    private final Set<ProxiedRequest> inFlight = new HashSet<>();
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final ShutdownSchedule shutdown;
    private final ProxyMemory memory;
    private boolean ready;
    /** Requests rejected during the shutdown because they might not have ended before the process exits. */
    private int rejectedDuringShutdown;

    private FrontendProxy(Settings settings, List<String> seeds, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.memory = ProxyMemory.divide(
                Runtime.getRuntime().maxMemory(),
                Math.max(ProxyMemory.MIN_CONNECTIONS, (settings.fileDescriptors() - RESERVED_DESCRIPTORS) / 2));
        this.group = group;
        this.loop = loop;
        this.shutdown = new ShutdownSchedule(settings.bounds().gracePeriodMs(), nowMs());
        String internalAddress = Settings.hostAndPort(settings.internalAddress());
        int maxServerConnections =
                Math.max(ProxyMemory.MIN_CONNECTIONS, (settings.fileDescriptors() - RESERVED_DESCRIPTORS) / 3);
        this.connectionPool =
                new ConnectionPool(loop, CONNECT_TIMEOUT_US, SERVER_IDLE_TIMEOUT_US, maxServerConnections);
        this.transport = new TcpTransport(
                loop,
                new Hello(false, internalAddress, "", settings.zone()),
                this::onMessage,
                settings.fileDescriptors() / DESCRIPTORS_PER_INTERNAL_CONNECTION);
        this.fleet = new FleetView(
                settings,
                internalAddress,
                seeds,
                clock::now,
                transport::send,
                connectionPool,
                prefixCacheIndex,
                System.nanoTime());
        this.prefixCacheRouting = new PrefixCacheRouting(fleet.endpoints(), prefixCacheIndex, clock);
        this.httpServer = new HttpServer(this, loop);
        this.readinessServer = new HttpServer(new ReadinessHandler(clock, this::isReady), loop);
    }

    /** Starts a proxy and returns once it listens. It becomes ready when it has a fresh configuration. */
    public static FrontendProxy start(Settings settings) throws Exception {
        return start(settings, settings.internalSeeds());
    }

    /** Starts a proxy that contacts these internal addresses of core machines instead of the settings' seed nodes. */
    public static FrontendProxy start(Settings settings, String... cores) throws Exception {
        return start(settings, List.of(cores));
    }

    private static FrontendProxy start(Settings settings, List<String> seeds) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        FrontendProxy proxy = loop.submit(() -> new FrontendProxy(settings, seeds, group, loop))
                .get();
        Listening.await(proxy.transport.listen(settings.internalAddress()), settings.internalAddress());
        listen(loop, proxy.readinessServer, settings.listenAddress("readiness"));
        listen(loop, proxy.httpServer, settings.listenAddress("frontend"));
        loop.submit(() -> {
                    proxy.connectionPool.startIdleEviction();
                    loop.scheduleWithFixedDelay(
                            new PeriodicTask("frontend proxy tick", proxy::tick),
                            1,
                            TICK_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
                })
                .get();
        LOG.info("proxy {} listens at {}", settings.nodeName(), settings.listenAddress("frontend"));
        LOG.info(
                "at most {} client connections, {} bytes for requests",
                proxy.memory.maxConnections(),
                proxy.memory.bodyBytes());
        return proxy;
    }

    private static void listen(EventLoop loop, HttpServer server, InetSocketAddress address) throws Exception {
        Listening.await(loop.submit(() -> server.listen(address)).get(), address);
    }

    /** Applies changed settings at run time: only the seed nodes are updated. */
    void reload(Settings changed) {
        loop.execute(() -> fleet.setSeeds(changed.internalSeeds()));
    }

    /**
     * Shuts down gracefully: completes the requests in flight, and forwards or rejects those that still arrive. Blocks until the
     * process may exit, at most for the grace period.
     */
    void shutDownGracefully() {
        loop.execute(() -> {
            LOG.info("shutdown requested, {} requests in flight", inFlight.size());
            shutdown.begin(nowMs());
            ready = false;
            httpServer.closeAfterResponses();
            loop.scheduleWithFixedDelay(
                    new PeriodicTask("shutdown", this::continueShutdown),
                    TICK_INTERVAL_MS,
                    TICK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        });
        try {
            shutdownComplete.await(settings.bounds().gracePeriodMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void continueShutdown() {
        long now = nowMs();
        if (shutdown.shouldCloseIdleConnections(now)) {
            httpServer.closeIdle();
        }
        if (shutdownComplete.getCount() > 0 && shutdown.mayExit(now, inFlight.isEmpty() && httpServer.isIdle())) {
            // From here to the process's exit no request may be read: it would get no response.
            httpServer.close();
            LOG.info(
                    "shutdown complete, {} requests rejected meanwhile, {} cut off",
                    rejectedDuringShutdown,
                    inFlight.size());
            shutdownComplete.countDown();
        }
    }

    /** Stops immediately, without waiting for requests in flight. */
    public void stop() {
        group.shutdownGracefully(0, EVENT_LOOP_SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    @Override
    public long now() {
        return clock.now();
    }

    private long nowMs() {
        return clock.now() / 1000;
    }

    ConnectionPool connectionPool() {
        return connectionPool;
    }

    EndpointDirectory endpoints() {
        return fleet.endpoints();
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    PrefixCacheRouting prefixCacheRouting() {
        return prefixCacheRouting;
    }

    PrefixCacheIndex prefixCacheIndex() {
        return prefixCacheIndex;
    }

    /** Called when a request has its final response, or its client has disconnected. */
    void onRequestEnded(ProxiedRequest request) {
        inFlight.remove(request);
    }

    FleetView fleet() {
        return fleet;
    }

    /** Time in microseconds after which a client should retry a rejected request. */
    long retryAfterUs(Route route) {
        double jitter = RETRY_AFTER_MIN_JITTER + RETRY_AFTER_JITTER_RANGE * random.nextDouble();
        return (long) (route.targetLatencyMs() * 1000 * RETRY_AFTER_FRACTION * jitter);
    }

    @Override
    public ConnectionLimits limits() {
        return ClientLimits.of(memory, configuration().limits());
    }

    private Configuration configuration() {
        return fleet.configuration();
    }

    private boolean isReady() {
        return ready && fleet.isConfigurationFresh() && !shutdown.hasBegun();
    }

    private void becomeReadyIfFresh() {
        if (!ready && fleet.isConfigurationFresh() && !shutdown.hasBegun()) {
            ready = true;
            LOG.info("ready, configuration version {}", configuration().version());
        }
    }

    private void tick() {
        long now = nowMs();
        shutdown.onTick(now);
        fleet.onTick();
        transport.closeIdle(PEER_IDLE_TIMEOUT_MS);
        becomeReadyIfFresh();
    }

    private void onMessage(Hello from, Object message) {
        if (message instanceof PrefixCacheUpdate update) {
            onPrefixCacheUpdate(from, update);
        } else if (message instanceof GossipMessage gossipMessage) {
            fleet.onGossip(from.address(), gossipMessage);
            becomeReadyIfFresh();
        }
    }

    private void onPrefixCacheUpdate(Hello from, PrefixCacheUpdate update) {
        boolean snapshotRequired =
                update.kind() != PrefixCacheUpdate.Kind.SNAPSHOT_REQUEST && prefixCacheIndex.apply(nowMs(), update);
        if (snapshotRequired) {
            transport.send(from.address(), PrefixCacheUpdate.snapshotRequest(update.server()));
        }
    }

    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
        if (!fleet.mayHandleRequests()) {
            reject(client, NOT_READY_RETRY_AFTER_US);
            return;
        }
        Configuration configuration = configuration();
        Route route = RequestClassifier.route(configuration, request);
        if (route == null) {
            client.answer(HttpResponseStatus.NOT_FOUND);
            return;
        }
        Tenant tenant = RequestClassifier.tenant(configuration, request);
        if (configuration.hasTenants() && tenant == null && !route.isPublic()) {
            client.answer(HttpResponseStatus.UNAUTHORIZED);
            return;
        }
        if (!RequestClassifier.isNameSendable(tenant)) {
            reject(client, retryAfterUs(route));
            return;
        }
        long deadlineUs = RequestClassifier.deadlineUs(route, request, receivedAtUs);
        if (!shutdown.mayForward(nowMs(), deadlineUs / 1000)) {
            rejectedDuringShutdown++;
            reject(client, retryAfterUs(route));
            return;
        }
        Settings.Bounds bounds = settings.bounds();
        retryBudget.onRequest(
                bounds.retryBudgetRatio(),
                bounds.retryAllowance(),
                fleet.endpoints().proxyCount());
        ProxiedRequest proxied = new ProxiedRequest(
                this,
                client,
                route,
                tenant,
                classifier.placementRequest(route, request, tenant),
                RequestClassifier.outgoingRequest(configuration, request, body, route, tenant),
                deadlineUs,
                RequestClassifier.prompt(request));
        inFlight.add(proxied);
        proxied.start();
    }

    private static void reject(HttpServer.ClientConnection client, long retryAfterUs) {
        client.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, ConnectionPool.Response.EMPTY, retryAfterUs);
    }
}
