package quartzspan.http;

import quartzspan.loadbalancing.LoadBalancer.Outcome;

/**
 * How far a request has come on its connections, and what that proves when the attempt ends without a response of its own. This is
 * the only place where the pool decides whether a request is certain not to have been executed.
 *
 * <table>
 * <caption>What is known, and what follows</caption>
 * <tr><th>progress</th><th>executed?</th><th>connection lost</th><th>timeout</th></tr>
 * <tr><td>{@link #UNSENT}</td><td>certainly not</td><td>another connection, else {@code CONNECT_ERROR}</td>
 *     <td>{@code CONNECT_ERROR}</td></tr>
 * <tr><td>{@link #SENT}</td><td>perhaps: a server may begin before it has read the whole body</td><td>{@code RESET}</td>
 *     <td>{@code TIMED_OUT}</td></tr>
 * <tr><td>{@link #RESPONDING}</td><td>perhaps, and parts of the response may have been passed on</td><td>{@code RESET}</td>
 *     <td>{@code TIMED_OUT}</td></tr>
 * </table>
 */
enum RequestProgress {
    /** Less than its head has been written: nothing that a server could execute. */
    UNSENT,
    /** Its head, and perhaps its body, has been written; no response has begun. */
    SENT,
    /** A response has begun. */
    RESPONDING;

    /**
     * The progress of a request on a connection.
     *
     * @param writtenBytes the bytes of the request that the socket has taken
     * @param headBytes the size of its head, bytes
     * @param responding whether a byte of a response has been received
     */
    static RequestProgress of(long writtenBytes, int headBytes, boolean responding) {
        if (responding) {
            return RESPONDING;
        }
        return writtenBytes < headBytes ? UNSENT : SENT;
    }

    /** Whether the request may be sent on another connection within the same attempt. */
    boolean mayReconnect() {
        return this == UNSENT;
    }

    /** The outcome of an attempt whose connection is lost, and which does not try another one. */
    Outcome onConnectionLost() {
        return this == UNSENT ? Outcome.CONNECT_ERROR : Outcome.RESET;
    }

    /** The outcome of an attempt whose time is over. */
    Outcome onTimeout() {
        return this == UNSENT ? Outcome.CONNECT_ERROR : Outcome.TIMED_OUT;
    }
}
