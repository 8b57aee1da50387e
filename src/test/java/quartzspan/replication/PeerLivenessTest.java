package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When another replica counts as heard, as a standby, and as about to shut down. */
class PeerLivenessTest {
    private static final long START_MS = 1_000;
    private static final long TIMEOUT_MS = 1_000;
    private static final Membership MEMBERSHIP =
            new Membership(new Epoch(1, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c"), List.of());

    private final PeerLiveness peers = new PeerLiveness("a", START_MS);

    @Test
    void contactIsCountedFromTheStartAndFromTheLastMessage() {
        assertEquals(0, peers.sinceLastContactMs(5_000, "a"), "this replica itself");
        assertEquals(4_000, peers.sinceLastContactMs(5_000, "b"));
        peers.onMessageFrom(4_500, "b");
        assertEquals(
                Map.of("a", 0L, "b", 500L, "c", 4_000L), peers.allSinceLastContactMs(5_000, List.of("a", "b", "c")));
    }

    @Test
    void laterOfOwnAndReportedContactCounts() {
        peers.onMessageFrom(4_500, "b");
        peers.mergeReportedContacts(5_000, Map.of("b", 2_000L, "c", 300L));
        assertEquals(500, peers.sinceLastContactMs(5_000, "b"));
        assertEquals(300, peers.sinceLastContactMs(5_000, "c"));
    }

    @Test
    void standbyCountsUntilItsRequestsCease() {
        peers.onStandby(2_000, "s");
        assertEquals(List.of("s"), peers.standbys(2_000 + TIMEOUT_MS, MEMBERSHIP));
        assertEquals(List.of(), peers.standbys(2_001 + TIMEOUT_MS, MEMBERSHIP));
        assertEquals(0, peers.standbyDurationMs(2_001 + TIMEOUT_MS, "s"), "it is forgotten");
    }

    @Test
    void standbyDurationRestartsAfterAnInterruption() {
        peers.onStandby(2_000, "s");
        peers.onStandby(2_000 + TIMEOUT_MS, "s");
        assertEquals(1_500, peers.standbyDurationMs(3_500, "s"));
        peers.onStandby(3_001 + TIMEOUT_MS, "s");
        assertEquals(0, peers.standbyDurationMs(4_001, "s"));
        assertEquals(0, peers.standbyDurationMs(4_001, "unknown"));
    }

    @Test
    void votersAndLeavingReplicasAreNoStandbys() {
        Membership joint = new Membership(
                new Epoch(2, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "d"), List.of("a", "b", "c"));
        for (String name : List.of("b", "c", "d", "s", "t")) {
            peers.onStandby(2_000, name);
        }
        peers.onLeaving(2_000, "t");
        assertEquals(List.of("s"), peers.standbys(2_000, joint));
    }

    @Test
    void replicaIsLeavingUntilItsAnnouncementsCease() {
        peers.onLeaving(2_000, "b");
        peers.onLeaving(2_500, "c");
        assertEquals(Set.of("b", "c"), peers.leaving(2_000 + TIMEOUT_MS));
        assertEquals(Set.of("c"), peers.leaving(2_001 + TIMEOUT_MS));
    }
}
