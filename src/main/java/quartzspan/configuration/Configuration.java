package quartzspan.configuration;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.lang.ref.SoftReference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import quartzspan.common.FleetException;

/**
 * A complete and validated configuration, as operators submit it. The JSON document is kept unchanged, including unknown fields.
 * Immutable except for a cache of the serialized document.
 */
public final class Configuration {
    /** The configuration before operators have submitted one: it has no routes. */
    public static final Configuration NONE = new Configuration(
            JsonFields.JSON
                    .createObjectBuilder()
                    .add("version", 0)
                    .add("routes", JsonValue.EMPTY_JSON_ARRAY)
                    .add("services", JsonValue.EMPTY_JSON_ARRAY)
                    .build(),
            null);

    /** The kind of a route's requests, which decides whether they may be repeated. */
    public enum RouteType {
        READ_ONLY,
        MUTATING,
        STREAMING
    }

    /** The share of a route's traffic that a service receives; weights are relative to the other shares of the route. */
    public record Share(String service, long weight) {}

    /**
     * A route.
     *
     * @param host the host name, in lower case
     * @param prefix the path prefix, with a slash at both ends
     * @param timeoutMs time within which a request must be answered
     * @param targetLatencyMs latency target
     * @param isPublic whether requests without a tenant's API key are accepted
     * @param sessionAffinity whether requests with the same prompt prefix go to the same server
     * @param resumable whether a stream may be resumed at another server
     * @param gapAimMs target for the time between two events of a stream
     */
    public record Route(
            String name,
            String host,
            String prefix,
            RouteType type,
            long timeoutMs,
            long targetLatencyMs,
            int priority,
            List<Share> shares,
            int maxAttempts,
            boolean isPublic,
            boolean sessionAffinity,
            boolean resumable,
            long gapAimMs) {
        /** Whether a request may be executed more than once. */
        public boolean repeatable() {
            return type == RouteType.READ_ONLY || type == RouteType.STREAMING && resumable;
        }
    }

    /**
     * A service.
     *
     * @param maxConcurrentRequests number of requests that one server executes concurrently
     * @param maxConcurrentEventCalls number of cache event calls that one server answers concurrently
     * @param bandwidthMbps bandwidth of one server for the transfer of cached prompts
     * @param cacheStoreAddress address of the store for cached prompts; null if the service is not such a store
     */
    public record Service(
            String name,
            String healthPath,
            int maxConnections,
            int maxConcurrentRequests,
            List<String> models,
            int maxConcurrentEventCalls,
            long cacheTokens,
            long cacheBytes,
            double bandwidthMbps,
            String cacheStoreAddress,
            String zone) {}

    /** A tenant; an isolated tenant shares no cached prompts with other tenants. */
    public record Tenant(String name, List<String> keys, int priority, boolean isolated) {}

    /** Size and time limits for requests of clients. */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}

    /** An item of the document and its parsed value. */
    private record Parsed<T>(JsonObject item, T value) {}

    private final JsonObject document;
    private final long version;
    private final Map<String, Map<String, Route>> routesByHostAndPrefix = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    /** The parsed items of the document by name, so that an update parses only the items that it changes. */
    private final Map<String, Parsed<Route>> parsedRoutes = new LinkedHashMap<>();

    private final Map<String, Parsed<Tenant>> parsedTenants = new LinkedHashMap<>();
    private SoftReference<byte[]> cachedBytes = new SoftReference<>(null);
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();
    private final CachePartitions cachePartitions;
    private final Limits limits;

    /** @param base a configuration whose parsed items are reused where the document has the same objects; may be null */
    private Configuration(JsonObject document, Configuration base) {
        this.document = document;
        this.version = JsonFields.wholeNumber(document, "version", -1);
        if (version < 0) {
            throw JsonFields.invalid("version is missing or negative", "send a whole number above the current version");
        }
        JsonFields.objects(document, "services").forEach(item -> addService(ConfigurationReader.service(item)));
        Map<String, Parsed<Route>> baseRoutes = base == null ? Map.of() : base.parsedRoutes;
        for (JsonObject item : JsonFields.objects(document, "routes")) {
            addRoute(parse(item, "routes", baseRoutes, ConfigurationReader::route));
        }
        Map<String, Parsed<Tenant>> baseTenants = base == null ? Map.of() : base.parsedTenants;
        List<Tenant> tenants = new ArrayList<>();
        for (JsonObject item : JsonFields.objects(document, "tenants")) {
            Parsed<Tenant> tenant = parse(item, "tenants", baseTenants, ConfigurationReader::tenant);
            addTenant(tenant);
            tenants.add(tenant.value());
        }
        this.cachePartitions = new CachePartitions(tenants);
        this.limits = ConfigurationReader.limits(document);
        routes.forEach(this::checkServices);
    }

    /** Parses an item, or returns the parsed item of the base if it was read from the same object instance. */
    private static <T> Parsed<T> parse(
            JsonObject item, String list, Map<String, Parsed<T>> base, Function<JsonObject, T> reader) {
        Parsed<T> known = base.isEmpty() ? null : base.get(JsonFields.name(item, list));
        return known != null && known.item() == item ? known : new Parsed<>(item, reader.apply(item));
    }

    private void addService(Service service) {
        if (services.put(service.name(), service) != null) {
            throw JsonFields.invalid(
                    "service " + service.name() + " is defined twice", "remove one of the definitions");
        }
    }

    private void addRoute(Parsed<Route> parsed) {
        Route route = parsed.value();
        if (parsedRoutes.put(route.name(), parsed) != null) {
            throw JsonFields.invalid("route " + route.name() + " is defined twice", "remove one of the definitions");
        }
        Route other = routesByHostAndPrefix
                .computeIfAbsent(route.host(), host -> new HashMap<>())
                .put(route.prefix(), route);
        if (other != null) {
            throw JsonFields.invalid(
                    "routes " + other.name() + " and " + route.name() + " share host and path_prefix",
                    "change the path_prefix of one of them");
        }
        routes.add(route);
    }

    private void addTenant(Parsed<Tenant> parsed) {
        Tenant tenant = parsed.value();
        parsedTenants.put(tenant.name(), parsed);
        for (String key : tenant.keys()) {
            Tenant other = tenantsByKey.put(key, tenant);
            if (other != null && !other.name().equals(tenant.name())) {
                throw JsonFields.invalid(
                        "tenants " + other.name() + " and " + tenant.name() + " share a key in api_keys",
                        "use each key for one tenant only");
            }
        }
    }

    private void checkServices(Route route) {
        for (Share share : route.shares()) {
            if (!services.containsKey(share.service())) {
                throw JsonFields.invalid(
                        "route " + route.name() + " names the unknown service " + share.service(),
                        "add the service or refer to an existing one");
            }
        }
    }

    /**
     * Parses and validates a complete configuration.
     *
     * @throws FleetException with {@code CONFIG_UNREADABLE} or {@code CONFIG_INVALID}
     */
    public static Configuration read(byte[] json) {
        return new Configuration(JsonFields.parse(json), null);
    }

    /**
     * This configuration with named items replaced, added and removed.
     *
     * @throws FleetException if the result is invalid
     */
    public Configuration updated(JsonObject patch) {
        return new Configuration(ConfigurationPatch.apply(document, patch), this);
    }

    /**
     * Checks the tenants that this configuration has and its base lacks: servers are told their names in a header. Not part of
     * reading, since a configuration that an earlier version has accepted must stay readable.
     *
     * @throws FleetException if a header can't carry the name of one of them
     */
    public void checkNewTenantNames(Configuration base) {
        for (String name : parsedTenants.keySet()) {
            if (!base.parsedTenants.containsKey(name) && !HeaderText.isSendable(name)) {
                throw JsonFields.invalid(
                        "tenant \"" + name + "\": no header can carry this name, which servers are told",
                        "use a name without control characters and without spaces at its ends");
            }
        }
    }

    /** The patch that turns an older configuration into this one; null if the difference can't be expressed as a patch. */
    public JsonObject patchFrom(Configuration older) {
        return ConfigurationPatch.between(older.document, document);
    }

    public long version() {
        return version;
    }

    /** The document as UTF-8 text. */
    public byte[] bytes() {
        byte[] bytes = cachedBytes.get();
        if (bytes == null) {
            bytes = JsonFields.toBytes(document);
            cachedBytes = new SoftReference<>(bytes);
        }
        return bytes;
    }

    /** The route of a host with the longest matching path prefix; null if none matches. */
    public Route route(String host, String path) {
        Map<String, Route> byPrefix = routesByHostAndPrefix.get(host);
        if (byPrefix == null) {
            return null;
        }
        // Route prefixes end with a slash, so only the parts of the path up to a slash can match.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    public List<Route> routes() {
        return routes;
    }

    public Map<String, Service> services() {
        return services;
    }

    public boolean hasTenants() {
        return document.containsKey("tenants");
    }

    /** The tenant that owns an API key; null if there is none. */
    public Tenant tenant(String key) {
        return tenantsByKey.get(key);
    }

    /** Which requests may share cached prompts. */
    public CachePartitions cachePartitions() {
        return cachePartitions;
    }

    public Limits limits() {
        return limits;
    }
}
