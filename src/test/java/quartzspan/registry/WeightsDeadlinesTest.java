package quartzspan.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/** No process's deadline for weights lies after the actual one, whichever messages are late or lost. */
class WeightsDeadlinesTest {
    private static final long APPLY_MS = 10_000;
    private static final long MARGIN_MS = APPLY_MS / 10;
    private static final String MODEL = "m";

    private final WeightsDeadlines deadlines = new WeightsDeadlines(APPLY_MS);

    private static ControlState withTarget(ControlState state, long version) {
        byte[] body = ("{\"model\":\"m\",\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        return state.with(new Change(Change.Kind.WEIGHTS, 0, body));
    }

    @Test
    void laterVersionDoesNotPostponeTheDeadlineOfAnEarlierOne() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        deadlines.observe(4_000, Map.of(MODEL, 3L));
        deadlines.observe(5_000, Map.of(MODEL, 3L));
        assertEquals(APPLY_MS, deadlines.deadlineOf(MODEL, 1));
        assertEquals(4_000 + APPLY_MS, deadlines.deadlineOf(MODEL, 2));
        assertEquals(WeightsDeadlines.NO_DEADLINE, deadlines.deadlineOf(MODEL, 3));
        assertEquals(WeightsDeadlines.NO_DEADLINE, deadlines.usableUntilMs(MODEL, 3));
        assertEquals(WeightsDeadlines.NO_DEADLINE, deadlines.deadlineOf("other", 1));
    }

    @Test
    void weightsAreUsableUntilAMarginBeforeTheDeadline() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        deadlines.observe(3_000, Map.of(MODEL, 3L));
        assertEquals(APPLY_MS - MARGIN_MS, deadlines.usableUntilMs(MODEL, 1));
        assertEquals(0, deadlines.requiredVersion(APPLY_MS - MARGIN_MS - 1, MODEL));
        assertEquals(2, deadlines.requiredVersion(APPLY_MS - MARGIN_MS, MODEL));
        assertEquals(2, deadlines.requiredVersion(3_000 + APPLY_MS - MARGIN_MS - 1, MODEL));
        assertEquals(3, deadlines.requiredVersion(3_000 + APPLY_MS - MARGIN_MS, MODEL));
    }

    @Test
    void overdueVersionsAreDroppedExceptTheLatest() {
        deadlines.observe(0, Map.of(MODEL, 2L));
        deadlines.observe(1_000, Map.of(MODEL, 3L));
        deadlines.observe(9_000, Map.of(MODEL, 4L));
        deadlines.expire(APPLY_MS + 1_000);
        assertEquals(Map.of(3L, APPLY_MS + 1_000, 4L, APPLY_MS + 9_000), deadlines.targetsOf(MODEL));
        assertEquals(APPLY_MS + 1_000, deadlines.deadlineOf(MODEL, 1));
    }

    @Test
    void reportedAgeMovesADeadlineOnlyToALaterTime() {
        deadlines.observe(1_000, Map.of(MODEL, 2L));
        deadlines.onAgeReported(500, MODEL, 2);
        assertEquals(APPLY_MS + 1_000, deadlines.deadlineOf(MODEL, 1));
        long changes = deadlines.changeCount();
        deadlines.onAgeReported(1_010, MODEL, 2);
        assertEquals(changes, deadlines.changeCount(), "not for the transmission time of each reply");
        deadlines.onAgeReported(1_200, MODEL, 2);
        assertEquals(APPLY_MS + 1_200, deadlines.deadlineOf(MODEL, 1));
        assertTrue(deadlines.changeCount() > changes);
    }

    @Test
    void versionsInCloseSuccessionAreToldAsOneWithTheAgeOfTheEarliest() {
        for (int i = 0; i < 1_000; i++) {
            deadlines.observe(10L * i, Map.of(MODEL, 2L + i));
        }
        List<TargetAge> ages = deadlines.ages(APPLY_MS);
        assertTrue(ages.size() <= 20, ages.size() + " ages");
        assertEquals(1_001, ages.get(ages.size() - 1).version(), "the newest");
        WeightsDeadlines receiver = new WeightsDeadlines(APPLY_MS);
        ages.forEach(age -> receiver.onAgeReported(APPLY_MS - age.ageMs(), age.model(), age.version()));
        for (int i = 0; i < 1_000; i++) {
            long usableUntilMs = receiver.usableUntilMs(MODEL, 1L + i);
            assertTrue(usableUntilMs <= deadlines.deadlineOf(MODEL, 1L + i), "version " + (1 + i));
        }
    }

    /** A proxy that gets all updates late, or only the replies to its own queries, or a version through a snapshot. */
    @Test
    void processThatLearnsOfAVersionLateHasNoLaterDeadline() {
        for (long delayMs = 0; delayMs < APPLY_MS; delayMs += 500) {
            Registry core = new Registry(APPLY_MS);
            Registry proxy = new Registry(APPLY_MS);
            ControlState first = withTarget(ControlState.EMPTY, 1);
            core.publish(1, first);
            proxy.publish(1, first);
            core.confirmFresh(0);
            proxy.merge(100, core.reply(100, proxy.query(50, 1, false)), 50);
            long acknowledgedAtMs = 200;
            core.confirmFresh(acknowledgedAtMs - 100);
            core.publish(2, withTarget(first, 2));
            proxy.publish(2, withTarget(first, 2));
            assertTrue(proxy.weightsDeadlines().deadlineOf(MODEL, 1) <= acknowledgedAtMs + APPLY_MS);
            assertTrue(proxy.weightsDeadlines().deadlineOf(MODEL, 1) >= APPLY_MS - 100, "not much earlier");

            Registry restarted = new Registry(APPLY_MS);
            long queriedAtMs = acknowledgedAtMs + delayMs;
            restarted.merge(
                    queriedAtMs + 300, core.reply(queriedAtMs + 200, restarted.query(0, 1, false)), queriedAtMs);
            restarted.publish(2, withTarget(first, 2));
            long deadline = restarted.weightsDeadlines().deadlineOf(MODEL, 1);
            assertTrue(deadline <= acknowledgedAtMs + APPLY_MS, delayMs + " ms later: " + deadline);
            assertTrue(deadline >= acknowledgedAtMs + APPLY_MS - 400, delayMs + " ms later: " + deadline);
        }
    }

    /** Claims of freshness about the new state, received before the state itself, say nothing of the time before it. */
    @Test
    void freshnessOfTheNewStateDoesNotMoveItsDeadline() {
        Registry core = new Registry(0);
        Registry proxy = new Registry(APPLY_MS);
        ControlState first = withTarget(ControlState.EMPTY, 1);
        proxy.publish(1, first);
        proxy.confirmFresh(100);
        core.publish(2, withTarget(first, 2));
        core.confirmFresh(8_000);
        GossipMessage reply = core.reply(8_000, proxy.query(7_900, 1, false));
        GossipMessage withoutAges = new GossipMessage(
                reply.kind(),
                reply.nonce(),
                reply.ageMs(),
                reply.stateIndex(),
                reply.digests(),
                reply.entries(),
                reply.deltas(),
                reply.chunk(),
                List.of());
        proxy.merge(8_000, withoutAges, 7_900);
        proxy.publish(2, withTarget(first, 2));
        assertEquals(100 + APPLY_MS, proxy.weightsDeadlines().deadlineOf(MODEL, 1));
        assertEquals(7_900, proxy.freshAtMs());
    }

    @Test
    void unansweredOrUnsolicitedMessagesDoNotMoveDeadlines() {
        Registry core = new Registry(APPLY_MS);
        core.weightsDeadlines().observe(0, Map.of(MODEL, 2L));
        Registry proxy = new Registry(APPLY_MS);
        proxy.merge(9_000, core.reply(9_000, proxy.query(0, 1, false)), Registry.NEVER);
        assertEquals(
                List.of(),
                new ArrayList<>(proxy.weightsDeadlines().targetsOf(MODEL).keySet()));
    }
}
