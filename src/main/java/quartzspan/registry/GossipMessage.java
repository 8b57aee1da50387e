package quartzspan.registry;

import java.util.List;

/**
 * A message of the gossip protocol.
 *
 * @param nonce identifies the query or request; the reply repeats it
 * @param ageMs time since the sender's state was last known to be the newest; -1 if never
 * @param stateIndex the committed index of the sender's state; -1 if it has none
 * @param digests digests of the sender's entries by bucket, or one digest of all entries; empty if there is nothing to compare
 * @param entries updated entries, or those of the buckets that differ from the receiver's
 * @param deltas deltas of the published state
 * @param chunk a chunk of a snapshot, or a request for one
 * @param targetAges ages of the target versions of weights; only in replies
 */
public record GossipMessage(
        Kind kind,
        long nonce,
        long ageMs,
        long stateIndex,
        long[] digests,
        List<RegistryEntry> entries,
        List<StateDelta> deltas,
        SnapshotChunk chunk,
        List<TargetAge> targetAges) {

    /** Kinds of messages. The ordinal is sent, so the order must not change. */
    public enum Kind {
        /** Requests the entries that the sender lacks, by digests. */
        QUERY,
        REPLY,
        /** Unsolicited entries and the index of the sender's state. */
        UPDATE,
        /** Between core machines: the servers and proxies from which messages were recently received. */
        HEARTBEATS,
        /** Requests the published state: its deltas, or a chunk of a snapshot. */
        FETCH,
        /** The reply to {@link #FETCH}. */
        FETCH_REPLY
    }

    static final long[] NO_DIGESTS = {};

    /** A report of the servers and proxies from which messages were received. */
    public static GossipMessage heartbeats(List<RegistryEntry> entries) {
        return new GossipMessage(
                Kind.HEARTBEATS, 0, -1, -1, NO_DIGESTS, entries, List.of(), SnapshotChunk.NONE, List.of());
    }

    /** An unsolicited update; its nonce is to be acknowledged unless it is 0. */
    static GossipMessage update(
            long acknowledgementNonce, long stateIndex, List<RegistryEntry> entries, List<StateDelta> deltas) {
        return new GossipMessage(
                Kind.UPDATE,
                acknowledgementNonce,
                -1,
                stateIndex,
                NO_DIGESTS,
                entries,
                deltas,
                SnapshotChunk.NONE,
                List.of());
    }

    /** The acknowledgement of an update. */
    static GossipMessage acknowledgement(long nonce) {
        return new GossipMessage(
                Kind.REPLY, nonce, -1, -1, NO_DIGESTS, List.of(), List.of(), SnapshotChunk.NONE, List.of());
    }

    static GossipMessage fetch(long nonce, long stateIndex, SnapshotChunk requested) {
        return new GossipMessage(
                Kind.FETCH, nonce, -1, stateIndex, NO_DIGESTS, List.of(), List.of(), requested, List.of());
    }

    static GossipMessage fetchReply(long nonce, long stateIndex, List<StateDelta> deltas, SnapshotChunk chunk) {
        return new GossipMessage(
                Kind.FETCH_REPLY, nonce, -1, stateIndex, NO_DIGESTS, List.of(), deltas, chunk, List.of());
    }
}
