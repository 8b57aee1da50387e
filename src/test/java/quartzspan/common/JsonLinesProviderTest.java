package quartzspan.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** The log output of the provider that the programs select with {@code -Dslf4j.provider}. */
class JsonLinesProviderTest {
    @Test
    void loggerWritesJsonLinesToStandardError() {
        PrintStream before = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            JsonLinesProvider provider = new JsonLinesProvider();
            provider.initialize();
            Logger log = provider.getLoggerFactory().getLogger("a.b");
            log.info("{} of \"{}\"", 1, "two");
            log.debug("below the log level");
            provider.getLoggerFactory().getLogger("io.netty.x").info("message of a library");
        } finally {
            System.setErr(before);
        }
        String line = written.toString(StandardCharsets.UTF_8);
        assertTrue(line.startsWith("{\"at_ms\":"), line);
        assertTrue(line.endsWith("\"level\":\"INFO\",\"by\":\"a.b\",\"says\":\"1 of \\\"two\\\"\"}\n"), line);
        assertEquals(1, line.lines().count());
    }
}
