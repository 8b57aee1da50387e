package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
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

    private long nowMs;
    private final Replica replica = new Replica(SEEDS.get(0), SEEDS, 1, false, List.of(), 1, 0, new NoOutput());
    private final CoreNode node = new CoreNode(
            Settings.parse(Bounds.settings("10.0.0.1", 1)),
            SEEDS.get(0),
            SEEDS,
            () -> nowMs,
            new Access(),
            (to, message) -> {},
            new NoCalls(),
            1);

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
}
