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

/**
 * Sends the core machine's own requests to servers, over pooled connections: a new connection costs a server as much as a
 * small request.
 */
final class ServerClient implements ServerCalls {
    private static final Logger LOG = LoggerFactory.getLogger(ServerClient.class);
    private static final long CALL_TIMEOUT_MS = 2_000;
    /** Connections to one server, in use or idle. */
    static final int CONNECTIONS_PER_SERVER = 4;
    /** A list of all blocks that a server has cached is the largest response. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final ConnectionPool connectionPool;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();

    ServerClient(ConnectionPool connectionPool) {
        this.connectionPool = connectionPool;
        // An abandoned order must not reach its server after the orders of the next lease holder.
        connectionPool.discardUnsentOnClose();
    }

    /** Closes the connections to servers that have deregistered. */
    void closeDeregistered(Predicate<String> deregistered) {
        endpoints.entrySet().removeIf(e -> {
            if (!deregistered.test(e.getKey())) {
                return false;
            }
            connectionPool.closeIdle(e.getValue());
            return true;
        });
    }

    @Override
    public void get(Server server, String path, Map<String, String> headers, ResponseListener listener) {
        send(server, "GET", path, headers, "", CALL_TIMEOUT_MS, () -> true, listener);
    }

    @Override
    public void post(
            Server server,
            String path,
            String json,
            long timeoutMs,
            BooleanSupplier permitted,
            ResponseListener listener) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        send(server, "POST", path, headers, json, timeoutMs, permitted, listener);
    }

    private void send(
            Server server,
            String method,
            String path,
            Map<String, String> extraHeaders,
            String body,
            long timeoutMs,
            BooleanSupplier permitted,
            ResponseListener listener) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", server.address());
        if (!server.model().isEmpty()) {
            headers.set("X-Expected-Instance", server.id());
        }
        extraHeaders.forEach(headers::set);
        AnyStatusHandler responseHandler = new AnyStatusHandler();
        ConnectionPool.CompletionListener onCompletion = (outcome, response) -> {
            try {
                listener.onResponse(
                        response != null ? responseHandler.status : outcome.neverRan() ? NOT_SENT : NO_RESPONSE,
                        response != null ? response.body() : new byte[0]);
            } catch (RuntimeException e) {
                LOG.warn("response of server {} can't be processed", server.id(), e);
            }
        };
        // Servers' responses to these requests carry no ID: a late response on a pooled connection would be taken
        // for that of an order.
        ConnectionPool.Reuse reuse = method.equals("POST") ? ConnectionPool.Reuse.NONE : ConnectionPool.Reuse.ANY;
        connectionPool
                .attempt(
                        endpoint(server),
                        new OutgoingRequest(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                        TimeUnit.MILLISECONDS.toMicros(timeoutMs),
                        permitted,
                        responseHandler,
                        onCompletion)
                .start(reuse);
    }

    private ConnectionPool.Endpoint endpoint(Server server) {
        ConnectionPool.Endpoint endpoint = endpoints.computeIfAbsent(server.id(), ConnectionPool.Endpoint::new);
        int colon = server.address().lastIndexOf(':');
        endpoint.update(
                new InetSocketAddress(
                        server.address().substring(0, colon),
                        Integer.parseInt(server.address().substring(colon + 1))),
                true,
                CONNECTIONS_PER_SERVER);
        return endpoint;
    }

    /** Accepts the complete response of a server, whatever its status. */
    private static final class AnyStatusHandler implements ConnectionPool.ResponseHandler {
        private int status;

        @Override
        public Outcome outcome(HttpResponse head) {
            status = head.status().code();
            return status >= 200 && status < 300 ? Outcome.OK : Outcome.FAILED;
        }

        @Override
        public int maxBodyBytes() {
            return MAX_RESPONSE_BYTES;
        }

        @Override
        public boolean wantsErrorBody() {
            return true;
        }
    }
}
