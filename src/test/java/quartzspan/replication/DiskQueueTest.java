package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long the oldest write waits, and that each write is reported once. */
class DiskQueueTest {
    private final RecordingOutput output = new RecordingOutput();
    private final DiskQueue disk = new DiskQueue(output);
    private final List<String> completions = new ArrayList<>();

    private void write(long nowMs, String name) {
        disk.write(nowMs, new byte[] {1}, durable -> completions.add(name + " " + durable));
    }

    @Test
    void ageIsThatOfTheOldestWrite() {
        assertTrue(disk.isIdle());
        assertEquals(0, disk.oldestWriteAgeMs(700), "nothing waits");
        write(1_000, "first");
        write(1_400, "second");
        assertFalse(disk.isIdle());
        assertEquals(500, disk.oldestWriteAgeMs(1_500));
        disk.onPersisted(1_600, 1, true);
        assertEquals(100, disk.oldestWriteAgeMs(1_700), "the disk has begun the second write then");
        disk.onPersisted(1_800, 2, true);
        assertEquals(0, disk.oldestWriteAgeMs(2_500));
        write(3_000, "third");
        assertEquals(10, disk.oldestWriteAgeMs(3_010), "the time before it doesn't count");
    }

    @Test
    void eachWriteIsReportedOnce() {
        write(1_000, "first");
        write(1_000, "second");
        disk.onPersisted(1_100, 1, true);
        disk.onPersisted(1_100, 1, true);
        disk.onPersisted(1_200, 2, false);
        disk.onPersisted(1_300, 9, true);
        assertEquals(List.of("first true", "second false"), completions);
        assertTrue(disk.isIdle());
    }
}
