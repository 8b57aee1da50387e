package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quartzspan.frontend.ResendDecision.Action;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Whether a request is sent again after an attempt, and what the client is told otherwise. */
class ResendDecisionTest {
    private static final int HISTORIES = 20_000;
    private static final int MAX_ATTEMPTS = 6;
    private static final List<Outcome> WITHOUT_RESPONSE = List.of(
            Outcome.QUEUE_FULL,
            Outcome.TIMED_OUT,
            Outcome.CONNECT_ERROR,
            Outcome.RESET,
            Outcome.IGNORED,
            Outcome.FAILED);

    private static Action after(boolean repeatable, Outcome outcome, boolean available) {
        return new ResendDecision(repeatable).afterAttempt(outcome, null, () -> available);
    }

    @Test
    void attemptThatWasCertainlyNotExecutedIsRepeatedOrRejectedWithAPromise() {
        for (Outcome outcome : List.of(Outcome.CONNECT_ERROR, Outcome.QUEUE_FULL, Outcome.IGNORED)) {
            for (boolean repeatable : new boolean[] {false, true}) {
                assertEquals(Action.RESEND, after(repeatable, outcome, true));
                assertEquals(Action.REJECT, after(repeatable, outcome, false));
            }
        }
    }

    @Test
    void attemptThatMayHaveBeenExecutedIsRepeatedOnlyIfThatIsAllowed() {
        for (Outcome outcome : List.of(Outcome.RESET, Outcome.TIMED_OUT, Outcome.FAILED)) {
            assertEquals(Action.RESEND, after(true, outcome, true));
            assertEquals(Action.FAIL, after(true, outcome, false));
            assertEquals(Action.FAIL, after(false, outcome, true));
        }
    }

    @Test
    void responseThatIsBeingPassedOnIsCompletedOrTruncated() {
        assertEquals(Action.COMPLETE_RESPONSE, ResendDecision.afterPassingOn(Outcome.OK));
        for (Outcome outcome : WITHOUT_RESPONSE) {
            assertEquals(Action.TRUNCATE_RESPONSE, ResendDecision.afterPassingOn(outcome));
        }
    }

    @Test
    void serversOwnFailureIsPassedOnUnlessItsStatusPromisesWhatIsNotTrue() {
        assertEquals(Action.PASS_ON_FAILURE, afterFailure(false, HttpResponseStatus.INTERNAL_SERVER_ERROR));
        assertEquals(Action.FAIL, afterFailure(false, HttpResponseStatus.SERVICE_UNAVAILABLE));
        assertEquals(Action.PASS_ON_FAILURE, afterFailure(true, HttpResponseStatus.SERVICE_UNAVAILABLE));
    }

    private static Action afterFailure(boolean repeatable, HttpResponseStatus status) {
        return new ResendDecision(repeatable)
                .afterAttempt(Outcome.FAILED, status, () -> fail("the retry budget is not touched"));
    }

    /** Draws the outcomes of up to six attempts: a request that may be executed once only is, and no promise is false. */
    @Test
    void noSequenceOfAttemptsRunsARequestTwiceOrDeniesARun() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            boolean repeatable = random.nextBoolean();
            ResendDecision decision = new ResendDecision(repeatable);
            List<Outcome> outcomes = new ArrayList<>();
            Action action = Action.RESEND;
            while (action == Action.RESEND && outcomes.size() < MAX_ATTEMPTS) {
                Outcome outcome = WITHOUT_RESPONSE.get(random.nextInt(WITHOUT_RESPONSE.size()));
                outcomes.add(outcome);
                action = decision.afterAttempt(outcome, null, random::nextBoolean);
            }
            long possibleRuns = outcomes.stream().filter(o -> !o.neverRan()).count();
            String history = "seed " + seed + ": " + outcomes + ", " + action;
            assertTrue(repeatable || possibleRuns <= 1, history);
            assertEquals(possibleRuns > 0 ? Action.FAIL : Action.REJECT, decision.withoutAttempt(), history);
            assertTrue(action != Action.REJECT || possibleRuns == 0, history);
        }
    }
}
