package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.controlplane.SimulatedRollout.LoadingServer;

/** No server begins requests on weights longer than is allowed after newer ones were named. */
class RolloutDeadlineTest {
    private static final int SERVERS = 8;
    private static final long LOAD_MS = 2_600;

    @Test
    void serverThatEarlierRolloutsDidNotReachIsOrderedWithinTheTimeOfItsOldestNaming() {
        SimulatedRollout rollout = new SimulatedRollout();
        for (int i = 0; i < SERVERS; i++) {
            rollout.add(new LoadingServer("i" + i, LOAD_MS));
        }
        rollout.name(2).run(3_900).name(3).run(4_900).name(4).run(1_500);
        assertEquals(List.of(), rollout.overdue());
    }
}
