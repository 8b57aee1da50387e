package quartzspan.soak;

import java.util.concurrent.TimeUnit;

/** Milliseconds since the start of a soak run, by the monotonic clock. */
final class SoakClock {
    private final long startNanos = System.nanoTime();

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
