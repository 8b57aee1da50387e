package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.http.ConnectionPool;
import quartzspan.loadbalancing.PlacementRequest;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/**
 * Which servers a proxy uses while weights become overdue and no message reaches it: it decides at each use, by its own clock.
 */
class EndpointDirectoryTest {
    private static final long APPLY_MS = 6_000;
    private static final long MARGIN_MS = 600;
    private static final long ACKNOWLEDGED_AT_MS = 1_000;
    private static final long USABLE_UNTIL_MS = ACKNOWLEDGED_AT_MS + APPLY_MS - MARGIN_MS;
    private static final PlacementRequest REQUEST = new PlacementRequest("s", "key", 10, 1);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Registry registry = new Registry(APPLY_MS);
    private long nowMs;
    private final EndpointDirectory endpoints = new EndpointDirectory(
            registry, new ConnectionPool(group.next(), 1, 1, 8), new PrefixCacheIndex(), () -> nowMs * 1_000);
    private ControlState state = ControlState.EMPTY;

    @BeforeEach
    void setTargetVersions() {
        nameVersion(2, 0);
        nameVersion(3, ACKNOWLEDGED_AT_MS);
        list("i-2", 2, 0);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /** The proxy learns of a version while its previous state is known to have been the newest at a time. */
    private void nameVersion(long version, long notBeforeMs) {
        nowMs = notBeforeMs;
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        state = state.with(new Change(Change.Kind.WEIGHTS, 0, body));
        registry.confirmFresh(notBeforeMs);
        registry.publish(version, state);
        endpoints.onRegistryUpdate(new Registry.Update(List.of(), true));
    }

    private void list(String id, long weights, long loading) {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        RegistryEntry entry = new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                id,
                old == null ? 1 : old.seq() + 1,
                RegistryEntry.State.READY,
                Server.encode("s", "127.0.0.1:1", "z", "m", weights, loading));
        registry.merge(nowMs, entry);
        endpoints.onRegistryUpdate(new Registry.Update(List.of(entry), false));
    }

    private String pick() {
        return endpoints.placement().pick(nowMs * 1_000, REQUEST, Set.of());
    }

    @Test
    void serverIsNotUsedOnOldWeightsOnceTheyAreAboutToBeOverdueThoughNoMessageSaysSo() {
        nowMs = USABLE_UNTIL_MS - 1;
        assertEquals(2, endpoints.expectedWeightsVersion("i-2"));
        assertTrue(endpoints.mayUse("i-2", 2));
        nowMs = USABLE_UNTIL_MS;
        assertEquals(3, endpoints.expectedWeightsVersion("i-2"));
        assertFalse(endpoints.mayUse("i-2", 2));
        assertFalse(endpoints.onVersionMismatch("i-2"), "it would reject the request again");
    }

    /** The case of the soak: a load of version 2 ends just before version 3 is due, and the core machine lists no load. */
    @Test
    void loadThatEndsJustBeforeTheNextDeadlineMakesNoServerUsable() {
        list("i-2", 1, 2);
        nowMs = ACKNOWLEDGED_AT_MS + APPLY_MS - 50;
        list("i-2", 2, 0);
        assertEquals(3, endpoints.expectedWeightsVersion("i-2"));
        nowMs = ACKNOWLEDGED_AT_MS + APPLY_MS + 36;
        assertEquals(3, endpoints.expectedWeightsVersion("i-2"));
    }

    @Test
    void otherServersAreChosenFirstFromThatTimeOn() {
        list("i-3", 3, 0);
        boolean olderChosen = false;
        for (int i = 0; i < 50; i++) {
            PlacementRequest request = new PlacementRequest("s", "key" + i, 10, 1);
            nowMs = USABLE_UNTIL_MS - 1;
            olderChosen |=
                    endpoints.placement().pick(nowMs * 1_000, request, Set.of()).equals("i-2");
            nowMs = USABLE_UNTIL_MS;
            assertEquals("i-3", endpoints.placement().pick(nowMs * 1_000, request, Set.of()));
        }
        assertTrue(olderChosen);
        list("i-2", 3, 0);
        list("i-3", 3, 4);
        assertEquals("i-2", pick(), "usable again with the new weights");
    }

    @Test
    void serverWithUnknownWeightsAndOtherModelsAreNotAffected() {
        nowMs = 2 * USABLE_UNTIL_MS;
        list("i-0", 0, 0);
        assertEquals(0, endpoints.expectedWeightsVersion("i-0"));
        assertTrue(endpoints.mayUse("i-0", 0));
        assertFalse(endpoints.mayUse("not listed", 0));
        assertEquals("i-0", pick());
        assertEquals(0, endpoints.expectedWeightsVersion("not listed"));
    }

    @Test
    void serverThatDrainsIsNotUsed() {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, "i-2");
        RegistryEntry draining = new RegistryEntry(
                RegistryEntry.Subject.SERVER, "i-2", old.seq() + 1, RegistryEntry.State.DRAINING, old.text());
        assertTrue(endpoints.mayUse("i-2", 2));
        registry.merge(nowMs, draining);
        endpoints.onRegistryUpdate(new Registry.Update(List.of(draining), false));
        assertFalse(endpoints.mayUse("i-2", 2));
        assertEquals(null, pick());
    }

    @Test
    void serverThatWasOrderedToLoadIsExpectedToHaveTheNewWeights() {
        list("i-2", 2, 3);
        assertEquals(3, endpoints.expectedWeightsVersion("i-2"));
        assertFalse(endpoints.onVersionMismatch("i-2"));
    }
}
