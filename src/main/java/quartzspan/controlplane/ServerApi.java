package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.http.HttpServer.ClientConnection;
import quartzspan.registry.RegistryEntry;

/** The calls that servers make: heartbeats, and the word that they leave. */
final class ServerApi {
    private final LongSupplier clockMs;
    private final HeartbeatHandler receiver;
    private final DrainAcknowledger leaves;
    private final IntSupplier holders;

    /** @param holders how many other core machines must hold the word of a server that leaves */
    ServerApi(LongSupplier clockMs, HeartbeatHandler receiver, DrainAcknowledger leaves, IntSupplier holders) {
        this.clockMs = clockMs;
        this.receiver = receiver;
        this.leaves = leaves;
        this.holders = holders;
    }

    void heartbeat(ClientConnection client, HttpRequest in, byte[] body, String id) {
        RegistryEntry leaving = receiver.heartbeat(clockMs.getAsLong(), id, body);
        if (leaving == null) {
            RequestRouter.ok(client);
        } else {
            acknowledgeLeave(client, leaving);
        }
    }

    void deregister(ClientConnection client, HttpRequest in, byte[] body, String id) {
        acknowledgeLeave(client, receiver.deregistration(clockMs.getAsLong(), id));
    }

    private void acknowledgeLeave(ClientConnection client, RegistryEntry leaving) {
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
        DrainAcknowledger.Pending pending = leaves.begin(clockMs.getAsLong(), leaving, holders.getAsInt(), caller);
        if (pending.isPending()) {
            client.opened(pending::cancel);
        }
    }
}
