package quartzspan.misbehavior;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Crowds at the address of a proxy that clients connect to. */
class FrontendCrowdTest extends FleetCrowdTestBase {
    /** Within the limits of the pages: 16,384 bytes with the request line and the ordinary headers. */
    private static final int HEAD_BYTES = 15_800;

    private static final int BODY_BYTES = 1_000_000;

    private static final int WAVES = 3;
    private static final long SEED = 45;

    private CrowdTrial trial() {
        return new CrowdTrial(fleet().proxy(), fleet().frontend(), fleet().frontend(), SmallFleet.clientRequest());
    }

    private static HttpMisbehavior.Target target(String path) {
        return new HttpMisbehavior.Target(path, SmallFleet.CLIENT_HEADERS, HEAD_BYTES, BODY_BYTES);
    }

    /** The server holds what reaches it, so that complete requests stay in flight. */
    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        byte[] bytes = misbehavior.bytes(target(SmallFleet.HELD_PATH));
        trial().run(member -> bytes);
    }

    @Test
    void unreadResponsesEndNothing() throws Exception {
        byte[] bytes = HttpMisbehavior.PIPELINED.bytes(target(SmallFleet.LONG_ERROR_PATH));
        trial().run(member -> bytes);
    }

    @Test
    void moreConnectionsThanThereIsRoomForEndNothing() throws Exception {
        trial().run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.SILENT.bytes(target(SmallFleet.HELD_PATH)));
        trial().run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.MISSING_BODY.bytes(target(SmallFleet.HELD_PATH)));
    }

    /** All kinds at once, in waves: a new crowd comes as the one before leaves. */
    @Test
    void wavesOfAllKindsEndNothing() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        HttpMisbehavior[] kinds = HttpMisbehavior.values();
        for (int wave = 0; wave < WAVES; wave++) {
            trial().run(member -> kinds[random.nextInt(kinds.length)].bytes(
                    target(random.nextBoolean() ? SmallFleet.HELD_PATH : SmallFleet.SERVED_PATH)));
        }
    }
}
