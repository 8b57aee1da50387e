package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which departures of servers are written to the disk, and when they count as durable. */
class DepartureLogTest {
    private static final String TEXT = "s\t10.0.0.9:80\tz\tm\t1\t0";

    private final Registry registry = new Registry();
    private final List<DepartureRecord> persisted = new ArrayList<>();
    private final List<String> done = new ArrayList<>();
    private DepartureLog log = new DepartureLog(0, registry, List.of(), true, persisted::add);

    private static RegistryEntry entry(String id, long seq, RegistryEntry.State state) {
        return new RegistryEntry(RegistryEntry.Subject.SERVER, id, seq, state, TEXT);
    }

    private RegistryEntry merged(String id, long seq, RegistryEntry.State state) {
        RegistryEntry entry = entry(id, seq, state);
        assertTrue(registry.merge(0, entry));
        return entry;
    }

    private void await(RegistryEntry entry) {
        log.whenDurable(0, List.of(entry), () -> done.add(entry.key()));
    }

    /** The records that a store would have after those that were persisted. */
    private static List<DepartureRecord> storedAfter(List<DepartureRecord> records) {
        List<DepartureRecord> stored = new ArrayList<>();
        for (DepartureRecord record : records) {
            if (record.checkpoint()) {
                stored.clear();
            }
            stored.add(DepartureRecord.parse(record.bytes()));
        }
        return stored;
    }

    /** Guards against an acknowledgement of what only the memory of processes holds. */
    @Test
    void departureIsDurableOnlyOnceItsWriteHasSucceeded() {
        RegistryEntry gone = merged("i", 2, RegistryEntry.State.GONE);
        await(gone);
        assertEquals(List.of(), done);
        assertEquals(List.of(gone), persisted.get(0).entries());
        log.onPersisted(1, true);
        assertEquals(List.of("i"), done);
        await(gone);
        assertEquals(List.of("i", "i"), done, "already durable");
        assertEquals(1, persisted.size(), "written once");
    }

    @Test
    void restartedProcessKnowsTheDeparturesOfItsDisk() {
        merged("ready", 1, RegistryEntry.State.READY);
        merged("draining", 1, RegistryEntry.State.DRAINING);
        log.onTick(0);
        merged("gone", 1, RegistryEntry.State.GONE);
        log.onTick(50);
        Registry afterRestart = new Registry();
        log = new DepartureLog(0, afterRestart, storedAfter(persisted), true, persisted::add);
        assertEquals(
                RegistryEntry.State.DRAINING,
                afterRestart.entry(RegistryEntry.Subject.SERVER, "draining").state());
        assertEquals(
                RegistryEntry.State.GONE,
                afterRestart.entry(RegistryEntry.Subject.SERVER, "gone").state());
        assertNull(afterRestart.entry(RegistryEntry.Subject.SERVER, "ready"));
        assertFalse(afterRestart.merge(1, entry("gone", 9, RegistryEntry.State.READY)), "a late heartbeat");
        await(entry("gone", 1, RegistryEntry.State.GONE));
        assertEquals(List.of("gone"), done, "durable since before the restart");
    }

    @Test
    void failedWriteIsRepeatedAndConfirmsNothing() {
        log.onTick(0);
        log.onPersisted(0, true);
        RegistryEntry gone = merged("i", 2, RegistryEntry.State.GONE);
        await(gone);
        log.onPersisted(10, false);
        assertEquals(List.of(), done);
        log.onTick(10 + DepartureLog.RETRY_INTERVAL_MS - 1);
        assertEquals(2, persisted.size(), "not yet");
        log.onTick(10 + DepartureLog.RETRY_INTERVAL_MS);
        assertEquals(3, persisted.size());
        assertTrue(persisted.get(2).checkpoint(), "the disk may have a part of the failed record");
        log.onPersisted(300, true);
        assertEquals(List.of("i"), done);
    }

    @Test
    void laterStateOfTheServerIsAsGood() {
        RegistryEntry draining = merged("i", 2, RegistryEntry.State.DRAINING);
        merged("i", 3, RegistryEntry.State.GONE);
        await(draining);
        log.onPersisted(0, true);
        assertEquals(List.of("i"), done);
    }

    @Test
    void entriesThatAreNoDeparturesNeedNoWrite() {
        await(merged("i", 1, RegistryEntry.State.READY));
        assertEquals(List.of("i"), done);
    }

    /** The entries that the registry drops after some time are dropped from the disk too. */
    @Test
    void obsoleteEntriesLeaveTheDiskWithTheNextCheckpoint() {
        log.onTick(0);
        long now = 0;
        for (int i = 0; i <= DepartureLog.MAX_OBSOLETE_ENTRIES + 1; i++) {
            registry.merge(now, entry("i" + i, 1, RegistryEntry.State.GONE));
            log.onTick(now);
        }
        assertEquals(1, persisted.stream().filter(DepartureRecord::checkpoint).count());
        now += Registry.TOMBSTONE_TTL_MS;
        registry.expire(now);
        registry.merge(now, entry("last", 1, RegistryEntry.State.GONE));
        log.onTick(now);
        List<DepartureRecord> stored = storedAfter(persisted);
        assertEquals(1, stored.size());
        assertEquals(
                List.of("last"),
                stored.get(0).entries().stream().map(RegistryEntry::key).toList());
    }

    @Test
    void actionsThatWaitForAHangingDiskAreBounded() {
        RegistryEntry gone = merged("i", 2, RegistryEntry.State.GONE);
        for (int i = 0; i < 2 * DepartureLog.MAX_WAITING; i++) {
            await(gone);
        }
        assertEquals(1, persisted.size());
        log.onPersisted(0, true);
        assertEquals(DepartureLog.MAX_WAITING, done.size());
    }

    @Test
    void completenessIsStoredOnceCaughtUp() {
        log = new DepartureLog(0, registry, List.of(), false, persisted::add);
        log.onTick(0);
        assertFalse(storedAfter(persisted).get(0).complete());
        log.onCaughtUp(10);
        assertTrue(log.isComplete());
        assertTrue(storedAfter(persisted).get(0).complete());
    }
}
