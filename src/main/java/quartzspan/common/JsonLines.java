package quartzspan.common;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.EncoderBase;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.nio.charset.StandardCharsets;

/**
 * Configures Logback without a file to log JSON lines to standard error. Reading an XML configuration would be the most
 * expensive part of a start.
 */
public final class JsonLines extends ContextAwareBase implements Configurator {
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setTarget("System.err");
        Encoder encoder = new Encoder();
        encoder.setContext(context);
        encoder.start();
        out.setEncoder(encoder);
        out.start();
        context.getLogger("ROOT").setLevel(Level.INFO);
        context.getLogger("ROOT").addAppender(out);
        context.getLogger("io.netty").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Encodes each log event as a JSON object on a line of its own. */
    static final class Encoder extends EncoderBase<ILoggingEvent> {
        @Override
        public byte[] headerBytes() {
            return new byte[0];
        }

        @Override
        public byte[] encode(ILoggingEvent event) {
            StringBuilder line = new StringBuilder(160);
            line.append("{\"at_ms\":")
                    .append(event.getTimeStamp())
                    .append(",\"level\":\"")
                    .append(event.getLevel())
                    .append("\",\"by\":");
            quote(line, event.getLoggerName());
            line.append(",\"says\":");
            quote(line, event.getFormattedMessage());
            IThrowableProxy throwable = event.getThrowableProxy();
            if (throwable != null) {
                line.append(",\"cause\":");
                quote(
                        line,
                        throwable.getClassName() + ": " + throwable.getMessage()
                                + (throwable.getStackTraceElementProxyArray().length == 0
                                        ? ""
                                        : " " + throwable.getStackTraceElementProxyArray()[0]));
            }
            return line.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] footerBytes() {
            return new byte[0];
        }
    }

    /** Appends a text as a quoted and escaped JSON string. */
    public static void quote(StringBuilder to, String text) {
        to.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ') {
                to.append(String.format("\\u%04x", (int) c));
            } else {
                to.append(c);
            }
        }
        to.append('"');
    }
}
