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

/** The calls that servers and operators make, each declared beside its handler. */
final class RequestRouter {
    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

    /** One call; {@code rest} is what follows the declared path. */
    interface Handler {
        void handle(ClientConnection client, HttpRequest in, byte[] body, String rest);
    }

    /** By method and path: a string, for a record's hash and equality are built by the JVM at their first use, during a start. */
    private final Map<String, Handler> calls = new LinkedHashMap<>();

    /** Declares a call; a path that ends with a slash takes a name after it. */
    RequestRouter on(String method, String path, Handler handler) {
        calls.put(key(method, path), handler);
        return this;
    }

    private static String key(String method, String path) {
        return method + ' ' + path;
    }

    void take(ClientConnection client, HttpRequest in, byte[] body) {
        String path = in.uri().split("\\?", 2)[0];
        int slash = path.lastIndexOf('/');
        Handler whole = calls.get(key(in.method().name(), path));
        Handler named = calls.get(key(in.method().name(), path.substring(0, slash + 1)));
        try {
            if (whole != null) {
                whole.handle(client, in, body, "");
            } else if (named != null && slash + 1 < path.length()) {
                named.handle(client, in, body, path.substring(slash + 1));
            } else {
                error(
                        client,
                        HttpResponseStatus.NOT_FOUND,
                        "NO_SUCH_CALL",
                        "there is no such call",
                        "see docs/operate for the calls");
            }
        } catch (FleetException why) {
            refuse(client, why);
        } catch (RuntimeException why) {
            // The caller goes on to another machine; without an answer it would have to wait for its own time to run
            // out.
            LOG.error("{} {} failed", in.method(), path, why);
            error(
                    client,
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    "FAILED",
                    "the call failed",
                    "ask another machine of the core");
        }
    }

    /** Says no, with what would mend it. */
    static void refuse(ClientConnection client, FleetException why) {
        error(
                client,
                HttpResponseStatus.valueOf(why.code().status()),
                why.code().name(),
                why.getMessage(),
                why.remedy());
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

    /** Sends the caller to another machine. */
    static void redirect(ClientConnection client, String to) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Location", to);
        client.answer(HttpResponseStatus.TEMPORARY_REDIRECT, new Response(new byte[0], null, headers), 0);
    }
}
