package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.ChangeHistory.Entry;

/** What a replica's log writes, applies and restores, and which updates it offers to others. */
class ReplicaLogTest {
    private static final Epoch FIRST = new Epoch(1, "a", 1);
    private static final Epoch SECOND = new Epoch(2, "b", 1);

    private final RecordingOutput output = new RecordingOutput();
    private final DiskQueue disk = new DiskQueue(output);
    private final ReplicaLog log = new ReplicaLog(disk);
    private boolean completed;

    private static ControlState claimed(int times) {
        ControlState state = ControlState.EMPTY;
        for (int i = 0; i < times; i++) {
            state = state.with(claim());
        }
        return state;
    }

    private static Change claim() {
        return claim("holder");
    }

    private static Change claim(String holder) {
        return new Change(Change.Kind.ROLLOUT_CLAIM, 0, holder.getBytes(StandardCharsets.UTF_8));
    }

    private void startAppend(StateUpdate update) {
        completed = false;
        log.append(0, update, log.stateAfter(update), durable -> completed = durable);
    }

    private void finishWrite(boolean durable) {
        disk.onPersisted(0, output.pendingWrites().remove(), durable);
    }

    private void initialize() {
        log.initialize(0, durable -> completed = durable);
        finishWrite(true);
    }

    private void append(StateUpdate update) {
        startAppend(update);
        finishWrite(true);
        assertTrue(completed);
    }

    private char lastRecordTag() {
        return (char) output.records().get(output.records().size() - 1)[0];
    }

    @Test
    void updateIsAppliedOnceItIsDurable() {
        initialize();
        assertTrue(completed);
        assertEquals(0, log.index());
        startAppend(log.nextEntry(FIRST, claim()));
        assertTrue(log.isAppending());
        assertEquals(0, log.index());
        finishWrite(false);
        assertFalse(log.isAppending());
        assertFalse(completed);
        assertEquals(0, log.index(), "the write failed");
        append(log.nextEntry(FIRST, claim()));
        assertEquals(1, log.index());
        assertEquals(FIRST, log.epoch());
        assertEquals("holder", log.state().rolloutHolder());
        assertEquals(1, log.history().lastIndex());
    }

    @Test
    void onlyOneUpdateIsWrittenAtATime() {
        initialize();
        StateUpdate next = log.nextEntry(FIRST, null);
        startAppend(next);
        assertThrows(IllegalStateException.class, () -> startAppend(next));
    }

    @Test
    void updateOfAnotherStateCannotBeAppended() {
        initialize();
        StateUpdate disconnected = StateUpdate.ofEntries(SECOND, 0, List.of(new Entry(1, SECOND, null)));
        assertFalse(log.isApplicable(disconnected));
        assertThrows(IllegalStateException.class, () -> log.append(0, disconnected, log.state(), durable -> {}));
        assertTrue(log.isApplicable(StateUpdate.ofSnapshot(SECOND, 9, ControlState.EMPTY)));
    }

    @Test
    void positionIsIndexAndEpoch() {
        initialize();
        assertTrue(log.isAt(Epoch.INITIAL, 0));
        assertFalse(log.isAt(Epoch.INITIAL, 1));
        assertFalse(log.isAt(FIRST, 0));
    }

    @Test
    void othersGetTheEntriesThatTheyLackOrASnapshot() {
        initialize();
        append(log.nextEntry(FIRST, claim()));
        append(log.nextEntry(FIRST, claim()));
        StateUpdate fromFirst = log.updateFrom(FIRST, 1);
        assertEquals(1, fromFirst.entries().size());
        assertEquals(2, fromFirst.index());
        assertEquals(2, log.updateFrom(Epoch.INITIAL, 0).entries().size());
        StateUpdate unknown = log.updateFrom(SECOND, 1);
        assertTrue(unknown.isSnapshot(), "the other has another state at that index");
        assertEquals(2, unknown.index());
        assertEquals(2, ControlState.parse(unknown.snapshot()).fencingToken());
        assertTrue(log.updateFrom(FIRST, 2).isSnapshot(), "there is no entry to send");
    }

    @Test
    void snapshotReplacesStateAndHistory() {
        initialize();
        append(log.nextEntry(FIRST, claim()));
        append(StateUpdate.ofSnapshot(SECOND, 7, claimed(3)));
        assertEquals(7, log.index());
        assertEquals(3, log.state().fencingToken());
        assertEquals(7, log.history().lastIndex());
        assertTrue(log.updateFrom(FIRST, 1).isSnapshot());
    }

    @Test
    void firstRecordOfAnEmptyLogIsASnapshot() {
        StateUpdate entries = log.nextEntry(FIRST, claim());
        append(entries);
        assertEquals(ReplicaLog.SNAPSHOT_RECORD_TAG, lastRecordTag());
        append(log.nextEntry(FIRST, claim()));
        assertEquals(ReplicaLog.ENTRIES_RECORD_TAG, lastRecordTag());
    }

    /** The number of entries records after a snapshot, up to the next one that is written by itself. */
    private int entriesUntilSnapshot(String holder, int max) {
        for (int count = 0; count < max; count++) {
            append(log.nextEntry(FIRST, claim(holder)));
            if (lastRecordTag() == ReplicaLog.SNAPSHOT_RECORD_TAG) {
                return count;
            }
        }
        return max;
    }

    @Test
    void snapshotIsWrittenAfterTheMaximumNumberOfEntries() {
        initialize();
        assertEquals(ReplicaLog.SNAPSHOT_RECORD_TAG, lastRecordTag());
        assertEquals(257, entriesUntilSnapshot("holder", 400));
        assertEquals(257, entriesUntilSnapshot("holder", 400), "counted from the last snapshot");
    }

    @Test
    void snapshotIsWrittenAfterTheMaximumSizeOfEntries() {
        initialize();
        String tenKilobytes = "x".repeat(10_000);
        assertEquals(7, entriesUntilSnapshot(tenKilobytes, 20));
        assertEquals(7, entriesUntilSnapshot(tenKilobytes, 20), "counted from the last snapshot");
    }

    @Test
    void entriesMayGrowToTheSizeOfALargeSnapshot() {
        initialize();
        String thirtyKilobytes = "x".repeat(30_000);
        byte[] document = ("{\"version\":1,\"routes\":[],\"services\":[],\"padding\":\"" + "x".repeat(150_000) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        ControlState large = ControlState.EMPTY.with(new Change(Change.Kind.REPLACE, 0, document));
        append(StateUpdate.ofSnapshot(FIRST, 5, large));
        assertEquals(5, entriesUntilSnapshot(thirtyKilobytes, 20));
    }

    @Test
    void failedWriteDoesNotCountTowardsTheSize() {
        initialize();
        for (int i = 0; i < 300; i++) {
            startAppend(log.nextEntry(FIRST, claim()));
            finishWrite(false);
        }
        append(log.nextEntry(FIRST, claim()));
        assertEquals(ReplicaLog.ENTRIES_RECORD_TAG, lastRecordTag());
        append(log.nextEntry(FIRST, claim()));
        assertEquals(ReplicaLog.ENTRIES_RECORD_TAG, lastRecordTag());
    }

    @Test
    void restoredLogIsTheSame() {
        initialize();
        append(log.nextEntry(FIRST, claim()));
        append(log.nextEntry(SECOND, null));
        ReplicaLog restored = new ReplicaLog(disk);
        output.records().forEach(restored::restore);
        assertEquals(2, restored.index());
        assertEquals(SECOND, restored.epoch());
        assertEquals(1, restored.state().fencingToken());
        assertEquals(2, restored.updateFrom(Epoch.INITIAL, 0).entries().size());
    }

    @Test
    void restoredEntriesCountTowardsTheNextSnapshot() {
        initialize();
        entriesUntilSnapshot("holder", 200);
        List<byte[]> records = List.copyOf(output.records());
        RecordingOutput laterOutput = new RecordingOutput();
        DiskQueue laterDisk = new DiskQueue(laterOutput);
        ReplicaLog restored = new ReplicaLog(laterDisk);
        records.forEach(restored::restore);
        int count = 0;
        do {
            StateUpdate next = restored.nextEntry(FIRST, claim());
            restored.append(0, next, restored.stateAfter(next), durable -> {});
            laterDisk.onPersisted(0, laterOutput.pendingWrites().remove(), true);
            count++;
        } while (laterOutput.records().get(count - 1)[0] != ReplicaLog.SNAPSHOT_RECORD_TAG);
        assertEquals(257 - 200 + 1, count);
    }

    @Test
    void recordThatDoesNotFollowIsDamage() {
        initialize();
        append(log.nextEntry(FIRST, claim()));
        append(log.nextEntry(FIRST, claim()));
        ReplicaLog restored = new ReplicaLog(disk);
        restored.restore(output.records().get(0));
        FleetException damage = assertThrows(
                FleetException.class, () -> restored.restore(output.records().get(2)));
        assertEquals(FleetException.Code.STORE_DAMAGED, damage.code());
    }

    @Test
    void clearedLogIsEmpty() {
        initialize();
        append(log.nextEntry(FIRST, claim()));
        log.clear();
        assertTrue(log.isAt(Epoch.NONE, -1));
        assertEquals(0, log.state().fencingToken());
        assertEquals(-1, log.history().lastIndex());
    }
}
