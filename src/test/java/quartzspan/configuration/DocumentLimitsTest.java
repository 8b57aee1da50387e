package quartzspan.configuration;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** Documents are refused by what their parsed form would take, before they are parsed. */
class DocumentLimitsTest {
    private static final DocumentLimits LIMITS = new DocumentLimits(10, 8);

    private static void check(String document) {
        LIMITS.check(document.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertTooLarge(String document) {
        FleetException refusal = assertThrows(FleetException.class, () -> check(document), document);
        assertEquals(FleetException.Code.DOCUMENT_TOO_LARGE, refusal.code());
    }

    @Test
    void valuesAreCountedWithTheNamesOfFields() {
        assertDoesNotThrow(() -> check("{\"a\":1,\"b\":[true,null,\"x\",{}]}"));
        assertDoesNotThrow(() -> check("[1,2,3,4,5,6,7,8,9]"));
        assertTooLarge("[1,2,3,4,5,6,7,8,9,0]");
        assertTooLarge("{},".repeat(11));
        assertTooLarge("[".repeat(11));
    }

    @Test
    void separatorsWithinStringsAreNotValues() {
        assertDoesNotThrow(() -> check("[\"{[,:\\\"\",\"{[,:\"]"));
    }

    @Test
    void longStringsAndNumbersAreTooLarge() {
        assertDoesNotThrow(() -> check("[\"123456\",1234567]"));
        assertTooLarge("[\"12345678\"]");
        assertTooLarge("[123456789]");
        assertTooLarge("[\"" + "\\\"".repeat(9));
    }
}
