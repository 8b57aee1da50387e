package quartzspan.controlplane;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.CoreMachine;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Epoch;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.ReplicaStore;
import quartzspan.store.FileDisk;
import quartzspan.store.SlotStore;
import quartzspan.transport.MessageCodec.Hello;
import quartzspan.transport.TcpTransport;

/**
 * A core machine's process: keeps the control state with the others, takes servers' and operators' calls, and tells proxies.
 * One event loop owns all of it; only the disk has a thread of its own.
 */
public final class ControlPlane implements HttpServer.RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
    private static final int TICK_MS = 50;
    private static final int MAX_BODY_BYTES = 12 * 1024 * 1024;
    /** Older knowledge than this is no ground to count anybody as lost. */
    private static final long MAX_STALENESS_MS = 1_000;

    private static final int DIAL_US = 500_000;
    private static final int IDLE_US = 2_000_000;
    private static final int MOST_CONNECTIONS = 256;
    private static final int IDLE_CONNECTION_MS = 10_000;
    /** A core machine not heard for so long counts as away. */
    private static final long CORE_ALIVE_MS = 1_500;

    private final Settings settings;
    private final Clock clock = new Clock();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final ExecutorService disk = Executors.newSingleThreadExecutor(r -> new Thread(r, "disk"));
    private final Registry registry = new Registry();
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final TcpTransport transport;
    private final ReplicaStore replicaStore;
    private final Replica replica;
    private final HttpServer frontend;
    private final ConnectionPool upstream;
    private final HttpServer.ConnectionLimits connectionLimits;
    private final RequestRouter calls;
    private final String self;
    private final PendingReplicaRequests requestIds = new PendingReplicaRequests();
    private final DrainAcknowledger leaves;
    private final ServerClient servers;
    private final RolloutCoordinator rollout;
    private final PrefixCacheIndexer prefixCacheIndex;
    private final GracefulShutdown ending;
    private final CountDownLatch ended = new CountDownLatch(1);
    /** When other core machines were last heard. */
    private final Map<String, Long> coreHeard = new HashMap<>();

    private String lastRole = "";

    private ControlPlane(Settings settings, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.group = group;
        this.loop = loop;
        InetSocketAddress control = settings.listens("control_plane");
        this.self = text(settings.internal());
        // Seeds are control_plane addresses; on all machines of a day the ports are alike.
        List<String> seeds = settings.seeds().stream()
                .map(s -> s.getHostString() + ':' + settings.internalPort())
                .toList();
        this.connectionLimits = new HttpServer.ConnectionLimits(
                Math.max(64, settings.descriptors() / 2), 32 * 1024, MAX_BODY_BYTES, 30_000, 30_000);
        this.replicaStore = new ReplicaStore(new SlotStore(new FileDisk(settings.disk())));
        List<byte[]> kept = open(replicaStore);
        this.upstream = new ConnectionPool(loop, DIAL_US, IDLE_US, MOST_CONNECTIONS);
        this.servers = new ServerClient(upstream);
        this.transport = new TcpTransport(loop, new Hello(true, self, text(control), settings.zone()), this::received);
        this.heartbeats = new HeartbeatTracker(registry, settings.heartbeatMs());
        this.gossip = new Gossip(self, true, seeds, registry, transport::send, Gossip.firstNonce(System.nanoTime()));
        this.frontend = new HttpServer(this, loop);
        this.replica = new Replica(
                self,
                seeds,
                settings.losses(),
                settings.bootstrap() && !replicaStore.discarded(),
                kept,
                System.nanoTime(),
                ms(),
                new Replica.Out() {
                    @Override
                    public void send(String to, ReplicaMessage message) {
                        transport.send(to, message);
                    }

                    @Override
                    public void persist(long seq, byte[] record) {
                        disk.execute(() -> {
                            boolean ok = replicaStore.keep(record);
                            loop.execute(() -> replica().onPersisted(ms(), seq, ok));
                        });
                    }

                    @Override
                    public void done(long requestId, FleetException why, ControlState state) {
                        requestIds.done(requestId, why, state);
                    }

                    @Override
                    public void committed(long index, ControlState state, ChangeHistory history) {
                        inForce(index, state);
                    }
                });
        this.leaves = new DrainAcknowledger(gossip);
        RolloutPlanner schedule = new RolloutPlanner(settings.bounds().versionApplyMs());
        this.rollout = new RolloutCoordinator(
                self, settings.bounds().leaseMs(), schedule, this::leadership, new RolloutOrders());
        this.prefixCacheIndex = new PrefixCacheIndexer(this::ms, self, registry, gossip, transport, servers);
        this.ending = new GracefulShutdown(
                new ReplicaHandover(), (long) (settings.bounds().gracePeriodS() * 1000));
        ServerApi fromServers = new ServerApi(
                this::ms, new HeartbeatHandler(registry, heartbeats, gossip), leaves, this::holdersOfLeaves);
        OperatorApi fromOperators = new OperatorApi(this::ms, replica, registry, requestIds);
        this.calls = new RequestRouter()
                .on("POST", "/quartzspan/Instances.Heartbeat/", fromServers::heartbeat)
                .on("POST", "/quartzspan/Instances.Deregister/", fromServers::deregister)
                .on("POST", "/quartzspan/Configuration.Replace", fromOperators::replace)
                .on("POST", "/quartzspan/Configuration.Update", fromOperators::update)
                .on("GET", "/quartzspan/Configuration.Describe", fromOperators::describe)
                .on("POST", "/quartzspan/version-put", fromOperators::nameWeights)
                .on("GET", "/quartzspan/status", this::status);
    }

    /** Damage is as good as an empty disk: the others know what this machine promised. */
    private static List<byte[]> open(ReplicaStore replicaStore) {
        try {
            return replicaStore.open();
        } catch (FleetException why) {
            if (why.code() != FleetException.Code.STORE_DAMAGED) {
                throw why;
            }
            LOG.error("{}; it is put aside and this machine asks the others", why.toString());
            replicaStore.discard();
            return List.of();
        }
    }

    private Replica replica() {
        return replica;
    }

    private static String text(InetSocketAddress at) {
        return at.getHostString() + ':' + at.getPort();
    }

    /** Starts to serve; returns once it listens. */
    public static ControlPlane start(Settings settings) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ControlPlane c =
                loop.submit(() -> new ControlPlane(settings, group, loop)).get();
        ChannelFuture inside = c.transport.listen(settings.internal()).await();
        ChannelFuture outside = c.loop.submit(() -> c.frontend.listen(settings.listens("control_plane")))
                .get()
                .await();
        for (ChannelFuture f : List.of(inside, outside)) {
            if (!f.isSuccess()) {
                throw new FleetException(
                        FleetException.Code.ADDRESS_TAKEN,
                        "can't listen: " + f.cause().getMessage(),
                        "end what holds the address");
            }
        }
        c.loop.submit(() -> {
                    c.upstream.begin();
                    c.registry.merge(
                            c.ms(),
                            new CoreMachine(c.self, text(settings.listens("control_plane")), settings.zone()).entry());
                    c.loop.scheduleWithFixedDelay(c::tick, 1, TICK_MS, TimeUnit.MILLISECONDS);
                })
                .get();
        LOG.info("core machine {} takes calls at {}", settings.nodeName(), settings.listens("control_plane"));
        return c;
    }

    /** Hands over, answering or redirecting calls meanwhile, and ends: what was answered is on disk. */
    public void stop() {
        loop.execute(() -> ending.begin(ms()));
        try {
            ended.await((long) (settings.bounds().gracePeriodS() * 1000), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(frontend::leave);
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        disk.shutdownNow();
    }

    @Override
    public long now() {
        return clock.now();
    }

    private long ms() {
        return clock.now() / 1000;
    }

    @Override
    public HttpServer.ConnectionLimits limits() {
        return connectionLimits;
    }

    @Override
    public void take(HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
        calls.take(client, in, body);
    }

    // ---- the loop ------------------------------------------------------------------------------------

    private void tick() {
        try {
            long now = ms();
            replica.onTick(now);
            if (!replica.role().equals(lastRole)) {
                lastRole = replica.role();
                if (!lastRole.equals("CANDIDATE")) {
                    LOG.info(
                            "{}, promised {}, view {}",
                            lastRole,
                            replica.promisedEpoch().text(),
                            replica.membership().text());
                }
            }
            if (replica.isPrimary()) {
                registry.confirmFresh(replica.confirmedAt());
            }
            gossip.onTick(now, replica.isPrimary() ? null : replica.knownPrimary(now));
            List<RegistryEntry> heard = heartbeats.takeUnreported(now);
            if (!heard.isEmpty()) {
                GossipMessage t = GossipMessage.heartbeats(heard);
                gossip.cores().forEach(c -> transport.send(c, t));
            }
            if (now - registry.freshAt() > MAX_STALENESS_MS) {
                heartbeats.restartTimeouts(now);
            } else {
                List<RegistryEntry> lost = heartbeats.expireSilent(now);
                if (!lost.isEmpty()) {
                    LOG.info("lost: {}", lost.stream().map(RegistryEntry::key).toList());
                    gossip.broadcast(now, new Registry.Update(lost, false), null);
                }
            }
            registry.expire(now);
            transport.closeIdle(IDLE_CONNECTION_MS);
            servers.tidy(this::gone);
            leaves.onTick(now);
            rollout.onTick(now, registry::servers);
            prefixCacheIndex.onTick(now, coresHeard(now));
            if (ending.over(now, leaves.idle() && requestIds.idle())) {
                ended.countDown();
            }
        } catch (RuntimeException e) {
            LOG.error("a turn failed", e);
        }
    }

    private boolean gone(String server) {
        RegistryEntry entry = registry.entry(RegistryEntry.Subject.SERVER, server);
        return entry != null && entry.state() == RegistryEntry.State.GONE;
    }

    private List<String> coresHeard(long now) {
        coreHeard.values().removeIf(at -> now - at > CORE_ALIVE_MS);
        return List.copyOf(coreHeard.keySet());
    }

    private void received(Hello from, Object message) {
        long now = ms();
        if (from.core()) {
            coreHeard.put(from.address(), now);
        }
        if (message instanceof PrefixCacheUpdate c) {
            prefixCacheIndex.received(from.address(), from.core(), c);
        } else if (message instanceof ReplicaMessage step && from.core()) {
            replica.onMessage(now, from.address(), step);
        } else if (message instanceof GossipMessage update) {
            if (update.kind() == GossipMessage.Kind.HEARTBEATS) {
                heartbeats.onPeerReport(now, update.entries());
                return;
            }
            if (!from.core()) {
                tell(heartbeats.onProxyMessage(now, from.address(), from.zone()));
            }
            gossip.onGossip(now, from.address(), update);
        }
    }

    private void inForce(long index, ControlState state) {
        long now = ms();
        if (registry.publish(index, state)) {
            gossip.onPublished(now);
        }
    }

    private void tell(RegistryEntry update) {
        if (update != null) {
            gossip.broadcast(ms(), update);
        }
    }

    /** As many as may be lost at once must hold the word of a server that leaves, besides this machine. */
    private int holdersOfLeaves() {
        int others = replica.membership().voters().size() - 1;
        return others < 0 ? settings.losses() : Math.min(settings.losses(), others);
    }

    private void status(HttpServer.ClientConnection client, HttpRequest in, byte[] body, String rest) {
        RequestRouter.answer(
                client, HttpResponseStatus.OK, StatusReport.json(ms(), settings.nodeName(), replica, registry));
    }

    // ---- the rollout of weights ----------------------------------------------------------------------

    private Optional<RolloutCoordinator.Leadership> leadership() {
        if (!replica.isPrimary()) {
            return Optional.empty();
        }
        ControlState state = replica.state();
        return Optional.of(new RolloutCoordinator.Leadership(
                replica.membership().epoch(),
                replica.confirmedAt(),
                state.rolloutHolder(),
                state.fencingToken(),
                state.weights()));
    }

    /** What the rollout does, in calls to servers and news to proxies. */
    private final class RolloutOrders implements RolloutCoordinator.Out {
        @Override
        public void claim(Epoch leadership) {
            long requestId = requestIds.issue((why, state) -> {
                boolean granted = why == null && state.rolloutHolder().equals(self);
                rollout.claimed(leadership, granted, granted ? state.fencingToken() : 0);
            });
            replica.submit(
                    ms(), requestId, new Change(Change.Kind.ROLLOUT_CLAIM, 0, self.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void announce(Server server, long version) {
            tell(heartbeats.onLoadOrdered(ms(), server.id(), version));
        }

        @Override
        public void order(RolloutCoordinator.Order order) {
            Server server = order.server();
            LOG.info("{} is ordered to load version {} of {}", server.id(), order.version(), order.model());
            servers.post(
                    server,
                    "/quartzspan/order",
                    RolloutCoordinator.json(order, settings.nodeName()),
                    RolloutCoordinator.ORDER_TIMEOUT_MS,
                    () -> rollout.mayOrder(ms(), order),
                    (status, body) -> {
                        if (status != 200 && status != 202) {
                            LOG.info("{} answers an order with {}", server.id(), status);
                        }
                        rollout.onResponse(ms(), order, status);
                    });
        }

        @Override
        public void report(Server server) {
            servers.get(server, "/quartzspan/report", Map.of(), (status, body) -> {
                if (status == 200) {
                    JsonObject report = Configuration.json(body);
                    if (!report.getBoolean("busy", false)
                            && report.get("models") instanceof JsonArray models
                            && !models.isEmpty()) {
                        long version = Configuration.whole(models.getJsonObject(0), "version", 0);
                        tell(heartbeats.onWeightsReported(ms(), server.id(), version));
                    }
                }
            });
        }
    }

    /** This machine's part in the control state, when it ends as planned. */
    private final class ReplicaHandover implements GracefulShutdown.HandoverParticipant {
        @Override
        public void beginHandover(long now) {
            LOG.info("told to end as {}", replica.role());
            gossip.stopAcknowledging();
            replica.beginHandover(now);
        }

        @Override
        public boolean isHandoverComplete(long now) {
            return replica.isHandoverComplete(now);
        }
    }
}
