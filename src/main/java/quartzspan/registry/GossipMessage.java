package quartzspan.registry;

import java.util.List;

/**
 * A message of the gossip between processes.
 *
 * @param nonce of the query; a reply repeats it
 * @param ageMs time since the state of the sender was surely the newest; -1 if it never was
 * @param stateIndex the committed index of the state at the sender; -1 if it has none
 * @param digests digests of the sender's entries by bucket of key, or one digest of all; empty where nothing is compared
 * @param entries updated entries, or those that the receiver lacks by its digests
 * @param deltas deltas of the published state
 * @param chunk a chunk of a snapshot, or the request for one
 */
public record GossipMessage(
        Kind kind,
        long nonce,
        long ageMs,
        long stateIndex,
        long[] digests,
        List<RegistryEntry> entries,
        List<StateDelta> deltas,
        SnapshotChunk chunk) {

    /** Kinds of messages. */
    public enum Kind {
        /** Asks for the entries that the sender lacks, by digests. */
        QUERY,
        REPLY,
        /** Entries, and the index of the state, that were not queried. */
        UPDATE,
        /** Between core machines: the servers and proxies that were heard of late. */
        HEARTBEATS,
        /** Asks for the published state: the deltas to it, or a chunk of a snapshot. */
        FETCH,
        /** Answers {@link #FETCH}. */
        FETCH_REPLY
    }

    static final long[] NO_DIGESTS = {};

    /** Between core machines: the servers and proxies that were heard. */
    public static GossipMessage heartbeats(List<RegistryEntry> entries) {
        return new GossipMessage(Kind.HEARTBEATS, 0, -1, -1, NO_DIGESTS, entries, List.of(), SnapshotChunk.NONE);
    }

    /** Entries that were not queried; the nonce is to be acknowledged, 0 for none. */
    static GossipMessage update(
            long acknowledgementNonce, long stateIndex, List<RegistryEntry> entries, List<StateDelta> deltas) {
        return new GossipMessage(
                Kind.UPDATE, acknowledgementNonce, -1, stateIndex, NO_DIGESTS, entries, deltas, SnapshotChunk.NONE);
    }

    /** Acknowledges an update. */
    static GossipMessage acknowledgement(long nonce) {
        return new GossipMessage(Kind.REPLY, nonce, -1, -1, NO_DIGESTS, List.of(), List.of(), SnapshotChunk.NONE);
    }

    static GossipMessage fetch(long nonce, long stateIndex, SnapshotChunk requested) {
        return new GossipMessage(Kind.FETCH, nonce, -1, stateIndex, NO_DIGESTS, List.of(), List.of(), requested);
    }

    static GossipMessage fetchReply(long nonce, long stateIndex, List<StateDelta> deltas, SnapshotChunk chunk) {
        return new GossipMessage(Kind.FETCH_REPLY, nonce, -1, stateIndex, NO_DIGESTS, List.of(), deltas, chunk);
    }
}
