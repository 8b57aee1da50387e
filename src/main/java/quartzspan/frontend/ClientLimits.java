package quartzspan.frontend;

import quartzspan.configuration.Configuration;
import quartzspan.http.ConnectionLimits;

/** The limits that a proxy enforces on clients, derived from those of the configuration, which clients are told. */
final class ClientLimits {
    /** Margins by which the enforced limits of header size and idle time exceed those stated to clients. */
    private static final int HEADER_MARGIN_BYTES = 1024;

    private static final long IDLE_MARGIN_MS = 5_000;
    private static final int MIN_REQUEST_TIMEOUT_MS = 10_000;

    private ClientLimits() {}

    /** The limits on connections under a configuration, within the memory of the proxy. */
    static ConnectionLimits of(ProxyMemory memory, Configuration.Limits limits) {
        long maxHeaderBytes = (long) limits.maxHeaderBytes() + HEADER_MARGIN_BYTES;
        return new ConnectionLimits(
                memory.maxConnections(),
                (int) Math.min(Integer.MAX_VALUE, maxHeaderBytes),
                limits.maxBodyBytes(),
                limits.idleTimeoutMs() + IDLE_MARGIN_MS,
                Math.max(MIN_REQUEST_TIMEOUT_MS, limits.headerTimeoutMs()),
                memory.bodyBytes());
    }
}
