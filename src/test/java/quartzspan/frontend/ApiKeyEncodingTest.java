package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quartzspan.configuration.HeaderText;
import quartzspan.http.LoopbackPeers.Message;

/** API keys that are not ASCII, as clients send them. */
class ApiKeyEncodingTest extends FleetFixture {
    private static final long DEADLINE_MS = 5_000;
    private static final String HANGUL_KEY = "\uc5f4\uc1e0";
    private static final String LATIN_KEY = "schl\u00fcssel";

    private int statusFor(String key) throws Exception {
        String headers = "Authorization: Token " + key + "\r\n";
        Message response = client().write(request("POST", "once", "attempt", headers, DEADLINE_MS))
                .read();
        return response.status();
    }

    /** Guards against proper requests that get 401: a key outside of ISO 8859-1 was never equal to the bytes that came. */
    @Test
    void keyIsFoundInUtf8AndInIso88591() throws Exception {
        startServer("keys", seen -> seen.write(response(attemptId(seen), "ran")));
        updateTenants("{\"name\":\"t\",\"api_keys\":[\"\\uc5f4\\uc1e0\",\"schl\\u00fcssel\"]}");
        assertEquals(200, statusFor(HeaderText.valueOf(HANGUL_KEY)));
        assertEquals(200, statusFor(HeaderText.valueOf(LATIN_KEY)));
        assertEquals(200, statusFor(LATIN_KEY));
        assertEquals(401, statusFor("unknown"));
    }
}
