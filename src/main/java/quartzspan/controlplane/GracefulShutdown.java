package quartzspan.controlplane;

/**
 * The graceful shutdown of a core machine: it hands over its role in the control state, and answers or redirects requests
 * until the handover is complete or the platform's grace period is nearly over. No clock, no I/O; times are milliseconds of a
 * steady clock.
 */
final class GracefulShutdown {
    /** The process ends by itself this long before the platform kills it. */
    static final long KILL_MARGIN_MS = 700;

    /** A component that has a role to hand over. */
    interface HandoverParticipant {
        /** Begins the handover; later calls have no effect. */
        void beginHandover(long now);

        /** Whether the other machines no longer need this one. */
        boolean isHandoverComplete(long now);
    }

    private final HandoverParticipant participant;
    private final long gracePeriodMs;
    private long startedAtMs;
    private boolean started;

    GracefulShutdown(HandoverParticipant participant, long gracePeriodMs) {
        this.participant = participant;
        this.gracePeriodMs = gracePeriodMs;
    }

    /** Begins the shutdown; later calls have no effect. */
    void begin(long now) {
        if (!started) {
            started = true;
            startedAtMs = now;
            participant.beginHandover(now);
        }
    }

    /** Whether the shutdown has begun. */
    boolean hasStarted() {
        return started;
    }

    /**
     * Whether the process may end now.
     *
     * @param idle whether no request waits for its response
     */
    boolean isComplete(long now, boolean idle) {
        return started
                && (participant.isHandoverComplete(now) && idle || now - startedAtMs >= gracePeriodMs - KILL_MARGIN_MS);
    }
}
