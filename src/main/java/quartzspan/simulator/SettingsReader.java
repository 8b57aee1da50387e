package quartzspan.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quartzspan.loadbalancing.LoadBalancer.Contract;
import quartzspan.loadbalancing.LoadBalancer.DedupScope;
import quartzspan.loadbalancing.LoadBalancer.Effect;
import quartzspan.loadbalancing.LoadBalancer.Limits;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;
import quartzspan.loadbalancing.LoadBalancer.Settings;

/**
 * The settings of an instance. They are kept as parsed, so that an error can name the invalid field, and converted with defaults
 * for absent fields. The client proxy reads its settings with this class, too.
 */
public final class SettingsReader {
    private final Map<String, Object> root;

    private SettingsReader(Map<String, Object> root) {
        this.root = root;
    }

    /** Reads the object at the parser's current position. */
    public static SettingsReader read(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new SimulatorInputException("settings must be an object");
        }
        return new SettingsReader(object(parser));
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, value(parser));
        }
        return map;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                yield list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_STRING -> parser.getText();
            default -> null;
        };
    }

    /** The names of zones ({@code azs}) or {@code kinds}; the index of a name in the list is the number used elsewhere. */
    public List<String> names(String listName) {
        List<String> names = new ArrayList<>();
        list(root, listName).forEach(name -> names.add(String.valueOf(name)));
        return names;
    }

    /** The names of the tenants, indexed by their numbers. */
    public List<String> tenants() {
        List<String> names = new ArrayList<>();
        for (Object value : list(root, "customers")) {
            names.add(text(map(value, "customers"), "name", ""));
        }
        return names;
    }

    /** Time within which a connection must be established, in microseconds. */
    public long dialTimeoutUs() {
        return (long) number(map(root.get("limits"), "limits"), "dialTimeoutUs", 250_000);
    }

    /**
     * Converts the settings to those of the load balancer.
     *
     * @throws IllegalArgumentException if a setting is invalid; the message names it
     */
    public Settings toSettings() {
        List<RequestClass> classes = new ArrayList<>();
        for (Object value : list(root, "classes")) {
            classes.add(requestClass(map(value, "classes")));
        }
        List<Double> shares = new ArrayList<>();
        for (Object value : list(root, "customers")) {
            shares.add(number(map(value, "customers"), "share", 1));
        }
        Map<String, Object> limits = map(root.get("limits"), "limits");
        Map<String, Object> contract = map(root.get("contract"), "contract");
        boolean retryAfter = flag(limits, "retryAfter", false);
        return new Settings(
                classes,
                shares,
                number(root, "overShareWorth", 1),
                (int) number(root, "balancers", 1),
                number(map(root.get("prices"), "prices"), "probe", 0),
                "subscribe".equals(text(root, "membershipMode", "automatic")),
                "live".equals(text(root, "weights", "none")),
                new Limits(
                        (int) number(limits, "maxAttempts", 1),
                        flag(limits, "mayCancel", false),
                        flag(limits, "mayProbe", false),
                        retryAfter ? (long) number(limits, "maxRetryAfterUs", 0) : 0,
                        (long) number(limits, "connIdleUs", 15_000_000)),
                new Contract((long) number(contract, "askWithinUs", 10_000_000), number(contract, "coldFrom", 1), (long)
                        number(contract, "coldUs", 0)));
    }

    private static RequestClass requestClass(Map<String, Object> fields) {
        String name = text(fields, "name", "unnamed");
        Effect effect =
                switch (text(fields, "effect", "fragile")) {
                    case "retryable" -> Effect.RETRYABLE;
                    case "dedup" -> Effect.DEDUP;
                    case "fragile" -> Effect.NON_IDEMPOTENT;
                    default -> throw new IllegalArgumentException(
                            "settings: " + name + ": unknown effect " + fields.get("effect"));
                };
        DedupScope scope =
                switch (text(fields, "dedupScope", "none")) {
                    case "all" -> DedupScope.ALL;
                    case "zone" -> DedupScope.ZONE;
                    case "cell" -> DedupScope.CELL;
                    case "none", "" -> null;
                    default -> throw new IllegalArgumentException(
                            "settings: " + name + ": unknown dedupScope " + fields.get("dedupScope"));
                };
        long targetUs = (long) number(fields, "onTimeUs", number(fields, "deadlineUs", 1_000_000));
        return new RequestClass(
                name,
                effect,
                scope,
                (long) number(fields, "dedupWindowUs", 0),
                number(fields, "worth", 1),
                number(fields, "lateWorth", 0),
                targetUs,
                number(fields, "aimStretch", 0),
                (long) number(fields, "deadlineUs", (double) targetUs));
    }

    private static double number(Map<String, Object> map, String name, double defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException("settings: " + name + " must be a number");
    }

    private static boolean flag(Map<String, Object> map, String name, boolean defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new IllegalArgumentException("settings: " + name + " must be true or false");
    }

    private static String text(Map<String, Object> map, String name, String defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException("settings: " + name + " must be a string");
    }

    private static List<?> list(Map<String, Object> map, String name) {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> items) {
            return items;
        }
        throw new IllegalArgumentException("settings: " + name + " must be a list");
    }

    private static Map<String, Object> map(Object value, String name) {
        Map<String, Object> result = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> fields) {
            fields.forEach((key, field) -> result.put(String.valueOf(key), field));
        } else if (value != null) {
            throw new IllegalArgumentException("settings: " + name + " must be an object");
        }
        return result;
    }
}
