package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the total order of epochs, and that equals and hashCode are consistent with it. */
class EpochTest {
    private static final List<Epoch> ASCENDING_EPOCHS = List.of(
            Epoch.NONE,
            Epoch.INITIAL,
            new Epoch(1, "a", 9),
            new Epoch(1, "b", -3),
            new Epoch(1, "b", 7),
            new Epoch(2, "a", 1));

    @Test
    void epochsAreOrderedByNumberThenCandidateThenNonce() {
        for (int i = 0; i < ASCENDING_EPOCHS.size(); i++) {
            for (int j = 0; j < ASCENDING_EPOCHS.size(); j++) {
                assertEquals(
                        Integer.signum(Integer.compare(i, j)),
                        Integer.signum(ASCENDING_EPOCHS.get(i).compareTo(ASCENDING_EPOCHS.get(j))),
                        i + " and " + j);
            }
        }
    }

    @Test
    void equalsAndHashCodeFollowTheOrder() {
        for (Epoch epoch : ASCENDING_EPOCHS) {
            Epoch copy = new Epoch(epoch.number(), new String(epoch.candidate()), epoch.nonce());
            assertEquals(epoch, copy);
            assertEquals(epoch.hashCode(), copy.hashCode());
        }
        for (int i = 1; i < ASCENDING_EPOCHS.size(); i++) {
            assertNotEquals(ASCENDING_EPOCHS.get(i - 1), ASCENDING_EPOCHS.get(i));
            assertTrue(ASCENDING_EPOCHS.get(i).isAbove(ASCENDING_EPOCHS.get(i - 1)));
        }
        assertNotEquals(Epoch.NONE, null);
    }
}
