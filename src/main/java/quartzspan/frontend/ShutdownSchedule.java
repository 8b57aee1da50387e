package quartzspan.frontend;

/**
 * Timing of a proxy's graceful shutdown. It has no clock and does no I/O.
 *
 * <ol>
 *   <li>At first all requests are forwarded as before: clients keep connecting until they have seen a failed readiness check.
 *   <li>After {@link #READINESS_PROPAGATION_MS} idle connections are closed, and a request is forwarded only if its deadline is
 *       before the exit of the process; other requests are rejected, because they might be cut off during the response.
 *   <li>The process exits when no request is in flight and no new connection is expected, and at the latest
 *       {@link #KILL_MARGIN_MS} before the end of the grace period.
 * </ol>
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class ShutdownSchedule {
    /** Time after which every client has seen that this proxy is not ready. */
    static final long READINESS_PROPAGATION_MS = 2_900;
    /** Time after which no new connections are expected. */
    static final long NEW_CONNECTION_WINDOW_MS = 3_300;
    /** The process exits this long before the platform would kill it. */
    static final long KILL_MARGIN_MS = 700;

    /** A process that had no tick for this long was frozen, for example by SIGSTOP. */
    static final long FREEZE_THRESHOLD_MS = 500;
    /** How long after a freeze a signal that was sent during it may be delivered. */
    static final long SIGNAL_DELIVERY_WINDOW_MS = 500;

    private final long gracePeriodMs;
    private long lastTickMs;
    private long frozenAtMs;
    private long resumedAtMs;
    private long begunAtMs;
    private boolean begun;

    /** @param nowMs the current time; it counts as the last tick until {@link #onTick} is called */
    ShutdownSchedule(long gracePeriodMs, long nowMs) {
        this.gracePeriodMs = gracePeriodMs;
        this.lastTickMs = nowMs;
        this.frozenAtMs = nowMs;
        this.resumedAtMs = nowMs;
    }

    /** Must be called about every 100 ms while the process runs. */
    void onTick(long nowMs) {
        if (nowMs - lastTickMs >= FREEZE_THRESHOLD_MS) {
            frozenAtMs = lastTickMs;
            resumedAtMs = nowMs;
        }
        lastTickMs = nowMs;
    }

    /**
     * Begins the shutdown. If the process was frozen until just now, the signal may have been sent at any time during the freeze;
     * the platform's grace period is then counted from the start of the freeze.
     */
    void begin(long nowMs) {
        if (begun) {
            return;
        }
        begun = true;
        boolean justResumed = nowMs - resumedAtMs <= SIGNAL_DELIVERY_WINDOW_MS;
        begunAtMs = justResumed ? frozenAtMs : lastTickMs;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Whether a request received now may be forwarded, given that it may take until its deadline. */
    boolean mayForward(long nowMs, long deadlineMs) {
        return !begun || nowMs - begunAtMs < READINESS_PROPAGATION_MS || deadlineMs <= exitDeadlineMs();
    }

    /** Whether connections without a request in flight should be closed. */
    boolean shouldCloseIdleConnections(long nowMs) {
        return begun && nowMs - begunAtMs >= READINESS_PROPAGATION_MS;
    }

    /**
     * Whether the process may exit now.
     *
     * @param idle whether no request is in flight
     */
    boolean mayExit(long nowMs, boolean idle) {
        boolean drained = idle && nowMs - begunAtMs > NEW_CONNECTION_WINDOW_MS;
        return begun && (drained || nowMs > exitDeadlineMs());
    }

    private long exitDeadlineMs() {
        return begunAtMs + gracePeriodMs - KILL_MARGIN_MS;
    }
}
