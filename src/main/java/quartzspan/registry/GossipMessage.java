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
        ASK,
        ANSWER,
        /** Tells something unasked. */
        NEWS,
        /** Between core machines: which servers beat here of late. */
        HEARD,
        /** Asks for the published state: the steps to it, or a part of a snapshot. */
        FETCH,
        /** Answers {@link #FETCH}. */
        FETCHED
    }

    static final long[] UNCOMPARED = {};

    /** Between core machines: who was heard. */
    public static GossipMessage heard(List<RegistryEntry> lives) {
        return new GossipMessage(Kind.HEARD, 0, -1, -1, UNCOMPARED, lives, List.of(), SnapshotChunk.NONE);
    }

    /** Entries told unasked; {@code receipt}: what the answer is to repeat, or 0 for none. */
    static GossipMessage news(long receipt, long stateIndex, List<RegistryEntry> entries, List<StateDelta> deltas) {
        return new GossipMessage(Kind.NEWS, receipt, -1, stateIndex, UNCOMPARED, entries, deltas, SnapshotChunk.NONE);
    }

    /** Says that news came. */
    static GossipMessage receipt(long nonce) {
        return new GossipMessage(Kind.ANSWER, nonce, -1, -1, UNCOMPARED, List.of(), List.of(), SnapshotChunk.NONE);
    }

    static GossipMessage fetch(long nonce, long stateIndex, SnapshotChunk wanted) {
        return new GossipMessage(Kind.FETCH, nonce, -1, stateIndex, UNCOMPARED, List.of(), List.of(), wanted);
    }

    static GossipMessage fetched(long nonce, long stateIndex, List<StateDelta> deltas, SnapshotChunk chunk) {
        return new GossipMessage(Kind.FETCHED, nonce, -1, stateIndex, UNCOMPARED, List.of(), deltas, chunk);
    }
}
