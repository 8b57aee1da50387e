package quartzspan.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * One step of the protocol between replicas; see {@link Replica}. A field that a kind does not use has its initial value.
 *
 * @param epoch the candidacy or the view that the message belongs to
 * @param nonce which heartbeat is answered; of a recovery request: which life of the disk asks
 * @param promisedEpoch the highest epoch that the sender has promised, durably
 * @param logEpoch with {@code logIndex}: the state that the sender holds a copy of
 * @param granted whether what was asked is granted; of a heartbeat: whether a voter can be done without; of a vote request: whether the
 *     primary has handed over
 * @param recovering whether the sender has lost what it once promised
 * @param generation how often the sender's disk was lost; of a copy: the generation of the disk that it is meant for
 * @param generations how often the disks of others were lost, as far as the sender knows, by name
 * @param sinceHeardMs how long the sender has not heard of others, milliseconds by name
 * @param body the bytes of a {@link StateUpdate}, or nothing
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
        Map<String, Long> sinceHeardMs,
        Membership membership,
        byte[] body) {

    /** The kinds, in pairs of request and answer. */
    public enum Kind {
        /** The primary lives; asks whether its epoch still holds. */
        HEARTBEAT,
        HEARTBEAT_REPLY,
        /** Whether a candidacy would be granted; promises nothing. */
        PRE_VOTE,
        PRE_VOTE_REPLY,
        /** A candidate asks for a promise to take no lower epoch. */
        VOTE,
        VOTE_REPLY,
        /** The control state is asked for. */
        FETCH,
        FETCH_REPLY,
        /** A control state to be synced. */
        REPLICATE,
        REPLICATE_REPLY,
        /** A view is to take effect. */
        ACCEPT,
        ACCEPT_REPLY,
        /** Asks what was promised and which views are known; from a replica that lost its disk, or is new. */
        RECOVERY,
        RECOVERY_REPLY,
        /** The sender is about to end, and wants to hold no copy and, if somebody can take it, no vote. */
        LEAVING,
        /** The primary is about to end: the receiver is to stand for its place at once. */
        HANDOVER
    }

    private static final byte[] NOTHING = {};

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
                NOTHING);
    }

    ReplicaMessage withNonce(long value) {
        return new ReplicaMessage(
                kind,
                epoch,
                value,
                promisedEpoch,
                logEpoch,
                logIndex,
                granted,
                recovering,
                generation,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withMembership(Membership value) {
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
                sinceHeardMs,
                value,
                body);
    }

    ReplicaMessage withLogPosition(Epoch atEpoch, long atIndex) {
        return new ReplicaMessage(
                kind,
                epoch,
                nonce,
                promisedEpoch,
                atEpoch,
                atIndex,
                granted,
                recovering,
                generation,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withBody(byte[] value) {
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
                sinceHeardMs,
                membership,
                value);
    }

    ReplicaMessage withGranted(boolean value) {
        return new ReplicaMessage(
                kind,
                epoch,
                nonce,
                promisedEpoch,
                logEpoch,
                logIndex,
                value,
                recovering,
                generation,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withPromisedEpoch(Epoch value, boolean isRecovering) {
        return new ReplicaMessage(
                kind,
                epoch,
                nonce,
                value,
                logEpoch,
                logIndex,
                granted,
                isRecovering,
                generation,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withGeneration(long value) {
        return new ReplicaMessage(
                kind,
                epoch,
                nonce,
                promisedEpoch,
                logEpoch,
                logIndex,
                granted,
                recovering,
                value,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withGenerations(Map<String, Long> value) {
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
                new TreeMap<>(value),
                sinceHeardMs,
                membership,
                body);
    }

    ReplicaMessage withSinceHeardMs(Map<String, Long> value) {
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
                new TreeMap<>(value),
                membership,
                body);
    }
}
