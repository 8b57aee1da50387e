package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * A sound model server: it sends heartbeats, runs at most {@code capacity} requests at once, queues {@code queue} more and turns
 * others away with {@code X-Not-Executed}, and answers 421 to a request for another instance or another version of its weights.
 */
class ModelServer implements AutoCloseable {
    static final String MODEL = "daka510000";

    final String id;
    final String address;
    private final String service;
    private final String zone;
    private final int capacity;
    private final int queue;
    private final int connectionLimit;
    private final Record record;
    private final Fleet fleet;
    private final ServerSocket listener;
    private final Semaphore places;
    private final AtomicInteger present = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** The attempt id of the last request on each connection. */
    private final Map<Socket, String> lastRequests = new ConcurrentHashMap<>();

    private volatile boolean ended;
    private long callCount;
    volatile boolean acknowledged;

    ModelServer(
            Fleet fleet, Record record, String id, String service, int index, int capacity, int queue, int connections)
            throws IOException {
        this.fleet = fleet;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = Fleet.ZONES[index % 3];
        this.capacity = capacity;
        this.queue = queue;
        this.connectionLimit = connections;
        this.places = new Semaphore(capacity, true);
        this.listener = new ServerSocket();
        if (receiveBufferBytes() > 0) {
            listener.setReceiveBufferSize(receiveBufferBytes());
        }
        listener.bind(new InetSocketAddress("127.0.83." + (11 + index), 0), 256);
        this.address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        start(this::accept);
        start(this::heartbeats);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                if (connections.size() >= connectionLimit) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    continue;
                }
                connections.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head; (head = Http.readHead(in)) != null; ) {
                lastRequests.put(socket, head.headers().getOrDefault("x-attempt-id", ""));
                if (answersFirst(head)) {
                    handle(head, new byte[0], out);
                    Http.readRequestBody(in, head);
                } else {
                    handle(head, Http.readRequestBody(in, head), out);
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        } finally {
            connections.remove(socket);
            lastRequests.remove(socket);
        }
    }

    /** The receive buffer of its connections, as on a link with small windows; 0 for the system's own. */
    int receiveBufferBytes() {
        return 0;
    }

    /** Whether it sends its answer before it reads the body, and goes on reading afterwards. */
    boolean answersFirst(Http.Head head) {
        return false;
    }

    /** The connections on which the last request was one of these. */
    final List<Socket> connectionsOf(Predicate<String> attemptId) {
        return connections.stream()
                .filter(socket -> attemptId.test(lastRequests.getOrDefault(socket, "")))
                .toList();
    }

    /** Resets a connection. */
    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    private void handle(Http.Head head, byte[] body, OutputStream out) throws IOException {
        String[] line = head.line().split(" ");
        String path = line[1];
        if (path.startsWith("/quartzspan/kv-events")) {
            json(out, events(
                    Integer.parseInt(path.substring(path.indexOf('=') + 1)),
                    Math.min(1000, Integer.parseInt(head.headers().getOrDefault("wait-ms", "0")))));
        } else if (path.startsWith("/quartzspan/kv-list")) {
            json(out, list());
        } else if (path.equals("/quartzspan/report")) {
            json(out, "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"call_count\":0,\"queued\":0,\"active\":" + (capacity - places.availablePermits())
                    + ",\"cache_used\":0,\"cache_total\":230124,\"handles\":0}");
        } else if (head.header("x-attempt-id") == null) {
            reject(out, head, "400 Bad Request");
        } else if (head.header("x-expected-instance") != null && !head.header("x-expected-instance").equals(id)
                || head.header("expect-version") != null && !head.header("expect-version").equals("1")) {
            reject(out, head, "421 Misdirected Request");
        } else if (present.incrementAndGet() > capacity + queue) {
            present.decrementAndGet();
            record.add("server %s turns away %s", id, head.header("x-attempt-id"));
            reject(out, head, "503 Service Unavailable");
        } else {
            try {
                places.acquireUninterruptibly();
                try {
                    record.add("server %s runs %s", id, head.header("x-attempt-id"));
                    run(head, body, out);
                } finally {
                    places.release();
                }
            } finally {
                present.decrementAndGet();
            }
        }
    }

    /** The answer to a call for the events since a number; waits for one if there is none. */
    String events(int since, int waitMs) {
        sleep(waitMs);
        return "{\"epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}";
    }

    /** The answer to a call for the list of the kept parts. */
    String list() {
        return "{\"epoch\":1,\"next_token\":0,\"held\":[]}";
    }

    /** Runs a request and answers it. */
    void run(Http.Head head, byte[] body, OutputStream out) throws IOException {
        answer(head, out, "id: 1\ndata: done\n\n");
    }

    final void answer(Http.Head head, OutputStream out, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        Http.write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + head.header("x-attempt-id")
                        + "\r\nX-Server-Seal: " + id + "." + head.header("x-attempt-id") + "\r\nX-Instance-Id: " + id
                        + "\r\nVersions: 1\r\nContent-Length: " + body.length + "\r\n\r\n" + text);
    }

    private void reject(OutputStream out, Http.Head head, String status) throws IOException {
        Http.write(
                out,
                "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: "
                        + head.headers().getOrDefault("x-attempt-id", "") + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static void json(OutputStream out, String body) throws IOException {
        Http.write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                        + body);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void heartbeats() {
        List<String> addresses = fleet.controlAddresses();
        int next = Math.floorMod(id.hashCode(), addresses.size());
        while (!ended) {
            callCount++;
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"capacity\":" + capacity
                    + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"stage\":\"hybrid\",\"models\":[{\"name\":\"" + MODEL
                    + "\",\"version\":1,\"adapters\":[]}],\"call_count\":" + callCount + "}";
            boolean taken = false;
            for (int i = 0; i < addresses.size() && !taken; i++) {
                try {
                    taken = Http.call(
                                            addresses.get(next),
                                            "POST /quartzspan/Instances.Heartbeat/" + id,
                                            "Content-Type: application/json\r\n",
                                            body.getBytes(StandardCharsets.UTF_8),
                                            1_000)
                                    .status()
                            == 200;
                } catch (IOException e) {
                    // The next machine is called.
                }
                next = taken ? next : (next + 1) % addresses.size();
            }
            acknowledged |= taken;
            sleep(taken ? 1_200 : 200);
        }
    }

    void awaitAcknowledged() {
        for (int i = 0; i < 200 && !acknowledged; i++) {
            sleep(100);
        }
        if (!acknowledged) {
            throw new IllegalStateException("no heartbeat of " + id + " is acknowledged");
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
