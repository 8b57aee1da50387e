package quartzspan.misbehavior;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Crowds at the address of a proxy that the platform's readiness checks go to. */
class ReadinessCrowdTest {
    private static final HttpMisbehavior.Target TARGET =
            new HttpMisbehavior.Target("/quartzspan/readiness", "", 8_000, 8_000);

    @TempDir
    Path folder;

    private SmallFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new SmallFleet(folder);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        byte[] bytes = misbehavior.bytes(TARGET);
        new CrowdTrial(fleet.proxy(), fleet.readiness(), fleet.readiness(), SmallFleet.readinessRequest())
                .run(member -> bytes);
    }
}
