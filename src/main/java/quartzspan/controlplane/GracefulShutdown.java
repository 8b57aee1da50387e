package quartzspan.controlplane;

/**
 * The planned end of a core machine: it hands over its part of the control state, and answers or redirects calls until that
 * is done or the time that the platform gives is nearly over. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class GracefulShutdown {
    /** How long before the platform kills the process it ends by itself. */
    static final long KILL_MARGIN_MS = 700;

    /** The part in the control state that is handed over. */
    interface HandoverParticipant {
        /** Begins to hand over; later calls change nothing. */
        void beginHandover(long now);

        /** Whether the others can do without this machine. */
        boolean isHandoverComplete(long now);
    }

    private final HandoverParticipant member;
    private final long graceMs;
    private long begunAt;
    private boolean started;

    GracefulShutdown(HandoverParticipant member, long graceMs) {
        this.member = member;
        this.graceMs = graceMs;
    }

    /** The process was told to end. */
    void begin(long now) {
        if (!started) {
            started = true;
            begunAt = now;
            member.beginHandover(now);
        }
    }

    /** Whether the process was told to end. */
    boolean started() {
        return started;
    }

    /**
     * Whether the process may end now.
     *
     * @param callsAnswered whether no call waits for its answer
     */
    boolean over(long now, boolean callsAnswered) {
        return started
                && (member.isHandoverComplete(now) && callsAnswered || now - begunAt >= graceMs - KILL_MARGIN_MS);
    }
}
