package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Clients send prompts of many parts, within the limit on heads. Judged are the ends of the proxies' processes. */
final class PromptCase extends Case {
    private static final int CLIENTS_PER_PROXY = 48;
    /** When the play ends, since the start of the case. */
    private static final long END_MS = 100_000;
    private static final int MAX_ENDS = 3;
    private static final int MAX_HEADER_BYTES = 16_384;
    /** The parts of a prompt: with 21 bytes each they stay inside max_header_bytes. */
    private static final int PARTS = 760;

    private static final int PARTS_WITHOUT_TROUBLE = 3;
    /** The mean of the sheet for the longer kind of request. */
    private static final int BODY_BYTES = 12_000;

    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong cut = new AtomicLong();
    private volatile boolean over;

    public static void main(String[] args) {
        Case.main(args, new PromptCase());
    }

    @Override
    int proxies() {
        return 2;
    }

    @Override
    boolean play() throws Exception {
        ModelServer server = new ModelServer(fleet, record, 1, "tariff-lm", "m0");
        server.countOnly();
        String route = route("review", "/review/", "tariff-lm", "streaming")
                .replace("\"session_affinity\":false", "\"session_affinity\":true");
        String first = "{\"version\":2,\"routes\":[" + route + "],\"services\":[" + service("tariff-lm", "m0") + "]," + LIMITS
                + ",\"tenants\":[" + tenant("acme", "key-acme") + "]}";
        require(operator.replace(0, first) == 200, "the first configuration was not taken");
        fleet.awaitReady();
        int headBytes = head(1).length() + "POST /review/a HTTP/1.1\r\nContent-Length: 12000\r\n\r\n".length();
        record.line("each request has a head of about " + headBytes + " bytes and a body of " + BODY_BYTES);
        require(headBytes < MAX_HEADER_BYTES - 20, "the heads are too long");
        Thread.sleep(1_500);
        List<Thread> clients = new ArrayList<>();
        for (int proxy = 1; proxy <= proxies(); proxy++) {
            for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
                int number = proxy;
                Thread client = new Thread(() -> client(number));
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
        }
        while (record.nowMs() < END_MS && !broken()) {
            Thread.sleep(2_000);
            record.line("clients: " + sent + " sent, " + served + " served, " + cut + " cut or not connected; server: "
                    + server.runCount() + " run");
        }
        over = true;
        for (int proxy = 1; proxy <= proxies(); proxy++) {
            record.line("proxy-" + proxy + " has ended by itself " + fleet.ends("proxy-" + proxy) + " times");
        }
        require(served.get() > 1_000, "hardly any request was served");
        server.close();
        return !broken();
    }

    /** Two machines at least have ended by themselves three times. */
    private boolean broken() {
        int often = 0;
        for (int proxy = 1; proxy <= proxies(); proxy++) {
            often += fleet.ends("proxy-" + proxy) >= MAX_ENDS ? 1 : 0;
        }
        return often >= 2;
    }

    private void client(int proxy) {
        while (!over) {
            try (Http.Connection connection = new Http.Connection(fleet.frontend(proxy), 5_000)) {
                while (!over) {
                    long number = sent.incrementAndGet();
                    Http.Message answer = connection.call("POST", "/review/a", head(number), new byte[BODY_BYTES]);
                    if (answer.status == 200) {
                        served.incrementAndGet();
                    } else {
                        Thread.sleep(100);
                    }
                }
            } catch (IOException e) {
                cut.incrementAndGet();
                sleep();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A request about a subject of its own: the id of each part of its prompt is the subject's number and the part's. */
    private String head(long number) {
        int parts = trouble ? PARTS : PARTS_WITHOUT_TROUBLE;
        String subject = String.format("%013x", number);
        StringBuilder prefix = new StringBuilder(parts * 13);
        for (int i = 0; i < parts; i++) {
            prefix.append(i == 0 ? "" : ",").append(subject).append(PART_ENDS[i]);
        }
        return "Host: " + HOST + "\r\nX-Attempt-Id: p" + number + "\r\nX-Deadline-Ms: 3000\r\nX-Model: m0\r\nX-Token-Count: "
                + 100 * parts + ",4\r\nX-Prompt-Prefix: " + prefix + "\r\nAuthorization: Token key-acme\r\n";
    }

    private static final String[] PART_ENDS = new String[PARTS];

    static {
        for (int i = 0; i < PARTS; i++) {
            PART_ENDS[i] = String.format("%03x:100", i);
        }
    }
}
