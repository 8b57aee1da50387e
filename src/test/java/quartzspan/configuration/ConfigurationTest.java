package quartzspan.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** Validation, routing and patches of configuration documents. */
class ConfigurationTest {
    private static final String VALID_DOCUMENT =
            "{'version':7,'routes':[{'name':'a','hostname':'H.example','path_prefix':'/x/',"
                    + "'route_type':'streaming','timeout_ms':3000,'service':'s','resumable':true},{'name':'b','hostname':'h.example',"
                    + "'path_prefix':'/x/y/','route_type':'mutating','timeout_ms':10,'traffic_split':[{'service':'s','weight':0},"
                    + "{'service':'s','weight':2}]}],'services':[{'name':'s','max_connections':360}],'tenants':[{'name':'t',"
                    + "'api_keys':['k1','k2']}],'note':{'kept':1.50}}";

    static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static FleetException refusalOf(String text) {
        return assertThrows(FleetException.class, () -> Configuration.read(json(text)));
    }

    @Test
    void longestMatchingPrefixSelectsTheRoute() {
        Configuration configuration = Configuration.read(json(VALID_DOCUMENT));
        assertEquals("a", configuration.route("h.example", "/x/z").name());
        assertEquals("b", configuration.route("h.example", "/x/y/z").name());
        assertNull(configuration.route("h.example", "/x"));
        assertNull(configuration.route("other", "/x/z"));
        assertEquals("t", configuration.tenant("k2").name());
        assertTrue(configuration.route("h.example", "/x/z").repeatable());
        assertFalse(configuration.route("h.example", "/x/y/z").repeatable());
    }

    @Test
    void documentBytesArePreserved() {
        assertEquals(
                VALID_DOCUMENT.replace('\'', '"'),
                new String(Configuration.read(json(VALID_DOCUMENT)).bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void invalidDocumentsAreRefusedByName() {
        assertTrue(refusalOf(VALID_DOCUMENT.replace("'service':'s'", "'service':'z'"))
                .getMessage()
                .contains("unknown service z"));
        assertTrue(refusalOf(VALID_DOCUMENT.replace("/x/y/", "/x/").replace("'h.example'", "'H.example'"))
                .getMessage()
                .contains("share host"));
        assertTrue(refusalOf(VALID_DOCUMENT.replace("'weight':2", "'weight':0"))
                .getMessage()
                .contains("add up to 0"));
        assertTrue(refusalOf(VALID_DOCUMENT.replace("'timeout_ms':10", "'timeout_ms':0"))
                .getMessage()
                .contains("timeout_ms"));
        assertTrue(refusalOf(VALID_DOCUMENT.replace("'version':7,", ""))
                .getMessage()
                .contains("version"));
        assertTrue(refusalOf(VALID_DOCUMENT.replace("}],'note'", "},{'name':'u','api_keys':['k1']}],'note'"))
                .getMessage()
                .contains("share a key"));
        assertEquals(FleetException.Code.CONFIG_UNREADABLE, refusalOf("[1]").code());
        byte[] document = json(VALID_DOCUMENT);
        for (int cut = 0; cut < document.length - 1; cut++) {
            byte[] truncated = java.util.Arrays.copyOf(document, cut);
            assertThrows(FleetException.class, () -> Configuration.read(truncated), "cut at " + cut);
        }
    }

    @Test
    void namedItemsAreAddedReplacedAndRemoved() {
        Configuration configuration = Configuration.read(json(VALID_DOCUMENT))
                .updated(JsonFields.parse(json("{'version':9,'upsert':{'routes':[{'name':'a',"
                        + "'hostname':'h.example','path_prefix':'/n/','route_type':'read_only','timeout_ms':5,'service':'s'}]},"
                        + "'remove':{'routes':['b','never'],'tenants':['t']}}")));
        assertEquals(9, configuration.version());
        assertEquals("a", configuration.route("h.example", "/n/").name());
        assertNull(configuration.route("h.example", "/x/y/z"));
        assertNull(configuration.tenant("k1"));
        assertThrows(
                FleetException.class,
                () -> configuration.updated(JsonFields.parse(json("{'version':10,'remove':{'services':['s']}}"))));
    }

    /** A patch from one configuration to another reproduces the other one exactly, or there is no patch. */
    @Test
    void patchReproducesTheNewerDocument() {
        Configuration older = Configuration.read(json(VALID_DOCUMENT));
        for (String text : List.of(
                VALID_DOCUMENT.replace("'version':7", "'version':8"),
                VALID_DOCUMENT.replace("'version':7", "'version':8").replace("'timeout_ms':10", "'timeout_ms':11"),
                VALID_DOCUMENT.replace("'version':7", "'version':8").replace("'k2'", "'k3'"),
                VALID_DOCUMENT.replace("'version':7", "'version':8").replace("1.50", "1.5"),
                VALID_DOCUMENT
                        .replace("'version':7", "'version':8")
                        .replace("'note'", "'limits':{'max_body_bytes':9},'note'"),
                VALID_DOCUMENT
                        .replace("'version':7", "'version':8")
                        .replace("'routes':[{'name':'a'", "'routes':[{'name':'c'")
                        .replace("'/x/'", "'/c/'"))) {
            Configuration newer = Configuration.read(json(text));
            JsonObject patch = newer.patchFrom(older);
            if (patch == null) {
                assertTrue(text.contains("'name':'c'"), "only a change of the order can't be expressed as a patch");
                continue;
            }
            assertEquals(
                    JsonFields.parse(newer.bytes()),
                    JsonFields.parse(older.updated(patch).bytes()));
        }
        assertNull(Configuration.read(json(VALID_DOCUMENT.replace(",'note':{'kept':1.50}", "")))
                .patchFrom(older));
        Configuration without = Configuration.read(json("{'version':8,'routes':[],'services':[]}"));
        Configuration with = Configuration.read(json("{'version':9,'routes':[],'services':[],'tenants':[]}"));
        assertTrue(without.updated(with.patchFrom(without)).hasTenants());
    }

    @Test
    void updateChecksUnchangedItemsAgainstNewOnes() {
        Configuration older = Configuration.read(json(VALID_DOCUMENT));
        assertThrows(
                FleetException.class,
                () -> older.updated(JsonFields.parse(json("{'version':8,'upsert':{'routes':[{'name':'n',"
                        + "'hostname':'h.example','path_prefix':'/x/','route_type':'read_only','timeout_ms':5,"
                        + "'service':'s'}]}}"))));
        assertThrows(
                FleetException.class,
                () -> older.updated(
                        JsonFields.parse(json("{'version':8,'upsert':{'tenants':[{'name':'u','api_keys':['k2']}]}}"))));
    }
}
