package quartzspan.controlplane;

/**
 * How many servers may load weights at once: enough for each to be ordered before its deadline, and as few as that allows, for a
 * server that loads serves nobody.
 */
final class LoadConcurrencyLimit {
    /** Fraction of the servers that load at once while a rollout is on schedule; a load is slower while many do. */
    private static final double REGULAR_LOAD_FRACTION = 0.28;
    /** Largest fraction of the servers that load at once before the final phase: the others serve. */
    private static final double MAX_LOAD_FRACTION = 0.6;
    /** Fraction of the time allowed after which a rollout on schedule has reached all servers. */
    private static final double SCHEDULED_FRACTION = 0.5;
    /** In the final phase the bound rises until all servers may load; what remains after it is for orders that are lost. */
    private static final double FINAL_PHASE_START = 0.5;

    private static final double FINAL_PHASE_END = 0.75;

    private final int servers;
    private final int outdated;
    private final double elapsedFraction;

    /**
     * The pace for one named version.
     *
     * @param servers servers that have the model
     * @param outdated those of them that lack the version
     * @param elapsedFraction how much of the time for it has passed
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

    /** How many servers may load at once, whatever they load. */
    long maxTotal() {
        double finalPhase = (elapsedFraction - FINAL_PHASE_START) / (FINAL_PHASE_END - FINAL_PHASE_START);
        double bound = MAX_LOAD_FRACTION + (1 - MAX_LOAD_FRACTION) * Math.max(0, Math.min(1, finalPhase));
        return Math.max(regularLimit(), Math.round(servers * bound));
    }
}
