package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.registry.DepartureLog;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;

/** When a core machine that has started knows all departures that were acknowledged before. */
class DepartureCatchUpTest {
    private static final List<String> CORES = List.of("c1:1", "c2:1", "c3:1");
    private static final String SELF = "c1:1";
    private static final RegistryEntry GONE =
            new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 2, RegistryEntry.State.GONE, "s");

    private record InFlightMessage(String from, String to, GossipMessage message) {}

    private final Map<String, Registry> registries = new HashMap<>();
    private final Map<String, Gossip> gossips = new HashMap<>();
    private final ArrayDeque<InFlightMessage> messagesInFlight = new ArrayDeque<>();
    private final Set<String> down = new HashSet<>();
    private Membership membership = new Membership(Epoch.NONE, SELF, CORES, CORES, List.of());

    DepartureCatchUpTest() {
        for (String core : CORES) {
            Registry registry = new Registry();
            registries.put(core, registry);
            gossips.put(
                    core,
                    new Gossip(
                            core,
                            true,
                            CORES,
                            registry,
                            (to, message) -> messagesInFlight.add(new InFlightMessage(core, to, message))));
        }
    }

    private DepartureCatchUp catchUp(boolean complete, boolean firstStart) {
        DepartureLog log = new DepartureLog(0, registries.get(SELF), List.of(), complete, record -> {});
        return new DepartureCatchUp(SELF, gossips.get(SELF), log, () -> membership, firstStart);
    }

    private void deliver() {
        while (!messagesInFlight.isEmpty()) {
            InFlightMessage next = messagesInFlight.poll();
            if (!down.contains(next.from()) && !down.contains(next.to())) {
                gossips.get(next.to()).onGossip(0, next.from(), next.message());
            }
        }
    }

    @Test
    void departuresOfAQuorumAreMergedFirst() {
        down.addAll(List.of("c2:1", "c3:1"));
        registries.get("c2:1").merge(0, GONE);
        DepartureCatchUp catchUp = catchUp(true, false);
        catchUp.onTick(0);
        deliver();
        assertFalse(catchUp.isCaughtUp(0), "this machine alone is no quorum");
        down.remove("c2:1");
        catchUp.onTick(DepartureCatchUp.QUERY_INTERVAL_MS);
        deliver();
        assertTrue(catchUp.isCaughtUp(DepartureCatchUp.QUERY_INTERVAL_MS), "asked without a tick");
        assertEquals(GONE, registries.get(SELF).entry(RegistryEntry.Subject.SERVER, "i"));
    }

    @Test
    void machineWhoseDiskWasLostNeedsAQuorumOfTheOthers() {
        down.add("c3:1");
        DepartureCatchUp catchUp = catchUp(false, false);
        catchUp.onTick(0);
        deliver();
        assertFalse(catchUp.isCaughtUp(0));
        down.clear();
        catchUp.onTick(DepartureCatchUp.QUERY_INTERVAL_MS);
        deliver();
        assertTrue(catchUp.isCaughtUp(DepartureCatchUp.QUERY_INTERVAL_MS));
    }

    @Test
    void nothingIsKnownWithoutAMembership() {
        Membership known = membership;
        membership = Membership.NONE;
        DepartureCatchUp catchUp = catchUp(true, false);
        catchUp.onTick(0);
        deliver();
        assertFalse(catchUp.isCaughtUp(0));
        membership = known;
        assertTrue(catchUp.isCaughtUp(0));
    }

    @Test
    void firstStartOfTheSystemWaitsForNobody() {
        assertTrue(catchUp(true, true).isCaughtUp(0));
    }

    @Test
    void onlyMachinesThatAreMissingAreQueriedAndNoMoreOnceCaughtUp() {
        down.add("c3:1");
        DepartureCatchUp catchUp = catchUp(false, false);
        catchUp.onTick(0);
        deliver();
        catchUp.onTick(DepartureCatchUp.QUERY_INTERVAL_MS - 1);
        assertEquals(List.of(), queried());
        catchUp.onTick(DepartureCatchUp.QUERY_INTERVAL_MS);
        assertEquals(List.of("c3:1"), queried());
        down.clear();
        deliver();
        catchUp.onTick(2 * DepartureCatchUp.QUERY_INTERVAL_MS);
        assertEquals(List.of(), queried());
    }

    private List<String> queried() {
        List<String> recipients = new ArrayList<>();
        messagesInFlight.forEach(inFlight -> recipients.add(inFlight.to()));
        return recipients;
    }
}
