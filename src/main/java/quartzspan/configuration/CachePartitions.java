package quartzspan.configuration;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import quartzspan.configuration.Configuration.Tenant;

/**
 * Divides a configuration's tenants into partitions that share cached prompts. Each isolated tenant has a partition of its own. All
 * other requests have one shared partition, whose id is derived from the names of the isolated tenants: when a tenant becomes
 * isolated, the others change to a partition to which it has never contributed, and the blocks that it cached before stay behind.
 *
 * <p>The ids depend on nothing but the configuration, so all proxies derive the same ones without coordination, before and after
 * restarts. They consist of ASCII letters, digits and a hyphen, whatever characters a tenant's name has: two names whose encodings in
 * a header are equal have different ids. Immutable.
 */
public final class CachePartitions {
    /** The id of the shared partition as long as no tenant is isolated. */
    private static final String UNDIVIDED = "";

    private static final String ISOLATED_PREFIX = "w";
    private static final String SHARED_PREFIX = "c";

    private final Map<String, String> idsOfIsolatedTenants = new HashMap<>();
    private final String sharedId;

    /** Several entries may have the same name; their tenant is isolated if one of them is. */
    CachePartitions(Collection<Tenant> tenants) {
        NavigableSet<String> isolated = new TreeSet<>();
        tenants.stream().filter(Tenant::isolated).map(Tenant::name).forEach(isolated::add);
        isolated.forEach(name -> idsOfIsolatedTenants.put(name, isolatedId(name)));
        this.sharedId = isolated.isEmpty() ? UNDIVIDED : SHARED_PREFIX + digest(isolated);
    }

    /**
     * The id of the partition of a tenant's requests. A tenant of another version of the configuration that is isolated there
     * stays isolated here, so that a request that began under that version uses no other tenant's blocks.
     *
     * @param tenant the tenant; null for requests without one
     */
    public String idFor(Tenant tenant) {
        if (tenant == null) {
            return sharedId;
        }
        String isolatedId = idsOfIsolatedTenants.get(tenant.name());
        if (isolatedId != null) {
            return isolatedId;
        }
        return tenant.isolated() ? isolatedId(tenant.name()) : sharedId;
    }

    private static String isolatedId(String name) {
        return ISOLATED_PREFIX + digest(Collections.singleton(name));
    }

    private static String digest(Collection<String> names) {
        HashStream128 stream = Hashing.xxh3_128().hashStream();
        names.forEach(stream::putString);
        HashValue128 hash = stream.get();
        return Long.toUnsignedString(hash.getMostSignificantBits(), Character.MAX_RADIX)
                + '-'
                + Long.toUnsignedString(hash.getLeastSignificantBits(), Character.MAX_RADIX);
    }
}
