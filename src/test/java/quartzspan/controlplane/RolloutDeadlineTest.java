package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quartzspan.controlplane.SimulatedRollout.LoadingServer;

/** No server begins requests on outdated weights after the deadline of a newer target version. */
class RolloutDeadlineTest {
    private static final int SERVERS = 8;
    private static final long LOAD_MS = 2_600;
    private static final int SEEDS = 300;

    @Test
    void serverMissedByEarlierRolloutsIsOrderedBeforeItsEarliestDeadline() {
        SimulatedRollout rollout = new SimulatedRollout();
        for (int i = 0; i < SERVERS; i++) {
            rollout.add(new LoadingServer("i" + i, LOAD_MS));
        }
        rollout.setTarget(2).run(3_900).setTarget(3).run(4_900).setTarget(4).run(1_500);
        assertEquals(List.of(), rollout.overdue());
    }

    @Test
    void everyServerIsOrderedInTimeForAnyTargetVersionsAndLoadDurations() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedRollout rollout = new SimulatedRollout();
            int servers = random.nextInt(1, 80);
            for (int i = 0; i < servers; i++) {
                rollout.add(new LoadingServer("i" + i, random.nextLong(500, 9_000)));
            }
            for (int version = 2; version < 2 + random.nextInt(1, 8); version++) {
                rollout.setTarget(version).run(random.nextLong(100, 9_000));
            }
            rollout.run(2 * SimulatedRollout.APPLY_MS);
            assertEquals(Set.of(), rollout.everOverdue(), "seed " + seed);
        }
    }

    @Test
    void serverThatReturnsWithOverdueWeightsIsOrderedImmediately() {
        SimulatedRollout rollout = new SimulatedRollout();
        for (int i = 0; i < SERVERS; i++) {
            rollout.add(new LoadingServer("i" + i, SimulatedRollout.APPLY_MS));
        }
        rollout.setTarget(2).run(SimulatedRollout.APPLY_MS);
        rollout.restart(0);
        rollout.run(1);
        assertEquals(List.of(), rollout.overdue());
    }
}
