package quartzspan.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The health checks of a platform's load balancer: probes each proxy every second and picks a proxy for a new
 * connection.
 */
final class ReadinessMonitor {
    static final long PROBE_INTERVAL_MS = 1_000;
    private static final int PROBE_TIMEOUT_MS = 500;
    private static final int UNHEALTHY_THRESHOLD = 2;

    private final int port;
    /** Consecutive probes without status 200, by proxy host. */
    private final Map<String, Integer> consecutiveFailures = new ConcurrentHashMap<>();

    ReadinessMonitor(List<String> hosts, int port) {
        this.port = port;
        hosts.forEach(host -> consecutiveFailures.put(host, UNHEALTHY_THRESHOLD));
    }

    void probe(String host) {
        boolean ready = isReady(host);
        consecutiveFailures.merge(host, 1, (before, one) -> ready ? 0 : before + one);
    }

    private boolean isReady(String host) {
        try (HttpClientConnection connection = new HttpClientConnection(host, port, PROBE_TIMEOUT_MS)) {
            connection.write("GET /quartzspan/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
            return connection.read(PROBE_TIMEOUT_MS).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A random healthy proxy; any proxy if fewer than half of them are healthy. */
    String pick(SplittableRandom random) {
        List<String> healthy = new ArrayList<>();
        consecutiveFailures.forEach((host, failures) -> {
            if (failures < UNHEALTHY_THRESHOLD) {
                healthy.add(host);
            }
        });
        List<String> candidates =
                2 * healthy.size() < consecutiveFailures.size() ? List.copyOf(consecutiveFailures.keySet()) : healthy;
        return candidates.get(random.nextInt(candidates.size()));
    }

    /** Whether all proxies are healthy. */
    boolean allReady() {
        return consecutiveFailures.values().stream().allMatch(failures -> failures < UNHEALTHY_THRESHOLD);
    }

    @Override
    public String toString() {
        return "consecutive failed probes " + consecutiveFailures;
    }
}
