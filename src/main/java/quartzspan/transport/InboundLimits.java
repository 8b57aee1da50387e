package quartzspan.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the connections that other processes have opened, and the memory of the frames that are being received on them. Whoever
 * exceeds a bound takes the place of another: first of a connection whose peer has not introduced itself, then of the one that has
 * been silent for longest. A peer that is closed so connects again. No I/O; confined to one event loop.
 */
final class InboundLimits {
    /** A frame's buffer up to this size, in bytes, is included in the memory of its connection. */
    static final int INCLUDED_BUFFER_BYTES = 8 * 1024;

    /** An inbound connection. */
    interface Connection {
        /** Closes it; {@link InboundLimits#onClosed} follows at once. */
        void close();
    }

    private final int maxConnections;
    private final long maxBufferBytes;
    /** The buffers of all open connections beyond the included part, bytes; the longest silent one is first. */
    private final Map<Connection, Long> bufferBytes = new LinkedHashMap<>();
    /** Connections whose peer has not introduced itself, the oldest one first. */
    private final Set<Connection> unidentified = new LinkedHashSet<>();

    private long totalBufferBytes;

    /**
     * Creates limits.
     *
     * @param maxConnections the most inbound connections
     * @param maxBufferBytes memory for frames that are being received, bytes; a single frame of the largest size is always received
     */
    InboundLimits(int maxConnections, long maxBufferBytes) {
        this.maxConnections = maxConnections;
        this.maxBufferBytes = maxBufferBytes;
    }

    void onOpened(Connection connection) {
        if (bufferBytes.size() >= maxConnections) {
            Set<Connection> candidates = unidentified.isEmpty() ? bufferBytes.keySet() : unidentified;
            candidates.iterator().next().close();
        }
        bufferBytes.put(connection, 0L);
        unidentified.add(connection);
    }

    void onIdentified(Connection connection) {
        unidentified.remove(connection);
    }

    /**
     * Records input.
     *
     * @param bytes the size of the buffer of the connection's incomplete frame
     */
    void onInput(Connection connection, int bytes) {
        Long previous = bufferBytes.remove(connection);
        if (previous == null) {
            return;
        }
        long excess = Math.max(0, bytes - INCLUDED_BUFFER_BYTES);
        bufferBytes.put(connection, excess);
        totalBufferBytes += excess - previous;
        while (excess > 0 && totalBufferBytes > maxBufferBytes) {
            Connection victim = longestSilentHolder();
            if (victim == connection) {
                return;
            }
            victim.close();
        }
    }

    private Connection longestSilentHolder() {
        Iterator<Map.Entry<Connection, Long>> entries = bufferBytes.entrySet().iterator();
        Map.Entry<Connection, Long> holder = entries.next();
        while (holder.getValue() == 0) {
            holder = entries.next();
        }
        return holder.getKey();
    }

    void onClosed(Connection connection) {
        Long released = bufferBytes.remove(connection);
        totalBufferBytes -= released == null ? 0 : released;
        unidentified.remove(connection);
    }

    /** The memory of incomplete frames beyond the included part of each connection, bytes. */
    long totalBufferBytes() {
        return totalBufferBytes;
    }

    int connectionCount() {
        return bufferBytes.size();
    }
}
