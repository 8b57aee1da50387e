package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** The encoding of stored departures, which later versions have to read. */
class DepartureRecordTest {
    private static final RegistryEntry DRAINING =
            new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 3, RegistryEntry.State.DRAINING, "s");
    private static final RegistryEntry GONE =
            new RegistryEntry(RegistryEntry.Subject.SERVER, "j", 258, RegistryEntry.State.GONE, "");

    private static void assertEncoding(String hex, DepartureRecord record) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        assertArrayEquals(bytes, record.bytes());
        assertEquals(record, DepartureRecord.parse(bytes));
    }

    @Test
    void encodingStaysTheSame() {
        assertEncoding("4300000000", DepartureRecord.checkpoint(true, List.of()));
        assertEncoding("4900000000", DepartureRecord.checkpoint(false, List.of()));
        assertEncoding(
                "4500000002" + "640001690000000000000003000173" + "6700016a00000000000001020000",
                DepartureRecord.addition(List.of(DRAINING, GONE)));
    }

    @Test
    void anythingElseIsDamaged() {
        for (String hex : List.of("", "00", "5800000000", "4500000001", "45000000016400016900")) {
            byte[] bytes = HexFormat.of().parseHex(hex);
            FleetException failure = assertThrows(FleetException.class, () -> DepartureRecord.parse(bytes), hex);
            assertEquals(FleetException.Code.STORE_DAMAGED, failure.code());
        }
    }
}
