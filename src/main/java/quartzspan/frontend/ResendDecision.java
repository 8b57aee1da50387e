package quartzspan.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/**
 * Decides, at the end of each attempt, whether a request is sent again, and how the client is answered otherwise. It remembers
 * whether an earlier attempt may have been executed. Nothing else in the proxy decides this; whether an attempt was certainly not
 * executed is told by {@link Outcome#neverRan}.
 *
 * <table>
 * <caption>What is known of the attempt, and what follows</caption>
 * <tr><th>attempt</th><th>may be executed more than once</th><th>may be executed once only</th></tr>
 * <tr><td>a response is being passed on, and is complete</td><td colspan="2">{@link Action#COMPLETE_RESPONSE}</td></tr>
 * <tr><td>a response is being passed on, and is lost</td><td colspan="2">{@link Action#TRUNCATE_RESPONSE}</td></tr>
 * <tr><td>the server's own complete failure response</td><td>{@link Action#PASS_ON_FAILURE}</td>
 *     <td>the same; {@link Action#FAIL} if its status promises that nothing was executed</td></tr>
 * <tr><td>certainly not executed</td><td>{@link Action#RESEND}, else {@link Action#REJECT}</td>
 *     <td>the same, as long as no earlier attempt may have been executed; else {@link Action#FAIL}</td></tr>
 * <tr><td>perhaps executed, no usable response</td><td>{@link Action#RESEND}, else {@link Action#FAIL}</td>
 *     <td>{@link Action#FAIL}</td></tr>
 * </table>
 */
final class ResendDecision {
    /** What follows the end of an attempt. */
    enum Action {
        /** Send the request again, within the limits of attempts and of the retry budget. */
        RESEND,
        /** The response that is being passed on is complete. */
        COMPLETE_RESPONSE,
        /** The response that is being passed on can't be completed: close the client's connection. */
        TRUNCATE_RESPONSE,
        /** Pass the server's failure response on. */
        PASS_ON_FAILURE,
        /** 503 with Retry-After, which promises that the request was not executed and never will be. */
        REJECT,
        /** 502, or 504 after the deadline, which promise nothing. */
        FAIL
    }

    private final boolean repeatable;
    private boolean mayHaveExecuted;

    /** @param repeatable whether the request may be executed more than once */
    ResendDecision(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Decides after an attempt whose response was not passed on.
     *
     * @param failure the status of the server's own complete response; null if there is none
     * @param resendAvailable whether the limits allow another attempt; asked only if that attempt would follow, since it may use
     *     up a part of the retry budget
     */
    Action afterAttempt(Outcome outcome, HttpResponseStatus failure, BooleanSupplier resendAvailable) {
        mayHaveExecuted |= !outcome.neverRan();
        if (outcome == Outcome.FAILED && failure != null && (repeatable || !promisesNonExecution(failure))) {
            return Action.PASS_ON_FAILURE;
        }
        boolean mayResend = repeatable || !mayHaveExecuted;
        return mayResend && resendAvailable.getAsBoolean() ? Action.RESEND : withoutAttempt();
    }

    /** Decides after an attempt whose response the client has begun to receive. */
    static Action afterPassingOn(Outcome outcome) {
        return outcome == Outcome.OK ? Action.COMPLETE_RESPONSE : Action.TRUNCATE_RESPONSE;
    }

    /** Decides for a request that can't be sent (again), for example because no server is left or its time is over. */
    Action withoutAttempt() {
        return mayHaveExecuted ? Action.FAIL : Action.REJECT;
    }

    /** Statuses that clients understand as a guarantee that the request was not executed and never will be. */
    private static boolean promisesNonExecution(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
