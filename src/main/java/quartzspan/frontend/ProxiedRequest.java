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
import quartzspan.loadbalancing.PrefixAwarePlacement.Job;
import quartzspan.prefixcache.PrefixCacheIndex;

/** One request on its way: from its client to a server, to another if it surely has not run, and the answer back. */
final class ProxiedRequest implements ConnectionPool.ResponseHandler {
    private static final String ATTEMPT_ID = "X-Attempt-Id";
    private static final String SEAL = "X-Server-Seal";
    private static final String NOT_EXECUTED = "X-Not-Executed";
    private static final List<CharSequence> ONE_CONNECTION = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.UPGRADE,
            "Proxy-Connection");
    /** We are done this long before the client's time is up. */
    private static final long MARGIN_US = 15_000;
    /** Tokens that are worth a move to or from a store. */
    private static final long WORTH_MOVING = 150;

    /** Sends of one request, also to one server. */
    private static final int MOST_SENDS = 3;
    /** Servers tried, also those that could not be reached. */
    private static final int MOST_TRIED = 8;

    private static final Response NOTHING = new Response(new byte[0], null, null);

    private final FrontendProxy proxy;
    private final HttpServer.ClientConnection client;
    private final Route route;
    private final Job job;
    private final OutgoingRequest call;
    private final String attemptId;
    private final long endAt;
    private final Prompt prompt;
    /** What the prompt's parts are named at the server that runs it. */
    private long[] blocks = {};

    private final Set<String> tried = new HashSet<>();
    /** Servers that it reached. */
    private final Set<String> reached = new HashSet<>();

    /** Where it goes next whatever the placement says; null if the placement is to say. */
    private String sameServer;

    private int sends;
    private boolean mayHaveRun;
    private boolean begun;
    private boolean over;
    private String server;
    private ConnectionPool.Attempt attempt;
    private HttpResponse head;

    ProxiedRequest(
            FrontendProxy proxy,
            HttpServer.ClientConnection client,
            Route route,
            Job job,
            OutgoingRequest call,
            long endAt,
            Prompt prompt) {
        this.prompt = prompt;
        this.proxy = proxy;
        this.client = client;
        this.route = route;
        this.job = job;
        this.call = call;
        this.attemptId = call.headers().get(ATTEMPT_ID);
        this.endAt = endAt - MARGIN_US;
    }

    void start() {
        client.opened(this::left);
        next();
    }

    private void next() {
        long left = endAt - proxy.now();
        String to = left <= 0 ? null : target();
        ConnectionPool.Endpoint host = to == null ? null : proxy.endpoints().endpoint(to);
        if (host == null) {
            refuse();
            return;
        }
        server = to;
        head = null;
        HttpHeaders headers = new DefaultHttpHeaders().set(call.headers()).set("X-Expected-Instance", to);
        kept(headers, to);
        proxy.endpoints().placement().sent(to, job);
        attempt = proxy.connectionPool()
                .attempt(
                        host,
                        new OutgoingRequest(call.method(), call.uri(), headers, call.body()),
                        left,
                        () -> !over,
                        this,
                        this::ended);
        attempt.start(reuse(to));
    }

    /** The server that is to get it: the one that it goes to again, or a further one if the route allows that. */
    private String target() {
        String again = sameServer;
        sameServer = null;
        if (again != null && proxy.endpoints().endpoint(again) != null) {
            return again;
        }
        return reached.size() < route.maxAttempts()
                ? proxy.endpoints().placement().pick(proxy.now(), job, tried)
                : null;
    }

    /** Two sends of one request bear one id, so that only their connections tell their answers apart. */
    private ConnectionPool.Reuse reuse(String to) {
        return reached.contains(to)
                ? ConnectionPool.Reuse.NONE
                : route.repeatable() ? ConnectionPool.Reuse.ANY : ConnectionPool.Reuse.RECENT;
    }

    /**
     * What a server may use of what was kept, and where from. Parts are made under a salt of the weights' version and the
     * wall, and a server of another version by now turns the request away: so nothing is ever used under other weights.
     */
    private void kept(HttpHeaders headers, String to) {
        long weights = proxy.endpoints().weights(to);
        if (weights == 0) {
            if (!prompt.isolationKey().isEmpty()) {
                headers.set("Cache-Salt", prompt.isolationKey());
            }
            return;
        }
        String salt = "v" + weights + prompt.isolationKey();
        headers.set("Cache-Salt", salt).set("Expect-Version", weights);
        long[] names = prompt.blocks(salt);
        blocks = names;
        String source = proxy.endpoints()
                .placement()
                .source(
                        proxy.now(),
                        job,
                        to,
                        server -> proxy.endpoints().weights(server) != weights
                                ? 0
                                : proxy.prefixCacheIndex().cachedTokens(server, names, prompt.tokens()));
        String address = source == null || proxy.endpoints().weights(source) != weights
                ? null
                : proxy.endpoints().address(source);
        long here = proxy.prefixCacheIndex().cachedTokens(to, names, prompt.tokens());
        long there = address == null ? here : proxy.prefixCacheIndex().cachedTokens(source, names, prompt.tokens());
        for (String store : proxy.endpoints().cacheStores()) {
            long stored = proxy.prefixCacheIndex().cachedTokens(PrefixCacheIndex.store(store), names, prompt.tokens());
            if (stored > Math.max(here, there) + WORTH_MOVING) {
                address = store;
                there = stored;
            }
            // What others will ask for again is saved; a prompt that is mostly its own would only push that out.
            if (stored + WORTH_MOVING < prompt.sharedTokens() && 2 * prompt.sharedTokens() >= prompt.totalTokens()) {
                headers.set("Kv-Save", store);
            }
        }
        if (address != null) {
            headers.set("Kv-Fetch", address);
        }
    }

    private void left() {
        if (!over) {
            over = true;
            if (attempt != null) {
                attempt.cancel();
            }
            proxy.onEnded(this);
        }
    }

    // ---- the server's answer -------------------------------------------------------------------------

    /** Servers echo the id of the request that an answer is to, and a success bears its server's seal and plain body. */
    @Override
    public ResponseMatch match(HttpResponse answer) {
        List<String> ids = answer.headers().getAll(ATTEMPT_ID);
        if (!ids.equals(attemptId == null ? List.of() : List.of(attemptId))) {
            return ids.size() == 1 ? ResponseMatch.EARLIER : ResponseMatch.UNKNOWN;
        }
        int status = answer.status().code();
        boolean success = status >= 200 && status < 300;
        return !success || sealed(answer.headers()) ? ResponseMatch.OURS : ResponseMatch.UNKNOWN;
    }

    private static boolean sealed(HttpHeaders headers) {
        return headers.getAll(SEAL).size() == 1 && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
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
    public boolean whole() {
        return true;
    }

    @Override
    public boolean streams(HttpResponse answer) {
        if (over) {
            return false;
        }
        begun = true;
        proxy.endpoints().placement().answering(server);
        for (int i = 0; i < blocks.length; i++) {
            proxy.prefixCacheIndex().onPrefill(server, blocks[i], (int) prompt.tokens()[i]);
        }
        HttpHeaders headers = passedOn(answer.headers());
        if (call.method().equals("HEAD")) {
            // There are no chunks, not even a last one.
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        client.begin(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
        return true;
    }

    private static HttpHeaders passedOn(HttpHeaders from) {
        HttpHeaders headers = new DefaultHttpHeaders().set(from);
        from.getAll(HttpHeaderNames.CONNECTION)
                .forEach(names -> List.of(names.split(",")).forEach(name -> headers.remove(name.trim())));
        ONE_CONNECTION.forEach(headers::remove);
        return headers;
    }

    @Override
    public boolean piece(ByteBuf bytes) {
        if (over) {
            return true;
        }
        client.piece(bytes.retain());
        return client.writable(() -> {
            if (attempt != null) {
                attempt.resumeReading();
            }
        });
    }

    private void ended(Outcome outcome, Response answer) {
        boolean stale = attempt.stale();
        // That a server forgets idle connections does not make it a failing one.
        proxy.endpoints().placement().ended(proxy.now(), server, job, stale ? Outcome.IGNORED : outcome);
        attempt = null;
        if (over) {
            return;
        }
        if (begun) {
            over = true;
            if (outcome == Outcome.OK) {
                client.finish();
            } else {
                client.cut();
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
        mayHaveRun |= !outcome.neverRan();
        if (stale && sends < MOST_SENDS) {
            sameServer = server;
        }
        if (head != null && head.status().code() == 421) {
            if (server.equals(head.headers().get("X-Instance-Id"))) {
                // The same server again is no further server: it has only changed its weights.
                sameServer = sends < MOST_SENDS ? server : null;
                proxy.endpoints().onVersionMismatch(server, call.headers().get("X-Model"));
            } else {
                proxy.endpoints().placement().moved(proxy.now(), server);
            }
        }
        boolean again = (!mayHaveRun || route.repeatable())
                && (sameServer != null || reached.size() < route.maxAttempts())
                && tried.size() < MOST_TRIED
                && (!arrived || proxy.endpoints().placement().mayRepeat());
        if (outcome == Outcome.FAILED && answer != null && (route.repeatable() || !promisesNotRun(head.status()))) {
            // The server's own word: it ran, and this is what came of it.
            conclude(head.status(), new Response(answer.body(), null, own(passedOn(answer.headers()))), 0);
        } else if (again) {
            next();
        } else {
            refuse();
        }
    }

    /** Clients take these for a promise that the request has not run and never will. */
    private static boolean promisesNotRun(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }

    private static HttpHeaders own(HttpHeaders headers) {
        return headers.remove(HttpHeaderNames.CONTENT_LENGTH).remove(HttpHeaderNames.TRANSFER_ENCODING);
    }

    // ---- answers of our own --------------------------------------------------------------------------

    /** The final answer where none was served: when to come back if it has not run, and no promise if it may have. */
    private void refuse() {
        if (!mayHaveRun) {
            conclude(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING, proxy.retryAfterUs(route));
        } else {
            conclude(
                    proxy.now() >= endAt ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                    NOTHING,
                    0);
        }
    }

    private void conclude(HttpResponseStatus status, Response answer, long retryAfterUs) {
        over = true;
        client.answer(status, answer, retryAfterUs);
        proxy.onEnded(this);
    }
}
