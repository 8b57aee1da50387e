package quartzspan.configuration;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Applies and computes patches of configuration documents, which add or replace ({@code upsert}) and {@code remove} items by name. */
final class ConfigurationPatch {
    private static final String VERSION = "version";
    private static final String LIMITS = "limits";
    private static final String UPSERT = "upsert";
    private static final String REMOVE = "remove";
    /** The lists whose items are identified by their names. */
    private static final List<String> NAMED_LISTS = List.of("routes", "services", "tenants");

    private ConfigurationPatch() {}

    /** Applies a patch to a document; the result is not validated. */
    static JsonObject apply(JsonObject document, JsonObject patch) {
        JsonObjectBuilder next = JsonFields.JSON.createObjectBuilder(document);
        JsonObject upsert = JsonFields.objectOrEmpty(patch, UPSERT);
        JsonObject remove = JsonFields.objectOrEmpty(patch, REMOVE);
        for (String list : NAMED_LISTS) {
            if (upsert.containsKey(list) || remove.containsKey(list)) {
                Map<String, JsonObject> items = patchedItems(document, list, upsert, remove);
                next.add(list, JsonFields.JSON.createArrayBuilder(items.values()));
            }
        }
        for (String field : upsert.keySet()) {
            if (!NAMED_LISTS.contains(field)) {
                next.add(field, upsert.get(field));
            }
        }
        if (patch.containsKey(LIMITS)) {
            next.add(LIMITS, patch.get(LIMITS));
        }
        return next.add(VERSION, JsonFields.wholeNumber(patch, VERSION, -1)).build();
    }

    private static Map<String, JsonObject> patchedItems(
            JsonObject document, String list, JsonObject upsert, JsonObject remove) {
        Map<String, JsonObject> items = itemsByName(document, list);
        for (JsonValue removed : JsonFields.array(remove, list)) {
            if (!(removed instanceof JsonString name)) {
                throw JsonFields.invalid(REMOVE + "." + list + " must contain only names", "send a list of names");
            }
            items.remove(name.getString());
        }
        JsonFields.objects(upsert, list).forEach(item -> items.put(JsonFields.name(item, list), item));
        return items;
    }

    private static Map<String, JsonObject> itemsByName(JsonObject document, String list) {
        Map<String, JsonObject> items = new LinkedHashMap<>();
        JsonFields.objects(document, list).forEach(item -> items.put(JsonFields.name(item, list), item));
        return items;
    }

    /** The patch that turns an older document into a newer one; null if the difference can't be expressed as a patch. */
    static JsonObject between(JsonObject older, JsonObject newer) {
        if (!newer.keySet().containsAll(older.keySet())) {
            return null;
        }
        JsonObjectBuilder upsert = JsonFields.JSON.createObjectBuilder();
        JsonObjectBuilder remove = JsonFields.JSON.createObjectBuilder();
        for (Map.Entry<String, JsonValue> field : newer.entrySet()) {
            String name = field.getKey();
            if (name.equals(VERSION) || field.getValue().equals(older.get(name))) {
                continue;
            }
            if (!NAMED_LISTS.contains(name)) {
                upsert.add(name, field.getValue());
            } else if (!addItems(name, older, newer, upsert, remove)) {
                return null;
            }
        }
        return JsonFields.JSON
                .createObjectBuilder()
                .add(VERSION, JsonFields.wholeNumber(newer, VERSION, -1))
                .add(UPSERT, upsert)
                .add(REMOVE, remove)
                .build();
    }

    /** Adds the changed items of a list to a patch; returns false if applying the patch would yield another order. */
    private static boolean addItems(
            String list, JsonObject older, JsonObject newer, JsonObjectBuilder upsert, JsonObjectBuilder remove) {
        Map<String, JsonObject> before = itemsByName(older, list);
        Map<String, JsonObject> after = itemsByName(newer, list);
        if (after.size() != JsonFields.array(newer, list).size()) {
            return false;
        }
        JsonArrayBuilder changed = JsonFields.JSON.createArrayBuilder();
        JsonArrayBuilder removed = JsonFields.JSON.createArrayBuilder();
        Set<String> order = new LinkedHashSet<>(before.keySet());
        for (String name : before.keySet()) {
            if (!after.containsKey(name)) {
                removed.add(name);
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
        upsert.add(list, changed);
        remove.add(list, removed);
        return true;
    }
}
