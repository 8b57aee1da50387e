package quartzspan.docket;

/**
 * One step of the protocol between core machines; see {@link Docket}. A field that a kind does not use is 0 or empty.
 *
 * @param ok whether what was asked is granted
 * @param blank whether the writer has forgotten what it once promised
 */
public record Letter(Kind kind, long epoch, long nonce, long promised, long copyEpoch, long index, boolean ok,
        boolean blank, View view, byte[] body) {

    /** The kinds, in pairs of question and answer. */
    public enum Kind {
        /** The primary lives; asks whether its epoch still holds. */
        BEAT, BEATEN,
        /** Whether a new epoch would be granted; promises nothing. */
        SOUND, SOUNDED,
        /** A new epoch is asked for. */
        ASK, GRANTED,
        /** The whole control state is asked for. */
        FETCH, FETCHED,
        /** The control state as of an index, to be synced. */
        COPY, COPIED,
        /** A view is to take effect. */
        ACCEPT, ACCEPTED,
        /** What was promised is asked for, by one that doesn't know: blank, or new here. */
        RECALL, RECALLED
    }

    private static final byte[] NOTHING = {};

    static Letter of(Kind kind, long epoch, View view) {
        return new Letter(kind, epoch, 0, 0, 0, 0, false, false, view, NOTHING);
    }

    Letter nonce(long value) {
        return new Letter(kind, epoch, value, promised, copyEpoch, index, ok, blank, view, body);
    }

    Letter body(long atEpoch, long atIndex, byte[] bytes) {
        return new Letter(kind, epoch, nonce, promised, atEpoch, atIndex, ok, blank, view, bytes);
    }

    Letter says(boolean yes, long hasPromised, boolean isBlank) {
        return new Letter(kind, epoch, nonce, hasPromised, copyEpoch, index, yes, isBlank, view, body);
    }
}
