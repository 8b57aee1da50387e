package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The total order of ballots, and that equality and hash follow it. */
class BallotTest {
    private static final List<Ballot> RISING = List.of(
            Ballot.NONE,
            Ballot.FOUNDING,
            new Ballot(1, "a", 9),
            new Ballot(1, "b", -3),
            new Ballot(1, "b", 7),
            new Ballot(2, "a", 1));

    @Test
    void numberThenCandidateThenAttemptDecide() {
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
    void equalsAndHashFollowTheOrder() {
        for (Ballot ballot : RISING) {
            Ballot again = new Ballot(ballot.number(), new String(ballot.candidate()), ballot.attempt());
            assertEquals(ballot, again);
            assertEquals(ballot.hashCode(), again.hashCode());
        }
        for (int i = 1; i < RISING.size(); i++) {
            assertNotEquals(RISING.get(i - 1), RISING.get(i));
            assertTrue(RISING.get(i).isAbove(RISING.get(i - 1)));
        }
        assertNotEquals(Ballot.NONE, null);
    }
}
