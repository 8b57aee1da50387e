package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Source;

/** Decisions of the ring-hash load balancer: placement, limits, ejection, retries, queueing, discovery. */
class RingHashLoadBalancerTest {

    @Test
    void keyHasTheSameOwnerInEachInstance() {
        BalancerFixture first = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(9);
        BalancerFixture second = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(9);
        for (int k = 0; k < 200; k++) {
            String owner = first.serve(0, "k" + k);
            assertEquals(owner, first.serve(0, "k" + k));
            assertEquals(owner, second.serve(0, "k" + k));
        }
    }

    @Test
    void endpointsAndKeysUsedOnceAreNotRetained() throws Exception {
        // Guards against a leak when endpoints and keys are always new, also for GONE entries of endpoints never
        // listed.
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(9);
        for (int i = 0; i < 2000; i++) {
            fixture.balancer.onEndpoints(
                    fixture.now,
                    Source.DELTA,
                    List.of(
                            new Endpoint("old" + i, 0, 0, 0, Availability.GONE, 1, 0),
                            new Endpoint("new" + i, 0, 0, 0, Availability.READY, 1, 0)));
            fixture.serve(0, "key" + i);
            fixture.balancer.onEndpoints(
                    fixture.now, Source.DELTA, List.of(new Endpoint("new" + i, 0, 0, 0, Availability.GONE, 1, 0)));
        }
        for (java.lang.reflect.Field field : fixture.balancer.getClass().getDeclaredFields()) {
            field.setAccessible(true);
            if (field.get(fixture.balancer) instanceof Map<?, ?> map) {
                assertTrue(map.size() <= 9, field.getName() + " has size " + map.size());
            } else if (field.get(fixture.balancer) instanceof java.util.Collection<?> collection) {
                assertTrue(collection.size() <= 9, field.getName() + " has size " + collection.size());
            }
        }
    }

    @Test
    void listChangeMovesOnlyKeysOfChangedEndpoints() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(9);
        Map<String, String> before = new HashMap<>();
        for (int k = 0; k < 300; k++) {
            before.put("k" + k, fixture.serve(0, "k" + k));
        }
        fixture.withEndpoints(10);
        int moved = 0;
        for (int k = 0; k < 300; k++) {
            String endpoint = fixture.serve(0, "k" + k);
            if (!endpoint.equals(before.get("k" + k))) {
                assertEquals("e9", endpoint);
                moved++;
            }
        }
        assertTrue(moved > 5 && moved < 75, "keys moved: " + moved);
        fixture.withEndpoints(9);
        for (int k = 0; k < 300; k++) {
            assertEquals(before.get("k" + k), fixture.serve(0, "k" + k));
        }
    }

    @Test
    void keylessRequestsOpenOneConnectionAtATime() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(6);
        fixture.serve(0, null);
        Set<String> unconnected = new HashSet<>();
        Set<String> known = new HashSet<>(Set.of(fixture.sentTo.get("r0").get(0)));
        for (int i = 0; i < 3; i++) {
            String endpoint = fixture.endpointOf(fixture.request(0, null, 1_000_000));
            if (!known.contains(endpoint)) {
                unconnected.add(endpoint);
            }
        }
        assertTrue(unconnected.size() <= 1, "connections opened: " + unconnected);
    }

    @Test
    void drainingOrGoneEndpointGetsNoNewRequests() {
        for (Availability state : List.of(Availability.DRAINING, Availability.GONE)) {
            BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(4);
            fixture.balancer.onEndpoints(fixture.now, Source.DELTA, List.of(new Endpoint("e2", 2, 2, 0, state, 1, 0)));
            for (int k = 0; k < 100; k++) {
                assertNotEquals("e2", fixture.serve(0, "k" + k));
            }
        }
    }

    @Test
    void endpointMissingFromCompleteListIsRemovedAndMayReturn() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(4);
        fixture.withEndpoints(2);
        Set<String> seen = new HashSet<>();
        for (int k = 0; k < 60; k++) {
            seen.add(fixture.serve(0, "k" + k));
        }
        assertEquals(Set.of("e0", "e1"), seen);
        fixture.withEndpoints(4);
        for (int k = 0; k < 60; k++) {
            seen.add(fixture.serve(0, "k" + k));
        }
        assertEquals(4, seen.size());
    }

    @Test
    void lostResponsesDoNotCountAgainstTheLimitOfAResponsiveEndpoint() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.NON_IDEMPOTENT).withEndpoints(1);
        settleBaseline(fixture);
        List<String> lost = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            lost.add(fixture.request(0, "k", 10_000_000));
            assertEquals("e0", fixture.endpointOf(lost.get(i)), "request that is lost " + i);
            assertEquals("e0", fixture.serve(0, "k"), "request sent meanwhile " + i);
            fixture.advance(250_000);
            assertEquals("e0", fixture.serve(0, "k"), "request sent later " + i);
        }
        for (String id : lost) {
            fixture.endAttempt(id, Outcome.TIMED_OUT, 1_200_000);
        }
        for (int i = 0; i < 2; i++) {
            assertEquals("e0", fixture.endpointOf(fixture.request(0, "k", 2_000_000)), "simultaneous request " + i);
        }
    }

    /** Serves requests until the latency baseline matches the latency of these tests. */
    private static void settleBaseline(BalancerFixture fixture) {
        for (int i = 0; i < 300; i++) {
            fixture.serve(0, "k");
        }
    }

    @Test
    void requestWithLostResponseIsRetriedWithinItsTargetLatency() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        settleBaseline(fixture);
        String owner = fixture.serve(0, "k");
        String id = fixture.request(0, "k", 2_000_000);
        for (int i = 0; i < 5; i++) {
            assertEquals(owner, fixture.serve(0, "k"));
            fixture.advance(40_000);
        }
        assertTrue(fixture.log.contains("cancel " + id + " 0"), "lost attempt is not cancelled");
        fixture.endAttempt(id, Outcome.CANCELED, 300_000);
        assertEquals(2, fixture.attemptCount(id));
        assertNotEquals(owner, fixture.endpointOf(id));
        assertEquals(owner, fixture.serve(0, "k"));
    }

    @Test
    void normalLatencySpreadDoesNotReduceTheLimitOfABusyEndpoint() {
        // Slow machines and uncached keys: well within the target latency and no sign of a queue.
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.NON_IDEMPOTENT).withEndpoints(1);
        ArrayDeque<String> inFlight = new ArrayDeque<>();
        for (int i = 0; i < 1_000; i++) {
            String id = fixture.request(0, "k", 2_000_000);
            if (i > 100) {
                assertEquals("e0", fixture.endpointOf(id), "limit reached at request " + i);
            }
            inFlight.add(id);
            fixture.advance(10_000);
            if (inFlight.size() == 6 || fixture.endpointOf(id) == null) {
                fixture.endAttempt(inFlight.remove(), Outcome.OK, i % 5 == 0 ? 270_000 : 150_000);
            }
        }
    }

    @Test
    void failuresCommonToAllEndpointsEjectNone() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(4);
        for (int i = 0; i < 1_000; i++) {
            if (i % 10 == 0) {
                resetThenServe(fixture, "k" + i);
            } else {
                fixture.serve(0, "k" + i);
            }
        }
        String owner = fixture.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            assertEquals(owner, resetThenServe(fixture, "k"));
        }
        assertEquals(owner, fixture.serve(0, "k"), "ejected because of failures common to all endpoints");
        for (int i = 0; i < 10; i++) {
            resetThenServe(fixture, "k");
        }
        assertNotEquals(owner, fixture.serve(0, "k"), "not ejected although every request fails");
    }

    /** Resets the first attempt of a request and serves the second, if any; returns the endpoint of the first. */
    private static String resetThenServe(BalancerFixture fixture, String key) {
        String id = fixture.request(0, key, 1_000_000);
        fixture.now += 20_000;
        fixture.endAttempt(id, Outcome.RESET, 20_000);
        if (fixture.attemptCount(id) > 1) {
            fixture.endAttempt(id, Outcome.OK, 20_000);
        }
        return fixture.sentTo.get(id).get(0);
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            BalancerFixture fixture = new BalancerFixture(BalancerFixture.NON_IDEMPOTENT).withEndpoints(4);
            String id = fixture.request(0, "k", 1_000_000);
            fixture.now += 1_000;
            fixture.endAttempt(id, outcome, 1_000);
            assertEquals(outcome.neverRan() ? 2 : 1, fixture.attemptCount(id), outcome.name());
            assertEquals(outcome.neverRan() ? null : "fail", fixture.finalAnswers.get(id), outcome.name());
        }
    }

    @Test
    void dedupRequestIsRetriedOnlyInItsZoneAndWindow() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.DEDUP).withEndpoints(9);
        String id = fixture.request(0, "k", 2_000_000);
        int zone = Integer.parseInt(fixture.endpointOf(id).substring(1)) % 3;
        fixture.now += 1_000;
        fixture.endAttempt(id, Outcome.FAILED, 1_000);
        assertEquals(2, fixture.attemptCount(id));
        assertEquals(zone, Integer.parseInt(fixture.endpointOf(id).substring(1)) % 3);
        fixture.now += 1_000_000;
        fixture.endAttempt(id, Outcome.FAILED, 1_000_000);
        assertEquals(2, fixture.attemptCount(id));
        assertEquals("fail", fixture.finalAnswers.get(id));
    }

    @Test
    void dedupRequestThatNeverRanMayBeRefused() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.DEDUP).withEndpoints(1);
        String id = fixture.request(0, "k", 2_000_000);
        fixture.endAttempt(id, Outcome.QUEUE_FULL, 1_000);
        assertEquals("refuse", fixture.finalAnswers.get(id));
    }

    @Test
    void withoutEndpointsRequestsAreRefusedWithinAnyBudget() {
        for (long budget : List.of(0L, 1L, 3_000L, 40_000L, 2_000_000L)) {
            for (RequestClass type :
                    List.of(BalancerFixture.RETRYABLE, BalancerFixture.DEDUP, BalancerFixture.NON_IDEMPOTENT)) {
                BalancerFixture fixture = new BalancerFixture(type);
                String id = fixture.request(0, "k", budget);
                fixture.advance(budget);
                assertEquals("refuse", fixture.finalAnswers.get(id), type.name() + " " + budget);
            }
        }
    }

    @Test
    void queuedRequestIsSentWhenAnEndpointAppears() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE);
        String id = fixture.request(0, "k", 1_000_000);
        assertNull(fixture.endpointOf(id));
        fixture.withEndpoints(2);
        assertEquals(1, fixture.attemptCount(id));
    }

    @Test
    void failuresEjectAndSuccessfulTrialsReadmit() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(5);
        String failing = fixture.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            String id = fixture.request(0, "k", 1_000_000);
            fixture.now += 1_000;
            fixture.endAttempt(id, Outcome.FAILED, 1_000);
            fixture.now += 1_000;
            fixture.endAttempt(id, Outcome.OK, 1_000);
        }
        assertNotEquals(failing, fixture.serve(0, "k"));
        fixture.advance(3_000_000);
        for (int i = 0; i < 4; i++) {
            fixture.serve(0, "k");
        }
        assertEquals(failing, fixture.serve(0, "k"));
    }

    @Test
    void ejectionStopsWhenAllEndpointsFail() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(5);
        for (int i = 0; i < 100; i++) {
            String id = fixture.request(0, "k" + i, 1_000_000);
            for (int attempt = 0; attempt < 3 && fixture.finalAnswers.get(id) == null; attempt++) {
                fixture.now += 1_000;
                fixture.endAttempt(id, Outcome.FAILED, 1_000);
            }
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            String id = fixture.request(0, "k" + i, 1_000_000);
            used.add(fixture.endpointOf(id));
            fixture.now += 1_000;
            fixture.endAttempt(id, Outcome.OK, 1_000);
        }
        assertTrue(used.size() >= 3, "endpoints used: " + used);
    }

    @Test
    void unresponsiveEndpointIsEjectedBeforeTheTimeout() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(5);
        for (int k = 0; k < 200; k++) {
            fixture.serve(0, "k" + k);
        }
        String id = fixture.request(0, "k1", 1_000_000);
        String unresponsive = fixture.endpointOf(id);
        fixture.advance(290_000);
        assertTrue(fixture.log.contains("cancel " + id + " 0"));
        fixture.endAttempt(id, Outcome.CANCELED, 290_000);
        assertNotEquals(unresponsive, fixture.endpointOf(id));
        assertNotEquals(unresponsive, fixture.serve(0, "k1"));
    }

    @Test
    void hotKeySpillsToFewEndpoints() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(9);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String endpoint = fixture.endpointOf(fixture.request(0, "hot", 1_000_000));
            if (endpoint != null) {
                used.add(endpoint);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 3, "endpoints used: " + used);
    }

    @Test
    void overloadReducesAttemptsInFlightAndQueuesTheRest() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        for (int k = 0; k < 100; k++) {
            fixture.serve(0, "k" + k);
        }
        for (int k = 0; k < 60; k++) {
            String id = fixture.request(0, "k" + k, 1_000_000);
            if (fixture.endpointOf(id) != null) {
                fixture.now += 300_000;
                fixture.endAttempt(id, Outcome.OK, 300_000);
            }
        }
        int inFlight = 0;
        for (int k = 0; k < 60; k++) {
            inFlight += fixture.endpointOf(fixture.request(0, "k" + k, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(inFlight < 12, "attempts in flight: " + inFlight);
    }

    /** Serves requests, starts the endpoint, and counts the requests that it serves after its start. */
    private static int requestsServedAfterStart(
            BalancerFixture fixture, int requestsBefore, String endpoint, int requestsAfter) {
        for (int k = 0; k < requestsBefore; k++) {
            fixture.serve(0, "k" + k);
        }
        fixture.startEndpoint(endpoint);
        int served = 0;
        for (int k = 0; k < requestsAfter; k++) {
            served += fixture.serve(0, "k" + k).equals(endpoint) ? 1 : 0;
        }
        return served;
    }

    @Test
    void coldEndpointTakesOnlyItsSlowStartShare() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(4);
        int cold = requestsServedAfterStart(fixture, 400, "cold", 200);
        assertTrue(cold > 0 && cold < 25, "requests to the cold endpoint: " + cold);
    }

    @Test
    void restartUnderTheSameIdIsColdAgain() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(2);
        int first = requestsServedAfterStart(fixture, 200, "e0", 100);
        assertTrue(first < 30, "requests to the restarted endpoint: " + first);
    }

    @Test
    void resubscribesAfterEachDiscoveryFailure() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.settings(true, BalancerFixture.RETRYABLE));
        assertEquals(1, fixture.subscribeCount);
        for (int i = 0; i < 5; i++) {
            fixture.balancer.onDiscoveryFailed(fixture.now);
            fixture.advance(4_000_000);
            assertEquals(i + 2, fixture.subscribeCount);
        }
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, List.of(BalancerFixture.readyEndpoint(1)));
        fixture.advance(20_000_000);
        assertEquals(6, fixture.subscribeCount);
    }

    @Test
    void unknownAndRepeatedEventsAreIgnored() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        fixture.endAttempt("unknown", Outcome.FAILED, 1);
        fixture.balancer.onRequestGone(fixture.now, "unknown");
        fixture.balancer.onStreamStarted(fixture.now, "unknown", 3);
        String id = fixture.request(0, "k", 1_000_000);
        fixture.endAttempt(id, Outcome.OK, 1_000);
        int before = fixture.log.size();
        fixture.endAttempt(id, Outcome.OK, 1_000);
        fixture.endAttempt(id, Outcome.FAILED, 1_000);
        fixture.balancer.onRequestGone(fixture.now, id);
        assertEquals(before, fixture.log.size());
    }

    @Test
    void repeatsAreQueuedForLessTimeThanFirstTries() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE);
        String first = fixture.request(0, "a", 1_000_000);
        fixture.balancer.onRequest(fixture.now, new LoadBalancer.Request("again", 0, "b", 1_000_000, 0, 0, true));
        fixture.advance(100_000);
        assertEquals("refuse", fixture.finalAnswers.get("again"));
        assertNull(fixture.finalAnswers.get(first));
        fixture.advance(150_000);
        assertEquals("refuse", fixture.finalAnswers.get(first));
    }

    @Test
    void timeoutsReduceTheLimitToASmallShareOfRequests() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.NON_IDEMPOTENT).withEndpoints(1);
        for (int i = 0; i < 12; i++) {
            String id = fixture.request(0, "k", 1_000_000);
            if (fixture.endpointOf(id) != null) {
                fixture.now += 90_000;
                fixture.endAttempt(id, Outcome.TIMED_OUT, 500_000);
            }
            fixture.advance(300_000);
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += fixture.endpointOf(fixture.request(0, "k" + i, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(sent <= 1, "attempts sent: " + sent);
    }

    @Test
    void staleCachedListIsUsedUntilTheFullListArrives() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.settings(true, BalancerFixture.RETRYABLE));
        fixture.balancer.onEndpoints(
                fixture.now,
                Source.CACHED,
                List.of(BalancerFixture.readyEndpoint(0), BalancerFixture.readyEndpoint(1)));
        assertEquals(1, fixture.attemptCount(fixture.request(0, "k", 1_000_000)));
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, List.of(BalancerFixture.readyEndpoint(2)));
        for (int k = 0; k < 20; k++) {
            assertEquals("e2", fixture.serve(0, "k" + k));
        }
    }

    @Test
    void startedStreamIsNeverCancelled() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(4);
        String id = fixture.request(0, "k", 1_000_000);
        fixture.balancer.onStreamStarted(fixture.now + 10_000, id, 0);
        fixture.advance(3_000_000);
        fixture.balancer.onRequestGone(fixture.now, id);
        assertFalse(fixture.log.contains("cancel " + id + " 0"), fixture.log.toString());
    }

    @Test
    void invalidSettingsAreRejectedWithTheirName() {
        String text = assertThrows(
                        IllegalArgumentException.class,
                        () -> new RequestClass("c", Effect.RETRYABLE, null, 0, 1, 0, -5, 0, 10))
                .getMessage();
        assertTrue(text.contains("onTimeUs"), text);
        assertThrows(IllegalArgumentException.class, () -> new LoadBalancer.Contract(1, 2, 1));
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            BalancerFixture fixture =
                    new BalancerFixture(BalancerFixture.RETRYABLE, BalancerFixture.NON_IDEMPOTENT).withEndpoints(7);
            for (int i = 0; i < 300; i++) {
                String id = fixture.request(i % 2, i % 5 == 0 ? null : "k" + i % 40, 1_000_000);
                fixture.advance(7_000);
                if (fixture.endpointOf(id) != null) {
                    fixture.endAttempt(id, i % 9 == 0 ? Outcome.FAILED : Outcome.OK, 7_000);
                }
            }
            logs.add(fixture.log);
        }
        assertEquals(logs.get(0), logs.get(1));
        assertFalse(logs.get(0).isEmpty());
    }
}
