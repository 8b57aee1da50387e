package quartzspan.replication;

/**
 * One step of the protocol between core machines; see {@link Replica}. A field that a kind does not use is 0 or empty.
 *
 * @param ok whether what was asked is granted
 * @param blank whether the writer has forgotten what it once promised
 */
public record ReplicaMessage(
        Kind kind,
        long epoch,
        long nonce,
        long promised,
        long copyEpoch,
        long index,
        boolean ok,
        boolean blank,
        View view,
        byte[] body) {

    /** The kinds, in pairs of question and answer. */
    public enum Kind {
        /** The primary lives; asks whether its epoch still holds. */
        HEARTBEAT,
        HEARTBEAT_REPLY,
        /** Whether a new epoch would be granted; promises nothing. */
        PRE_VOTE,
        PRE_VOTE_REPLY,
        /** A new epoch is asked for. */
        VOTE,
        VOTE_REPLY,
        /** The whole control state is asked for. */
        FETCH,
        FETCH_REPLY,
        /** The control state as of an index, to be synced. */
        COPY,
        COPY_REPLY,
        /** A view is to take effect. */
        ACCEPT,
        ACCEPT_REPLY,
        /** What was promised is asked for, by one that doesn't know: blank, or new here. */
        RECOVERY,
        RECOVERY_REPLY
    }

    private static final byte[] NOTHING = {};

    static ReplicaMessage of(Kind kind, long epoch, View view) {
        return new ReplicaMessage(kind, epoch, 0, 0, 0, 0, false, false, view, NOTHING);
    }

    ReplicaMessage nonce(long value) {
        return new ReplicaMessage(kind, epoch, value, promised, copyEpoch, index, ok, blank, view, body);
    }

    ReplicaMessage body(long atEpoch, long atIndex, byte[] bytes) {
        return new ReplicaMessage(kind, epoch, nonce, promised, atEpoch, atIndex, ok, blank, view, bytes);
    }

    ReplicaMessage says(boolean yes, long hasPromised, boolean isBlank) {
        return new ReplicaMessage(kind, epoch, nonce, hasPromised, copyEpoch, index, yes, isBlank, view, body);
    }
}
