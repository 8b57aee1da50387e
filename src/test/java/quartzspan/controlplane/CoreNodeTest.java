package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.SnapshotChunk;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.simulation.Bounds;

/** What a core machine concludes from messages that arrive, or do not. */
class CoreNodeTest {
    private static final List<String> SEEDS = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
    private static final long SERVER_TIMEOUT_MS = 5_000;

    private record Sent(String to, GossipMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private long nowMs;
    private final Replica replica = new Replica(SEEDS.get(0), SEEDS, 1, false, List.of(), 1, 0, new NoOutput());
    private final CoreNode node = node(StoredDepartures.FIRST_START);

    private CoreNode node(StoredDepartures storedDepartures) {
        return new CoreNode(
                Settings.parse(Bounds.settings("10.0.0.1", 1)),
                SEEDS.get(0),
                SEEDS,
                () -> nowMs,
                new Access(),
                (to, message) -> sent.add(new Sent(to, message)),
                new NoCalls(),
                storedDepartures,
                record -> {},
                1);
    }

    private static final class NoOutput implements Replica.Output {
        @Override
        public void send(String to, ReplicaMessage message) {}

        @Override
        public void persist(long recordNumber, byte[] record) {}

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {}

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {}
    }

    private final class Access implements ReplicaAccess {
        @Override
        public Replica replica() {
            return replica;
        }

        @Override
        public void submit(Change change, PendingReplicaRequests.Callback callback) {
            throw new AssertionError("nothing is submitted");
        }
    }

    private static final class NoCalls implements ServerCalls {
        @Override
        public void get(Server server, String path, Map<String, String> headers, ResponseListener listener) {}

        @Override
        public void post(
                Server server,
                String path,
                String json,
                long timeoutMs,
                BooleanSupplier permitted,
                ResponseListener listener) {}
    }

    private void heartbeat() {
        node.registry().confirmFresh(nowMs);
        node.heartbeatHandler()
                .onHeartbeat(
                        nowMs,
                        "i",
                        ("{\"service\":\"s\",\"address\":\"10.1.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
                                        + "\"models\":[],\"call_count\":1}")
                                .getBytes(StandardCharsets.UTF_8));
    }

    private RegistryEntry.State state() {
        return node.registry().entry(RegistryEntry.Subject.SERVER, "i").state();
    }

    @Test
    void silentServerIsLostWhileThisMachineIsConnected() {
        heartbeat();
        nowMs += SERVER_TIMEOUT_MS;
        node.registry().confirmFresh(nowMs);
        node.onTick(nowMs);
        assertEquals(RegistryEntry.State.LOST, state());
    }

    @Test
    void disconnectedMachineDeclaresNoServerLost() {
        heartbeat();
        nowMs += SERVER_TIMEOUT_MS;
        node.onTick(nowMs);
        assertEquals(RegistryEntry.State.READY, state(), "others may have heard it");
        nowMs += SERVER_TIMEOUT_MS;
        node.registry().confirmFresh(nowMs);
        node.onTick(nowMs);
        assertEquals(RegistryEntry.State.LOST, state(), "the time-out counts from the reconnection");
    }

    private List<String> receivers(GossipMessage.Kind kind) {
        return sent.stream()
                .filter(entry -> entry.message().kind() == kind)
                .map(Sent::to)
                .toList();
    }

    private static ControlState withTargetVersion(ControlState state, long version) {
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        return state.with(new Change(Change.Kind.WEIGHTS, 0, body));
    }

    private static GossipMessage heartbeatsOf(RegistryEntry.Subject subject, String key) {
        return GossipMessage.heartbeats(List.of(new RegistryEntry(subject, key, 9, RegistryEntry.State.READY, "")));
    }

    @Test
    void heartbeatsAreReportedToTheOtherCoreMachines() {
        node.onTick(nowMs);
        assertEquals(List.of(), receivers(GossipMessage.Kind.HEARTBEATS));
        heartbeat();
        nowMs += 1_000;
        node.onTick(nowMs);
        assertEquals(Set.copyOf(SEEDS.subList(1, 3)), Set.copyOf(receivers(GossipMessage.Kind.HEARTBEATS)));
        sent.clear();
        nowMs += 1_000;
        node.onTick(nowMs);
        assertEquals(List.of(), receivers(GossipMessage.Kind.HEARTBEATS));
    }

    @Test
    void serverThatAnotherCoreMachineHearsIsNotLost() {
        heartbeat();
        nowMs += SERVER_TIMEOUT_MS;
        node.onGossip(nowMs, SEEDS.get(1), null, heartbeatsOf(RegistryEntry.Subject.SERVER, "i"));
        node.registry().confirmFresh(nowMs);
        node.onTick(nowMs);
        assertEquals(RegistryEntry.State.READY, state());
        assertEquals(List.of(), receivers(GossipMessage.Kind.REPLY), "such a report is not answered");
    }

    @Test
    void lossOfAServerIsBroadcast() {
        heartbeat();
        nowMs += SERVER_TIMEOUT_MS;
        sent.clear();
        node.registry().confirmFresh(nowMs);
        node.onTick(nowMs);
        assertEquals(Set.copyOf(SEEDS.subList(1, 3)), Set.copyOf(receivers(GossipMessage.Kind.UPDATE)));
    }

    /** An update with the entry of a server. */
    private static GossipMessage update(String server) {
        RegistryEntry entry = new RegistryEntry(RegistryEntry.Subject.SERVER, server, 1, RegistryEntry.State.READY, "");
        return new GossipMessage(
                GossipMessage.Kind.UPDATE,
                0,
                -1,
                -1,
                new long[0],
                List.of(entry),
                List.of(),
                SnapshotChunk.NONE,
                List.of());
    }

    @Test
    void proxyThatSendsAMessageIsRegistered() {
        node.onGossip(nowMs, "10.2.0.1:1", "z", update("a"));
        assertEquals(List.of("10.2.0.1:1"), node.registry().readyKeys(RegistryEntry.Subject.PROXY));
        node.onGossip(nowMs, SEEDS.get(1), null, update("b"));
        assertEquals(1, node.registry().readyKeys(RegistryEntry.Subject.PROXY).size(), "a core machine is no proxy");
        assertEquals(2, node.registry().all(RegistryEntry.Subject.SERVER).size(), "both messages are merged");
    }

    @Test
    void committedStateIsPublishedOnce() {
        ControlState state = withTargetVersion(ControlState.EMPTY, 1);
        nowMs += 1_000;
        node.onStateCommitted(nowMs, 4, state);
        assertEquals(4, node.registry().stateIndex());
        assertEquals(Set.copyOf(SEEDS.subList(1, 3)), Set.copyOf(receivers(GossipMessage.Kind.UPDATE)));
        sent.clear();
        nowMs += 1_000;
        node.onStateCommitted(nowMs, 4, state);
        assertEquals(List.of(), sent);
    }

    @Test
    void coreMachinesAreReachableWhileTheirMessagesArrive() {
        node.onCoreMessage(0, SEEDS.get(1));
        node.onCoreMessage(400, SEEDS.get(2));
        assertEquals(2, node.reachableCores(1_500).size());
        assertEquals(List.of(SEEDS.get(2)), node.reachableCores(1_501));
    }

    @Test
    void onlyAServerThatHasDeregisteredIsDeregistered() {
        assertFalse(node.isDeregistered("i"));
        heartbeat();
        assertFalse(node.isDeregistered("i"));
        node.heartbeatHandler().onDeregistration(nowMs, "i");
        assertTrue(node.isDeregistered("i"));
    }

    private static GossipMessage query() {
        return new GossipMessage(
                GossipMessage.Kind.QUERY, 7, -1, -1, new long[1], List.of(), List.of(), SnapshotChunk.NONE, List.of());
    }

    /** A reply would say that it knows all departures that it has confirmed. */
    @Test
    void machineWhoseDiskWasLostAnswersNoCoreMachine() {
        CoreNode withLostDisk = node(new StoredDepartures(List.of(), false, false));
        withLostDisk.onGossip(nowMs, SEEDS.get(1), null, query());
        assertEquals(List.of(), receivers(GossipMessage.Kind.REPLY));
        withLostDisk.onGossip(nowMs, "10.2.0.1:1", "z", query());
        assertEquals(List.of("10.2.0.1:1"), receivers(GossipMessage.Kind.REPLY));
        node(new StoredDepartures(List.of(), true, false)).onGossip(nowMs, SEEDS.get(1), null, query());
        assertEquals(List.of("10.2.0.1:1", SEEDS.get(1)), receivers(GossipMessage.Kind.REPLY));
    }

    @Test
    void noDepartureIsDurableWhileNoMembershipIsKnown() {
        assertFalse(node.isDepartureDurable(Set.copyOf(SEEDS)));
    }
}
