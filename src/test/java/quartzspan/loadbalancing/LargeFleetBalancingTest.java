package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Source;

/** Failures that appear only when hundreds of instances each send few requests. */
class LargeFleetBalancingTest {
    private static final RequestClass HIGH_VALUE =
            new RequestClass("high-value", Effect.RETRYABLE, null, 0, 10, 0, 500_000, 0, 2_000_000);

    /** Every attempt of the requests times out, at any endpoint. */
    private static void timeOutAll(BalancerFixture fixture, int requests) {
        for (int i = 0; i < requests; i++) {
            String id = fixture.request(0, "lost" + i, 2_000_000);
            while (fixture.finalAnswers.get(id) == null && fixture.endpointOf(id) != null) {
                fixture.advance(400_000);
                fixture.endAttempt(id, Outcome.TIMED_OUT, 400_000);
            }
            fixture.advance(100_000);
        }
    }

    @Test
    void manyInstancesWithLittleTrafficDoNotOverloadAColdEndpoint() {
        int instances = 500;
        int sentToCold = 0;
        int all = 0;
        for (int i = 0; i < instances; i++) {
            BalancerFixture fixture = new BalancerFixture(
                            BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE), i)
                    .withEndpoints(9);
            fixture.startEndpoint("cold");
            for (int k = 0; k < 3; k++) {
                sentToCold += fixture.serve(0, "key" + (7 * i + k) % 400).equals("cold") ? 1 : 0;
                all++;
            }
        }
        // The cold endpoint has a fifth of its capacity: 0.2 of 9.2 is 33 of 1500 requests, with the factor 1.5 49.
        // One request from each instance that reaches it would be 150.
        double share = 0.2 / 9.2 * all;
        assertTrue(
                sentToCold > 0 && sentToCold < 2 * share,
                sentToCold + " requests to the cold endpoint, its share is " + share);
    }

    @Test
    void mostlyColdFleetTakesItsShareThoughEachInstanceRarelyReachesIt() {
        double share = 0;
        int sentToCold = 0;
        for (int i = 0; i < 14; i++) {
            BalancerFixture fixture = new BalancerFixture(
                            BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE), i)
                    .withEndpoints(24);
            for (int k = 0; k < 36; k++) {
                fixture.startEndpoint("cold" + k);
            }
            long startedAt = fixture.now;
            for (int k = 0; k < 100; k++) {
                double coldCapacity =
                        36 * (0.2 + 0.8 * (fixture.now - startedAt) / BalancerFixture.CONTRACT.slowStartUs());
                share += coldCapacity / (24 + coldCapacity);
                sentToCold += fixture.serve(0, "key" + (100 * i + k)).startsWith("cold") ? 1 : 0;
            }
        }
        assertTrue(
                sentToCold > 0.9 * share && sentToCold < 1.5 * share,
                sentToCold + " requests to the cold endpoints, their share is " + share);
    }

    /** Number of instances, of a hundred, that send to an endpoint after their only attempt there was lost. */
    private static int instancesSendingAfterOneLoss(int instances) {
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            BalancerFixture fixture = new BalancerFixture(
                            BalancerFixture.fleetSettings(instances, BalancerFixture.RETRYABLE), i)
                    .withEndpoints(1);
            timeOutAll(fixture, 1);
            sent += fixture.endpointOf(fixture.request(0, "next" + i, 2_000_000)) == null ? 0 : 1;
        }
        return sent;
    }

    @Test
    void fourteenInstancesWithOneAttemptEachReduceTheirLimitAfterALoss() {
        assertEquals(100, instancesSendingAfterOneLoss(6));
        int sent = instancesSendingAfterOneLoss(14);
        assertTrue(sent > 40 && sent < 80, "instances that still send: " + sent);
    }

    @Test
    void coldEndpointBesideOneWarmEndpointStaysWithinItsCredit() {
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            BalancerFixture fixture =
                    new BalancerFixture(BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE), i);
            fixture.balancer.onEndpoints(
                    fixture.now,
                    Source.FULL,
                    List.of(
                            BalancerFixture.readyEndpoint(1),
                            new Endpoint("cold", 0, 0, 0, Availability.READY, 1, fixture.now)));
            for (int k = 0; k < 2; k++) {
                sent += fixture.serve(0, "k" + k).equals("cold") ? 1 : 0;
            }
        }
        assertTrue(sent < 0.3 * 400, "requests sent to the cold endpoint: " + sent);
    }

    @Test
    void underOverloadAHotKeySpillsByBoundedLoad() {
        BalancerFixture fixture = new BalancerFixture(
                        BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE))
                .withEndpoints(20);
        timeOutAll(fixture, 8);
        fixture.advance(20_000_000);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = fixture.request(0, "hot", 2_000_000);
            if (fixture.endpointOf(id) != null) {
                owners.add(fixture.endpointOf(id));
                fixture.advance(20_000);
                fixture.endAttempt(id, i % 6 == 0 ? Outcome.TIMED_OUT : Outcome.OK, i % 6 == 0 ? 450_000 : 20_000);
            }
            fixture.advance(200_000);
        }
        assertTrue(owners.size() >= 2, "endpoints of the hot key: " + owners);
    }

    @Test
    void withoutOverloadAHotKeyStaysWithItsOwner() {
        BalancerFixture fixture = new BalancerFixture(
                        BalancerFixture.largeFleetSettings(true, BalancerFixture.RETRYABLE))
                .withEndpoints(20);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            owners.add(fixture.serve(0, "hot"));
            fixture.advance(100_000);
        }
        assertEquals(1, owners.size());
        assertTrue(fixture.probes.isEmpty(), "probes without overload");
    }

    @Test
    void whenAllEndpointsTimeOutOnlyAShareIsAdmittedByValue() {
        BalancerFixture fixture = new BalancerFixture(
                        BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE, HIGH_VALUE))
                .withEndpoints(4);
        timeOutAll(fixture, 30);
        int lowValueAdmitted = 0;
        int highValueAdmitted = 0;
        for (int i = 0; i < 40; i++) {
            String lowValue = fixture.request(0, "c" + i, 2_000_000);
            String highValue = fixture.request(1, "d" + i, 2_000_000);
            lowValueAdmitted += fixture.endpointOf(lowValue) == null ? 0 : 1;
            highValueAdmitted += fixture.endpointOf(highValue) == null ? 0 : 1;
            fixture.advance(400_000);
            for (String id : List.of(lowValue, highValue)) {
                if (fixture.endpointOf(id) != null && fixture.finalAnswers.get(id) == null) {
                    fixture.endAttempt(id, Outcome.TIMED_OUT, 400_000);
                }
            }
        }
        assertTrue(
                lowValueAdmitted < 10 && highValueAdmitted > lowValueAdmitted,
                "admitted " + lowValueAdmitted + " of low value, " + highValueAdmitted + " of high value");
        // Admission recovers with fast responses.
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = fixture.request(0, "good" + i, 2_000_000);
            if (fixture.endpointOf(id) != null) {
                fixture.advance(20_000);
                fixture.endAttempt(id, Outcome.OK, 20_000);
                served = i >= 300 ? served + 1 : served;
            }
            fixture.advance(300_000);
        }
        assertTrue(served > 90, "served of the last hundred: " + served);
    }

    @Test
    void underOverloadAnEndpointIsProbedFirstAndSkippedIfSlow() {
        BalancerFixture fixture = new BalancerFixture(
                        BalancerFixture.largeFleetSettings(true, BalancerFixture.RETRYABLE))
                .withEndpoints(5);
        for (int i = 0; fixture.probes.isEmpty() && i < 40; i++) {
            String id = fixture.request(0, "k" + i, 2_000_000);
            if (fixture.endpointOf(id) != null) {
                fixture.advance(450_000);
                fixture.endAttempt(id, Outcome.TIMED_OUT, 450_000);
            }
        }
        assertEquals(1, fixture.probes.size());
        String slow = fixture.probes.get(0);
        int before = fixture.log.size();
        fixture.advance(300_000);
        List<String> after = fixture.log.subList(before, fixture.log.size());
        assertTrue(
                after.stream().anyMatch(l -> l.startsWith("probe") || l.startsWith("send") || l.startsWith("refuse")),
                "neither probed, sent nor refused after the probe timed out: " + after);
        assertTrue(after.stream().noneMatch(l -> l.contains("send") && l.contains(" " + slow + " ")), "" + after);
    }

    @Test
    void pauseOfThisProcessEjectsNoEndpoint() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        String id = fixture.request(0, "k", 2_000_000);
        String owner = fixture.endpointOf(id);
        fixture.now += 1_200_000;
        fixture.balancer.onTimer(fixture.now);
        assertEquals(List.of("send " + id + " " + owner + " " + fixture.lastTimeoutUs), fixture.log);
        fixture.endAttempt(id, Outcome.OK, 1_200_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(owner, fixture.serve(0, "k"), "the owner keeps its key after a pause of this process");
        }
    }

    @Test
    void firstErrorAfterALongPauseGetsItsFinalAnswer() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.NON_IDEMPOTENT).withEndpoints(3);
        String id = fixture.request(0, "k", 2_000_000);
        fixture.now += 3_000_000;
        fixture.endAttempt(id, Outcome.TIMED_OUT, 500_000);
        assertEquals("fail", fixture.finalAnswers.get(id));
    }

    @Test
    void oneLargeBudgetDoesNotClassifyLaterTriesAsRepeatsForever() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        fixture.request(0, "k", 1_900_000);
        for (int i = 0; i < 2_000; i++) {
            fixture.balancer.onRequest(fixture.now, new Request("x" + i, 0, "k" + i, 1_000_000, 0, 0, false));
            fixture.balancer.onRequestGone(fixture.now, "x" + i);
        }
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, List.of());
        String id = fixture.request(0, "k", 1_000_000);
        fixture.advance(100_000);
        assertNull(fixture.finalAnswers.get(id), "queued as a first try, not as a repeat");
    }

    @Test
    void thousandsOfSimultaneousRequestsEachGetOneTimelyAnswer() {
        BalancerFixture fixture = new BalancerFixture(
                        BalancerFixture.largeFleetSettings(true, BalancerFixture.RETRYABLE))
                .withEndpoints(3);
        for (int i = 0; i < 5_000; i++) {
            fixture.request(0, "k" + i % 50, i % 7 == 0 ? 0 : 400_000);
        }
        fixture.advance(400_000);
        for (int i = 0; i < 5_000; i++) {
            String id = "r" + i;
            if (fixture.finalAnswers.get(id) == null) {
                assertEquals(1, fixture.attemptCount(id), "neither answered nor in flight: " + id);
                fixture.endAttempt(id, Outcome.TIMED_OUT, 400_000);
                assertTrue(fixture.finalAnswers.get(id) != null, "no final answer for " + id);
            }
        }
    }

    @Test
    void timeJumpBetweenEventsLosesNoRequest() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE);
        String queued = fixture.request(0, "k", 5_000_000);
        fixture.now += 4_000_000;
        fixture.balancer.onTimer(fixture.now);
        assertEquals("refuse", fixture.finalAnswers.get(queued));
        fixture.balancer.onProbeEnded(fixture.now, "never-listed", Outcome.OK, 1);
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, List.of());
    }

    @Test
    void clientsThatDisconnectEarlyDoNotCountAgainstTheEndpoint() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE).withEndpoints(3);
        String owner = fixture.serve(0, "k");
        for (int i = 0; i < 20; i++) {
            String id = fixture.request(0, "k", 130_000);
            assertEquals(owner, fixture.endpointOf(id));
            fixture.advance(130_000);
            fixture.balancer.onRequestGone(fixture.now, id);
            fixture.endAttempt(id, Outcome.CANCELED, 130_000);
        }
        assertEquals(owner, fixture.serve(0, "k"));
    }

    @Test
    void slowKindOfMachineTakesLessUnderOverload() {
        BalancerFixture fixture =
                new BalancerFixture(BalancerFixture.largeFleetSettings(false, BalancerFixture.RETRYABLE));
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(new Endpoint("e" + i, 0, 0, i % 2, Availability.READY, 1, 0));
        }
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, endpoints);
        int[] sent = new int[2];
        for (int i = 0; i < 1_500; i++) {
            String id = fixture.request(0, "k" + i % 300, 2_000_000);
            if (fixture.endpointOf(id) != null) {
                int kind = Integer.parseInt(fixture.endpointOf(id).substring(1)) % 2;
                sent[kind] += i < 500 ? 0 : 1;
                long latencyUs = kind == 0 ? 20_000 : 180_000;
                fixture.advance(latencyUs);
                fixture.endAttempt(id, Outcome.OK, latencyUs);
            }
            fixture.advance(50_000);
        }
        assertTrue(sent[0] > sent[1], sent[0] + " requests to the fast kind, " + sent[1] + " to the slow kind");
    }

    @Test
    void removedEndpointsAndDoneRequestsAreNotRetained() throws Exception {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE);
        for (int i = 0; i < 3_000; i++) {
            fixture.balancer.onEndpoints(
                    fixture.now,
                    Source.FULL,
                    List.of(BalancerFixture.readyEndpoint(i), BalancerFixture.readyEndpoint(i + 1)));
            fixture.serve(0, "k" + i);
        }
        for (String name : List.of("endpoints", "open", "ended", "queue", "probing", "listed")) {
            java.lang.reflect.Field field = RingHashLoadBalancer.class.getDeclaredField(name);
            field.setAccessible(true);
            Object value = field.get(fixture.balancer);
            int size = value instanceof java.util.Map<?, ?> m ? m.size() : ((java.util.Collection<?>) value).size();
            assertTrue(size <= 3, name + " has size " + size);
        }
        assertNotEquals(0, fixture.sentTo.size());
    }

    @Test
    void instancesResubscribeWithJitterAfterACommonFailureAndKeepTheirList() {
        Set<Long> times = new HashSet<>();
        long first = Long.MAX_VALUE;
        long last = 0;
        for (int i = 0; i < 14; i++) {
            BalancerFixture fixture =
                    new BalancerFixture(BalancerFixture.settings(true, BalancerFixture.RETRYABLE), i).withEndpoints(3);
            for (int k = 0; k < 4; k++) {
                fixture.balancer.onDiscoveryFailed(fixture.now);
                assertTrue(
                        fixture.endpointOf(fixture.request(0, "k" + k, 1_000_000)) != null,
                        "the current list was discarded");
                fixture.endAttempt("r" + k, Outcome.OK, 0);
                int before = fixture.subscribeCount;
                long failedAt = fixture.now;
                while (fixture.subscribeCount == before) {
                    fixture.advance(5_000);
                }
                if (k == 3) {
                    times.add(fixture.now - failedAt);
                    first = Math.min(first, fixture.now - failedAt);
                    last = Math.max(last, fixture.now - failedAt);
                }
            }
        }
        assertTrue(times.size() > 9 && last - first > 1_000_000, "delays without jitter: " + times);
        // The backoff stays below subscribeWithinUs, so the next call is still in time.
        assertTrue(last <= BalancerFixture.CONTRACT.subscribeWithinUs() / 2, "resubscribed after " + last);
    }

    @Test
    void endpointListedTwiceCountsOnceWithItsLastEntry() {
        BalancerFixture fixture = new BalancerFixture(BalancerFixture.RETRYABLE);
        Endpoint draining = new Endpoint("e0", 0, 0, 0, Availability.DRAINING, 1, 0);
        fixture.balancer.onEndpoints(
                fixture.now,
                Source.FULL,
                List.of(BalancerFixture.readyEndpoint(0), BalancerFixture.readyEndpoint(1), draining));
        for (int i = 0; i < 50; i++) {
            assertEquals("e1", fixture.serve(0, "k" + i));
        }
        fixture.balancer.onEndpoints(
                fixture.now,
                Source.FULL,
                List.of(draining, BalancerFixture.readyEndpoint(0), BalancerFixture.readyEndpoint(1)));
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            owners.add(fixture.serve(0, "k" + i));
        }
        assertEquals(Set.of("e0", "e1"), owners);
        fixture.balancer.onEndpoints(fixture.now, Source.FULL, List.of(BalancerFixture.readyEndpoint(1)));
        for (int i = 0; i < 50; i++) {
            assertEquals("e1", fixture.serve(0, "k" + i));
        }
    }
}
