package quartzspan.http;

/**
 * How long a connection to a server may have been idle and still be used. A server may close idle connections sooner than
 * it states, without a sign: the next request on such a connection is reset, and may have been executed for all that is known. The
 * limit is cut when that happens and grows again while it does not. Times are nanoseconds.
 */
final class IdleTimeout {
    private static final long MIN_NANOS = 100_000_000;
    private static final double DECREASE_FACTOR = 0.8;
    private static final double INCREASE_FACTOR = 1.1;
    /** Requests that may run once do not try out longer idleness so soon after a stale connection. */
    private static final long GROWTH_PAUSE_NANOS = 5_000_000_000L;

    private final long maxNanos;
    private long nanos;
    private long lastStaleNanos;

    IdleTimeout(long maxNanos) {
        this.maxNanos = maxNanos;
        this.nanos = maxNanos;
    }

    /** For requests that may be sent again. */
    long nanos() {
        return nanos;
    }

    /** For requests that are lost with their connection: well below what has lately been too long. */
    long cautiousNanos() {
        return nanos == maxNanos ? nanos : nanos / 2;
    }

    /** A connection was stale after this idleness. */
    void onStale(long nowNanos, long idleNanos) {
        if (idleNanos > MIN_NANOS) {
            lastStaleNanos = nowNanos;
            nanos = Math.min(nanos, Math.max(MIN_NANOS, (long) (DECREASE_FACTOR * idleNanos)));
        }
    }

    /** A connection was still good after this idleness; {@code cautious} as it was chosen. */
    void onUsable(long nowNanos, long idleNanos, boolean cautious) {
        boolean growthPaused = cautious && nowNanos - lastStaleNanos < GROWTH_PAUSE_NANOS;
        if (!growthPaused && idleNanos > (cautious ? cautiousNanos() : nanos) / 2) {
            nanos = Math.min(maxNanos, (long) (INCREASE_FACTOR * nanos));
        }
    }
}
