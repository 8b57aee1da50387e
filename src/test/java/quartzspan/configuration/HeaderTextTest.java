package quartzspan.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which texts a header can carry, and as which bytes. */
class HeaderTextTest {
    private static String received(String text) {
        return new String(HeaderText.valueOf(text).getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    @Test
    void recipientReadsTheSameTextAsUtf8() {
        for (String text : List.of("acme", "a b", "Müller", "한진관세", "\uD83D\uDE9A")) {
            assertTrue(HeaderText.isSendable(text), text);
            assertEquals(text, received(text));
        }
    }

    @Test
    void valueThatIsNotUtf8IsItsOwnText() {
        for (String text : List.of("acme", "Müller", "한진관세")) {
            assertEquals(text, HeaderText.textOf(HeaderText.valueOf(text)));
        }
        assertEquals("M\u00fcller", HeaderText.textOf("M\u00fcller"), "a single byte fc");
    }

    @Test
    void textThatReadsAsAnotherOnesUtf8BytesHasAnotherValue() {
        assertNotEquals(HeaderText.valueOf("ü"), HeaderText.valueOf("Ã¼"));
    }

    @Test
    void textThatARecipientWouldReadDifferentlyIsNotSendable() {
        for (String text : List.of("", " a", "a ", "\ta", "a\nb", "a\rb", "a\u0000", "a\u007f", "\uD800", "a\uDC00b")) {
            assertFalse(HeaderText.isSendable(text), () -> "'" + text + "'");
        }
    }
}
