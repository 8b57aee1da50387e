package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** How the published state advances by deltas and snapshots, and what is offered to other processes. */
class StateFollowerTest {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final List<Long> advances = new ArrayList<>();
    private final StateFollower source = new StateFollower(previous -> {});
    private final StateFollower follower = new StateFollower(advances::add);

    private static ControlState withConfiguration(ControlState state, long version, String padding) {
        String json = "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"padding\":\"" + padding + "\"}";
        return state.with(new Change(
                Change.Kind.REPLACE, state.configuration().version(), json.getBytes(StandardCharsets.UTF_8)));
    }

    private static ControlState withWeights(ControlState state, String model, long version) {
        String json = "{\"model\":\"" + model + "\",\"version\":" + version + "}";
        return state.with(new Change(Change.Kind.WEIGHTS, 0, json.getBytes(StandardCharsets.UTF_8)));
    }

    private static ControlState claimed(ControlState state, String holder) {
        return state.with(new Change(Change.Kind.ROLLOUT_CLAIM, 0, holder.getBytes(StandardCharsets.UTF_8)));
    }

    /** Text that compression does not shorten much. */
    private static String randomText(int length) {
        Random random = new Random(1);
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            text.append((char) ('!' + 2 + random.nextInt(57)));
        }
        return text.toString().replace("\\", "/");
    }

    @Test
    void stateAdvancesWithLaterIndexesOnly() {
        ControlState first = withConfiguration(ControlState.EMPTY, 5, "");
        assertTrue(follower.publish(3, first));
        assertFalse(follower.publish(3, ControlState.EMPTY));
        assertFalse(follower.publish(2, ControlState.EMPTY));
        assertEquals(5, follower.state().configuration().version());
        assertTrue(follower.publish(4, withWeights(first, "m", 2)));
        assertEquals(List.of(-1L, 3L), advances);
    }

    @Test
    void deltasLeadToTheSameState() {
        ControlState state = withConfiguration(ControlState.EMPTY, 5, "");
        source.publish(3, state);
        follower.install(Snapshot.of(3, source.state()));
        state = withWeights(state, "m", 2);
        source.publish(4, state);
        state = claimed(withWeights(state, "n", 1), "core");
        source.publish(6, state);
        state = withConfiguration(state, 7, "");
        source.publish(7, state);
        List<StateDelta> deltas = source.deltasSince(3);
        assertEquals(3, deltas.size());
        assertTrue(follower.apply(deltas));
        assertEquals(7, follower.index());
        assertArrayEquals(source.state().bytes(), follower.state().bytes());
        assertEquals(Map.of("m", 2L, "n", 1L), follower.state().weights());
        assertEquals("core", follower.state().rolloutHolder());
        assertFalse(follower.apply(deltas), "the same deltas again");
        assertEquals(1, follower.deltasSince(6).size(), "it can pass them on");
        assertEquals(List.of(), follower.deltasSince(2));
        assertEquals(List.of(), follower.deltasSince(5));
    }

    @Test
    void onlyDeltasFromTheLocalStateApply() {
        follower.publish(3, ControlState.EMPTY);
        byte[] change = PublishedState.EMPTY.deltaTo(PublishedState.of(withWeights(ControlState.EMPTY, "m", 2)));
        assertFalse(follower.apply(List.of(new StateDelta(2, 4, change), new StateDelta(4, 5, change))));
        assertFalse(follower.apply(List.of(new StateDelta(3, 3, change))));
        assertTrue(follower.apply(List.of(new StateDelta(2, 3, change), new StateDelta(3, 4, change))));
        assertEquals(4, follower.index());
    }

    @Test
    void malformedDeltaKeepsTheLocalState() {
        follower.publish(3, ControlState.EMPTY);
        assertFalse(follower.apply(List.of(new StateDelta(3, 4, new byte[] {1, 2}))));
        assertEquals(3, follower.index());
    }

    @Test
    void largeDeltaIsNotOffered() {
        ControlState state = withConfiguration(ControlState.EMPTY, 5, "");
        source.publish(3, state);
        String sixtyKilobytes = "m".repeat(60_000);
        source.publish(4, withWeights(state, sixtyKilobytes, 1));
        assertEquals(1, source.deltasSince(3).size());
        ControlState twoModels = withWeights(withWeights(state, "a".repeat(40_000), 1), "b".repeat(40_000), 1);
        StateFollower other = new StateFollower(previous -> {});
        other.publish(3, state);
        other.publish(4, withWeights(state, "c", 1));
        other.publish(5, withWeights(twoModels, "c", 1));
        assertEquals(List.of(), other.deltasSince(3), "nor the deltas before it");
        assertEquals(List.of(), other.deltasSince(4));
    }

    @Test
    void removedModelNeedsASnapshot() {
        PublishedState withModel = PublishedState.of(withWeights(ControlState.EMPTY, "m", 2));
        assertNull(withModel.deltaTo(PublishedState.EMPTY));
    }

    @Test
    void numberOfDeltasIsBounded() {
        ControlState state = ControlState.EMPTY;
        source.publish(0, state);
        for (int index = 1; index <= 1_024; index++) {
            state = withWeights(state, "m", index);
            source.publish(index, state);
        }
        assertEquals(1_024, source.deltasSince(0).size());
        source.publish(1_025, withWeights(state, "m", 9_999));
        assertEquals(List.of(), source.deltasSince(0));
        assertEquals(1_024, source.deltasSince(1).size());
    }

    @Test
    void sizeOfDeltasIsBounded() {
        DeltaHistory history = new DeltaHistory();
        byte[] half = new byte[256 * 1024];
        history.append(new StateDelta(0, 1, half));
        history.append(new StateDelta(1, 2, half));
        assertEquals(2, history.deltasSince(0).size());
        history.append(new StateDelta(2, 3, new byte[1]));
        assertEquals(List.of(), history.deltasSince(0));
        assertEquals(2, history.deltasSince(1).size());
        history.append(new StateDelta(7, 8, half));
        assertEquals(List.of(), history.deltasSince(1), "a delta that does not follow begins a new history");
        history.append(new StateDelta(8, 9, half));
        assertEquals(2, history.deltasSince(7).size(), "the size of the cleared deltas does not count");
    }

    @Test
    void laterSnapshotReplacesTheState() {
        ControlState state = withConfiguration(ControlState.EMPTY, 5, "");
        follower.publish(2, ControlState.EMPTY);
        follower.publish(3, state);
        assertFalse(follower.install(Snapshot.of(3, PublishedState.EMPTY)));
        assertTrue(follower.install(Snapshot.of(5, PublishedState.of(withWeights(state, "m", 1)))));
        assertEquals(Map.of("m", 1L), follower.state().weights());
        assertEquals(List.of(), follower.deltasSince(2), "deltas before it lead elsewhere");
    }

    @Test
    void malformedSnapshotIsRejected() {
        byte[] bytes = Snapshot.of(5, PublishedState.EMPTY).bytes();
        for (int length = 0; length < bytes.length; length++) {
            Snapshot cut = new Snapshot(5, Arrays.copyOf(bytes, length));
            assertThrows(FleetException.class, cut::state);
        }
        Snapshot noise = new Snapshot(5, randomText(100).getBytes(StandardCharsets.UTF_8));
        assertEquals(
                FleetException.Code.MESSAGE_INVALID,
                assertThrows(FleetException.class, noise::state).code());
    }

    private byte[] fetchChunks(long index) {
        List<byte[]> chunks = new ArrayList<>();
        int offset = 0;
        SnapshotChunk chunk = source.chunk(-1, SnapshotChunk.request(SnapshotChunk.SNAPSHOT_ONLY, 0));
        while (true) {
            assertEquals(index, chunk.index());
            assertEquals(offset, chunk.offset());
            chunks.add(chunk.bytes());
            offset += chunk.bytes().length;
            if (offset == chunk.totalBytes()) {
                break;
            }
            chunk = source.chunk(-1, SnapshotChunk.request(index, offset));
        }
        byte[] all = new byte[offset];
        int at = 0;
        for (byte[] bytes : chunks) {
            System.arraycopy(bytes, 0, all, at, bytes.length);
            at += bytes.length;
        }
        assertTrue(chunks.size() > 1);
        return all;
    }

    @Test
    void snapshotIsServedInChunks() {
        source.publish(3, withConfiguration(ControlState.EMPTY, 5, randomText(200_000)));
        byte[] all = fetchChunks(3);
        assertTrue(follower.install(new Snapshot(3, all)));
        assertArrayEquals(source.state().bytes(), follower.state().bytes());
        assertTrue(all.length > 2 * MAX_CHUNK_BYTES);
    }

    @Test
    void snapshotThatIsBeingFetchedIsServedToItsEnd() {
        ControlState state = withConfiguration(ControlState.EMPTY, 5, randomText(200_000));
        source.publish(3, state);
        assertEquals(
                3,
                source.chunk(-1, SnapshotChunk.request(SnapshotChunk.SNAPSHOT_ONLY, 0))
                        .index());
        source.publish(4, withWeights(state, "m", 1));
        SnapshotChunk next = source.chunk(-1, SnapshotChunk.request(3, MAX_CHUNK_BYTES));
        assertEquals(3, next.index());
        assertEquals(MAX_CHUNK_BYTES, next.offset());
        SnapshotChunk begun = source.chunk(-1, SnapshotChunk.request(SnapshotChunk.SNAPSHOT_ONLY, 0));
        assertEquals(3, begun.index(), "a delta leads from it to the newest state");
        assertEquals(
                0, source.chunk(-1, SnapshotChunk.request(3, Integer.MAX_VALUE)).offset());
        assertEquals(0, source.chunk(-1, SnapshotChunk.request(3, -1)).offset());
    }

    @Test
    void newSnapshotIsMadeIfNoDeltasFollowTheLastOne() {
        ControlState state = withConfiguration(ControlState.EMPTY, 5, "");
        source.publish(3, state);
        source.chunk(-1, SnapshotChunk.NONE);
        ControlState replaced = withConfiguration(state, 6, randomText(70_000));
        source.publish(4, replaced);
        assertEquals(4, source.chunk(-1, SnapshotChunk.NONE).index());
        source.publish(5, withWeights(replaced, "n", 1));
        assertEquals(5, source.chunk(4, SnapshotChunk.NONE).index(), "the last one is no newer than what is there");
    }

    @Test
    void nothingIsServedToAProcessThatIsUpToDate() {
        source.publish(3, ControlState.EMPTY);
        assertEquals(SnapshotChunk.NONE, source.chunk(3, SnapshotChunk.NONE));
        assertEquals(SnapshotChunk.NONE, source.chunk(4, SnapshotChunk.NONE));
        assertEquals(3, source.chunk(2, SnapshotChunk.NONE).index());
    }
}
