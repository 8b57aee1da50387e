package quartzspan.frontend;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.ConnectionPool;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.PlacementRequest;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.registry.GossipMessage;
import quartzspan.simulation.Bounds;
import quartzspan.simulation.SimulatedProcess;
import quartzspan.simulation.World;

/** A proxy in the simulated world: the real {@link FleetView}, endpoints and placement; requests are sent by the world. */
public final class SimulatedProxy extends SimulatedProcess {
    private static final int TICK_INTERVAL_MS = 100;
    private static final int MAX_SENDS = 3;
    private static final int SLOW_CONNECT_PERCENT = 5;
    private static final int MAX_CONNECT_MS = 400;
    /** Its loop is never started: the world sends the requests. */
    private static final EventLoopGroup UNUSED_LOOPS = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** A client's request. */
    public record Request(String id, String host, String path, String apiKey, String placementKey, long sentAtMs) {}

    /**
     * A request as it is written to a server.
     *
     * @param expectedVersion the weights version that the server must have; 0 for any
     * @param cachePartition the partition whose cached blocks it may use
     * @param configurationVersion the version of the proxy's configuration when the request was written
     */
    public record Forwarded(
            Request request, String tenant, long expectedVersion, String cachePartition, long configurationVersion) {}

    /** The final answers of the proxy itself. */
    public enum Answer {
        NOT_READY,
        UNKNOWN_ROUTE,
        UNKNOWN_KEY,
        NO_SERVER,
        FORWARDED
    }

    /** The world on the other side of the proxy. */
    public interface Environment {
        /** Sends a request to a server; the proxy learns the outcome by a callback on its event loop. */
        void forward(SimulatedProxy proxy, String server, Forwarded forwarded, Response response);

        void answered(SimulatedProxy proxy, Request request, Answer answer, long configurationVersion);
    }

    /** Receives the outcome at a server. */
    public interface Response {
        void onResponse(boolean executed, boolean versionMismatch);
    }

    private final List<String> seeds;
    private final Settings settings;
    private final Environment environment;
    private FleetView fleet;

    /** A proxy that contacts these core machines first. */
    public SimulatedProxy(World world, String name, List<String> seeds, Environment environment) {
        super(world, name, false, TICK_INTERVAL_MS);
        this.seeds = seeds;
        this.settings = Settings.parse(Bounds.settings(name.split(":", 2)[0], 1));
        this.environment = environment;
    }

    @Override
    protected void onStart(long now) {
        fleet = new FleetView(
                settings,
                name(),
                seeds,
                () -> localMs() * 1_000,
                (to, message) -> {
                    world.cross(World.Crossing.GOSSIP_MESSAGE, name());
                    world.send(name(), to, message);
                },
                new ConnectionPool(UNUSED_LOOPS.next(), 1, 1, 64),
                new PrefixCacheIndex(),
                world.random().nextLong());
        onTick(now);
    }

    @Override
    protected void onTick(long now) {
        fleet.onTick();
    }

    @Override
    protected void onMessage(long now, String from, Object message) {
        if (message instanceof GossipMessage gossipMessage) {
            fleet.onGossip(from, gossipMessage);
        }
    }

    @Override
    protected void onKilled() {
        fleet = null;
    }

    /** Handles a client's request, with the checks of {@link FrontendProxy#onRequest}. */
    public void onRequest(Request request) {
        Configuration configuration = fleet.configuration();
        if (!fleet.mayHandleRequests()) {
            environment.answered(this, request, Answer.NOT_READY, configuration.version());
        } else if (configuration.route(request.host(), request.path()) == null) {
            environment.answered(this, request, Answer.UNKNOWN_ROUTE, configuration.version());
        } else if (configuration.tenant(request.apiKey()) == null) {
            environment.answered(this, request, Answer.UNKNOWN_KEY, configuration.version());
        } else {
            send(request, configuration.tenant(request.apiKey()), new HashSet<>(), 0);
        }
    }

    private void send(Request request, Tenant tenant, Set<String> tried, int sends) {
        PlacementRequest placement = new PlacementRequest("s", request.placementKey(), 10, 1);
        String server =
                sends >= MAX_SENDS ? null : fleet.endpoints().placement().pick(localMs() * 1_000, placement, tried);
        if (server == null) {
            environment.answered(
                    this, request, Answer.NO_SERVER, fleet.configuration().version());
            return;
        }
        long expected = fleet.endpoints().expectedWeightsVersion(server);
        String partition = fleet.cachePartition(tenant);
        fleet.endpoints().placement().onSent(server, placement);
        boolean slow = world.random().nextInt(100) < SLOW_CONNECT_PERCENT;
        world.schedule(
                slow ? world.random().nextInt(MAX_CONNECT_MS) : 1,
                () -> dispatch(
                        server, now -> write(request, tenant, placement, server, expected, partition, tried, sends)));
    }

    /** Writes the request, once the connection is established, as {@link ConnectionPool.Attempt} does. */
    private void write(
            Request request,
            Tenant tenant,
            PlacementRequest placement,
            String server,
            long expected,
            String partition,
            Set<String> tried,
            int sends) {
        tried.add(server);
        boolean mayWrite = fleet.endpoints().endpoint(server) != null
                && fleet.maySend(server, expected)
                && fleet.mayUsePartition(partition, tenant);
        if (!mayWrite) {
            fleet.endpoints().placement().onEnded(localMs() * 1_000, server, placement, Outcome.IGNORED);
            send(request, tenant, tried, sends);
            return;
        }
        environment.answered(
                this, request, Answer.FORWARDED, fleet.configuration().version());
        environment.forward(
                this,
                server,
                new Forwarded(
                        request,
                        tenant.name(),
                        expected,
                        partition,
                        fleet.configuration().version()),
                (executed, versionMismatch) -> dispatch(server, now -> {
                    Outcome outcome = executed ? Outcome.OK : Outcome.QUEUE_FULL;
                    fleet.endpoints().placement().onEnded(localMs() * 1_000, server, placement, outcome);
                    if (executed) {
                        return;
                    }
                    if (versionMismatch && fleet.endpoints().onVersionMismatch(server)) {
                        tried.remove(server);
                    }
                    send(request, tenant, tried, sends + 1);
                }));
    }
}
