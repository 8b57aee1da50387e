package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A change of the configuration raises max_body_bytes and max_header_bytes. Judged are requests that clients send on the
 * connections that they have kept, long after the acknowledgement and within the new limits.
 */
final class LimitsCase extends Case {
    private static final int CLIENTS = 12;
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final String NARROW =
            "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    /** The mean body of the sheet's longer kind of request fits into the narrow limit, the longest one does not. */
    private static final int SHORT_BODY = 12_000;

    private static final int LONG_BODY = 72_000;

    public static void main(String[] args) {
        Case.main(args, new LimitsCase());
    }

    @Override
    boolean play() throws Exception {
        ModelServer server = new ModelServer(fleet, record, 1, "tariff-lm", "m0");
        String rest = "\"routes\":[" + route("review", "/review/", "tariff-lm", "mutating") + "],\"services\":["
                + service("tariff-lm", "m0") + "],\"tenants\":[" + tenant("acme", "key-acme") + "]";
        require(
                operator.replace(0, "{\"version\":2," + rest + "," + (trouble ? NARROW : LIMITS) + "}") == 200,
                "the first configuration was not taken");
        fleet.awaitReady();
        Thread.sleep(1_500);
        List<Http.Connection> kept = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            kept.add(new Http.Connection(fleet.frontend(1), 5_000));
            require(send(kept.get(i), "first-" + i, "", SHORT_BODY) == 200, "a short request was not served");
        }
        if (trouble) {
            require(operator.replace(2, "{\"version\":5," + rest + "," + LIMITS + "}") == 200, "the change was not taken");
        }
        Thread.sleep(2 * CONFIG_APPLY_MS);
        int refused = 0;
        for (int i = 0; i < CLIENTS; i++) {
            boolean longHead = i % 2 == 1;
            String note = longHead ? "X-Note: " + "n".repeat(8_000) + "\r\n" : "";
            int status = send(kept.get(i), (longHead ? "long-head-" : "long-body-") + i, note, longHead ? SHORT_BODY : LONG_BODY);
            refused += status >= 400 && status < 500 && status != 408 && status != 429 && status != 421 ? 1 : 0;
        }
        record.line(refused + " of " + CLIENTS + " proper requests on kept connections are ended with a 4xx, "
                + 2 * CONFIG_APPLY_MS + " ms after the acknowledgement");
        // The same requests on new connections, to show that the new limits are in force for those.
        int onNew = 0;
        for (int i = 0; i < 2; i++) {
            try (Http.Connection fresh = new Http.Connection(fleet.frontend(1), 5_000)) {
                String note = i == 1 ? "X-Note: " + "n".repeat(8_000) + "\r\n" : "";
                onNew += send(fresh, "new-connection-" + i, note, i == 1 ? SHORT_BODY : LONG_BODY) == 200 ? 1 : 0;
            }
        }
        record.line(onNew + " of 2 such requests on new connections are served");
        for (Http.Connection connection : kept) {
            connection.close();
        }
        server.close();
        return refused == 0;
    }

    private int send(Http.Connection connection, String attempt, String note, int body) throws IOException {
        int status = -1;
        try {
            status = connection.call("POST", "/review/a", headers(attempt, "key-acme", "m0") + note, new byte[body]).status;
        } catch (IOException e) {
            // The proxy answers and closes while the body is still being sent: the answer may be lost by the reset.
            record.line("client: " + attempt + ": " + e);
        }
        record.line("client: " + attempt + " with a body of " + body + " bytes gets " + status);
        return status;
    }
}
