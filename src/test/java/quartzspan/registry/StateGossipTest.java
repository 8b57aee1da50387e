package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quartzspan.configuration.JsonFields;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;
import quartzspan.transport.MessageCodec;

/** Replication of the published state: by deltas where they apply, otherwise by a snapshot; its index never decreases. */
class StateGossipTest {
    private static final int ROUTES = 200;

    private static String route(int number, int timeoutMs) {
        return "{\"name\":\"r-" + number + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/a" + number
                + "/\",\"route_type\":\"streaming\",\"timeout_ms\":" + timeoutMs + ",\"service\":\"s\"}";
    }

    private static ControlState initialState() {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < ROUTES; i++) {
            routes.append(i == 0 ? "" : ",").append(route(i, 3000));
        }
        return ControlState.EMPTY.with(new Change(
                Change.Kind.REPLACE,
                0,
                utf8("{\"version\":1,\"routes\":[" + routes + "],\"services\":[{\"name\":\"s\"}],\"tenants\":[]}")));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The state after a change: one route updated, or by number the weights, the complete configuration, or a route added and one removed. */
    private static ControlState withChange(ControlState state, int number) {
        long version = state.configuration().version();
        Change change =
                switch (number % 5) {
                    case 1 -> new Change(Change.Kind.WEIGHTS, 0, utf8("{\"model\":\"m\",\"version\":" + number + "}"));
                    case 2 -> new Change(
                            Change.Kind.REPLACE,
                            version,
                            utf8(new String(state.configuration().bytes(), StandardCharsets.UTF_8)
                                    .replace("\"version\":" + version + ",", "\"version\":" + (version + 2) + ",")
                                    .replace("3000", "2999")));
                    case 3 -> update(version, route(ROUTES + number, 50), "\"r-" + (number % 20) + "\"");
                    default -> update(version, route(100 + number % 50, 1000 + number), "");
                };
        return state.with(change);
    }

    private static Change update(long version, String route, String removed) {
        return new Change(
                Change.Kind.UPDATE,
                version,
                utf8("{\"version\":" + (version + 1) + ",\"upsert\":{\"routes\":[" + route
                        + "]},\"remove\":{\"routes\":[" + removed + "]}}"));
    }

    private static JsonObject document(PublishedState state) {
        return JsonFields.parse(state.configuration().bytes());
    }

    /** Processes on simulated links that lose, delay and reorder messages. */
    private static final class Fleet {
        private record InFlight(long deliverAtMs, long sequence, String from, String to, GossipMessage message) {}

        final List<String> cores = List.of("c1:1", "c2:1", "c3:1");
        final Map<String, Registry> registries = new LinkedHashMap<>();
        final Map<String, Gossip> gossips = new HashMap<>();
        final Map<String, Long> stateBytesTo = new HashMap<>();
        final Map<String, Integer> chunksTo = new TreeMap<>();
        final PriorityQueue<InFlight> inFlight = new PriorityQueue<>((a, b) -> a.deliverAtMs() != b.deliverAtMs()
                ? Long.compare(a.deliverAtMs(), b.deliverAtMs())
                : Long.compare(a.sequence(), b.sequence()));
        final SplittableRandom random;
        final int lostPercent;
        final int delayMs;
        long nowMs;
        private long sentCount;

        Fleet(long seed, int proxies, int lostPercent, int delayMs) {
            random = new SplittableRandom(seed);
            this.lostPercent = lostPercent;
            this.delayMs = delayMs;
            cores.forEach(c -> start(c, cores));
            for (int i = 0; i < proxies; i++) {
                start("p" + i + ":1", cores);
            }
        }

        void start(String name, List<String> seeds) {
            Registry registry = new Registry();
            registries.put(name, registry);
            gossips.put(name, new Gossip(name, cores.contains(name), seeds, registry, (to, m) -> send(name, to, m)));
            registries.values().forEach(r -> r.merge(nowMs, entry(name)));
            registries.keySet().forEach(other -> registry.merge(nowMs, entry(other)));
        }

        private RegistryEntry entry(String name) {
            RegistryEntry.Subject subject =
                    cores.contains(name) ? RegistryEntry.Subject.CORE : RegistryEntry.Subject.PROXY;
            return new RegistryEntry(subject, name, 1, RegistryEntry.State.READY, "");
        }

        private void send(String from, String to, GossipMessage message) {
            boolean carriesState = !message.deltas().isEmpty()
                    || message.kind() == GossipMessage.Kind.UPDATE
                    || message.kind() == GossipMessage.Kind.FETCH
                    || message.kind() == GossipMessage.Kind.FETCH_REPLY;
            if (carriesState) {
                stateBytesTo.merge(to, (long) MessageCodec.encode(message).length, Long::sum);
            }
            if (message.chunk().totalBytes() > 0) {
                chunksTo.merge(to, 1, Integer::sum);
            }
            if (random.nextInt(100) >= lostPercent) {
                inFlight.add(new InFlight(nowMs + 1 + random.nextInt(delayMs), sentCount++, from, to, message));
            }
        }

        void run(long untilMs) {
            for (; nowMs < untilMs; nowMs++) {
                while (!inFlight.isEmpty() && inFlight.peek().deliverAtMs() <= nowMs) {
                    deliver(inFlight.poll());
                }
                if (nowMs % 50 == 0) {
                    gossips.values().forEach(g -> g.onTick(nowMs, null));
                }
            }
        }

        private void deliver(InFlight delivery) {
            Registry registry = registries.get(delivery.to());
            if (registry != null) {
                long before = registry.stateIndex();
                gossips.get(delivery.to()).onGossip(nowMs, delivery.from(), delivery.message());
                assertTrue(registry.stateIndex() >= before, "the index of the state decreased");
            }
        }

        void publish(String core, long index, ControlState state) {
            if (registries.get(core).publish(index, state)) {
                gossips.get(core).onPublished(nowMs);
            }
        }

        void assertAllHave(long index, ControlState state) {
            registries.forEach((name, registry) -> {
                assertEquals(index, registry.stateIndex(), name);
                assertEquals(document(PublishedState.of(state)), document(registry.state()), name);
                assertEquals(state.weights(), registry.state().weights(), name);
                assertEquals(state.rolloutHolder(), registry.state().rolloutHolder(), name);
            });
        }
    }

    @Test
    void allProcessesConvergeAfterLossesDelaysAndElections() {
        for (int seed = 0; seed < 12; seed++) {
            Fleet fleet = new Fleet(seed, 12, seed % 4 * 12, seed % 3 * 60 + 5);
            ControlState state = initialState();
            long index = 1;
            fleet.publish("c1:1", index, state);
            for (int i = 1; i <= 60; i++) {
                fleet.run(fleet.nowMs + 40 + fleet.random.nextInt(120));
                state = withChange(state, i);
                index += 1 + fleet.random.nextInt(2);
                // The gossip of a new primary may lack the last changes, but its replica has them.
                fleet.publish(fleet.cores.get(i / 21), index, state);
                if (i % 15 == 0) {
                    fleet.start("late" + i + ":1", fleet.cores);
                }
            }
            fleet.run(fleet.nowMs + 12_000);
            fleet.assertAllHave(index, state);
        }
    }

    @Test
    void bytesSentForAChangeDependOnItsSizeNotOnTheConfiguration() {
        Fleet fleet = new Fleet(3, 40, 0, 3);
        ControlState state = initialState();
        fleet.run(2_000);
        fleet.publish("c1:1", 1, state);
        fleet.run(4_000);
        fleet.assertAllHave(1, state);
        fleet.stateBytesTo.clear();
        int changes = 20;
        for (int i = 0; i < changes; i++) {
            state = state.with(update(state.configuration().version(), route(7, 100 + i), ""));
            fleet.publish("c1:1", 2 + i, state);
            fleet.run(fleet.nowMs + 200);
        }
        fleet.run(fleet.nowMs + 1_000);
        fleet.assertAllHave(1 + changes, state);
        long maxBytes =
                fleet.stateBytesTo.values().stream().mapToLong(b -> b).max().orElseThrow();
        long configurationBytes = state.configuration().bytes().length;
        assertTrue(configurationBytes > 20_000, "configuration of " + configurationBytes + " bytes");
        assertTrue(maxBytes / changes < 1_300, maxBytes / changes + " bytes sent to one process per change");
    }

    @Test
    void eachProcessFetchesTheCompleteConfigurationOnce() {
        Fleet fleet = new Fleet(4, 40, 0, 3);
        fleet.run(2_000);
        ControlState state = initialState();
        fleet.stateBytesTo.clear();
        fleet.publish("c1:1", 1, state);
        fleet.run(4_000);
        fleet.assertAllHave(1, state);
        long compressedBytes = Snapshot.of(1, PublishedState.of(state)).bytes().length;
        assertTrue(compressedBytes < state.configuration().bytes().length / 4, compressedBytes + " compressed bytes");
        Map<String, Integer> oneChunkEach = new TreeMap<>();
        fleet.registries.keySet().forEach(name -> oneChunkEach.put(name, 1));
        oneChunkEach.remove("c1:1");
        assertEquals(oneChunkEach, fleet.chunksTo);
    }

    @Test
    void deltasOfAnotherStateAreNotApplied() {
        ControlState first = initialState();
        ControlState second = withChange(first, 4);
        ControlState third = withChange(second, 5);
        StateFollower publisher = new StateFollower(previousIndex -> {});
        publisher.publish(3, first);
        publisher.publish(4, second);
        publisher.publish(6, third);
        List<StateDelta> deltas = publisher.deltasSince(3);
        assertEquals(2, deltas.size());
        assertTrue(publisher.deltasSince(5).isEmpty(), "there is no state with index 5");

        StateFollower empty = new StateFollower(previousIndex -> {});
        assertFalse(empty.apply(deltas), "there is no state to which the deltas apply");
        StateFollower gap = new StateFollower(previousIndex -> {});
        gap.publish(3, first);
        assertFalse(gap.apply(deltas.subList(1, 2)), "a delta is missing");
        assertEquals(3, gap.index());
        assertTrue(gap.apply(List.of(deltas.get(1), deltas.get(0))), "the delta that applies is applied");
        assertEquals(4, gap.index());
        assertTrue(gap.apply(deltas), "the remaining delta is applied");
        assertFalse(gap.apply(deltas), "already applied");
        assertEquals(document(PublishedState.of(third)), document(gap.state()));
        assertEquals(deltas.size(), gap.deltasSince(3).size(), "received deltas are passed on");

        StateFollower damaged = new StateFollower(previousIndex -> {});
        damaged.publish(3, first);
        assertFalse(damaged.apply(List.of(new StateDelta(3, 4, new byte[] {1, 2, 3}))));
        assertEquals(3, damaged.index(), "a malformed delta does not change the state");
    }

    @Test
    void inapplicableDeltaIsFollowedByASnapshotRequest() {
        Map<String, List<GossipMessage>> sent = new HashMap<>();
        Registry registry = new Registry();
        Gossip gossip = new Gossip(
                "p:1", false, List.of("c1:1"), registry, (to, m) -> sent.computeIfAbsent(to, t -> new ArrayList<>())
                        .add(m));
        ControlState first = initialState();
        registry.stateFollower().install(Snapshot.of(1, PublishedState.of(first)));
        GossipMessage inapplicable =
                GossipMessage.update(0, 2, List.of(), List.of(new StateDelta(1, 2, new byte[] {9, 9, 9, 9, 9})));
        gossip.onGossip(0, "c1:1", inapplicable);
        GossipMessage fetch = sent.get("c1:1").get(0);
        assertEquals(GossipMessage.Kind.FETCH, fetch.kind());
        gossip.onGossip(
                5, "c1:1", GossipMessage.fetchReply(fetch.nonce(), 2, inapplicable.deltas(), SnapshotChunk.NONE));
        assertEquals(1, registry.stateIndex());
        GossipMessage retry = sent.get("c1:1").get(1);
        assertEquals(SnapshotChunk.SNAPSHOT_ONLY, retry.chunk().index());
        Snapshot snapshot = Snapshot.of(2, PublishedState.of(withChange(first, 4)));
        assertTrue(gossip.onGossip(9, "c1:1", GossipMessage.fetchReply(retry.nonce(), 2, List.of(), snapshot.chunk(0)))
                .stateAdvanced());
        assertEquals(2, registry.stateIndex());
    }

    /** A large snapshot is fetched chunk by chunk, and the fetch continues while newer states are published. */
    @Test
    void largeSnapshotIsFetchedInChunksDuringFurtherChanges() {
        SplittableRandom random = new SplittableRandom(1);
        StringBuilder randomText = new StringBuilder();
        for (int i = 0; i < 300_000; i++) {
            randomText.append((char) ('a' + random.nextInt(26)));
        }
        ControlState state = ControlState.EMPTY.with(new Change(
                Change.Kind.REPLACE,
                0,
                utf8("{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"}],\"note\":\"" + randomText + "\"}")));
        Fleet fleet = new Fleet(5, 3, 0, 20);
        fleet.publish("c1:1", 1, state);
        for (int i = 0; i < 40; i++) {
            state = state.with(update(state.configuration().version(), route(i, 100 + i), ""));
            fleet.publish("c1:1", 2 + i, state);
            fleet.run(fleet.nowMs + 20);
        }
        fleet.run(fleet.nowMs + 1_000);
        fleet.assertAllHave(41, state);
        int chunks = (Snapshot.of(41, PublishedState.of(state)).bytes().length + SnapshotChunk.MAX_BYTES - 1)
                / SnapshotChunk.MAX_BYTES;
        assertTrue(chunks > 2, chunks + " chunks");
        fleet.stateBytesTo.forEach((name, bytes) ->
                assertTrue(bytes < 2L * (chunks + 1) * SnapshotChunk.MAX_BYTES, bytes + " bytes to " + name));
    }

    @Test
    void processConnectedOnlyToAStaleCoreMachineIsNotFresh() {
        Fleet fleet = new Fleet(6, 4, 0, 3);
        ControlState old = initialState();
        fleet.publish("c1:1", 1, old);
        fleet.registries.get("c1:1").confirmFresh(fleet.nowMs);
        fleet.run(1_000);
        fleet.start("alone:1", List.of());
        Registry isolated = fleet.registries.get("alone:1");
        Gossip gossip = fleet.gossips.get("alone:1");
        Registry stale = new Registry();
        stale.publish(1, old);
        gossip.onGossip(fleet.nowMs, "stale:1", GossipMessage.update(0, 1, List.of(), List.of()));
        gossip.onGossip(fleet.nowMs, "stale:1", stale.reply(fleet.nowMs, isolated.query(fleet.nowMs, 5, false)));
        assertTrue(isolated.freshAtMs() < -1_000_000, "no process with a fresh state was queried");
        ControlState next = withChange(old, 4);
        fleet.publish("c2:1", 2, next);
        fleet.run(fleet.nowMs + 3_000);
        gossip.onGossip(fleet.nowMs, "stale:1", GossipMessage.update(0, 1, List.of(), List.of()));
        fleet.assertAllHave(2, next);
    }
}
