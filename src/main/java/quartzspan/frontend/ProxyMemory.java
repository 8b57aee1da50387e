package quartzspan.frontend;

import quartzspan.common.FleetException;

/**
 * How a proxy divides its heap: a fixed part, a part for each client connection (with its request in flight, its connection to a
 * server and what waits for a slow client), and the rest for what requests need beyond that: bodies, long heads, waiting input.
 *
 * @param maxConnections the most client connections that it accepts
 * @param bodyBytes the memory for the bodies of all requests, bytes
 */
record ProxyMemory(int maxConnections, long bodyBytes) {
    private static final long MIB = 1024 * 1024;
    /** Classes' statics, configuration, registry, index of cached prompts, and copies of a body that is growing. */
    static final long FIXED_BYTES = 36 * MIB;
    /** One client connection. */
    static final long CONNECTION_BYTES = 20 * 1024;
    /** Two of the largest bodies that a configuration allows by default. */
    static final long MIN_BODY_BYTES = 8 * MIB;

    /** Fewer connections than this are no proxy. */
    static final int MIN_CONNECTIONS = 64;

    /**
     * Divides a heap. If it is too small for the wanted connections, it accepts fewer.
     *
     * @param heapBytes the largest size of the heap, bytes
     * @param wantedConnections the client connections that the file descriptors allow
     * @throws FleetException with {@code SETTINGS_INVALID} if it is too small for any useful number of connections
     */
    static ProxyMemory divide(long heapBytes, int wantedConnections) {
        long divisibleBytes = heapBytes - FIXED_BYTES;
        long fittingConnections = (divisibleBytes - MIN_BODY_BYTES) / CONNECTION_BYTES;
        if (fittingConnections < MIN_CONNECTIONS) {
            long neededBytes = FIXED_BYTES + MIN_BODY_BYTES + MIN_CONNECTIONS * CONNECTION_BYTES;
            throw new FleetException(
                    FleetException.Code.SETTINGS_INVALID,
                    "a heap of " + heapBytes / MIB + " MiB is too small for a proxy",
                    "raise -Xmx to " + (neededBytes / MIB + 1) + " MiB or more");
        }
        int connections = (int) Math.min(wantedConnections, fittingConnections);
        return new ProxyMemory(connections, divisibleBytes - connections * CONNECTION_BYTES);
    }
}
