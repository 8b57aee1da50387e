package quartzspan.roster;

import java.util.List;

/**
 * What one process tells another.
 *
 * @param nonce of the question; an answer repeats it
 * @param ageMs how long ago the state of the teller was surely the newest; -1 if it never was
 * @param ledgerEpoch with {@code ledgerIndex}: which control state the teller has
 * @param buckets digests of the teller's facts, by bucket of key; empty where nothing is compared
 * @param facts news, or what the asker lacks by its digests
 * @param ledger the control state itself, where the other's is older; else empty
 */
public record Tidings(Kind kind, long nonce, long ageMs, long ledgerEpoch, long ledgerIndex, long[] buckets,
        List<Fact> facts, byte[] ledger) {

    /** {@code HEARD}: between core machines, which servers beat here of late. */
    public enum Kind { ASK, ANSWER, NEWS, HEARD }

    static final byte[] NOTHING = {};
    static final long[] UNCOMPARED = {};
}
