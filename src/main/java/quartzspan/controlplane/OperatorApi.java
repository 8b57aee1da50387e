package quartzspan.controlplane;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * Handles the requests of operators. Only the primary answers them, and only with what a quorum has confirmed; that includes
 * rejections that depend on the state. Any other machine redirects the caller to the primary, or rejects with a remedy.
 */
final class OperatorApi {
    private final LongSupplier clockMs;
    private final ReplicaHost replicaHost;
    private final Registry registry;

    OperatorApi(LongSupplier clockMs, ReplicaHost replicaHost, Registry registry) {
        this.clockMs = clockMs;
        this.replicaHost = replicaHost;
        this.registry = registry;
    }

    void replace(ClientConnection client, HttpRequest request, byte[] body, String pathSuffix) {
        change(client, request, Change.Kind.REPLACE, baseVersion(request), body);
    }

    void update(ClientConnection client, HttpRequest request, byte[] body, String pathSuffix) {
        change(client, request, Change.Kind.UPDATE, baseVersion(request), body);
    }

    void setTargetVersion(ClientConnection client, HttpRequest request, byte[] body, String pathSuffix) {
        change(client, request, Change.Kind.WEIGHTS, 0, body);
    }

    private static long baseVersion(HttpRequest request) {
        long baseVersion = HttpFraming.parseNumber(request.headers().get("X-Base-Version"));
        if (baseVersion < 0) {
            throw new FleetException(
                    FleetException.Code.CONFIG_INVALID,
                    "header X-Base-Version is missing or invalid",
                    "send the version that the change is based on, 0 for the first configuration");
        }
        return baseVersion;
    }

    private void change(ClientConnection client, HttpRequest request, Change.Kind kind, long baseVersion, byte[] body) {
        if (!redirectToPrimary(client, request)) {
            replicaHost.submit(
                    new Change(kind, baseVersion, body), respondTo(client, state -> RequestRouter.ok(client)));
        }
    }

    void describe(ClientConnection client, HttpRequest request, byte[] body, String pathSuffix) {
        if (!redirectToPrimary(client, request)) {
            replicaHost.read(respondTo(
                    client,
                    state -> RequestRouter.respond(
                            client, HttpResponseStatus.OK, state.configuration().bytes())));
        }
    }

    /** Sends the replica's result to a client, unless it has disconnected in the meantime. */
    private static PendingReplicaRequests.Callback respondTo(
            ClientConnection client, Consumer<ControlState> onGranted) {
        AtomicBoolean disconnected = new AtomicBoolean();
        client.onDisconnect(() -> disconnected.set(true));
        return (rejection, state) -> {
            if (disconnected.get()) {
                return;
            }
            if (rejection == null) {
                onGranted.accept(state);
            } else {
                RequestRouter.reject(client, rejection);
            }
        };
    }

    /** Redirects the caller if another machine is primary; returns whether it did. */
    private boolean redirectToPrimary(ClientConnection client, HttpRequest request) {
        Replica replica = replicaHost.replica();
        if (replica.isPrimary()) {
            return false;
        }
        String primary = replica.knownPrimary(clockMs.getAsLong());
        RegistryEntry entry = primary == null ? null : registry.entry(RegistryEntry.Subject.CORE, primary);
        if (entry == null) {
            throw new FleetException(
                    FleetException.Code.NOT_PRIMARY, "no primary is currently known", "retry in a moment");
        }
        RequestRouter.redirect(client, "http://" + CoreMachine.of(entry).controlAddress() + request.uri());
        return true;
    }
}
