package quartzspan.soak;

/**
 * The size of a soak run and the time bounds of its fleet.
 *
 * @param durationMs how long clients send requests
 */
record SoakPlan(long seed, long durationMs, int cores, int proxies, int servers, int clients) {
    static final long GRACE_PERIOD_MS = 8_000;
    /** Time after a disruption until the processes have reconnected; the rules allow for it. */
    static final long RECOVERY_MS = 3_000;
    /**
     * A request that the proxy did not forward may be lost if its connection closes within this time after it was
     * sent.
     */
    static final long CLOSE_RACE_MS = 200;

    static final long DRAIN_TIMEOUT_MS = 2_000;
    static final long REVOCATION_MS = 5_000;
    static final long CONFIG_APPLY_MS = 2_000;
    static final long VERSION_APPLY_MS = 6_000;
    static final long HEARTBEAT_MS = 600;
    /**
     * Only a request sent within this time after the SIGTERM of its proxy may be cut off at the end of the grace period; a
     * later one is rejected or completed.
     */
    static final long SHUTDOWN_ACCEPT_MS = 3_000;
    /** Measurement tolerance: on a busy machine the timestamps of this process are no more accurate than this. */
    static final long CLOCK_TOLERANCE_MS = 100;

    static SoakPlan fromSystemProperties(long seed) {
        return new SoakPlan(
                seed,
                1_000L * Integer.getInteger("soak.duration_s", 45),
                3,
                Integer.getInteger("soak.proxies", 4),
                Integer.getInteger("soak.servers", 5),
                Integer.getInteger("soak.clients", 24));
    }
}
