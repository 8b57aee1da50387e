package quartzspan.http;

/**
 * Time in microseconds since the Unix epoch, comparable with a server's {@code started_ms}. The wall clock is read once; from
 * then on the time advances with {@link System#nanoTime}, which is monotonic and unaffected by clock adjustments.
 */
public final class Clock {
    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    /** The current time, microseconds since the epoch. */
    public long now() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }
}
