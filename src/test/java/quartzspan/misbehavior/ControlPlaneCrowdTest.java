package quartzspan.misbehavior;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Crowds at the address of a core machine that servers and operators call. */
class ControlPlaneCrowdTest extends FleetCrowdTestBase {
    private static final int HEAD_BYTES = 32_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final HttpMisbehavior.Target TARGET =
            new HttpMisbehavior.Target("/quartzspan/status", "", HEAD_BYTES, BODY_BYTES);
    /** Callers that each send a long document. */
    private static final int DOCUMENT_COUNT = 4;

    private CrowdTrial trial() {
        return new CrowdTrial(fleet().core(), fleet().control(), fleet().control(), SmallFleet.describeRequest());
    }

    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        byte[] bytes = misbehavior.bytes(TARGET);
        trial().run(member -> bytes);
    }

    @Test
    void moreConnectionsThanThereIsRoomForEndNothing() throws Exception {
        trial().run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.SILENT.bytes(TARGET));
    }

    /** Documents of legal size whose parsed form takes many times their size. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/quartzspan/Configuration.Replace",
                "/quartzspan/Configuration.Update",
                "/quartzspan/version-put",
                "/quartzspan/Instances.Heartbeat/i-9"
            })
    void documentsOfVeryManyValuesEndNothing(String path) throws Exception {
        byte[] manyObjects = document(path, "{\"routes\":[" + "{},".repeat(BODY_BYTES / 3) + "{}]}");
        byte[] manyNumbers = document(path, "{\"a\":[" + "1,".repeat(BODY_BYTES / 2) + "1]}");
        byte[] nested = document(path, "{\"a\":" + "[".repeat(BODY_BYTES));
        byte[][] documents = {manyObjects, manyNumbers, nested};
        trial().run(DOCUMENT_COUNT, member -> documents[member % documents.length]);
    }

    private static byte[] document(String path, String body) {
        return ("POST " + path + " HTTP/1.1\r\nHost: c\r\nX-Base-Version: 1\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
