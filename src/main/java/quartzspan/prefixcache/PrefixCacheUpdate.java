package quartzspan.prefixcache;

/**
 * An update of the prompt blocks that a server has cached.
 *
 * @param stream identifies one reader's updates of one server; {@code seq} counts them
 * @param blocks names of blocks, see {@link PrefixCacheIndex#block}
 * @param tokens tokens that are cached of each now; 0 if it was evicted
 */
public record PrefixCacheUpdate(Kind kind, String server, long stream, long seq, long[] blocks, int[] tokens) {
    /** {@code SNAPSHOT} replaces all that was known of the server; {@code SNAPSHOT_REQUEST} asks for one. */
    public enum Kind {
        DELTA,
        SNAPSHOT,
        SNAPSHOT_REQUEST
    }

    /** No update has more blocks. */
    public static final int MAX_BLOCKS = 60_000;

    /** Asks for all blocks of a server. */
    public static PrefixCacheUpdate snapshotRequest(String server) {
        return new PrefixCacheUpdate(Kind.SNAPSHOT_REQUEST, server, 0, 0, new long[0], new int[0]);
    }
}
