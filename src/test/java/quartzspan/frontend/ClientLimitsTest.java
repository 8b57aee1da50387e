package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quartzspan.configuration.Configuration;
import quartzspan.http.ConnectionLimits;

/** The limits on clients that follow from a configuration. */
class ClientLimitsTest {
    private static final ProxyMemory MEMORY = new ProxyMemory(100, 1_000_000);

    private static ConnectionLimits of(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
        return ClientLimits.of(
                MEMORY, new Configuration.Limits(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs));
    }

    @Test
    void clientsHaveAMarginBeyondTheLimitsTheyAreTold() {
        assertEquals(
                new ConnectionLimits(100, 17_408, 4_194_304, 20_000, 10_000, 1_000_000),
                of(16_384, 4_194_304, 3_000, 15_000));
        assertEquals(12_000, of(16_384, 4_194_304, 12_000, 15_000).requestTimeoutMs());
    }

    /** Guards against a limit that overflows: no new connection could be set up. */
    @Test
    void largestLimitsOfAConfigurationAreUsable() {
        int max = Integer.MAX_VALUE;
        assertEquals(new ConnectionLimits(100, max, max, max + 5_000L, max, 1_000_000), of(max, max, max, max));
    }
}
