package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;

/** The salts under which servers are asked to cache the prompts of two tenants, of which one becomes isolated. */
class CacheIsolationTest extends FleetFixture {
    private static final long DEADLINE_MS = 20_000;
    private static final String NO_SALT = "";
    private static final String HELD_REQUEST = "held";

    private final Map<String, String> saltsByRequest = new ConcurrentHashMap<>();
    private final CountDownLatch heldArrived = new CountDownLatch(1);
    private final CountDownLatch releaseHeld = new CountDownLatch(1);
    private int requestCount;

    private void recordSalt(ReceivedRequest seen) {
        String salt = seen.message().header("cache-salt");
        saltsByRequest.put(attemptId(seen), salt == null ? NO_SALT : salt);
    }

    private void serve(ReceivedRequest seen) {
        if (attemptId(seen) == null) {
            seen.answer(404, "", "");
            return;
        }
        recordSalt(seen);
        seen.write(response(attemptId(seen), "ran"));
    }

    /** Rejects the held request once it is released; a second send of it is served. */
    private void serveButHold(ReceivedRequest seen) {
        if (!HELD_REQUEST.equals(attemptId(seen)) || heldArrived.getCount() == 0) {
            serve(seen);
            return;
        }
        recordSalt(seen);
        heldArrived.countDown();
        try {
            assertTrue(releaseHeld.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        seen.write(notExecutedResponse(503, HELD_REQUEST));
    }

    private String headersOf(String tenant) {
        return "Authorization: Token key-" + tenant + "\r\nX-Model: m\r\nX-Prompt-Prefix: a1:512,b2:300\r\n";
    }

    /** Sends a request of a tenant; returns its salt. */
    private String saltOf(String tenant) throws Exception {
        String id = tenant + "-" + ++requestCount;
        try (Client client = client()) {
            Message response = client.write(request("POST", "read", id, headersOf(tenant), DEADLINE_MS))
                    .read();
            assertEquals(200, response.status(), () -> response.headers().toString());
        }
        return saltsByRequest.get(id);
    }

    private static String tenant(String name, boolean isolated) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"key-" + name + "\"],\"isolated\":" + isolated + "}";
    }

    private static void setTenants(boolean firstIsolated) throws Exception {
        updateTenants(tenant("first", firstIsolated) + ',' + tenant("second", false));
    }

    /** Guards against blocks that a tenant made before it was isolated being used by others afterwards (review/3). */
    @Test
    void otherTenantsUseANewSaltOnceATenantIsIsolated() throws Exception {
        startServerWithWeights("caching", "m", 1, this::serve);
        setTenants(false);
        String shared = saltOf("second");
        assertEquals(shared, saltOf("first"), "nobody is isolated");
        setTenants(true);
        assertNotEquals(shared, saltOf("second"), "the isolated tenant has made blocks under it");
        assertNotEquals(shared, saltOf("first"), "other tenants have made blocks under it");
        assertNotEquals(saltOf("first"), saltOf("second"));
        setTenants(false);
        assertEquals(saltOf("first"), saltOf("second"), "nobody is isolated");
    }

    @Test
    void serverThatReportsNoWeightsIsToldTheTenantsPartition() throws Exception {
        startServer("plain", this::serve);
        setTenants(false);
        assertEquals(NO_SALT, saltOf("second"));
        setTenants(true);
        assertNotEquals(NO_SALT, saltOf("second"), "the isolated tenant has made blocks without a salt");
        assertNotEquals(saltOf("first"), saltOf("second"));
    }

    /** Guards against a request that waits during the change being sent under the salt of the time of its arrival. */
    @Test
    void requestThatIsSentAgainAfterTheChangeUsesTheSaltOfThatTime() throws Exception {
        startServerWithWeights("holding-a", "m", 1, this::serveButHold);
        startServerWithWeights("holding-b", "m", 1, this::serveButHold);
        setTenants(false);
        String shared = saltOf("first");
        Client held = client().write(request("POST", "read", HELD_REQUEST, headersOf("second"), DEADLINE_MS));
        assertTrue(heldArrived.await(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(shared, saltsByRequest.get(HELD_REQUEST));
        setTenants(true);
        releaseHeld.countDown();
        assertEquals(200, held.read().status());
        assertEquals(saltOf("second"), saltsByRequest.get(HELD_REQUEST));
        assertNotEquals(shared, saltsByRequest.get(HELD_REQUEST));
    }
}
