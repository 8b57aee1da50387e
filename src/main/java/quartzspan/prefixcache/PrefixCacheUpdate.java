package quartzspan.prefixcache;

/**
 * An update of the prompt blocks that a server has cached.
 *
 * @param stream identifies the updates that one reader publishes about one server
 * @param seq sequence number of the update in its stream
 * @param blocks hashes of the blocks, see {@link PrefixCacheIndex#blockHash}
 * @param tokens number of cached tokens of each block; 0 if the block was evicted
 */
public record PrefixCacheUpdate(Kind kind, String server, long stream, long seq, long[] blocks, int[] tokens) {
    /** {@code SNAPSHOT} replaces all entries of the server; {@code SNAPSHOT_REQUEST} requests a snapshot. */
    public enum Kind {
        DELTA,
        SNAPSHOT,
        SNAPSHOT_REQUEST
    }

    /** Maximum number of blocks in one update. */
    public static final int MAX_BLOCKS = 60_000;

    /** A request for a snapshot of a server's blocks. */
    public static PrefixCacheUpdate snapshotRequest(String server) {
        return new PrefixCacheUpdate(Kind.SNAPSHOT_REQUEST, server, 0, 0, new long[0], new int[0]);
    }
}
