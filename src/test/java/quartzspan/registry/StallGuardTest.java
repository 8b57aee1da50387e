package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ControlState;

/** A process that was stalled does not rely on what it knew before, until a core machine has told it what it missed. */
class StallGuardTest {
    private static final String CORE = "c1:1";
    private static final String PROXY = "p1:1";
    private static final long STALL_MS = StallGuard.MIN_STALL_MS + 1;

    private record Delivery(String from, String to, GossipMessage message) {}

    private final ArrayDeque<Delivery> network = new ArrayDeque<>();
    private final Registry coreRegistry = new Registry();
    private final Registry proxyRegistry = new Registry();
    private final Gossip core = new Gossip(
            CORE, true, List.of(CORE), coreRegistry, (to, message) -> network.add(new Delivery(CORE, to, message)));
    private final Gossip proxy = new Gossip(
            PROXY, false, List.of(CORE), proxyRegistry, (to, message) -> network.add(new Delivery(PROXY, to, message)));

    private void deliverAll(long now) {
        Map<String, Gossip> processes = Map.of(CORE, core, PROXY, proxy);
        for (Delivery delivery; (delivery = network.poll()) != null; ) {
            if (processes.containsKey(delivery.to())) {
                processes.get(delivery.to()).onGossip(now, delivery.from(), delivery.message());
            }
        }
    }

    private static RegistryEntry server(RegistryEntry.State state, long seq) {
        return new RegistryEntry(
                RegistryEntry.Subject.SERVER, "i", seq, state, Server.encode("s", "10.0.0.1:1", "z", "", 0, 0));
    }

    private void startInSync() {
        coreRegistry.merge(0, server(RegistryEntry.State.READY, 1));
        proxy.onTick(0, null);
        deliverAll(0);
        assertEquals(
                RegistryEntry.State.READY,
                proxyRegistry.entry(RegistryEntry.Subject.SERVER, "i").state());
        assertFalse(proxy.mayBeOutdated(StallGuard.MIN_STALL_MS));
    }

    @Test
    void stallIsNoticedAtUseBeforeAnyTick() {
        startInSync();
        assertTrue(proxy.mayBeOutdated(STALL_MS));
    }

    @Test
    void viewIsUsedAgainOnceACoreMachineHasToldWhatWasMissed() {
        startInSync();
        coreRegistry.merge(500, server(RegistryEntry.State.DRAINING, 2));
        proxy.onTick(STALL_MS, null);
        assertTrue(proxy.mayBeOutdated(STALL_MS));
        deliverAll(STALL_MS + 5);
        assertFalse(proxy.mayBeOutdated(STALL_MS + 5));
        assertEquals(
                RegistryEntry.State.DRAINING,
                proxyRegistry.entry(RegistryEntry.Subject.SERVER, "i").state());
    }

    @Test
    void replyToAQueryFromBeforeTheStallConfirmsNothing() {
        startInSync();
        proxy.onTick(900, null);
        proxy.mayBeOutdated(900 + STALL_MS);
        deliverAll(900 + STALL_MS);
        assertTrue(proxy.mayBeOutdated(900 + STALL_MS));
    }

    @Test
    void replyWithANewerStateConfirmsNothingUntilThatStateIsHere() {
        startInSync();
        coreRegistry.publish(5, ControlState.EMPTY);
        proxyRegistry.publish(4, ControlState.EMPTY);
        proxy.onTick(STALL_MS, null);
        GossipMessage query = network.poll().message();
        core.onGossip(STALL_MS, PROXY, query);
        Delivery reply = network.poll();
        proxy.onGossip(STALL_MS, CORE, reply.message());
        assertTrue(proxy.mayBeOutdated(STALL_MS), "the state is still to be fetched");
    }

    @Test
    void processThatIsCutOffUsesItsViewAfterAWhile() {
        startInSync();
        assertTrue(proxy.mayBeOutdated(STALL_MS));
        for (long now = STALL_MS; now < STALL_MS + StallGuard.CONFIRMATION_TIMEOUT_MS; now += 100) {
            proxy.onTick(now, null);
            assertTrue(proxy.mayBeOutdated(now));
        }
        assertFalse(proxy.mayBeOutdated(STALL_MS + StallGuard.CONFIRMATION_TIMEOUT_MS));
    }

    @Test
    void peerConfirmsNothing() {
        proxyRegistry.merge(
                0, new RegistryEntry(RegistryEntry.Subject.PROXY, "p2:1", 1, RegistryEntry.State.READY, "z"));
        proxy.onTick(0, null);
        network.clear();
        proxy.onTick(STALL_MS, null);
        List<Delivery> queries =
                network.stream().filter(sent -> sent.to().equals("p2:1")).toList();
        assertFalse(queries.isEmpty());
        queries.forEach(query -> proxy.onGossip(STALL_MS, "p2:1", new Registry().reply(STALL_MS, query.message())));
        assertTrue(proxy.mayBeOutdated(STALL_MS));
    }
}
