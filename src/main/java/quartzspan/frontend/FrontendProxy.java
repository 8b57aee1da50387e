package quartzspan.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Route;
import quartzspan.configuration.Configuration.Service;
import quartzspan.configuration.Configuration.Share;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpFraming;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.PrefixAwarePlacement;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.transport.MessageCodec.Hello;
import quartzspan.transport.TcpTransport;

/**
 * A frontend machine's process: takes clients' requests, finds their route and tenant in the configuration, and carries them
 * to the server that the decision module names. One event loop owns all of it.
 */
public final class FrontendProxy implements HttpServer.RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(FrontendProxy.class);
    private static final int TICK_MS = 100;
    private static final int OWN_DESCRIPTORS = 300;
    private static final int DIAL_US = 400_000;
    /** Idle connections to servers are closed before the servers do so. */
    private static final long IDLE_US = 8_000_000;
    /** Clients are told to come back after this part of the objective. */
    private static final double COME_BACK = 0.3;
    /** A key's removal must be known this long before it counts: between our look and the server's start lies some time. */
    private static final long FRESH_MARGIN_MS = 700;
    /** Headers that only the system sets. */
    private static final List<String> OURS = List.of(
            "X-Expected-Instance", "X-Tenant", "Cache-Salt", "Kv-Fetch", "Kv-Save", "Expect-Version", "Priority");

    private final Settings settings;
    private final Clock clock = new Clock();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Registry registry = new Registry();
    private final Gossip gossip;
    private final TcpTransport transport;
    private final HttpServer frontend;
    private final HttpServer readiness;
    private final ConnectionPool upstream;
    private final PrefixAwarePlacement placement;
    private final SplittableRandom random = new SplittableRandom(System.nanoTime());
    private final Map<String, ConnectionPool.Endpoint> hosts = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    /** Version of the weights of each server, as last heard or seen. */
    private final Map<String, Long> weights = new HashMap<>();

    private final PrefixCacheIndex prefixCacheIndex = new PrefixCacheIndex();
    private final Set<ProxiedRequest> open = new HashSet<>();
    /** The services by which servers' connections are bounded at present. */
    private Map<String, Service> services = Map.of();

    private final CountDownLatch ended = new CountDownLatch(1);
    private final ShutdownSchedule shutdown;
    private boolean ready;

    private FrontendProxy(Settings settings, List<String> seeds, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.group = group;
        this.loop = loop;
        this.shutdown = new ShutdownSchedule(gracePeriodMs(settings), ms());
        String self = text(settings.internal());
        this.upstream = new ConnectionPool(
                loop, DIAL_US, IDLE_US, Math.max(64, (settings.descriptors() - OWN_DESCRIPTORS) / 3));
        this.transport = new TcpTransport(loop, new Hello(false, self, "", settings.zone()), this::received);
        this.gossip = new Gossip(self, false, seeds, registry, transport::send, Gossip.firstNonce(System.nanoTime()));
        gossip.preferZone(settings.zone());
        this.frontend = new HttpServer(this, loop);
        this.placement = new PrefixAwarePlacement(System.nanoTime(), new PrefixAwarePlacement.Connections() {
            @Override
            public boolean connected(String server) {
                return hosts.get(server).connected();
            }

            @Override
            public boolean reachable(String server) {
                return hosts.get(server).reachable();
            }
        });
        this.readiness = new HttpServer(
                new HttpServer.RequestHandler() {
                    @Override
                    public long now() {
                        return clock.now();
                    }

                    @Override
                    public void take(HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
                        client.answer(
                                !in.uri().split("\\?", 2)[0].equals("/quartzspan/readiness")
                                        ? HttpResponseStatus.NOT_FOUND
                                        : ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
                    }

                    @Override
                    public HttpServer.ConnectionLimits limits() {
                        return new HttpServer.ConnectionLimits(64, 8 * 1024, 8 * 1024, 30_000, 5_000);
                    }
                },
                loop);
    }

    /** Internal addresses of the core machines to begin with: on all machines the ports are alike. */
    private static List<String> seeds(Settings settings) {
        return settings.seeds().stream()
                .map(s -> s.getHostString() + ':' + settings.internalPort())
                .toList();
    }

    private static String text(InetSocketAddress at) {
        return at.getHostString() + ':' + at.getPort();
    }

    /** Starts to serve; returns once it listens. It is ready when it has a configuration that is surely the newest. */
    public static FrontendProxy start(Settings settings) throws Exception {
        return start(settings, seeds(settings));
    }

    /** The same, with internal addresses of core machines in place of the settings' seeds. */
    public static FrontendProxy start(Settings settings, String... cores) throws Exception {
        return start(settings, List.of(cores));
    }

    private static FrontendProxy start(Settings settings, List<String> seeds) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        FrontendProxy c = loop.submit(() -> new FrontendProxy(settings, seeds, group, loop))
                .get();
        for (ChannelFuture f : List.of(
                c.transport.listen(settings.internal()),
                loop.submit(() -> c.readiness.listen(settings.listens("readiness")))
                        .get(),
                loop.submit(() -> c.frontend.listen(settings.listens("frontend")))
                        .get())) {
            if (!f.await().isSuccess()) {
                throw new FleetException(
                        FleetException.Code.ADDRESS_TAKEN,
                        "can't listen: " + f.cause().getMessage(),
                        "end what holds the address");
            }
        }
        loop.submit(() -> {
                    c.upstream.begin();
                    loop.scheduleWithFixedDelay(c::tick, 1, TICK_MS, TimeUnit.MILLISECONDS);
                })
                .get();
        LOG.info("proxy {} listens at {}", settings.nodeName(), settings.listens("frontend"));
        return c;
    }

    /** Settings that changed while it serves: whom to ask first. */
    void reload(Settings changed) {
        loop.execute(() -> gossip.setSeeds(seeds(changed)));
    }

    /** Serves to the end what came and still comes, without losing any of it; returns when the process may end. */
    void leave() {
        loop.execute(() -> {
            LOG.info("told to end; {} requests are open", open.size());
            shutdown.begin(ms());
            ready = false;
            frontend.leave();
            loop.scheduleWithFixedDelay(this::continueShutdown, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        });
        try {
            ended.await(gracePeriodMs(settings), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void continueShutdown() {
        long now = ms();
        if (shutdown.closesIdleConnections(now)) {
            frontend.closeIdle();
        }
        if (shutdown.isOver(now, open.isEmpty() && frontend.idle())) {
            // From here to the process's end nothing more may be read: it would not be answered.
            frontend.close();
            ended.countDown();
        }
    }

    private static long gracePeriodMs(Settings settings) {
        return (long) (settings.bounds().gracePeriodS() * 1000);
    }

    /** Ends at once. */
    public void stop() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    // ---- what others need ----------------------------------------------------------------------------

    @Override
    public long now() {
        return clock.now();
    }

    private long ms() {
        return clock.now() / 1000;
    }

    PrefixAwarePlacement placement() {
        return placement;
    }

    ConnectionPool upstream() {
        return upstream;
    }

    ConnectionPool.Endpoint host(String server) {
        return hosts.get(server);
    }

    /** Version of a server's weights; 0 if unknown. */
    long weights(String server) {
        return weights.getOrDefault(server, 0L);
    }

    /** A server turned a request away for its weights: it has others by now, most likely those that were named last. */
    void reweighed(String server, String model) {
        weights.put(
                server,
                weights(server) == 0
                        ? 0L
                        : Math.max(weights(server), registry.state().weights().getOrDefault(model, 0L)));
    }

    PrefixCacheIndex prefixCacheIndex() {
        return prefixCacheIndex;
    }

    /** The stores of prompts that answer. */
    List<String> stores() {
        return configuration().services().values().stream()
                .map(Service::store)
                .filter(s -> s != null && prefixCacheIndex.knows(PrefixCacheIndex.store(s)))
                .toList();
    }

    /** Where a server is reached, as a text; null if it is gone. */
    String address(String server) {
        return addresses.get(server);
    }

    void done(ProxiedRequest request) {
        open.remove(request);
    }

    long comeBackUs(Route route) {
        return (long) (route.targetMs() * 1000 * COME_BACK * (0.8 + 0.4 * random.nextDouble()));
    }

    @Override
    public HttpServer.ConnectionLimits limits() {
        Configuration.Limits l = configuration().limits();
        return new HttpServer.ConnectionLimits(
                Math.max(64, (settings.descriptors() - OWN_DESCRIPTORS) / 2),
                l.headerBytes() + 1024,
                l.bodyBytes(),
                l.idleTimeoutMs() + 5_000L,
                Math.max(10_000, l.headerTimeoutMs()));
    }

    private Configuration configuration() {
        return registry.state().configuration();
    }

    /** Whether what is known here is new enough to let anybody in by it. */
    private boolean fresh() {
        long age = ms() - registry.freshAt();
        return configuration().version() > 0
                && (!settings.bounds().strictRevocation()
                        ? registry.freshAt() > 0
                        : age < settings.bounds().revocationMs() - FRESH_MARGIN_MS);
    }

    private boolean ready() {
        return ready && fresh() && !shutdown.begun();
    }

    // ---- the fleet -----------------------------------------------------------------------------------

    private void tick() {
        try {
            long now = ms();
            shutdown.onTick(now);
            gossip.onTick(now, null);
            registry.expire(now);
            transport.closeIdle(10_000);
            becomeReady();
        } catch (RuntimeException e) {
            LOG.error("a turn failed", e);
        }
    }

    private void received(Hello from, Object message) {
        if (message instanceof PrefixCacheUpdate c
                && c.kind() != PrefixCacheUpdate.Kind.SNAPSHOT_REQUEST
                && prefixCacheIndex.take(ms(), c)) {
            transport.send(
                    from.address(),
                    new PrefixCacheUpdate(
                            PrefixCacheUpdate.Kind.SNAPSHOT_REQUEST, c.server(), 0, 0, new long[0], new int[0]));
        }
        if (!(message instanceof GossipMessage update)) {
            return;
        }
        Registry.Update news = gossip.onGossip(ms(), from.address(), update);
        news.entries().forEach(this::learn);
        if (news.state() && !configuration().services().equals(services)) {
            // Bounds of connections are the configuration's.
            services = configuration().services();
            registry.servers().forEach(this::learn);
        }
        becomeReady();
    }

    private void becomeReady() {
        if (!ready && fresh()) {
            ready = true;
            LOG.info("ready with version {}", configuration().version());
        }
    }

    private void learn(RegistryEntry entry) {
        Server server = Server.of(entry);
        if (server != null) {
            learn(server);
        }
    }

    private void learn(Server s) {
        if (s.state() == RegistryEntry.State.GONE || s.state() == RegistryEntry.State.LOST) {
            ConnectionPool.Endpoint host = hosts.get(s.id());
            if (host != null) {
                placement.gone(s.id());
                host.listed(null, false, 0);
                upstream.closeIdle(host);
                hosts.remove(s.id());
                addresses.remove(s.id());
                weights.remove(s.id());
                prefixCacheIndex.forget(s.id());
            }
            return;
        }
        int colon = s.address().lastIndexOf(':');
        boolean ready = s.state() == RegistryEntry.State.READY;
        Service service = configuration().services().get(s.service());
        int most = service == null ? 64 : Math.max(2, service.maxConnections() / Math.max(1, proxies()));
        ConnectionPool.Endpoint host = hosts.computeIfAbsent(s.id(), ConnectionPool.Endpoint::new);
        if (!s.address().equals(addresses.put(s.id(), s.address())) || !ready) {
            upstream.closeIdle(host);
        }
        host.listed(
                new InetSocketAddress(s.address().substring(0, colon), (int)
                        HttpFraming.number(s.address().substring(colon + 1))),
                ready,
                most);
        placement.listed(now(), s.id(), s.service(), ready, s.loading() > 0);
        weights.put(s.id(), s.weights());
    }

    private int proxies() {
        return Math.max(1, registry.ready(RegistryEntry.Subject.PROXY).size());
    }

    // ---- clients -------------------------------------------------------------------------------------

    @Override
    public void take(HttpServer.ClientConnection client, HttpRequest in, byte[] body, long at) {
        HttpHeaders h = in.headers();
        if (!fresh()) {
            client.answer(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new ConnectionPool.Response(new byte[0], null, null),
                    300_000);
            return;
        }
        Configuration configuration = configuration();
        String host = h.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT).split(":", 2)[0];
        Route route = configuration.route(host, in.uri().split("\\?", 2)[0]);
        if (route == null) {
            client.answer(HttpResponseStatus.NOT_FOUND);
            return;
        }
        Tenant tenant = null;
        if (configuration.hasTenants()) {
            String key = h.get(HttpHeaderNames.AUTHORIZATION, "");
            tenant = key.startsWith("Token ")
                    ? configuration.tenant(key.substring(6).trim())
                    : null;
            if (tenant == null && !route.open()) {
                client.answer(HttpResponseStatus.UNAUTHORIZED);
                return;
            }
        }
        OutgoingRequest call = OutgoingRequest.of(in, body);
        OURS.forEach(call.headers()::remove);
        if (configuration.hasTenants()) {
            call.headers().remove(HttpHeaderNames.AUTHORIZATION);
        }
        if (tenant != null) {
            call.headers().set("X-Tenant", tenant.name());
        }
        boolean walled = tenant != null && tenant.isolated();
        if (route.affine()) {
            call.headers()
                    .set(
                            "Priority",
                            Math.min(
                                    9,
                                    3 * Math.max(0, tenant == null ? 0 : tenant.priority())
                                            + Math.max(0, route.priority())));
        }
        long deadlineMs = HttpFraming.number(h.get("X-Deadline-Ms"));
        long endAt = at + 1000 * Math.min(deadlineMs < 1 ? route.timeoutMs() : deadlineMs, route.timeoutMs());
        if (!shutdown.mayForward(ms(), endAt / 1000)) {
            client.answer(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new ConnectionPool.Response(new byte[0], null, null),
                    comeBackUs(route));
            return;
        }
        placement.came(settings.bounds().retryBudgetRatio(), settings.bounds().retryAllowance(), proxies());
        ProxiedRequest request = new ProxiedRequest(
                this,
                client,
                route,
                job(route, h, walled ? tenant.name() : ""),
                call,
                endAt,
                new Prompt(h.get("X-Prompt-Prefix"), h.get("X-Model", ""), walled ? "w" + tenant.name() : ""));
        open.add(request);
        request.start();
    }

    /** What the decision module is told of a request: its key is the model, the wall and the parts that others share. */
    private PrefixAwarePlacement.Job job(Route route, HttpHeaders h, String isolationKey) {
        String[] tokens = h.get("X-Token-Count", "0,0").split(",", 2);
        String prefix = h.get("X-Prompt-Prefix");
        String key = null;
        if (route.affine() && prefix != null) {
            int last = prefix.lastIndexOf(',');
            key = h.get("X-Model", "") + '|' + isolationKey + '|' + (last < 0 ? prefix : prefix.substring(0, last));
        }
        return new PrefixAwarePlacement.Job(
                service(route),
                key,
                Math.max(0, HttpFraming.number(tokens[0].trim())),
                tokens.length < 2 ? 0 : Math.max(0, HttpFraming.number(tokens[1].trim())));
    }

    private String service(Route route) {
        List<Share> able = new ArrayList<>(route.shares());
        able.removeIf(s -> s.weight() == 0);
        long sum = able.stream().mapToLong(Share::weight).sum();
        long at = random.nextLong(sum);
        for (Share s : able) {
            at -= s.weight();
            if (at < 0) {
                return s.service();
            }
        }
        return able.get(0).service();
    }
}
