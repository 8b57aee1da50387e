package quartzspan.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import quartzspan.configuration.Configuration.Route;
import quartzspan.http.ConnectionPool;
import quartzspan.http.ConnectionPool.Response;
import quartzspan.http.ConnectionPool.ResponseMatch;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.PlacementRequest;

/**
 * One request of a client: forwards it to a server, to another one if it was surely not executed or may be repeated, and the
 * response back.
 */
final class ProxiedRequest implements ConnectionPool.ResponseHandler {
    private static final String ATTEMPT_ID = "X-Attempt-Id";
    private static final String SERVER_SEAL = "X-Server-Seal";
    private static final String NOT_EXECUTED = "X-Not-Executed";
    private static final List<CharSequence> HOP_BY_HOP_HEADERS = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.UPGRADE,
            "Proxy-Connection");
    /** The final answer is sent this long before the deadline. */
    private static final long DEADLINE_MARGIN_US = 15_000;
    /** Sends of one request, also to one server. */
    private static final int MAX_SENDS = 3;
    /** Servers tried, also those that could not be reached. */
    private static final int MAX_SERVERS_TRIED = 8;

    private static final Response NO_BODY = new Response(new byte[0], null, null);

    private final FrontendProxy proxy;
    private final HttpServer.ClientConnection client;
    private final Route route;
    private final PlacementRequest placementRequest;
    private final OutgoingRequest request;
    private final String attemptId;
    private final long deadlineUs;
    private final Prompt prompt;
    /** Names of the prompt's blocks at the server that executes it. */
    private long[] blocks = {};

    private final Set<String> tried = new HashSet<>();
    /** Servers that received it. */
    private final Set<String> reached = new HashSet<>();

    /** The server of the next send, whatever the placement chooses; null to let it choose. */
    private String nextServer;

    private int sends;
    private boolean mayHaveExecuted;
    private boolean responseStarted;
    private boolean ended;
    private String server;
    private ConnectionPool.Attempt attempt;
    private HttpResponse head;

    ProxiedRequest(
            FrontendProxy proxy,
            HttpServer.ClientConnection client,
            Route route,
            PlacementRequest placementRequest,
            OutgoingRequest request,
            long deadlineUs,
            Prompt prompt) {
        this.prompt = prompt;
        this.proxy = proxy;
        this.client = client;
        this.route = route;
        this.placementRequest = placementRequest;
        this.request = request;
        this.attemptId = request.headers().get(ATTEMPT_ID);
        this.deadlineUs = deadlineUs - DEADLINE_MARGIN_US;
    }

    void start() {
        client.onDisconnect(this::onDisconnect);
        next();
    }

    private void next() {
        long left = deadlineUs - proxy.now();
        String to = left <= 0 ? null : target();
        ConnectionPool.Endpoint endpoint = to == null ? null : proxy.endpoints().endpoint(to);
        if (endpoint == null) {
            reject();
            return;
        }
        server = to;
        head = null;
        HttpHeaders headers = new DefaultHttpHeaders().set(request.headers()).set("X-Expected-Instance", to);
        blocks = proxy.prefixCacheRouting().setHeaders(headers, to, placementRequest, prompt);
        proxy.endpoints().placement().onSent(to, placementRequest);
        attempt = proxy.connectionPool()
                .attempt(
                        endpoint,
                        new OutgoingRequest(request.method(), request.uri(), headers, request.body()),
                        left,
                        () -> !ended,
                        this,
                        this::onAttemptEnded);
        attempt.start(reuse(to));
    }

    /** The server that is to get it: the one that it goes to again, or a further one if the route allows that. */
    private String target() {
        String again = nextServer;
        nextServer = null;
        if (again != null && proxy.endpoints().endpoint(again) != null) {
            return again;
        }
        return reached.size() < route.maxAttempts()
                ? proxy.endpoints().placement().pick(proxy.now(), placementRequest, tried)
                : null;
    }

    /** Two sends of one request have the same id, so that only their connections distinguish their responses. */
    private ConnectionPool.Reuse reuse(String to) {
        return reached.contains(to)
                ? ConnectionPool.Reuse.NONE
                : route.repeatable() ? ConnectionPool.Reuse.ANY : ConnectionPool.Reuse.RECENT;
    }

    private void onDisconnect() {
        if (!ended) {
            ended = true;
            if (attempt != null) {
                attempt.cancel();
            }
            proxy.onEnded(this);
        }
    }

    // ---- the server's response -------------------------------------------------------------------------

    /** Servers echo the id of the request that a response is to, and a success has its server's seal and an unencoded body. */
    @Override
    public ResponseMatch match(HttpResponse answer) {
        List<String> ids = answer.headers().getAll(ATTEMPT_ID);
        if (!ids.equals(attemptId == null ? List.of() : List.of(attemptId))) {
            return ids.size() == 1 ? ResponseMatch.EARLIER : ResponseMatch.UNKNOWN;
        }
        int status = answer.status().code();
        boolean success = status >= 200 && status < 300;
        return !success || hasServerSeal(answer.headers()) ? ResponseMatch.CURRENT : ResponseMatch.UNKNOWN;
    }

    private static boolean hasServerSeal(HttpHeaders headers) {
        return headers.getAll(SERVER_SEAL).size() == 1 && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    @Override
    public Outcome outcome(HttpResponse answer) {
        head = answer;
        int status = answer.status().code();
        return status >= 200 && status < 300
                ? Outcome.OK
                : status == 421 || answer.headers().contains(NOT_EXECUTED) ? Outcome.QUEUE_FULL : Outcome.FAILED;
    }

    @Override
    public boolean wantsErrorBody() {
        return true;
    }

    @Override
    public boolean streamsBody(HttpResponse answer) {
        if (ended) {
            return false;
        }
        responseStarted = true;
        proxy.endpoints().placement().onResponseStarted(server);
        for (int i = 0; i < blocks.length; i++) {
            proxy.prefixCacheIndex().onPrefill(server, blocks[i], (int) prompt.tokens()[i]);
        }
        HttpHeaders headers = endToEndHeaders(answer.headers());
        if (request.method().equals("HEAD")) {
            // The response has no chunks, not even a last one.
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        client.startResponse(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
        return true;
    }

    private static HttpHeaders endToEndHeaders(HttpHeaders from) {
        HttpHeaders headers = new DefaultHttpHeaders().set(from);
        from.getAll(HttpHeaderNames.CONNECTION)
                .forEach(names -> List.of(names.split(",")).forEach(name -> headers.remove(name.trim())));
        HOP_BY_HOP_HEADERS.forEach(headers::remove);
        return headers;
    }

    @Override
    public boolean onChunk(ByteBuf bytes) {
        if (ended) {
            return true;
        }
        client.writeChunk(bytes.retain());
        return client.isWritable(() -> {
            if (attempt != null) {
                attempt.resumeReading();
            }
        });
    }

    private void onAttemptEnded(Outcome outcome, Response answer) {
        boolean stale = attempt.isStale();
        // That a server closes idle connections does not make it a failing one.
        proxy.endpoints().placement().onEnded(proxy.now(), server, placementRequest, stale ? Outcome.IGNORED : outcome);
        attempt = null;
        if (ended) {
            return;
        }
        if (responseStarted) {
            ended = true;
            if (outcome == Outcome.OK) {
                client.finishResponse();
            } else {
                client.abort();
            }
            proxy.onEnded(this);
            return;
        }
        tried.add(server);
        boolean arrived = outcome != Outcome.CONNECT_ERROR && outcome != Outcome.IGNORED;
        if (arrived) {
            reached.add(server);
            sends++;
        }
        mayHaveExecuted |= !outcome.neverRan();
        if (stale && sends < MAX_SENDS) {
            nextServer = server;
        }
        if (head != null && head.status().code() == 421) {
            if (server.equals(head.headers().get("X-Instance-Id"))) {
                // Where the same server has only changed its weights, it does not count as another attempt.
                boolean mayRun = proxy.endpoints().onVersionMismatch(server);
                nextServer = mayRun && sends < MAX_SENDS ? server : null;
            } else {
                proxy.endpoints().placement().onMisdirected(proxy.now(), server);
            }
        }
        boolean again = (!mayHaveExecuted || route.repeatable())
                && (nextServer != null || reached.size() < route.maxAttempts())
                && tried.size() < MAX_SERVERS_TRIED
                && (!arrived || proxy.retryBudget().tryAcquire());
        if (outcome == Outcome.FAILED
                && answer != null
                && (route.repeatable() || !promisesNotExecuted(head.status()))) {
            // The server executed it, and this is its response.
            answer(
                    head.status(),
                    new Response(answer.body(), null, withoutLength(endToEndHeaders(answer.headers()))),
                    0);
        } else if (again) {
            next();
        } else {
            reject();
        }
    }

    /** Clients take these for a promise that the request was not executed and never will be. */
    private static boolean promisesNotExecuted(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }

    private static HttpHeaders withoutLength(HttpHeaders headers) {
        return headers.remove(HttpHeaderNames.CONTENT_LENGTH).remove(HttpHeaderNames.TRANSFER_ENCODING);
    }

    // ---- the proxy's own answers --------------------------------------------------------------------------

    /** The final answer where no server gave one: when to retry if it was surely not executed, and no promise if it may have been. */
    private void reject() {
        if (!mayHaveExecuted) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY, proxy.retryAfterUs(route));
        } else {
            answer(
                    proxy.now() >= deadlineUs ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                    NO_BODY,
                    0);
        }
    }

    private void answer(HttpResponseStatus status, Response answer, long retryAfterUs) {
        ended = true;
        client.answer(status, answer, retryAfterUs);
        proxy.onEnded(this);
    }
}
