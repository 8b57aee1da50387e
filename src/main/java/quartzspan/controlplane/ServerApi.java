package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import quartzspan.common.FleetException;
import quartzspan.http.HttpServer.ClientConnection;
import quartzspan.registry.RegistryEntry;

/** Handles the requests of servers: heartbeats and deregistrations. */
final class ServerApi {
    private final LongSupplier clockMs;
    private final HeartbeatHandler handler;
    private final DrainAcknowledger drainAcknowledger;
    private final Predicate<Set<String>> enoughHolders;

    /** @param enoughHolders whether these core machines are enough to hold the entry of a server that leaves */
    ServerApi(
            LongSupplier clockMs,
            HeartbeatHandler handler,
            DrainAcknowledger drainAcknowledger,
            Predicate<Set<String>> enoughHolders) {
        this.clockMs = clockMs;
        this.handler = handler;
        this.drainAcknowledger = drainAcknowledger;
        this.enoughHolders = enoughHolders;
    }

    void heartbeat(ClientConnection client, HttpRequest request, byte[] body, String id) {
        RegistryEntry draining = handler.onHeartbeat(clockMs.getAsLong(), id, body);
        if (draining == null) {
            RequestRouter.ok(client);
        } else {
            acknowledgeDrain(client, draining);
        }
    }

    void deregister(ClientConnection client, HttpRequest request, byte[] body, String id) {
        acknowledgeDrain(client, handler.onDeregistration(clockMs.getAsLong(), id));
    }

    private void acknowledgeDrain(ClientConnection client, RegistryEntry draining) {
        DrainAcknowledger.Caller caller = new DrainAcknowledger.Caller() {
            @Override
            public void acknowledge() {
                RequestRouter.ok(client);
            }

            @Override
            public void reject(FleetException rejection) {
                RequestRouter.reject(client, rejection);
            }
        };
        DrainAcknowledger.PendingRequest pending =
                drainAcknowledger.begin(clockMs.getAsLong(), draining, enoughHolders, caller);
        if (pending.isPending()) {
            client.onDisconnect(pending::cancel);
        }
    }
}
