package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import mulleinfront.proxy.Frontend.Client;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.registry.Gossip;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** The calls that servers make: heartbeats, and the word that they leave. */
final class ServerCalls {
    private final LongSupplier clockMs;
    private final Registry registry;
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final LeaveAcknowledgements leaves;
    private final IntSupplier holders;

    /** @param holders how many other core machines must hold the word of a server that leaves */
    ServerCalls(
            LongSupplier clockMs,
            Registry registry,
            HeartbeatTracker heartbeats,
            Gossip gossip,
            LeaveAcknowledgements leaves,
            IntSupplier holders) {
        this.clockMs = clockMs;
        this.registry = registry;
        this.heartbeats = heartbeats;
        this.gossip = gossip;
        this.leaves = leaves;
        this.holders = holders;
    }

    void heartbeat(Client client, HttpRequest in, byte[] body, String id) {
        JsonObject json = Configuration.json(body);
        boolean draining = json.getString("state", "ready").equals("draining");
        long now = clockMs.getAsLong();
        RegistryEntry news = heartbeats.beat(
                now,
                id,
                Configuration.whole(json, "call_count", 0),
                draining ? RegistryEntry.State.DRAINING : RegistryEntry.State.READY,
                server(id, json));
        if (draining) {
            acknowledgeLeave(client, now, id, news);
            return;
        }
        if (news != null) {
            gossip.tell(now, news);
        }
        CallTable.ok(client);
    }

    /** What a server says of itself. */
    private static Server server(String id, JsonObject json) {
        String model = "";
        long weights = 0;
        if (json.get("models") instanceof JsonArray models && !models.isEmpty()) {
            model = models.getJsonObject(0).getString("name", "");
            weights = Configuration.whole(models.getJsonObject(0), "version", 0);
        }
        String text = Server.text(
                json.getString("service", ""),
                json.getString("address", ""),
                json.getString("zone", ""),
                model,
                weights,
                0);
        Server server =
                Server.of(new RegistryEntry(RegistryEntry.Subject.SERVER, id, 0, RegistryEntry.State.READY, text));
        if (server == null) {
            throw new FleetException(
                    FleetException.Code.MESSAGE_INVALID, "a heartbeat can't be read", "send it as the page says");
        }
        return server;
    }

    void deregister(Client client, HttpRequest in, byte[] body, String id) {
        long now = clockMs.getAsLong();
        acknowledgeLeave(client, now, id, heartbeats.gone(now, id));
    }

    private void acknowledgeLeave(Client client, long now, String id, RegistryEntry news) {
        RegistryEntry entry = news != null ? news : registry.entry(RegistryEntry.Subject.SERVER, id);
        LeaveAcknowledgements.Waiting waiting =
                leaves.begin(now, entry, holders.getAsInt(), new LeaveAcknowledgements.Caller() {
                    @Override
                    public void acknowledge() {
                        CallTable.ok(client);
                    }

                    @Override
                    public void refuse(FleetException why) {
                        CallTable.refuse(client, why);
                    }
                });
        if (waiting.open()) {
            client.opened(waiting::hangUp);
        }
    }
}
