package quartzspan.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quartzspan.configuration.Configuration.Tenant;

/** Which tenants' requests share cached blocks, over changes of the configuration. */
class CachePartitionsTest {
    private static final int HISTORIES = 2_000;
    private static final int CHANGES = 30;
    private static final int TENANTS = 4;

    private static Tenant tenant(String name, boolean isolated) {
        return new Tenant(name, List.of(), 0, isolated);
    }

    private static CachePartitions partitions(Tenant... tenants) {
        return new CachePartitions(List.of(tenants));
    }

    @Test
    void withoutIsolatedTenantsAllRequestsShareOnePartitionWithoutAnId() {
        CachePartitions partitions = partitions(tenant("a", false), tenant("b", false));
        assertEquals("", partitions.idFor(tenant("a", false)));
        assertEquals("", partitions.idFor(tenant("b", false)));
        assertEquals("", partitions.idFor(null));
    }

    @Test
    void isolatedTenantHasAPartitionOfItsOwnAndTheOthersShareOne() {
        CachePartitions partitions = partitions(tenant("a", true), tenant("b", false), tenant("c", true));
        String shared = partitions.idFor(tenant("b", false));
        assertEquals(shared, partitions.idFor(null));
        Set<String> ids = Set.of(shared, partitions.idFor(tenant("a", true)), partitions.idFor(tenant("c", true)));
        assertEquals(3, ids.size());
    }

    /** Guards against blocks that a tenant made before it was isolated being used by others afterwards (review/3). */
    @Test
    void othersLeaveTheSharedPartitionWhenATenantBecomesIsolated() {
        String before = partitions(tenant("a", false), tenant("b", false)).idFor(tenant("b", false));
        String after = partitions(tenant("a", true), tenant("b", false)).idFor(tenant("b", false));
        assertNotEquals(before, after);
    }

    @Test
    void idsDependOnTheSetOfIsolatedTenantsOnly() {
        String id = partitions(tenant("a", true), tenant("b", true), tenant("c", false))
                .idFor(tenant("c", false));
        assertEquals(id, partitions(tenant("b", true), tenant("a", true)).idFor(null));
        assertNotEquals(id, partitions(tenant("ab", true)).idFor(null));
    }

    @Test
    void tenantIsIsolatedIfOneOfItsEntriesIs() {
        CachePartitions partitions = partitions(tenant("a", false), tenant("a", true));
        assertEquals(partitions.idFor(tenant("a", true)), partitions.idFor(tenant("a", false)));
        assertNotEquals(partitions.idFor(null), partitions.idFor(tenant("a", false)));
    }

    /** Header values are sent as ISO 8859-1, in which characters outside of it and spaces at the end are lost. */
    @Test
    void namesWhoseEncodingsInAHeaderAreEqualHaveDifferentIds() {
        List<String> names = List.of("\u0100", "\u0411", "?", "a", "a ", " a", "");
        Set<String> encoded = new HashSet<>();
        for (String name : names) {
            String id = partitions(tenant(name, true)).idFor(tenant(name, true));
            assertTrue(StandardCharsets.US_ASCII.newEncoder().canEncode(id), id);
            assertEquals(id.strip(), id);
            encoded.add(id);
        }
        assertEquals(names.size(), encoded.size());
    }

    /**
     * Draws changes that add, remove, isolate and share tenants, and requests in between, some of proxies that have an older
     * version; a request uses all blocks that were made under its partition's id.
     */
    @Test
    void noRequestUsesBlocksOfAnotherTenantIfOneOfTheTwoIsIsolated() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            playHistory(new SplittableRandom(seed), "seed " + seed);
        }
    }

    private static void playHistory(SplittableRandom random, String seed) {
        Map<String, Set<String>> makersByPartition = new HashMap<>();
        List<List<Tenant>> versions = new ArrayList<>(List.of(drawTenants(random)));
        for (int i = 0; i < CHANGES; i++) {
            List<Tenant> tenants = drawTenants(random);
            versions.add(tenants);
            List<Tenant> older = versions.get(random.nextInt(versions.size()));
            older.forEach(maker -> makersByPartition
                    .computeIfAbsent(new CachePartitions(older).idFor(maker), id -> new HashSet<>())
                    .add(maker.name()));
            for (Tenant user : tenants) {
                Set<String> makers = makersByPartition.computeIfAbsent(
                        new CachePartitions(tenants).idFor(user), id -> new HashSet<>());
                makers.add(user.name());
                assertTrue(maySharePartition(user, makers, tenants), seed + ": " + user + " with " + makers);
            }
        }
    }

    private static List<Tenant> drawTenants(SplittableRandom random) {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            if (random.nextInt(4) > 0) {
                tenants.add(tenant("t" + i, random.nextInt(3) == 0));
            }
        }
        return tenants;
    }

    private static boolean maySharePartition(Tenant user, Set<String> makers, List<Tenant> tenants) {
        return user.isolated()
                ? makers.equals(Set.of(user.name()))
                : tenants.stream().noneMatch(other -> other.isolated() && makers.contains(other.name()));
    }
}
