package quartzspan.loadbalancing;

import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** State of a server for the placement: its readiness, its failures and ejection, and its outstanding work. */
final class PlacementServer {
    /** Consecutive failures that eject a server; a single connect error ejects it too. */
    private static final int MAX_FAILURES = 2;

    private static final long MIN_EJECTION_US = 700_000;
    private static final long MAX_EJECTION_US = 6_000_000;
    /** How long a server is skipped after its queue was full. */
    private static final long FULL_SKIP_US = 150_000;
    /** A server listed for less than this may not have cached what the next owner of its keys has. */
    private static final long RECENTLY_LISTED_US = 12_000_000;

    private final String id;
    private final String service;
    private final long listedSinceUs;
    private boolean ready;
    private boolean loading;
    private long usableUntilUs = Long.MAX_VALUE;
    private int failures;
    private long ejectedUntilUs;
    private long nextEjectionUs = MIN_EJECTION_US;
    private long fullUntilUs;
    private double outstandingWork;
    /** Number of the last ring walk that visited it. */
    private int lastWalk;

    PlacementServer(String id, String service, long listedSinceUs) {
        this.id = id;
        this.service = service;
        this.listedSinceUs = listedSinceUs;
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    /** Updates the listed state; a server that becomes ready starts without failures. */
    void onListed(boolean isReady, boolean isLoading) {
        if (isReady && !ready) {
            failures = 0;
            ejectedUntilUs = 0;
        }
        ready = isReady;
        loading = isLoading;
    }

    void onUsableUntil(long us) {
        usableUntilUs = us;
    }

    boolean isReady() {
        return ready;
    }

    /** Whether it gets requests only if no other server can take them. */
    boolean isLastResort(long now) {
        return loading || now >= usableUntilUs || isEjected(now);
    }

    boolean isEjected(long now) {
        return now < ejectedUntilUs;
    }

    boolean isFull(long now) {
        return now < fullUntilUs;
    }

    boolean isRecentlyListed(long now) {
        return now - listedSinceUs <= RECENTLY_LISTED_US;
    }

    double outstandingWork() {
        return outstandingWork;
    }

    void addWork(double work) {
        outstandingWork = Math.max(0, outstandingWork + work);
    }

    /** Marks it as visited by a walk; returns whether this is the first visit. */
    boolean visit(int walk) {
        boolean first = lastWalk != walk;
        lastWalk = walk;
        return first;
    }

    void onSuccess() {
        failures = 0;
        nextEjectionUs = MIN_EJECTION_US;
    }

    void onFull(long now) {
        fullUntilUs = now + FULL_SKIP_US;
    }

    void onFailure(long now, Outcome outcome) {
        failures++;
        if (failures >= MAX_FAILURES || outcome == Outcome.CONNECT_ERROR) {
            ejectedUntilUs = now + nextEjectionUs;
            nextEjectionUs = Math.min(MAX_EJECTION_US, 2 * nextEjectionUs);
        }
    }

    /** Another server responded at its address. */
    void onMisdirected(long now) {
        ejectedUntilUs = now + MAX_EJECTION_US;
    }
}
