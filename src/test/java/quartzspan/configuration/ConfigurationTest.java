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

/** What the operators' configurations may and may not be. */
class ConfigurationTest {
    private static final String GOOD = "{'version':7,'routes':[{'name':'a','hostname':'H.example','path_prefix':'/x/',"
            + "'route_type':'streaming','timeout_ms':3000,'service':'s','resumable':true},{'name':'b','hostname':'h.example',"
            + "'path_prefix':'/x/y/','route_type':'mutating','timeout_ms':10,'traffic_split':[{'service':'s','weight':0},"
            + "{'service':'s','weight':2}]}],'services':[{'name':'s','max_connections':360}],'tenants':[{'name':'t',"
            + "'api_keys':['k1','k2']}],'note':{'kept':1.50}}";

    static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static FleetException refused(String text) {
        return assertThrows(FleetException.class, () -> Configuration.read(json(text)));
    }

    @Test
    void theLongestPrefixOfAHostIsTheRoute() {
        Configuration m = Configuration.read(json(GOOD));
        assertEquals("a", m.route("h.example", "/x/z").name());
        assertEquals("b", m.route("h.example", "/x/y/z").name());
        assertNull(m.route("h.example", "/x"));
        assertNull(m.route("other", "/x/z"));
        assertEquals("t", m.tenant("k2").name());
        assertTrue(m.route("h.example", "/x/z").repeatable());
        assertFalse(m.route("h.example", "/x/y/z").repeatable());
    }

    @Test
    void documentIsKeptByteForByte() {
        assertEquals(
                GOOD.replace('\'', '"'),
                new String(Configuration.read(json(GOOD)).bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void invalidDocumentsAreRefusedByName() {
        assertTrue(refused(GOOD.replace("'service':'s'", "'service':'z'"))
                .getMessage()
                .contains("unknown service z"));
        assertTrue(refused(GOOD.replace("/x/y/", "/x/").replace("'h.example'", "'H.example'"))
                .getMessage()
                .contains("share host"));
        assertTrue(
                refused(GOOD.replace("'weight':2", "'weight':0")).getMessage().contains("add up to 0"));
        assertTrue(refused(GOOD.replace("'timeout_ms':10", "'timeout_ms':0"))
                .getMessage()
                .contains("timeout_ms"));
        assertTrue(refused(GOOD.replace("'version':7,", "")).getMessage().contains("version"));
        assertTrue(refused(GOOD.replace("}],'note'", "},{'name':'u','api_keys':['k1']}],'note'"))
                .getMessage()
                .contains("share a key"));
        assertEquals(FleetException.Code.CONFIG_UNREADABLE, refused("[1]").code());
        byte[] good = json(GOOD);
        for (int cut = 0; cut < good.length - 1; cut++) {
            byte[] part = java.util.Arrays.copyOf(good, cut);
            assertThrows(FleetException.class, () -> Configuration.read(part), "cut at " + cut);
        }
    }

    @Test
    void namedItemsAreAddedReplacedAndRemoved() {
        Configuration m = Configuration.read(json(GOOD))
                .updated(JsonFields.parse(json("{'version':9,'upsert':{'routes':[{'name':'a',"
                        + "'hostname':'h.example','path_prefix':'/n/','route_type':'read_only','timeout_ms':5,'service':'s'}]},"
                        + "'remove':{'routes':['b','never'],'tenants':['t']}}")));
        assertEquals(9, m.version());
        assertEquals("a", m.route("h.example", "/n/").name());
        assertNull(m.route("h.example", "/x/y/z"));
        assertNull(m.tenant("k1"));
        assertThrows(
                FleetException.class,
                () -> m.updated(JsonFields.parse(json("{'version':10,'remove':{'services':['s']}}"))));
    }

    /** A patch leads from one configuration exactly to another, or there is none. */
    @Test
    void patchLeadsToTheSameDocument() {
        Configuration old = Configuration.read(json(GOOD));
        for (String text : List.of(
                GOOD.replace("'version':7", "'version':8"),
                GOOD.replace("'version':7", "'version':8").replace("'timeout_ms':10", "'timeout_ms':11"),
                GOOD.replace("'version':7", "'version':8").replace("'k2'", "'k3'"),
                GOOD.replace("'version':7", "'version':8").replace("1.50", "1.5"),
                GOOD.replace("'version':7", "'version':8").replace("'note'", "'limits':{'max_body_bytes':9},'note'"),
                GOOD.replace("'version':7", "'version':8")
                        .replace("'routes':[{'name':'a'", "'routes':[{'name':'c'")
                        .replace("'/x/'", "'/c/'"))) {
            Configuration next = Configuration.read(json(text));
            JsonObject patch = next.patchFrom(old);
            if (patch == null) {
                assertTrue(text.contains("'name':'c'"), "only another order can't be expressed");
                continue;
            }
            assertEquals(
                    JsonFields.parse(next.bytes()),
                    JsonFields.parse(old.updated(patch).bytes()));
        }
        assertNull(Configuration.read(json(GOOD.replace(",'note':{'kept':1.50}", "")))
                .patchFrom(old));
        Configuration without = Configuration.read(json("{'version':8,'routes':[],'services':[]}"));
        Configuration with = Configuration.read(json("{'version':9,'routes':[],'services':[],'tenants':[]}"));
        assertTrue(without.updated(with.patchFrom(without)).hasTenants());
    }

    @Test
    void updateChecksKeptItemsAgainstNewOnes() {
        Configuration old = Configuration.read(json(GOOD));
        assertThrows(
                FleetException.class,
                () -> old.updated(JsonFields.parse(json("{'version':8,'upsert':{'routes':[{'name':'n',"
                        + "'hostname':'h.example','path_prefix':'/x/','route_type':'read_only','timeout_ms':5,"
                        + "'service':'s'}]}}"))));
        assertThrows(
                FleetException.class,
                () -> old.updated(
                        JsonFields.parse(json("{'version':8,'upsert':{'tenants':[{'name':'u','api_keys':['k2']}]}}"))));
    }
}
