package quartzspan.loadbalancing;

import java.util.List;

/**
 * Interface of the load balancer: one instance per client process, single-threaded. It receives events with
 * the current time and issues its decisions through {@link Actions} during the call.
 *
 * <p>All times and durations are microseconds. The clock may start anywhere and never runs backwards. The
 * load balancer has no clock, thread or I/O of its own, and equal events give equal actions.
 */
public interface LoadBalancer {

    /**
     * Creates an instance without endpoints.
     *
     * @param settings settings of the deployment
     * @param seed seed of the random numbers
     * @param now the current time
     * @param actions receives the decisions
     * @return the instance
     */
    static LoadBalancer create(Settings settings, long seed, long now, Actions actions) {
        return new RingHashLoadBalancer(settings, seed, now, actions);
    }

    /** A list from discovery: complete (missing endpoints are removed) or, as a delta, changed entries only. */
    void onEndpoints(long now, Source source, List<Endpoint> endpoints);

    /** A subscription or reload failed, or the subscription broke; the current list stays in use. */
    void onDiscoveryFailed(long now);

    /** A request arrived; it must get one final answer within its budget. */
    void onRequest(long now, Request request);

    /** The client disconnected or its budget has passed: no final answer is needed. Unknown ids are ignored. */
    void onRequestGone(long now, String requestId);

    /** The response of a streamed attempt has begun; from here on only the client may end the attempt. */
    void onStreamStarted(long now, String requestId, int attempt);

    /** An attempt ended. Unknown requests and repeated reports are ignored. */
    void onAttemptEnded(long now, AttemptEnd end);

    /** A probe ended, {@code latencyUs} after it was requested. Unknown endpoints are ignored. */
    void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs);

    /** The time last requested by {@link Actions#wakeAt} has come; an early or extra call is harmless. */
    void onTimer(long now);

    /** Receives the decisions. Called only from within an event method. */
    interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order of these calls. */
        void send(String requestId, String endpointId, long timeoutUs);

        /** Final answer: refused, and another try is harmless; 0 means no advice on when to retry. */
        void refuse(String requestId, long retryAfterUs);

        /** Final answer: failed; whether the request took effect is unknown. */
        void fail(String requestId);

        /** Cancels one attempt. */
        void cancel(String requestId, int attempt);

        /** Probes an endpoint; called only where {@link Limits#mayProbe}. */
        default void probe(String endpointId) {
            throw new UnsupportedOperationException("settings permit probes, but these actions do not implement them");
        }

        /** Subscribes to discovery: the complete list, then every change. */
        void subscribe();

        /** Requests a call of {@link LoadBalancer#onTimer} at this time or soon after. */
        void wakeAt(long atUs);
    }

    /** Effect of executing a request more than once. */
    enum Effect {
        /** May be executed any number of times. */
        RETRYABLE,
        /** Repeats are dropped within a group of endpoints, during a window. */
        DEDUP,
        /** Must not be executed twice. */
        NON_IDEMPOTENT
    }

    /** The endpoints that drop repeats of a {@link Effect#DEDUP} request. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** Origin of an endpoint list. */
    enum Source {
        /** The list that an earlier process of this instance stored; it may be stale. */
        CACHED,
        /** The complete list. */
        FULL,
        /** Changed entries only. */
        DELTA
    }

    /** State of an endpoint's process, as reported by discovery. */
    enum Availability {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        FAILED(false),
        QUEUE_FULL(true),
        TIMED_OUT(false),
        CONNECT_ERROR(true),
        RESET(false),
        CANCELED(false),
        IGNORED(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt was never executed. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * An endpoint as discovery lists it.
     *
     * @param id stable id; survives restarts and is hashed onto the ring
     * @param zone number of its zone
     * @param cell number of its cell
     * @param kind number of its kind of machine; endpoints of one kind are assumed to be equally fast
     * @param availability state of its process
     * @param weight size relative to other endpoints, above 0
     * @param startedAtUs time of its last start; 0 if long ago
     */
    record Endpoint(
            String id, int zone, int cell, int kind, Availability availability, double weight, long startedAtUs) {}

    /**
     * A request of a client.
     *
     * @param id unique id
     * @param classIndex position in {@link Settings#classes}
     * @param key affinity key, or null; requests of one key share an owner on the ring
     * @param budgetUs time after which the client abandons this try
     * @param expectedUs expected processing time; 0 if unknown
     * @param tenant position in {@link Settings#tenantShares}; ignored without tenants
     * @param repeat whether the client marks it as a repeat
     */
    record Request(String id, int classIndex, String key, long budgetUs, long expectedUs, int tenant, boolean repeat) {}

    /**
     * The end of an attempt.
     *
     * @param requestId the request
     * @param attempt number of the attempt
     * @param outcome how it ended
     * @param requestDone whether the request has its final answer, by this outcome or earlier
     * @param latencyUs time since it was sent
     */
    record AttemptEnd(String requestId, int attempt, Outcome outcome, boolean requestDone, long latencyUs) {}

    /**
     * A class of requests.
     *
     * @param name for messages only
     * @param effect effect of executing it more than once
     * @param scope endpoints that drop repeats; read for {@link Effect#DEDUP} only
     * @param dedupWindowUs how long repeats are dropped, from the first attempt that may have been executed
     * @param value value of a response within the target latency
     * @param lateValue share of the value that remains after the target latency
     * @param targetUs target latency, within which a response has its full value
     * @param targetWorkFactor multiple of the expected processing time that is added to the target latency
     * @param deadlineUs time after which the client abandons the request, retries included
     */
    record RequestClass(
            String name,
            Effect effect,
            DedupScope scope,
            long dedupWindowUs,
            double value,
            double lateValue,
            long targetUs,
            double targetWorkFactor,
            long deadlineUs) {
        /** Rejects invalid values and names the setting. */
        public RequestClass {
            Settings.require(effect != null, name + ": effect is missing");
            Settings.require(effect != Effect.DEDUP || scope != null, name + ": dedupScope is missing");
            Settings.require(targetUs > 0, name + ": onTimeUs must be above 0");
            Settings.require(deadlineUs > 0, name + ": deadlineUs must be above 0");
            Settings.require(dedupWindowUs >= 0, name + ": dedupWindowUs is negative");
            Settings.require(value >= 0, name + ": worth is negative");
            Settings.require(lateValue >= 0, name + ": lateWorth is negative");
            Settings.require(targetWorkFactor >= 0, name + ": aimStretch is negative");
        }
    }

    /**
     * Settings of a deployment.
     *
     * @param classes the request classes, at least one
     * @param tenantShares each tenant's share of the service; empty without tenants
     * @param overShareValue factor on the value of a request beyond its tenant's share
     * @param instances number of instances that send to the same endpoints, this one included
     * @param probeCost cost of a probe, as a part of the value of a request; 0 if probes are free
     * @param subscribe whether list changes arrive only after {@link Actions#subscribe}
     * @param weightsVary whether listed weights follow load rather than size
     * @param limits limits of the deployment
     * @param contract guarantees of discovery and of endpoints
     */
    record Settings(
            List<RequestClass> classes,
            List<Double> tenantShares,
            double overShareValue,
            int instances,
            double probeCost,
            boolean subscribe,
            boolean weightsVary,
            Limits limits,
            Contract contract) {
        /** Copies the lists; rejects invalid values and names the setting. */
        public Settings {
            classes = List.copyOf(classes);
            tenantShares = List.copyOf(tenantShares);
            require(!classes.isEmpty(), "classes is empty");
            require(overShareValue >= 0, "overShareWorth is negative");
            for (double share : tenantShares) {
                require(share >= 0, "customers: share is negative");
            }
        }

        static void require(boolean valid, String error) {
            if (!valid) {
                throw new IllegalArgumentException("settings: " + error);
            }
        }
    }

    /**
     * Limits of a deployment.
     *
     * @param maxAttempts attempts permitted for one request
     * @param mayCancel whether attempts may be cancelled
     * @param mayProbe whether endpoints may be probed
     * @param maxRetryAfterUs longest retry delay that a client honors; 0 if none is passed on
     * @param connIdleUs time after which idle connections close
     */
    record Limits(int maxAttempts, boolean mayCancel, boolean mayProbe, long maxRetryAfterUs, long connIdleUs) {
        /** Rejects invalid values and names the setting. */
        public Limits {
            Settings.require(maxAttempts >= 1, "limits.maxAttempts must be at least 1");
            Settings.require(maxRetryAfterUs >= 0, "limits.maxRetryAfterUs is negative");
            Settings.require(connIdleUs >= 0, "limits.connIdleUs is negative");
        }
    }

    /**
     * Guarantees of discovery and of endpoints.
     *
     * @param subscribeWithinUs where lists must be requested: longest time without a request for one
     * @param coldCapacityShare least share of its capacity with which an endpoint starts
     * @param slowStartUs longest time after which it is warm
     */
    record Contract(long subscribeWithinUs, double coldCapacityShare, long slowStartUs) {
        /** Rejects invalid values and names the setting. */
        public Contract {
            Settings.require(subscribeWithinUs > 0, "contract.askWithinUs must be above 0");
            Settings.require(coldCapacityShare > 0 && coldCapacityShare <= 1, "contract.coldFrom must be in (0, 1]");
            Settings.require(slowStartUs >= 0, "contract.coldUs is negative");
        }
    }
}
