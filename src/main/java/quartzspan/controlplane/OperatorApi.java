package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.http.HttpFraming;
import quartzspan.http.HttpServer.ClientConnection;
import quartzspan.registry.CoreMachine;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;

/**
 * The calls that operators make. Only the primary answers them, and only what a majority has confirmed: a refusal that
 * depends on the state as much as an acknowledgement. Everybody else sends the caller to the primary, or on to another machine.
 */
final class OperatorApi {
    private final LongSupplier clockMs;
    private final Replica replica;
    private final Registry registry;
    private final PendingReplicaRequests requestIds;

    OperatorApi(LongSupplier clockMs, Replica replica, Registry registry, PendingReplicaRequests requestIds) {
        this.clockMs = clockMs;
        this.replica = replica;
        this.registry = registry;
        this.requestIds = requestIds;
    }

    void replace(ClientConnection client, HttpRequest in, byte[] body, String rest) {
        change(client, in, Change.Kind.REPLACE, base(in), body);
    }

    void update(ClientConnection client, HttpRequest in, byte[] body, String rest) {
        change(client, in, Change.Kind.UPDATE, base(in), body);
    }

    void nameWeights(ClientConnection client, HttpRequest in, byte[] body, String rest) {
        change(client, in, Change.Kind.WEIGHTS, 0, body);
    }

    private static long base(HttpRequest in) {
        long base = HttpFraming.number(in.headers().get("X-Base-Version"));
        if (base < 0) {
            throw new FleetException(
                    FleetException.Code.CONFIG_INVALID,
                    "X-Base-Version is missing",
                    "name the version that the change builds on, 0 for the first");
        }
        return base;
    }

    private void change(ClientConnection client, HttpRequest in, Change.Kind kind, long base, byte[] body) {
        if (!sentToPrimary(client, in)) {
            long requestId = requestId(client, state -> RequestRouter.ok(client));
            replica.submit(clockMs.getAsLong(), requestId, new Change(kind, base, body));
        }
    }

    void describe(ClientConnection client, HttpRequest in, byte[] body, String rest) {
        if (!sentToPrimary(client, in)) {
            long requestId = requestId(
                    client,
                    state -> RequestRouter.answer(
                            client, HttpResponseStatus.OK, state.configuration().bytes()));
            replica.read(clockMs.getAsLong(), requestId);
        }
    }

    /** A ticket for the replica's answer, which goes to a client as long as it waits for one. */
    private long requestId(ClientConnection client, Consumer<ControlState> granted) {
        boolean[] left = {false};
        client.opened(() -> left[0] = true);
        return requestIds.issue((why, state) -> {
            if (left[0]) {
                return;
            }
            if (why == null) {
                granted.accept(state);
            } else {
                RequestRouter.refuse(client, why);
            }
        });
    }

    /** Sends the caller to the primary, if that is another; whether it did. */
    private boolean sentToPrimary(ClientConnection client, HttpRequest in) {
        if (replica.isPrimary()) {
            return false;
        }
        String leader = replica.knownPrimary(clockMs.getAsLong());
        RegistryEntry there = leader == null ? null : registry.entry(RegistryEntry.Subject.CORE, leader);
        if (there == null) {
            throw new FleetException(
                    FleetException.Code.NOT_PRIMARY, "nobody decides at present", "ask again in a moment");
        }
        RequestRouter.redirect(client, "http://" + CoreMachine.of(there).control() + in.uri());
        return true;
    }
}
