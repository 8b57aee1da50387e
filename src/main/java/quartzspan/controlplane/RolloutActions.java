package quartzspan.controlplane;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.Settings;
import quartzspan.configuration.JsonFields;
import quartzspan.registry.Gossip;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;
import quartzspan.replication.Epoch;
import quartzspan.replication.Replica;

/** Carries out the weights rollout: claims it in the control state, sends requests to servers, and updates the registry. */
final class RolloutActions implements RolloutCoordinator.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutActions.class);

    private final String self;
    private final String nodeName;
    private final LongSupplier clockMs;
    private final ReplicaAccess replicaAccess;
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final ServerCalls serverCalls;
    private final RolloutCoordinator coordinator;
    /** Target versions that have been logged, by model. */
    private final Map<String, Long> loggedTargets = new HashMap<>();
    /** The last logged progress, by model. */
    private final Map<String, RolloutPlanner.Status> loggedProgress = new HashMap<>();

    RolloutActions(
            Settings settings,
            String self,
            LongSupplier clockMs,
            ReplicaAccess replicaAccess,
            HeartbeatTracker heartbeats,
            Gossip gossip,
            ServerCalls serverCalls,
            WeightsDeadlines deadlines) {
        this.self = self;
        this.nodeName = settings.nodeName();
        this.clockMs = clockMs;
        this.replicaAccess = replicaAccess;
        this.heartbeats = heartbeats;
        this.gossip = gossip;
        this.serverCalls = serverCalls;
        RolloutPlanner planner = new RolloutPlanner(deadlines);
        this.coordinator = new RolloutCoordinator(self, settings.bounds().leaseMs(), planner, this::leadership, this);
    }

    void onTick(long now, Registry registry) {
        Map<String, Long> targets = registry.state().weights();
        logTargetVersions(targets);
        coordinator.onTick(now, registry::servers);
    }

    private void logTargetVersions(Map<String, Long> targets) {
        targets.forEach((model, version) -> {
            Long logged = loggedTargets.put(model, version);
            if (!version.equals(logged)) {
                LOG.info("version {} of {} is named", version, model);
            }
        });
    }

    private Optional<RolloutCoordinator.Leadership> leadership() {
        Replica replica = replicaAccess.replica();
        if (!replica.isPrimary()) {
            return Optional.empty();
        }
        ControlState state = replica.state();
        return Optional.of(new RolloutCoordinator.Leadership(
                replica.membership().epoch(),
                replica.confirmedAtMs(),
                state.rolloutHolder(),
                state.fencingToken(),
                state.weights()));
    }

    @Override
    public void claim(Epoch epoch) {
        Change claim = new Change(Change.Kind.ROLLOUT_CLAIM, 0, self.getBytes(StandardCharsets.UTF_8));
        replicaAccess.submit(claim, (rejection, state) -> {
            boolean granted = rejection == null && state.rolloutHolder().equals(self);
            coordinator.onClaimResult(epoch, granted, granted ? state.fencingToken() : 0);
        });
    }

    @Override
    public void announce(Server server, long version) {
        broadcast(heartbeats.onLoadOrdered(clockMs.getAsLong(), server.id(), version));
    }

    private void broadcast(RegistryEntry changed) {
        if (changed != null) {
            gossip.broadcast(clockMs.getAsLong(), changed);
        }
    }

    @Override
    public void sendOrder(RolloutCoordinator.Order order) {
        Server server = order.server();
        LOG.info("server {} is ordered to load version {} of {}", server.id(), order.version(), order.model());
        serverCalls.post(
                server,
                "/quartzspan/order",
                RolloutCoordinator.toJson(order, nodeName),
                RolloutCoordinator.ORDER_TIMEOUT_MS,
                () -> coordinator.mayOrder(clockMs.getAsLong(), order),
                (status, body) -> {
                    if (status != RolloutCoordinator.STATUS_OK && status != RolloutCoordinator.STATUS_ACCEPTED) {
                        LOG.info("server {} answers an order with status {}", server.id(), status);
                    }
                    coordinator.onResponse(clockMs.getAsLong(), order, status);
                });
    }

    @Override
    public void requestReport(Server server) {
        serverCalls.get(server, "/quartzspan/report", Map.of(), (status, body) -> {
            if (status == RolloutCoordinator.STATUS_OK) {
                onReport(server, JsonFields.parse(body));
            }
        });
    }

    @Override
    public void onProgress(RolloutPlanner.Status status) {
        RolloutPlanner.Status logged = loggedProgress.get(status.model());
        if (logged != null && logged.version() == status.version() && logged.limit() == status.limit()) {
            return;
        }
        loggedProgress.put(status.model(), status);
        LOG.info(
                "rollout of {} to version {}: {} of {} servers lack it, {} are under an order, at most {} at once",
                status.model(),
                status.version(),
                status.outdated(),
                status.servers(),
                status.loading(),
                status.limit());
    }

    @Override
    public void onLoaded(LoadTracker.FinishedLoad load) {
        LOG.info(
                "server {} has version {} of {}, {} ms after its first order",
                load.server().id(),
                load.server().weightsVersion(),
                load.server().model(),
                load.durationMs());
    }

    private void onReport(Server server, JsonObject report) {
        long now = clockMs.getAsLong();
        boolean busy = report.getBoolean("busy", false);
        coordinator.onReport(now, server.id(), busy);
        if (!busy && report.get("models") instanceof JsonArray models && !models.isEmpty()) {
            long version = JsonFields.wholeNumber(models.getJsonObject(0), "version", 0);
            broadcast(heartbeats.onWeightsReported(now, server.id(), version));
        }
    }
}
