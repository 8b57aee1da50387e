package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.ConnectionPool;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;
import quartzspan.simulation.Bounds;

/** What a proxy may do on its knowledge of the fleet, as that knowledge ages or the proxy was stalled. */
class FleetViewTest {
    private static final String CORE = "10.0.0.1:1";
    private static final String PROXY = "10.0.1.1:1";
    private static final long REVOCATION_MS = 5_000;
    private static final long MARGIN_MS = 700;
    private static final long STALL_MS = 1_500;
    private static final long TICK_MS = 100;
    private static final int MAX_TICKS = 30;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private long nowMs = 1_000;
    private final ArrayDeque<GossipMessage> toCore = new ArrayDeque<>();
    private final ArrayDeque<GossipMessage> toProxy = new ArrayDeque<>();
    private final Registry coreRegistry = new Registry();
    private final Gossip core =
            new Gossip(CORE, true, List.of(CORE), coreRegistry, (to, message) -> toProxy.add(message));
    private final FleetView fleet = new FleetView(
            Settings.parse(Bounds.settings("10.0.1.1", 1)),
            PROXY,
            List.of(CORE),
            () -> nowMs * 1_000,
            (to, message) -> toCore.add(message),
            new ConnectionPool(group.next(), 1, 1, 8),
            new PrefixCacheIndex(),
            1);

    @BeforeEach
    void synchronise() {
        byte[] configuration =
                "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"}]}".getBytes(StandardCharsets.UTF_8);
        coreRegistry.publish(1, ControlState.EMPTY.with(new Change(Change.Kind.REPLACE, 0, configuration)));
        listServer(RegistryEntry.State.READY, 1);
        for (int i = 0; i < 10; i++) {
            nowMs += 100;
            coreRegistry.confirmFresh(nowMs);
            fleet.onTick();
            deliverAll();
        }
        assertTrue(fleet.mayHandleRequests());
        assertTrue(fleet.maySend("i", 0));
    }

    private void publishConfiguration(long index, String tenants) {
        byte[] configuration = ("{\"version\":" + index + ",\"routes\":[],\"services\":[{\"name\":\"s\"}],\"tenants\":["
                        + tenants + "]}")
                .getBytes(StandardCharsets.UTF_8);
        coreRegistry.publish(index, ControlState.EMPTY.with(new Change(Change.Kind.REPLACE, 0, configuration)));
        for (int tick = 0; tick < MAX_TICKS && fleet.configuration().version() < index; tick++) {
            nowMs += TICK_MS;
            coreRegistry.confirmFresh(nowMs);
            fleet.onTick();
            deliverAll();
        }
        assertEquals(index, fleet.configuration().version());
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private void listServer(RegistryEntry.State state, long seq) {
        coreRegistry.merge(
                nowMs,
                new RegistryEntry(
                        RegistryEntry.Subject.SERVER,
                        "i",
                        seq,
                        state,
                        Server.encode("s", "10.1.0.1:1", "z", "", 0, 0)));
    }

    private void deliverAll() {
        while (!toCore.isEmpty() || !toProxy.isEmpty()) {
            if (!toCore.isEmpty()) {
                core.onGossip(nowMs, PROXY, toCore.poll());
            } else {
                fleet.onGossip(CORE, toProxy.poll());
            }
        }
    }

    @Test
    void requestsAreHandledOnlyWhileNoKeyCanHaveBeenRevokedTooLongAgo() {
        long freshAtMs = nowMs;
        for (; nowMs < freshAtMs + REVOCATION_MS - MARGIN_MS - 300; nowMs += 100) {
            fleet.onTick();
            assertTrue(fleet.mayHandleRequests(), nowMs + " ms");
        }
        nowMs = freshAtMs + REVOCATION_MS - MARGIN_MS;
        fleet.onTick();
        assertFalse(fleet.mayHandleRequests());
    }

    @Test
    void afterAStallNothingIsDoneUntilACoreMachineConfirmsTheView() {
        listServer(RegistryEntry.State.DRAINING, 2);
        nowMs += STALL_MS;
        assertFalse(fleet.mayHandleRequests());
        assertFalse(fleet.maySend("i", 0));
        coreRegistry.confirmFresh(nowMs);
        fleet.onTick();
        deliverAll();
        assertTrue(fleet.mayHandleRequests());
        assertFalse(fleet.maySend("i", 0), "it drains");
    }

    @Test
    void stallThatEndsBeforeAWriteStopsTheWrite() {
        nowMs += STALL_MS;
        assertFalse(fleet.maySend("i", 0));
        coreRegistry.confirmFresh(nowMs);
        fleet.onTick();
        deliverAll();
        assertTrue(fleet.maySend("i", 0));
        assertEquals(1, fleet.configuration().version());
    }

    /** Guards against a request that waits for its connection being written under a salt that was changed meanwhile. */
    @Test
    void requestIsNotWrittenUnderACachePartitionThatIsNoLongerItsTenants() {
        String first = "{\"name\":\"first\",\"api_keys\":[\"k1\"],\"isolated\":";
        String second = "},{\"name\":\"second\",\"api_keys\":[\"k2\"]}";
        publishConfiguration(2, first + false + second);
        Tenant tenant = fleet.configuration().tenant("k2");
        String partition = fleet.cachePartition(tenant);
        assertTrue(fleet.mayUsePartition(partition, tenant));
        publishConfiguration(3, first + true + second);
        assertFalse(fleet.mayUsePartition(partition, tenant));
        assertTrue(fleet.mayUsePartition(fleet.cachePartition(tenant), tenant));
        assertTrue(fleet.mayUsePartition(fleet.cachePartition(null), null));
    }
}
