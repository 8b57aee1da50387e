package quartzspan.misbehavior;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A crowd at a proxy with the resources of the deployments, each client of which stays within the memory that a connection has. */
class DeployedProxyCrowdTest extends FleetCrowdTestBase {
    /** More than the connections for which the proxy has descriptors. */
    private static final int CROWD_SIZE = 2_000;

    private static final int SHORT_LINES = 20;
    private static final int LONG_LINE_BYTES = 7_900;

    @Override
    Resources resourcesOfProxy() {
        return Resources.DEPLOYED_PROXY;
    }

    private CrowdTrial trial() {
        return new CrowdTrial(fleet().proxy(), fleet().frontend(), fleet().frontend(), SmallFleet.clientRequest());
    }

    @Test
    void partialHeadsThatAreNotReservedEndNothing() throws Exception {
        byte[] bytes = ("GET /a/held HTTP/1.1\r\nHost: h.example\r\n" + "a:\r\n".repeat(SHORT_LINES) + "b:"
                        + "c".repeat(LONG_LINE_BYTES))
                .getBytes(StandardCharsets.ISO_8859_1);
        trial().run(CROWD_SIZE, member -> bytes);
    }

    @Test
    void requestsInFlightWithInputBehindThemEndNothing() throws Exception {
        String request = "GET " + SmallFleet.HELD_PATH + " HTTP/1.1\r\nHost: h.example\r\n" + SmallFleet.CLIENT_HEADERS
                + "a:\r\n".repeat(SHORT_LINES) + "\r\n";
        byte[] bytes = request.repeat(LONG_LINE_BYTES / request.length()).getBytes(StandardCharsets.ISO_8859_1);
        trial().run(CROWD_SIZE, member -> bytes);
    }
}
