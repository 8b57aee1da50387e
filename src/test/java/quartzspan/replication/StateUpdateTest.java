package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.ChangeHistory.Entry;

/** The encoding of log updates and changes, and that damaged bytes are rejected as such. */
class StateUpdateTest {
    private static final Epoch EPOCH = new Epoch(3, "a", 7);
    private static final int EPOCH_BYTES = EPOCH.text().length();
    private static final int EPOCH_LENGTH_OFFSET = 1;
    private static final int BASE_EPOCH_LENGTH_OFFSET = 1 + 2 + EPOCH_BYTES + 8;
    private static final int COUNT_OFFSET = BASE_EPOCH_LENGTH_OFFSET + 2 + EPOCH_BYTES + 8;
    private static final Change CHANGE = new Change(Change.Kind.WEIGHTS, 4, new byte[] {1, 2, 3});

    private static StateUpdate entries() {
        return StateUpdate.ofEntries(EPOCH, 8, List.of(new Entry(9, EPOCH, CHANGE), new Entry(10, EPOCH, null)));
    }

    private static void assertMalformed(byte[] bytes) {
        FleetException malformed = assertThrows(FleetException.class, () -> StateUpdate.parse(bytes));
        assertEquals(FleetException.Code.MESSAGE_INVALID, malformed.code());
    }

    private static byte[] withInt(byte[] bytes, int offset, int value) {
        byte[] changed = bytes.clone();
        ByteBuffer.wrap(changed).putInt(offset, value);
        return changed;
    }

    private static byte[] withShort(byte[] bytes, int offset, int value) {
        byte[] changed = bytes.clone();
        ByteBuffer.wrap(changed).putShort(offset, (short) value);
        return changed;
    }

    @Test
    void entriesAreReadAsTheyWereWritten() {
        StateUpdate read = StateUpdate.parse(entries().bytes());
        assertEquals(EPOCH, read.epoch());
        assertEquals(10, read.index());
        assertEquals(EPOCH, read.baseEpoch());
        assertEquals(8, read.baseIndex());
        assertNull(read.snapshot());
        assertEquals(List.of(9L, 10L), read.entries().stream().map(Entry::index).toList());
        assertArrayEquals(CHANGE.bytes(), read.entries().get(0).change().bytes());
        assertNull(read.entries().get(1).change());
        assertArrayEquals(entries().bytes(), read.bytes());
    }

    @Test
    void snapshotIsReadAsItWasWritten() {
        StateUpdate snapshot = StateUpdate.ofSnapshot(EPOCH, 12, ControlState.EMPTY);
        StateUpdate read = StateUpdate.parse(snapshot.bytes());
        assertEquals(12, read.index());
        assertArrayEquals(ControlState.EMPTY.bytes(), read.snapshot());
        assertEquals(List.of(), read.entries());
    }

    @Test
    void truncatedUpdateIsRejected() {
        for (byte[] bytes : List.of(
                entries().bytes(),
                StateUpdate.ofSnapshot(EPOCH, 1, ControlState.EMPTY).bytes())) {
            for (int length = 0; length < bytes.length; length++) {
                assertMalformed(Arrays.copyOf(bytes, length));
            }
        }
    }

    @Test
    void impossibleLengthsAreRejected() {
        byte[] bytes = entries().bytes();
        for (int count : new int[] {0, -1, 100, Integer.MAX_VALUE}) {
            assertMalformed(withInt(bytes, COUNT_OFFSET, count));
        }
        byte[] snapshot = StateUpdate.ofSnapshot(EPOCH, 1, ControlState.EMPTY).bytes();
        int snapshotLengthOffset = snapshot.length - ControlState.EMPTY.bytes().length - Integer.BYTES;
        assertMalformed(withInt(snapshot, snapshotLengthOffset, -1));
        assertMalformed(withInt(snapshot, snapshotLengthOffset, Integer.MAX_VALUE));
        for (int offset : new int[] {EPOCH_LENGTH_OFFSET, BASE_EPOCH_LENGTH_OFFSET}) {
            assertMalformed(withShort(bytes, offset, -1));
            assertMalformed(withShort(bytes, offset, Short.MAX_VALUE));
        }
    }

    @Test
    void unknownTagIsRejected() {
        byte[] bytes = entries().bytes();
        bytes[0] = 'X';
        assertMalformed(bytes);
    }

    @Test
    void invalidEpochIsRejected() {
        byte[] bytes = entries().bytes();
        bytes[EPOCH_LENGTH_OFFSET + 2] = 'x';
        assertMalformed(bytes);
    }

    @Test
    void entriesWithAGapAreRejected() {
        List<Entry> gap = List.of(new Entry(9, EPOCH, null), new Entry(11, EPOCH, null));
        assertMalformed(StateUpdate.ofEntries(EPOCH, 8, gap).bytes());
    }

    @Test
    void changeIsReadAsItWasWritten() {
        Change read = Change.parse(CHANGE.bytes());
        assertEquals(Change.Kind.WEIGHTS, read.kind());
        assertEquals(4, read.baseVersion());
        assertArrayEquals(new byte[] {1, 2, 3}, read.body());
    }

    @Test
    void malformedChangeIsRejected() {
        byte[] bytes = CHANGE.bytes();
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThrows(FleetException.class, () -> Change.parse(cut), length + " bytes");
        }
        for (int kind : new int[] {-1, Change.Kind.values().length}) {
            byte[] damaged = bytes.clone();
            damaged[0] = (byte) kind;
            assertEquals(
                    FleetException.Code.MESSAGE_INVALID,
                    assertThrows(FleetException.class, () -> Change.parse(damaged))
                            .code());
        }
        byte[] negativeLength = withInt(bytes, 1 + Long.BYTES, -1);
        assertEquals(
                FleetException.Code.MESSAGE_INVALID,
                assertThrows(FleetException.class, () -> Change.parse(negativeLength))
                        .code());
    }
}
