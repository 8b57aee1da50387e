package quartzspan.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whether a process continues or ends after its periodic task has failed. */
class PeriodicTaskTest {
    private final List<Integer> exitStatuses = new ArrayList<>();
    private int runs;

    private PeriodicTask task(Runnable failure) {
        return new PeriodicTask(
                "test",
                () -> {
                    runs++;
                    failure.run();
                },
                exitStatuses::add);
    }

    @Test
    void processContinuesAfterAnException() {
        PeriodicTask task = task(() -> {
            throw new IllegalStateException("bad input");
        });
        task.run();
        task.run();
        assertEquals(2, runs);
        assertEquals(List.of(), exitStatuses);
    }

    @Test
    void processExitsWithItsErrorStatusAfterAnError() {
        task(() -> {
                    throw new NoClassDefFoundError("a class that can't be loaded");
                })
                .run();
        assertEquals(List.of(PeriodicTask.EXIT_STATUS), exitStatuses);
    }
}
