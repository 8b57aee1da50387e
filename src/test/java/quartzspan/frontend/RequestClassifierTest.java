package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Route;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.OutgoingRequest;

/** What the configuration says about a request: its route, tenant, deadline, priority and placement key. */
class RequestClassifierTest {
    private static final long RECEIVED_AT_US = 7_000_000;
    private static final long ROUTE_TIMEOUT_MS = 3_000;
    private static final String PREFIX = "b1.30,b2.40,b3.10";

    private final Configuration configuration = Configuration.read(
            """
            {"version":7,"routes":[
             {"name":"stream","hostname":"h.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":3000,
              "target_latency_ms":400,"priority":2,"session_affinity":true,"max_attempts":2,
              "traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10},{"service":"c","weight":0}]},
             {"name":"read","hostname":"h.example","path_prefix":"/","route_type":"read_only","timeout_ms":3000,
              "target_latency_ms":400,"service":"a","max_attempts":2}],
             "services":[{"name":"a"},{"name":"b"},{"name":"c"}],
             "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":true},
              {"name":"t2","api_keys":["k2"],"priority":5,"isolated":false}]}
            """
                    .getBytes(StandardCharsets.UTF_8));
    private final RequestClassifier classifier = new RequestClassifier(new SplittableRandom(3));

    private static HttpRequest request(String uri, String... headers) {
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
        request.headers().set("Host", "H.example:80");
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().set(headers[i], headers[i + 1]);
        }
        return request;
    }

    private Route route(String uri) {
        return RequestClassifier.route(configuration, request(uri));
    }

    private Tenant tenant(String authorization) {
        return RequestClassifier.tenant(configuration, request("/stream/x", "Authorization", authorization));
    }

    private static long deadlineMs(Route route, String... headers) {
        return (RequestClassifier.deadlineUs(route, request("/x", headers), RECEIVED_AT_US) - RECEIVED_AT_US) / 1_000;
    }

    @Test
    void routeIsThatOfTheHostAndPathWithoutPortAndQuery() {
        assertEquals("stream", route("/stream/x?y=/").name());
        assertEquals("read", route("/other").name());
        HttpRequest other = request("/stream/x");
        other.headers().set("Host", "other.example");
        assertNull(RequestClassifier.route(configuration, other));
    }

    /** Guards against requests that hang, of a tenant that an earlier version has accepted. */
    @Test
    void tenantWhoseNameNoHeaderCanCarryIsRecognized() {
        assertTrue(RequestClassifier.isNameSendable(tenant("Token k1")));
        assertTrue(RequestClassifier.isNameSendable(null), "a public request");
        assertFalse(RequestClassifier.isNameSendable(new Tenant(" t", List.of("k"), 0, false)));
    }

    @Test
    void deadlineIsTheClientsButNoLaterThanTheRoutesTimeout() {
        Route route = route("/stream/x");
        assertEquals(ROUTE_TIMEOUT_MS, deadlineMs(route));
        assertEquals(800, deadlineMs(route, "X-Deadline-Ms", "800"));
        assertEquals(ROUTE_TIMEOUT_MS, deadlineMs(route, "X-Deadline-Ms", "9000"));
        assertEquals(ROUTE_TIMEOUT_MS, deadlineMs(route, "X-Deadline-Ms", "0"));
        assertEquals(ROUTE_TIMEOUT_MS, deadlineMs(route, "X-Deadline-Ms", "soon"));
    }

    @Test
    void tenantIsThatOfTheKey() {
        assertEquals("t1", tenant("Token k1").name());
        assertNull(tenant("Token other"));
        assertNull(tenant("Bearer k1"));
        Configuration withoutTenants =
                Configuration.read("{\"version\":1,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8));
        assertNull(RequestClassifier.tenant(withoutTenants, request("/", "Authorization", "Token k1")));
    }

    @Test
    void keyIsNotForwardedAndTheTenantIsNamed() {
        HttpRequest request = request("/stream/x", "Authorization", "Token k1", "X-Tenant", "t2");
        OutgoingRequest outgoing = RequestClassifier.outgoingRequest(
                configuration, request, new byte[0], route("/stream/x"), tenant("Token k1"));
        assertNull(outgoing.headers().get("Authorization"));
        assertEquals("t1", outgoing.headers().get("X-Tenant"));
    }

    @Test
    void priorityIsThatOfTheTenantAndTheRoute() {
        Route stream = route("/stream/x");
        HttpRequest request = request("/stream/x", "Priority", "0");
        assertEquals("5", priority(request, stream, tenant("Token k1")), "3 x 1 + 2");
        assertEquals("9", priority(request, stream, tenant("Token k2")), "the lowest");
        assertEquals("2", priority(request, stream, null));
        assertNull(priority(request, route("/other"), tenant("Token k1")), "a route without affinity has none");
    }

    private String priority(HttpRequest request, Route route, Tenant tenant) {
        return RequestClassifier.outgoingRequest(configuration, request, new byte[0], route, tenant)
                .headers()
                .get("Priority");
    }

    private String key(Tenant tenant, String... headers) {
        return classifier
                .placementRequest(route("/stream/x"), request("/stream/x", headers), tenant)
                .key();
    }

    @Test
    void placementKeyIsTheModelTheIsolatedTenantAndTheSharedBlocks() {
        String shared = key(null, "X-Model", "m", "X-Prompt-Prefix", PREFIX);
        assertEquals(
                shared, key(null, "X-Model", "m", "X-Prompt-Prefix", "b1.30,b2.40,other.9"), "the last one is its own");
        assertNotEquals(shared, key(null, "X-Model", "m", "X-Prompt-Prefix", "b1.30,b3.40,b3.10"));
        assertNotEquals(shared, key(null, "X-Model", "n", "X-Prompt-Prefix", PREFIX));
        assertNotEquals(shared, key(tenant("Token k1"), "X-Model", "m", "X-Prompt-Prefix", PREFIX));
        assertEquals(shared, key(tenant("Token k2"), "X-Model", "m", "X-Prompt-Prefix", PREFIX), "it is not isolated");
        assertNull(key(null, "X-Model", "m"));
        assertNull(classifier
                .placementRequest(route("/other"), request("/other", "X-Prompt-Prefix", PREFIX), null)
                .key());
    }

    @Test
    void servicesAreChosenByTheirWeights() {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < 2_000; i++) {
            counts.merge(
                    classifier
                            .placementRequest(route("/stream/x"), request("/stream/x"), null)
                            .service(),
                    1,
                    Integer::sum);
        }
        assertEquals(2, counts.size(), "one without weight gets nothing");
        assertTrue(counts.get("b") > 140 && counts.get("b") < 260, counts.toString());
    }
}
