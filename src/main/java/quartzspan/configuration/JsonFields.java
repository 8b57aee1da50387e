package quartzspan.configuration;

import jakarta.json.JsonArray;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonReaderFactory;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quartzspan.common.FleetException;

/**
 * Typed access to the fields of JSON objects. A field of another type is rejected with a {@link FleetException} that has the code
 * {@link FleetException.Code#CONFIG_INVALID} and names the field.
 */
public final class JsonFields {
    /** The depth of documents is limited by the parser, their size by the size limit of requests. */
    static final JsonProvider JSON = JsonProvider.provider();

    private static final JsonReaderFactory READERS = JSON.createReaderFactory(Map.of());
    /** Whole numbers below this limit are represented exactly by a double. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

    private JsonFields() {}

    /**
     * Parses a JSON object.
     *
     * @throws FleetException with {@code CONFIG_UNREADABLE} if the bytes are not exactly one JSON object
     */
    public static JsonObject parse(byte[] bytes) {
        try (JsonReader in = READERS.createReader(new ByteArrayInputStream(bytes), StandardCharsets.UTF_8)) {
            return in.readObject();
        } catch (JsonException | IllegalStateException | ClassCastException e) {
            throw new FleetException(
                    FleetException.Code.CONFIG_UNREADABLE,
                    "can't be parsed as a JSON object: " + e.getMessage(),
                    "send the complete document again");
        }
    }

    /** Serializes a JSON value as UTF-8 text. */
    public static byte[] toBytes(JsonValue value) {
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The value of a whole number field, or the default if the field is missing. */
    public static long wholeNumber(JsonObject in, String field, long defaultValue) {
        JsonValue value = in.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof JsonNumber number
                && number.doubleValue() == Math.rint(number.doubleValue())
                && Math.abs(number.doubleValue()) < MAX_WHOLE_NUMBER) {
            return number.longValue();
        }
        throw invalid(field + " must be a whole number", "set it to a whole number");
    }

    /** The value of a field that must be a whole number above 0, or the default if the field is missing. */
    static int positive(JsonObject in, String field, int defaultValue) {
        long number = wholeNumber(in, field, defaultValue);
        if (number < 1 || number > Integer.MAX_VALUE) {
            throw invalid(field + " must be a whole number from 1 to 2147483647", "set it to a number in this range");
        }
        return (int) number;
    }

    /** The value of a number field; 0 if the field is missing or of another type. */
    static double number(JsonObject in, String field) {
        return in.get(field) instanceof JsonNumber number ? number.doubleValue() : 0;
    }

    /** The objects of a list; empty if the field is missing. */
    static List<JsonObject> objects(JsonObject in, String field) {
        List<JsonObject> items = new ArrayList<>();
        array(in, field).forEach(value -> items.add(object(value, field)));
        return items;
    }

    /** The strings of a list; empty if the field is missing. */
    static List<String> strings(JsonObject in, String field, String context) {
        List<String> items = new ArrayList<>();
        for (JsonValue value : array(in, field)) {
            if (!(value instanceof JsonString string)) {
                throw invalid(context + field + " must contain only strings", "send a list of strings");
            }
            items.add(string.getString());
        }
        return items;
    }

    static JsonArray array(JsonObject in, String field) {
        JsonValue value = in.get(field);
        if (value == null) {
            return JsonValue.EMPTY_JSON_ARRAY;
        }
        if (value instanceof JsonArray array) {
            return array;
        }
        throw invalid(field + " must be a list", "send a list");
    }

    /** The value of an object field; an empty object if the field is missing. */
    static JsonObject objectOrEmpty(JsonObject in, String field) {
        return in.containsKey(field) ? object(in.get(field), field) : JsonValue.EMPTY_JSON_OBJECT;
    }

    private static JsonObject object(JsonValue value, String field) {
        if (value instanceof JsonObject object) {
            return object;
        }
        throw invalid(field + " must be an object or a list of objects", "send objects");
    }

    /** The field {@code name} of an item of a list. */
    static String name(JsonObject item, String list) {
        return text(item, "name", list + ": ");
    }

    /**
     * The value of a field that must be a non-empty string.
     *
     * @param context location of the field, with which the error's reason begins
     */
    static String text(JsonObject in, String field, String context) {
        if (in.get(field) instanceof JsonString string && !string.getString().isEmpty()) {
            return string.getString();
        }
        throw invalid(context + field + " is missing or not a non-empty string", "set it to a non-empty string");
    }

    /** The value of a boolean field; false if the field is missing. */
    static boolean flag(JsonObject in, String field) {
        JsonValue value = in.getOrDefault(field, JsonValue.FALSE);
        if (value != JsonValue.TRUE && value != JsonValue.FALSE) {
            throw invalid(field + " must be true or false", "set it to true or false");
        }
        return value == JsonValue.TRUE;
    }

    static FleetException invalid(String reason, String remedy) {
        return new FleetException(FleetException.Code.CONFIG_INVALID, reason, remedy);
    }
}
