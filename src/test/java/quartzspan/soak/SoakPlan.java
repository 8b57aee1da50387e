package quartzspan.soak;

/**
 * The size of a soak, and the bounds that its fleet is given.
 *
 * @param durationMs how long clients send requests
 */
record SoakPlan(long seed, long durationMs, int cores, int proxies, int servers, int clients) {
    static final long GRACE_PERIOD_MS = 8_000;
    static final long RECOVERY_MS = 3_000;
    static final long CLOSE_RACE_MS = 200;
    static final long DRAIN_TIMEOUT_MS = 2_000;
    static final long REVOCATION_MS = 5_000;
    static final long CONFIG_APPLY_MS = 2_000;
    static final long VERSION_APPLY_MS = 6_000;
    static final long HEARTBEAT_MS = 600;
    /** After so long on a SIGTERM a client's request need not be finished any more. */
    static final long SHUTDOWN_ACCEPT_MS = 3_000;
    /** Events that lie as close together can't be told apart by this process's clock on a busy machine. */
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
