package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Headers that a Connection header names are not copied, whatever the case of their names. */
class HopByHopHeadersTest {
    @Test
    void namedHeadersAreLeftOutAndTheOthersKeepTheirOrder() {
        HttpHeaders received = new DefaultHttpHeaders()
                .add("X-A", "1")
                .add("x-b", "2")
                .add("X-A", "3")
                .add("Connection", "close, X-B")
                .add("Connection", "x-c")
                .add("X-C", "4")
                .add("X-D", "5");
        HttpHeaders copied = HopByHopHeaders.withoutConnectionOptions(received);
        assertEquals(List.of("1", "3"), copied.getAll("x-a"));
        assertFalse(copied.contains("X-B"));
        assertFalse(copied.contains("X-C"));
        assertEquals("5", copied.get("X-D"));
        assertEquals("2", received.get("X-B"), "the received headers are unchanged");
    }

    @Test
    void withoutOptionsAllAreCopied() {
        HttpHeaders received = new DefaultHttpHeaders().add("X-A", "1");
        HttpHeaders copied = HopByHopHeaders.withoutConnectionOptions(received);
        copied.remove("X-A");
        assertTrue(received.contains("X-A"));
    }
}
