package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Counting of the core machines that have acknowledged entries, and the retries to those that have not. */
class AcknowledgementTrackerTest {
    private static final List<String> CORES = List.of("c1:1", "c2:1", "c3:1", "c4:1", "c5:1");
    private static final RegistryEntry DRAINING =
            new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 3, RegistryEntry.State.DRAINING, "");

    private record Sent(String to, GossipMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final Gossip gossip =
            new Gossip("c1:1", true, CORES, new Registry(), (to, message) -> sent.add(new Sent(to, message)));
    private int acknowledgedCount;

    private void acknowledge(String from, long nonce) {
        gossip.onGossip(
                10,
                from,
                new GossipMessage(
                        GossipMessage.Kind.REPLY,
                        nonce,
                        -1,
                        -1,
                        GossipMessage.NO_DIGESTS,
                        List.of(),
                        List.of(),
                        SnapshotChunk.NONE,
                        List.of()));
    }

    private long broadcast(int required) {
        // The broadcasting machine itself is one of the holders.
        return gossip.broadcastUntilAcknowledged(
                0, List.of(DRAINING), holders -> holders.size() > required, () -> acknowledgedCount++);
    }

    @Test
    void machineThatAcknowledgesTwiceCountsOnce() {
        long nonce = broadcast(2);
        acknowledge("c2:1", nonce);
        acknowledge("c2:1", nonce);
        assertEquals(0, acknowledgedCount, "the same machine counts once");
        acknowledge("c3:1", nonce);
        assertEquals(1, acknowledgedCount);
        acknowledge("c4:1", nonce);
        assertEquals(1, acknowledgedCount, "the callback runs once");
    }

    @Test
    void acknowledgementsOfOtherMachinesAndOtherNoncesAreIgnored() {
        long nonce = broadcast(1);
        acknowledge("p1:1", nonce);
        acknowledge("c2:1", nonce + 1);
        assertEquals(0, acknowledgedCount);
    }

    @Test
    void onlyMachinesThatHaveNotAcknowledgedAreSentARetry() {
        long nonce = broadcast(2);
        acknowledge("c2:1", nonce);
        sent.clear();
        gossip.onTick(200, "c2:1");
        List<String> retried = sent.stream()
                .filter(s -> s.message().nonce() == nonce)
                .map(Sent::to)
                .sorted()
                .toList();
        assertEquals(List.of("c3:1", "c4:1", "c5:1"), retried);
    }

    @Test
    void cancelledBroadcastIsNeitherRetriedNorReported() {
        long nonce = broadcast(1);
        gossip.cancelBroadcast(nonce);
        sent.clear();
        gossip.onTick(200, "c2:1");
        acknowledge("c2:1", nonce);
        assertEquals(0, acknowledgedCount);
        assertTrue(sent.stream().noneMatch(s -> s.message().nonce() == nonce));
    }

    @Test
    void pendingAcknowledgementsAreBounded() {
        AcknowledgementTracker acknowledgements = new AcknowledgementTracker();
        for (int nonce = 1; nonce <= 3 * AcknowledgementTracker.MAX_PENDING; nonce++) {
            acknowledgements.track(
                    0, nonce, holders -> !holders.isEmpty(), CORES, List.of(DRAINING), () -> acknowledgedCount++);
        }
        assertEquals(AcknowledgementTracker.MAX_PENDING, acknowledgements.size());
        acknowledgements.onAcknowledgement(1, "c2:1");
        assertEquals(0, acknowledgedCount, "the oldest is no longer tracked");
        acknowledgements.onAcknowledgement(3L * AcknowledgementTracker.MAX_PENDING, "c2:1");
        assertEquals(1, acknowledgedCount);
    }

    @Test
    void entryIsAcknowledgedOnlyOnceMerged() {
        Registry registry = new Registry();
        List<Sent> replies = new ArrayList<>();
        Gossip receiver = new Gossip("c2:1", true, CORES, registry, (to, message) -> {
            if (message.kind() == GossipMessage.Kind.REPLY) {
                assertEquals(
                        DRAINING,
                        registry.entry(RegistryEntry.Subject.SERVER, "i"),
                        "merged before the acknowledgement is sent");
                replies.add(new Sent(to, message));
            }
        });
        long nonce = broadcast(1);
        sent.stream()
                .filter(s -> s.to().equals("c2:1") && s.message().nonce() == nonce)
                .forEach(s -> receiver.onGossip(5, "c1:1", s.message()));
        assertEquals(1, replies.size());
        assertEquals(nonce, replies.get(0).message().nonce());
    }

    /** Guards against an acknowledged departure that all processes forget when they end at once. */
    @Test
    void entryIsAcknowledgedOnlyOnceDurable() {
        List<Sent> replies = new ArrayList<>();
        List<Runnable> waiting = new ArrayList<>();
        Gossip receiver =
                new Gossip("c2:1", true, CORES, new Registry(), (to, message) -> replies.add(new Sent(to, message)));
        receiver.acknowledgeOnceDurable((now, entries, onDurable) -> waiting.add(onDurable));
        long nonce = broadcast(1);
        sent.stream()
                .filter(s -> s.to().equals("c2:1") && s.message().nonce() == nonce)
                .forEach(s -> receiver.onGossip(5, "c1:1", s.message()));
        assertTrue(replies.stream().noneMatch(s -> s.message().kind() == GossipMessage.Kind.REPLY));
        waiting.forEach(Runnable::run);
        assertEquals(
                1, replies.stream().filter(s -> s.message().nonce() == nonce).count());
    }

    @Test
    void broadcastingProcessCountsOnceItsOwnCopyIsDurable() {
        List<Runnable> waiting = new ArrayList<>();
        gossip.acknowledgeOnceDurable((now, entries, onDurable) -> waiting.add(onDurable));
        long nonce = broadcast(1);
        acknowledge("c2:1", nonce);
        assertEquals(0, acknowledgedCount);
        waiting.forEach(Runnable::run);
        assertEquals(1, acknowledgedCount);
    }

    @Test
    void processThatIsShuttingDownAcknowledgesNothing() {
        List<Sent> replies = new ArrayList<>();
        Gossip receiver =
                new Gossip("c2:1", true, CORES, new Registry(), (to, message) -> replies.add(new Sent(to, message)));
        receiver.stopAcknowledging();
        long nonce = broadcast(1);
        sent.stream()
                .filter(s -> s.to().equals("c2:1") && s.message().nonce() == nonce)
                .forEach(s -> receiver.onGossip(5, "c1:1", s.message()));
        assertTrue(replies.stream().noneMatch(s -> s.message().kind() == GossipMessage.Kind.REPLY));
    }

    @Test
    void replyToAnEarlierIncarnationDoesNotConfirmFreshness() {
        List<GossipMessage> queries = new ArrayList<>();
        Gossip before =
                new Gossip("c1:1", true, CORES, new Registry(), (to, m) -> queries.add(m), Gossip.firstNonce(1));
        before.onTick(0, "c2:1");
        Registry registry = new Registry();
        Gossip after = new Gossip("c1:1", true, CORES, registry, (to, m) -> {}, Gossip.firstNonce(2));
        after.onTick(0, "c2:1");
        for (GossipMessage query : queries) {
            after.onGossip(
                    10,
                    "c2:1",
                    new GossipMessage(
                            GossipMessage.Kind.REPLY,
                            query.nonce(),
                            0,
                            -1,
                            GossipMessage.NO_DIGESTS,
                            List.of(),
                            List.of(),
                            SnapshotChunk.NONE,
                            List.of()));
        }
        assertTrue(registry.freshAtMs() < -1_000_000);
    }
}
