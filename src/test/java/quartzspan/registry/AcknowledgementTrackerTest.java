package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When news count as held by enough other core machines. */
class AcknowledgementTrackerTest {
    private static final List<String> CORES = List.of("c1:1", "c2:1", "c3:1", "c4:1", "c5:1");
    private static final RegistryEntry DRAINING =
            new RegistryEntry(RegistryEntry.Subject.SERVER, "i", 3, RegistryEntry.State.DRAINING, "");

    private record Sent(String to, GossipMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final Gossip gossip =
            new Gossip("c1:1", true, CORES, new Registry(), (to, message) -> sent.add(new Sent(to, message)));
    private int acknowledged;

    private void answers(String from, long receipt) {
        gossip.onGossip(
                10,
                from,
                new GossipMessage(
                        GossipMessage.Kind.REPLY,
                        receipt,
                        -1,
                        -1,
                        GossipMessage.UNCOMPARED,
                        List.of(),
                        List.of(),
                        SnapshotChunk.NONE));
    }

    private long broadcast(int wanted) {
        return gossip.broadcastUntilAcknowledged(0, List.of(DRAINING), wanted, () -> acknowledged++);
    }

    @Test
    void machineThatAcknowledgesTwiceCountsOnce() {
        long receipt = broadcast(2);
        answers("c2:1", receipt);
        answers("c2:1", receipt);
        assertEquals(0, acknowledged, "one machine is not two");
        answers("c3:1", receipt);
        assertEquals(1, acknowledged);
        answers("c4:1", receipt);
        assertEquals(1, acknowledged, "told once");
    }

    @Test
    void onlyRecipientsCount() {
        long receipt = broadcast(1);
        answers("p1:1", receipt);
        answers("c2:1", receipt + 1);
        assertEquals(0, acknowledged);
    }

    @Test
    void onlyMachinesThatHaveNotAcknowledgedAreSentARetry() {
        long receipt = broadcast(2);
        answers("c2:1", receipt);
        sent.clear();
        gossip.onTick(200, "c2:1");
        List<String> again = sent.stream()
                .filter(s -> s.message().nonce() == receipt)
                .map(Sent::to)
                .sorted()
                .toList();
        assertEquals(List.of("c3:1", "c4:1", "c5:1"), again);
    }

    @Test
    void cancelledBroadcastIsNeitherRetriedNorReported() {
        long receipt = broadcast(1);
        gossip.cancelBroadcast(receipt);
        sent.clear();
        gossip.onTick(200, "c2:1");
        answers("c2:1", receipt);
        assertEquals(0, acknowledged);
        assertTrue(sent.stream().noneMatch(s -> s.message().nonce() == receipt));
    }

    @Test
    void pendingAcknowledgementsAreBounded() {
        AcknowledgementTracker acknowledgements = new AcknowledgementTracker();
        for (int nonce = 1; nonce <= 3 * AcknowledgementTracker.MAX_PENDING; nonce++) {
            acknowledgements.track(0, nonce, 1, CORES, List.of(DRAINING), () -> acknowledged++);
        }
        assertEquals(AcknowledgementTracker.MAX_PENDING, acknowledgements.size());
        acknowledgements.onAcknowledgement(1, "c2:1");
        assertEquals(0, acknowledged, "the oldest was given up");
        acknowledgements.onAcknowledgement(3L * AcknowledgementTracker.MAX_PENDING, "c2:1");
        assertEquals(1, acknowledged);
    }

    @Test
    void entryIsAcknowledgedOnlyOnceMerged() {
        Registry registry = new Registry();
        List<Sent> answers = new ArrayList<>();
        Gossip other = new Gossip("c2:1", true, CORES, registry, (to, message) -> {
            if (message.kind() == GossipMessage.Kind.REPLY) {
                assertEquals(DRAINING, registry.entry(RegistryEntry.Subject.SERVER, "i"), "held before the receipt");
                answers.add(new Sent(to, message));
            }
        });
        long receipt = broadcast(1);
        sent.stream()
                .filter(s -> s.to().equals("c2:1") && s.message().nonce() == receipt)
                .forEach(s -> other.onGossip(5, "c1:1", s.message()));
        assertEquals(1, answers.size());
        assertEquals(receipt, answers.get(0).message().nonce());
    }

    @Test
    void endingProcessAcknowledgesNothing() {
        List<Sent> answers = new ArrayList<>();
        Gossip other =
                new Gossip("c2:1", true, CORES, new Registry(), (to, message) -> answers.add(new Sent(to, message)));
        other.stopAcknowledging();
        long receipt = broadcast(1);
        sent.stream()
                .filter(s -> s.to().equals("c2:1") && s.message().nonce() == receipt)
                .forEach(s -> other.onGossip(5, "c1:1", s.message()));
        assertTrue(answers.stream().noneMatch(s -> s.message().kind() == GossipMessage.Kind.REPLY));
    }

    @Test
    void replyToAnEarlierIncarnationDoesNotConfirmFreshness() {
        List<GossipMessage> query = new ArrayList<>();
        Gossip before = new Gossip("c1:1", true, CORES, new Registry(), (to, m) -> query.add(m), Gossip.firstNonce(1));
        before.onTick(0, "c2:1");
        Registry registry = new Registry();
        Gossip after = new Gossip("c1:1", true, CORES, registry, (to, m) -> {}, Gossip.firstNonce(2));
        after.onTick(0, "c2:1");
        for (GossipMessage question : query) {
            after.onGossip(
                    10,
                    "c2:1",
                    new GossipMessage(
                            GossipMessage.Kind.REPLY,
                            question.nonce(),
                            0,
                            -1,
                            GossipMessage.UNCOMPARED,
                            List.of(),
                            List.of(),
                            SnapshotChunk.NONE));
        }
        assertTrue(registry.freshAt() < -1_000_000);
    }
}
