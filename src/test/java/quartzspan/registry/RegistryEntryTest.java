package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which of two entries of one server supersedes the other, in whatever order they arrive. */
class RegistryEntryTest {
    private static RegistryEntry entry(long seq, RegistryEntry.State state, String text) {
        return new RegistryEntry(RegistryEntry.Subject.SERVER, "i", seq, state, text);
    }

    @Test
    void laterEntriesOfOtherMachinesDoNotUndoDraining() {
        // One machine receives the notice that the server is draining, while another one updates its weights twice.
        Registry firstRegistry = new Registry();
        HeartbeatTracker firstTracker = new HeartbeatTracker(firstRegistry, 1_000);
        Registry secondRegistry = new Registry();
        HeartbeatTracker secondTracker = new HeartbeatTracker(secondRegistry, 1_000);
        Server reported = new Server("i", "s", "10.0.0.9:80", "z", "m", 1, 0, 0, RegistryEntry.State.READY);
        secondRegistry.merge(0, firstTracker.onServerHeartbeat(0, "i", 5, RegistryEntry.State.READY, reported));
        RegistryEntry draining = firstTracker.onServerHeartbeat(10, "i", 6, RegistryEntry.State.DRAINING, reported);
        secondTracker.onLoadOrdered(10, "i", 2);
        RegistryEntry later = secondTracker.onWeightsReported(20, "i", 2);
        assertNotNull(later);
        assertTrue(later.seq() > draining.seq());
        assertFalse(firstRegistry.merge(30, later));
        assertTrue(secondRegistry.merge(30, draining));
        assertEquals(
                firstRegistry.entry(RegistryEntry.Subject.SERVER, "i"),
                secondRegistry.entry(RegistryEntry.Subject.SERVER, "i"));
    }

    @Test
    void drainingServerThatTimesOutIsGone() {
        Registry registry = new Registry();
        HeartbeatTracker tracker = new HeartbeatTracker(registry, 1_000);
        Server reported = new Server("i", "s", "10.0.0.9:80", "z", "m", 1, 0, 0, RegistryEntry.State.READY);
        tracker.onServerHeartbeat(0, "i", 5, RegistryEntry.State.READY, reported);
        tracker.onServerHeartbeat(10, "i", 6, RegistryEntry.State.DRAINING, reported);
        assertEquals(
                RegistryEntry.State.GONE, tracker.expireTimedOut(9_000).get(0).state());
        tracker.onServerHeartbeat(9_100, "i", 7, RegistryEntry.State.READY, reported);
        assertEquals(
                RegistryEntry.State.GONE,
                registry.entry(RegistryEntry.Subject.SERVER, "i").state());
    }

    @Test
    void lateDrainingHeartbeatIsApplied() {
        Registry registry = new Registry();
        HeartbeatTracker tracker = new HeartbeatTracker(registry, 1_000);
        Server reported = new Server("i", "s", "10.0.0.9:80", "z", "m", 1, 0, 0, RegistryEntry.State.READY);
        tracker.onServerHeartbeat(0, "i", 9, RegistryEntry.State.READY, reported);
        assertNotNull(tracker.onServerHeartbeat(10, "i", 8, RegistryEntry.State.DRAINING, reported));
    }

    @Test
    void supersedesIsATotalOrder() {
        List<RegistryEntry> all = new ArrayList<>();
        for (RegistryEntry.State state : RegistryEntry.State.values()) {
            for (long seq = 1; seq < 4; seq++) {
                all.add(entry(seq, state, "a"));
                all.add(entry(seq, state, "b"));
            }
        }
        for (RegistryEntry a : all) {
            for (RegistryEntry b : all) {
                assertTrue(a.equals(b) ? !a.supersedes(b) : a.supersedes(b) != b.supersedes(a), a + " and " + b);
                for (RegistryEntry c : all) {
                    assertTrue(!(a.supersedes(b) && b.supersedes(c)) || a.supersedes(c), a + ", " + b + " and " + c);
                }
            }
        }
    }

    @Test
    void entriesWithEqualSeqAndDifferentTextsConverge() {
        Registry firstRegistry = new Registry();
        Registry secondRegistry = new Registry();
        firstRegistry.merge(0, entry(4, RegistryEntry.State.READY, "a"));
        secondRegistry.merge(0, entry(4, RegistryEntry.State.READY, "b"));
        GossipMessage reply = secondRegistry.reply(0, firstRegistry.query(0, 1, true));
        assertFalse(firstRegistry.merge(0, reply, 0).isEmpty());
        assertEquals("b", firstRegistry.entry(RegistryEntry.Subject.SERVER, "i").text());
    }
}
