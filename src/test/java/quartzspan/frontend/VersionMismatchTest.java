package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A server's rejection of a request because of its expected weights version. */
class VersionMismatchTest extends FleetFixture {
    @Test
    void requestWithoutModelGetsAResponseAfterAVersionMismatch() throws Exception {
        startServerWithWeights(
                "other",
                "m",
                1,
                seen -> seen.write(response(
                        421,
                        "X-Attempt-Id: " + attemptId(seen) + "\r\nX-Instance-Id: other\r\nX-Not-Executed: 1\r\n",
                        "")));
        assertEquals(503, client().write(request("read", "a1")).read().status());
    }
}
