package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The total order of epochs, and that equality and hash follow it. */
class EpochTest {
    private static final List<Epoch> RISING = List.of(
            Epoch.NONE,
            Epoch.INITIAL,
            new Epoch(1, "a", 9),
            new Epoch(1, "b", -3),
            new Epoch(1, "b", 7),
            new Epoch(2, "a", 1));

    @Test
    void epochsAreOrderedByNumberThenCandidateThenAttempt() {
        for (int i = 0; i < RISING.size(); i++) {
            for (int j = 0; j < RISING.size(); j++) {
                assertEquals(
                        Integer.signum(Integer.compare(i, j)),
                        Integer.signum(RISING.get(i).compareTo(RISING.get(j))),
                        i + " and " + j);
            }
        }
    }

    @Test
    void equalsAndHashCodeFollowTheOrder() {
        for (Epoch epoch : RISING) {
            Epoch again = new Epoch(epoch.number(), new String(epoch.candidate()), epoch.nonce());
            assertEquals(epoch, again);
            assertEquals(epoch.hashCode(), again.hashCode());
        }
        for (int i = 1; i < RISING.size(); i++) {
            assertNotEquals(RISING.get(i - 1), RISING.get(i));
            assertTrue(RISING.get(i).isAbove(RISING.get(i - 1)));
        }
        assertNotEquals(Epoch.NONE, null);
    }
}
