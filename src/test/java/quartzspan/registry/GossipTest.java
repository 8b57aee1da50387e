package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.registry.GossipMessage.Kind;
import quartzspan.registry.RegistryEntry.State;
import quartzspan.registry.RegistryEntry.Subject;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** Whom a process asks, tells and counts as failing, and what it forwards. */
class GossipTest {
    private static final String SELF = "self:1";
    private static final List<String> CORES = List.of("c1:1", "c2:1", "c3:1");
    private static final long QUERY_INTERVAL_MS = 250;
    private static final long QUERY_TIMEOUT_MS = 400;
    private static final long FETCH_TIMEOUT_MS = 600;
    private static final long SUBSCRIPTION_TTL_MS = 1_500;

    private record Sent(String to, GossipMessage message) {}

    private final Registry registry = new Registry();
    private final List<Sent> sent = new ArrayList<>();
    private final Gossip proxy = gossip(false);
    private final Gossip core = gossip(true);

    private Gossip gossip(boolean isCoreMachine) {
        return new Gossip(SELF, isCoreMachine, CORES, registry, (to, message) -> sent.add(new Sent(to, message)));
    }

    private List<String> receivers(Kind kind) {
        return sent.stream()
                .filter(entry -> entry.message().kind() == kind)
                .map(Sent::to)
                .toList();
    }

    private GossipMessage last(Kind kind) {
        return sent.stream()
                .map(Sent::message)
                .filter(message -> message.kind() == kind)
                .reduce((one, other) -> other)
                .orElseThrow();
    }

    private static RegistryEntry entry(Subject subject, String key, State state, String text) {
        return new RegistryEntry(subject, key, 1, state, text);
    }

    private static RegistryEntry server(String id, long seq) {
        return new RegistryEntry(Subject.SERVER, id, seq, State.READY, "");
    }

    private void addProxies(int count) {
        for (int i = 0; i < count; i++) {
            registry.merge(0, entry(Subject.PROXY, "p" + i + ":1", State.READY, "z"));
        }
    }

    private static ControlState withWeights(ControlState state, long version) {
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        return state.with(new Change(Change.Kind.WEIGHTS, 0, body));
    }

    /** A reply of an up-to-date process that has the same entries and state as this one. */
    private GossipMessage replyTo(GossipMessage query, long ageMs) {
        GossipMessage reply = registry.reply(0, query);
        return new GossipMessage(
                reply.kind(),
                reply.nonce(),
                ageMs,
                reply.stateIndex(),
                reply.digests(),
                reply.entries(),
                reply.deltas(),
                reply.chunk(),
                reply.targetAges());
    }

    @Test
    void coresAreTheSeedsAndThoseThatAreRegistered() {
        assertEquals(Set.copyOf(CORES), Set.copyOf(proxy.cores()));
        registry.merge(0, entry(Subject.CORE, "c4:1", State.READY, "a\tz"));
        registry.merge(0, entry(Subject.CORE, "c1:1", State.GONE, "a\tz"));
        registry.merge(0, entry(Subject.CORE, "c2:1", State.LOST, "a\tz"));
        assertEquals(Set.of("c2:1", "c3:1", "c4:1"), Set.copyOf(proxy.cores()), "a lost one may come back");
        proxy.setSeeds(List.of("c9:1"));
        assertEquals(Set.of("c9:1", "c4:1"), Set.copyOf(proxy.cores()));
    }

    @Test
    void coresOfThePreferredZoneComeFirst() {
        for (String zone : List.of("x", "y")) {
            for (int i = 0; i < 4; i++) {
                registry.merge(0, entry(Subject.CORE, zone + i + ":1", State.READY, "a\t" + zone));
            }
        }
        proxy.preferZone("y");
        assertTrue(proxy.cores().subList(0, 4).stream().allMatch(name -> name.startsWith("y")));
        proxy.preferZone("x");
        assertTrue(proxy.cores().subList(0, 4).stream().allMatch(name -> name.startsWith("x")));
    }

    @Test
    void peersAreAFewProxiesThatStayTheSame() {
        addProxies(9);
        registry.merge(0, entry(Subject.PROXY, SELF, State.READY, "z"));
        registry.merge(0, entry(Subject.PROXY, "lost:1", State.LOST, "z"));
        List<String> peers = proxy.peers();
        assertEquals(3, peers.size());
        assertFalse(peers.contains(SELF));
        registry.merge(0, entry(Subject.CORE, "c4:1", State.READY, "a\tz"));
        assertEquals(peers, proxy.peers());
    }

    @Test
    void firstCoreMachineIsAskedAtEachInterval() {
        proxy.onTick(0, null);
        String first = proxy.cores().get(0);
        assertEquals(List.of(first), receivers(Kind.QUERY));
        proxy.onTick(QUERY_INTERVAL_MS - 1, null);
        assertEquals(1, receivers(Kind.QUERY).size());
        proxy.onTick(QUERY_INTERVAL_MS, null);
        assertEquals(List.of(first, first), receivers(Kind.QUERY));
    }

    @Test
    void coreMachineAsksThePrimary() {
        core.onTick(0, "c2:1");
        assertTrue(receivers(Kind.QUERY).contains("c2:1"));
    }

    @Test
    void unresponsiveCoreMachineIsAskedBesidesAnotherAndComesLast() {
        proxy.onTick(0, null);
        String first = proxy.cores().get(0);
        proxy.onTick(QUERY_TIMEOUT_MS, null);
        assertEquals(first, proxy.cores().get(0));
        proxy.onTick(QUERY_TIMEOUT_MS + 1, null);
        assertNotEquals(first, proxy.cores().get(0));
    }

    @Test
    void allCoreMachinesAreTriedWhileNoneReplies() {
        for (long now = 0; now < 10_000; now += 50) {
            proxy.onTick(now, null);
        }
        assertEquals(Set.copyOf(CORES), new HashSet<>(receivers(Kind.QUERY)));
    }

    @Test
    void freshReplyEndsTheFailures() {
        proxy.onTick(0, null);
        String first = proxy.cores().get(0);
        GossipMessage query = last(Kind.QUERY);
        proxy.onGossip(10, first, replyTo(query, -1));
        assertNotEquals(first, proxy.cores().get(0), "its state is not fresh");
        for (long now = QUERY_INTERVAL_MS; now < 5_000; now += QUERY_INTERVAL_MS) {
            int before = sent.size();
            proxy.onTick(now, null);
            for (Sent asked : List.copyOf(sent.subList(before, sent.size()))) {
                proxy.onGossip(now, asked.to(), replyTo(asked.message(), 0));
            }
        }
        assertEquals(first, proxy.cores().get(0));
    }

    @Test
    void replyThatIsTooOldIsAFailure() {
        for (long ageMs : List.of(100L, 60_000L)) {
            sent.clear();
            Gossip asking = gossip(false);
            asking.onTick(0, null);
            String first = asking.cores().get(0);
            asking.onGossip(10, first, replyTo(last(Kind.QUERY), ageMs));
            assertEquals(ageMs == 100, first.equals(asking.cores().get(0)));
        }
    }

    @Test
    void replyOfAnotherProcessIsNoReply() {
        proxy.onTick(0, null);
        GossipMessage query = last(Kind.QUERY);
        String first = proxy.cores().get(0);
        proxy.onGossip(10, "stranger:1", replyTo(query, 0));
        proxy.onTick(QUERY_TIMEOUT_MS + 1, null);
        assertNotEquals(first, proxy.cores().get(0), "its query has timed out");
    }

    @Test
    void differingDigestsLeadToAFullQueryAndThenToTheMissingEntries() {
        Registry other = new Registry();
        other.merge(0, server("theirs", 1));
        registry.merge(0, server("ours", 1));
        proxy.onTick(0, null);
        String first = proxy.cores().get(0);
        proxy.onGossip(10, first, other.reply(10, last(Kind.QUERY)));
        assertEquals(Registry.BUCKETS, last(Kind.QUERY).digests().length);
        Registry.Update update = proxy.onGossip(20, first, other.reply(20, last(Kind.QUERY)));
        assertEquals(
                List.of("theirs"),
                update.entries().stream().map(RegistryEntry::key).toList());
        List<RegistryEntry> told = sent.stream()
                .filter(entry -> entry.to().equals(first) && entry.message().kind() == Kind.UPDATE)
                .flatMap(entry -> entry.message().entries().stream())
                .toList();
        assertTrue(told.stream().anyMatch(entry -> entry.key().equals("ours")));
    }

    @Test
    void nothingIsAskedOrSentIfTheEntriesAreTheSame() {
        proxy.onTick(0, null);
        String first = proxy.cores().get(0);
        GossipMessage query = last(Kind.QUERY);
        sent.clear();
        proxy.onGossip(10, first, replyTo(query, 0));
        assertEquals(List.of(), sent);
    }

    @Test
    void queriesAreAnsweredAndSubscribe() {
        GossipMessage query = new Registry().query(0, 9, false);
        core.onGossip(0, "p1:1", query);
        assertEquals(9, last(Kind.REPLY).nonce());
        assertEquals(List.of("p1:1"), core.subscribers());
        core.onTick(SUBSCRIPTION_TTL_MS, null);
        assertEquals(List.of("p1:1"), core.subscribers());
        core.onTick(10 * SUBSCRIPTION_TTL_MS, null);
        assertEquals(List.of(), core.subscribers());
    }

    @Test
    void updateIsForwardedButNotToItsSender() {
        core.onGossip(0, "p1:1", new Registry().query(0, 9, false));
        core.onGossip(0, "p2:1", new Registry().query(0, 9, false));
        sent.clear();
        RegistryEntry entry = server("i", 1);
        core.onGossip(1_000, "p1:1", GossipMessage.update(0, -1, List.of(entry), List.of()));
        assertEquals(Set.of("p2:1", "c1:1", "c2:1", "c3:1"), Set.copyOf(receivers(Kind.UPDATE)));
        sent.clear();
        core.onGossip(2_000, "p1:1", GossipMessage.update(0, -1, List.of(entry), List.of()));
        assertEquals(List.of(), sent, "it is known");
    }

    @Test
    void proxyForwardsToItsPeers() {
        addProxies(9);
        proxy.broadcast(1_000, server("i", 1));
        assertEquals(Set.copyOf(proxy.peers()), Set.copyOf(receivers(Kind.UPDATE)));
    }

    @Test
    void batchedUpdateIsSentToAllAtTheNextTick() {
        core.broadcast(1_000, server("a", 1));
        sent.clear();
        core.onGossip(1_010, "c1:1", GossipMessage.update(0, -1, List.of(server("i", 1)), List.of()));
        assertEquals(List.of(), receivers(Kind.UPDATE));
        core.onTick(1_039, null);
        assertEquals(List.of(), receivers(Kind.UPDATE));
        core.onTick(1_040, null);
        assertEquals(Set.copyOf(CORES), Set.copyOf(receivers(Kind.UPDATE)));
        sent.clear();
        core.onTick(1_090, null);
        assertEquals(List.of(), receivers(Kind.UPDATE));
    }

    @Test
    void updateWithANonceIsAcknowledgedUntilTheProcessStops() {
        core.onGossip(0, "c1:1", GossipMessage.update(7, -1, List.of(server("i", 1)), List.of()));
        assertEquals(7, last(Kind.REPLY).nonce());
        sent.clear();
        core.onGossip(0, "c1:1", GossipMessage.update(0, -1, List.of(server("i", 2)), List.of()));
        assertEquals(List.of(), receivers(Kind.REPLY));
        core.stopAcknowledging();
        core.onGossip(0, "c1:1", GossipMessage.update(8, -1, List.of(server("i", 3)), List.of()));
        assertEquals(List.of(), receivers(Kind.REPLY));
    }

    @Test
    void publisherSendsDeltasToAllAndOthersToTheirSubscribersOnly() {
        core.onGossip(0, "p1:1", new Registry().query(0, 9, false));
        ControlState first = withWeights(ControlState.EMPTY, 1);
        registry.publish(1, first);
        core.onPublished(1_000);
        registry.publish(2, withWeights(first, 2));
        sent.clear();
        core.onPublished(2_000);
        assertTrue(sent.stream().allMatch(entry -> entry.message().deltas().size() == 1));
        assertEquals(4, sent.size());
        List<StateDelta> next = List.of(new StateDelta(
                2, 3, registry.state().deltaTo(PublishedState.of(withWeights(withWeights(ControlState.EMPTY, 1), 3)))));
        sent.clear();
        core.onGossip(3_000, "c1:1", GossipMessage.update(0, 3, List.of(), next));
        for (Sent entry : sent) {
            assertEquals(
                    entry.to().equals("p1:1") ? 1 : 0, entry.message().deltas().size(), entry.to());
            assertEquals(3, entry.message().stateIndex());
        }
        assertEquals(3, sent.size());
    }

    @Test
    void fetchIsAnsweredWithDeltasOrASnapshot() {
        ControlState first = withWeights(ControlState.EMPTY, 1);
        registry.publish(1, first);
        registry.publish(2, withWeights(first, 2));
        core.onGossip(0, "p1:1", GossipMessage.fetch(5, 1, SnapshotChunk.request(SnapshotChunk.DELTAS_OR_SNAPSHOT, 0)));
        assertEquals(5, last(Kind.FETCH_REPLY).nonce());
        assertEquals(1, last(Kind.FETCH_REPLY).deltas().size());
        assertEquals(0, last(Kind.FETCH_REPLY).chunk().totalBytes());
        core.onGossip(0, "p1:1", GossipMessage.fetch(6, 1, SnapshotChunk.request(SnapshotChunk.SNAPSHOT_ONLY, 0)));
        assertEquals(List.of(), last(Kind.FETCH_REPLY).deltas());
        assertTrue(last(Kind.FETCH_REPLY).chunk().totalBytes() > 0);
    }

    @Test
    void fetchedStateIsForwarded() {
        Registry other = new Registry();
        other.publish(4, withWeights(ControlState.EMPTY, 1));
        proxy.onGossip(0, "c1:1", GossipMessage.update(0, 4, List.of(), List.of()));
        assertEquals(List.of("c1:1"), receivers(Kind.FETCH), "there is no state yet");
        addProxies(2);
        GossipMessage request = last(Kind.FETCH);
        GossipMessage reply = GossipMessage.fetchReply(
                request.nonce(), 4, List.of(), Snapshot.of(4, other.state()).chunk(0));
        assertTrue(proxy.onGossip(1_000, "c1:1", reply).stateAdvanced());
        assertEquals(4, registry.stateIndex());
        assertEquals(2, receivers(Kind.UPDATE).size());
    }

    @Test
    void unansweredFetchCountsAsAFailure() {
        String first = proxy.cores().get(0);
        proxy.onGossip(0, first, GossipMessage.update(0, 4, List.of(), List.of()));
        assertEquals(1, receivers(Kind.FETCH).size());
        proxy.onTick(FETCH_TIMEOUT_MS, null);
        assertEquals(first, proxy.cores().get(0));
        proxy.onTick(FETCH_TIMEOUT_MS + 1, null);
        assertNotEquals(first, proxy.cores().get(0));
    }

    @Test
    void entryThatMustSurviveIsSentToAllAndAgainToCoreMachines() {
        addProxies(2);
        core.onGossip(0, "p0:1", new Registry().query(0, 9, false));
        sent.clear();
        List<String> acknowledged = new ArrayList<>();
        core.broadcastUntilAcknowledged(
                1_000, List.of(server("i", 1)), holders -> holders.size() > 1, () -> acknowledged.add("yes"));
        assertEquals(Set.of("p0:1", "c1:1", "c2:1", "c3:1"), Set.copyOf(receivers(Kind.UPDATE)));
        sent.clear();
        proxy.broadcastUntilAcknowledged(
                1_000, List.of(server("j", 1)), holders -> holders.size() > 1, () -> acknowledged.add("yes"));
        assertTrue(receivers(Kind.UPDATE).containsAll(proxy.peers()));
        assertEquals(List.of(), acknowledged);
        sent.clear();
        core.onTick(1_500, null);
        assertEquals(Set.copyOf(CORES), Set.copyOf(receivers(Kind.UPDATE)));
    }
}
