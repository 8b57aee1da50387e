package quartzspan.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import quartzspan.configuration.JsonFields;
import quartzspan.http.LoopbackPeers.Message;

/**
 * A simulated operator: changes the configuration, adds and revokes keys and sets target versions of weights. Retries
 * each call until it is acknowledged or rejected.
 */
final class SoakOperator {
    static final String STABLE_KEY = "stable";
    private static final String TENANT = "t";
    private static final int MAX_KEYS = 6;
    private static final long RETRY_MS = 100;

    private final SoakClock clock;
    private final SoakRecord record;
    private final ControlPlaneClient control;
    private final ScheduledExecutorService callExecutor;
    /** Keys that clients use: active ones and some that have been revoked. */
    private final List<String> clientKeys = new CopyOnWriteArrayList<>(List.of(STABLE_KEY));

    private final List<String> activeKeys = new ArrayList<>(List.of(STABLE_KEY));
    private long configurationVersion;
    private long targetVersion = 1;
    private int lastKeyNumber;

    /** @param callExecutor a single thread, so that calls are made one after another */
    SoakOperator(
            SoakClock clock, SoakRecord record, ControlPlaneClient control, ScheduledExecutorService callExecutor) {
        this.clock = clock;
        this.record = record;
        this.control = control;
        this.callExecutor = callExecutor;
    }

    List<String> clientKeys() {
        return clientKeys;
    }

    /** Applies the initial configuration; {@code done} runs once it is acknowledged. */
    void applyInitialConfiguration(Runnable done) {
        String routes = route("long", 15_000, 1_000) + ',' + route("short", 3_000, 400);
        String first = "{\"version\":1,\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"s\",\"max_connections\":400,"
                + "\"engine\":{\"capacity\":16,\"models\":[{\"name\":\"" + ModelServer.MODEL + "\"}]}}],\"tenants\":["
                + tenant() + "]}";
        callExecutor.execute(
                () -> sendUntilAcknowledged("Configuration.Replace", "X-Base-Version: 0\r\n", first, () -> {
                    configurationVersion = 1;
                    done.run();
                }));
    }

    private static String route(String name, int timeoutMs, int targetMs) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"streaming\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs
                + ",\"priority\":0,\"service\":\"s\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":false}";
    }

    private String tenant() {
        return "{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + String.join("\",\"", activeKeys) + "\"]}";
    }

    private void sendUntilAcknowledged(String operation, String headers, String body, Runnable acknowledged) {
        Message response = control.call("POST", "/quartzspan/" + operation, headers, body);
        if (response != null && response.status() == 200) {
            acknowledged.run();
        } else if (response != null && response.status() != 429 && response.status() != 408) {
            record.violations.add("CONFIG: a valid call was rejected: " + operation + ' ' + headers.strip() + " -> "
                    + response.first() + ' ' + response.text());
        } else {
            callExecutor.schedule(
                    () -> sendUntilAcknowledged(operation, headers, body, acknowledged),
                    RETRY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Adds or replaces a route that no client uses. */
    void upsertRoute() {
        callExecutor.execute(
                () -> update("{\"routes\":[" + route("extra" + configurationVersion % 5, 1_000, 100) + "]}", () -> {}));
    }

    /** Adds a key to the tenant. */
    void addKey() {
        callExecutor.execute(() -> {
            String key = "k" + ++lastKeyNumber;
            activeKeys.add(key);
            update("{\"tenants\":[" + tenant() + "]}", () -> {
                clientKeys.add(key);
                if (clientKeys.size() > MAX_KEYS) {
                    clientKeys.remove(1);
                }
            });
        });
    }

    /** Revokes the newest active key; clients continue to use it. */
    void revokeKey() {
        callExecutor.execute(() -> {
            if (activeKeys.size() > 1) {
                String key = activeKeys.remove(activeKeys.size() - 1);
                update(
                        "{\"tenants\":[" + tenant() + "]}",
                        () -> record.revocations.add(new SoakRecord.Revocation(key, clock.nowMs())));
            }
        });
    }

    private void update(String upsert, Runnable acknowledged) {
        long base = configurationVersion;
        configurationVersion += 3;
        String body = "{\"version\":" + configurationVersion + ",\"upsert\":" + upsert + '}';
        sendUntilAcknowledged("Configuration.Update", "X-Base-Version: " + base + "\r\n", body, acknowledged);
    }

    /** Sets the next target version of the weights. */
    void setTargetVersion() {
        callExecutor.execute(() -> {
            long newVersion = ++targetVersion;
            String body = "{\"model\":\"" + ModelServer.MODEL + "\",\"version\":" + newVersion + '}';
            sendUntilAcknowledged(
                    "version-put",
                    "",
                    body,
                    () -> record.targetVersions.add(new SoakRecord.TargetVersion(newVersion, clock.nowMs())));
        });
    }

    /** Reads the configuration and records a violation if it is not the version acknowledged last. */
    void verifyConfiguration(Runnable done) {
        callExecutor.execute(() -> {
            Message response = control.call("GET", "/quartzspan/Configuration.Describe", "", "");
            if (response == null) {
                callExecutor.schedule(() -> verifyConfiguration(done), RETRY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            long readVersion = JsonFields.wholeNumber(JsonFields.parse(response.body()), "version", -1);
            if (readVersion != configurationVersion) {
                record.violations.add("CONFIG: version " + readVersion + " was read, " + configurationVersion
                        + " was acknowledged last");
            }
            done.run();
        });
    }
}
