package quartzspan.loadbalancing;

import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** A server as the placement sees it: listed as ready or not, failing or not, and how much work it has. */
final class PlacementServer {
    /** Failures in a row that eject a server; one failure to connect does. */
    private static final int MAX_FAILURES = 2;

    private static final long MIN_EJECTION_US = 700_000;
    private static final long MAX_EJECTION_US = 6_000_000;
    /** How long a server that was full is passed over. */
    private static final long FULL_SKIP_US = 150_000;
    /** A server younger than this may lack what the next owner of its keys has cached. */
    private static final long RECENTLY_LISTED_US = 12_000_000;

    private final String id;
    private final String service;
    private final long listedSinceUs;
    private boolean ready;
    private boolean loading;
    private int failures;
    private long ejectedUntilUs;
    private long nextEjectionUs = MIN_EJECTION_US;
    private long fullUntilUs;
    private double outstandingWork;
    /** The last walk that has met it. */
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

    /** A listing; one that becomes ready starts without failures. */
    void onListed(boolean isReady, boolean isLoading) {
        if (isReady && !ready) {
            failures = 0;
            ejectedUntilUs = 0;
        }
        ready = isReady;
        loading = isLoading;
    }

    boolean isReady() {
        return ready;
    }

    /** Whether it gets requests only where no other server can take them. */
    boolean isLastResort(long now) {
        return loading || isEjected(now);
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

    /** Whether a walk meets it for the first time. */
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

    /** Another server answers at its address. */
    void onMisdirected(long now) {
        ejectedUntilUs = now + MAX_EJECTION_US;
    }
}
