package quartzspan.registry;

import java.util.List;

/**
 * What one process tells another.
 *
 * @param nonce of the question; an answer repeats it
 * @param ageMs how long ago the state of the teller was surely the newest; -1 if it never was
 * @param stateEpoch with {@code stateIndex}: which control state the teller has
 * @param buckets digests of the teller's entries, by bucket of key; empty where nothing is compared
 * @param entries news, or what the asker lacks by its digests
 * @param controlState the control state itself, where the other's is older; else empty
 */
public record GossipMessage(
        Kind kind,
        long nonce,
        long ageMs,
        long stateEpoch,
        long stateIndex,
        long[] buckets,
        List<RegistryEntry> entries,
        byte[] controlState) {

    /** {@code HEARD}: between core machines, which servers beat here of late. */
    public enum Kind {
        ASK,
        ANSWER,
        NEWS,
        HEARD
    }

    static final byte[] NOTHING = {};
    static final long[] UNCOMPARED = {};
}
