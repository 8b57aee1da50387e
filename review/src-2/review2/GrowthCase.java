package review2;

/**
 * The configuration grows by 350 routes a change. Judged are the ends of processes, and whether the operator can read the newest
 * configuration back.
 */
final class GrowthCase extends Case {
    private static final int ROUTES_PER_CHANGE = 350;
    private static final int MAX_CHANGES = 100;
    private static final long GAP_MS = 100;
    /** When the growth ends, since the start of the case. */
    private static final long GROWTH_END_MS = 70_000;

    private static final long WATCH_MS = 6_000;
    /** A process that ended by itself this often breaks the rule, on half of the core or more. */
    private static final int MAX_ENDS = 3;

    public static void main(String[] args) {
        Case.main(args, new GrowthCase());
    }

    @Override
    boolean play() throws Exception {
        ModelServer server = new ModelServer(fleet, record, 1, "tariff-lm", "m0");
        String first = "{\"version\":2,\"routes\":[" + route("first", "/first/", "tariff-lm", "mutating") + "],\"services\":["
                + service("tariff-lm", "m0") + "]," + LIMITS + ",\"tenants\":[" + tenant("acme", "key-acme") + "]}";
        require(operator.replace(0, first) == 200, "the first configuration was not taken");
        fleet.awaitReady();
        long acknowledged = 2;
        int changes = 0;
        while (record.nowMs() < GROWTH_END_MS && changes < MAX_CHANGES && endedOften() * 2 < cores()) {
            long next = acknowledged + 3;
            String update = trouble
                    ? grown(next, changes)
                    : "{\"version\":" + next + ",\"upsert\":{\"routes\":["
                            + route("other", "/other/", "tariff-lm", "mutating") + "]}}";
            if (operator.update(acknowledged, update) != 200) {
                break;
            }
            acknowledged = next;
            changes++;
            Thread.sleep(GAP_MS);
        }
        record.line(changes + " changes are acknowledged, the newest is version " + acknowledged + " with "
                + (trouble ? 1 + changes * ROUTES_PER_CHANGE : 2) + " routes; no more are sent");
        long watchEnd = record.nowMs() + WATCH_MS;
        while (record.nowMs() < watchEnd) {
            Thread.sleep(2_000);
            record.line("client: " + client());
        }
        String readBack = readBack();
        record.line("the configuration read back: " + readBack);
        for (int core = 1; core <= cores(); core++) {
            record.line("core-" + core + " has ended by itself " + fleet.ends("core-" + core) + " times");
        }
        server.close();
        boolean fault = 2 * endedOften() >= cores();
        boolean lost = !readBack.equals("version " + acknowledged);
        return !fault && !lost;
    }

    /** The core machines that have ended by themselves too often. */
    private int endedOften() {
        int often = 0;
        for (int core = 1; core <= cores(); core++) {
            often += fleet.ends("core-" + core) >= MAX_ENDS ? 1 : 0;
        }
        return often;
    }

    /** One change of the kind "the configuration grows by many routes". */
    private static String grown(long version, int change) {
        StringBuilder update = new StringBuilder("{\"version\":").append(version).append(",\"upsert\":{\"routes\":[");
        for (int i = 0; i < ROUTES_PER_CHANGE; i++) {
            update.append(i == 0 ? "" : ",")
                    .append(splitRoute("r-" + change + "-" + i, "/g" + change + "x" + i + "/"));
        }
        return update.append("]}}").toString();
    }

    /** A route of the form of the second one in the example of PROTOCOL.md, with a traffic_split. */
    private static String splitRoute(String name, String prefix) {
        return route(name, prefix, "tariff-lm", "streaming")
                .replace(
                        "\"service\":\"tariff-lm\"",
                        "\"traffic_split\":[{\"service\":\"tariff-lm\",\"weight\":90},{\"service\":\"tariff-lm\",\"weight\":10}]");
    }

    private String client() {
        try {
            return Http.call(
                            fleet.frontend(1),
                            "POST",
                            "/first/a",
                            headers("c" + record.nowMs(), "key-acme", "m0"),
                            new byte[10],
                            3_000)
                    .firstLine;
        } catch (java.io.IOException e) {
            return e.toString();
        }
    }

    /** Asks again and again, for longer than contact_ms. */
    private String readBack() throws Exception {
        try {
            String json = operator.describe();
            int at = json.indexOf("\"version\":");
            return "version " + json.substring(at + 10).split("[,}]")[0];
        } catch (java.io.IOException e) {
            return "nothing: " + e.getMessage();
        }
    }
}
