package quartzspan.registry;

/**
 * A chunk of a snapshot: it is sent in chunks, each requested, so that it delays nothing else for long.
 *
 * @param index the committed index of the state in the snapshot; in a request the one being read, {@link #DELTAS_OR_SNAPSHOT} or
 *     {@link #SNAPSHOT_ONLY}
 * @param totalBytes bytes of the complete snapshot; 0 in a request, or where there is none
 */
public record SnapshotChunk(long index, int offset, int totalBytes, byte[] bytes) {
    /** Bytes of a chunk; a link of 7 Mbit/s carries them in 75 ms. */
    static final int MAX_BYTES = 64 * 1024;

    /** The index in a request: the steps are as good as a snapshot. */
    static final long DELTAS_OR_SNAPSHOT = -1;
    /** The index in a request: the steps are of no use. */
    static final long SNAPSHOT_ONLY = -2;

    private static final byte[] NO_BYTES = {};
    public static final SnapshotChunk NONE = request(DELTAS_OR_SNAPSHOT, 0);

    /** Requests a chunk. */
    static SnapshotChunk request(long index, int offset) {
        return new SnapshotChunk(index, offset, 0, NO_BYTES);
    }
}
