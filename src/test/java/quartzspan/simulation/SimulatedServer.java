package quartzspan.simulation;

import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import quartzspan.configuration.JsonFields;
import quartzspan.controlplane.SimulatedCore;
import quartzspan.frontend.SimulatedProxy;

/**
 * One life of a model server, from its start to its end: it announces itself, runs requests, loads weights once the running
 * requests have ended, and announces that it drains.
 */
final class SimulatedServer {
    private static final int CAPACITY = 64;
    private static final int MIN_RUN_MS = 20;
    private static final int MAX_RUN_MS = 900;
    private static final int MIN_LOAD_MS = 300;
    /** A heartbeat that is not acknowledged in this time goes to the next core machine. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000;

    static final int NO_RESPONSE = 0;
    private static final int STATUS_OK = 200;
    private static final int AFTER_DRAIN_MS = 500;
    /** Some servers serve on for long after they have deregistered. */
    private static final int MAX_LONG_AFTER_DRAIN_MS = 9_000;
    /** How late a heartbeat may come that was sent before the server began to leave. */
    private static final int MAX_HEARTBEAT_DELAY_MS = 6_000;

    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;

    private final FleetWorld fleet;
    private final World world;
    private final String id;
    private final String address;
    /** For each salt, the tenants whose requests have made blocks under it. */
    private final Map<String, Set<String>> blockMakersBySalt = new HashMap<>();

    private long weights;
    private long loading;
    private long heartbeatCount;
    private int running;
    private boolean draining;
    private boolean deregistered;
    private boolean ended;
    private long drainAcknowledgedAtMs = Long.MAX_VALUE;

    SimulatedServer(FleetWorld fleet, String id, String address, long weights) {
        this.fleet = fleet;
        this.world = fleet.world();
        this.id = id;
        this.address = address;
        this.weights = weights;
    }

    String id() {
        return id;
    }

    long weights() {
        return weights;
    }

    boolean isServing() {
        return !ended && !draining;
    }

    void start() {
        announce();
    }

    private void announce() {
        if (ended) {
            return;
        }
        byte[] body = nextHeartbeat();
        AtomicBoolean acknowledged = new AtomicBoolean();
        boolean wasDraining = draining;
        callCore((core, now) -> core.heartbeat(
                now,
                id,
                body,
                () -> reply(() -> {
                    acknowledged.set(true);
                    if (wasDraining) {
                        onDrainAcknowledged();
                    }
                })));
        world.schedule(ACKNOWLEDGEMENT_TIMEOUT_MS, () -> {
            if (!acknowledged.get()) {
                announce();
            }
        });
        world.schedule(Bounds.HEARTBEAT_MS, () -> {
            if (acknowledged.get() && !draining) {
                announce();
            }
        });
    }

    private byte[] nextHeartbeat() {
        String body = "{\"service\":\"s\",\"address\":\"" + address + "\",\"zone\":\"z\",\"state\":\""
                + (draining ? "draining" : "ready") + "\",\"models\":[{\"name\":\"m\",\"version\":" + weights
                + "}],\"call_count\":" + ++heartbeatCount + "}";
        return body.getBytes(StandardCharsets.UTF_8);
    }

    /** A heartbeat that is sent now, before the server leaves, and comes late. */
    private void sendDelayedHeartbeat() {
        byte[] body = nextHeartbeat();
        world.schedule(
                world.random().nextInt(MAX_HEARTBEAT_DELAY_MS),
                () -> callCore((core, now) -> core.heartbeat(now, id, body, () -> {})));
    }

    private interface CoreCall {
        void handle(SimulatedCore core, long now);
    }

    private void callCore(CoreCall call) {
        String core = fleet.randomCore();
        world.call(id, core, process -> call.handle((SimulatedCore) process, process.localMs()), () -> {});
    }

    /** Begins to leave; {@code announced} or, if not, deregisters at once. */
    void drain(boolean announced) {
        sendDelayedHeartbeat();
        draining = true;
        if (announced) {
            announce();
        } else {
            deregister();
        }
    }

    private void onDrainAcknowledged() {
        if (drainAcknowledgedAtMs == Long.MAX_VALUE) {
            drainAcknowledgedAtMs = world.nowMs();
            world.trace(() -> id + " drain acknowledged");
            world.schedule(Bounds.DRAIN_TIMEOUT_MS + world.random().nextInt(3_000), this::deregister);
        }
    }

    /** Deregisters, again and again until it is acknowledged, and ends some time after that. */
    private void deregister() {
        if (ended || deregistered) {
            return;
        }
        callCore((core, now) -> core.deregister(now, id, () -> reply(this::onDeregistered)));
        world.schedule(ACKNOWLEDGEMENT_TIMEOUT_MS, this::deregister);
    }

    private void onDeregistered() {
        if (!deregistered) {
            deregistered = true;
            drainAcknowledgedAtMs = Math.min(drainAcknowledgedAtMs, world.nowMs());
            boolean servesOnForLong = world.random().nextBoolean();
            int afterDrainMs = servesOnForLong ? world.random().nextInt(MAX_LONG_AFTER_DRAIN_MS) : AFTER_DRAIN_MS;
            world.schedule(Bounds.DRAIN_TIMEOUT_MS + afterDrainMs, () -> ended = true);
        }
    }

    private void reply(Runnable action) {
        world.schedule(1, action);
    }

    void crash() {
        ended = true;
        running = 0;
    }

    /** An order to load weights arrives. */
    int onOrder(String core, JsonObject order) {
        if (ended) {
            return NO_RESPONSE;
        }
        long token = JsonFields.wholeNumber(order, "fencing_token", -1);
        fleet.rules().onOrder(id, core, token);
        long version = JsonFields.wholeNumber(order, "version", 0);
        if (loading == 0 && weights == version) {
            return STATUS_OK;
        }
        if (loading != 0) {
            return loading == version ? STATUS_ACCEPTED : STATUS_CONFLICT;
        }
        loading = version;
        loadWhenIdle();
        return STATUS_ACCEPTED;
    }

    private void loadWhenIdle() {
        if (loading > 0 && running == 0 && !ended) {
            long target = loading;
            int durationMs = MIN_LOAD_MS + world.random().nextInt(fleet.maxLoadMs());
            world.schedule(durationMs, () -> {
                weights = target;
                blockMakersBySalt.clear();
                loading = 0;
                world.trace(() -> id + " has version " + target);
            });
        }
    }

    byte[] report() {
        return ("{\"busy\":" + (loading > 0) + ",\"models\":[{\"name\":\"m\",\"version\":" + weights + "}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Uses the cached blocks under the request's salt, and adds its own. */
    private void useMemory(SimulatedProxy.Forwarded forwarded) {
        Set<String> makers = blockMakersBySalt.computeIfAbsent(
                forwarded.expectedVersion() + forwarded.cachePartition(), salt -> new TreeSet<>());
        fleet.rules().onMemoryUse(id, makers, forwarded);
        makers.add(forwarded.tenant());
    }

    /** A request arrives from a proxy. */
    void onRequest(
            String proxy, long sentByProxyAtMs, SimulatedProxy.Forwarded forwarded, SimulatedProxy.Response response) {
        if (ended) {
            return;
        }
        fleet.rules().onArrival(id, drainAcknowledgedAtMs, proxy, sentByProxyAtMs, forwarded.request());
        long expected = forwarded.expectedVersion();
        if (expected > 0 && expected != weights) {
            response.onResponse(false, true);
        } else if (loading > 0 || running >= CAPACITY) {
            response.onResponse(false, false);
        } else {
            run(proxy, sentByProxyAtMs, forwarded, response);
        }
    }

    private void run(
            String proxy, long sentByProxyAtMs, SimulatedProxy.Forwarded forwarded, SimulatedProxy.Response response) {
        running++;
        fleet.rules().onExecution(id, weights, proxy, sentByProxyAtMs, forwarded.request());
        useMemory(forwarded);
        world.schedule(MIN_RUN_MS + world.random().nextInt(MAX_RUN_MS), () -> {
            if (!ended) {
                running--;
                response.onResponse(true, false);
                loadWhenIdle();
            }
        });
    }
}
