package quartzspan.prefixcache;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quartzspan.prefixcache.KvEventReader.Event;
import quartzspan.prefixcache.KvEventReader.NextCall;
import quartzspan.prefixcache.PrefixCacheUpdate.Kind;

/** The index of cached prompt blocks: prefixes, gaps in the updates, restarted servers; and the reader of cache events. */
class PrefixCacheIndexTest {
    private static PrefixCacheUpdate update(Kind kind, long stream, long seq, long block, int tokens) {
        return new PrefixCacheUpdate(kind, "i", stream, seq, new long[] {block}, new int[] {tokens});
    }

    @Test
    void onlyBlocksAfterACompletePrefixCountAsCached() {
        PrefixCacheIndex index = new PrefixCacheIndex();
        index.onPrefill("i", 1, 512);
        index.onPrefill("i", 3, 100);
        assertEquals(512, index.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        index.onPrefill("i", 2, 390);
        assertEquals(
                1_002,
                index.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}),
                "the last tokens of a block are not cached");
        index.onPrefill("i", 1, 128);
        assertEquals(128, index.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        assertEquals(0, index.cachedTokens("j", new long[] {1}, new long[] {512}));
    }

    /** Guards against clients whose prompts are all new. */
    @Test
    void newBlocksTakeThePlaceOfTheOldestOnesOfTheirServer() {
        PrefixCacheIndex index = new PrefixCacheIndex(10);
        index.onPrefill("other", 7, 512);
        for (int block = 1; block <= 1_000; block++) {
            index.onPrefill("i", block, 512);
            assertTrue(index.blockCount() <= 10);
        }
        assertEquals(512, index.cachedTokens("i", new long[] {1_000}, new long[] {512}));
        assertEquals(0, index.cachedTokens("i", new long[] {1}, new long[] {512}));
        assertEquals(512, index.cachedTokens("other", new long[] {7}, new long[] {512}));
        index.onPrefill("i", 1_000, 0);
        assertEquals(9, index.blockCount());
        index.remove("i");
        assertEquals(1, index.blockCount());
        index.apply(0, update(Kind.SNAPSHOT, 1, 1, 5, 512));
        assertEquals(2, index.blockCount());
    }

    @Test
    void gapRequestsASnapshotAndOldUpdatesChangeNothing() {
        PrefixCacheIndex index = new PrefixCacheIndex();
        assertTrue(index.apply(0, update(Kind.DELTA, 5, 4, 1, 10)), "the updates before it are missing");
        assertFalse(index.apply(100, update(Kind.SNAPSHOT, 5, 4, 1, 10)));
        assertFalse(index.apply(10_000, update(Kind.DELTA, 5, 5, 2, 10)));
        assertFalse(index.apply(10_000, update(Kind.DELTA, 5, 5, 2, 0)), "duplicate update");
        assertTrue(index.apply(10_000, update(Kind.DELTA, 5, 7, 3, 10)), "update 6 is missing");
        assertTrue(index.apply(20_000, update(Kind.DELTA, 6, 6, 3, 10)), "stream of another reader");
        assertEquals(2, index.blockCount());
        assertFalse(index.apply(20_100, update(Kind.SNAPSHOT, 6, 9, 9, 10)));
        assertEquals(1, index.blockCount());
        assertEquals(9, index.snapshot("i").seq());
    }

    @Test
    void snapshotIsRequestedOncePerIntervalAndServer() {
        PrefixCacheIndex index = new PrefixCacheIndex();
        long requests = IntStream.range(0, 30)
                .filter(n -> index.apply(100L * n, update(Kind.DELTA, 5, 4 + n, 1, 10)))
                .count();
        assertEquals(2, requests, "snapshot requests in three seconds");
        assertTrue(index.apply(2_900, new PrefixCacheUpdate(Kind.DELTA, "j", 5, 4, new long[] {1}, new int[] {10})));
    }

    @Test
    void saltsSeparateVersionsAndTenants() {
        assertTrue(PrefixCacheIndex.blockHash("v1", "ab", "m") != PrefixCacheIndex.blockHash("v2", "ab", "m"));
        assertTrue(PrefixCacheIndex.blockHash("v1wt", "ab", "m") != PrefixCacheIndex.blockHash("v1", "ab", "m"));
    }

    @Test
    void listIsRequestedOnlyAfterAGapInTheEvents() {
        KvEventReader reader = new KvEventReader("i", 8);
        assertEquals(NextCall.EVENTS, reader.nextCall(0));
        assertEquals(NextCall.NOTHING, reader.nextCall(10_000), "only one call in flight");
        List<PrefixCacheUpdate> updates = reader.onEvents(10, 77, 3, false, List.of(new Event("v1", "ab", 100, "m")));
        assertEquals(
                List.of(Kind.SNAPSHOT),
                updates.stream().map(PrefixCacheUpdate::kind).toList());
        assertEquals(1, updates.get(0).blocks().length);
        assertEquals(NextCall.NOTHING, reader.nextCall(20), "minimum interval between calls");
        assertEquals(NextCall.EVENTS, reader.nextCall(1_000));
        assertEquals(3, reader.since());
        reader.onEvents(1_010, 77, 9, true, List.of());
        assertEquals(NextCall.LIST, reader.nextCall(2_000));
        assertEquals(Kind.SNAPSHOT, reader.onList(2_010, 77, 12, List.of()).kind());
        assertEquals(NextCall.EVENTS, reader.nextCall(3_000));
        assertEquals(12, reader.since());
        reader.onFailure(3_010);
        assertEquals(NextCall.NOTHING, reader.nextCall(3_100));
        assertEquals(NextCall.EVENTS, reader.nextCall(4_000));
        List<PrefixCacheUpdate> restarted = reader.onEvents(4_010, 78, 1, false, List.of());
        assertEquals(Kind.SNAPSHOT, restarted.get(0).kind(), "a restarted server has none of the earlier blocks");
        assertEquals(0, restarted.get(0).blocks().length);
    }

    @Test
    void onlyTheLatestEventOfEachBlockIsPublished() {
        List<Event> history = new ArrayList<>();
        for (int n = 0; n < 1_000; n++) {
            history.add(new Event("v1", "part" + n, 100, "m"));
            history.add(new Event("v1", "part" + n, n < 990 ? 0 : 64, "m"));
        }
        KvEventReader reader = new KvEventReader("i", 8);
        PrefixCacheUpdate snapshot =
                reader.onEvents(10, 77, 2_000, false, history).get(0);
        assertEquals(Kind.SNAPSHOT, snapshot.kind());
        assertArrayEquals(new int[] {64, 64, 64, 64, 64, 64, 64, 64, 64, 64}, snapshot.tokens());
        PrefixCacheUpdate delta = reader.onEvents(
                        600,
                        77,
                        2_002,
                        false,
                        List.of(new Event("v1", "part995", 100, "m"), new Event("v1", "part995", 0, "m")))
                .get(0);
        assertEquals(Kind.DELTA, delta.kind());
        assertArrayEquals(new int[] {0}, delta.tokens(), "an eviction is published once");
    }
}
