package quartzspan.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * A message between replicas; see {@link Replica}. Fields that a kind does not use have the values set by {@link #of}.
 *
 * @param epoch the epoch of the election or membership that the message belongs to
 * @param nonce sequence number of a heartbeat, repeated in its reply; in recovery messages the nonce of the recovering replica's
 *     disk incarnation
 * @param promisedEpoch the highest epoch that the sender has promised; rejections and pre-vote replies may report a promise that
 *     is not durable yet
 * @param logEpoch with {@code logIndex}: the position at the end of the sender's log
 * @param granted whether the request is granted; in a heartbeat whether the membership can do without a voter; in a vote request
 *     whether the primary has requested the election
 * @param recovering whether the sender has lost its disk, and with it its promises
 * @param generation number of times the sender's disk was lost; in a {@link Kind#REPLICATE} message the generation of the
 *     receiver's disk
 * @param generations disk generations of other replicas known to the sender, by name
 * @param sinceLastContactMs time since the sender's last contact with other replicas, by name
 * @param membership the membership to adopt or to accept
 * @param body the encoded {@link StateUpdate}; empty if there is none
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

    /** The kinds, in pairs of request and reply. The ordinal is the number on the wire, so the order has to stay. */
    public enum Kind {
        /** Sent periodically by the primary; the reply confirms or rejects its epoch. */
        HEARTBEAT,
        HEARTBEAT_REPLY,
        /** Checks whether a vote would be granted, without any promise. */
        PRE_VOTE,
        PRE_VOTE_REPLY,
        /** Requests the promise to reject messages of epochs below the candidate's. */
        VOTE,
        VOTE_REPLY,
        /** Requests the control state. */
        FETCH,
        FETCH_REPLY,
        /** A state update to be synced. */
        REPLICATE,
        REPLICATE_REPLY,
        /** A membership to be synced; it takes effect once a quorum has synced it. */
        ACCEPT,
        ACCEPT_REPLY,
        /** Requests the promise and the latest membership; sent by replicas that lost their disk or have no vote. */
        RECOVERY,
        RECOVERY_REPLY,
        /** The sender is about to shut down: its data, and its vote if a standby is available, should move elsewhere. */
        LEAVING,
        /** The primary is about to shut down: the receiver should start an election immediately. */
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

    /** An update to be synced by a replica whose disk has the given generation. */
    static ReplicaMessage replicate(StateUpdate update, long generation) {
        return of(Kind.REPLICATE, update.epoch())
                .withLogPosition(update.epoch(), update.index())
                .withGeneration(generation)
                .withBody(update.bytes());
    }

    /** Whether both messages report the same log position and disk generation. */
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

    /** Builds a modified copy of a message. */
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
