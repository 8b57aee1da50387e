package quartzspan.registry;

/**
 * A chunk of a snapshot. Chunks are requested one at a time, so that a large snapshot delays other messages only briefly.
 *
 * @param index the committed index of the state in the snapshot; in a request that of the snapshot being fetched,
 *     {@link #DELTAS_OR_SNAPSHOT} or {@link #SNAPSHOT_ONLY}
 * @param totalBytes size of the complete snapshot; 0 in a request or if there is no snapshot
 */
public record SnapshotChunk(long index, int offset, int totalBytes, byte[] bytes) {
    /** Maximum size of a chunk; a link of 7 Mbit/s transmits it in 75 ms. */
    static final int MAX_BYTES = 64 * 1024;

    /** Index in a request that may be answered with deltas or with a snapshot. */
    static final long DELTAS_OR_SNAPSHOT = -1;
    /** Index in a request that must be answered with a snapshot, since the deltas did not apply. */
    static final long SNAPSHOT_ONLY = -2;

    private static final byte[] NO_BYTES = {};
    public static final SnapshotChunk NONE = request(DELTAS_OR_SNAPSHOT, 0);

    /** A request for the chunk at an offset. */
    static SnapshotChunk request(long index, int offset) {
        return new SnapshotChunk(index, offset, 0, NO_BYTES);
    }
}
