package quartzspan.configuration;

import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.JsonReaderFactory;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;
import java.lang.ref.SoftReference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import quartzspan.common.FleetException;

/** A whole configuration of the operators, read and checked. The document itself is kept as it was sent. */
public final class Configuration {
    /** Depth and size are bounded by the reader and by the size of a request. */
    private static final JsonProvider JSON = JsonProvider.provider();

    private static final JsonReaderFactory READERS = JSON.createReaderFactory(Map.of());
    private static final List<String> NAMED = List.of("routes", "services", "tenants");
    /** Before the operators have sent one: nothing is routed. */
    public static final Configuration NONE = new Configuration(JSON.createObjectBuilder()
            .add("version", 0)
            .add("routes", JsonValue.EMPTY_JSON_ARRAY)
            .add("services", JsonValue.EMPTY_JSON_ARRAY)
            .build());

    /** What repeating a request of a route does. */
    public enum RouteType {
        READ_ONLY,
        MUTATING,
        STREAMING
    }

    /** Part of a route's traffic that goes to a service. */
    public record Share(String service, long weight) {}

    /** A route; times in milliseconds. */
    public record Route(
            String name,
            String host,
            String prefix,
            RouteType type,
            long timeoutMs,
            long targetMs,
            int priority,
            List<Share> shares,
            int maxAttempts,
            boolean open,
            boolean affine,
            boolean resumable,
            long gapAimMs) {
        /** Whether a request may run more than once. */
        public boolean repeatable() {
            return type == RouteType.READ_ONLY || type == RouteType.STREAMING && resumable;
        }
    }

    /** A service; {@code slots} is what one server runs at once, {@code store} the address of a prompt store. */
    public record Service(
            String name,
            String healthPath,
            int maxConnections,
            int slots,
            List<String> models,
            int eventCalls,
            long cacheTokens,
            long cacheBytes,
            double mbps,
            String store,
            String zone) {}

    /** A tenant. */
    public record Tenant(String name, List<String> keys, int priority, boolean isolated) {}

    /** What a client may send and how long it may take. */
    public record Limits(int headerBytes, int bodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}

    private final JsonObject document;
    private final long version;
    /** Routes by host and then prefix. */
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    private final List<Route> routes = new ArrayList<>();
    /** The items of the document with what was read of them, by name; an update reads only what it brings. */
    private final Map<String, Read<Route>> readRoutes = new LinkedHashMap<>();

    private final Map<String, Read<Tenant>> readTenants = new LinkedHashMap<>();
    private SoftReference<byte[]> text = new SoftReference<>(null);
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();
    private final Limits limits;

    /** An item of the document and what it says. */
    private record Read<T>(JsonObject item, T value) {}

    private Configuration(JsonObject document) {
        this(document, null);
    }

    /** @param before a configuration whose items may be in this document as well; or null */
    private Configuration(JsonObject document, Configuration before) {
        this.document = document;
        this.version = whole(document, "version", -1);
        if (version < 0) {
            throw invalid("version is missing", "send a whole number above the current one as version");
        }
        for (JsonObject s : objects(document, "services")) {
            Service service = service(s);
            if (services.put(service.name(), service) != null) {
                throw invalid("service " + service.name() + " is there twice", "keep one of them");
            }
        }
        for (JsonObject item : objects(document, "routes")) {
            add(read(item, "routes", before == null ? null : before.readRoutes, Configuration::route));
        }
        for (JsonObject item : objects(document, "tenants")) {
            addTenant(read(item, "tenants", before == null ? null : before.readTenants, Configuration::tenant));
        }
        JsonObject l =
                document.containsKey("limits") ? object(document.get("limits"), "limits") : JsonValue.EMPTY_JSON_OBJECT;
        this.limits = new Limits(
                positive(l, "max_header_bytes", 16_384),
                positive(l, "max_body_bytes", 4_194_304),
                positive(l, "header_timeout_ms", 3_000),
                positive(l, "idle_timeout_ms", 15_000));
        for (Route route : routes) {
            for (Share share : route.shares()) {
                if (!services.containsKey(share.service())) {
                    throw invalid(
                            "route " + route.name() + " names the unknown service " + share.service(),
                            "add the service or name another");
                }
            }
        }
    }

    /** What an item says: taken over if the very same item was read before. */
    private static <T> Read<T> read(
            JsonObject item, String kind, Map<String, Read<T>> before, Function<JsonObject, T> reader) {
        Read<T> known = before == null ? null : before.get(name(item, kind));
        return known != null && known.item() == item ? known : new Read<>(item, reader.apply(item));
    }

    private void add(Read<Route> read) {
        Route route = read.value();
        if (readRoutes.put(route.name(), read) != null) {
            throw invalid("route " + route.name() + " is there twice", "keep one of them");
        }
        Route other = byHost.computeIfAbsent(route.host(), h -> new HashMap<>()).put(route.prefix(), route);
        if (other != null) {
            throw invalid(
                    "routes " + other.name() + " and " + route.name() + " share host and prefix",
                    "give one of them another path_prefix");
        }
        routes.add(route);
    }

    private void addTenant(Read<Tenant> read) {
        Tenant tenant = read.value();
        readTenants.put(tenant.name(), read);
        for (String key : tenant.keys()) {
            Tenant other = byKey.put(key, tenant);
            if (other != null && !other.name().equals(tenant.name())) {
                throw invalid(
                        "tenants " + other.name() + " and " + tenant.name() + " share a key",
                        "give each tenant keys of its own");
            }
        }
    }

    // ---- reading -------------------------------------------------------------------------------------

    /** Reads and checks a whole configuration. */
    public static Configuration read(byte[] json) {
        return new Configuration(json(json));
    }

    /** A JSON object, whole. */
    public static JsonObject json(byte[] bytes) {
        try (JsonReader in = READERS.createReader(new ByteArrayInputStream(bytes), StandardCharsets.UTF_8)) {
            return in.readObject();
        } catch (JsonException | IllegalStateException | ClassCastException e) {
            throw new FleetException(
                    FleetException.Code.CONFIG_UNREADABLE,
                    "can't be read as a JSON object: " + e.getMessage(),
                    "send the whole document again");
        }
    }

    /** This configuration with named items replaced, added and removed. */
    public Configuration updated(JsonObject patch) {
        JsonObjectBuilder next = JSON.createObjectBuilder(document);
        JsonObject upsert =
                patch.containsKey("upsert") ? object(patch.get("upsert"), "upsert") : JsonValue.EMPTY_JSON_OBJECT;
        JsonObject remove =
                patch.containsKey("remove") ? object(patch.get("remove"), "remove") : JsonValue.EMPTY_JSON_OBJECT;
        for (String kind : NAMED) {
            if (!upsert.containsKey(kind) && !remove.containsKey(kind)) {
                continue;
            }
            Map<String, JsonObject> items = named(document, kind);
            for (JsonValue gone : array(remove, kind)) {
                if (!(gone instanceof JsonString s)) {
                    throw invalid("remove." + kind + " holds what is no name", "list names there");
                }
                items.remove(s.getString());
            }
            objects(upsert, kind).forEach(o -> items.put(name(o, kind), o));
            next.add(kind, JSON.createArrayBuilder(items.values()));
        }
        for (String part : upsert.keySet()) {
            if (!NAMED.contains(part)) {
                next.add(part, upsert.get(part));
            }
        }
        if (patch.containsKey("limits")) {
            next.add("limits", patch.get("limits"));
        }
        next.add("version", whole(patch, "version", -1));
        return new Configuration(next.build(), this);
    }

    /** The update that leads from an older configuration to this one; null if no update does. */
    public JsonObject patchFrom(Configuration older) {
        if (!document.keySet().containsAll(older.document.keySet())) {
            return null;
        }
        JsonObjectBuilder upsert = JSON.createObjectBuilder();
        JsonObjectBuilder remove = JSON.createObjectBuilder();
        for (Map.Entry<String, JsonValue> part : document.entrySet()) {
            JsonValue before = older.document.get(part.getKey());
            if (part.getKey().equals("version") || part.getValue().equals(before)) {
                continue;
            }
            if (!NAMED.contains(part.getKey())) {
                upsert.add(part.getKey(), part.getValue());
            } else if (!itemsPatch(part.getKey(), older.document, upsert, remove)) {
                return null;
            }
        }
        return JSON.createObjectBuilder()
                .add("version", version)
                .add("upsert", upsert)
                .add("remove", remove)
                .build();
    }

    /** Adds what an update of named items holds; false if it would leave them in another order. */
    private boolean itemsPatch(String kind, JsonObject older, JsonObjectBuilder upsert, JsonObjectBuilder remove) {
        Map<String, JsonObject> before = named(older, kind);
        Map<String, JsonObject> after = named(document, kind);
        if (after.size() != array(document, kind).size()) {
            return false;
        }
        JsonArrayBuilder changed = JSON.createArrayBuilder();
        JsonArrayBuilder gone = JSON.createArrayBuilder();
        Set<String> order = new LinkedHashSet<>(before.keySet());
        for (String name : before.keySet()) {
            if (!after.containsKey(name)) {
                gone.add(name);
                order.remove(name);
            }
        }
        after.forEach((name, item) -> {
            if (!item.equals(before.get(name))) {
                changed.add(item);
            }
            order.add(name);
        });
        if (!List.copyOf(order).equals(List.copyOf(after.keySet()))) {
            return false;
        }
        upsert.add(kind, changed);
        remove.add(kind, gone);
        return true;
    }

    private static Map<String, JsonObject> named(JsonObject in, String kind) {
        Map<String, JsonObject> items = new LinkedHashMap<>();
        objects(in, kind).forEach(item -> items.put(name(item, kind), item));
        return items;
    }

    private static Route route(JsonObject r) {
        String name = name(r, "routes");
        String in = "route " + name + ": ";
        List<Share> shares = new ArrayList<>();
        if (r.containsKey("traffic_split")) {
            for (JsonObject s : objects(r, "traffic_split")) {
                long weight = whole(s, "weight", -1);
                if (weight < 0) {
                    throw invalid(in + "a weight is missing or negative", "give whole weights from 0 up");
                }
                shares.add(new Share(text(s, "service", in), weight));
            }
        } else {
            shares.add(new Share(text(r, "service", in), 1));
        }
        if (shares.stream().mapToLong(Share::weight).sum() <= 0) {
            throw invalid(in + "its weights add up to 0", "give one of them a weight above 0");
        }
        String prefix = text(r, "path_prefix", in);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw invalid(in + "path_prefix must begin and end with a slash", "mend the prefix");
        }
        long timeout = whole(r, "timeout_ms", 0);
        if (timeout <= 0) {
            throw invalid(in + "timeout_ms must be above 0", "give the longest time in milliseconds");
        }
        RouteType type;
        try {
            type = RouteType.valueOf(text(r, "route_type", in).toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw invalid(in + "there is no such route_type", "use read_only, mutating or streaming");
        }
        return new Route(
                name,
                text(r, "hostname", in).toLowerCase(Locale.ROOT),
                prefix,
                type,
                timeout,
                Math.max(1, whole(r, "target_latency_ms", timeout)),
                (int) whole(r, "priority", 0),
                List.copyOf(shares),
                (int) Math.max(1, whole(r, "max_attempts", 1)),
                flag(r, "public"),
                flag(r, "session_affinity"),
                flag(r, "resumable"),
                whole(r, "gap_aim_ms", 0));
    }

    private static Service service(JsonObject s) {
        String name = name(s, "services");
        JsonObject e = s.containsKey("engine") ? object(s.get("engine"), "engine") : JsonValue.EMPTY_JSON_OBJECT;
        List<String> models = new ArrayList<>();
        objects(e, "models").forEach(m -> models.add(name(m, "models")));
        boolean store = s.containsKey("cache_store_address");
        JsonObject kept = store ? s : e;
        return new Service(
                name,
                s.getString("health_path", "/health"),
                positive(s, "max_connections", 64),
                positive(e, "capacity", 8),
                List.copyOf(models),
                positive(kept, "max_concurrent", 4),
                whole(kept, "cache_tokens", 0),
                whole(e, "cache_bytes", 0),
                kept.get("bandwidth_mbps") instanceof JsonNumber n ? n.doubleValue() : 0,
                s.getString("cache_store_address", null),
                s.getString("zone", null));
    }

    private static Tenant tenant(JsonObject t) {
        List<String> keys = new ArrayList<>();
        for (JsonValue key : array(t, "api_keys")) {
            if (!(key instanceof JsonString s)) {
                throw invalid("tenant " + name(t, "tenants") + ": api_keys holds what is no text", "list texts there");
            }
            keys.add(s.getString());
        }
        return new Tenant(name(t, "tenants"), List.copyOf(keys), (int) whole(t, "priority", 0), flag(t, "isolated"));
    }

    private static List<JsonObject> objects(JsonObject in, String name) {
        List<JsonObject> all = new ArrayList<>();
        array(in, name).forEach(v -> all.add(object(v, name)));
        return all;
    }

    private static JsonArray array(JsonObject in, String name) {
        JsonValue v = in.get(name);
        if (v == null) {
            return JsonValue.EMPTY_JSON_ARRAY;
        }
        if (v instanceof JsonArray a) {
            return a;
        }
        throw invalid(name + " must be a list", "send a list there");
    }

    private static JsonObject object(JsonValue v, String name) {
        if (v instanceof JsonObject o) {
            return o;
        }
        throw invalid(name + " must hold objects", "send objects there");
    }

    private static String name(JsonObject o, String kind) {
        return text(o, "name", kind + ": ");
    }

    private static String text(JsonObject o, String field, String in) {
        if (o.get(field) instanceof JsonString s && !s.getString().isEmpty()) {
            return s.getString();
        }
        throw invalid(in + field + " is missing", "give it as a text");
    }

    private static boolean flag(JsonObject o, String field) {
        JsonValue v = o.getOrDefault(field, JsonValue.FALSE);
        if (v != JsonValue.TRUE && v != JsonValue.FALSE) {
            throw invalid(field + " must be true or false", "mend it");
        }
        return v == JsonValue.TRUE;
    }

    /** A whole number, or what stands for one that is missing. */
    public static long whole(JsonObject o, String field, long otherwise) {
        JsonValue v = o.get(field);
        if (v == null) {
            return otherwise;
        }
        if (v instanceof JsonNumber n
                && n.doubleValue() == Math.rint(n.doubleValue())
                && Math.abs(n.doubleValue()) < 1e15) {
            return n.longValue();
        }
        throw invalid(field + " must be a whole number", "mend it");
    }

    private static int positive(JsonObject o, String field, int otherwise) {
        long n = whole(o, field, otherwise);
        if (n < 1 || n > Integer.MAX_VALUE) {
            throw invalid(field + " must be above 0", "mend it");
        }
        return (int) n;
    }

    private static FleetException invalid(String reason, String remedy) {
        return new FleetException(FleetException.Code.CONFIG_INVALID, reason, remedy);
    }

    // ---- asking --------------------------------------------------------------------------------------

    public long version() {
        return version;
    }

    /** The document, as text. */
    public byte[] bytes() {
        byte[] bytes = text.get();
        if (bytes == null) {
            bytes = text(document);
            text = new SoftReference<>(bytes);
        }
        return bytes;
    }

    /** A JSON value as text. */
    public static byte[] text(JsonValue value) {
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The route of a request, the one with the longest prefix; null if there is none. */
    public Route route(String host, String path) {
        Map<String, Route> prefixes = byHost.get(host);
        if (prefixes == null) {
            return null;
        }
        // Prefixes end with a slash.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
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

    /** Whose key it is; null if nobody's. */
    public Tenant tenant(String key) {
        return byKey.get(key);
    }

    public Limits limits() {
        return limits;
    }
}
