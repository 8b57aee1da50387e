package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.replication.ChangeHistory.Entry;

/** Which entries a history retains, and for which states it can bring another replica up to date. */
class ChangeHistoryTest {
    private static final Epoch START = new Epoch(1, "a", 1);
    private static final Epoch LATER = new Epoch(2, "b", 1);
    private static final int HALF_MEBIBYTE = 512 * 1024;

    private final ChangeHistory history = new ChangeHistory(4, START);

    private static Entry entry(long index, Epoch epoch) {
        return new Entry(index, epoch, null);
    }

    private static Entry entryOfSize(long index, int bytes) {
        return new Entry(index, START, new Change(Change.Kind.REPLACE, 0, new byte[bytes]));
    }

    private List<Long> indexesSince(long index, Epoch epoch) {
        List<Entry> since = history.since(index, epoch);
        return since == null ? null : since.stream().map(Entry::index).toList();
    }

    @Test
    void emptyHistoryEndsWhereItStarts() {
        assertEquals(4, history.lastIndex());
        assertEquals(START, history.lastEpoch());
        assertEquals(List.of(), history.since(4, START));
    }

    @Test
    void historyEndsWithItsLastEntry() {
        history.append(entry(5, LATER));
        assertEquals(5, history.lastIndex());
        assertEquals(LATER, history.lastEpoch());
    }

    @Test
    void entryThatDoesNotFollowIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> history.append(entry(4, START)));
        assertThrows(IllegalArgumentException.class, () -> history.append(entry(6, START)));
        assertEquals(4, history.lastIndex());
    }

    @Test
    void entriesAfterAnIndexUpToAnother() {
        for (long index = 5; index <= 8; index++) {
            history.append(entry(index, START));
        }
        assertEquals(
                List.of(6L, 7L),
                history.between(5, 7).stream().map(Entry::index).toList());
        assertEquals(4, history.between(4, 8).size());
        assertEquals(List.of(), history.between(8, 8));
        assertNull(history.between(3, 7), "begins before the history");
        assertNull(history.between(5, 9), "ends after the history");
    }

    @Test
    void stateIsIdentifiedByIndexAndEpoch() {
        history.append(entry(5, START));
        history.append(entry(6, LATER));
        assertEquals(List.of(5L, 6L), indexesSince(4, START));
        assertNull(indexesSince(4, LATER), "another state at the start");
        assertEquals(List.of(6L), indexesSince(5, START));
        assertNull(indexesSince(5, LATER), "another state at that index");
        assertEquals(List.of(), indexesSince(6, LATER));
        assertNull(indexesSince(7, LATER), "after the end");
        assertNull(indexesSince(3, START), "before the start");
    }

    @Test
    void oldestEntriesAreDroppedBeyondTheMaximumNumber() {
        for (long index = 5; index < 5 + 2_048; index++) {
            history.append(entry(index, START));
        }
        assertEquals(2_048, indexesSince(4, START).size());
        history.append(entry(history.lastIndex() + 1, LATER));
        assertNull(indexesSince(4, START));
        assertEquals(2_048, indexesSince(5, START).size());
    }

    @Test
    void oldestEntriesAreDroppedBeyondTheMaximumSize() {
        history.append(entryOfSize(5, HALF_MEBIBYTE));
        history.append(entryOfSize(6, HALF_MEBIBYTE / 2));
        assertEquals(List.of(5L, 6L), indexesSince(4, START));
        history.append(entryOfSize(7, HALF_MEBIBYTE));
        assertNull(indexesSince(4, START));
        assertEquals(List.of(6L, 7L), indexesSince(5, START));
        history.append(entryOfSize(8, HALF_MEBIBYTE / 8));
        assertEquals(List.of(6L, 7L, 8L), indexesSince(5, START), "the dropped entry no longer counts");
    }

    @Test
    void entriesWithoutAChangeCountTheirOverhead() {
        assertEquals(64, entry(1, START).size());
        assertEquals(64 + 13 + 10, entryOfSize(1, 10).size());
    }

    @Test
    void resetDropsTheEntriesAndTheirSize() {
        history.append(entryOfSize(5, HALF_MEBIBYTE));
        history.reset(9, LATER);
        assertEquals(9, history.lastIndex());
        assertNull(indexesSince(4, START));
        history.append(entryOfSize(10, HALF_MEBIBYTE));
        history.append(entryOfSize(11, HALF_MEBIBYTE / 2));
        assertEquals(List.of(10L, 11L), indexesSince(9, LATER));
    }
}
