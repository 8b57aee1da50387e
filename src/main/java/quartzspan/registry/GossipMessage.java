package quartzspan.registry;

import java.util.List;

/**
 * What one process tells another.
 *
 * @param nonce of the question; an answer repeats it
 * @param ageMs how long ago the state of the teller was surely the newest; -1 if it never was
 * @param stateIndex the committed index of the control state that the teller has; -1 if it has none
 * @param buckets digests of the teller's entries by bucket of key, or one digest of all; empty where nothing is compared
 * @param entries news, or what the asker lacks by its digests
 * @param deltas steps of the published state
 * @param chunk a part of a snapshot, or which part is wanted
 */
public record GossipMessage(
        Kind kind,
        long nonce,
        long ageMs,
        long stateIndex,
        long[] buckets,
        List<RegistryEntry> entries,
        List<StateDelta> deltas,
        SnapshotChunk chunk) {

    /** Kinds of messages. */
    public enum Kind {
        /** Asks for what is lacking here, by digests. */
        QUERY,
        REPLY,
        /** Tells something unasked. */
        UPDATE,
        /** Between core machines: which servers beat here of late. */
        HEARTBEATS,
        /** Asks for the published state: the steps to it, or a part of a snapshot. */
        FETCH,
        /** Answers {@link #FETCH}. */
        FETCH_REPLY
    }

    static final long[] UNCOMPARED = {};

    /** Between core machines: who was heard. */
    public static GossipMessage heartbeats(List<RegistryEntry> entries) {
        return new GossipMessage(Kind.HEARTBEATS, 0, -1, -1, UNCOMPARED, entries, List.of(), SnapshotChunk.NONE);
    }

    /** Entries told unasked; {@code receipt}: what the answer is to repeat, or 0 for none. */
    static GossipMessage update(
            long acknowledgementNonce, long stateIndex, List<RegistryEntry> entries, List<StateDelta> deltas) {
        return new GossipMessage(
                Kind.UPDATE, acknowledgementNonce, -1, stateIndex, UNCOMPARED, entries, deltas, SnapshotChunk.NONE);
    }

    /** Says that news came. */
    static GossipMessage acknowledgement(long nonce) {
        return new GossipMessage(Kind.REPLY, nonce, -1, -1, UNCOMPARED, List.of(), List.of(), SnapshotChunk.NONE);
    }

    static GossipMessage fetch(long nonce, long stateIndex, SnapshotChunk wanted) {
        return new GossipMessage(Kind.FETCH, nonce, -1, stateIndex, UNCOMPARED, List.of(), List.of(), wanted);
    }

    static GossipMessage fetchReply(long nonce, long stateIndex, List<StateDelta> deltas, SnapshotChunk chunk) {
        return new GossipMessage(Kind.FETCH_REPLY, nonce, -1, stateIndex, UNCOMPARED, List.of(), deltas, chunk);
    }
}
