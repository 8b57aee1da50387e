package quartzspan.http;

/**
 * Limits on the client connections of an {@link HttpServer}.
 *
 * @param maxConnections maximum number of open connections
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param idleTimeoutMs how long a connection may have no request in flight
 * @param requestTimeoutMs how long receiving a complete request may take
 * @param maxRequestMemoryBytes memory for the bodies of all clients together; a request whose body does not fit is rejected
 */
public record ConnectionLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long idleTimeoutMs,
        long requestTimeoutMs,
        long maxRequestMemoryBytes) {
    /** Limits with half of the heap as memory for bodies. */
    public ConnectionLimits(
            int maxConnections, int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMs, long requestTimeoutMs) {
        this(
                maxConnections,
                maxHeaderBytes,
                maxBodyBytes,
                idleTimeoutMs,
                requestTimeoutMs,
                Runtime.getRuntime().maxMemory() / 2);
    }
}
