package quartzspan.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * One step of the protocol between replicas; see {@link Replica}. A field that a kind does not use has its initial value.
 *
 * @param ballot the candidacy or the view that the message belongs to
 * @param nonce which heartbeat is answered; of a recovery request: which life of the disk asks
 * @param promised the highest ballot that the sender has promised, durably
 * @param copyBallot with {@code index}: the state that the sender holds a copy of
 * @param ok whether what was asked is granted; of a heartbeat: whether a voter can be done without; of a vote request: whether the
 *     primary has handed over
 * @param blank whether the sender has lost what it once promised
 * @param generation how often the sender's disk was lost; of a copy: the generation of the disk that it is meant for
 * @param generations how often the disks of others were lost, as far as the sender knows, by name
 * @param silences how long the sender has not heard of others, milliseconds by name
 * @param body the bytes of a {@link StateUpdate}, or nothing
 */
public record ReplicaMessage(
        Kind kind,
        Ballot ballot,
        long nonce,
        Ballot promised,
        Ballot copyBallot,
        long index,
        boolean ok,
        boolean blank,
        long generation,
        Map<String, Long> generations,
        Map<String, Long> silences,
        View view,
        byte[] body) {

    /** The kinds, in pairs of request and answer. */
    public enum Kind {
        /** The primary lives; asks whether its ballot still holds. */
        HEARTBEAT,
        HEARTBEAT_REPLY,
        /** Whether a candidacy would be granted; promises nothing. */
        PRE_VOTE,
        PRE_VOTE_REPLY,
        /** A candidate asks for a promise to take no lower ballot. */
        VOTE,
        VOTE_REPLY,
        /** The control state is asked for. */
        FETCH,
        FETCH_REPLY,
        /** A control state to be synced. */
        COPY,
        COPY_REPLY,
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

    static ReplicaMessage of(Kind kind, Ballot ballot) {
        return new ReplicaMessage(
                kind, ballot, 0, Ballot.NONE, Ballot.NONE, -1, false, false, 0, Map.of(), Map.of(), View.NONE, NOTHING);
    }

    ReplicaMessage withNonce(long value) {
        return new ReplicaMessage(
                kind,
                ballot,
                value,
                promised,
                copyBallot,
                index,
                ok,
                blank,
                generation,
                generations,
                silences,
                view,
                body);
    }

    ReplicaMessage withView(View value) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                copyBallot,
                index,
                ok,
                blank,
                generation,
                generations,
                silences,
                value,
                body);
    }

    ReplicaMessage withCopy(Ballot atBallot, long atIndex) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                atBallot,
                atIndex,
                ok,
                blank,
                generation,
                generations,
                silences,
                view,
                body);
    }

    ReplicaMessage withBody(byte[] value) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                copyBallot,
                index,
                ok,
                blank,
                generation,
                generations,
                silences,
                view,
                value);
    }

    ReplicaMessage withOk(boolean value) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                copyBallot,
                index,
                value,
                blank,
                generation,
                generations,
                silences,
                view,
                body);
    }

    ReplicaMessage withPromise(Ballot value, boolean isBlank) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                value,
                copyBallot,
                index,
                ok,
                isBlank,
                generation,
                generations,
                silences,
                view,
                body);
    }

    ReplicaMessage withGeneration(long value) {
        return new ReplicaMessage(
                kind, ballot, nonce, promised, copyBallot, index, ok, blank, value, generations, silences, view, body);
    }

    ReplicaMessage withGenerations(Map<String, Long> value) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                copyBallot,
                index,
                ok,
                blank,
                generation,
                new TreeMap<>(value),
                silences,
                view,
                body);
    }

    ReplicaMessage withSilences(Map<String, Long> value) {
        return new ReplicaMessage(
                kind,
                ballot,
                nonce,
                promised,
                copyBallot,
                index,
                ok,
                blank,
                generation,
                generations,
                new TreeMap<>(value),
                view,
                body);
    }
}
