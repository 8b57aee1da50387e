package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** The operator: sends a change to one core machine after another until it gets a clear answer, and follows redirects. */
final class Operator {
    private static final int TRIES = 60;
    private static final long PATIENCE_MS = 20_000;
    /** How long the configuration is asked for: longer than contact_ms. */
    private static final long READ_PATIENCE_MS = 8_000;


    private final Fleet fleet;
    private final Record record;
    private int core = 1;

    Operator(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    int replace(long base, String json) throws Exception {
        return change("Configuration.Replace", base, json);
    }

    int update(long base, String json) throws Exception {
        return change("Configuration.Update", base, json);
    }

    int nameWeights(String model, long version) throws Exception {
        return change("version-put", -1, "{\"model\":\"" + model + "\",\"version\":" + version + "}");
    }

    /** Returns the status of the clear answer. */
    private int change(String call, long base, String json) throws Exception {
        String headers = "Content-Type: application/json\r\n" + (base < 0 ? "" : "X-Base-Version: " + base + "\r\n");
        long end = record.nowMs() + PATIENCE_MS;
        for (int i = 0; i < TRIES && record.nowMs() < end; i++) {
            Http.Message answer = send("POST", call, headers, json);
            if (answer != null && answer.status < 500 && answer.status != 408 && answer.status != 429) {
                record.line("operator: " + call + " " + (json.length() > 700 ? json.length() + " bytes" : json)
                        + " gets " + answer.status);
                return answer.status;
            }
            core = core % fleet.coreCount() + 1;
            Thread.sleep(Math.min(1_000, 100L + 50L * i));
        }
        record.line("operator: " + call + " gets no clear answer in " + PATIENCE_MS + " ms");
        return 0;
    }

    /** Reads the configuration in effect. */
    String describe() throws Exception {
        long end = record.nowMs() + READ_PATIENCE_MS;
        while (record.nowMs() < end) {
            Http.Message answer = send("GET", "Configuration.Describe", "", "");
            if (answer != null && answer.status == 200) {
                return new String(answer.body, StandardCharsets.UTF_8);
            }
            core = core % fleet.coreCount() + 1;
            Thread.sleep(100);
        }
        throw new IOException("no answer to Configuration.Describe");
    }

    private Http.Message send(String method, String call, String headers, String json) {
        try {
            InetSocketAddress to = fleet.control(core);
            String path = "/quartzspan/" + call;
            Http.Message answer = Http.call(to, method, path, headers, json.getBytes(StandardCharsets.UTF_8), 1_000);
            for (int redirects = 0; redirects < 2 && answer.status == 307; redirects++) {
                String location = answer.header("Location").substring("http://".length());
                String[] hostAndPort = location.substring(0, location.indexOf('/')).split(":");
                to = new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
                answer = Http.call(to, method, path, headers, json.getBytes(StandardCharsets.UTF_8), 1_000);
            }
            return answer;
        } catch (IOException e) {
            return null;
        }
    }
}
