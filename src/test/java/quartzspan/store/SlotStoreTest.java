package quartzspan.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.common.FleetException;

/** The contract of a store on any disk, and its behaviour on disks that fail. */
class SlotStoreTest {
    @TempDir
    Path directory;

    private static byte[] bytes(int n, int length) {
        byte[] b = new byte[length];
        new SplittableRandom(n).nextBytes(b);
        b[0] = (byte) n;
        return b;
    }

    @Test
    void memoryDiskMeetsTheContract() {
        MemoryDisk disk = new MemoryDisk();
        assertMeetsContract(reopened -> disk);
    }

    @Test
    void fileDiskMeetsTheContract() {
        assertMeetsContract(reopened -> new FileDisk(directory.resolve("kept")));
    }

    private static void assertMeetsContract(Function<Boolean, Disk> disks) {
        SlotStore store = new SlotStore(disks.apply(false));
        assertNull(store.open().state());
        assertThrows(IllegalStateException.class, () -> store.append(bytes(1, 3)));
        store.checkpoint(bytes(1, 100));
        store.append(bytes(2, 5));
        store.append(bytes(3, 5_000));
        SlotStore second = new SlotStore(disks.apply(true));
        SlotStore.Contents contents = second.open();
        assertArrayEquals(bytes(1, 100), contents.state());
        assertEquals(2, contents.records().size());
        assertArrayEquals(bytes(3, 5_000), contents.records().get(1));
        second.append(bytes(4, 7));
        second.checkpoint(bytes(5, 20));
        second.append(bytes(6, 1));
        second.checkpoint(bytes(7, 2_000));
        SlotStore.Contents last = new SlotStore(disks.apply(true)).open();
        assertArrayEquals(bytes(7, 2_000), last.state());
        assertTrue(last.records().isEmpty());
        SlotStore third = new SlotStore(disks.apply(true));
        third.open();
        third.discard();
        assertNull(new SlotStore(disks.apply(true)).open().state());
    }

    /** Completed operations survive a power loss; one in progress is recovered completely or not at all. */
    @Test
    void recoversFromPowerLossBetweenAnyTwoOperations() {
        for (int operations = 0; operations < 45; operations++) {
            for (int seed = 0; seed < 40; seed++) {
                MemoryDisk disk = new MemoryDisk();
                disk.powerLossAfterOperations = operations;
                List<byte[]> completed = new ArrayList<>();
                byte[] inProgress = null;
                SlotStore store = new SlotStore(disk);
                store.open();
                try {
                    for (int n = 1; n < 12; n++) {
                        inProgress = bytes(n, 10 + 37 * n);
                        if (n % 4 == 1) {
                            store.checkpoint(inProgress);
                        } else {
                            store.append(inProgress);
                        }
                        completed.add(inProgress);
                        inProgress = null;
                    }
                } catch (MemoryDisk.PowerLoss powerLoss) {
                    // The contents after the power loss are checked below.
                }
                SlotStore.Contents contents = new SlotStore(disk.afterPowerLoss(new SplittableRandom(seed))).open();
                List<byte[]> all = new ArrayList<>();
                if (contents.state() != null) {
                    all.add(contents.state());
                }
                all.addAll(contents.records());
                byte[] newest = all.isEmpty() ? null : all.get(all.size() - 1);
                byte[] expected = completed.isEmpty() ? null : completed.get(completed.size() - 1);
                boolean recovered = java.util.Arrays.equals(newest, expected)
                        || inProgress != null && java.util.Arrays.equals(newest, inProgress);
                assertTrue(recovered, "power loss after operation " + operations + ", seed " + seed);
            }
        }
    }

    @Test
    void writesToAFullDiskFailWithoutLosingData() {
        MemoryDisk disk = new MemoryDisk();
        SlotStore store = new SlotStore(disk);
        store.open();
        store.checkpoint(bytes(1, 50));
        store.append(bytes(2, 50));
        disk.setFull(true);
        assertThrows(FleetException.class, () -> store.append(bytes(3, 400)));
        assertThrows(FleetException.class, () -> store.checkpoint(bytes(4, 400)));
        assertThrows(FleetException.class, () -> store.append(bytes(5, 10)));
        assertEquals(1, new SlotStore(disk).open().records().size());
        disk.setFull(false);
        store.append(bytes(6, 9));
        SlotStore.Contents contents = new SlotStore(disk).open();
        assertArrayEquals(bytes(1, 50), contents.state());
        assertEquals(2, contents.records().size());
        assertArrayEquals(bytes(6, 9), contents.records().get(1));
    }

    /** A flipped bit in synced data is detected: an older state is never returned as the newest. */
    @Test
    void flippedBitIsDetected() {
        MemoryDisk disk = new MemoryDisk();
        SlotStore store = new SlotStore(disk);
        store.open();
        store.checkpoint(bytes(1, 30));
        store.append(bytes(2, 20));
        store.append(bytes(3, 20));
        int last = 8 + 28;
        byte[] log = disk.rawBytes("log");
        for (int i = 8; i < log.length; i++) {
            log[i] ^= 4;
            if (i < last) {
                assertThrows(FleetException.class, () -> new SlotStore(disk).open(), "byte " + i);
            } else {
                // An invalid last record can't be distinguished from one that was torn before it was acknowledged.
                assertEquals(1, new SlotStore(disk).open().records().size());
            }
            log[i] ^= 4;
        }
        byte[] slot = disk.rawBytes("slot-b");
        for (int i = 0; i < slot.length; i++) {
            slot[i] ^= 4;
            assertThrows(FleetException.class, () -> new SlotStore(disk).open(), "byte " + i);
            slot[i] ^= 4;
        }
    }

    /** A process is killed between a write and its sync, the next process reads the record, and then power is lost. */
    @Test
    void unsyncedRecordsThatWereReadSurviveAPowerLoss() {
        for (int seed = 0; seed < 200; seed++) {
            MemoryDisk disk = new MemoryDisk();
            SlotStore killed = new SlotStore(disk);
            killed.open();
            killed.checkpoint(bytes(1, 100));
            disk.powerLossAfterOperations = disk.operations + 1;
            assertThrows(MemoryDisk.PowerLoss.class, () -> killed.append(bytes(2, 50)));
            disk.powerLossAfterOperations = -1;
            SlotStore.Contents read = new SlotStore(disk).open();
            assertEquals(1, read.records().size());
            SlotStore.Contents after = new SlotStore(disk.afterPowerLoss(new SplittableRandom(seed))).open();
            assertEquals(1, after.records().size(), "seed " + seed);
            assertArrayEquals(bytes(2, 50), after.records().get(0));
        }
    }
}
