package quartzspan.common;

import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task that an event loop runs periodically and without which the process can't work.
 *
 * <p>A {@link RuntimeException} is logged, and the next run may succeed. After an {@link Error} (a class that can't be loaded,
 * memory exhausted) the process ends with {@link #EXIT_STATUS}: otherwise the executor would cancel the task without a log entry,
 * and the process would continue to accept connections while its control logic no longer runs.
 */
public final class PeriodicTask implements Runnable {
    /** Exit status after an unrecoverable internal error, as in sysexits.h. */
    public static final int EXIT_STATUS = 70;

    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTask.class);

    private final String name;
    private final Runnable task;
    private final IntConsumer endProcess;

    /** @param name name of the task in the log */
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
            // A single invalid input must not end the process.
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
