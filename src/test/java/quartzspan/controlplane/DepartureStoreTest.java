package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.registry.DepartureRecord;
import quartzspan.registry.RegistryEntry;
import quartzspan.store.MemoryDisk;
import quartzspan.store.PrefixedDisk;
import quartzspan.store.SlotStore;

/** Departed servers on a disk that other stores use too. */
class DepartureStoreTest {
    private static final DepartureRecord CHECKPOINT = new DepartureRecord(true, true, List.of());
    private static final DepartureRecord ADDITION = new DepartureRecord(
            false,
            false,
            List.of(new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 1, RegistryEntry.State.GONE, "s")));

    private final MemoryDisk disk = new MemoryDisk();

    private DepartureStore store() {
        return new DepartureStore(new SlotStore(new PrefixedDisk(disk, "departures-")));
    }

    @Test
    void recordsAreReadAgainInOrder() {
        DepartureStore store = store();
        assertEquals(List.of(), store.open());
        assertFalse(store.isInitialized());
        assertFalse(store.persist(ADDITION), "a checkpoint comes first");
        assertTrue(store.persist(CHECKPOINT));
        assertTrue(store.persist(ADDITION));
        DepartureStore restarted = store();
        assertEquals(List.of(CHECKPOINT, ADDITION), restarted.open());
        assertTrue(restarted.isInitialized());
        assertTrue(restarted.persist(CHECKPOINT));
        assertEquals(List.of(CHECKPOINT), store().open());
    }

    @Test
    void fullDiskRefusesAndTheStoreGoesOnLater() {
        DepartureStore store = store();
        store.open();
        disk.setFull(true);
        assertFalse(store.persist(CHECKPOINT));
        disk.setFull(false);
        assertTrue(store.persist(CHECKPOINT));
        disk.setFull(true);
        assertFalse(store.persist(ADDITION));
        disk.setFull(false);
        assertTrue(store.persist(ADDITION));
        assertEquals(List.of(CHECKPOINT, ADDITION), store().open());
    }

    @Test
    void unreadableRecordsAreDiscarded() {
        SlotStore other = new SlotStore(new PrefixedDisk(disk, "departures-"));
        other.open();
        other.checkpoint(new byte[] {'?'});
        DepartureStore store = store();
        assertEquals(List.of(), store.open());
        assertTrue(store.isDiscarded());
        assertFalse(store.isInitialized());
        assertTrue(store.persist(CHECKPOINT));
        assertEquals(List.of(CHECKPOINT), store().open());
    }

    @Test
    void storesWithOtherPrefixesAreNotAffected() {
        SlotStore other = new SlotStore(disk);
        other.open();
        other.checkpoint(new byte[] {1});
        DepartureStore store = store();
        store.open();
        assertTrue(store.persist(CHECKPOINT));
        assertEquals(1, new SlotStore(disk).open().state().length);
    }
}
