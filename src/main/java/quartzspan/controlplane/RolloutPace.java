package quartzspan.controlplane;

/**
 * How many servers may load weights at once: enough for each to be ordered before its deadline, and as few as that allows, for a
 * server that loads serves nobody.
 */
final class RolloutPace {
    /** Fraction of the servers that load at once while a rollout is on schedule; a load is slower while many do. */
    private static final double CONCURRENT_LOADS = 0.28;
    /** Largest fraction of the servers that load at once before the final phase: the others serve. */
    private static final double MAX_CONCURRENT_LOADS = 0.6;
    /** Fraction of the time allowed after which a rollout on schedule has reached all servers. */
    private static final double SCHEDULED_FRACTION = 0.5;
    /** In the final phase the bound rises until all servers may load; what remains after it is for orders that are lost. */
    private static final double FINAL_PHASE_BEGIN = 0.5;

    private static final double FINAL_PHASE_END = 0.75;

    private final int servers;
    private final int lacking;
    private final double elapsedFraction;

    /**
     * The pace for one named version.
     *
     * @param servers servers that have the model
     * @param lacking those of them that lack the version
     * @param elapsedFraction how much of the time for it has passed
     */
    RolloutPace(int servers, int lacking, double elapsedFraction) {
        this.servers = servers;
        this.lacking = lacking;
        this.elapsedFraction = elapsedFraction;
    }

    /** How many of the servers that lack the version may load at once. */
    long limit() {
        double scheduled = servers * Math.min(1, elapsedFraction / SCHEDULED_FRACTION);
        long behindSchedule = (long) scheduled - (servers - lacking);
        return Math.min(maximum(), Math.max(usual(), behindSchedule));
    }

    private long usual() {
        return Math.max(1, Math.round(servers * CONCURRENT_LOADS));
    }

    /** How many servers may load at once, whatever they load. */
    long maximum() {
        double finalPhase = (elapsedFraction - FINAL_PHASE_BEGIN) / (FINAL_PHASE_END - FINAL_PHASE_BEGIN);
        double bound = MAX_CONCURRENT_LOADS + (1 - MAX_CONCURRENT_LOADS) * Math.max(0, Math.min(1, finalPhase));
        return Math.max(usual(), Math.round(servers * bound));
    }
}
