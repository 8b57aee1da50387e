package quartzspan.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Route;
import quartzspan.configuration.Configuration.Share;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.configuration.HeaderText;
import quartzspan.http.HttpFraming;
import quartzspan.http.OutgoingRequest;
import quartzspan.loadbalancing.PlacementRequest;

/** Derives a client request's route, tenant, forwarded headers, deadline and placement key from the configuration. */
final class RequestClassifier {
    private static final String API_KEY_SCHEME = "Token ";
    private static final String MODEL_HEADER = "X-Model";
    private static final String PROMPT_PREFIX_HEADER = "X-Prompt-Prefix";
    private static final String TOKEN_COUNT_HEADER = "X-Token-Count";
    private static final String DEADLINE_MS_HEADER = "X-Deadline-Ms";
    private static final String PRIORITY_HEADER = "Priority";
    private static final int LOWEST_PRIORITY = 9;
    /** Factor of the tenant's priority, which counts more than the route's. */
    private static final int TENANT_PRIORITY_STEP = 3;
    /** Headers that only the proxy sets: they are removed from client requests. */
    private static final List<String> SYSTEM_HEADERS = List.of(
            "X-Expected-Instance", "X-Tenant", "Cache-Salt", "Kv-Fetch", "Kv-Save", "Expect-Version", PRIORITY_HEADER);

    private final SplittableRandom random;

    RequestClassifier(SplittableRandom random) {
        this.random = random;
    }

    /** The route of a request; null if there is none. */
    static Route route(Configuration configuration, HttpRequest request) {
        String host = request.headers()
                .get(HttpHeaderNames.HOST, "")
                .toLowerCase(Locale.ROOT)
                .split(":", 2)[0];
        return configuration.route(host, request.uri().split("\\?", 2)[0]);
    }

    /**
     * The tenant of a request's API key; null if there is none, or the configuration has no tenants. The key is sent in UTF-8, as the
     * configuration has it; a key in ISO 8859-1 is found too, unless its bytes are another one in UTF-8.
     */
    static Tenant tenant(Configuration configuration, HttpRequest request) {
        String authorization = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        if (!configuration.hasTenants() || !authorization.startsWith(API_KEY_SCHEME)) {
            return null;
        }
        String key = authorization.substring(API_KEY_SCHEME.length()).trim();
        Tenant tenant = configuration.tenant(HeaderText.textOf(key));
        return tenant == null ? configuration.tenant(key) : tenant;
    }

    /** Whether servers can be told the tenant's name. Configurations accepted by an earlier version may have other names. */
    static boolean isNameSendable(Tenant tenant) {
        return tenant == null || HeaderText.isSendable(tenant.name());
    }

    /** The request to forward, without the headers that depend on the server. */
    static OutgoingRequest outgoingRequest(
            Configuration configuration, HttpRequest request, byte[] body, Route route, Tenant tenant) {
        OutgoingRequest outgoing = OutgoingRequest.of(request, body);
        HttpHeaders headers = outgoing.headers();
        SYSTEM_HEADERS.forEach(headers::remove);
        if (configuration.hasTenants()) {
            headers.remove(HttpHeaderNames.AUTHORIZATION);
        }
        if (tenant != null) {
            headers.set("X-Tenant", HeaderText.valueOf(tenant.name()));
        }
        if (route.sessionAffinity()) {
            int tenantPriority = tenant == null ? 0 : Math.max(0, tenant.priority());
            int priority = TENANT_PRIORITY_STEP * tenantPriority + Math.max(0, route.priority());
            headers.set(PRIORITY_HEADER, Math.min(LOWEST_PRIORITY, priority));
        }
        return outgoing;
    }

    /** The time in microseconds until which the client waits for a response. */
    static long deadlineUs(Route route, HttpRequest request, long receivedAtUs) {
        long clientMs = HttpFraming.parseNumber(request.headers().get(DEADLINE_MS_HEADER));
        long timeoutMs = Math.min(clientMs < 1 ? route.timeoutMs() : clientMs, route.timeoutMs());
        return receivedAtUs + 1000 * timeoutMs;
    }

    static Prompt prompt(HttpRequest request) {
        HttpHeaders headers = request.headers();
        return new Prompt(headers.get(PROMPT_PREFIX_HEADER), headers.get(MODEL_HEADER, ""));
    }

    private static boolean isIsolated(Tenant tenant) {
        return tenant != null && tenant.isolated();
    }

    /** The input of the placement. Its key consists of the model, the isolated tenant and the shared prompt blocks. */
    PlacementRequest placementRequest(Route route, HttpRequest request, Tenant tenant) {
        HttpHeaders headers = request.headers();
        String[] tokenCounts = headers.get(TOKEN_COUNT_HEADER, "0,0").split(",", 2);
        String prefix = headers.get(PROMPT_PREFIX_HEADER);
        String key = null;
        if (route.sessionAffinity() && prefix != null) {
            int lastComma = prefix.lastIndexOf(',');
            String sharedPrefix = lastComma < 0 ? prefix : prefix.substring(0, lastComma);
            key = headers.get(MODEL_HEADER, "") + '|' + (isIsolated(tenant) ? tenant.name() : "") + '|' + sharedPrefix;
        }
        return new PlacementRequest(
                chooseService(route),
                key,
                Math.max(0, HttpFraming.parseNumber(tokenCounts[0].trim())),
                tokenCounts.length < 2 ? 0 : Math.max(0, HttpFraming.parseNumber(tokenCounts[1].trim())));
    }

    /** Selects one of the route's services at random, in proportion to their traffic weights. */
    private String chooseService(Route route) {
        List<Share> shares = new ArrayList<>(route.shares());
        shares.removeIf(share -> share.weight() == 0);
        long totalWeight = shares.stream().mapToLong(Share::weight).sum();
        long remaining = random.nextLong(totalWeight);
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
