package quartzspan.frontend;

import java.util.List;
import java.util.function.LongSupplier;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Tenant;
import quartzspan.http.ConnectionPool;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.Registry;

/**
 * What a proxy knows of the fleet, and what it may do on that knowledge at a given moment. It performs no I/O itself; times are
 * milliseconds of a steady clock. Owned by the event loop.
 */
final class FleetView {
    /**
     * The configuration counts as stale this long before a revoked API key must be rejected: a request starts at its server some
     * time after its key was checked.
     */
    private static final long FRESHNESS_MARGIN_MS = 700;

    private final Settings.Bounds bounds;
    private final LongSupplier clockUs;
    private final Registry registry;
    private final Gossip gossip;
    private final EndpointDirectory endpoints;

    /**
     * @param self internal address of this proxy
     * @param seeds internal addresses of core machines to contact first
     * @param gossipSeed seed of the first nonce, different at each start
     */
    FleetView(
            Settings settings,
            String self,
            List<String> seeds,
            LongSupplier clockUs,
            Gossip.Sender sender,
            ConnectionPool connectionPool,
            PrefixCacheIndex prefixCacheIndex,
            long gossipSeed) {
        this.bounds = settings.bounds();
        this.clockUs = clockUs;
        this.registry = new Registry(bounds.versionApplyMs());
        this.endpoints = new EndpointDirectory(registry, connectionPool, prefixCacheIndex, clockUs);
        this.gossip = new Gossip(self, false, seeds, registry, sender, Gossip.firstNonce(gossipSeed));
        gossip.preferZone(settings.zone());
    }

    private long nowMs() {
        return clockUs.getAsLong() / 1_000;
    }

    Configuration configuration() {
        return registry.state().configuration();
    }

    EndpointDirectory endpoints() {
        return endpoints;
    }

    /** Replaces the core machines to contact first. */
    void setSeeds(List<String> seeds) {
        gossip.setSeeds(seeds);
    }

    /** Runs timers; to be called about every 100 ms. */
    void onTick() {
        long now = nowMs();
        gossip.onTick(now, null);
        registry.expire(now);
    }

    void onGossip(String from, GossipMessage message) {
        endpoints.onRegistryUpdate(gossip.onGossip(nowMs(), from, message));
    }

    /** Whether this proxy's configuration is recent enough to authorise requests. */
    boolean isConfigurationFresh() {
        if (configuration().version() == 0) {
            return false;
        }
        if (!bounds.strictRevocation()) {
            return registry.freshAtMs() > 0;
        }
        long ageMs = nowMs() - registry.freshAtMs();
        return ageMs < bounds.revocationMs() - FRESHNESS_MARGIN_MS;
    }

    /** Whether a client's request may be handled by the present configuration. */
    boolean mayHandleRequests() {
        return isConfigurationFresh() && !gossip.mayBeOutdated(nowMs());
    }

    /** The id of the cache partition of a tenant's requests at present; the tenant is null for requests without one. */
    String cachePartition(Tenant tenant) {
        return configuration().cachePartitions().idFor(tenant);
    }

    /** Whether a request may be written to a server now, if the server is to have a weights version (0: any). */
    boolean maySend(String server, long weightsVersion) {
        return !gossip.mayBeOutdated(nowMs()) && endpoints.mayUse(server, weightsVersion);
    }

    /** Whether a request that names a cache partition may be written now: it is still that of the request's tenant. */
    boolean mayUsePartition(String partition, Tenant tenant) {
        return partition.equals(cachePartition(tenant));
    }
}
