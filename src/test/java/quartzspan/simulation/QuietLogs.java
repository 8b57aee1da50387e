package quartzspan.simulation;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Suppresses the log lines of simulated processes until it is closed. */
final class QuietLogs implements AutoCloseable {
    private final Logger logger = (Logger) LoggerFactory.getLogger("quartzspan.controlplane");
    private final Level previous = logger.getLevel();

    QuietLogs() {
        logger.setLevel(Level.ERROR);
    }

    @Override
    public void close() {
        logger.setLevel(previous);
    }
}
