package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.registry.Gossip;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** Which heartbeats a core machine applies, and when it rejects them so that the server calls another machine. */
class HeartbeatHandlerTest {
    private static final long APPLY_MS = 10_000;

    private final Registry registry = new Registry(APPLY_MS);
    private boolean knowsDepartures = true;
    private final HeartbeatHandler handler = new HeartbeatHandler(
            registry,
            new HeartbeatTracker(registry, 1_200),
            new Gossip("c1:1", true, List.of("c1:1", "c2:1"), registry, (to, message) -> {}),
            registry::freshAtMs,
            now -> knowsDepartures);

    private static byte[] body(long count, String state) {
        return ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"" + state
                        + "\",\"models\":[{\"name\":\"m\",\"version\":1}],\"call_count\":" + count + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private RegistryEntry.State state() {
        return registry.entry(RegistryEntry.Subject.SERVER, "i").state();
    }

    @Test
    void disconnectedMachineRejectsHeartbeatsButAppliesThem() {
        registry.confirmFresh(10_000);
        assertNull(handler.onHeartbeat(10_000 + HeartbeatHandler.MAX_STALENESS_MS, "i", body(1, "ready")));
        long disconnectedAtMs = 10_001 + HeartbeatHandler.MAX_STALENESS_MS;
        FleetException rejection =
                assertThrows(FleetException.class, () -> handler.onHeartbeat(disconnectedAtMs, "i", body(2, "ready")));
        assertEquals(503, rejection.code().httpStatus());
        assertThrows(FleetException.class, () -> handler.onHeartbeat(disconnectedAtMs, "j", body(1, "ready")));
        assertNotNull(registry.entry(RegistryEntry.Subject.SERVER, "j"), "applied although it was rejected");
        registry.confirmFresh(disconnectedAtMs);
        assertNull(handler.onHeartbeat(disconnectedAtMs, "i", body(3, "ready")));
    }

    /** Guards against a delayed heartbeat that makes a server ready again after all processes have forgotten its departure. */
    @Test
    void unknownServerIsNotReadyUntilAllDeparturesAreKnown() {
        registry.confirmFresh(10_000);
        handler.onHeartbeat(10_000, "known", body(1, "ready"));
        knowsDepartures = false;
        FleetException rejection =
                assertThrows(FleetException.class, () -> handler.onHeartbeat(10_000, "i", body(1, "ready")));
        assertEquals(503, rejection.code().httpStatus());
        assertEquals(RegistryEntry.State.LOST, state(), "shown, but not ready");
        assertNull(handler.onHeartbeat(10_000, "known", body(2, "ready")), "that one is not in doubt");
        assertNotNull(handler.onHeartbeat(10_000, "i", body(2, "draining")), "a departure is always taken");
        assertNotNull(handler.onDeregistration(10_000, "i"));
        knowsDepartures = true;
        assertNull(handler.onHeartbeat(10_000, "j", body(1, "ready")));
    }

    /** The entry of a server whose heartbeat was refused must not take a server from proxies that know it as ready. */
    @Test
    void entryOfARefusedHeartbeatIsSupersededByAnyOther() {
        knowsDepartures = false;
        assertThrows(FleetException.class, () -> handler.onHeartbeat(10_000, "i", body(9, "ready")));
        RegistryEntry refused = registry.entry(RegistryEntry.Subject.SERVER, "i");
        for (RegistryEntry.State state : RegistryEntry.State.values()) {
            Registry other = new Registry(APPLY_MS);
            RegistryEntry known = new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 0, state, refused.text());
            other.merge(10_000, known);
            assertFalse(other.merge(10_000, refused), "superseded " + state);
        }
    }

    @Test
    void deregistrationKeepsTheAttributesOfARefusedHeartbeat() {
        knowsDepartures = false;
        assertThrows(FleetException.class, () -> handler.onHeartbeat(10_000, "i", body(1, "ready")));
        RegistryEntry gone = handler.onDeregistration(10_000, "i");
        assertEquals(RegistryEntry.State.GONE, gone.state());
        assertEquals("10.0.0.9:80", Server.of(gone).address());
    }

    @Test
    void serverOfARefusedHeartbeatIsReadyOnceAllDeparturesAreKnown() {
        registry.confirmFresh(10_000);
        knowsDepartures = false;
        assertThrows(FleetException.class, () -> handler.onHeartbeat(10_000, "i", body(0, "ready")));
        knowsDepartures = true;
        assertNull(handler.onHeartbeat(10_000, "i", body(0, "ready")));
        assertEquals(RegistryEntry.State.READY, state());
    }

    @Test
    void lostServerIsNotReadyUntilAllDeparturesAreKnown() {
        registry.confirmFresh(10_000);
        RegistryEntry lost = new RegistryEntry(
                RegistryEntry.Subject.SERVER, "i", 4, RegistryEntry.State.LOST, "s\t10.0.0.9:80\tz\tm\t1\t0");
        registry.merge(10_000, lost);
        knowsDepartures = false;
        assertThrows(FleetException.class, () -> handler.onHeartbeat(10_000, "i", body(9, "ready")));
        assertEquals(RegistryEntry.State.LOST, state());
    }

    @Test
    void drainingEntryMustBeAcknowledgedByOtherMachines() {
        assertEquals(
                RegistryEntry.State.DRAINING,
                handler.onHeartbeat(99_000, "i", body(1, "draining")).state());
        assertNotNull(
                handler.onHeartbeat(99_000, "i", body(1, "draining")),
                "a repeated announcement must be acknowledged again");
        assertThrows(FleetException.class, () -> handler.onHeartbeat(99_000, "i", body(5, "ready")));
        assertEquals(RegistryEntry.State.DRAINING, state());
        assertEquals(
                RegistryEntry.State.GONE, handler.onDeregistration(99_000, "i").state());
        assertNotNull(handler.onDeregistration(99_000, "i"));
        assertNotNull(handler.onHeartbeat(99_000, "i", body(9, "draining")));
        assertEquals(RegistryEntry.State.GONE, state());
    }

    /** Every process of the fleet keeps the entries of all servers. */
    @Test
    void noMoreServersAreRegisteredThanThereIsRoomFor() {
        registry.confirmFresh(0);
        for (int i = 0; i < HeartbeatHandler.MAX_SERVERS; i++) {
            handler.onHeartbeat(0, "s" + i, body(1, "ready"));
        }
        FleetException rejection =
                assertThrows(FleetException.class, () -> handler.onHeartbeat(0, "new", body(1, "ready")));
        assertEquals(FleetException.Code.REGISTRY_FULL, rejection.code());
        assertThrows(FleetException.class, () -> handler.onDeregistration(0, "unknown"));
        assertEquals(HeartbeatHandler.MAX_SERVERS, registry.size(RegistryEntry.Subject.SERVER));
        assertNull(handler.onHeartbeat(0, "s0", body(2, "ready")), "a registered server is still served");
    }

    @Test
    void longTextsOfHeartbeatsAreRejected() {
        String longText = "x".repeat(HeartbeatHandler.MAX_TEXT_LENGTH + 1);
        byte[] longService = new String(body(1, "ready"), StandardCharsets.UTF_8)
                .replace("\"s\"", '"' + longText + '"')
                .getBytes(StandardCharsets.UTF_8);
        assertThrows(FleetException.class, () -> handler.onHeartbeat(0, "i", longService));
        assertThrows(FleetException.class, () -> handler.onHeartbeat(0, longText, body(1, "ready")));
        assertEquals(0, registry.size(RegistryEntry.Subject.SERVER));
    }

    @Test
    void malformedHeartbeatIsRejected() {
        assertThrows(FleetException.class, () -> handler.onHeartbeat(0, "i", new byte[] {'{'}));
    }

    @Test
    void serverThatReturnsWithOverdueWeightsIsRegisteredAsLoadingOnItsFirstHeartbeat() {
        registry.weightsDeadlines().observe(0, Map.of("m", 2L));
        registry.confirmFresh(2 * APPLY_MS);
        long usableUntilMs = registry.weightsDeadlines().usableUntilMs("m", 1);
        assertTrue(usableUntilMs < APPLY_MS);
        handler.onHeartbeat(usableUntilMs - 1, "i", body(1, "ready"));
        assertEquals(0, registered("i").loadingVersion(), "may still be used");
        handler.onHeartbeat(usableUntilMs, "j", body(1, "ready"));
        assertEquals(2, registered("j").loadingVersion());
        handler.onHeartbeat(usableUntilMs, "i", body(2, "ready"));
        assertEquals(2, registered("i").loadingVersion(), "may not be used any more");
    }

    private Server registered(String id) {
        return Server.of(registry.entry(RegistryEntry.Subject.SERVER, id));
    }
}
