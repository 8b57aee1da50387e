package quartzspan.loadbalancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.loadbalancing.LoadBalancer.Actions;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Contract;
import quartzspan.loadbalancing.LoadBalancer.DedupScope;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Limits;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Settings;
import quartzspan.loadbalancing.LoadBalancer.Source;

/** Drives one load balancer with a simulated clock and records its actions. */
final class BalancerFixture implements Actions {
    static final RequestClass RETRYABLE =
            new RequestClass("retryable", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
    static final RequestClass DEDUP =
            new RequestClass("dedup", Effect.DEDUP, DedupScope.ZONE, 1_000_000, 2, 0, 500_000, 0, 2_000_000);
    static final RequestClass NON_IDEMPOTENT =
            new RequestClass("non-idempotent", Effect.NON_IDEMPOTENT, null, 0, 4, 0, 500_000, 0, 2_000_000);
    static final Contract CONTRACT = new Contract(10_000_000, 0.2, 20_000_000);

    final List<String> log = new ArrayList<>();
    final Map<String, List<String>> sentTo = new HashMap<>();
    final Map<String, String> finalAnswers = new HashMap<>();
    final List<String> probes = new ArrayList<>();
    int subscribeCount;
    long wakeUpAt = Long.MAX_VALUE;
    long lastTimeoutUs;
    LoadBalancer balancer;
    long now = 1_000_000;
    private int nextId;

    static Settings settings(boolean subscribe, RequestClass... classes) {
        return settings(3, false, subscribe, classes);
    }

    /** Settings of one of 500 instances, with probes at no cost. */
    static Settings largeFleetSettings(boolean mayProbe, RequestClass... classes) {
        return settings(500, mayProbe, false, classes);
    }

    static Settings fleetSettings(int instances, RequestClass... classes) {
        return settings(instances, false, false, classes);
    }

    private static Settings settings(int instances, boolean mayProbe, boolean subscribe, RequestClass... classes) {
        return new Settings(
                List.of(classes),
                List.of(),
                0.2,
                instances,
                0,
                subscribe,
                false,
                new Limits(3, true, mayProbe, 1_000_000, 10_000_000),
                CONTRACT);
    }

    BalancerFixture(RequestClass... classes) {
        this(settings(false, classes));
    }

    BalancerFixture(Settings settings) {
        this(settings, 7);
    }

    BalancerFixture(Settings settings, long seed) {
        balancer = LoadBalancer.create(settings, seed, now, this);
    }

    static Endpoint readyEndpoint(int index) {
        return new Endpoint("e" + index, index % 3, index % 4, 0, Availability.READY, 1, 0);
    }

    /** Lists an endpoint whose process starts now. */
    void startEndpoint(String id) {
        balancer.onEndpoints(now, Source.DELTA, List.of(new Endpoint(id, 0, 0, 0, Availability.READY, 1, now)));
    }

    BalancerFixture withEndpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(readyEndpoint(i));
        }
        balancer.onEndpoints(now, Source.FULL, list);
        return this;
    }

    String request(int classIndex, String key, long budgetUs) {
        String id = "r" + nextId++;
        balancer.onRequest(now, new Request(id, classIndex, key, budgetUs, 0, 0, false));
        return id;
    }

    /** Endpoint of the request's latest attempt. */
    String endpointOf(String id) {
        List<String> endpoints = sentTo.get(id);
        return endpoints == null ? null : endpoints.get(endpoints.size() - 1);
    }

    int attemptCount(String id) {
        return sentTo.getOrDefault(id, List.of()).size();
    }

    void endAttempt(String id, Outcome outcome, long latencyUs) {
        balancer.onAttemptEnded(
                now, new AttemptEnd(id, attemptCount(id) - 1, outcome, outcome == Outcome.OK, latencyUs));
    }

    /** Sends a request and ends it successfully after 20 ms; returns the endpoint. */
    String serve(int classIndex, String key) {
        String id = request(classIndex, key, 1_000_000);
        now += 20_000;
        endAttempt(id, Outcome.OK, 20_000);
        return endpointOf(id);
    }

    /** Advances the clock and runs the timers that are due. */
    void advance(long durationUs) {
        long until = now + durationUs;
        while (wakeUpAt <= until) {
            now = Math.max(now, wakeUpAt);
            wakeUpAt = Long.MAX_VALUE;
            balancer.onTimer(now);
        }
        now = until;
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        sentTo.computeIfAbsent(requestId, k -> new ArrayList<>()).add(endpointId);
        lastTimeoutUs = timeoutUs;
        log.add("send " + requestId + " " + endpointId + " " + timeoutUs);
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        finalAnswers.put(requestId, "refuse");
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(String requestId) {
        finalAnswers.put(requestId, "fail");
        log.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        log.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void probe(String endpointId) {
        probes.add(endpointId);
        log.add("probe " + endpointId);
    }

    @Override
    public void subscribe() {
        subscribeCount++;
        log.add("subscribe");
    }

    @Override
    public void wakeAt(long atUs) {
        wakeUpAt = Math.min(wakeUpAt, atUs);
    }
}
