package review2;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Two tenants whose names are written in Hangul are added by a change of the configuration. Judged is the X-Tenant of each request
 * that a server runs: in any encoding it has to be the name of the tenant that holds the client's key.
 */
final class NamesCase extends Case {
    private static final String[] NAMES_WITH_TROUBLE = {"\ud55c\uc9c4\uad00\uc138", "\ub300\ud55c\uad00\uc138"};
    private static final String[] NAMES_WITHOUT_TROUBLE = {"hanjin", "daehan"};
    private static final int REQUESTS = 10;

    public static void main(String[] args) {
        Case.main(args, new NamesCase());
    }

    @Override
    boolean play() throws Exception {
        String[] names = trouble ? NAMES_WITH_TROUBLE : NAMES_WITHOUT_TROUBLE;
        Map<String, String> nameOfKey = new LinkedHashMap<>();
        nameOfKey.put("key-acme", "acme");
        nameOfKey.put("key-one", names[0]);
        nameOfKey.put("key-two", names[1]);
        ModelServer server = new ModelServer(fleet, record, 1, "tariff-lm", "m0");
        String first = "{\"version\":2,\"routes\":[" + route("check", "/check/", "tariff-lm", "mutating") + "],\"services\":["
                + service("tariff-lm", "m0") + "]," + LIMITS + ",\"tenants\":[" + tenant("acme", "key-acme") + "]}";
        require(operator.replace(0, first) == 200, "the first configuration was not taken");
        fleet.awaitReady();
        String update = "{\"version\":5,\"upsert\":{\"tenants\":[" + tenant(names[0], "key-one") + ","
                + tenant(names[1], "key-two") + "]}}";
        int status = operator.update(2, update);
        if (status >= 400 && status < 500) {
            record.line("the change is refused, so nothing is promised for these tenants");
            return true;
        }
        require(status == 200, "the change got no clear answer");
        Thread.sleep(2_500);
        Map<String, String> keyOfAttempt = new LinkedHashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            for (String key : nameOfKey.keySet()) {
                String attempt = key + "-" + i;
                keyOfAttempt.put(attempt, key);
                int answered = Http.call(
                                fleet.frontend(1),
                                "POST",
                                "/check/a",
                                headers(attempt, key, "m0"),
                                new byte[10],
                                4_000)
                        .status;
                record.line("client with " + key + " of tenant " + nameOfKey.get(key) + ": " + attempt + " gets " + answered);
            }
        }
        int foreign = 0;
        int runs = 0;
        for (ModelServer.Run run : server.runs()) {
            String key = keyOfAttempt.get(run.request().header("X-Attempt-Id"));
            runs++;
            if (!isNamed(run.request().header("X-Tenant"), nameOfKey.get(key))) {
                foreign++;
            }
        }
        record.line(runs + " requests were run, " + foreign + " of them with an X-Tenant that is not the name of the key's tenant");
        require(runs >= REQUESTS, "hardly any request was run");
        server.close();
        return foreign == 0;
    }

    /** Whether a header, as the bytes that came, is a name in one of the encodings that have it. */
    private static boolean isNamed(String header, String name) {
        if (header == null) {
            return false;
        }
        byte[] bytes = header.getBytes(StandardCharsets.ISO_8859_1);
        return java.util.stream.Stream.of(StandardCharsets.UTF_8, StandardCharsets.UTF_16BE, StandardCharsets.UTF_16LE)
                        .anyMatch(charset -> new String(bytes, charset).equals(name))
                || java.net.URLDecoder.decode(header, StandardCharsets.UTF_8).equals(name);
    }
}
