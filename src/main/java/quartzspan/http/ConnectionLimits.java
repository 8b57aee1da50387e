package quartzspan.http;

/**
 * Limits on the client connections of an {@link HttpServer}.
 *
 * @param maxConnections maximum number of open connections
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param idleTimeoutMs how long a connection may have no request in flight
 * @param requestTimeoutMs how long receiving a complete request may take
 * @param maxRequestMemoryBytes memory for what the requests of all clients together occupy beyond what each connection has
 *     anyway: long heads, bodies, waiting input and long responses; a request that does not fit is rejected
 */
public record ConnectionLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long idleTimeoutMs,
        long requestTimeoutMs,
        long maxRequestMemoryBytes) {
    /** Limits with a quarter of the heap as memory for requests. */
    public ConnectionLimits(
            int maxConnections, int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMs, long requestTimeoutMs) {
        this(
                maxConnections,
                maxHeaderBytes,
                maxBodyBytes,
                idleTimeoutMs,
                requestTimeoutMs,
                Runtime.getRuntime().maxMemory() / 4);
    }
}
