package quartzspan.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * A message of the protocol between replicas; see {@link Replica}. A field that a kind does not use has its initial value.
 *
 * @param epoch the election or the membership that the message belongs to
 * @param nonce identifies the heartbeat that a reply answers; in a recovery request the incarnation of the sender's disk
 * @param promisedEpoch the highest epoch that the sender has promised, durably
 * @param logEpoch with {@code logIndex}: the state at the end of the sender's log
 * @param granted whether the request is granted; in a heartbeat whether the membership can do without a voter; in a vote request
 *     whether the primary has handed over
 * @param recovering whether the sender has lost its disk, and with it what it had promised
 * @param generation how often the sender's disk was lost; in a {@link Kind#REPLICATE} message the generation of the disk that
 *     it is meant for
 * @param generations how often the disks of other replicas were lost, as far as the sender knows, by name
 * @param sinceLastContactMs time since the sender last heard from other replicas, milliseconds by name
 * @param membership a membership to learn, or to accept
 * @param body the bytes of a {@link StateUpdate}; empty for none
 */
public record ReplicaMessage(
        Kind kind,
        Epoch epoch,
        long nonce,
        Epoch promisedEpoch,
        Epoch logEpoch,
        long logIndex,
        boolean granted,
        boolean recovering,
        long generation,
        Map<String, Long> generations,
        Map<String, Long> sinceLastContactMs,
        Membership membership,
        byte[] body) {

    /** The kinds, in pairs of request and reply. Their order is that of their numbers on the wire. */
    public enum Kind {
        /** The primary is alive, and asks whether its epoch still holds. */
        HEARTBEAT,
        HEARTBEAT_REPLY,
        /** Asks whether a vote would be granted; promises nothing. */
        PRE_VOTE,
        PRE_VOTE_REPLY,
        /** A candidate asks for the promise to take nothing below its epoch. */
        VOTE,
        VOTE_REPLY,
        /** Asks for the control state. */
        FETCH,
        FETCH_REPLY,
        /** A control state to be synced. */
        REPLICATE,
        REPLICATE_REPLY,
        /** A membership to be synced, so that it takes effect. */
        ACCEPT,
        ACCEPT_REPLY,
        /** Asks for promises and the latest membership; from a replica that lost its disk, or is new. */
        RECOVERY,
        RECOVERY_REPLY,
        /** The sender is about to end, and wants to hold no data and, if a standby can take it, no vote. */
        LEAVING,
        /** The primary is about to end: the receiver is to start an election at once. */
        HANDOVER
    }

    private static final byte[] NO_BODY = {};

    static ReplicaMessage of(Kind kind, Epoch epoch) {
        return new ReplicaMessage(
                kind,
                epoch,
                0,
                Epoch.NONE,
                Epoch.NONE,
                -1,
                false,
                false,
                0,
                Map.of(),
                Map.of(),
                Membership.NONE,
                NO_BODY);
    }

    /** An update to be synced, for a disk of the given generation. */
    static ReplicaMessage replicate(StateUpdate update, long generation) {
        return of(Kind.REPLICATE, update.epoch())
                .withLogPosition(update.epoch(), update.index())
                .withGeneration(generation)
                .withBody(update.bytes());
    }

    /** Whether both senders report the same end of the log on the same disk. */
    boolean hasSameLogPosition(ReplicaMessage other) {
        return logEpoch.equals(other.logEpoch) && logIndex == other.logIndex && generation == other.generation;
    }

    ReplicaMessage withNonce(long value) {
        Builder copy = new Builder(this);
        copy.nonce = value;
        return copy.build();
    }

    ReplicaMessage withMembership(Membership value) {
        Builder copy = new Builder(this);
        copy.membership = value;
        return copy.build();
    }

    ReplicaMessage withLogPosition(Epoch atEpoch, long atIndex) {
        Builder copy = new Builder(this);
        copy.logEpoch = atEpoch;
        copy.logIndex = atIndex;
        return copy.build();
    }

    ReplicaMessage withBody(byte[] value) {
        Builder copy = new Builder(this);
        copy.body = value;
        return copy.build();
    }

    ReplicaMessage withGranted(boolean value) {
        Builder copy = new Builder(this);
        copy.granted = value;
        return copy.build();
    }

    ReplicaMessage withPromisedEpoch(Epoch value, boolean isRecovering) {
        Builder copy = new Builder(this);
        copy.promisedEpoch = value;
        copy.recovering = isRecovering;
        return copy.build();
    }

    ReplicaMessage withGeneration(long value) {
        Builder copy = new Builder(this);
        copy.generation = value;
        return copy.build();
    }

    ReplicaMessage withGenerations(Map<String, Long> value) {
        Builder copy = new Builder(this);
        copy.generations = new TreeMap<>(value);
        return copy.build();
    }

    ReplicaMessage withSinceLastContactMs(Map<String, Long> value) {
        Builder copy = new Builder(this);
        copy.sinceLastContactMs = new TreeMap<>(value);
        return copy.build();
    }

    /** A copy of a message, of which single fields are changed before it is built. */
    private static final class Builder {
        private final Kind kind;
        private final Epoch epoch;
        private long nonce;
        private Epoch promisedEpoch;
        private Epoch logEpoch;
        private long logIndex;
        private boolean granted;
        private boolean recovering;
        private long generation;
        private Map<String, Long> generations;
        private Map<String, Long> sinceLastContactMs;
        private Membership membership;
        private byte[] body;

        Builder(ReplicaMessage from) {
            kind = from.kind;
            epoch = from.epoch;
            nonce = from.nonce;
            promisedEpoch = from.promisedEpoch;
            logEpoch = from.logEpoch;
            logIndex = from.logIndex;
            granted = from.granted;
            recovering = from.recovering;
            generation = from.generation;
            generations = from.generations;
            sinceLastContactMs = from.sinceLastContactMs;
            membership = from.membership;
            body = from.body;
        }

        ReplicaMessage build() {
            return new ReplicaMessage(
                    kind,
                    epoch,
                    nonce,
                    promisedEpoch,
                    logEpoch,
                    logIndex,
                    granted,
                    recovering,
                    generation,
                    generations,
                    sinceLastContactMs,
                    membership,
                    body);
        }
    }
}
