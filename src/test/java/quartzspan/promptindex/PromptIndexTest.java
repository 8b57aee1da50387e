package quartzspan.promptindex;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quartzspan.promptindex.KvEventFollower.Ask;
import quartzspan.promptindex.KvEventFollower.Event;
import quartzspan.promptindex.PromptIndexUpdate.Kind;

/** The index of kept prompts: prefixes, gaps, new lives, and how a server's events are followed. */
class PromptIndexTest {
    private static PromptIndexUpdate news(Kind kind, long stream, long seq, long part, int tokens) {
        return new PromptIndexUpdate(kind, "i", stream, seq, new long[] {part}, new int[] {tokens});
    }

    @Test
    void onlyAWholePrefixCounts() {
        PromptIndex s = new PromptIndex();
        s.saw("i", 1, 512);
        s.saw("i", 3, 100);
        assertEquals(512, s.kept("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        s.saw("i", 2, 390);
        assertEquals(
                1_002, s.kept("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}), "blocks leave the last tokens");
        s.saw("i", 1, 128);
        assertEquals(128, s.kept("i", new long[] {1, 2, 3}, new long[] {512, 400, 100}));
        assertEquals(0, s.kept("j", new long[] {1}, new long[] {512}));
    }

    @Test
    void aGapAsksForTheWholeAndOldReportsChangeNothing() {
        PromptIndex s = new PromptIndex();
        assertTrue(s.take(0, news(Kind.NEWS, 5, 4, 1, 10)), "nothing before it is known");
        assertFalse(s.take(100, news(Kind.WHOLE, 5, 4, 1, 10)));
        assertFalse(s.take(10_000, news(Kind.NEWS, 5, 5, 2, 10)));
        assertFalse(s.take(10_000, news(Kind.NEWS, 5, 5, 2, 0)), "twice");
        assertTrue(s.take(10_000, news(Kind.NEWS, 5, 7, 3, 10)), "one is missing");
        assertTrue(s.take(20_000, news(Kind.NEWS, 6, 6, 3, 10)), "another watcher");
        assertEquals(2, s.size());
        assertFalse(s.take(20_100, news(Kind.WHOLE, 6, 9, 9, 10)));
        assertEquals(1, s.size());
        assertEquals(9, s.whole("i").seq());
    }

    @Test
    void theWholeIsAskedForOnceWhileItIsOnItsWay() {
        PromptIndex s = new PromptIndex();
        long asked = IntStream.range(0, 30)
                .filter(n -> s.take(100 * n, news(Kind.NEWS, 5, 4 + n, 1, 10)))
                .count();
        assertEquals(2, asked, "in three seconds");
        assertTrue(s.take(2_900, new PromptIndexUpdate(Kind.NEWS, "j", 5, 4, new long[] {1}, new int[] {10})));
    }

    @Test
    void saltsKeepWeightsAndWallsApart() {
        assertTrue(PromptIndex.part("v1", "ab", "m") != PromptIndex.part("v2", "ab", "m"));
        assertTrue(PromptIndex.part("v1wt", "ab", "m") != PromptIndex.part("v1", "ab", "m"));
    }

    @Test
    void eventsAreFollowedAndTheListIsAskedForOnlyAfterAGap() {
        KvEventFollower w = new KvEventFollower("i", 8);
        assertEquals(Ask.EVENTS, w.due(0));
        assertEquals(Ask.NOTHING, w.due(10_000), "one question at a time");
        List<PromptIndexUpdate> first = w.events(10, 77, 3, false, List.of(new Event("v1", "ab", 100, "m")));
        assertEquals(
                List.of(Kind.WHOLE), first.stream().map(PromptIndexUpdate::kind).toList());
        assertEquals(1, first.get(0).parts().length);
        assertEquals(Ask.NOTHING, w.due(20), "paced");
        assertEquals(Ask.EVENTS, w.due(1_000));
        assertEquals(3, w.since());
        w.events(1_010, 77, 9, true, List.of());
        assertEquals(Ask.LIST, w.due(2_000));
        assertEquals(Kind.WHOLE, w.list(2_010, 77, 12, List.of()).kind());
        assertEquals(Ask.EVENTS, w.due(3_000));
        assertEquals(12, w.since());
        w.failed(3_010);
        assertEquals(Ask.NOTHING, w.due(3_100));
        assertEquals(Ask.EVENTS, w.due(4_000));
        List<PromptIndexUpdate> anew = w.events(4_010, 78, 1, false, List.of());
        assertEquals(Kind.WHOLE, anew.get(0).kind(), "a new life keeps nothing of the old");
        assertEquals(0, anew.get(0).parts().length);
    }

    @Test
    void onlyWhatIsKeptIsToldOfAllThatHappened() {
        List<Event> history = new ArrayList<>();
        for (int n = 0; n < 1_000; n++) {
            history.add(new Event("v1", "part" + n, 100, "m"));
            history.add(new Event("v1", "part" + n, n < 990 ? 0 : 64, "m"));
        }
        KvEventFollower follower = new KvEventFollower("i", 8);
        PromptIndexUpdate whole = follower.events(10, 77, 2_000, false, history).get(0);
        assertEquals(Kind.WHOLE, whole.kind());
        assertArrayEquals(new int[] {64, 64, 64, 64, 64, 64, 64, 64, 64, 64}, whole.tokens());
        PromptIndexUpdate news = follower.events(
                        600,
                        77,
                        2_002,
                        false,
                        List.of(new Event("v1", "part995", 100, "m"), new Event("v1", "part995", 0, "m")))
                .get(0);
        assertEquals(Kind.NEWS, news.kind());
        assertArrayEquals(new int[] {0}, news.tokens(), "what is let go is told once");
    }
}
