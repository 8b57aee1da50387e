package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** Batching of updates that follow one another closely on a core machine. */
class GossipBatchTest {
    private static final String PROXY = "p1:1";
    private static final String PEER = "c2:1";

    private final Registry registry = new Registry();
    private final List<GossipMessage> toProxy = new ArrayList<>();
    private final Gossip gossip = new Gossip("c1:1", true, List.of("c1:1", PEER), registry, this::recordSent);

    private void recordSent(String to, GossipMessage message) {
        if (to.equals(PROXY) && message.kind() == GossipMessage.Kind.UPDATE) {
            toProxy.add(message);
        }
    }

    /** Subscribes the proxy to updates by a query. */
    private void subscribe(long now) {
        gossip.onGossip(now, PROXY, new Registry().query(now, 1, false));
    }

    private RegistryEntry entry(String id, long seq) {
        RegistryEntry entry =
                new RegistryEntry(RegistryEntry.Subject.SERVER, id, seq, RegistryEntry.State.DRAINING, "");
        registry.merge(0, entry);
        return entry;
    }

    private static ControlState withWeightsVersion(ControlState state, long version) {
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        return state.with(new Change(Change.Kind.WEIGHTS, 0, body));
    }

    @Test
    void pendingUpdateIsSentWithTheNextUpdateBeforeTheTick() {
        subscribe(0);
        gossip.broadcast(0, entry("i-1", 1));
        gossip.broadcast(10, entry("i-2", 1));
        assertEquals(1, toProxy.size(), "batched");
        gossip.broadcast(45, entry("i-3", 1));
        List<String> sent =
                toProxy.get(1).entries().stream().map(RegistryEntry::key).toList();
        assertEquals(List.of("i-2", "i-3"), sent);
        gossip.onTick(90, null);
        assertEquals(2, toProxy.size(), "sent once");
    }

    @Test
    void pendingDeltasAreSentWithAnEntryThatArrivesBeforeTheTick() {
        subscribe(0);
        ControlState first = withWeightsVersion(ControlState.EMPTY, 1);
        assertTrue(registry.publish(1, first));
        gossip.onPublished(0);
        assertTrue(registry.publish(2, withWeightsVersion(first, 2)));
        gossip.onPublished(10);
        gossip.broadcast(45, entry("i-1", 1));
        gossip.onTick(90, null);
        assertFalse(toProxy.stream().allMatch(message -> message.deltas().isEmpty()), "the delta from 1 to 2 is sent");
    }
}
