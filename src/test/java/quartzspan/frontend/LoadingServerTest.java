package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.ReceivedRequest;

/** Requests to a server that was ordered to load another weights version. */
class LoadingServerTest extends FleetFixture {
    private static final int MAX_REQUESTS = 5_000;

    private final BlockingQueue<String> expectedVersions = new LinkedBlockingQueue<>();

    /** Accepts the order but never completes the load; executes requests that don't expect version 2 on version 1. */
    private void serve(ReceivedRequest seen) {
        String path = seen.message().first().split(" ")[1];
        if (path.equals("/quartzspan/order")) {
            seen.answer(202, "", "");
        } else if (path.equals("/quartzspan/report")) {
            seen.answer(200, "", "{\"busy\":true,\"models\":[]}");
        } else if (path.startsWith("/quartzspan/")) {
            seen.answer(404, "", "");
        } else {
            String expected = seen.message().header("expect-version");
            expectedVersions.add(expected);
            boolean mismatch = expected.equals("2");
            String rejection = response(421, "X-Attempt-Id: " + attemptId(seen) + "\r\nX-Instance-Id: loads\r\n", "");
            seen.write(mismatch ? rejection : response(attemptId(seen), "old weights"));
        }
    }

    @Test
    void requestIsNeitherExecutedOnOldWeightsNorResentToAServerOrderedToLoad() throws Exception {
        startServerWithWeights("loads", "m", 1, this::serve);
        setModelVersion("m", 2);
        String response = "";
        for (int i = 0; !expectedVersions.contains("2") && i < MAX_REQUESTS; i++) {
            expectedVersions.clear();
            response = closeAfterTest(client())
                    .write(request("read", "a" + i))
                    .read()
                    .first();
        }
        assertEquals(List.of("2"), List.copyOf(expectedVersions));
        assertEquals("HTTP/1.1 503 Service Unavailable", response);
    }
}
