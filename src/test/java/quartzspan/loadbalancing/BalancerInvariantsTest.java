package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quartzspan.loadbalancing.LoadBalancer.Actions;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.DedupScope;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Settings;
import quartzspan.loadbalancing.LoadBalancer.Source;

/**
 * Runs seeded random but valid sequences of events and checks every action against the rules, with records
 * independent of the load balancer's state.
 */
class BalancerInvariantsTest {
    private static final long SLACK_US = 20_000;

    /** A request as recorded by the checker. */
    private static final class TrackedRequest {
        RequestClass type;
        long deadlineAt;
        boolean done;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    private static final class TrackedAttempt {
        String endpoint;
        long sentAt;
        long endsAt;
        Outcome plannedOutcome;
        Outcome outcome;
    }

    /** Actions that check each call. */
    private static final class Checker implements Actions {
        final Map<String, Endpoint> listed = new HashMap<>();
        final Map<String, TrackedRequest> open = new HashMap<>();
        final Random random;
        long now = 5_000_000_000L;
        long wakeUpAt = Long.MAX_VALUE;
        int finalAnswers;
        final List<String> probes = new ArrayList<>();

        Checker(Random random) {
            this.random = random;
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            TrackedRequest request = open.get(requestId);
            assertTrue(request != null && !request.done, "sent after its final answer: " + requestId);
            Endpoint target = listed.get(endpointId);
            assertTrue(
                    target != null && target.availability() == Availability.READY,
                    "sent to an endpoint that is not ready: " + endpointId);
            assertTrue(request.attempts.size() < 3, "more than 3 attempts");
            for (TrackedAttempt attempt : request.attempts) {
                assertTrue(attempt.outcome != null, "two attempts in flight at once");
                boolean mayHaveRun = attempt.outcome == null || !attempt.outcome.neverRan();
                if (mayHaveRun && request.type.effect() == Effect.NON_IDEMPOTENT) {
                    throw new AssertionError("non-idempotent request sent again although it may have run");
                }
                if (mayHaveRun && request.type.effect() == Effect.DEDUP) {
                    Endpoint first = listed.get(attempt.endpoint);
                    assertTrue(
                            now - attempt.sentAt <= request.type.dedupWindowUs(),
                            "dedup request sent again outside its window");
                    assertTrue(
                            request.type.scope() == DedupScope.ALL
                                    || request.type.scope() == DedupScope.ZONE && first.zone() == target.zone()
                                    || request.type.scope() == DedupScope.CELL && first.cell() == target.cell(),
                            "dedup request sent again outside its group");
                }
            }
            TrackedAttempt attempt = new TrackedAttempt();
            attempt.endpoint = endpointId;
            attempt.sentAt = now;
            long timeoutAt = Math.min(now + (timeoutUs == 0 ? Long.MAX_VALUE / 2 : timeoutUs), request.deadlineAt);
            long responseAt = now + (long) (20_000 * Math.exp(1.2 * random.nextGaussian()));
            boolean late = responseAt > timeoutAt || random.nextInt(60) == 0;
            attempt.endsAt = late ? Math.max(now, timeoutAt) : responseAt;
            attempt.plannedOutcome = late
                    ? Outcome.TIMED_OUT
                    : random.nextInt(14) > 0
                            ? Outcome.OK
                            : Outcome.values()[random.nextInt(5) == 0 ? 4 : 1 + random.nextInt(5)];
            if (attempt.plannedOutcome == Outcome.TIMED_OUT && !late) {
                attempt.plannedOutcome = Outcome.FAILED;
            }
            request.attempts.add(attempt);
        }

        @Override
        public void refuse(String requestId, long retryAfterUs) {
            TrackedRequest request = recordFinalAnswer(requestId);
            for (TrackedAttempt attempt : request.attempts) {
                boolean mayHaveRun = attempt.outcome == null || !attempt.outcome.neverRan();
                assertTrue(
                        !mayHaveRun
                                || request.type.effect() == Effect.RETRYABLE
                                || request.type.effect() == Effect.DEDUP && request.type.scope() == DedupScope.ALL,
                        "refusal of a request that may have run");
            }
        }

        @Override
        public void fail(String requestId) {
            recordFinalAnswer(requestId);
        }

        private TrackedRequest recordFinalAnswer(String requestId) {
            TrackedRequest request = open.get(requestId);
            assertTrue(request != null && !request.done, "second final answer");
            assertTrue(
                    now <= request.deadlineAt + SLACK_US,
                    "answered " + (now - request.deadlineAt) + " us after the deadline");
            request.done = true;
            finalAnswers++;
            return request;
        }

        @Override
        public void cancel(String requestId, int number) {
            TrackedAttempt attempt = open.get(requestId).attempts.get(number);
            if (attempt.outcome == null) {
                attempt.plannedOutcome = Outcome.CANCELED;
                attempt.endsAt = Math.min(attempt.endsAt, now + 1_000);
            }
        }

        @Override
        public void probe(String endpoint) {
            assertTrue(listed.containsKey(endpoint), "probed an endpoint that was never listed");
            probes.add(endpoint);
        }

        @Override
        public void subscribe() {}

        @Override
        public void wakeAt(long atUs) {
            assertTrue(atUs > now, "wake-up requested in the past");
            wakeUpAt = Math.min(wakeUpAt, atUs);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void randomEventsViolateNoInvariant(int seed) {
        Random random = new Random(seed);
        Checker checker = new Checker(random);
        List<RequestClass> classes =
                new ArrayList<>(List.of(BalancerFixture.RETRYABLE, BalancerFixture.NON_IDEMPOTENT));
        for (DedupScope scope : DedupScope.values()) {
            classes.add(new RequestClass("d" + scope, Effect.DEDUP, scope, 100_000, 1, 0, 300_000, 0, 900_000));
        }
        RequestClass[] classArray = classes.toArray(new RequestClass[0]);
        Settings settings = seed > 16
                ? BalancerFixture.largeFleetSettings(seed % 2 == 0, classArray)
                : BalancerFixture.settings(seed % 3 == 0, classArray);
        // An instance of a large fleet has a tenth of the request rate and is paused from time to time.
        int maxGapUs = seed > 16 ? 40_000 : 4_000;
        LoadBalancer balancer = LoadBalancer.create(settings, seed, checker.now, checker);
        int requestCount = 0;
        int ended = 0;
        for (int step = 0; step < 4_000; step++) {
            int gapUs = random.nextInt(maxGapUs);
            for (; gapUs > 4_000; gapUs -= 4_000) {
                ended += advance(checker, balancer, 4_000);
            }
            checker.now += gapUs;
            if (seed > 16 && random.nextInt(80) == 0) {
                pauseProcess(checker, balancer, 200_000 + random.nextInt(600_000));
            }
            ended += advance(checker, balancer, 0);
            for (String probed : List.copyOf(checker.probes)) {
                if (random.nextInt(3) > 0) {
                    checker.probes.remove(probed);
                    balancer.onProbeEnded(
                            checker.now, probed, Outcome.values()[random.nextInt(5)], random.nextInt(200_000));
                }
            }
            if (step % 150 == 0) {
                changeEndpoints(checker, balancer, random);
            }
            if (step < 3_500) {
                String id = "r" + requestCount++;
                int classIndex = random.nextInt(classes.size());
                TrackedRequest request = new TrackedRequest();
                request.type = classes.get(classIndex);
                long budgetUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 50_000 + random.nextInt(800_000);
                request.deadlineAt = checker.now + budgetUs;
                checker.open.put(id, request);
                String key = random.nextInt(4) == 0 ? null : "k" + (int) Math.pow(random.nextInt(40), 1.5);
                balancer.onRequest(checker.now, new Request(id, classIndex, key, budgetUs, 0, 0, random.nextBoolean()));
                if (random.nextInt(60) == 0 && !request.done) {
                    request.done = true;
                    checker.finalAnswers++;
                    balancer.onRequestGone(checker.now, id);
                }
            }
        }
        for (int i = 0; i < 1_000; i++) {
            ended += advance(checker, balancer, 4_000);
        }
        assertEquals(requestCount, checker.finalAnswers, "requests without a final answer");
        assertTrue(ended > 1_000, "attempts ended: " + ended);
    }

    /** Pauses the process: clients whose deadline passes meanwhile have disconnected when it resumes. */
    private static void pauseProcess(Checker checker, LoadBalancer balancer, long durationUs) {
        checker.now += durationUs;
        for (Map.Entry<String, TrackedRequest> entry : new ArrayList<>(checker.open.entrySet())) {
            if (!entry.getValue().done && checker.now > entry.getValue().deadlineAt) {
                entry.getValue().done = true;
                checker.finalAnswers++;
                balancer.onRequestGone(checker.now, entry.getKey());
            }
        }
    }

    /** Advances the clock, runs the timers and ends the attempts that are due; returns how many ended. */
    private static int advance(Checker checker, LoadBalancer balancer, long durationUs) {
        checker.now += durationUs;
        while (checker.wakeUpAt <= checker.now) {
            checker.wakeUpAt = Long.MAX_VALUE;
            balancer.onTimer(checker.now);
        }
        return endDue(checker, balancer);
    }

    private static int endDue(Checker checker, LoadBalancer balancer) {
        int ended = 0;
        for (Map.Entry<String, TrackedRequest> entry : new ArrayList<>(checker.open.entrySet())) {
            TrackedRequest request = entry.getValue();
            boolean inFlight = false;
            for (int number = 0; number < request.attempts.size(); number++) {
                TrackedAttempt attempt = request.attempts.get(number);
                if (attempt.outcome == null && attempt.endsAt <= checker.now) {
                    attempt.outcome = attempt.plannedOutcome;
                    boolean served = attempt.outcome == Outcome.OK && !request.done;
                    if (served) {
                        request.done = true;
                        checker.finalAnswers++;
                    }
                    ended++;
                    balancer.onAttemptEnded(
                            checker.now,
                            new AttemptEnd(
                                    entry.getKey(),
                                    number,
                                    attempt.outcome,
                                    request.done,
                                    checker.now - attempt.sentAt));
                }
                inFlight |= attempt.outcome == null;
            }
            assertTrue(
                    request.done || checker.now <= request.deadlineAt + SLACK_US || inFlight,
                    "no final answer for " + entry.getKey());
            if (request.done && !inFlight) {
                checker.open.remove(entry.getKey());
            }
        }
        return ended;
    }

    /** Endpoints start, drain, leave and return; a list takes effect at once. */
    private static void changeEndpoints(Checker checker, LoadBalancer balancer, Random random) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Availability state = Availability.values()[Math.max(0, random.nextInt(6) - 3)];
            Endpoint endpoint =
                    new Endpoint("e" + i, i % 3, i % 4, i % 2, state, 1, random.nextInt(5) == 0 ? checker.now : 0);
            checker.listed.put(endpoint.id(), endpoint);
            list.add(endpoint);
        }
        if (random.nextBoolean()) {
            list.removeIf(e -> e.availability() == Availability.GONE);
            balancer.onEndpoints(checker.now, Source.FULL, list);
        } else {
            balancer.onEndpoints(checker.now, Source.DELTA, list);
        }
        if (random.nextInt(3) == 0) {
            balancer.onDiscoveryFailed(checker.now);
        }
    }

    @Test
    void checkerReportsEachDeliberateViolation() {
        Checker checker = new Checker(new Random(1));
        checker.listed.put("up", new Endpoint("up", 0, 0, 0, Availability.READY, 1, 0));
        checker.listed.put("far", new Endpoint("far", 1, 1, 0, Availability.READY, 1, 0));
        checker.listed.put("drained", new Endpoint("drained", 0, 0, 0, Availability.DRAINING, 1, 0));
        openRequest(checker, "a", BalancerFixture.RETRYABLE);
        assertThrows(AssertionError.class, () -> checker.send("a", "drained", 0));
        checker.send("a", "up", 0);
        assertThrows(AssertionError.class, () -> checker.send("a", "far", 0), "two attempts in flight");
        checker.fail("a");
        assertThrows(AssertionError.class, () -> checker.fail("a"), "two final answers");
        openRequest(checker, "b", BalancerFixture.NON_IDEMPOTENT);
        checker.send("b", "up", 0);
        checker.open.get("b").attempts.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> checker.send("b", "far", 0), "non-idempotent request sent twice");
        assertThrows(AssertionError.class, () -> checker.refuse("b", 0), "refusal of a request that may have run");
        openRequest(checker, "d", BalancerFixture.DEDUP);
        checker.send("d", "up", 0);
        checker.open.get("d").attempts.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> checker.send("d", "far", 0), "outside its zone");
        checker.now += 1_500_000;
        assertThrows(AssertionError.class, () -> checker.send("d", "up", 0), "outside its window");
        openRequest(checker, "e", BalancerFixture.RETRYABLE);
        checker.now += 3_000_000;
        assertThrows(AssertionError.class, () -> checker.fail("e"), "answered after the deadline");
    }

    private static void openRequest(Checker checker, String id, RequestClass type) {
        TrackedRequest request = new TrackedRequest();
        request.type = type;
        request.deadlineAt = checker.now + 2_000_000;
        checker.open.put(id, request);
    }
}
