package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;

/**
 * A drain request is acknowledged only once its entry survives the loss of as many core machines as may be lost at
 * once.
 */
class DrainAcknowledgerTest {
    private static final List<String> CORES = List.of("c1:1", "c2:1", "c3:1", "c4:1", "c5:1");
    private static final List<String> PROXIES = List.of("p1:1", "p2:1");
    private static final RegistryEntry READY = entry(2, RegistryEntry.State.READY);
    private static final RegistryEntry DRAINING = entry(3, RegistryEntry.State.DRAINING);
    private static final int TICK_MS = 50;

    private record InFlightMessage(String from, String to, GossipMessage message) {}

    private final Map<String, Registry> registries = new LinkedHashMap<>();
    private final Map<String, Gossip> gossips = new LinkedHashMap<>();
    private final ArrayDeque<InFlightMessage> messagesInFlight = new ArrayDeque<>();
    private final Set<String> down = new HashSet<>();
    private final List<String> responses = new ArrayList<>();
    private long now;

    private DrainAcknowledger drainAcknowledger;

    private static RegistryEntry entry(long seq, RegistryEntry.State state) {
        return new RegistryEntry(RegistryEntry.Subject.SERVER, "i", seq, state, "s\t10.0.0.9:80\tz\tm\t1\t0");
    }

    DrainAcknowledgerTest() {
        CORES.forEach(name -> start(name, true));
        PROXIES.forEach(name -> start(name, false));
        registries.get("c1:1").merge(now, READY);
        run(2_000);
        drainAcknowledger = new DrainAcknowledger(gossips.get("c1:1"));
    }

    private void start(String name, boolean core) {
        Registry registry = new Registry();
        registries.put(name, registry);
        gossips.put(
                name,
                new Gossip(
                        name,
                        core,
                        CORES,
                        registry,
                        (to, message) -> messagesInFlight.add(new InFlightMessage(name, to, message))));
    }

    private DrainAcknowledger.Caller caller() {
        return new DrainAcknowledger.Caller() {
            @Override
            public void acknowledge() {
                responses.add("acknowledged");
            }

            @Override
            public void reject(FleetException rejection) {
                responses.add(rejection.code().name());
            }
        };
    }

    private DrainAcknowledger.PendingRequest drain(int requiredAcks) {
        registries.get("c1:1").merge(now, DRAINING);
        // The acknowledging machine itself is one of the holders.
        return drainAcknowledger.begin(now, DRAINING, holders -> holders.size() > requiredAcks, caller());
    }

    private void deliver() {
        while (!messagesInFlight.isEmpty()) {
            InFlightMessage inFlight = messagesInFlight.poll();
            if (!down.contains(inFlight.from()) && !down.contains(inFlight.to())) {
                gossips.get(inFlight.to()).onGossip(now, inFlight.from(), inFlight.message());
            }
        }
    }

    private void run(long ms) {
        for (long end = now + ms; now < end; now += TICK_MS) {
            gossips.forEach((name, gossip) -> {
                if (!down.contains(name)) {
                    gossip.onTick(now, null);
                }
            });
            if (drainAcknowledger != null) {
                drainAcknowledger.onTick(now);
            }
            deliver();
        }
    }

    private RegistryEntry.State stateAt(String name) {
        return registries.get(name).entry(RegistryEntry.Subject.SERVER, "i").state();
    }

    @Test
    void oneAcknowledgementIsNotEnoughWhereTwoLossesAreTolerated() {
        down.addAll(List.of("c3:1", "c4:1", "c5:1"));
        drain(2);
        run(DrainAcknowledger.ACKNOWLEDGEMENT_TIMEOUT_MS - 100);
        assertEquals(List.of(), responses);
        run(200);
        assertEquals(List.of("NOT_PRIMARY"), responses, "in time for the server to call another machine");
        assertTrue(drainAcknowledger.isIdle());
        run(2_000);
        assertEquals(1, responses.size(), "one response only");
    }

    @Test
    void acknowledgedEntrySurvivesTheLossOfTheAcknowledgingAndAnotherMachine() {
        // The machines that receive the entry can't reach the proxies, which do not receive it at first.
        down.addAll(List.of("c4:1", "c5:1", "p1:1", "p2:1"));
        drain(2);
        run(TICK_MS);
        assertEquals(List.of("acknowledged"), responses);
        down.clear();
        down.addAll(List.of("c1:1", "c2:1"));
        run(2_000);
        for (String name : List.of("c3:1", "c4:1", "c5:1", "p1:1", "p2:1")) {
            assertEquals(RegistryEntry.State.DRAINING, stateAt(name), name);
        }
    }

    @Test
    void restartedMachineReceivesTheEntryFromOneThatMissedTheBroadcast() {
        down.add("c5:1");
        drain(2);
        run(TICK_MS);
        down.clear();
        down.addAll(List.of("c1:1", "c2:1"));
        start("c3:1", true);
        start("p1:1", false);
        run(2_000);
        assertEquals(RegistryEntry.State.DRAINING, stateAt("c3:1"));
        assertEquals(RegistryEntry.State.DRAINING, stateAt("c5:1"));
        assertEquals(RegistryEntry.State.DRAINING, stateAt("p1:1"));
    }

    @Test
    void lostMessageIsResentBeforeTheTimeout() {
        down.addAll(List.of("c2:1", "c3:1", "c4:1", "c5:1"));
        drain(2);
        run(300);
        assertEquals(List.of(), responses);
        down.clear();
        run(300);
        assertEquals(List.of("acknowledged"), responses);
    }

    @Test
    void requestOfADisconnectedCallerIsDroppedWithoutAResponse() {
        down.addAll(List.of("c2:1", "c3:1", "c4:1", "c5:1"));
        DrainAcknowledger.PendingRequest request = drain(1);
        assertTrue(request.isPending());
        request.cancel();
        assertFalse(request.isPending());
        assertTrue(drainAcknowledger.isIdle());
        down.clear();
        run(2_000);
        assertEquals(List.of(), responses);
    }

    @Test
    void withoutToleratedLossesTheEntryIsAcknowledgedImmediately() {
        down.addAll(List.of("c2:1", "c3:1", "c4:1", "c5:1"));
        assertFalse(drain(0).isPending());
        assertEquals(List.of("acknowledged"), responses);
    }
}
