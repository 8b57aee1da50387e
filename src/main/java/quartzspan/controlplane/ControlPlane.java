package quartzspan.controlplane;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.PeriodicTask;
import quartzspan.common.Settings;
import quartzspan.configuration.DocumentLimits;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.http.RequestHandler;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.CoreMachine;
import quartzspan.registry.DepartureRecord;
import quartzspan.registry.GossipMessage;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.transport.Listening;
import quartzspan.transport.MessageCodec.Hello;
import quartzspan.transport.TcpTransport;

/**
 * The process of a core machine: replicates the control state with the other core machines, serves the APIs of servers and
 * operators, and sends updates to the proxies. One event loop owns all of its state; only disk I/O runs on a thread of its
 * own.
 */
public final class ControlPlane implements RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
    private static final int TICK_INTERVAL_MS = 50;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_BODY_BYTES = 12 * 1024 * 1024;
    private static final int CLIENT_TIMEOUT_MS = 30_000;
    private static final int MIN_CLIENT_CONNECTIONS = 64;
    /** One in so many file descriptors may be a connection that another of the system's processes has opened. */
    private static final int DESCRIPTORS_PER_INTERNAL_CONNECTION = 5;
    /** Memory of one client connection. */
    private static final int CLIENT_CONNECTION_BYTES = 20 * 1024;
    /** The part of the heap for client connections. */
    private static final int HEAP_PARTS_PER_CLIENT_CONNECTIONS = 6;
    /** The part of the heap for the requests of clients; with the usual heap it holds two of the longest bodies. */
    private static final int HEAP_PARTS_PER_REQUEST_MEMORY = 4;

    private static final int SERVER_CONNECT_TIMEOUT_US = 500_000;
    private static final int SERVER_IDLE_TIMEOUT_US = 2_000_000;
    private static final int MAX_SERVER_CONNECTIONS = 256;
    private static final int INTERNAL_IDLE_TIMEOUT_MS = 10_000;
    private static final long SHUTDOWN_TIMEOUT_MS = 200;

    private final Settings settings;
    private final Clock clock = new Clock();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final CoreNode node;
    private final TcpTransport transport;
    private final CoreDisk disk;
    private final ReplicaHost replicaHost;
    private final Replica replica;
    private final HttpServer httpServer;
    private final ConnectionLimits connectionLimits;
    private final ConnectionPool connectionPool;
    private final RequestRouter router;
    private final String self;
    private final ServerClient serverClient;
    private final PrefixCacheIndexer prefixCacheIndexer;
    private final GracefulShutdown shutdown;
    private final CountDownLatch stopped = new CountDownLatch(1);

    private ControlPlane(Settings settings, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.group = group;
        this.loop = loop;
        this.self = Settings.hostAndPort(settings.internalAddress());
        this.connectionLimits = connectionLimits(
                settings.fileDescriptors(), Runtime.getRuntime().maxMemory());
        List<String> seeds = settings.internalSeeds();
        String control = Settings.hostAndPort(settings.listenAddress("control_plane"));
        this.transport = new TcpTransport(
                loop,
                new Hello(true, self, control, settings.zone()),
                this::onMessage,
                settings.fileDescriptors() / DESCRIPTORS_PER_INTERNAL_CONNECTION);
        this.disk = new CoreDisk(settings.requiredDataDirectory(), settings.bootstrap());
        this.replicaHost =
                new ReplicaHost(settings, self, seeds, loop, this::nowMs, transport, disk, this::onStateCommitted);
        this.replica = replicaHost.replica();
        this.connectionPool =
                new ConnectionPool(loop, SERVER_CONNECT_TIMEOUT_US, SERVER_IDLE_TIMEOUT_US, MAX_SERVER_CONNECTIONS);
        this.serverClient = new ServerClient(connectionPool);
        this.node = new CoreNode(
                settings,
                self,
                seeds,
                this::nowMs,
                replicaHost,
                transport::send,
                serverClient,
                disk.departures(),
                this::persistDepartures,
                System.nanoTime());
        this.httpServer = new HttpServer(this, loop);
        this.prefixCacheIndexer =
                new PrefixCacheIndexer(this::nowMs, self, node.registry(), node.gossip(), transport, serverClient);
        this.shutdown =
                new GracefulShutdown(new ReplicaHandover(), settings.bounds().gracePeriodMs());
        this.router = createRouter();
    }

    private static ConnectionLimits connectionLimits(int fileDescriptors, long heapBytes) {
        long fittingConnections = heapBytes / HEAP_PARTS_PER_CLIENT_CONNECTIONS / CLIENT_CONNECTION_BYTES;
        return new ConnectionLimits(
                (int) Math.max(MIN_CLIENT_CONNECTIONS, Math.min(fileDescriptors / 2, fittingConnections)),
                MAX_HEADER_BYTES,
                MAX_BODY_BYTES,
                CLIENT_TIMEOUT_MS,
                CLIENT_TIMEOUT_MS,
                heapBytes / HEAP_PARTS_PER_REQUEST_MEMORY);
    }

    private RequestRouter createRouter() {
        ServerApi serverApi =
                new ServerApi(this::nowMs, node.heartbeatHandler(), node.drainAcknowledger(), node::isDepartureDurable);
        OperatorApi operatorApi = new OperatorApi(this::nowMs, replicaHost, node.registry());
        return new RequestRouter(DocumentLimits.forHeap(Runtime.getRuntime().maxMemory()))
                .addRoute("POST", "/quartzspan/Instances.Heartbeat/", serverApi::heartbeat)
                .addRoute("POST", "/quartzspan/Instances.Deregister/", serverApi::deregister)
                .addRoute("POST", "/quartzspan/Configuration.Replace", operatorApi::replace)
                .addRoute("POST", "/quartzspan/Configuration.Update", operatorApi::update)
                .addRoute("GET", "/quartzspan/Configuration.Describe", operatorApi::describe)
                .addRoute("POST", "/quartzspan/version-put", operatorApi::setTargetVersion)
                .addRoute("GET", "/quartzspan/status", this::status);
    }

    /**
     * Starts a core machine; returns once it listens.
     *
     * @throws FleetException if an address is in use or the store can't be opened
     */
    public static ControlPlane start(Settings settings) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ControlPlane started =
                loop.submit(() -> new ControlPlane(settings, group, loop)).get();
        InetSocketAddress control = settings.listenAddress("control_plane");
        Listening.await(started.transport.listen(settings.internalAddress()), settings.internalAddress());
        Listening.await(loop.submit(() -> started.httpServer.listen(control)).get(), control);
        loop.submit(started::startPeriodicTasks).get();
        LOG.info("core machine {} listens at {}", settings.nodeName(), control);
        return started;
    }

    private void startPeriodicTasks() {
        connectionPool.startIdleEviction();
        String control = Settings.hostAndPort(settings.listenAddress("control_plane"));
        node.register(nowMs(), new CoreMachine(self, control, settings.zone()));
        loop.scheduleWithFixedDelay(
                new PeriodicTask("control plane tick", this::tick), 1, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Hands over this machine's role, answers or redirects requests meanwhile, and ends. Acknowledged changes are on disk by
     * then.
     */
    public void stop() {
        loop.execute(() -> shutdown.begin(nowMs()));
        try {
            stopped.await(settings.bounds().gracePeriodMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(httpServer::closeAfterResponses);
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        disk.close();
    }

    private void persistDepartures(DepartureRecord record) {
        disk.persistDepartures(
                record, durable -> loop.execute(() -> node.onDepartureRecordPersisted(nowMs(), durable)));
    }

    @Override
    public long now() {
        return clock.now();
    }

    private long nowMs() {
        return clock.now() / 1000;
    }

    @Override
    public ConnectionLimits limits() {
        return connectionLimits;
    }

    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
        router.route(client, request, body);
    }

    private void status(HttpServer.ClientConnection client, HttpRequest request, byte[] body, String pathSuffix) {
        byte[] json = StatusReport.toJson(nowMs(), settings.nodeName(), replica, node.registry());
        RequestRouter.respond(client, HttpResponseStatus.OK, json);
    }

    private void tick() {
        long now = nowMs();
        replicaHost.onTick(now);
        node.onTick(now);
        transport.closeIdle(INTERNAL_IDLE_TIMEOUT_MS);
        serverClient.closeDeregistered(node::isDeregistered);
        prefixCacheIndexer.onTick(now, node.reachableCores(now));
        if (shutdown.isComplete(now, node.drainAcknowledger().isIdle() && replicaHost.isIdle())) {
            stopped.countDown();
        }
    }

    private void onMessage(Hello from, Object message) {
        long now = nowMs();
        if (from.core()) {
            node.onCoreMessage(now, from.address());
        }
        if (message instanceof PrefixCacheUpdate update) {
            prefixCacheIndexer.onUpdate(from.address(), from.core(), update);
        } else if (message instanceof ReplicaMessage replicaMessage && from.core()) {
            replica.onMessage(now, from.address(), replicaMessage);
        } else if (message instanceof GossipMessage gossipMessage) {
            node.onGossip(now, from.address(), from.core() ? null : from.zone(), gossipMessage);
        }
    }

    private void onStateCommitted(long index, ControlState state) {
        node.onStateCommitted(nowMs(), index, state);
    }

    /** Hands over this machine's role in the control state during a graceful shutdown. */
    private final class ReplicaHandover implements GracefulShutdown.HandoverParticipant {
        @Override
        public void beginHandover(long now) {
            LOG.info("shutdown requested, role {}", replica.role());
            node.gossip().stopAcknowledging();
            replica.beginHandover(now);
        }

        @Override
        public boolean isHandoverComplete(long now) {
            return replica.isHandoverComplete(now);
        }
    }
}
