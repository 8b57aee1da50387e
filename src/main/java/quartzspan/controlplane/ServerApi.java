package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.http.HttpServer.ClientConnection;
import quartzspan.registry.RegistryEntry;

/** The requests of servers: heartbeats and deregistrations. */
final class ServerApi {
    private final LongSupplier clockMs;
    private final HeartbeatHandler handler;
    private final DrainAcknowledger drains;
    private final IntSupplier requiredHolders;

    /** @param requiredHolders number of other core machines that must have the entry of a draining server */
    ServerApi(LongSupplier clockMs, HeartbeatHandler handler, DrainAcknowledger drains, IntSupplier requiredHolders) {
        this.clockMs = clockMs;
        this.handler = handler;
        this.drains = drains;
        this.requiredHolders = requiredHolders;
    }

    void heartbeat(ClientConnection client, HttpRequest in, byte[] body, String id) {
        RegistryEntry draining = handler.heartbeat(clockMs.getAsLong(), id, body);
        if (draining == null) {
            RequestRouter.ok(client);
        } else {
            acknowledgeDrain(client, draining);
        }
    }

    void deregister(ClientConnection client, HttpRequest in, byte[] body, String id) {
        acknowledgeDrain(client, handler.deregistration(clockMs.getAsLong(), id));
    }

    private void acknowledgeDrain(ClientConnection client, RegistryEntry draining) {
        DrainAcknowledger.Caller caller = new DrainAcknowledger.Caller() {
            @Override
            public void acknowledge() {
                RequestRouter.ok(client);
            }

            @Override
            public void refuse(FleetException why) {
                RequestRouter.refuse(client, why);
            }
        };
        DrainAcknowledger.Pending pending =
                drains.begin(clockMs.getAsLong(), draining, requiredHolders.getAsInt(), caller);
        if (pending.isPending()) {
            client.onDisconnect(pending::cancel);
        }
    }
}
