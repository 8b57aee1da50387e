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

/** Precedence, gossip and repair of entries, and detection of lost servers and proxies. */
class RegistryTest {
    /** A message that has been sent and not yet delivered. */
    private record InFlight(String from, String to, GossipMessage message) {}

    private static Server server(String id, long weights) {
        return new Server(id, "s", "10.0.0.9:80", "z", "m", weights, 0, 0, RegistryEntry.State.READY);
    }

    @Test
    void goneServerStaysGone() {
        Registry registry = new Registry();
        HeartbeatTracker tracker = new HeartbeatTracker(registry, 1_000);
        assertNotNull(tracker.onServerHeartbeat(0, "i", 5, RegistryEntry.State.READY, server("i", 1)));
        assertNull(tracker.onServerHeartbeat(10, "i", 6, RegistryEntry.State.READY, server("i", 1)), "no change");
        assertNotNull(tracker.onServerHeartbeat(20, "i", 8, RegistryEntry.State.DRAINING, server("i", 1)));
        assertNull(tracker.onServerHeartbeat(30, "i", 7, RegistryEntry.State.READY, server("i", 1)), "out of order");
        tracker.onServerHeartbeat(40, "i", 9, RegistryEntry.State.READY, server("i", 1));
        assertEquals(
                RegistryEntry.State.DRAINING,
                registry.entry(RegistryEntry.Subject.SERVER, "i").state(),
                "a draining server does not become ready again");
        assertNotNull(tracker.onDeregistered(50, "i"));
        assertNull(tracker.onServerHeartbeat(60, "i", 99, RegistryEntry.State.READY, server("i", 1)));
        assertEquals(
                RegistryEntry.State.GONE,
                registry.entry(RegistryEntry.Subject.SERVER, "i").state());
    }

    @Test
    void drainingIsAppliedAfterWeightsWereReported() {
        Registry registry = new Registry();
        HeartbeatTracker tracker = new HeartbeatTracker(registry, 1_000);
        tracker.onServerHeartbeat(0, "i", 1, RegistryEntry.State.READY, server("i", 1));
        for (int version = 2; version < 9; version++) {
            tracker.onLoadOrdered(version, "i", version + 1);
            tracker.onWeightsReported(version, "i", version);
        }
        assertNotNull(tracker.onServerHeartbeat(20, "i", 2, RegistryEntry.State.DRAINING, server("i", 8)));
        assertEquals(
                RegistryEntry.State.DRAINING,
                registry.entry(RegistryEntry.Subject.SERVER, "i").state());
        tracker.onWeightsReported(30, "i", 8);
        assertEquals(
                9,
                Server.of(registry.entry(RegistryEntry.Subject.SERVER, "i")).loadingVersion(),
                "a report of the server does not reset the version being loaded");
    }

    @Test
    void serversThatTimeOutAreLostAndMayComeBack() {
        Registry registry = new Registry();
        HeartbeatTracker tracker = new HeartbeatTracker(registry, 1_000);
        tracker.onServerHeartbeat(0, "i", 1, RegistryEntry.State.READY, server("i", 1));
        tracker.onProxyMessage(0, "10.0.0.1:70", "z");
        assertTrue(tracker.expireTimedOut(3_000).isEmpty());
        assertEquals(1, tracker.expireTimedOut(3_800).size());
        tracker.onPeerReport(
                3_900,
                List.of(new RegistryEntry(
                        RegistryEntry.Subject.PROXY, "10.0.0.1:70", 0, RegistryEntry.State.READY, "")));
        assertTrue(tracker.expireTimedOut(7_000).isEmpty());
        assertNotNull(tracker.onServerHeartbeat(7_100, "i", 2, RegistryEntry.State.READY, server("i", 1)));
        assertEquals(
                RegistryEntry.State.READY,
                registry.entry(RegistryEntry.Subject.SERVER, "i").state());
        tracker.restartTimeouts(50_000);
        assertTrue(tracker.expireTimedOut(52_000).isEmpty(), "the timeout starts again after a disconnection");
    }

    @Test
    void freshnessCountsFromTheQueryAndRequiresTheStateOfTheReply() {
        ControlState next = ControlState.EMPTY.with(new Change(
                Change.Kind.REPLACE,
                0,
                "{\"version\":3,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8)));
        Registry core = new Registry();
        core.publish(1, next);
        core.confirmFresh(900);
        Registry proxy = new Registry();
        GossipMessage reply = core.reply(1_000, proxy.query(40, 7, false));
        proxy.merge(60, reply, 40);
        assertTrue(proxy.freshAtMs() < -1_000_000, "the state of the reply has not been received yet");
        assertTrue(proxy.stateFollower().install(Snapshot.of(1, core.state())));
        assertEquals(-60, proxy.freshAtMs(), "queried at 40, with a state of age 100, which has now been received");
        Registry behind = new Registry();
        behind.publish(0, ControlState.EMPTY);
        behind.merge(60, reply, 40);
        assertTrue(behind.freshAtMs() < -1_000_000, "its state is older than that of the reply");
        assertFalse(proxy.publish(0, ControlState.EMPTY), "the index never decreases");
        assertFalse(proxy.stateFollower().install(Snapshot.of(0, PublishedState.EMPTY)), "the index never decreases");
        assertEquals(3, proxy.state().configuration().version());
    }

    @Test
    void coreMachinesOfTheSameZoneArePreferredUnlessUnresponsive() {
        Registry registry = new Registry();
        List<String> queried = new ArrayList<>();
        Gossip gossip = new Gossip("p:1", false, List.of("a:1"), registry, (to, m) -> queried.add(to));
        gossip.preferZone("z2");
        for (String name : List.of("a", "b", "c", "d")) {
            String zone = name.equals("c") ? "z2" : "z1";
            registry.merge(0, new CoreMachine(name + ":1", "10.0.0.1:80", zone).entry());
        }
        assertEquals("c:1", gossip.cores().get(0));
        assertEquals(4, gossip.cores().size());
        gossip.onTick(0, null);
        assertEquals(List.of("c:1"), queried);
        gossip.onTick(1_000, null);
        assertEquals(2, queried.size());
        assertFalse(queried.get(1).equals("c:1"), "c:1 did not reply");
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
        for (String name : names) {
            List<String> before = Registry.rendezvousSelect(name, names, 3);
            assertFalse(before.contains(name));
            List<String> more = new ArrayList<>(names);
            more.add("10.9.9.9:70");
            List<String> after = new ArrayList<>(Registry.rendezvousSelect(name, more, 3));
            after.removeAll(before);
            moved += after.size();
        }
        assertTrue(moved < 15, moved + " of 180 selections changed");
    }

    /** 40 proxies and three core machines on links that lose one message in ten: all processes converge to all entries. */
    @Test
    void updatesReachAllProcessesDespiteMessageLoss() {
        SplittableRandom random = new SplittableRandom(9);
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        Map<String, Registry> registries = new HashMap<>();
        Map<String, Gossip> gossips = new HashMap<>();
        List<String> cores = List.of("c1:1", "c2:1", "c3:1");
        List<String> all = new ArrayList<>(cores);
        for (int i = 0; i < 40; i++) {
            all.add("p" + i + ":1");
        }
        for (String name : all) {
            Registry registry = new Registry();
            registries.put(name, registry);
            gossips.put(name, new Gossip(name, cores.contains(name), cores, registry, (to, message) -> {
                if (random.nextInt(10) > 0) {
                    inFlight.add(new InFlight(name, to, message));
                }
            }));
        }
        all.forEach(address -> registries
                .get("c1:1")
                .merge(
                        0,
                        new RegistryEntry(
                                cores.contains(address) ? RegistryEntry.Subject.CORE : RegistryEntry.Subject.PROXY,
                                address,
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
            for (String name : all) {
                gossips.get(name).onTick(now, null);
            }
            for (int remaining = inFlight.size(); remaining > 0; remaining--) {
                InFlight delivered = inFlight.poll();
                if (gossips.containsKey(delivered.to())) {
                    gossips.get(delivered.to()).onGossip(now, delivered.from(), delivered.message());
                }
            }
        }
        Set<String> lacking = new HashSet<>();
        for (String name : all) {
            if (registries.get(name).entry(RegistryEntry.Subject.SERVER, "i") == null
                    || registries.get(name).all(RegistryEntry.Subject.PROXY).size() != 40) {
                lacking.add(name);
            }
        }
        assertEquals(Set.of(), lacking);
    }
}
