package quartzspan.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which settings files are accepted, and whether errors name the invalid field. */
class SettingsTest {
    private static final String VALID_SETTINGS = String.join(
            "\n",
            "node_name: \"n1\"",
            "ip_address: \"10.1.0.23\"",
            "zone: \"z\"",
            "zones:",
            "  z: \"r\"",
            "listen_addresses:",
            "  frontend: \"10.1.0.23:8167\"",
            "internal_ports:",
            "  - 7640",
            "  - 7655",
            "seed_nodes:",
            "  - \"10.1.0.25:8169\"",
            "bootstrap: true",
            "limits:",
            "  memory_mb: 430",
            "  file_descriptors: 4100",
            "data_directory: null",
            "heartbeat_ms: 1200",
            "fault_tolerance:",
            "  machines: 1",
            "bounds:",
            "  grace_period_s: 8",
            "  retry_budget_ratio: 0.2",
            "  later: 3",
            "unheard_of:",
            "  - 1",
            "");

    @Test
    void unknownFieldsAreIgnored() {
        Settings settings = Settings.parse(VALID_SETTINGS);
        assertEquals(
                "10.1.0.23:7640",
                settings.internalAddress().getHostString()
                        + ':'
                        + settings.internalAddress().getPort());
        assertEquals(1, settings.toleratedFailures());
        assertEquals(0.2, settings.bounds().retryBudgetRatio());
        assertNull(settings.dataDirectory());
        assertTrue(assertThrows(FleetException.class, settings::requiredDataDirectory)
                .getMessage()
                .contains("data_directory"));
        assertEquals(
                FleetException.Code.SETTINGS_INVALID,
                FleetException.findIn(new java.util.concurrent.ExecutionException(
                                assertThrows(FleetException.class, settings::requiredDataDirectory)))
                        .code(),
                "the cause of an ExecutionException, as an event loop throws it");
        assertNull(FleetException.findIn(new IllegalStateException("not a FleetException")));
        assertTrue(assertThrows(FleetException.class, () -> settings.listenAddress("control_plane"))
                .getMessage()
                .contains("control_plane"));
    }

    @Test
    void missingAndInvalidFieldsAreRefusedByName() {
        for (String[] invalid : List.of(
                new String[] {"node_name: \"n1\"", "", "node_name"},
                new String[] {"  - 7640", "  - 99999", "internal_ports"},
                new String[] {"  - 7655", "  - 7000", "internal_ports"},
                new String[] {"\"10.1.0.25:8169\"", "\"somewhere:1\"", "seed_nodes"},
                new String[] {"memory_mb: 430", "memory_mb: 0", "limits.memory_mb"},
                new String[] {"bootstrap: true", "bootstrap: 3", "bootstrap"},
                new String[] {"grace_period_s: 8", "grace_period_s: -8", "bounds.grace_period_s"},
                new String[] {"zones:\n  z: \"r\"", "zones: 3", "zones"},
                new String[] {"limits:", "limits: [", "the file"})) {
            FleetException refusal = assertThrows(
                    FleetException.class,
                    () -> Settings.parse(VALID_SETTINGS.replace(invalid[0], invalid[1])),
                    invalid[2]);
            assertTrue(refusal.getMessage().startsWith(invalid[2]), refusal.getMessage());
            assertEquals(FleetException.Code.SETTINGS_INVALID, refusal.code());
        }
    }
}
