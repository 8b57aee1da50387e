package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound model server: registers and sends heartbeats, runs each request once, answers with its stamp, obeys orders to load
 * weights. It keeps every request that it ran.
 */
final class ModelServer implements AutoCloseable {
    /** A request that was run: its head as it came, and the weights that it began on. */
    record Run(long atMs, Http.Message request, String model, long version) {}

    private final Fleet fleet;
    private final Record record;
    private final String id;
    private final String service;
    private final String address;
    private final ServerSocket listener;
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private final List<Run> runs = new ArrayList<>();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong orders = new AtomicLong();
    private final AtomicLong runCount = new AtomicLong();
    /** Whether runs are only counted, because there are many. */
    private volatile boolean quiet;

    private volatile boolean closed;
    private volatile boolean silent;

    ModelServer(Fleet fleet, Record record, int number, String service, String... models) throws IOException {
        this.fleet = fleet;
        this.record = record;
        this.id = "i-review" + number;
        this.service = service;
        for (String model : models) {
            versions.put(model, 1L);
        }
        this.listener = new ServerSocket(0, 256, InetAddress.getByName(fleet.standInAddress(number)));
        this.address = fleet.standInAddress(number) + ":" + listener.getLocalPort();
        start(this::accept);
        start(this::beat);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** The requests that were run so far. */
    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** From now on runs are only counted. */
    void countOnly() {
        quiet = true;
    }

    long runCount() {
        return runCount.get();
    }

    private synchronized String modelsJson() {
        StringBuilder json = new StringBuilder("[");
        versions.forEach((model, version) -> json.append(json.length() > 1 ? "," : "")
                .append("{\"name\":\"")
                .append(model)
                .append("\",\"version\":")
                .append(version)
                .append(",\"adapters\":[]}"));
        return json.append(']').toString();
    }

    String id() {
        return id;
    }

    /** Sends no more heartbeats. */
    void stopBeats() {
        silent = true;
    }

    /** The next call to the system, as a heartbeat of a ready server. */
    String nextBeat() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address
                    + "\",\"zone\":\"hall\",\"version\":\"v1\",\"capacity\":64,\"state\":\"ready\",\"warmup_left_ms\":0,"
                    + "\"stage\":\"hybrid\",\"models\":" + modelsJson() + ",\"call_count\":" + calls.incrementAndGet() + "}";
    }

    private void beat() {
        int core = 1;
        while (!closed && !silent) {
            String body = nextBeat();
            boolean taken = false;
            try {
                InetSocketAddress to = fleet.control(core);
                taken = Http.call(
                                        to,
                                        "POST",
                                        "/quartzspan/Instances.Heartbeat/" + id,
                                        "Content-Type: application/json\r\n",
                                        body.getBytes(StandardCharsets.UTF_8),
                                        1_000)
                                .status
                        == 200;
            } catch (IOException e) {
                // Another core machine is called below.
            }
            core = taken ? core : core % fleet.coreCount() + 1;
            sleep(taken ? 1_200 : 100);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                answer(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String[] line = request.firstLine.split(" ");
        String path = line[1].split("\\?")[0];
        String expected = request.header("X-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, "X-Not-Executed: 1\r\n", echo(request), "");
        } else if (path.equals("/quartzspan/report")) {
            write(out, 200, "", "", "{\"stage\":\"hybrid\",\"models\":" + modelsJson() + ",\"busy\":false,\"call_count\":"
                    + orders.get() + ",\"queued\":0,\"active\":0,\"cache_used\":0,\"cache_total\":230124,\"handles\":0}");
        } else if (path.equals("/quartzspan/order")) {
            order(new String(request.body, StandardCharsets.UTF_8), out);
        } else if (path.equals("/quartzspan/kv-events")) {
            sleep(request.header("Wait-Ms") == null ? 0 : Long.parseLong(request.header("Wait-Ms")));
            write(out, 200, "", "", "{\"epoch\":1,\"next_token\":1,\"lost\":false,\"events\":[]}");
        } else if (path.equals("/quartzspan/kv-list")) {
            write(out, 200, "", "", "{\"epoch\":1,\"next_token\":1,\"held\":[]}");
        } else if (path.equals("/health")) {
            write(out, 200, "X-Instance-Id: " + id + "\r\n", "", "");
        } else {
            run(request, out);
        }
    }

    private static String echo(Http.Message request) {
        String attempt = request.header("X-Attempt-Id");
        return attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n";
    }

    private void run(Http.Message request, OutputStream out) throws IOException {
        String model = request.header("X-Model") == null ? "" : request.header("X-Model");
        long version;
        synchronized (this) {
            version = versions.getOrDefault(model, 0L);
            String expected = request.header("Expect-Version");
            if (expected != null && Long.parseLong(expected) != version) {
                version = -1;
            } else if (!quiet) {
                runs.add(new Run(record.nowMs(), request, model, version));
            }
        }
        if (version < 0) {
            record.line(id + " answers 421 to " + request.header("X-Attempt-Id") + ": it has another version of " + model);
            write(out, 421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n", echo(request), "");
            return;
        }
        runCount.incrementAndGet();
        if (!quiet) {
            recordRun(request, model, version);
        }
        write(
                out,
                200,
                "Content-Type: text/event-stream\r\nVersions: " + version + "\r\nX-Server-Seal: " + id + "."
                        + record.nowMs() + "\r\n",
                echo(request),
                "id: 1\ndata: done\n\n");
    }

    private void recordRun(Http.Message request, String model, long version) {
        record.line(id + " runs " + request.header("X-Attempt-Id") + ": " + request.firstLine + ", " + request.body.length
                + " bytes, X-Tenant " + hex(request.header("X-Tenant")) + (model.isEmpty() ? "" : ", " + model + " v" + version));
    }

    /** A header's value, and its bytes if they are not plain ASCII or contain a question mark. */
    static String hex(String value) {
        if (value == null) {
            return "none";
        }
        StringBuilder text = new StringBuilder("'").append(value).append('\'');
        if (!value.matches("[0-9A-Za-z .-]*")) {
            text.append(" (bytes");
            for (byte next : value.getBytes(StandardCharsets.ISO_8859_1)) {
                text.append(String.format(Locale.ROOT, " %02x", next));
            }
            text.append(')');
        }
        return text.toString();
    }

    private void order(String json, OutputStream out) throws IOException {
        record.line(id + " gets the order " + json);
        String model = field(json, "model");
        String version = field(json, "version");
        boolean known;
        synchronized (this) {
            known = model != null && version != null && versions.containsKey(model) && json.contains("\"holder\"")
                    && json.contains("\"fencing_token\"");
        }
        if (!known) {
            write(out, 400, "", "", "{}");
            return;
        }
        orders.incrementAndGet();
        write(out, 202, "", "", "{}");
        sleep(760);
        synchronized (this) {
            versions.merge(model, Long.parseLong(version), Math::max);
        }
        record.line(id + " has version " + version + " of " + model);
    }

    private static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":");
        if (at < 0) {
            return null;
        }
        String rest = json.substring(at + name.length() + 3);
        return rest.startsWith("\"") ? rest.substring(1, rest.indexOf('"', 1)) : rest.split("[,}]")[0].trim();
    }

    private static void write(OutputStream out, int status, String headers, String echo, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + echo
                + (headers.contains("Content-Type") ? "" : "Content-Type: application/json\r\n") + "Content-Length: "
                + bytes.length + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
