package quartzspan.misbehavior;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A fleet of its own for each test. */
abstract class FleetCrowdTestBase {
    /** More than a listener has room for. */
    static final int LARGE_CROWD_SIZE = 900;

    @TempDir
    Path folder;

    private SmallFleet fleet;

    @BeforeEach
    void startFleet() throws Exception {
        fleet = new SmallFleet(folder, resourcesOfProxy());
    }

    Resources resourcesOfProxy() {
        return Resources.SMALL;
    }

    @AfterEach
    void stopFleet() throws Exception {
        fleet.close();
    }

    SmallFleet fleet() {
        return fleet;
    }
}
