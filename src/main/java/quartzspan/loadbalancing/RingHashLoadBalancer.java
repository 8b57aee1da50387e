package quartzspan.loadbalancing;

import static quartzspan.loadbalancing.Ring.HASH;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import quartzspan.loadbalancing.BalancerState.Attempt;
import quartzspan.loadbalancing.BalancerState.EndpointState;
import quartzspan.loadbalancing.BalancerState.RequestState;

/**
 * Ring-hash load balancer; types, events and actions are documented in {@link LoadBalancer}. {@link #pick}
 * walks the ring from the hash of the key, or a random hash, to the first endpoint that is ready, not
 * ejected, permitted by the effect, and within its slow start, concurrency limit and load bound. Keyless
 * requests open one connection at a time. Without a usable endpoint, requests are queued for a short time.
 * While the fleet is overloaded, only a share is admitted, with preference by value; endpoints may be probed.
 * A failed attempt is retried at the next owner if effect, time and retry budget permit; else the request is
 * refused if another try by the client is harmless, and failed if not.
 */
final class RingHashLoadBalancer implements LoadBalancer {

    /** Ring points per unit of weight: the shares deviate by about 1/sqrt(100), and merging is cheap. */
    private static final int POINTS = 100;
    /** Bounds on the ring points of an endpoint, so that an extreme weight cannot take over the ring. */
    private static final int MAX_POINTS = 800;

    private static final int MIN_POINTS = 20;
    /** Interval between sweeps: short relative to any target latency, rare relative to requests. */
    private static final long SWEEP_US = 50_000;
    /** Smoothing factor of the averages over all endpoints: overload rate, and latency by kind. */
    private static final double POOLED_GAIN = 1.0 / 16;
    /** Kinds of machine distinguished, and the lower bound of the capacity factor of a slow kind. */
    private static final int MAX_KINDS = 64;

    private static final double MIN_KIND_CAPACITY = 0.25;
    /** Smoothing factor of a class's mean latency, and the rise of its baseline per second. */
    private static final double CLASS_GAIN = 1.0 / 64;

    private static final double BASELINE_RISE_PER_S = 0.03;
    /** Initial baseline, as a part of the target: high, because the baseline falls faster than it rises. */
    private static final double INITIAL_BASELINE = 0.25;
    /** Slow: above SLOW_RATIO baselines, or above SLOW_TARGET of the target and NORMAL_RATIO baselines. */
    private static final double SLOW_RATIO = 3;

    private static final double SLOW_TARGET = 0.6;
    private static final double NORMAL_RATIO = 1.5;
    private static final double SLOW_FACTOR = 0.85;
    /** Factor of the limit after a lost attempt: lower, since many instances with one attempt each add up. */
    private static final double LOSS_FACTOR = 0.6;
    /**
     * Number of instances above which each reduces admission, probes, and reduces limits from its attempts in
     * flight: each may always have one, and this many at once overload an endpoint of three or four cores.
     */
    private static final int LARGE_FLEET = 10;
    /** Share of requests placed load-aware, per unit of overload rate; half of it in a small fleet. */
    private static final double LOAD_AWARE = 10;
    /** Share of overloaded endpoints above which admission is cut, and the slope up to the full cut. */
    private static final double MIN_OVERLOADED = 0.2;

    private static final double ADMIT_SLOPE = 5;
    /** Decrease of the admission rate by a lost attempt (by a slow one: half), increase by a fast one. */
    private static final double ADMIT_DECREASE = 0.4;

    private static final double ADMIT_INCREASE = 0.05;
    /** Size of the admission token bucket; the lower a request's value, the more tokens must remain. */
    private static final double MAX_ADMIT_TOKENS = 3;
    /** Growth of a limit in use per fast response; after its first decrease, divided by the limit. */
    private static final double LIMIT_INCREASE = 0.5;

    private static final double SMALL_GROWTH = 0.2; // growth of a limit below 1, as a part of it
    /** Initial concurrency limit of an endpoint; lower bound of the limit and of the admission rate. */
    private static final double INITIAL_LIMIT = 2;

    private static final double MIN_LIMIT = 0.1;

    private static final double TENANT_DECAY_US = 10_000_000; // time constant of the tenants' request counts

    private static final double LOAD_BOUND = 1.25; // multiple of an owner's fair share of the offered load
    /** Time constant of the decay of offered load: long, since each of many instances gets few requests. */
    private static final double LOAD_DECAY_US = 30_000_000;
    /**
     * Multiple of its share of all sends that a cold endpoint may take. The share follows the least capacity
     * that the contract promises, and an instance that rarely reaches the endpoint leaves a quarter of it
     * unused: 1 overloads the warm endpoints of a mostly cold fleet, a multiple of several the cold ones.
     */
    private static final double COLD_SHARE = 1.5;

    private static final double MAX_CREDIT = 2; // sends that a cold endpoint may accumulate
    /** Usable owners to which a key may spill: it stays cached on few endpoints. */
    private static final int MAX_OWNERS = 3;
    /** Part of its limit up to which an endpoint accepts keys that spill from their owner. */
    private static final double SPILL_LIMIT_PART = 0.7;
    /** Failure rate of a failing endpoint, and the lower bound of the rate common to all. */
    private static final double FAILING_RATE = 0.5;

    private static final double MIN_COMMON_RATE = 0.02;
    /** Log-likelihood ratio of a failure at the lowest common rate; three such failures in a row eject. */
    private static final double MAX_EVIDENCE = Math.log(FAILING_RATE / MIN_COMMON_RATE);
    /** Smoothing factor of the common failure rate: an endpoint is ejected before it raises the rate. */
    private static final double COMMON_GAIN = 1.0 / 256;
    /** Overdue: no response for this multiple of the baseline and at least this part of the target. */
    private static final double OVERDUE_RATIO = 4;

    private static final double OVERDUE_TARGET = 0.4;
    /** First ejection time; doubles up to the maximum with each ejection that follows soon. */
    private static final long MIN_EJECTION_US = 1_000_000;

    private static final long MAX_EJECTION_US = 8_000_000;
    /** Share of the ring that may be ejected on suspicion: beyond it the cause is not the endpoints. */
    private static final double MAX_EJECTED_SHARE = 0.4;

    private static final double RETRY_TOKENS_PER_REQUEST = 0.25;
    private static final double MAX_RETRY_TOKENS = 20;
    /** Part of the target for which a request of the highest value may be queued. */
    private static final double QUEUE_TARGET_PART = 0.4;
    /** Value of a repeat relative to a first try: part of its target time has already passed. */
    private static final double REPEAT_VALUE_FACTOR = 0.3;
    /** Probe timeout, the lower of a part of the target and a multiple of the baseline; above: busy. */
    private static final double PROBE_PART = 0.12;

    private static final double PROBE_RATIO = 2;
    /** Time for which a fast response makes a probe unnecessary. */
    private static final long FAST_RESPONSE_VALID_US = 500_000;
    /** Overload rate above which probes are sent, per part of a request's value that a probe costs. */
    private static final double OVERLOAD_PER_COST = 4;

    private static final int MAX_PROBES = 3; // for one request
    /** Part of the full budget below which a request is a repeat, and decay of that budget per request. */
    private static final double FIRST_TRY_PART = 0.95;

    private static final double BUDGET_DECAY = 0.999;
    /** Part of the remaining time that one attempt may use while another could follow. */
    private static final double ATTEMPT_PART = 0.6;

    private static final long MIN_BACKOFF_US = 250_000; // before discovery is subscribed to again

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final HashMap<String, EndpointState> endpoints = new HashMap<>();
    private final HashMap<String, RequestState> open = new HashMap<>();
    /** Requests that are done, with attempts in flight whose outcomes still count. */
    private final HashMap<String, RequestState> ended = new HashMap<>();
    /** Requests without a usable endpoint, by value, then by age. */
    private final TreeSet<RequestState> queue = new TreeSet<>(
            Comparator.comparingDouble((RequestState r) -> -r.value).thenComparingLong(r -> r.sequence));

    private final Ring<EndpointState> ring = new Ring<>();
    private final List<EndpointState> listed = new ArrayList<>(); // in order of listing

    private final double[] meanUs;
    private final double[] baselineUs;
    private final double[] fullBudget;
    private final double[] tenantRequests;
    private final double maxValue;
    private final Effect safest;
    private final boolean largeFleet;
    /** Latency relative to the baseline by kind: with little traffic a single endpoint does not show it. */
    private final double[] kindRatio = new double[MAX_KINDS];

    private double allTenantRequests;
    private long tenantsDecayedAt;
    /** Capacity of all usable endpoints, and the decayed offered load; see {@link #updateCapacity}. */
    private double allCapacity;

    private double allLoad;
    /** Smoothed share of slow or lost attempts over all endpoints. */
    private double overloadRate;
    /** Share of recently sampled endpoints whose last attempt was slow or lost: each counts once. */
    private double overloadShare;

    private double commonFailureRate;

    private long capacityUpdatedAt = Long.MIN_VALUE / 2;
    /** Share of requests admitted, adjusted by every outcome, and the tokens of its bucket. */
    private double admitRate = 1;

    private double admitTokens = MAX_ADMIT_TOKENS;
    private double retryTokens = MAX_RETRY_TOKENS / 2;
    private long sends; // by this instance, to all endpoints
    private EndpointState connecting; // to which a connection is being opened
    private int currentWalk;
    private long requestCount;
    private long nextWakeUp = Long.MAX_VALUE;
    private long resumedAt = Long.MIN_VALUE / 2; // end of the last pause of this process
    private long nextSweep;
    private long expiryAt = Long.MAX_VALUE; // when the first queued request expires

    private final List<RequestState> probing = new ArrayList<>(); // wait for the probe of their endpoint

    private long nextProbeTimeout = Long.MAX_VALUE;
    private boolean subscribing;
    private boolean subscribed;
    private long resubscribeAt;
    private long backoffUs = MIN_BACKOFF_US;

    RingHashLoadBalancer(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.baselineUs = new double[settings.classes().size()];
        this.meanUs = new double[baselineUs.length];
        this.fullBudget = new double[baselineUs.length];
        this.tenantRequests = new double[settings.tenantShares().size()];
        Arrays.setAll(baselineUs, i -> meanUs[i] = settings.classes().get(i).targetUs() * INITIAL_BASELINE);
        Arrays.fill(kindRatio, 1);
        this.maxValue =
                settings.classes().stream().mapToDouble(RequestClass::value).reduce(1e-9, Math::max);
        this.safest = settings.classes().stream()
                .map(RequestClass::effect)
                .sorted()
                .iterator()
                .next();
        this.largeFleet = settings.instances() > LARGE_FLEET;
        this.tenantsDecayedAt = now;
        this.nextSweep = now + SWEEP_US;
        this.resubscribeAt = now;
        if (settings.subscribe()) {
            subscribe();
        }
    }

    @Override
    public void onEndpoints(long now, Source source, List<Endpoint> entries) {
        if (source != Source.CACHED && subscribing) {
            subscribing = false;
            subscribed = true;
            backoffUs = MIN_BACKOFF_US;
        }
        currentWalk++;
        for (Endpoint entry : entries) {
            EndpointState endpoint = endpoints.computeIfAbsent(
                    entry.id(), id -> new EndpointState(id, HASH.hashCharsToLong(id), INITIAL_LIMIT));
            endpoint.lastWalk = currentWalk;
            if (entry.availability() != Availability.GONE) {
                update(endpoint, entry);
            } else if (endpoint.onRing) {
                removeFromRing(endpoint);
            }
        }
        if (source != Source.DELTA) {
            List.copyOf(listed).stream().filter(e -> e.lastWalk != currentWalk).forEach(this::removeFromRing);
        }
        endpoints.values().removeIf(e -> !e.onRing && e.outstanding.isEmpty());
        ring.merge();
        updateCapacity(now);
        dispatchQueued(now);
        scheduleWakeUp(now);
    }

    private void update(EndpointState endpoint, Endpoint entry) {
        endpoint.zone = entry.zone();
        endpoint.kind = entry.kind() & MAX_KINDS - 1;
        endpoint.cell = entry.cell();
        endpoint.weight = entry.weight() > 0 ? entry.weight() : 1;
        boolean processRestarted =
                entry.startedAtUs() != 0 && entry.startedAtUs() != endpoint.startedAt && !endpoint.down;
        if (processRestarted || !endpoint.onRing) {
            // A new process: the state of the old one is obsolete, and the new one is cold.
            readmit(endpoint);
            if (entry.startedAtUs() != 0) {
                beginSlowStart(endpoint, entry.startedAtUs());
            }
        }
        if (!endpoint.onRing) {
            addToRing(endpoint);
        }
        endpoint.ready = entry.availability() == Availability.READY;
    }

    @Override
    public void onDiscoveryFailed(long now) {
        subscribing = false;
        subscribed = false;
        resubscribeAt = now + (long) (backoffUs * (0.5 + random.nextDouble()));
        backoffUs = Math.min(
                2 * backoffUs, Math.max(MIN_BACKOFF_US, settings.contract().subscribeWithinUs() / 4));
        scheduleWakeUp(now);
    }

    private void subscribe() {
        subscribing = true;
        actions.subscribe();
    }

    private void addToRing(EndpointState endpoint) {
        endpoint.onRing = true;
        listed.add(endpoint);
        long count = Math.max(MIN_POINTS, Math.min(MAX_POINTS, Math.round(POINTS * ringWeight(endpoint))));
        ring.add(endpoint, Ring.points(endpoint.hash, (int) count));
    }

    private void removeFromRing(EndpointState endpoint) {
        endpoint.onRing = false;
        endpoint.ready = false;
        listed.remove(endpoint);
        ring.remove(endpoint);
    }

    /** Listed weight, or 1 if weights follow load: such weights would move keys with every list. */
    private double ringWeight(EndpointState endpoint) {
        return settings.weightsVary() ? 1 : endpoint.weight;
    }

    /** Walks the ring from the request's hash to the endpoint that is to serve it; null if there is none. */
    private EndpointState pick(RequestState request, long now) {
        if (now - capacityUpdatedAt >= SWEEP_US) {
            updateCapacity(now);
        }
        // Offered load counts when a request is first placed, and again after each probe.
        double newLoad = request.attempts.isEmpty() && request.queuedUntil == 0 ? 1 : 0;
        allLoad += newLoad;
        Attempt prior = priorAttempt(request);
        boolean keyless = request.spec.key() == null;
        currentWalk++;
        int remaining = listed.size();
        EndpointState fallback = null;
        boolean fallbackFlawed = false;
        EndpointState ejected = null;
        int usable = 0;
        int start = ring.firstIndex(request.hash);
        for (int step = 0; step < ring.size() && remaining > 0 && (usable < MAX_OWNERS || keyless); step++) {
            EndpointState endpoint = ring.owner(start + step);
            if (endpoint.lastWalk == currentWalk) {
                continue;
            }
            endpoint.lastWalk = currentWalk;
            remaining--;
            boolean tried = !request.attempts.isEmpty()
                    && request.attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
            if (!endpoint.ready
                    || tried
                    || !inDedupGroup(request, prior, endpoint)
                    || !slowStartAdmits(endpoint, now)) {
                continue;
            }
            if (endpoint.ejected) {
                if (trialDue(endpoint, request, now)) {
                    return endpoint;
                }
                ejected = ejected == null && !endpoint.down ? endpoint : ejected;
                continue;
            }
            endpoint.load += newLoad;
            boolean busy = now < endpoint.busyUntil;
            usable += busy && usable > 0 ? 0 : 1;
            // When all are busy, a key waits for its owner: other endpoints have nothing cached for it.
            if (!hasRoom(endpoint, request, now, usable == 1 || keyless ? 1 : SPILL_LIMIT_PART)) {
                continue;
            }
            boolean mustWait =
                    keyless && now >= endpoint.connectedUntil && connecting != null && connecting != endpoint;
            // A non-idempotent request prefers endpoints without recent failures.
            boolean safe = request.type.effect() != Effect.NON_IDEMPOTENT || endpoint.evidence < MAX_EVIDENCE;
            if (!mustWait && !busy && safe && withinLoadBound(request, endpoint)) {
                return endpoint;
            }
            if (fallback == null || fallbackFlawed && !mustWait && !busy) {
                fallback = endpoint;
                fallbackFlawed = mustWait || busy;
            }
        }
        return usable > 0 ? fallback : ejected;
    }

    /**
     * Bounded load, in expectation: an endpoint takes the part of its offered load that is within the bound.
     * Load over time shows a hot key even to an instance with few attempts in flight. Half a standard
     * deviation is tolerated as chance.
     */
    private boolean withinLoadBound(RequestState request, EndpointState endpoint) {
        double load = endpoint.load - 0.5 * Math.sqrt(endpoint.load);
        return !request.loadAware
                || load <= 0
                || draw(request, endpoint) * load < LOAD_BOUND * allLoad * endpoint.capacity / allCapacity;
    }

    /** Updates each endpoint's capacity (weight, slow start, speed of its kind) and decays offered load. */
    private void updateCapacity(long now) {
        double decay = Math.exp((double) (capacityUpdatedAt - now) / LOAD_DECAY_US);
        capacityUpdatedAt = now;
        allLoad *= decay;
        allCapacity = 0;
        double best = listed.stream().mapToDouble(e -> kindRatio[e.kind]).min().orElse(1);
        double reporting = 1;
        double overloaded = 0;
        for (EndpointState endpoint : listed) {
            if (now - endpoint.sampledAt < LOAD_DECAY_US) {
                reporting++;
                overloaded += endpoint.overloaded ? 1 : 0;
            }
            endpoint.load *= decay;
            endpoint.limit = endpoint.limit < 1 ? Math.min(1, endpoint.limit / decay) : endpoint.limit;
            endpoint.capacity = ringWeight(endpoint)
                    * slowStartCapacity(endpoint, now)
                    * Math.max(MIN_KIND_CAPACITY, best / kindRatio[endpoint.kind]);
            allCapacity += endpoint.ready && !endpoint.ejected ? endpoint.capacity : 0;
        }
        overloadShare = overloaded / reporting;
    }

    /** Guaranteed share of a cold endpoint's capacity: rises linearly over the slow start. */
    private double slowStartCapacity(EndpointState endpoint, long now) {
        if (!endpoint.cold) {
            return 1;
        }
        Contract contract = settings.contract();
        double part = contract.slowStartUs() == 0
                ? 1
                : Math.max(0.0, (double) (now - endpoint.startedAt)) / contract.slowStartUs();
        endpoint.cold = part < 1;
        return Math.min(1, contract.coldCapacityShare() + (1 - contract.coldCapacityShare()) * part);
    }

    /**
     * Whether a cold endpoint has credit: it earns {@code COLD_SHARE} of its share, by slow-start capacity,
     * of all sends of this instance, and starts with a random credit below one. So the total of all
     * instances is bounded from the start, however many they are and however little each sends.
     */
    private boolean slowStartAdmits(EndpointState endpoint, long now) {
        if (!endpoint.cold) {
            return true;
        }
        double own = ringWeight(endpoint) * slowStartCapacity(endpoint, now);
        double part = own / Math.max(allCapacity, own);
        endpoint.credits =
                Math.min(MAX_CREDIT, endpoint.credits + COLD_SHARE * part * (sends - endpoint.creditedSends));
        endpoint.creditedSends = sends;
        return endpoint.credits >= 1;
    }

    private void recordLatency(Attempt attempt, long latencyUs, long now, boolean served) {
        int classIndex = attempt.request.spec.classIndex();
        EndpointState endpoint = attempt.endpoint;
        kindRatio[endpoint.kind] +=
                (Math.min(latencyUs / baselineUs[classIndex], 20) - kindRatio[endpoint.kind]) * POOLED_GAIN;
        boolean overloaded = !served || isSlow(attempt, latencyUs);
        endpoint.overloaded = overloaded;
        endpoint.sampledAt = now;
        overloadRate += ((overloaded ? 1 : 0) - overloadRate) * POOLED_GAIN;
        if (served) {
            meanUs[classIndex] += (latencyUs - meanUs[classIndex]) * CLASS_GAIN;
            baselineUs[classIndex] = Math.min(baselineUs[classIndex], meanUs[classIndex]);
        }
        if (overloaded) {
            double reduction =
                    largeFleet ? Math.max(0, Math.min(1, ADMIT_SLOPE * (overloadShare - MIN_OVERLOADED))) : 0;
            double decrease = (served ? ADMIT_DECREASE / 2 : ADMIT_DECREASE) * reduction;
            admitRate = Math.max(MIN_LIMIT, admitRate * (1 - decrease));
            endpoint.limitReduced = true;
            double limitBefore =
                    largeFleet ? Math.min(endpoint.limit, endpoint.outstanding.size() + 1) : endpoint.limit;
            endpoint.limit = Math.max(MIN_LIMIT, (served ? SLOW_FACTOR : LOSS_FACTOR) * limitBefore);
            return;
        }
        admitRate = Math.min(1, admitRate + ADMIT_INCREASE);
        endpoint.fastResponseAt = now;
        if (endpoint.outstanding.size() + 1 >= endpoint.limit / 2) {
            endpoint.limit += !endpoint.limitReduced
                    ? LIMIT_INCREASE
                    : endpoint.limit < 1 ? SMALL_GROWTH * endpoint.limit : LIMIT_INCREASE / endpoint.limit;
        }
    }

    private boolean isSlow(Attempt attempt, long latencyUs) {
        double baseline = baselineUs[attempt.request.spec.classIndex()];
        double slowFrom = Math.max(SLOW_TARGET * attempt.request.type.targetUs(), NORMAL_RATIO * baseline);
        return attempt.sentAt >= resumedAt && latencyUs > Math.min(SLOW_RATIO * baseline, slowFrom);
    }

    /** Whether the endpoint's limit has room; a limit below 1 is the share of requests that it admits. */
    private boolean hasRoom(EndpointState endpoint, RequestState request, long now, double limitPart) {
        long outstanding =
                endpoint.outstanding.stream().filter(a -> !isLost(a, now)).count();
        double room = limitPart * endpoint.limit;
        return room >= 1 ? outstanding + 1 <= room : outstanding == 0 && draw(request, endpoint) < room;
    }

    /** A uniform draw in [0, 1), fixed for a request and an endpoint, so that waiting does not change it. */
    private static double draw(RequestState r, EndpointState e) {
        return (HASH.hashLongLongToLong(r.sequence * 0x9e3779b97f4a7c15L ^ r.hash, e.hash) >>> 11) * 0x1p-53;
    }

    private void recordResult(EndpointState endpoint, Outcome outcome, long now) {
        boolean failed = outcome != Outcome.OK && outcome != Outcome.QUEUE_FULL;
        // A failure counts by its likelihood against the rate common to all: a shared cause ejects nothing.
        double baseRate = Math.max(MIN_COMMON_RATE, Math.min(FAILING_RATE, commonFailureRate));
        endpoint.evidence =
                Math.max(0, endpoint.evidence + Math.log(FAILING_RATE / (failed ? baseRate : 1 - baseRate)));
        commonFailureRate += endpoint.ejected ? 0 : ((failed ? 1 : 0) - commonFailureRate) * COMMON_GAIN;
        if (outcome == Outcome.CONNECT_ERROR) {
            endpoint.connectedUntil = now;
            eject(endpoint, now, true);
        } else if (failed && endpoint.evidence >= 3 * MAX_EVIDENCE) {
            eject(endpoint, now, false);
        }
    }

    /** Ejects an endpoint unless too much of the ring would be ejected on suspicion. */
    private void eject(EndpointState endpoint, long now, boolean down) {
        if (!endpoint.onRing || endpoint.ejected && now < endpoint.ejectedUntil) {
            return;
        }
        double totalWeight = listed.stream().mapToDouble(e -> e.weight).sum();
        double ejectedWeight = listed.stream()
                .filter(e -> e.ejected || e == endpoint)
                .mapToDouble(e -> e.weight)
                .sum();
        if (!down && !endpoint.ejected && ejectedWeight > MAX_EJECTED_SHARE * totalWeight) {
            return;
        }
        boolean soon = now - endpoint.ejectedUntil < MAX_EJECTION_US && endpoint.ejectionUs > 0;
        endpoint.ejectionUs = soon ? Math.min(2 * endpoint.ejectionUs, MAX_EJECTION_US) : MIN_EJECTION_US;
        endpoint.ejectedUntil = now + endpoint.ejectionUs;
        endpoint.ejected = true;
        endpoint.down |= down;
        endpoint.trial = null;
    }

    /** After its ejection an endpoint gets one trial request at a time, of the safest effect configured. */
    private boolean trialDue(EndpointState endpoint, RequestState request, long now) {
        return now >= endpoint.ejectedUntil && endpoint.trial == null && request.type.effect() == safest;
    }

    private void endTrial(EndpointState endpoint, Outcome outcome, long latencyUs, Attempt trial, long now) {
        endpoint.trial = null;
        boolean wasDown = endpoint.down;
        if (outcome != Outcome.OK || isSlow(trial, latencyUs)) {
            eject(endpoint, now, wasDown && outcome == Outcome.CONNECT_ERROR);
            return;
        }
        readmit(endpoint);
        if (wasDown) {
            // The process may have restarted, whether or not discovery reports it.
            beginSlowStart(endpoint, now);
        }
    }

    private void beginSlowStart(EndpointState endpoint, long startedAt) {
        endpoint.cold = true;
        endpoint.startedAt = startedAt;
        endpoint.credits = random.nextDouble();
        endpoint.creditedSends = sends;
    }

    private static void readmit(EndpointState endpoint) {
        endpoint.ejected = false;
        endpoint.down = false;
        endpoint.trial = null;
        endpoint.evidence = 0;
        endpoint.limit = INITIAL_LIMIT;
    }

    /** Ejects unresponsive endpoints; cancels their attempts and lost ones where a retry is permitted. */
    private void sweep(long now) {
        for (int i = 0; i < baselineUs.length; i++) {
            baselineUs[i] = Math.min(meanUs[i], baselineUs[i] * (1 + BASELINE_RISE_PER_S * SWEEP_US / 1e6));
        }
        updateCapacity(now);
        for (EndpointState endpoint : listed) {
            boolean unresponsive = isUnresponsive(endpoint, now);
            if (unresponsive) {
                eject(endpoint, now, false);
            }
            endpoint.outstanding.stream()
                    .filter(a -> unresponsive && endpoint.ejected || isLost(a, now))
                    .filter(a -> open.get(a.request.spec.id()) == a.request && mayRetry(a.request, now))
                    .forEach(this::cancel);
        }
    }

    private boolean isUnresponsive(EndpointState endpoint, long now) {
        return endpoint.outstanding.stream()
                .filter(a -> !a.streaming && !a.canceled)
                .findFirst()
                .filter(a -> now - Math.max(Math.max(a.sentAt, endpoint.replyAt), resumedAt) > overdueUs(a))
                .isPresent();
    }

    private double overdueUs(Attempt attempt) {
        return Math.max(
                OVERDUE_RATIO * baselineUs[attempt.request.spec.classIndex()],
                OVERDUE_TARGET * attempt.request.type.targetUs());
    }

    /** Whether its endpoint has answered a request sent later: then the endpoint itself is responsive. */
    private static boolean answeredNewer(Attempt a) {
        return a.endpoint.newestAnsweredSentAt > a.sentAt;
    }

    /** An overdue response of a responsive endpoint is lost: the attempt does not count as in flight. */
    private boolean isLost(Attempt a, long now) {
        return !a.streaming && answeredNewer(a) && now - Math.max(a.sentAt, resumedAt) > overdueUs(a);
    }

    @Override
    public void onRequest(long now, Request spec) {
        if (open.containsKey(spec.id()) || spec.classIndex() < 0 || spec.classIndex() >= baselineUs.length) {
            return;
        }
        long hash = spec.key() != null ? HASH.hashCharsToLong(spec.key()) : random.nextLong();
        RequestClass type = settings.classes().get(spec.classIndex());
        // An unmarked repeat has a smaller budget than recent first tries: the client's remaining time.
        fullBudget[spec.classIndex()] =
                Math.max((double) spec.budgetUs(), fullBudget[spec.classIndex()] * BUDGET_DECAY);
        boolean repeat = spec.repeat() || spec.budgetUs() < FIRST_TRY_PART * fullBudget[spec.classIndex()];
        double value = type.value() * tenantValueFactor(spec, now) * (repeat ? REPEAT_VALUE_FACTOR : 1);
        RequestState request = new RequestState(spec, type, hash, now, value, ++requestCount);
        open.put(spec.id(), request);
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        request.loadAware = random.nextDouble() < (largeFleet ? LOAD_AWARE : LOAD_AWARE / 2) * overloadRate;
        if (tryAdmit(request)) {
            place(request, now);
        } else {
            refuseOrFail(request);
        }
        scheduleWakeUp(now);
    }

    private boolean tryAdmit(RequestState request) {
        admitTokens = admitRate >= 1 ? MAX_ADMIT_TOKENS : Math.min(MAX_ADMIT_TOKENS, admitTokens + admitRate);
        if (admitTokens < 1 + (MAX_ADMIT_TOKENS - 1) * (1 - request.value / maxValue)) {
            return false;
        }
        admitTokens--;
        return true;
    }

    /** Expected value of a request of this tenant, as a factor: less beyond the tenant's share. */
    private double tenantValueFactor(Request spec, long now) {
        int tenant = spec.tenant();
        if (tenant < 0 || tenant >= tenantRequests.length) {
            return 1;
        }
        double decay = Math.exp(-(now - tenantsDecayedAt) / TENANT_DECAY_US);
        tenantsDecayedAt = now;
        allTenantRequests = allTenantRequests * decay + 1;
        for (int i = 0; i < tenantRequests.length; i++) {
            tenantRequests[i] *= decay;
        }
        tenantRequests[tenant]++;
        // One standard deviation is tolerated as chance, or small tenants would always be over their share.
        double withinShare = settings.tenantShares().get(tenant)
                * allTenantRequests
                / Math.max(1e-9, tenantRequests[tenant] - Math.sqrt(tenantRequests[tenant]));
        return withinShare >= 1 ? 1 : withinShare + (1 - withinShare) * settings.overShareValue();
    }

    private void place(RequestState request, long now) {
        EndpointState endpoint = pick(request, now);
        if (endpoint == null) {
            enqueue(request, now);
        } else if (shouldProbe(request, endpoint, now)) {
            probe(request, endpoint, now);
        } else {
            dispatch(request, endpoint, now);
        }
    }

    /** Whether to probe first: the endpoint has no recent fast response, and there is time for a probe. */
    private boolean shouldProbe(RequestState request, EndpointState endpoint, long now) {
        long timeoutUs = probeTimeoutUs(request);
        return settings.limits().mayProbe()
                && largeFleet
                && request.loadAware
                && overloadRate > OVERLOAD_PER_COST * settings.probeCost()
                && request.probeCount < MAX_PROBES
                && now >= endpoint.busyUntil
                && !endpoint.ejected
                && now - endpoint.fastResponseAt > FAST_RESPONSE_VALID_US
                && request.usefulUntil() - now > 4 * timeoutUs;
    }

    private long probeTimeoutUs(RequestState r) {
        return (long) Math.min(PROBE_PART * r.type.targetUs(), PROBE_RATIO * baselineUs[r.spec.classIndex()]);
    }

    private void probe(RequestState request, EndpointState endpoint, long now) {
        request.probeCount++;
        request.probedEndpoint = endpoint;
        request.probeUntil = now + probeTimeoutUs(request);
        nextProbeTimeout = Math.min(nextProbeTimeout, request.probeUntil);
        probing.add(request);
        actions.probe(endpoint.id);
    }

    @Override
    public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            return;
        }
        if (outcome == Outcome.OK) {
            endpoint.replyAt = now;
        }
        finishProbes(now, endpoint, outcome == Outcome.OK ? latencyUs : Long.MAX_VALUE);
        dispatchQueued(now);
        scheduleWakeUp(now);
    }

    /** Places the requests whose probe ended or timed out; a slow endpoint is skipped as busy. */
    private void finishProbes(long now, EndpointState probed, long latencyUs) {
        nextProbeTimeout = Long.MAX_VALUE;
        for (RequestState request : List.copyOf(probing)) {
            EndpointState endpoint = request.probedEndpoint;
            boolean answered = endpoint == probed;
            if (answered || now >= request.probeUntil) {
                probing.remove(request);
                if (answered && latencyUs <= probeTimeoutUs(request)) {
                    endpoint.fastResponseAt = now;
                } else {
                    endpoint.busyUntil = Math.max(endpoint.busyUntil, now + probeTimeoutUs(request));
                }
                place(request, now);
            } else {
                nextProbeTimeout = Math.min(nextProbeTimeout, request.probeUntil);
            }
        }
    }

    /** Sends, unless the response would come too late to have any value. */
    private void dispatch(RequestState request, EndpointState endpoint, long now) {
        if (baselineUs[request.spec.classIndex()] > request.usefulUntil() - now) {
            refuseOrFail(request);
        } else {
            send(request, endpoint, now);
        }
    }

    private void enqueue(RequestState request, long now) {
        if (request.queuedUntil == 0) {
            request.queuedUntil =
                    now + (long) (QUEUE_TARGET_PART * (request.targetAt - now) * request.value / maxValue);
        }
        if (now < request.queuedUntil) {
            queue.add(request);
            expiryAt = Math.min(expiryAt, request.queuedUntil);
        } else {
            refuseOrFail(request);
        }
    }

    /** Ends expired requests and places the others by value; between expiries only the first few. */
    private void dispatchQueued(long now) {
        if (queue.isEmpty() && now < expiryAt) {
            return;
        }
        List<RequestState> candidates =
                now >= expiryAt ? List.copyOf(queue) : queue.stream().limit(16).toList();
        expiryAt = now >= expiryAt ? Long.MAX_VALUE : expiryAt;
        int unplaced = 0;
        for (RequestState request : candidates) {
            boolean expired = now >= request.queuedUntil;
            EndpointState endpoint = expired || unplaced < 2 ? pick(request, now) : null;
            if (endpoint != null) {
                queue.remove(request);
                dispatch(request, endpoint, now);
            } else if (expired) {
                refuseOrFail(request);
            } else {
                unplaced++;
                expiryAt = Math.min(expiryAt, request.queuedUntil);
            }
        }
    }

    private void send(RequestState request, EndpointState endpoint, long now) {
        Attempt attempt = new Attempt(request, endpoint, request.attempts.size(), now);
        request.attempts.add(attempt);
        request.outstanding++;
        endpoint.outstanding.add(attempt);
        endpoint.credits--;
        sends++;
        if (endpoint.ejected && now >= endpoint.ejectedUntil && endpoint.trial == null) {
            endpoint.trial = attempt;
        }
        if (now >= endpoint.connectedUntil && connecting == null) {
            connecting = endpoint;
        }
        actions.send(request.spec.id(), endpoint.id, attemptTimeoutUs(request, now));
    }

    /** Until the response has no value, or a part of that time if another attempt could follow. */
    private long attemptTimeoutUs(RequestState request, long now) {
        long leftUs = Math.max(1, request.usefulUntil() - now);
        int maxAttempts = request.type.effect() == Effect.NON_IDEMPOTENT
                ? 0
                : settings.limits().maxAttempts();
        double minUs = Math.max(ATTEMPT_PART * leftUs, OVERDUE_RATIO * baselineUs[request.spec.classIndex()]);
        return request.attempts.size() < maxAttempts ? (long) Math.min((double) leftUs, minUs) : leftUs;
    }

    /** The earliest attempt that ran or may still run; it restricts further attempts. */
    private static Attempt priorAttempt(RequestState request) {
        return request.attempts.stream().filter(Attempt::mayHaveRun).findFirst().orElse(null);
    }

    private static boolean inDedupGroup(RequestState request, Attempt prior, EndpointState endpoint) {
        if (prior == null || request.type.effect() != Effect.DEDUP) {
            return true;
        }
        return switch (request.type.scope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone == prior.endpoint.zone;
            default -> endpoint.cell == prior.endpoint.cell;
        };
    }

    private boolean mayRetry(RequestState request, long now) {
        Attempt prior = priorAttempt(request);
        boolean harmless = prior == null
                || request.type.effect() == Effect.RETRYABLE
                || request.type.effect() == Effect.DEDUP && now < prior.sentAt + request.type.dedupWindowUs();
        return harmless
                && request.attempts.size() < settings.limits().maxAttempts()
                && retryTokens >= 1
                && request.usefulUntil() - now > baselineUs[request.spec.classIndex()] / 2;
    }

    private boolean mayRefuse(RequestState request) {
        return priorAttempt(request) == null
                || request.type.effect() == Effect.RETRYABLE
                || request.type.effect() == Effect.DEDUP && request.type.scope() == DedupScope.ALL;
    }

    private void refuseOrFail(RequestState unanswered) {
        removeRequest(unanswered);
        if (mayRefuse(unanswered)) {
            actions.refuse(
                    unanswered.spec.id(),
                    Math.min(settings.limits().maxRetryAfterUs(), unanswered.type.targetUs() / 8));
        } else {
            actions.fail(unanswered.spec.id());
        }
        unanswered.attempts.forEach(this::cancel);
    }

    private void cancel(Attempt attempt) {
        if (attempt.outcome == null
                && !attempt.canceled
                && !attempt.streaming
                && settings.limits().mayCancel()) {
            attempt.canceled = true;
            actions.cancel(attempt.request.spec.id(), attempt.number);
        }
    }

    private void removeRequest(RequestState request) {
        open.remove(request.spec.id());
        queue.remove(request);
        probing.remove(request);
        if (request.outstanding > 0) {
            ended.put(request.spec.id(), request);
        }
    }

    @Override
    public void onRequestGone(long now, String id) {
        RequestState request = open.get(id);
        if (request != null) {
            removeRequest(request);
            request.attempts.forEach(this::cancel);
        }
    }

    @Override
    public void onStreamStarted(long now, String id, int number) {
        RequestState request = open.get(id);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            Attempt attempt = request.attempts.get(number);
            attempt.streaming = true;
            attempt.endpoint.replyAt = now;
        }
    }

    @Override
    public void onAttemptEnded(long now, AttemptEnd end) {
        RequestState request = open.get(end.requestId());
        boolean isOpen = request != null;
        request = isOpen ? request : ended.get(end.requestId());
        if (request == null
                || end.attempt() < 0
                || end.attempt() >= request.attempts.size()
                || request.attempts.get(end.attempt()).outcome != null) {
            return;
        }
        Attempt attempt = request.attempts.get(end.attempt());
        attempt.outcome = end.outcome();
        attempt.endpoint.outstanding.remove(attempt);
        if (!attempt.endpoint.onRing && attempt.endpoint.outstanding.isEmpty()) {
            endpoints.remove(attempt.endpoint.id, attempt.endpoint);
        }
        request.outstanding--;
        if (request.outstanding == 0) {
            ended.remove(end.requestId());
        }
        detectPause(now);
        recordOutcome(attempt, end, now);
        if (isOpen && end.requestDone()) {
            removeRequest(request);
        } else if (isOpen && request.outstanding == 0) {
            retryOrFinish(request, now);
        }
        dispatchQueued(now);
        scheduleWakeUp(now);
    }

    private void recordOutcome(Attempt attempt, AttemptEnd end, long now) {
        EndpointState endpoint = attempt.endpoint;
        Outcome result = end.outcome();
        connecting = connecting == endpoint ? null : connecting;
        if (result == Outcome.OK || result == Outcome.FAILED || result == Outcome.QUEUE_FULL) {
            endpoint.replyAt = now;
            endpoint.newestAnsweredSentAt = Math.max(endpoint.newestAnsweredSentAt, attempt.sentAt);
            endpoint.connectedUntil = now + settings.limits().connIdleUs();
        }
        if (result == Outcome.OK && !attempt.streaming) {
            recordLatency(attempt, end.latencyUs(), now, true);
        } else if ((result == Outcome.TIMED_OUT || result == Outcome.CANCELED && attempt.canceled)
                && isSlow(attempt, end.latencyUs())
                && !answeredNewer(attempt)) {
            // If not slow, the client ended it; if a newer attempt was answered, only this one is lost.
            recordLatency(attempt, end.latencyUs(), now, false);
        }
        if (endpoint.trial == attempt) {
            endTrial(endpoint, result, end.latencyUs(), attempt, now);
        } else if (result != Outcome.CANCELED && result != Outcome.IGNORED && result != Outcome.TIMED_OUT) {
            recordResult(endpoint, result, now);
        }
    }

    private void retryOrFinish(RequestState request, long now) {
        EndpointState endpoint = mayRetry(request, now) ? pick(request, now) : null;
        if (endpoint != null) {
            retryTokens--;
            send(request, endpoint, now);
        } else {
            refuseOrFail(request);
        }
    }

    @Override
    public void onTimer(long now) {
        detectPause(now);
        if (now >= nextWakeUp) {
            nextWakeUp = Long.MAX_VALUE;
        }
        if (now >= nextSweep) {
            nextSweep = now + SWEEP_US;
            sweep(now);
        }
        if (now >= nextProbeTimeout && now > resumedAt) {
            finishProbes(now, null, 0);
        }
        dispatchQueued(now);
        scheduleWakeUp(now);
    }

    /** An overdue wake-up shows that this process was paused: endpoints are not judged by that time. */
    private void detectPause(long now) {
        if (now - 2 * SWEEP_US > nextWakeUp) {
            resumedAt = now;
        }
    }

    /** Resubscribes if due, and requests the next wake-up while anything is pending. */
    private void scheduleWakeUp(long now) {
        boolean mustResubscribe = settings.subscribe() && !subscribing && !subscribed;
        if (mustResubscribe && now >= resubscribeAt) {
            subscribe();
            mustResubscribe = false;
        }
        long next = !open.isEmpty() ? Math.max(nextSweep, now + 1) : Long.MAX_VALUE;
        // Queue time may end before a sweep: a request with little time left is still answered in time.
        next = Math.min(next, Math.max(Math.min(expiryAt, nextProbeTimeout), now + 1));
        if (mustResubscribe) {
            next = Math.min(next, Math.max(resubscribeAt, now + 1));
        }
        if (next < nextWakeUp) {
            nextWakeUp = next;
            actions.wakeAt(next);
        }
    }
}
