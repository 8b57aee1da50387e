package quartzspan.frontend;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.Configuration.Service;
import quartzspan.http.ConnectionPool;
import quartzspan.http.HttpFraming;
import quartzspan.loadbalancing.PrefixAwarePlacement;
import quartzspan.loadbalancing.ServerConnections;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/**
 * The model servers as this proxy reaches them: pooled connections, addresses and weights, kept up to date with the registry.
 * Owned by the event loop.
 */
final class EndpointDirectory implements ServerConnections {
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final int MIN_CONNECTIONS = 2;

    private final Registry registry;
    private final ConnectionPool connectionPool;
    private final PrefixCacheIndex prefixCacheIndex;
    private final PrefixAwarePlacement placement;
    private final LongSupplier clockUs;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();
    /** The servers that there are, as last announced. */
    private final Map<String, Server> servers = new HashMap<>();
    /** Version of the weights of each server, as last announced or seen. */
    private final Map<String, Long> weightsVersions = new HashMap<>();
    /** The services that the bounds of connections were last taken from. */
    private Map<String, Service> configuredServices = Map.of();

    EndpointDirectory(
            Registry registry, ConnectionPool connectionPool, PrefixCacheIndex prefixCacheIndex, LongSupplier clockUs) {
        this.registry = registry;
        this.connectionPool = connectionPool;
        this.prefixCacheIndex = prefixCacheIndex;
        this.clockUs = clockUs;
        this.placement = new PrefixAwarePlacement(System.nanoTime(), this);
    }

    PrefixAwarePlacement placement() {
        return placement;
    }

    /** The pooled endpoint of a server; null if it is gone. */
    ConnectionPool.Endpoint endpoint(String server) {
        return endpoints.get(server);
    }

    /** The address of a server as text; null if it is gone. */
    String address(String server) {
        Server listed = servers.get(server);
        return listed == null ? null : listed.address();
    }

    /** Version of a server's weights; 0 if unknown. */
    long weightsVersion(String server) {
        return weightsVersions.getOrDefault(server, 0L);
    }

    /**
     * The version of weights that a server has to have to run a request; 0 if unknown. One that is to load others must not run
     * it on those that it has: they may be overdue.
     */
    long expectedWeightsVersion(String server) {
        long current = weightsVersion(server);
        return current == 0 ? 0 : Math.max(current, servers.get(server).loading());
    }

    /**
     * A server rejected a request for its version: it has other weights by now, most likely those that were named last, unless
     * it has yet to load them.
     *
     * @return whether it may run the request if that is sent again
     */
    boolean onVersionMismatch(String server) {
        long current = weightsVersion(server);
        Server listed = servers.get(server);
        if (listed == null || listed.loading() > current) {
            return false;
        }
        if (current > 0) {
            weightsVersions.put(
                    server, Math.max(current, registry.state().weights().getOrDefault(listed.model(), 0L)));
        }
        return true;
    }

    /** The addresses of the stores for cached prompts that answer. */
    List<String> cacheStores() {
        return configuration().services().values().stream()
                .map(Service::store)
                .filter(store -> store != null && prefixCacheIndex.hasUpdates(PrefixCacheIndex.storeId(store)))
                .toList();
    }

    /** Number of proxies that share the servers, this one included. */
    int proxyCount() {
        return Math.max(1, registry.ready(RegistryEntry.Subject.PROXY).size());
    }

    private Configuration configuration() {
        return registry.state().configuration();
    }

    // ---- updates -------------------------------------------------------------------------------------

    /** The registry was updated. */
    void onRegistryUpdate(Registry.Update update) {
        update.entries().forEach(this::onEntry);
        if (update.state() && !configuration().services().equals(configuredServices)) {
            // The bounds of connections come from the configuration.
            configuredServices = configuration().services();
            registry.servers().forEach(this::onServer);
        }
    }

    private void onEntry(RegistryEntry entry) {
        Server server = Server.of(entry);
        if (server != null) {
            onServer(server);
        }
    }

    private void onServer(Server server) {
        if (server.state() == RegistryEntry.State.GONE || server.state() == RegistryEntry.State.LOST) {
            remove(server.id());
        } else {
            update(server);
        }
    }

    private void remove(String id) {
        ConnectionPool.Endpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            return;
        }
        placement.onGone(id);
        endpoint.listed(null, false, 0);
        connectionPool.closeIdle(endpoint);
        endpoints.remove(id);
        servers.remove(id);
        weightsVersions.remove(id);
        prefixCacheIndex.remove(id);
    }

    private void update(Server server) {
        boolean ready = server.state() == RegistryEntry.State.READY;
        ConnectionPool.Endpoint endpoint = endpoints.computeIfAbsent(server.id(), ConnectionPool.Endpoint::new);
        Server previous = servers.put(server.id(), server);
        boolean addressChanged = previous == null || !server.address().equals(previous.address());
        if (addressChanged || !ready) {
            connectionPool.closeIdle(endpoint);
        }
        endpoint.listed(socketAddress(server.address()), ready, maxConnections(server));
        placement.onListed(clockUs.getAsLong(), server.id(), server.service(), ready, server.loading() > 0);
        weightsVersions.put(server.id(), server.weights());
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        int port = (int) HttpFraming.number(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, colon), port);
    }

    /** All proxies together keep within the bound that the service states for a server. */
    private int maxConnections(Server server) {
        Service service = configuration().services().get(server.service());
        return service == null
                ? DEFAULT_MAX_CONNECTIONS
                : Math.max(MIN_CONNECTIONS, service.maxConnections() / proxyCount());
    }

    // ---- connections ---------------------------------------------------------------------------------

    @Override
    public boolean isConnected(String server) {
        return endpoints.get(server).connected();
    }

    @Override
    public boolean isReachable(String server) {
        return endpoints.get(server).reachable();
    }
}
