package quartzspan.prefixcache;

/**
 * What one process tells another of the parts that a server keeps.
 *
 * @param stream names one watcher's reports of one server; {@code seq} counts them
 * @param parts names of parts, see {@link PrefixCacheIndex#part}
 * @param tokens tokens kept of each now; 0 if it is kept no more
 */
public record PrefixCacheUpdate(Kind kind, String server, long stream, long seq, long[] blocks, int[] tokens) {
    /** {@code WHOLE} replaces all that was known of the server; {@code ASK} asks for it. */
    public enum Kind {
        DELTA,
        SNAPSHOT,
        SNAPSHOT_REQUEST
    }

    /** No message holds more parts. */
    public static final int MAX_BLOCKS = 60_000;

    /** Asks for all blocks of a server. */
    public static PrefixCacheUpdate snapshotRequest(String server) {
        return new PrefixCacheUpdate(Kind.SNAPSHOT_REQUEST, server, 0, 0, new long[0], new int[0]);
    }
}
