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
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.ConnectionPool;
import quartzspan.http.ConnectionPool.Response;
import quartzspan.http.ConnectionPool.ResponseMatch;
import quartzspan.http.HopByHopHeaders;
import quartzspan.http.HttpServer;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.PlacementRequest;

/**
 * A client request in flight. It is forwarded to a server, and to another one as {@link ResendDecision} decides; the response is
 * forwarded to the client.
 */
final class ProxiedRequest implements ConnectionPool.ResponseHandler {
    private static final String ATTEMPT_ID_HEADER = "X-Attempt-Id";
    private static final String SERVER_SEAL_HEADER = "X-Server-Seal";
    private static final String NOT_EXECUTED_HEADER = "X-Not-Executed";
    private static final List<CharSequence> HOP_BY_HOP_HEADERS = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.UPGRADE,
            "Proxy-Connection");
    /** The final response is sent this long before the deadline. */
    private static final long DEADLINE_MARGIN_US = 15_000;
    /** Maximum number of times a request is sent, including repeated sends to the same server. */
    private static final int MAX_SENDS = 3;
    /** Maximum number of servers tried, including those that could not be reached. */
    private static final int MAX_SERVERS_TRIED = 8;

    private static final Response NO_BODY = new Response(new byte[0], null, null);

    private final FrontendProxy proxy;
    private final HttpServer.ClientConnection client;
    private final Route route;
    /** The tenant when the request arrived; null if it has none. */
    private final Tenant tenant;

    private final PlacementRequest placementRequest;
    private final OutgoingRequest request;
    private final String attemptId;
    private final long deadlineUs;
    private final Prompt prompt;
    private final ResendDecision resendDecision;
    /** Hashes of the prompt's blocks at the server of the current attempt. */
    private long[] blocks = {};

    private final Set<String> triedServers = new HashSet<>();
    /** Servers that received the request. */
    private final Set<String> reachedServers = new HashSet<>();

    /** The server of the next attempt; null to let the placement choose. */
    private String nextServer;

    private int sendCount;
    private boolean responseStarted;
    private boolean ended;
    /** The server of the current attempt. */
    private String server;

    private ConnectionPool.Attempt attempt;
    private HttpResponse responseHead;

    ProxiedRequest(
            FrontendProxy proxy,
            HttpServer.ClientConnection client,
            Route route,
            Tenant tenant,
            PlacementRequest placementRequest,
            OutgoingRequest request,
            long deadlineUs,
            Prompt prompt) {
        this.prompt = prompt;
        this.proxy = proxy;
        this.client = client;
        this.route = route;
        this.tenant = tenant;
        this.placementRequest = placementRequest;
        this.request = request;
        this.resendDecision = new ResendDecision(route.repeatable());
        this.attemptId = request.headers().get(ATTEMPT_ID_HEADER);
        this.deadlineUs = deadlineUs - DEADLINE_MARGIN_US;
    }

    void start() {
        client.onDisconnect(this::onDisconnect);
        sendAttempt();
    }

    private void sendAttempt() {
        long remainingUs = deadlineUs - proxy.now();
        String target = remainingUs <= 0 ? null : chooseServer();
        ConnectionPool.Endpoint endpoint =
                target == null ? null : proxy.endpoints().endpoint(target);
        if (endpoint == null) {
            act(resendDecision.withoutAttempt(), null);
            return;
        }
        server = target;
        responseHead = null;
        HttpHeaders headers = new DefaultHttpHeaders().set(request.headers()).set("X-Expected-Instance", target);
        long expectedWeights = proxy.endpoints().expectedWeightsVersion(target);
        // The partition at the time of sending: the request may have waited while its or another tenant became
        // isolated.
        String cachePartition = proxy.fleet().cachePartition(tenant);
        blocks = proxy.prefixCacheRouting()
                .setHeaders(headers, target, expectedWeights, cachePartition, placementRequest, prompt);
        proxy.endpoints().placement().onSent(target, placementRequest);
        attempt = proxy.connectionPool()
                .attempt(
                        endpoint,
                        new OutgoingRequest(request.method(), request.uri(), headers, request.body()),
                        remainingUs,
                        () -> !ended
                                && proxy.fleet().maySend(target, expectedWeights)
                                && proxy.fleet().mayUsePartition(cachePartition, tenant),
                        this,
                        this::onAttemptEnded);
        attempt.start(connectionReuse(target));
    }

    /** The server of the next attempt: the one set for a resend, else another one if the route allows more attempts; or null. */
    private String chooseServer() {
        String preferred = nextServer;
        nextServer = null;
        if (preferred != null && proxy.endpoints().endpoint(preferred) != null) {
            return preferred;
        }
        return reachedServers.size() < route.maxAttempts()
                ? proxy.endpoints().placement().pick(proxy.now(), placementRequest, triedServers)
                : null;
    }

    /** Repeated sends have the same attempt id: only separate connections distinguish the responses to them. */
    private ConnectionPool.Reuse connectionReuse(String target) {
        return reachedServers.contains(target)
                ? ConnectionPool.Reuse.NONE
                : route.repeatable() ? ConnectionPool.Reuse.ANY : ConnectionPool.Reuse.RECENT;
    }

    private void onDisconnect() {
        if (!ended) {
            ended = true;
            if (attempt != null) {
                attempt.cancel();
            }
            proxy.onRequestEnded(this);
        }
    }

    /**
     * Matches a response by the attempt id, which servers echo. A success must also have one server seal and a body without a
     * content encoding.
     */
    @Override
    public ResponseMatch match(HttpResponse response) {
        List<String> ids = response.headers().getAll(ATTEMPT_ID_HEADER);
        if (!ids.equals(attemptId == null ? List.of() : List.of(attemptId))) {
            return ids.size() == 1 ? ResponseMatch.EARLIER : ResponseMatch.UNKNOWN;
        }
        int status = response.status().code();
        boolean success = status >= 200 && status < 300;
        return !success || hasServerSeal(response.headers()) ? ResponseMatch.CURRENT : ResponseMatch.UNKNOWN;
    }

    private static boolean hasServerSeal(HttpHeaders headers) {
        return headers.getAll(SERVER_SEAL_HEADER).size() == 1 && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    @Override
    public Outcome outcome(HttpResponse response) {
        responseHead = response;
        int status = response.status().code();
        return status >= 200 && status < 300
                ? Outcome.OK
                : status == 421 || response.headers().contains(NOT_EXECUTED_HEADER)
                        ? Outcome.QUEUE_FULL
                        : Outcome.FAILED;
    }

    @Override
    public boolean wantsErrorBody() {
        return true;
    }

    @Override
    public boolean streamsBody(HttpResponse response) {
        if (ended) {
            return false;
        }
        responseStarted = true;
        proxy.endpoints().placement().onResponseStarted(server);
        for (int i = 0; i < blocks.length; i++) {
            proxy.prefixCacheIndex().onPrefill(server, blocks[i], (int) prompt.blockTokens()[i]);
        }
        HttpHeaders headers = endToEndHeaders(response.headers());
        if (request.method().equals("HEAD")) {
            // A response to HEAD has no body, not even the last chunk.
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        client.startResponse(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
        return true;
    }

    private static HttpHeaders endToEndHeaders(HttpHeaders received) {
        HttpHeaders headers = HopByHopHeaders.withoutConnectionOptions(received);
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

    private void onAttemptEnded(Outcome outcome, Response response) {
        boolean stale = attempt.isStale();
        // A server that closes idle connections is not failing.
        proxy.endpoints().placement().onEnded(proxy.now(), server, placementRequest, stale ? Outcome.IGNORED : outcome);
        attempt = null;
        if (ended) {
            return;
        }
        if (responseStarted) {
            act(ResendDecision.afterPassingOn(outcome), null);
            return;
        }
        boolean received = outcome != Outcome.CONNECT_ERROR && outcome != Outcome.IGNORED;
        triedServers.add(server);
        if (received) {
            reachedServers.add(server);
            sendCount++;
        }
        if (stale && sendCount < MAX_SENDS) {
            nextServer = server;
        }
        onMisdirectedResponse();
        HttpResponseStatus failure = response == null ? null : responseHead.status();
        act(resendDecision.afterAttempt(outcome, failure, () -> isResendAvailable(received)), response);
    }

    /** A 421 of the chosen server itself says that it has other weights; one of another server, that the address was reused. */
    private void onMisdirectedResponse() {
        if (responseHead == null || responseHead.status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            return;
        }
        if (server.equals(responseHead.headers().get("X-Instance-Id"))) {
            // The same server has only changed its weights: a resend to it doesn't count as another attempt.
            boolean mayResend = proxy.endpoints().onVersionMismatch(server);
            nextServer = mayResend && sendCount < MAX_SENDS ? server : null;
        } else {
            proxy.endpoints().placement().onMisdirected(proxy.now(), server);
        }
    }

    /** Whether the route's attempts and, after an attempt that reached a server, the retry budget allow another attempt. */
    private boolean isResendAvailable(boolean received) {
        return (nextServer != null || reachedServers.size() < route.maxAttempts())
                && triedServers.size() < MAX_SERVERS_TRIED
                && (!received || proxy.retryBudget().tryAcquire());
    }

    /** @param response the server's complete response; null if there is none or it was passed on already */
    private void act(ResendDecision.Action action, Response response) {
        switch (action) {
            case RESEND -> sendAttempt();
            case COMPLETE_RESPONSE -> {
                ended = true;
                client.finishResponse();
                proxy.onRequestEnded(this);
            }
            case TRUNCATE_RESPONSE -> {
                ended = true;
                client.abort();
                proxy.onRequestEnded(this);
            }
            case PASS_ON_FAILURE -> respond(
                    responseHead.status(),
                    new Response(response.body(), null, withoutFramingHeaders(endToEndHeaders(response.headers()))),
                    0);
            case REJECT -> respond(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY, proxy.retryAfterUs(route));
            case FAIL -> respond(
                    proxy.now() >= deadlineUs ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                    NO_BODY,
                    0);
            default -> throw new AssertionError(action);
        }
    }

    private static HttpHeaders withoutFramingHeaders(HttpHeaders headers) {
        return headers.remove(HttpHeaderNames.CONTENT_LENGTH).remove(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private void respond(HttpResponseStatus status, Response response, long retryAfterUs) {
        ended = true;
        client.answer(status, response, retryAfterUs);
        proxy.onRequestEnded(this);
    }
}
