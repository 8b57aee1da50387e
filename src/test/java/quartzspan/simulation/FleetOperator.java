package quartzspan.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import quartzspan.controlplane.SimulatedCore;
import quartzspan.replication.Change;

/** The operators: they change the configuration, name weights, and read, at any core machine, again until it is answered. */
final class FleetOperator {
    private static final int MAX_TRIES = 40;
    private static final long RETRY_MS = 400;
    private static final int MAX_REDIRECTS = 2;
    /** The key that no version removes. */
    static final String STABLE_KEY = "stable";
    /** The key of the second tenant. */
    static final String OTHER_TENANT_KEY = "other";
    /** Every so many versions a tenant is isolated; coprime, so that all combinations occur. */
    private static final int FIRST_ISOLATED_EVERY = 2;

    private static final int SECOND_ISOLATED_EVERY = 3;
    private static final String FIRST_TENANT = "t";
    private static final String SECOND_TENANT = "u";

    private final FleetWorld fleet;
    private final World world;
    /** Keys that an acknowledged version has added; the last one may be valid. */
    private final List<String> keys = new ArrayList<>();

    private long lastVersion;
    /** A version that was read may have been taken without an answer. */
    private long newestReadVersion;

    private long lastWeights = 1;
    private long reads;
    private long changes;

    FleetOperator(FleetWorld fleet) {
        this.fleet = fleet;
        this.world = fleet.world();
    }

    List<String> keys() {
        return keys;
    }

    long reads() {
        return reads;
    }

    long changes() {
        return changes;
    }

    /** Sends a configuration with a new key in place of the last one, based on the newest acknowledged version. */
    void changeConfiguration() {
        long base = Math.max(newestReadVersion, fleet.rules().newestAcknowledgedConfiguration());
        lastVersion = Math.max(lastVersion, base) + 1 + world.random().nextInt(3);
        long version = lastVersion;
        String revoked = keys.isEmpty() ? null : keys.get(keys.size() - 1);
        String added = "key-" + version;
        submit(new Change(Change.Kind.REPLACE, base, configuration(version, added)), MAX_TRIES, () -> {
            fleet.rules().onConfigurationAcknowledged(base, version, revoked);
            if (!keys.contains(added)) {
                keys.add(added);
            }
        });
    }

    static String tenant(String apiKey) {
        return apiKey.equals(OTHER_TENANT_KEY) ? SECOND_TENANT : FIRST_TENANT;
    }

    /** Whether a version of the configuration isolates a tenant. */
    static boolean isIsolated(String tenant, long version) {
        return version % (tenant.equals(FIRST_TENANT) ? FIRST_ISOLATED_EVERY : SECOND_ISOLATED_EVERY) == 0;
    }

    private static byte[] configuration(long version, String key) {
        return ("{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
                        + "\"path_prefix\":\"/a/\",\"route_type\":\"streaming\",\"timeout_ms\":3000,\"service\":\"s\"}],"
                        + "\"services\":[{\"name\":\"s\",\"max_connections\":100}],\"tenants\":["
                        + tenant(FIRST_TENANT, version, "\"" + STABLE_KEY + "\",\"" + key + "\"") + ','
                        + tenant(SECOND_TENANT, version, "\"" + OTHER_TENANT_KEY + "\"") + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String tenant(String name, long version, String apiKeys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + apiKeys + "],\"isolated\":" + isIsolated(name, version)
                + "}";
    }

    /** Names the next version of the weights. */
    void nameWeights() {
        long version = ++lastWeights;
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        submit(new Change(Change.Kind.WEIGHTS, 0, body), MAX_TRIES, () -> fleet.rules()
                .onWeightsAcknowledged(version));
    }

    private void submit(Change change, int triesLeft, Runnable onAcknowledged) {
        if (triesLeft == 0) {
            return;
        }
        boolean[] settled = new boolean[1];
        callPrimary(
                fleet.randomCore(),
                MAX_REDIRECTS,
                called -> called.change(
                        change,
                        () -> world.schedule(1, () -> {
                            if (!settled[0]) {
                                settled[0] = true;
                                changes++;
                                onAcknowledged.run();
                            }
                        }),
                        rejection -> settled[0] |= rejection.code().httpStatus() == 412));
        world.schedule(RETRY_MS + world.random().nextInt(200), () -> {
            if (!settled[0]) {
                settled[0] = true;
                submit(change, triesLeft - 1, onAcknowledged);
            }
        });
    }

    /** Reads the configuration at any core machine; the answer must not be older than what was acknowledged before. */
    void read() {
        long newest = fleet.rules().newestAcknowledgedConfiguration();
        long sentAtMs = world.nowMs();
        callPrimary(
                fleet.randomCore(),
                MAX_REDIRECTS,
                called -> called.describe(called.localMs(), state -> {
                    reads++;
                    newestReadVersion =
                            Math.max(newestReadVersion, state.configuration().version());
                    fleet.rules()
                            .onRead(
                                    called.name(),
                                    sentAtMs,
                                    newest,
                                    state.configuration().version());
                }));
    }

    /** Calls a core machine and follows its redirects. */
    private void callPrimary(String core, int redirectsLeft, Consumer<SimulatedCore> handler) {
        world.call(
                "operator",
                core,
                process -> {
                    SimulatedCore called = (SimulatedCore) process;
                    String redirect = called.redirect(called.localMs());
                    if (redirect == null) {
                        handler.accept(called);
                    } else if (redirectsLeft > 0) {
                        callPrimary(redirect, redirectsLeft - 1, handler);
                    }
                },
                () -> {});
    }
}
