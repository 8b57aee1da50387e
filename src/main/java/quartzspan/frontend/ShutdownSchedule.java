package quartzspan.frontend;

/**
 * The times of a proxy's graceful shutdown, without clock or I/O.
 *
 * <ol>
 *   <li>At first every request is forwarded as before: clients still come until they have seen readiness say no.
 *   <li>After {@link #READINESS_PROPAGATION_MS} idle connections are closed, and a request is forwarded only if its deadline lies before
 *       the process's own end; any other is rejected, for it might be cut off in the middle.
 *   <li>The process ends when nothing is in flight and no new connection is expected, and {@link #KILL_MARGIN_MS} before the
 *       grace period is over in any case.
 * </ol>
 *
 * <p>All times are milliseconds of a steady clock.
 */
final class ShutdownSchedule {
    /** Time after which every client has seen that this proxy is not ready. */
    static final long READINESS_PROPAGATION_MS = 2_900;
    /** Time after which no new connection is expected any more. */
    static final long NEW_CONNECTION_WINDOW_MS = 3_300;
    /** How long before the platform kills the process it ends by itself. */
    static final long KILL_MARGIN_MS = 700;

    /** Without a tick for so long the process was frozen. */
    static final long FREEZE_THRESHOLD_MS = 500;
    /** How long after a freeze a signal that came during it may be delivered. */
    static final long SIGNAL_DELIVERY_WINDOW_MS = 500;

    private final long gracePeriodMs;
    private long lastTickMs;
    private long frozenAtMs;
    private long resumedAtMs;
    private long begunAtMs;
    private boolean begun;

    /** @param nowMs the present time; as long as {@link #onTick} was not called it counts as the last tick */
    ShutdownSchedule(long gracePeriodMs, long nowMs) {
        this.gracePeriodMs = gracePeriodMs;
        this.lastTickMs = nowMs;
        this.frozenAtMs = nowMs;
        this.resumedAtMs = nowMs;
    }

    /** To be called every 100 ms or so while the process runs. */
    void onTick(long nowMs) {
        if (nowMs - lastTickMs >= FREEZE_THRESHOLD_MS) {
            frozenAtMs = lastTickMs;
            resumedAtMs = nowMs;
        }
        lastTickMs = nowMs;
    }

    /**
     * The process was asked to end. If it was frozen until just now, the signal may have come at any time since it froze, and
     * the platform's grace period has run since then.
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

    /** Whether a request that is received now may be forwarded, although it may take until its deadline. */
    boolean mayForward(long nowMs, long deadlineMs) {
        return !begun || nowMs - begunAtMs < READINESS_PROPAGATION_MS || deadlineMs <= exitDeadlineMs();
    }

    /** Whether connections on which nothing is in flight are to be closed. */
    boolean shouldCloseIdleConnections(long nowMs) {
        return begun && nowMs - begunAtMs >= READINESS_PROPAGATION_MS;
    }

    /**
     * Whether the process may end now.
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
