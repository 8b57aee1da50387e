package quartzspan.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import quartzspan.configuration.JsonFields;
import quartzspan.http.LoopbackPeers.Message;

/** The operator: changes the configuration, gives and takes keys, and names weights; each order is sent until it is answered. */
final class SoakOperator {
    static final String STABLE_KEY = "stable";
    private static final String TENANT = "t";
    private static final int MAX_KEYS = 6;
    private static final long RETRY_MS = 100;

    private final SoakClock clock;
    private final SoakRecord record;
    private final ControlClient control;
    private final ScheduledExecutorService calls;
    /** Keys that clients use: those in force, and some that were taken away. */
    private final List<String> usedKeys = new CopyOnWriteArrayList<>(List.of(STABLE_KEY));

    private final List<String> keysInForce = new ArrayList<>(List.of(STABLE_KEY));
    private long version;
    private long weights = 1;
    private int keysGiven;

    /** @param calls a single thread: one order after the other */
    SoakOperator(SoakClock clock, SoakRecord record, ControlClient control, ScheduledExecutorService calls) {
        this.clock = clock;
        this.record = record;
        this.control = control;
        this.calls = calls;
    }

    List<String> usedKeys() {
        return usedKeys;
    }

    /** The first configuration; {@code done} runs once it is acknowledged. */
    void begin(Runnable done) {
        String routes = route("long", 15_000, 1_000) + ',' + route("short", 3_000, 400);
        String first = "{\"version\":1,\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"s\",\"max_connections\":400,"
                + "\"engine\":{\"capacity\":16,\"models\":[{\"name\":\"" + ModelServer.MODEL + "\"}]}}],\"tenants\":["
                + tenant() + "]}";
        calls.execute(() -> sendUntilAnswered("Configuration.Replace", "X-Base-Version: 0\r\n", first, () -> {
            version = 1;
            done.run();
        }));
    }

    private static String route(String name, int timeoutMs, int targetMs) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"streaming\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs
                + ",\"priority\":0,\"service\":\"s\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":false}";
    }

    private String tenant() {
        return "{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + String.join("\",\"", keysInForce) + "\"]}";
    }

    private void sendUntilAnswered(String operation, String headers, String body, Runnable acknowledged) {
        Message answer = control.call("POST", "/quartzspan/" + operation, headers, body);
        if (answer != null && answer.status() == 200) {
            acknowledged.run();
        } else if (answer != null && answer.status() != 429 && answer.status() != 408) {
            record.faults.add("CONFIG: a proper order was refused: " + operation + ' ' + headers.strip() + " -> "
                    + answer.first() + ' ' + answer.text());
        } else {
            calls.schedule(
                    () -> sendUntilAnswered(operation, headers, body, acknowledged), RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Adds or replaces a route that nobody uses. */
    void changeRoute() {
        calls.execute(() -> update("{\"routes\":[" + route("extra" + version % 5, 1_000, 100) + "]}", () -> {}));
    }

    /** Gives a new key. */
    void giveKey() {
        calls.execute(() -> {
            String key = "k" + ++keysGiven;
            keysInForce.add(key);
            update("{\"tenants\":[" + tenant() + "]}", () -> {
                usedKeys.add(key);
                if (usedKeys.size() > MAX_KEYS) {
                    usedKeys.remove(1);
                }
            });
        });
    }

    /** Takes the last key away; clients go on using it. */
    void revokeKey() {
        calls.execute(() -> {
            if (keysInForce.size() > 1) {
                String key = keysInForce.remove(keysInForce.size() - 1);
                update(
                        "{\"tenants\":[" + tenant() + "]}",
                        () -> record.revocations.add(new SoakRecord.Revocation(key, clock.nowMs())));
            }
        });
    }

    private void update(String upsert, Runnable acknowledged) {
        long base = version;
        version += 3;
        String body = "{\"version\":" + version + ",\"upsert\":" + upsert + '}';
        sendUntilAnswered("Configuration.Update", "X-Base-Version: " + base + "\r\n", body, acknowledged);
    }

    /** Names new weights. */
    void nameWeights() {
        calls.execute(() -> {
            long named = ++weights;
            String body = "{\"model\":\"" + ModelServer.MODEL + "\",\"version\":" + named + '}';
            sendUntilAnswered(
                    "version-put", "", body, () -> record.namings.add(new SoakRecord.Naming(named, clock.nowMs())));
        });
    }

    /** Reads the configuration back; it must be the one that was acknowledged last. */
    void readBack(Runnable done) {
        calls.execute(() -> {
            Message answer = control.call("GET", "/quartzspan/Configuration.Describe", "", "");
            if (answer == null) {
                calls.schedule(() -> readBack(done), RETRY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            long read = JsonFields.wholeNumber(JsonFields.parse(answer.body()), "version", -1);
            if (read != version) {
                record.faults.add("CONFIG: version " + read + " was read back, " + version + " was acknowledged last");
            }
            done.run();
        });
    }
}
