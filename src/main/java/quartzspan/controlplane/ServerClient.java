package quartzspan.controlplane;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.http.ConnectionPool;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.registry.Server;

/** The core machine's own calls to servers, over connections that are kept: a new one costs a server as much as a small request. */
final class ServerClient {
    private static final Logger LOG = LoggerFactory.getLogger(ServerClient.class);
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final int CONNECTIONS_PER_SERVER = 4;
    /** Status of a call that ended without an answer: it may have been carried out. */
    static final int NO_ANSWER = 0;
    /** Status of a call of which the server surely read nothing. */
    static final int NOT_SENT = -1;

    /** Told once how a call ended: a status of HTTP, {@link #NO_ANSWER} or {@link #NOT_SENT}. */
    interface ResponseListener {
        void onResponse(int status, byte[] body);
    }

    private final ConnectionPool upstream;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();

    ServerClient(ConnectionPool upstream) {
        this.upstream = upstream;
        // An order that was given up must not reach its server after the orders of the next holder.
        upstream.discardUnsentOnClose();
    }

    /** Forgets the connections to servers that are gone. */
    void tidy(Predicate<String> gone) {
        endpoints.entrySet().removeIf(e -> {
            if (!gone.test(e.getKey())) {
                return false;
            }
            upstream.closeIdle(e.getValue());
            return true;
        });
    }

    /** Asks for something. */
    void get(Server server, String path, Map<String, String> headers, ResponseListener then) {
        call(server, "GET", path, headers, "", CALL_TIMEOUT_MS, () -> true, then);
    }

    /**
     * Sends something that must go out only while it is permitted.
     *
     * @param timeoutMs time after which it is given up and can't arrive any more
     * @param permitted asked right before each write to the socket, when the connection stands
     */
    void post(
            Server server, String path, String json, long timeoutMs, BooleanSupplier permitted, ResponseListener then) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        call(server, "POST", path, headers, json, timeoutMs, permitted, then);
    }

    private void call(
            Server server,
            String method,
            String path,
            Map<String, String> more,
            String body,
            long timeoutMs,
            BooleanSupplier permitted,
            ResponseListener then) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", server.address());
        if (!server.model().isEmpty()) {
            headers.set("X-Expected-Instance", server.id());
        }
        more.forEach(headers::set);
        AnyResponse reading = new AnyResponse();
        ConnectionPool.CompletionListener end = (outcome, answer) -> {
            try {
                then.onResponse(
                        answer != null ? reading.status : outcome.neverRan() ? NOT_SENT : NO_ANSWER,
                        answer != null ? answer.body() : new byte[0]);
            } catch (RuntimeException e) {
                LOG.warn("an answer of {} can't be read", server.id(), e);
            }
        };
        // Servers' answers to these calls bear no id: one too many on a kept connection would be taken for an order's.
        ConnectionPool.Reuse reuse = method.equals("POST") ? ConnectionPool.Reuse.NONE : ConnectionPool.Reuse.ANY;
        upstream.attempt(
                        endpoint(server),
                        new OutgoingRequest(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                        TimeUnit.MILLISECONDS.toMicros(timeoutMs),
                        permitted,
                        reading,
                        end)
                .start(reuse);
    }

    private ConnectionPool.Endpoint endpoint(Server server) {
        ConnectionPool.Endpoint endpoint = endpoints.computeIfAbsent(server.id(), ConnectionPool.Endpoint::new);
        int colon = server.address().lastIndexOf(':');
        endpoint.listed(
                new InetSocketAddress(
                        server.address().substring(0, colon),
                        Integer.parseInt(server.address().substring(colon + 1))),
                true,
                CONNECTIONS_PER_SERVER);
        return endpoint;
    }

    /** The whole answer of a server, whatever it is. */
    private static final class AnyResponse implements ConnectionPool.ResponseHandler {
        private int status;

        @Override
        public Outcome outcome(HttpResponse head) {
            status = head.status().code();
            return status >= 200 && status < 300 ? Outcome.OK : Outcome.FAILED;
        }

        @Override
        public boolean whole() {
            return true;
        }
    }
}
