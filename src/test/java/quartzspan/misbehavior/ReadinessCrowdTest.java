package quartzspan.misbehavior;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Crowds at the address of a proxy that the platform's readiness checks go to. */
class ReadinessCrowdTest extends FleetCrowdTestBase {
    private static final HttpMisbehavior.Target TARGET =
            new HttpMisbehavior.Target("/quartzspan/readiness", "", 8_000, 8_000);

    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        byte[] bytes = misbehavior.bytes(TARGET);
        new CrowdTrial(fleet().proxy(), fleet().readiness(), fleet().readiness(), SmallFleet.readinessRequest())
                .run(member -> bytes);
    }
}
