package quartzspan.controlplane;

/**
 * Limits how many servers load weights at once: enough that each is ordered before its deadline, and otherwise as
 * few as possible, because a server that loads serves no requests.
 */
final class LoadConcurrencyLimit {
    /** Fraction of the servers that load at once while a rollout is on schedule; loads slow down when many run at once. */
    private static final double REGULAR_LOAD_FRACTION = 0.28;
    /** Largest fraction of the servers that load at once before the final phase; the others keep serving. */
    private static final double MAX_LOAD_FRACTION = 0.6;
    /** Fraction of the apply time after which a rollout on schedule has reached all servers. */
    private static final double SCHEDULED_FRACTION = 0.5;
    /**
     * During the final phase the limit rises until all servers may load; the time after it remains for retrying lost orders.
     */
    private static final double FINAL_PHASE_START = 0.5;

    private static final double FINAL_PHASE_END = 0.75;

    private final int servers;
    private final int outdated;
    private final double elapsedFraction;

    /**
     * The limit for one target version.
     *
     * @param servers servers that have the model
     * @param outdated those of them that lack the version
     * @param elapsedFraction elapsed fraction of the apply time of the version
     */
    LoadConcurrencyLimit(int servers, int outdated, double elapsedFraction) {
        this.servers = servers;
        this.outdated = outdated;
        this.elapsedFraction = elapsedFraction;
    }

    /** How many of the servers that lack the version may load at once. */
    long maxForVersion() {
        double scheduled = servers * Math.min(1, elapsedFraction / SCHEDULED_FRACTION);
        long behindSchedule = (long) scheduled - (servers - outdated);
        return Math.min(maxTotal(), Math.max(regularLimit(), behindSchedule));
    }

    private long regularLimit() {
        return Math.max(1, Math.round(servers * REGULAR_LOAD_FRACTION));
    }

    /** How many servers may load at once, whichever version they load. */
    long maxTotal() {
        double finalPhase = (elapsedFraction - FINAL_PHASE_START) / (FINAL_PHASE_END - FINAL_PHASE_START);
        double bound = MAX_LOAD_FRACTION + (1 - MAX_LOAD_FRACTION) * Math.max(0, Math.min(1, finalPhase));
        return Math.max(regularLimit(), Math.round(servers * bound));
    }
}
