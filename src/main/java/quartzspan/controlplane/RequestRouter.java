package quartzspan.controlplane;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.JsonLines;
import quartzspan.http.ConnectionPool.Response;
import quartzspan.http.HttpServer.ClientConnection;

/** Routes the requests of servers and operators to their handlers, by method and path. */
final class RequestRouter {
    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

    /** Handles one kind of request; {@code pathSuffix} is what follows the declared path. */
    interface Handler {
        void handle(ClientConnection client, HttpRequest request, byte[] body, String pathSuffix);
    }

    /** By method and path. The key is a string: a record's hash and equality are built by the JVM at their first use, during a start. */
    private final Map<String, Handler> handlers = new LinkedHashMap<>();

    /** Adds a route; a path that ends with a slash takes a name after it. */
    RequestRouter addRoute(String method, String path, Handler handler) {
        handlers.put(key(method, path), handler);
        return this;
    }

    private static String key(String method, String path) {
        return method + ' ' + path;
    }

    void route(ClientConnection client, HttpRequest request, byte[] body) {
        String path = request.uri().split("\\?", 2)[0];
        int slash = path.lastIndexOf('/');
        Handler exact = handlers.get(key(request.method().name(), path));
        Handler byPrefix = handlers.get(key(request.method().name(), path.substring(0, slash + 1)));
        try {
            if (exact != null) {
                exact.handle(client, request, body, "");
            } else if (byPrefix != null && slash + 1 < path.length()) {
                byPrefix.handle(client, request, body, path.substring(slash + 1));
            } else {
                error(
                        client,
                        HttpResponseStatus.NOT_FOUND,
                        "NO_SUCH_CALL",
                        "unknown method or path",
                        "see docs/operate for the API");
            }
        } catch (FleetException refusal) {
            refuse(client, refusal);
        } catch (RuntimeException failure) {
            // The caller goes on to another machine; without an answer it would have to wait for its own timeout.
            LOG.error("request {} {} failed", request.method(), path, failure);
            error(
                    client,
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    "FAILED",
                    "the request failed",
                    "ask another machine of the core");
        }
    }

    /** Answers with a refusal and its remedy. */
    static void refuse(ClientConnection client, FleetException refusal) {
        error(
                client,
                HttpResponseStatus.valueOf(refusal.code().status()),
                refusal.code().name(),
                refusal.getMessage(),
                refusal.remedy());
    }

    private static void error(
            ClientConnection client, HttpResponseStatus status, String code, String reason, String remedy) {
        StringBuilder json = new StringBuilder("{\"code\":");
        JsonLines.quote(json, code);
        JsonLines.quote(json.append(",\"reason\":"), reason);
        JsonLines.quote(json.append(",\"remedy\":"), remedy);
        answer(client, status, json.append('}').toString().getBytes(StandardCharsets.UTF_8));
    }

    static void ok(ClientConnection client) {
        answer(client, HttpResponseStatus.OK, "{}".getBytes(StandardCharsets.UTF_8));
    }

    static void answer(ClientConnection client, HttpResponseStatus status, byte[] json) {
        client.answer(status, new Response(json, "application/json", null), 0);
    }

    /** Redirects the caller to another machine. */
    static void redirect(ClientConnection client, String location) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Location", location);
        client.answer(HttpResponseStatus.TEMPORARY_REDIRECT, new Response(new byte[0], null, headers), 0);
    }
}
