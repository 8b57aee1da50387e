package quartzspan.soak;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import jakarta.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import quartzspan.configuration.JsonFields;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpServer;
import quartzspan.http.RequestHandler;

/**
 * A simulated model server, from its start to its shutdown or crash: runs up to 16 requests at once, each as an event stream,
 * queues up to 48 more and, when ordered, loads weights after the running requests have ended. Its state is confined to one
 * event loop.
 */
final class ModelServer implements RequestHandler {
    static final String MODEL = "m";
    /** Request header: number of events in the response. */
    static final String EVENT_COUNT_HEADER = "x-soak-events";

    /** Request header: interval between events. */
    static final String EVENT_INTERVAL_MS_HEADER = "x-soak-pause-ms";

    private static final int CAPACITY = 16;
    private static final int MAX_QUEUED = 48;
    private static final long LOAD_DURATION_MS = 500;
    private static final long KV_EVENTS_POLL_TIMEOUT_MS = 900;
    private static final ConnectionLimits LIMITS = new ConnectionLimits(2_000, 32 * 1024, 64 * 1024, 20_000, 20_000);

    private final String id;
    private final EventLoop loop;
    private final SoakClock clock;
    private final SoakRecord record;
    private final HttpServer http;
    private final ArrayDeque<InferenceRequest> queued = new ArrayDeque<>();
    private final Set<InferenceRequest> running = new HashSet<>();
    private long weightsVersion;
    private long loadingVersion;
    private int acceptedOrders;

    /** Starts a server on a free port. Must not be called on the event loop. */
    static ModelServer start(String id, long weightsVersion, EventLoop loop, SoakClock clock, SoakRecord record) {
        return loop.submit(() -> new ModelServer(id, weightsVersion, loop, clock, record))
                .syncUninterruptibly()
                .getNow();
    }

    private ModelServer(String id, long weightsVersion, EventLoop loop, SoakClock clock, SoakRecord record) {
        this.id = id;
        this.weightsVersion = weightsVersion;
        this.loop = loop;
        this.clock = clock;
        this.record = record;
        this.http = new HttpServer(this, loop);
        http.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    String id() {
        return id;
    }

    /** The body of a heartbeat, as JSON. */
    String heartbeat(String state) {
        return loop.submit(() ->
                        "{\"service\":\"s\",\"address\":\"127.0.0.1:" + http.port() + "\",\"zone\":\"z\",\"state\":\""
                                + state + "\",\"capacity\":" + CAPACITY + ",\"models\":[{\"name\":\"" + MODEL
                                + "\",\"version\":" + weightsVersion + "}],\"call_count\":" + acceptedOrders + "}")
                .syncUninterruptibly()
                .getNow();
    }

    long weightsVersion() {
        return loop.submit(() -> weightsVersion).syncUninterruptibly().getNow();
    }

    /** Stops accepting connections and requests; running requests are completed. */
    void shutDownGracefully() {
        loop.submit(() -> {
                    http.closeAfterResponses();
                    http.close();
                })
                .syncUninterruptibly();
    }

    /** Stops at once, like a crashed process: running and queued requests are aborted. */
    void crash() {
        loop.submit(() -> {
                    http.close();
                    Set.copyOf(running).forEach(request -> request.client.abort());
                    queued.forEach(request -> request.client.abort());
                })
                .syncUninterruptibly();
    }

    @Override
    public long now() {
        return TimeUnit.MILLISECONDS.toMicros(clock.nowMs());
    }

    @Override
    public ConnectionLimits limits() {
        return LIMITS;
    }

    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
        String path = request.uri().split("\\?", 2)[0];
        switch (path) {
            case "/quartzspan/order" -> onOrder(client, request, JsonFields.parse(body));
            case "/quartzspan/report" -> respond(client, HttpResponseStatus.OK, report());
            case "/quartzspan/kv-events" -> loop.schedule(
                    () -> respond(
                            client,
                            HttpResponseStatus.OK,
                            "{\"epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}"),
                    KV_EVENTS_POLL_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
            case "/quartzspan/kv-list" -> respond(
                    client, HttpResponseStatus.OK, "{\"epoch\":1,\"next_token\":0,\"held\":[]}");
            default -> onClientRequest(client, request);
        }
    }

    private String report() {
        return "{\"busy\":" + (loadingVersion > 0) + ",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":"
                + weightsVersion
                + "}],\"call_count\":" + acceptedOrders + ",\"queued\":" + queued.size() + ",\"active\":"
                + running.size()
                + "}";
    }

    private static void respond(HttpServer.ClientConnection client, HttpResponseStatus status, String json) {
        client.answer(
                status,
                new ConnectionPool.Response(json.getBytes(StandardCharsets.UTF_8), "application/json", null),
                0);
    }

    private void onOrder(HttpServer.ClientConnection client, HttpRequest request, JsonObject order) {
        if (isMisdirected(request)) {
            respond(client, HttpResponseStatus.MISDIRECTED_REQUEST, "{}");
            return;
        }
        long version = JsonFields.wholeNumber(order, "version", 0);
        record.orders.add(new SoakRecord.ServerOrder(
                id, order.getString("holder"), JsonFields.wholeNumber(order, "fencing_token", -1), clock.nowMs()));
        if (loadingVersion == 0 && weightsVersion == version) {
            respond(client, HttpResponseStatus.OK, "{}");
        } else if (loadingVersion != 0 && loadingVersion != version) {
            respond(client, HttpResponseStatus.CONFLICT, "{}");
        } else {
            respond(client, HttpResponseStatus.ACCEPTED, "{}");
            startLoading(version);
        }
    }

    private void startLoading(long version) {
        if (loadingVersion == 0) {
            loadingVersion = version;
            acceptedOrders++;
            queued.forEach(InferenceRequest::reject);
            queued.clear();
            loadWhenIdle();
        }
    }

    private void loadWhenIdle() {
        if (loadingVersion > 0 && running.isEmpty()) {
            loop.schedule(this::finishLoading, LOAD_DURATION_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void finishLoading() {
        if (loadingVersion > 0) {
            weightsVersion = loadingVersion;
            loadingVersion = 0;
        }
    }

    private boolean isMisdirected(HttpRequest httpRequest) {
        return !id.equals(httpRequest.headers().get("X-Expected-Instance", id));
    }

    private void onClientRequest(HttpServer.ClientConnection client, HttpRequest httpRequest) {
        InferenceRequest request = new InferenceRequest(client, httpRequest.headers());
        String expected = httpRequest.headers().get("Expect-Version", "");
        if (isMisdirected(httpRequest)) {
            respond(client, HttpResponseStatus.MISDIRECTED_REQUEST, "{}");
            return;
        }
        record.arrivals.add(new SoakRecord.Arrival(request.attemptId, id, clock.nowMs()));
        if (!expected.isEmpty() && Long.parseLong(expected) != weightsVersion) {
            request.rejectWith(HttpResponseStatus.MISDIRECTED_REQUEST);
        } else if (loadingVersion > 0 || queued.size() >= MAX_QUEUED) {
            request.reject();
        } else {
            client.onDisconnect(() -> queued.remove(request));
            queued.add(request);
            runNext();
        }
    }

    private void runNext() {
        while (running.size() < CAPACITY && !queued.isEmpty()) {
            InferenceRequest next = queued.poll();
            if (clock.nowMs() >= next.deadlineMs) {
                next.reject();
            } else {
                next.start();
            }
        }
        loadWhenIdle();
    }

    /** A client request, from its arrival to the end of its response. */
    private final class InferenceRequest {
        private final HttpServer.ClientConnection client;
        private final String attemptId;
        private final String tenant;
        private final long deadlineMs;
        private final long eventIntervalMs;
        private int remainingEvents;
        private long startedAtMs;
        private long startedOnVersion;

        InferenceRequest(HttpServer.ClientConnection client, HttpHeaders headers) {
            this.client = client;
            this.attemptId = headers.get("X-Attempt-Id", "");
            this.tenant = headers.get("X-Tenant", "");
            this.deadlineMs = clock.nowMs() + Long.parseLong(headers.get("X-Deadline-Ms", "0"));
            this.remainingEvents = headers.getInt(EVENT_COUNT_HEADER, 1);
            this.eventIntervalMs = headers.getInt(EVENT_INTERVAL_MS_HEADER, 1);
        }

        private HttpHeaders identityHeaders() {
            return new DefaultHttpHeaders().set("X-Attempt-Id", attemptId).set("X-Instance-Id", id);
        }

        void rejectWith(HttpResponseStatus status) {
            client.answer(
                    status,
                    new ConnectionPool.Response(
                            new byte[0], null, identityHeaders().set("X-Not-Executed", "1")),
                    0);
        }

        void reject() {
            rejectWith(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }

        void start() {
            running.add(this);
            startedAtMs = clock.nowMs();
            startedOnVersion = weightsVersion;
            client.onDisconnect(this::finish);
            HttpResponse head = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    identityHeaders().set("X-Server-Seal", id));
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            client.startResponse(head);
            sendNextEvent();
        }

        private void sendNextEvent() {
            if (!running.contains(this)) {
                return;
            }
            if (clock.nowMs() >= deadlineMs) {
                client.abort();
            } else if (remainingEvents == 0) {
                client.finishResponse();
                finish();
            } else {
                byte[] event = ("data: " + attemptId + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
                client.writeChunk(Unpooled.wrappedBuffer(event));
                remainingEvents--;
                loop.schedule(this::sendNextEvent, eventIntervalMs, TimeUnit.MILLISECONDS);
            }
        }

        private void finish() {
            if (running.remove(this)) {
                record.executions.add(
                        new SoakRecord.Execution(attemptId, id, tenant, startedOnVersion, startedAtMs, clock.nowMs()));
                runNext();
            }
        }
    }
}
