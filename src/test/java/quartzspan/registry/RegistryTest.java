package quartzspan.registry;

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
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** How entries win over each other, gossip, and are repaired; and who counts as lost. */
class RegistryTest {
    /** A message that is on its way. */
    private record Flying(String from, String to, GossipMessage message) {}

    private static Server server(String id, long weights) {
        return new Server(id, "s", "10.0.0.9:80", "z", "m", weights, 0, 0, RegistryEntry.State.READY);
    }

    @Test
    void goneServerStaysGone() {
        Registry r = new Registry();
        HeartbeatTracker g = new HeartbeatTracker(r, 1_000);
        assertNotNull(g.onServerHeartbeat(0, "i", 5, RegistryEntry.State.READY, server("i", 1)));
        assertNull(g.onServerHeartbeat(10, "i", 6, RegistryEntry.State.READY, server("i", 1)), "nothing new");
        assertNotNull(g.onServerHeartbeat(20, "i", 8, RegistryEntry.State.DRAINING, server("i", 1)));
        assertNull(g.onServerHeartbeat(30, "i", 7, RegistryEntry.State.READY, server("i", 1)), "late");
        g.onServerHeartbeat(40, "i", 9, RegistryEntry.State.READY, server("i", 1));
        assertEquals(
                RegistryEntry.State.DRAINING,
                r.entry(RegistryEntry.Subject.SERVER, "i").state(),
                "who leaves does not come back");
        assertNotNull(g.onDeregistered(50, "i"));
        assertNull(g.onServerHeartbeat(60, "i", 99, RegistryEntry.State.READY, server("i", 1)));
        assertEquals(
                RegistryEntry.State.GONE,
                r.entry(RegistryEntry.Subject.SERVER, "i").state());
    }

    @Test
    void drainingIsAnUpdateAfterWeightsWereReported() {
        Registry r = new Registry();
        HeartbeatTracker g = new HeartbeatTracker(r, 1_000);
        g.onServerHeartbeat(0, "i", 1, RegistryEntry.State.READY, server("i", 1));
        for (int n = 2; n < 9; n++) {
            g.onLoadOrdered(n, "i", n + 1);
            g.onWeightsReported(n, "i", n);
        }
        assertNotNull(g.onServerHeartbeat(20, "i", 2, RegistryEntry.State.DRAINING, server("i", 8)));
        assertEquals(
                RegistryEntry.State.DRAINING,
                r.entry(RegistryEntry.Subject.SERVER, "i").state());
        g.onWeightsReported(30, "i", 8);
        assertEquals(
                9,
                Server.of(r.entry(RegistryEntry.Subject.SERVER, "i")).loading(),
                "what it loads it doesn't say itself");
    }

    @Test
    void serversThatTimeOutAreLostAndMayComeBack() {
        Registry r = new Registry();
        HeartbeatTracker g = new HeartbeatTracker(r, 1_000);
        g.onServerHeartbeat(0, "i", 1, RegistryEntry.State.READY, server("i", 1));
        g.onProxyMessage(0, "10.0.0.1:70", "z");
        assertTrue(g.expireSilent(3_000).isEmpty());
        assertEquals(1, g.expireSilent(3_800).size());
        g.onPeerReport(
                3_900,
                List.of(new RegistryEntry(
                        RegistryEntry.Subject.PROXY, "10.0.0.1:70", 0, RegistryEntry.State.READY, "")));
        assertTrue(g.expireSilent(7_000).isEmpty());
        assertNotNull(g.onServerHeartbeat(7_100, "i", 2, RegistryEntry.State.READY, server("i", 1)));
        assertEquals(
                RegistryEntry.State.READY,
                r.entry(RegistryEntry.Subject.SERVER, "i").state());
        g.restartTimeouts(50_000);
        assertTrue(g.expireSilent(52_000).isEmpty(), "nothing was heard while out of touch");
    }

    @Test
    void freshnessCountsFromTheQueryAndNeedsTheState() {
        ControlState next = ControlState.EMPTY.with(new Change(
                Change.Kind.REPLACE,
                0,
                "{\"version\":3,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8)));
        Registry core = new Registry();
        core.publish(1, next);
        core.confirmFresh(900);
        Registry proxy = new Registry();
        GossipMessage answer = core.reply(1_000, proxy.query(40, 7, false));
        proxy.merge(60, answer, 40);
        assertTrue(proxy.freshAt() < -1_000_000, "fresher than what it holds");
        assertTrue(proxy.states().take(Snapshot.of(1, core.state())));
        assertEquals(-60, proxy.freshAt(), "asked at 40, and 100 old by then: the state that it spoke of is held now");
        Registry behind = new Registry();
        behind.publish(0, ControlState.EMPTY);
        behind.merge(60, answer, 40);
        assertTrue(behind.freshAt() < -1_000_000, "it holds an older state than the answer speaks of");
        assertFalse(proxy.publish(0, ControlState.EMPTY), "never backwards");
        assertFalse(proxy.states().take(Snapshot.of(0, PublishedState.EMPTY)), "never backwards");
        assertEquals(3, proxy.state().configuration().version());
    }

    @Test
    void coreMachinesOfTheSameZoneArePreferredUnlessUnresponsive() {
        Registry registry = new Registry();
        List<String> query = new ArrayList<>();
        Gossip gossip = new Gossip("p:1", false, List.of("a:1"), registry, (to, m) -> query.add(to));
        gossip.preferZone("z2");
        for (String name : List.of("a", "b", "c", "d")) {
            String zone = name.equals("c") ? "z2" : "z1";
            registry.merge(0, new CoreMachine(name + ":1", "10.0.0.1:80", zone).entry());
        }
        assertEquals("c:1", gossip.cores().get(0));
        assertEquals(4, gossip.cores().size());
        gossip.onTick(0, null);
        assertEquals(List.of("c:1"), query);
        gossip.onTick(1_000, null);
        assertEquals(2, query.size());
        assertFalse(query.get(1).equals("c:1"), "it did not answer");
        RegistryEntry entry = registry.entry(RegistryEntry.Subject.CORE, "c:1");
        assertEquals(new CoreMachine("c:1", "10.0.0.1:80", "z2"), CoreMachine.of(entry));
    }

    @Test
    void rendezvousSelectionIsStable() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            names.add("10.1.0." + i + ":70");
        }
        int moved = 0;
        for (String n : names) {
            List<String> before = Registry.rendezvousSelect(n, names, 3);
            assertFalse(before.contains(n));
            List<String> more = new ArrayList<>(names);
            more.add("10.9.9.9:70");
            List<String> after = new ArrayList<>(Registry.rendezvousSelect(n, more, 3));
            after.removeAll(before);
            moved += after.size();
        }
        assertTrue(moved < 15, moved + " of 180 moved");
    }

    /** Forty proxies and three core machines over links that lose a part of all messages: in the end all know all. */
    @Test
    void updatesReachAllAndGapsAreRepaired() {
        SplittableRandom random = new SplittableRandom(9);
        ArrayDeque<Flying> flying = new ArrayDeque<>();
        Map<String, Registry> registries = new HashMap<>();
        Map<String, Gossip> spreads = new HashMap<>();
        List<String> cores = List.of("c1:1", "c2:1", "c3:1");
        List<String> all = new ArrayList<>(cores);
        for (int i = 0; i < 40; i++) {
            all.add("p" + i + ":1");
        }
        for (String n : all) {
            Registry r = new Registry();
            registries.put(n, r);
            spreads.put(n, new Gossip(n, cores.contains(n), cores, r, (to, t) -> {
                if (random.nextInt(10) > 0) {
                    flying.add(new Flying(n, to, t));
                }
            }));
        }
        all.forEach(p -> registries
                .get("c1:1")
                .merge(
                        0,
                        new RegistryEntry(
                                cores.contains(p) ? RegistryEntry.Subject.CORE : RegistryEntry.Subject.PROXY,
                                p,
                                1,
                                RegistryEntry.State.READY,
                                "")));
        for (int now = 0; now < 6_000; now += 50) {
            if (now == 2_000) {
                registries
                        .get("c2:1")
                        .merge(
                                now,
                                new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 1, RegistryEntry.State.GONE, ""));
            }
            for (String n : all) {
                spreads.get(n).onTick(now, null);
            }
            for (int k = flying.size(); k > 0; k--) {
                Flying f = flying.poll();
                if (spreads.containsKey(f.to())) {
                    spreads.get(f.to()).onGossip(now, f.from(), f.message());
                }
            }
        }
        Set<String> lacking = new HashSet<>();
        for (String n : all) {
            if (registries.get(n).entry(RegistryEntry.Subject.SERVER, "i") == null
                    || registries.get(n).all(RegistryEntry.Subject.PROXY).size() != 40) {
                lacking.add(n);
            }
        }
        assertEquals(Set.of(), lacking);
    }
}
