package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quartzspan.store.MemoryDisk;
import quartzspan.store.SlotStore;

/** Which records are read back after a restart, also after failed writes and checkpoints. */
class ReplicaStoreTest {
    private static final int KIBIBYTE = 1024;

    private final MemoryDisk disk = new MemoryDisk();
    private SlotStore slots = new SlotStore(disk);
    private ReplicaStore store = new ReplicaStore(slots);

    private static byte[] record(byte tag, String text) {
        return ((char) tag + text).getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] voter(String text) {
        return record(VoterState.RECORD_TAG, text);
    }

    private static byte[] snapshot(String text) {
        return record(ReplicaLog.SNAPSHOT_RECORD_TAG, text);
    }

    private static byte[] entries(String text) {
        return record(ReplicaLog.ENTRIES_RECORD_TAG, text);
    }

    @BeforeEach
    void openEmpty() {
        assertEquals(List.of(), store.open());
    }

    private List<String> reopen() {
        slots = new SlotStore(disk);
        store = new ReplicaStore(slots);
        return store.open().stream()
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .toList();
    }

    /** Makes the next write a checkpoint, with the records that are still needed. */
    private void writeCheckpoint(byte tag) {
        byte[] large = new byte[256 * KIBIBYTE + 1];
        Arrays.fill(large, (byte) 'x');
        large[0] = tag;
        assertTrue(store.persist(large));
    }

    private static List<String> shortened(List<String> records) {
        return records.stream()
                .map(text -> text.substring(0, Math.min(3, text.length())))
                .toList();
    }

    @Test
    void recordsAreReadInTheOrderOfWriting() {
        store.persist(voter("1"));
        store.persist(snapshot("1"));
        store.persist(entries("1"));
        store.persist(voter("2"));
        assertEquals(List.of("V1", "C1", "D1", "V2"), reopen());
    }

    @Test
    void checkpointHoldsTheLatestRecordsOnly() {
        store.persist(voter("1"));
        store.persist(snapshot("1"));
        store.persist(entries("1"));
        store.persist(snapshot("2"));
        store.persist(entries("2"));
        store.persist(entries("3"));
        store.persist(voter("2"));
        writeCheckpoint(ReplicaLog.ENTRIES_RECORD_TAG);
        assertEquals(List.of("V2", "C2", "D2", "D3", "Dxx"), shortened(reopen()));
        store.persist(entries("4"));
        assertEquals(List.of("V2", "C2", "D2", "D3", "Dxx", "D4"), shortened(reopen()));
    }

    @Test
    void recordsReadAtTheStartAreInTheNextCheckpoint() {
        store.persist(voter("1"));
        store.persist(snapshot("1"));
        store.persist(entries("1"));
        reopen();
        writeCheckpoint(VoterState.RECORD_TAG);
        assertEquals(List.of("Vxx", "C1", "D1"), shortened(reopen()));
    }

    @Test
    void smallRecordsAreAppendedAndLargeOnesAreNot() {
        store.persist(voter("1"));
        long before = slots.logBytes();
        byte[] appended = new byte[256 * KIBIBYTE];
        appended[0] = ReplicaLog.ENTRIES_RECORD_TAG;
        store.persist(appended);
        assertTrue(slots.logBytes() > before);
        writeCheckpoint(ReplicaLog.SNAPSHOT_RECORD_TAG);
        assertEquals(before, slots.logBytes(), "the log begins anew");
    }

    @Test
    void logIsBounded() {
        store.persist(voter("1"));
        long empty = slots.logBytes();
        byte[] large = new byte[200 * KIBIBYTE];
        large[0] = VoterState.RECORD_TAG;
        for (int i = 0; i < 6; i++) {
            store.persist(large);
        }
        assertTrue(slots.logBytes() > 1024 * KIBIBYTE);
        store.persist(large);
        assertEquals(empty, slots.logBytes());
    }

    @Test
    void recordWhoseWriteFailedIsInNoLaterCheckpoint() {
        store.persist(voter("1"));
        store.persist(snapshot("1"));
        store.persist(entries("1"));
        disk.setFull(true);
        assertFalse(store.persist(voter("2")));
        assertFalse(store.persist(entries("2")));
        assertFalse(store.persist(snapshot("2")));
        disk.setFull(false);
        writeCheckpoint(ReplicaLog.ENTRIES_RECORD_TAG);
        assertEquals(List.of("V1", "C1", "D1", "Dxx"), shortened(reopen()));
    }

    private void writeAndDiscard() {
        store.persist(voter("1"));
        store.persist(snapshot("1"));
        store.persist(entries("1"));
        assertFalse(store.discarded());
        store.discard();
        assertTrue(store.discarded());
    }

    @Test
    void discardedStoreIsEmpty() {
        writeAndDiscard();
        assertEquals(List.of(), reopen());
    }

    @Test
    void discardedStoreCanBeWritten() {
        writeAndDiscard();
        assertTrue(store.persist(entries("2")));
        assertEquals(List.of("D2"), reopen());
    }
}
