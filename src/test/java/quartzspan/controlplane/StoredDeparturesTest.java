package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.registry.DepartureRecord;

/** Whether a machine that starts can rely on the departures that its disk has. */
class StoredDeparturesTest {
    private static final List<DepartureRecord> NONE = List.of();

    @Test
    void firstStartOfTheSystemHasNoDepartures() {
        assertEquals(StoredDepartures.FIRST_START, StoredDepartures.of(NONE, false, true, true));
    }

    @Test
    void emptyDiskLaterIsALostOne() {
        StoredDepartures lost = StoredDepartures.of(NONE, false, true, false);
        assertFalse(lost.complete());
        assertFalse(lost.firstStart());
    }

    @Test
    void diskOfAVersionThatStoredNoDeparturesIsNotLost() {
        StoredDepartures earlier = StoredDepartures.of(NONE, false, false, false);
        assertTrue(earlier.complete());
        assertFalse(earlier.firstStart(), "others may have stored some");
        assertFalse(StoredDepartures.of(NONE, false, false, true).firstStart(), "restarted in its first seconds");
    }

    @Test
    void lostDiskStaysIncompleteUntilItsCheckpointSaysOtherwise() {
        DepartureRecord addition = new DepartureRecord(false, false, List.of());
        List<DepartureRecord> incomplete = List.of(new DepartureRecord(true, false, List.of()), addition);
        assertFalse(StoredDepartures.of(incomplete, false, false, false).complete());
        List<DepartureRecord> complete = List.of(new DepartureRecord(true, true, List.of()), addition);
        assertTrue(StoredDepartures.of(complete, false, false, false).complete());
    }

    @Test
    void unreadableRecordsCountAsALostDisk() {
        StoredDepartures discarded = StoredDepartures.of(NONE, true, false, true);
        assertFalse(discarded.complete());
        assertFalse(discarded.firstStart());
    }
}
