package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** The tenant that servers are told, in the header X-Tenant, for names of all kinds. */
class TenantNameTest extends FleetFixture {
    private static final long DEADLINE_MS = 5_000;

    private static void answer(ReceivedRequest seen) {
        seen.write(response(attemptId(seen), "ran"));
    }

    /** JSON text in ASCII, so that its length in characters is that in bytes. */
    private static String escaped(String text) {
        StringBuilder json = new StringBuilder();
        text.chars().forEach(character -> json.append(String.format("\\u%04x", character)));
        return json.toString();
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + escaped(name) + "\",\"api_keys\":[\"" + key + "\"]}";
    }

    private String tenantToldFor(Server server, String key) throws Exception {
        String headers = "Authorization: Token " + key + "\r\n";
        Message response = client().write(request("POST", "once", "attempt", headers, DEADLINE_MS))
                .read();
        assertEquals("ran", response.text());
        String value = nextRequest(server, key).message().header("x-tenant");
        return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** Guards against tenants that servers can't tell apart: names outside of ISO 8859-1 were sent as question marks. */
    @Test
    void serversAreToldTheNameOfEachTenantInUtf8() throws Exception {
        Server server = startServer("named", TenantNameTest::answer);
        List<String> names = List.of("acme", "Müller", "한진관세", "대한관세", "\uD83D\uDE9A");
        for (int i = 0; i < names.size(); i++) {
            updateTenants(tenant(names.get(i), "key-" + i));
        }
        for (int i = 0; i < names.size(); i++) {
            assertEquals(names.get(i), tenantToldFor(server, "key-" + i));
        }
    }

    /** Guards against requests that hang: the header of a name with a leading space could not be set, and nobody answered. */
    @Test
    void changeWithANameThatNoHeaderCanCarryIsRefused() throws Exception {
        for (String name : List.of(" acme", "acme ", "a\nb", "\uD800")) {
            refuseTenants(tenant(name, "key"));
        }
    }
}
