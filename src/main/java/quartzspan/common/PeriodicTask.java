package quartzspan.common;

import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task that an event loop runs again and again, and that the process can't do without.
 *
 * <p>A {@link RuntimeException} is logged, and the next run may succeed. After an {@link Error} (a class that can't be loaded, no
 * memory) the process ends with {@link #EXIT_STATUS}: an executor would cancel the task in silence, and the process would go on
 * listening without deciding anything.
 */
public final class PeriodicTask implements Runnable {
    /** Exit status of a process that can't go on: an internal error, as in sysexits.h. */
    public static final int EXIT_STATUS = 70;

    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTask.class);

    private final String name;
    private final Runnable task;
    private final IntConsumer endProcess;

    /** @param name what the task is called in the log */
    public PeriodicTask(String name, Runnable task) {
        this(name, task, Runtime.getRuntime()::halt);
    }

    PeriodicTask(String name, Runnable task, IntConsumer endProcess) {
        this.name = name;
        this.task = task;
        this.endProcess = endProcess;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            // One bad input must not end the process.
            LOG.error("{} failed", name, e);
        } catch (Error e) {
            try {
                LOG.error("{} can't go on, the process ends with status {}", name, EXIT_STATUS, e);
            } finally {
                endProcess.accept(EXIT_STATUS);
            }
        }
    }
}
