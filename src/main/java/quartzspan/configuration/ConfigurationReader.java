package quartzspan.configuration;

import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import quartzspan.configuration.Configuration.Limits;
import quartzspan.configuration.Configuration.Route;
import quartzspan.configuration.Configuration.RouteType;
import quartzspan.configuration.Configuration.Service;
import quartzspan.configuration.Configuration.Share;
import quartzspan.configuration.Configuration.Tenant;

/** Parses and validates the individual items of a configuration document. */
final class ConfigurationReader {
    private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
    private static final int DEFAULT_MAX_BODY_BYTES = 4_194_304;
    private static final int DEFAULT_HEADER_TIMEOUT_MS = 3_000;
    private static final int DEFAULT_IDLE_TIMEOUT_MS = 15_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final int DEFAULT_CAPACITY = 8;
    private static final int DEFAULT_MAX_CONCURRENT_EVENT_CALLS = 4;
    private static final String DEFAULT_HEALTH_PATH = "/health";

    private ConfigurationReader() {}

    static Limits limits(JsonObject document) {
        JsonObject in = JsonFields.objectOrEmpty(document, "limits");
        return new Limits(
                JsonFields.positive(in, "max_header_bytes", DEFAULT_MAX_HEADER_BYTES),
                JsonFields.positive(in, "max_body_bytes", DEFAULT_MAX_BODY_BYTES),
                JsonFields.positive(in, "header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS),
                JsonFields.positive(in, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS));
    }

    static Route route(JsonObject item) {
        String name = JsonFields.name(item, "routes");
        String context = "route " + name + ": ";
        List<Share> shares = shares(item, context);
        String prefix = JsonFields.text(item, "path_prefix", context);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw JsonFields.invalid(context + "path_prefix must begin and end with a slash", "correct path_prefix");
        }
        long timeoutMs = JsonFields.wholeNumber(item, "timeout_ms", 0);
        if (timeoutMs <= 0) {
            throw JsonFields.invalid(context + "timeout_ms must be above 0", "set the timeout in milliseconds");
        }
        RouteType type = routeType(item, context);
        return new Route(
                name,
                JsonFields.text(item, "hostname", context).toLowerCase(Locale.ROOT),
                prefix,
                type,
                timeoutMs,
                Math.max(1, JsonFields.wholeNumber(item, "target_latency_ms", timeoutMs)),
                (int) JsonFields.wholeNumber(item, "priority", 0),
                List.copyOf(shares),
                (int) Math.max(1, JsonFields.wholeNumber(item, "max_attempts", 1)),
                JsonFields.flag(item, "public"),
                JsonFields.flag(item, "session_affinity"),
                JsonFields.flag(item, "resumable"),
                JsonFields.wholeNumber(item, "gap_aim_ms", 0));
    }

    private static List<Share> shares(JsonObject route, String context) {
        List<Share> shares = new ArrayList<>();
        if (route.containsKey("traffic_split")) {
            for (JsonObject share : JsonFields.objects(route, "traffic_split")) {
                shares.add(share(share, context));
            }
        } else {
            shares.add(new Share(JsonFields.text(route, "service", context), 1));
        }
        if (shares.stream().mapToLong(Share::weight).sum() <= 0) {
            throw JsonFields.invalid(
                    context + "the weights of its services add up to 0", "set at least one weight above 0");
        }
        return shares;
    }

    private static Share share(JsonObject item, String context) {
        long weight = JsonFields.wholeNumber(item, "weight", -1);
        if (weight < 0) {
            throw JsonFields.invalid(
                    context + "a weight in traffic_split is missing or negative",
                    "set every weight to a whole number of at least 0");
        }
        return new Share(JsonFields.text(item, "service", context), weight);
    }

    private static RouteType routeType(JsonObject route, String context) {
        String name = JsonFields.text(route, "route_type", context).toUpperCase(Locale.ROOT);
        try {
            return RouteType.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw JsonFields.invalid(context + "unknown route_type", "use read_only, mutating or streaming");
        }
    }

    static Service service(JsonObject item) {
        String name = JsonFields.name(item, "services");
        JsonObject engine = JsonFields.objectOrEmpty(item, "engine");
        List<String> models = new ArrayList<>();
        JsonFields.objects(engine, "models").forEach(model -> models.add(JsonFields.name(model, "models")));
        boolean isCacheStore = item.containsKey("cache_store_address");
        JsonObject cache = isCacheStore ? item : engine;
        return new Service(
                name,
                item.getString("health_path", DEFAULT_HEALTH_PATH),
                JsonFields.positive(item, "max_connections", DEFAULT_MAX_CONNECTIONS),
                JsonFields.positive(engine, "capacity", DEFAULT_CAPACITY),
                List.copyOf(models),
                JsonFields.positive(cache, "max_concurrent", DEFAULT_MAX_CONCURRENT_EVENT_CALLS),
                JsonFields.wholeNumber(cache, "cache_tokens", 0),
                JsonFields.wholeNumber(engine, "cache_bytes", 0),
                JsonFields.number(cache, "bandwidth_mbps"),
                item.getString("cache_store_address", null),
                item.getString("zone", null));
    }

    static Tenant tenant(JsonObject item) {
        String name = JsonFields.name(item, "tenants");
        List<String> keys = JsonFields.strings(item, "api_keys", "tenant " + name + ": ");
        return new Tenant(
                name,
                List.copyOf(keys),
                (int) JsonFields.wholeNumber(item, "priority", 0),
                JsonFields.flag(item, "isolated"));
    }
}
