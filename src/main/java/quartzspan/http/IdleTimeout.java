package quartzspan.http;

/**
 * Adaptive limit on how long a pooled connection may have been idle and still be reused. A server may close idle connections
 * sooner than it advertises, without the client noticing: the next request on such a stale connection is reset, and whether it
 * was executed is unknown. The limit is reduced when that happens and grows again while it does not. Times are nanoseconds.
 */
final class IdleTimeout {
    private static final long MIN_NANOS = 100_000_000;
    private static final double DECREASE_FACTOR = 0.8;
    private static final double INCREASE_FACTOR = 1.1;
    /** For this long after a stale connection, requests that must not run twice do not raise the limit. */
    private static final long GROWTH_PAUSE_NANOS = 5_000_000_000L;

    private final long maxNanos;
    private long nanos;
    private long lastStaleNanos;

    IdleTimeout(long maxNanos) {
        this.maxNanos = maxNanos;
        this.nanos = maxNanos;
    }

    /** The limit for requests that may be retried. */
    long nanos() {
        return nanos;
    }

    /** The limit for requests that can't be retried: half of {@link #nanos} while that is reduced. */
    long cautiousNanos() {
        return nanos == maxNanos ? nanos : nanos / 2;
    }

    /** Reduces the limit: a connection was stale after this idle time. Idle times up to {@link #MIN_NANOS} are ignored. */
    void onStale(long nowNanos, long idleNanos) {
        if (idleNanos > MIN_NANOS) {
            lastStaleNanos = nowNanos;
            nanos = Math.min(nanos, Math.max(MIN_NANOS, (long) (DECREASE_FACTOR * idleNanos)));
        }
    }

    /**
     * Raises the limit if a connection was still usable after an idle time near it.
     *
     * @param cautious whether the connection was chosen by {@link #cautiousNanos}
     */
    void onUsable(long nowNanos, long idleNanos, boolean cautious) {
        boolean growthPaused = cautious && nowNanos - lastStaleNanos < GROWTH_PAUSE_NANOS;
        if (!growthPaused && idleNanos > (cautious ? cautiousNanos() : nanos) / 2) {
            nanos = Math.min(maxNanos, (long) (INCREASE_FACTOR * nanos));
        }
    }
}
