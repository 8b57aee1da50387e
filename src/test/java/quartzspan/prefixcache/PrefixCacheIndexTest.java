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

/** The index of kept prompts: prefixes, gaps, new lives, and how a server's events are followed. */
class PrefixCacheIndexTest {
    private static PrefixCacheUpdate news(Kind kind, long stream, long seq, long block, int tokens) {
        return new PrefixCacheUpdate(kind, "i", stream, seq, new long[] {block}, new int[] {tokens});
    }

    @Test
    void onlyACompletePrefixCounts() {
        PrefixCacheIndex s = new PrefixCacheIndex();
        s.onPrefill("i", 1, 512);
        s.onPrefill("i", 3, 100);
        assertEquals(512, s.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        s.onPrefill("i", 2, 390);
        assertEquals(
                1_002,
                s.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}),
                "blocks leave the last tokens");
        s.onPrefill("i", 1, 128);
        assertEquals(128, s.cachedTokens("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        assertEquals(0, s.cachedTokens("j", new long[] {1}, new long[] {512}));
    }

    @Test
    void gapRequestsASnapshotAndOldUpdatesChangeNothing() {
        PrefixCacheIndex s = new PrefixCacheIndex();
        assertTrue(s.take(0, news(Kind.DELTA, 5, 4, 1, 10)), "nothing before it is known");
        assertFalse(s.take(100, news(Kind.SNAPSHOT, 5, 4, 1, 10)));
        assertFalse(s.take(10_000, news(Kind.DELTA, 5, 5, 2, 10)));
        assertFalse(s.take(10_000, news(Kind.DELTA, 5, 5, 2, 0)), "twice");
        assertTrue(s.take(10_000, news(Kind.DELTA, 5, 7, 3, 10)), "one is missing");
        assertTrue(s.take(20_000, news(Kind.DELTA, 6, 6, 3, 10)), "another watcher");
        assertEquals(2, s.size());
        assertFalse(s.take(20_100, news(Kind.SNAPSHOT, 6, 9, 9, 10)));
        assertEquals(1, s.size());
        assertEquals(9, s.snapshot("i").seq());
    }

    @Test
    void snapshotIsRequestedOnceWhileOneIsOnItsWay() {
        PrefixCacheIndex s = new PrefixCacheIndex();
        long asked = IntStream.range(0, 30)
                .filter(n -> s.take(100L * n, news(Kind.DELTA, 5, 4 + n, 1, 10)))
                .count();
        assertEquals(2, asked, "in three seconds");
        assertTrue(s.take(2_900, new PrefixCacheUpdate(Kind.DELTA, "j", 5, 4, new long[] {1}, new int[] {10})));
    }

    @Test
    void saltsSeparateVersionsAndTenants() {
        assertTrue(PrefixCacheIndex.block("v1", "ab", "m") != PrefixCacheIndex.block("v2", "ab", "m"));
        assertTrue(PrefixCacheIndex.block("v1wt", "ab", "m") != PrefixCacheIndex.block("v1", "ab", "m"));
    }

    @Test
    void listIsRequestedOnlyAfterAGapInTheEvents() {
        KvEventReader w = new KvEventReader("i", 8);
        assertEquals(NextCall.EVENTS, w.due(0));
        assertEquals(NextCall.NOTHING, w.due(10_000), "one question at a time");
        List<PrefixCacheUpdate> first = w.events(10, 77, 3, false, List.of(new Event("v1", "ab", 100, "m")));
        assertEquals(
                List.of(Kind.SNAPSHOT),
                first.stream().map(PrefixCacheUpdate::kind).toList());
        assertEquals(1, first.get(0).blocks().length);
        assertEquals(NextCall.NOTHING, w.due(20), "paced");
        assertEquals(NextCall.EVENTS, w.due(1_000));
        assertEquals(3, w.since());
        w.events(1_010, 77, 9, true, List.of());
        assertEquals(NextCall.LIST, w.due(2_000));
        assertEquals(Kind.SNAPSHOT, w.list(2_010, 77, 12, List.of()).kind());
        assertEquals(NextCall.EVENTS, w.due(3_000));
        assertEquals(12, w.since());
        w.failed(3_010);
        assertEquals(NextCall.NOTHING, w.due(3_100));
        assertEquals(NextCall.EVENTS, w.due(4_000));
        List<PrefixCacheUpdate> anew = w.events(4_010, 78, 1, false, List.of());
        assertEquals(Kind.SNAPSHOT, anew.get(0).kind(), "a new life keeps nothing of the old");
        assertEquals(0, anew.get(0).blocks().length);
    }

    @Test
    void onlyTheOutcomeOfEventsIsReported() {
        List<Event> history = new ArrayList<>();
        for (int n = 0; n < 1_000; n++) {
            history.add(new Event("v1", "part" + n, 100, "m"));
            history.add(new Event("v1", "part" + n, n < 990 ? 0 : 64, "m"));
        }
        KvEventReader follower = new KvEventReader("i", 8);
        PrefixCacheUpdate whole = follower.events(10, 77, 2_000, false, history).get(0);
        assertEquals(Kind.SNAPSHOT, whole.kind());
        assertArrayEquals(new int[] {64, 64, 64, 64, 64, 64, 64, 64, 64, 64}, whole.tokens());
        PrefixCacheUpdate news = follower.events(
                        600,
                        77,
                        2_002,
                        false,
                        List.of(new Event("v1", "part995", 100, "m"), new Event("v1", "part995", 0, "m")))
                .get(0);
        assertEquals(Kind.DELTA, news.kind());
        assertArrayEquals(new int[] {0}, news.tokens(), "what is let go is told once");
    }
}
