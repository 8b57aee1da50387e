package quartzspan.registry;

/**
 * Notices that this process was stalled (suspended, or starved of processor time), so that what other processes have announced
 * meanwhile may not have been processed yet. From the end of a stall until a core machine has confirmed the local view, the view
 * may be outdated. Nothing depends on a timer: a stall is also noticed by whoever asks. No clock, no I/O; times are milliseconds
 * of a steady clock.
 */
final class StallGuard {
    /** A time without a tick that counts as a stall; announcements are due within twice this time. */
    static final long MIN_STALL_MS = 1_000;
    /** If no core machine confirms the view within this time, this process is cut off, and its view has to do. */
    static final long CONFIRMATION_TIMEOUT_MS = 1_000;

    private long lastActiveAtMs = Registry.NEVER;
    private long resumedAtMs = Registry.NEVER;
    private boolean confirmed = true;

    void onTick(long now) {
        noticeStall(now);
        lastActiveAtMs = now;
    }

    /** A core machine has confirmed the view in a reply to a query. */
    void onConfirmed(long queriedAtMs) {
        confirmed |= queriedAtMs >= resumedAtMs;
    }

    /** Whether the view may be outdated because of a stall. */
    boolean mayBeOutdated(long now) {
        noticeStall(now);
        return !confirmed && now - resumedAtMs < CONFIRMATION_TIMEOUT_MS;
    }

    private void noticeStall(long now) {
        if (lastActiveAtMs != Registry.NEVER && now - lastActiveAtMs > MIN_STALL_MS) {
            lastActiveAtMs = now;
            resumedAtMs = now;
            confirmed = false;
        }
    }
}
