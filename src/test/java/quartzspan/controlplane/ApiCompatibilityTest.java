package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.compatibility.GoldenFile;

/**
 * Compares each response that operators and servers may get from core machines, and each field of the status, with
 * those of an earlier version.
 */
class ApiCompatibilityTest {
    private static final String REPLACE = "POST /quartzspan/Configuration.Replace";
    private static final String UPDATE = "POST /quartzspan/Configuration.Update";
    private static final String DESCRIBE = "GET /quartzspan/Configuration.Describe";
    private static final String WEIGHTS = "POST /quartzspan/version-put";
    private static final String HEARTBEAT = "POST /quartzspan/Instances.Heartbeat/i-1";
    private static final String DEREGISTER = "POST /quartzspan/Instances.Deregister/i-1";
    private static final String STATUS = "GET /quartzspan/status";
    private static final String BASE_0 = "X-Base-Version: 0\r\n";
    private static final String BASE_2 = "X-Base-Version: 2\r\n";
    private static final String CONFIGURATION =
            "{\"version\":2,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/a/\","
                    + "\"route_type\":\"read_only\",\"timeout_ms\":1000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\",\"max_connections\":60}]}";

    private static final long TARGET_VERSION = 7;
    /** The text of the server's registry entry in the status, up to the version that the server is ordered to load. */
    private static final String SERVER_TEXT_PREFIX =
            "\"text\":\"" + String.join("\\u0009", "s", "10.0.0.9:80", "z", "m", "3", "");

    private static final int GRACE_PERIOD_S = 1;

    @TempDir
    Path folder;

    private final StringBuilder responses = new StringBuilder();
    private CoreCluster cluster;

    @Test
    void responsesMatchEarlierVersions() throws Exception {
        try (CoreCluster started = new CoreCluster(folder, GRACE_PERIOD_S)) {
            cluster = started;
            cluster.startAll();
            String primary = cluster.primary(CoreCluster.HOSTS);
            recordOperatorCalls(primary);
            recordServerCalls(primary);
            recordRedirects(primary);
            recordStatus(primary);
        }
        GoldenFile.assertText("api/answers.txt", responses.toString());
    }

    @Test
    void refusalsOfAnIsolatedMachineMatchEarlierVersions() throws Exception {
        try (CoreCluster started = new CoreCluster(folder, GRACE_PERIOD_S)) {
            cluster = started;
            String isolated = CoreCluster.HOSTS.get(0);
            cluster.start(isolated, false);
            recordResponse(isolated, DESCRIBE, "", "");
            recordResponse(isolated, REPLACE, BASE_0, CONFIGURATION);
            recordResponse(isolated, HEARTBEAT, "", heartbeat(1, "ready"));
            recordResponse(isolated, DEREGISTER, "", "{}");
            recordStatus(isolated);
        }
        GoldenFile.assertText("api/refusals.txt", responses.toString());
    }

    private void recordOperatorCalls(String primary) throws IOException {
        recordResponse(primary, DESCRIBE, "", "");
        recordResponse(primary, REPLACE, "", CONFIGURATION);
        recordResponse(primary, REPLACE, BASE_0, "{");
        recordResponse(primary, REPLACE, BASE_0, "{}");
        recordResponse(primary, REPLACE, BASE_0, CONFIGURATION.replace("\"/a/\"", "\"a\""));
        recordResponse(primary, REPLACE, BASE_0, CONFIGURATION);
        recordResponse(primary, REPLACE, BASE_0, CONFIGURATION);
        recordResponse(primary, REPLACE, BASE_0, CONFIGURATION.replace("1000", "1001"));
        recordResponse(primary, UPDATE, BASE_2, "{\"version\":2}");
        recordResponse(primary, UPDATE, BASE_2, "{\"version\":3,\"remove\":{\"services\":[\"s\"]}}");
        recordResponse(primary, UPDATE, BASE_2, "{\"version\":4,\"upsert\":{\"services\":[{\"name\":\"t\"}]}}");
        recordResponse(primary, DESCRIBE, "", "");
        recordResponse(primary, WEIGHTS, "", "{\"model\":\"m\",\"version\":" + TARGET_VERSION + "}");
        recordResponse(primary, WEIGHTS, "", "{\"model\":\"m\",\"version\":6}");
        recordResponse(primary, WEIGHTS, "", "{\"version\":6}");
        recordResponse(primary, "GET /quartzspan/nothing", "", "");
        recordResponse(primary, "GET /quartzspan/Configuration.Replace", "", "");
    }

    private void recordServerCalls(String primary) throws IOException {
        recordResponse(primary, HEARTBEAT, "", heartbeat(1, "ready"));
        recordResponse(primary, HEARTBEAT, "", "[]");
        recordResponse(primary, HEARTBEAT, "", "{\"address\":\"a\\tb\"}");
        recordResponse(primary, HEARTBEAT, "", heartbeat(2, "draining"));
        recordResponse(primary, DEREGISTER, "", "{}");
        recordResponse(primary, DEREGISTER, "", "{}");
    }

    private static String heartbeat(long count, String state) {
        return "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"" + state
                + "\",\"models\":[{\"name\":\"m\",\"version\":3}],\"call_count\":" + count + "}";
    }

    private void recordRedirects(String primary) throws IOException {
        String backup = CoreCluster.HOSTS.stream()
                .filter(host -> !host.equals(primary))
                .findFirst()
                .orElseThrow();
        for (long end = System.nanoTime() + CoreCluster.TIMEOUT_NANOS; cluster.describe(backup) != 307; ) {
            assertTrue(System.nanoTime() < end, "a backup knows the primary within the timeout");
        }
        recordResponse(backup, DESCRIBE, "", "");
        recordResponse(backup, REPLACE, BASE_2, CONFIGURATION);
    }

    private void recordStatus(String host) throws IOException {
        recordResponse(host, STATUS, "", "");
    }

    private void recordResponse(String host, String call, String headers, String body) throws IOException {
        String response = cluster.call(host, call, headers, body);
        String[] parts = response.split("\r\n\r\n", 2);
        List<String> statusAndHeaders = new ArrayList<>(Arrays.asList(parts[0].split("\r\n")));
        responses
                .append("== ")
                .append(call)
                .append(' ')
                .append(headers.strip())
                .append(' ')
                .append(body)
                .append('\n');
        statusAndHeaders.forEach(line -> responses.append(normalize(line)).append('\n'));
        responses.append('\n').append(normalize(parts[1])).append("\n\n");
    }

    /**
     * Replaces what differs between runs (ports, hosts, ages, attempts), and texts for human readers, by
     * placeholders.
     *
     * <p>The server has version 3 when it registers, and the target version is higher. If the rollout runs before the server
     * deregisters, it orders the server to load the target version, which then remains in the server's entry; if it runs later,
     * the entry keeps 0. Both are correct, so the target version, in this field only, is replaced by 0.
     */
    private String normalize(String text) {
        return text.replace(SERVER_TEXT_PREFIX + TARGET_VERSION + '"', SERVER_TEXT_PREFIX + "0\"")
                .replace(":" + cluster.controlPort(), ":CONTROL")
                .replace(":" + cluster.internalPort(), ":INTERNAL")
                .replaceAll("\"fresh_ms\":-?[0-9]+", "\"fresh_ms\":N")
                .replaceAll("/-?[0-9]{5,}", "/ATTEMPT")
                .replaceAll("\"promised\":[0-9]+,\"copy_epoch\":[0-9]+", "\"promised\":N,\"copy_epoch\":N")
                .replaceAll("\"duty\":\"[^\"]*\"", "\"duty\":\"HOLDER\"")
                .replaceAll("\"copy_index\":[0-9]+", "\"copy_index\":N")
                .replaceAll("\"view\":\"[^\"]*\"", "\"view\":\"VIEW\"")
                .replaceAll("(?i)content-length: [0-9]+", "content-length: N")
                .replaceAll("\"(reason|remedy)\":\"[^\"]*\"", "\"$1\":\"TEXT\"")
                .replaceAll("127\\.0\\.0\\.[123]", "HOST");
    }
}
