package quartzspan.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quartzspan.docket.Ledger;
import quartzspan.docket.Ledger.Change;

/** How facts win over each other, spread, and are repaired; and who counts as lost. */
class RosterTest {
    private static Server server(String id, long weights) {
        return new Server(id, "s", "10.0.0.9:80", "z", "m", weights, 0, 0, Fact.State.READY);
    }

    @Test
    void whatIsGoneStaysGoneAndAnOldWordChangesNothing() {
        Roster r = new Roster();
        Registry g = new Registry(r, 1_000);
        assertNotNull(g.beat(0, "i", 5, Fact.State.READY, server("i", 1)));
        assertNull(g.beat(10, "i", 6, Fact.State.READY, server("i", 1)), "nothing new");
        assertNotNull(g.beat(20, "i", 8, Fact.State.DRAINING, server("i", 1)));
        assertNull(g.beat(30, "i", 7, Fact.State.READY, server("i", 1)), "late");
        g.beat(40, "i", 9, Fact.State.READY, server("i", 1));
        assertEquals(Fact.State.DRAINING, r.fact(Fact.Subject.SERVER, "i").state(), "who leaves does not come back");
        assertNotNull(g.gone(50, "i"));
        assertNull(g.beat(60, "i", 99, Fact.State.READY, server("i", 1)));
        assertEquals(Fact.State.GONE, r.fact(Fact.Subject.SERVER, "i").state());
    }

    @Test
    void adrainingWordIsNewsAfterWeightsWereSeen() {
        Roster r = new Roster();
        Registry g = new Registry(r, 1_000);
        g.beat(0, "i", 1, Fact.State.READY, server("i", 1));
        for (int n = 2; n < 9; n++) {
            g.loads(n, "i", n + 1);
            g.weighs(n, "i", n);
        }
        assertNotNull(g.beat(20, "i", 2, Fact.State.DRAINING, server("i", 8)));
        assertEquals(Fact.State.DRAINING, r.fact(Fact.Subject.SERVER, "i").state());
        g.weighs(30, "i", 8);
        assertEquals(9, Server.of(r.fact(Fact.Subject.SERVER, "i")).loading(), "what it loads it doesn't say itself");
    }

    @Test
    void theSilentAreLostAndComeBack() {
        Roster r = new Roster();
        Registry g = new Registry(r, 1_000);
        g.beat(0, "i", 1, Fact.State.READY, server("i", 1));
        g.proxy(0, "10.0.0.1:70", "z");
        assertTrue(g.lost(3_000).isEmpty());
        assertEquals(1, g.lost(3_800).size());
        g.heard(3_900, List.of(new Fact(Fact.Subject.PROXY, "10.0.0.1:70", 0, Fact.State.READY, "")));
        assertTrue(g.lost(7_000).isEmpty());
        assertNotNull(g.beat(7_100, "i", 2, Fact.State.READY, server("i", 1)));
        assertEquals(Fact.State.READY, r.fact(Fact.Subject.SERVER, "i").state());
        g.excuse(50_000);
        assertTrue(g.lost(52_000).isEmpty(), "nothing was heard while out of touch");
    }

    @Test
    void freshnessCountsFromTheAskingAndNeedsTheState() {
        Ledger next = Ledger.EMPTY.with(new Change(Change.Kind.REPLACE, 0,
                "{\"version\":3,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8)));
        Roster core = new Roster();
        core.take(1, 1, next, next.bytes());
        core.fresh(900);
        Roster proxy = new Roster();
        Tidings answer = core.answer(1_000, proxy.ask(40, 7));
        assertTrue(proxy.take(60, answer, 40).ledger());
        assertEquals(-60, proxy.freshAt(), "asked at 40, and 100 old by then");
        Roster behind = new Roster();
        Tidings bare = new Tidings(answer.kind(), 1, 100, 1, 1, answer.buckets(), List.of(), new byte[0]);
        behind.take(60, bare, 40);
        assertTrue(behind.freshAt() < -1_000_000, "fresher than what it holds");
        assertFalse(proxy.take(0, 9, Ledger.EMPTY, Ledger.EMPTY.bytes()), "never backwards");
        assertEquals(3, proxy.ledger().manifest().version());
    }

    @Test
    void fewAreTheSameForAllAndOneThatComesMovesLittle() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            names.add("10.1.0." + i + ":70");
        }
        int moved = 0;
        for (String n : names) {
            List<String> before = Roster.few(n, names, 3);
            assertFalse(before.contains(n));
            List<String> more = new ArrayList<>(names);
            more.add("10.9.9.9:70");
            List<String> after = new ArrayList<>(Roster.few(n, more, 3));
            after.removeAll(before);
            moved += after.size();
        }
        assertTrue(moved < 15, moved + " of 180 moved");
    }

    /** Forty proxies and three core machines over links that lose a part of all messages: in the end all know all. */
    @Test
    void newsReachEverybodyAndGapsAreRepaired() {
        SplittableRandom random = new SplittableRandom(9);
        record Flying(String from, String to, Tidings tidings) { }
        ArrayDeque<Flying> flying = new ArrayDeque<>();
        Map<String, Roster> rosters = new HashMap<>();
        Map<String, Spread> spreads = new HashMap<>();
        List<String> cores = List.of("c1:1", "c2:1", "c3:1");
        List<String> all = new ArrayList<>(cores);
        for (int i = 0; i < 40; i++) {
            all.add("p" + i + ":1");
        }
        for (String n : all) {
            Roster r = new Roster();
            rosters.put(n, r);
            spreads.put(n, new Spread(n, cores.contains(n), cores, r, (to, t) -> {
                if (random.nextInt(10) > 0) {
                    flying.add(new Flying(n, to, t));
                }
            }));
        }
        all.forEach(p -> rosters.get("c1:1").take(0, new Fact(cores.contains(p) ? Fact.Subject.CORE : Fact.Subject.PROXY, p, 1,
                Fact.State.READY, "")));
        for (int now = 0; now < 6_000; now += 50) {
            if (now == 2_000) {
                rosters.get("c2:1").take(now, new Fact(Fact.Subject.SERVER, "i", 1, Fact.State.GONE, ""));
            }
            for (String n : all) {
                spreads.get(n).onTick(now, null);
            }
            for (int k = flying.size(); k > 0; k--) {
                Flying f = flying.poll();
                if (spreads.containsKey(f.to())) {
                    spreads.get(f.to()).onTidings(now, f.from(), f.tidings());
                }
            }
        }
        Set<String> lacking = new HashSet<>();
        for (String n : all) {
            if (rosters.get(n).fact(Fact.Subject.SERVER, "i") == null
                    || rosters.get(n).all(Fact.Subject.PROXY).size() != 40) {
                lacking.add(n);
            }
        }
        assertEquals(Set.of(), lacking);
    }
}
