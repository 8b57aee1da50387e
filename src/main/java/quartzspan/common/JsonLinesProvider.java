package quartzspan.common;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Binds SLF4J to a Logback context that {@link JsonLines} configures; selected with {@code -Dslf4j.provider}. Logback's own
 * provider returns the same loggers, but first searches for configuration files and formats its status messages, which takes a
 * tenth of a process's start time.
 */
public final class JsonLinesProvider implements SLF4JServiceProvider {
    private static final String REQUESTED_API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(diagnosticContext);
        JsonLines lines = new JsonLines();
        lines.setContext(context);
        lines.configure(context);
        context.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return diagnosticContext;
    }

    @Override
    public String getRequestedApiVersion() {
        return REQUESTED_API_VERSION;
    }
}
