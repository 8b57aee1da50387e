package quartzspan.soak;

import java.util.concurrent.TimeUnit;

/** The time since a soak began, in milliseconds of the steady clock. */
final class SoakClock {
    private final long startNanos = System.nanoTime();

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
