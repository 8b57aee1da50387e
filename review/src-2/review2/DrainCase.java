package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server deregisters, which is acknowledged, and serves on for some seconds. A heartbeat that it sent before comes late. Right after
 * the acknowledgement all processes of the system are killed, and started again within a second. Judged are the requests that
 * reach the server long after the acknowledgement, while all machines are in touch.
 */
final class DrainCase extends Case {
    private static final long DRAIN_TIMEOUT_MS = 2_000;
    private static final long CONTACT_MS = 3_000;
    private static final long DOWN_MS = 700;
    /** How late the heartbeat comes: "seconds". */
    private static final long LATE_MS = 5_000;
    /** How long the server serves on: "drain_timeout_ms and a little longer (at times many seconds)". */
    private static final long SERVES_ON_MS = 14_000;

    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean over;

    public static void main(String[] args) {
        Case.main(args, new DrainCase());
    }

    @Override
    int proxies() {
        return 2;
    }

    @Override
    boolean play() throws Exception {
        ModelServer staying = new ModelServer(fleet, record, 1, "tariff-lm", "m0");
        ModelServer leaving = new ModelServer(fleet, record, 2, "tariff-lm", "m0");
        String first = "{\"version\":2,\"routes\":[" + route("check", "/check/", "tariff-lm", "mutating") + "],\"services\":["
                + service("tariff-lm", "m0") + "]," + LIMITS + ",\"tenants\":[" + tenant("acme", "key-acme") + "]}";
        require(operator.replace(0, first) == 200, "the first configuration was not taken");
        fleet.awaitReady();
        Thread.sleep(2_000);
        for (int proxy = 1; proxy <= proxies(); proxy++) {
            int number = proxy;
            Thread client = new Thread(() -> client(number));
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(3_000);
        require(!leaving.runs().isEmpty() && !staying.runs().isEmpty(), "the servers get no requests");

        leaving.stopBeats();
        Thread.sleep(300);
        String beat = leaving.nextBeat();
        long beatAtMs = record.nowMs();
        record.line(leaving.id() + " sends a heartbeat, which will come " + LATE_MS + " ms late: " + beat);
        int answered = call(1, "Instances.Deregister/" + leaving.id(), "{}");
        require(answered == 200, "the deregistration got " + answered);
        long acknowledgedMs = record.nowMs();
        record.line(leaving.id() + " has deregistered, and that is acknowledged");
        long calmMs = acknowledgedMs;
        if (trouble) {
            fleet.killAll(DOWN_MS);
            // In touch twice contact_ms after a final fault that took most of the core.
            calmMs = record.nowMs() + 2 * CONTACT_MS;
        }
        Thread.sleep(Math.max(0, beatAtMs + LATE_MS - record.nowMs()));
        int core = 1;
        for (int status = 0; status != 200; core = core % cores() + 1) {
            status = call(core, "Instances.Heartbeat/" + leaving.id(), beat);
            record.line("the late heartbeat comes to core-" + core + " and gets " + status);
            Thread.sleep(100);
        }
        Thread.sleep(Math.max(0, acknowledgedMs + SERVES_ON_MS - record.nowMs()));
        over = true;
        int late = 0;
        for (ModelServer.Run run : leaving.runs()) {
            late += run.atMs() > Math.max(calmMs, acknowledgedMs + DRAIN_TIMEOUT_MS) ? 1 : 0;
        }
        long after = calmMs;
        long served = staying.runs().stream().filter(run -> run.atMs() > after).count();
        record.line(late + " requests reached " + leaving.id() + " later than " + DRAIN_TIMEOUT_MS
                + " ms after the acknowledgement, counted from " + calmMs + " ms on, when all machines are in touch; "
                + served + " reached the server that stays");
        require(served > 0, "no request is served");
        leaving.close();
        staying.close();
        return late == 0;
    }

    private int call(int core, String call, String body) throws IOException {
        InetSocketAddress to = fleet.control(core);
        try {
            return Http.call(
                            to,
                            "POST",
                            "/quartzspan/" + call,
                            "Content-Type: application/json\r\n",
                            body.getBytes(StandardCharsets.UTF_8),
                            1_000)
                    .status;
        } catch (IOException e) {
            return 0;
        }
    }

    private void client(int proxy) {
        while (!over) {
            String attempt = "d" + proxy + "-" + sent.incrementAndGet();
            try {
                int status = Http.call(
                                fleet.frontend(proxy),
                                "POST",
                                "/check/a",
                                headers(attempt, "key-acme", "m0"),
                                new byte[100],
                                4_000)
                        .status;
                record.line("client: " + attempt + " at proxy-" + proxy + " gets " + status);
            } catch (IOException e) {
                record.line("client: " + attempt + " at proxy-" + proxy + ": " + e);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
