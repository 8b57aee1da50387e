package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** When a process fetches a newer state, from whom, and which replies it accepts. */
class StateFetchTest {
    private static final long FIRST_NONCE = 1_000;
    private static final long REQUEST_TIMEOUT_MS = 600;
    private static final int MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

    private record Sent(String to, GossipMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final StateFollower follower = new StateFollower(previous -> {});
    private final StateFetch fetch =
            new StateFetch(follower, FIRST_NONCE, (to, message) -> sent.add(new Sent(to, message)));
    private final StateFollower source = new StateFollower(previous -> {});
    private ControlState state = ControlState.EMPTY;

    /** The source has states up to this index, with a delta from each to the next. */
    private void publishUpTo(long index) {
        for (long next = Math.max(0, source.index() + 1); next <= index; next++) {
            String json = "{\"model\":\"m\",\"version\":" + (next + 1) + "}";
            state = state.with(new Change(Change.Kind.WEIGHTS, 0, json.getBytes(StandardCharsets.UTF_8)));
            source.publish(next, state);
        }
    }

    private Sent last() {
        return sent.get(sent.size() - 1);
    }

    private GossipMessage deltasReply(long index, List<StateDelta> deltas) {
        return GossipMessage.fetchReply(last().message().nonce(), index, deltas, SnapshotChunk.NONE);
    }

    private GossipMessage chunkReply(SnapshotChunk chunk) {
        return GossipMessage.fetchReply(last().message().nonce(), source.index(), List.of(), chunk);
    }

    private Snapshot snapshot() {
        return Snapshot.of(source.index(), source.state());
    }

    /** The process has the state at index 0, and the source those up to 3. */
    private void startBehind() {
        publishUpTo(0);
        follower.install(snapshot());
        publishUpTo(3);
    }

    @Test
    void firstStateIsFetchedAtOnce() {
        fetch.onIndex(0, "a", 5, false);
        assertEquals("a", last().to());
        assertEquals(FIRST_NONCE + 1, last().message().nonce());
        assertEquals(-1, last().message().stateIndex());
        assertEquals(SnapshotChunk.DELTAS_OR_SNAPSHOT, last().message().chunk().index());
        fetch.onIndex(0, "b", 6, true);
        assertEquals(1, sent.size(), "one fetch at a time");
    }

    @Test
    void laterStatesAreFetchedByATickUnlessDeltasAreMissing() {
        startBehind();
        fetch.onIndex(0, "a", 0, true);
        assertNull(fetch.onTick(0));
        assertEquals(List.of(), sent, "it is no newer");
        fetch.onIndex(0, "a", 3, false);
        assertEquals(List.of(), sent);
        assertNull(fetch.onTick(50));
        assertEquals("a", last().to());
        assertEquals(0, last().message().stateIndex());
    }

    @Test
    void missingDeltasAreFetchedAtOnce() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        assertEquals("a", last().to());
    }

    @Test
    void newestStateIsFetchedFromThatWhichAnnouncedItFirst() {
        startBehind();
        fetch.onIndex(0, "a", 2, false);
        fetch.onIndex(0, "b", 3, false);
        fetch.onIndex(0, "c", 3, false);
        fetch.onTick(50);
        assertEquals("b", last().to());
    }

    @Test
    void stateThatArrivedMeanwhileIsNotFetched() {
        startBehind();
        fetch.onIndex(0, "a", 3, false);
        follower.apply(source.deltasSince(0));
        fetch.onTick(50);
        assertEquals(List.of(), sent);
    }

    @Test
    void requestTimesOutAndAnotherProcessIsAsked() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        fetch.onIndex(10, "b", 4, false);
        assertNull(fetch.onTick(REQUEST_TIMEOUT_MS));
        assertEquals("a", fetch.onTick(REQUEST_TIMEOUT_MS + 1));
        assertEquals(1, sent.size());
        assertNull(fetch.onTick(REQUEST_TIMEOUT_MS + 50));
        assertEquals("b", last().to());
        assertEquals(2, sent.size());
        fetch.onTick(REQUEST_TIMEOUT_MS + 100);
        assertEquals(2, sent.size(), "the request is open");
    }

    @Test
    void deltasOfTheReplyAreApplied() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        assertTrue(fetch.onFetchReply(10, "a", deltasReply(3, source.deltasSince(0))));
        assertEquals(3, follower.index());
        fetch.onTick(50);
        assertEquals(1, sent.size());
    }

    @Test
    void replyOfAnotherProcessOrToAnotherRequestIsIgnored() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        assertFalse(fetch.onFetchReply(10, "b", deltasReply(3, source.deltasSince(0))));
        GossipMessage other = GossipMessage.fetchReply(FIRST_NONCE, 3, source.deltasSince(0), SnapshotChunk.NONE);
        assertFalse(fetch.onFetchReply(10, "a", other));
        assertEquals(0, follower.index());
        fetch.onFetchReply(10, "a", deltasReply(3, source.deltasSince(0)));
        assertFalse(fetch.onFetchReply(20, "a", deltasReply(3, source.deltasSince(0))), "the same reply again");
    }

    @Test
    void furtherDeltasAreRequestedIfTheSourceHasAdvanced() {
        startBehind();
        fetch.onIndex(0, "a", 2, true);
        assertTrue(
                fetch.onFetchReply(10, "a", deltasReply(3, source.deltasSince(0).subList(0, 2))));
        assertEquals(2, sent.size());
        assertEquals(2, last().message().stateIndex());
        assertEquals(SnapshotChunk.DELTAS_OR_SNAPSHOT, last().message().chunk().index());
    }

    @Test
    void snapshotIsRequestedIfDeltasDoNotApply() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        assertFalse(fetch.onFetchReply(10, "a", deltasReply(3, List.of(new StateDelta(0, 3, new byte[] {1})))));
        assertEquals(SnapshotChunk.SNAPSHOT_ONLY, last().message().chunk().index());
        SnapshotChunk whole = snapshot().chunk(0);
        assertTrue(fetch.onFetchReply(20, "a", chunkReply(whole)));
        assertEquals(3, follower.index());
        publishUpTo(4);
        fetch.onIndex(30, "a", 4, true);
        assertEquals(SnapshotChunk.DELTAS_OR_SNAPSHOT, last().message().chunk().index(), "deltas are tried again");
    }

    @Test
    void emptyReplyIsNoReasonForASnapshot() {
        startBehind();
        fetch.onIndex(0, "a", 3, true);
        fetch.onFetchReply(10, "a", deltasReply(3, List.of()));
        assertEquals(SnapshotChunk.DELTAS_OR_SNAPSHOT, last().message().chunk().index());
    }

    private SnapshotChunk part(int from, int to) {
        byte[] bytes = snapshot().bytes();
        return new SnapshotChunk(source.index(), from, bytes.length, Arrays.copyOfRange(bytes, from, to));
    }

    @Test
    void chunksAreRequestedOneAfterTheOther() {
        publishUpTo(3);
        int size = snapshot().bytes().length;
        fetch.onIndex(0, "a", 3, false);
        assertFalse(fetch.onFetchReply(10, "a", chunkReply(part(0, 5))));
        assertEquals(3, last().message().chunk().index());
        assertEquals(5, last().message().chunk().offset());
        assertFalse(fetch.onFetchReply(20, "a", chunkReply(part(5, 9))));
        assertEquals(9, last().message().chunk().offset());
        assertNull(fetch.onTick(20 + REQUEST_TIMEOUT_MS), "the time-out runs from the last request");
        assertTrue(fetch.onFetchReply(30, "a", chunkReply(part(9, size))));
        assertEquals(3, follower.index());
        assertEquals(3, sent.size());
    }

    @Test
    void fetchBeginsAnewWithAnotherSnapshot() {
        publishUpTo(3);
        fetch.onIndex(0, "a", 3, false);
        fetch.onFetchReply(10, "a", chunkReply(part(0, 5)));
        publishUpTo(4);
        int size = snapshot().bytes().length;
        fetch.onFetchReply(20, "a", chunkReply(part(0, 6)));
        assertEquals(6, last().message().chunk().offset());
        assertTrue(fetch.onFetchReply(30, "a", chunkReply(part(6, size))));
        assertEquals(4, follower.index());
    }

    @Test
    void chunkThatDoesNotFollowEndsTheFetch() {
        publishUpTo(3);
        fetch.onIndex(0, "a", 3, false);
        fetch.onFetchReply(10, "a", chunkReply(part(0, 5)));
        assertFalse(fetch.onFetchReply(20, "a", chunkReply(part(6, 9))));
        int requests = sent.size();
        assertFalse(fetch.onFetchReply(30, "a", chunkReply(part(5, 9))), "the fetch has ended");
        assertEquals(requests, sent.size());
        fetch.onTick(40);
        assertEquals(0, last().message().chunk().offset());
        assertEquals(requests + 1, sent.size());
    }

    @Test
    void chunkOfAnotherSnapshotEndsTheFetch() {
        publishUpTo(3);
        fetch.onIndex(0, "a", 3, false);
        fetch.onFetchReply(10, "a", chunkReply(part(0, 5)));
        int requests = sent.size();
        publishUpTo(4);
        assertFalse(fetch.onFetchReply(20, "a", chunkReply(part(5, 9))));
        assertEquals(requests, sent.size());
    }

    @Test
    void snapshotAboveTheMaximumSizeIsNotFetched() {
        publishUpTo(3);
        fetch.onIndex(0, "a", 3, false);
        assertFalse(fetch.onFetchReply(
                10, "a", chunkReply(new SnapshotChunk(3, 0, MAX_SNAPSHOT_BYTES + 1, new byte[] {1}))));
        assertEquals(1, sent.size());
        fetch.onTick(50);
        assertFalse(
                fetch.onFetchReply(60, "a", chunkReply(new SnapshotChunk(3, 0, MAX_SNAPSHOT_BYTES, new byte[] {1}))));
        assertEquals(3, sent.size(), "the largest one is");
    }

    @Test
    void malformedSnapshotIsDiscarded() {
        publishUpTo(3);
        fetch.onIndex(0, "a", 3, false);
        assertFalse(fetch.onFetchReply(10, "a", chunkReply(new SnapshotChunk(3, 0, 2, new byte[] {1, 2}))));
        assertEquals(-1, follower.index());
        assertEquals(1, sent.size());
    }

    @Test
    void deltasAreRequestedAfterASnapshotOfAnOlderState() {
        publishUpTo(3);
        SnapshotChunk older = snapshot().chunk(0);
        publishUpTo(4);
        fetch.onIndex(0, "a", 4, false);
        assertTrue(fetch.onFetchReply(10, "a", chunkReply(older)));
        assertEquals(3, follower.index());
        assertEquals(2, sent.size());
        assertEquals(3, last().message().stateIndex());
    }
}
