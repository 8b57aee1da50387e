package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which heartbeats a quorum has acknowledged, and when the last of them was sent. */
class HeartbeatQuorumTest {
    private static final Membership FIVE_VOTERS =
            new Membership(new Epoch(1, "a", 1), "a", List.of("a", "b"), List.of("a", "b", "c", "d", "e"), List.of());
    private static final int TRACKED = 64;

    private final HeartbeatQuorum quorum = new HeartbeatQuorum("a");

    @Test
    void heartbeatIsConfirmedByAMajority() {
        assertEquals(1, quorum.nextSequence(100));
        assertEquals(2, quorum.nextSequence(200));
        assertEquals(3, quorum.nextSequence(300));
        quorum.acknowledge("b", 3);
        quorum.update(FIVE_VOTERS);
        assertEquals(0, quorum.confirmedSequence());
        assertTrue(quorum.confirmedAtMs() < 0, "none is confirmed");
        quorum.acknowledge("c", 2);
        quorum.update(FIVE_VOTERS);
        assertEquals(2, quorum.confirmedSequence());
        assertEquals(200, quorum.confirmedAtMs());
        assertEquals(3, quorum.lastSequence());
    }

    @Test
    void confirmationIsNotTakenBackByALateReply() {
        quorum.nextSequence(100);
        quorum.nextSequence(200);
        quorum.acknowledge("b", 2);
        quorum.acknowledge("c", 2);
        quorum.update(FIVE_VOTERS);
        quorum.acknowledge("b", 1);
        quorum.acknowledge("c", 1);
        quorum.acknowledge("d", 1);
        quorum.update(FIVE_VOTERS);
        assertEquals(2, quorum.confirmedSequence());
        assertEquals(200, quorum.confirmedAtMs());
    }

    @Test
    void lowerConfirmationDoesNotReplaceAHigherOneInTheSameUpdate() {
        for (int i = 1; i <= 4; i++) {
            quorum.nextSequence(100L * i);
        }
        quorum.acknowledge("b", 3);
        quorum.acknowledge("c", 3);
        quorum.acknowledge("d", 1);
        quorum.acknowledge("e", 2);
        quorum.update(FIVE_VOTERS);
        assertEquals(3, quorum.confirmedSequence());
        assertEquals(300, quorum.confirmedAtMs());
    }

    @Test
    void singleVoterConfirmsItsHeartbeatByItself() {
        quorum.nextSequence(100);
        quorum.update(new Membership(new Epoch(1, "a", 1), "a", List.of("a"), List.of("a"), List.of()));
        assertEquals(1, quorum.confirmedSequence());
        assertEquals(100, quorum.confirmedAtMs());
    }

    @Test
    void replyToAHeartbeatThatIsNoLongerTrackedConfirmsNoTime() {
        for (int i = 1; i <= TRACKED + 3; i++) {
            quorum.nextSequence(i);
        }
        quorum.acknowledge("b", 3);
        quorum.acknowledge("c", 3);
        quorum.update(FIVE_VOTERS);
        assertEquals(3, quorum.confirmedSequence());
        assertTrue(quorum.confirmedAtMs() < 0, "its time is forgotten");
        quorum.acknowledge("b", 4);
        quorum.acknowledge("c", 4);
        quorum.update(FIVE_VOTERS);
        assertEquals(4, quorum.confirmedAtMs());
    }
}
