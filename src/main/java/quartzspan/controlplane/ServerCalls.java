package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.http.Frontend.Client;
import quartzspan.registry.RegistryEntry;

/** The calls that servers make: heartbeats, and the word that they leave. */
final class ServerCalls {
    private final LongSupplier clockMs;
    private final HeartbeatReceiver receiver;
    private final LeaveAcknowledgements leaves;
    private final IntSupplier holders;

    /** @param holders how many other core machines must hold the word of a server that leaves */
    ServerCalls(LongSupplier clockMs, HeartbeatReceiver receiver, LeaveAcknowledgements leaves, IntSupplier holders) {
        this.clockMs = clockMs;
        this.receiver = receiver;
        this.leaves = leaves;
        this.holders = holders;
    }

    void heartbeat(Client client, HttpRequest in, byte[] body, String id) {
        RegistryEntry leaving = receiver.heartbeat(clockMs.getAsLong(), id, body);
        if (leaving == null) {
            CallTable.ok(client);
        } else {
            acknowledgeLeave(client, leaving);
        }
    }

    void deregister(Client client, HttpRequest in, byte[] body, String id) {
        acknowledgeLeave(client, receiver.deregistration(clockMs.getAsLong(), id));
    }

    private void acknowledgeLeave(Client client, RegistryEntry leaving) {
        LeaveAcknowledgements.Caller caller = new LeaveAcknowledgements.Caller() {
            @Override
            public void acknowledge() {
                CallTable.ok(client);
            }

            @Override
            public void refuse(FleetException why) {
                CallTable.refuse(client, why);
            }
        };
        LeaveAcknowledgements.Waiting waiting = leaves.begin(clockMs.getAsLong(), leaving, holders.getAsInt(), caller);
        if (waiting.open()) {
            client.opened(waiting::hangUp);
        }
    }
}
