package quartzspan.controlplane;

/**
 * The planned end of a core machine: it hands over its role in the control state, and answers or redirects requests until that
 * is complete or the platform's grace period is nearly over. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class GracefulShutdown {
    /** How long before the platform kills the process it ends by itself. */
    static final long KILL_MARGIN_MS = 700;

    /** Whoever has a role to hand over. */
    interface HandoverParticipant {
        /** Begins to hand over; later calls change nothing. */
        void beginHandover(long now);

        /** Whether the other machines can do without this one. */
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

    /** The process was asked to end. */
    void begin(long now) {
        if (!started) {
            started = true;
            startedAtMs = now;
            participant.beginHandover(now);
        }
    }

    /** Whether the process was asked to end. */
    boolean hasStarted() {
        return started;
    }

    /**
     * Whether the process may end now.
     *
     * @param idle whether no request waits for its answer
     */
    boolean isComplete(long now, boolean idle) {
        return started
                && (participant.isHandoverComplete(now) && idle || now - startedAtMs >= gracePeriodMs - KILL_MARGIN_MS);
    }
}
