package quartzspan.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's entry: asks each proxy every second whether it is ready, and names one for a new connection. */
final class ReadinessMonitor {
    static final long INTERVAL_MS = 1_000;
    private static final int TIMEOUT_MS = 500;
    private static final int MAX_MISSES = 2;

    private final int port;
    /** Questions in a row without a 200, by proxy. */
    private final Map<String, Integer> misses = new ConcurrentHashMap<>();

    ReadinessMonitor(List<String> hosts, int port) {
        this.port = port;
        hosts.forEach(host -> misses.put(host, MAX_MISSES));
    }

    /** Asks one proxy. */
    void probe(String host) {
        boolean ready = isReady(host);
        misses.merge(host, 1, (before, one) -> ready ? 0 : before + one);
    }

    private boolean isReady(String host) {
        try (HttpExchange exchange = new HttpExchange(host, port, TIMEOUT_MS)) {
            exchange.write("GET /quartzspan/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
            return exchange.read(TIMEOUT_MS).status() == 200;
        } catch (IOException noAnswer) {
            return false;
        }
    }

    /** A proxy that is in; where under half are, any. Null if there is none at all. */
    String pick(SplittableRandom random) {
        List<String> in = new ArrayList<>();
        misses.forEach((host, missed) -> {
            if (missed < MAX_MISSES) {
                in.add(host);
            }
        });
        List<String> from = 2 * in.size() < misses.size() ? List.copyOf(misses.keySet()) : in;
        return from.get(random.nextInt(from.size()));
    }

    /** Whether all proxies are in. */
    boolean allReady() {
        return misses.values().stream().allMatch(missed -> missed < MAX_MISSES);
    }

    @Override
    public String toString() {
        return "questions missed " + misses;
    }
}
