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
import quartzspan.registry.WeightsDeadlines;

/**
 * The model servers known to this proxy: their pooled connections, addresses and weights versions, kept up to date with the
 * registry. Owned by the event loop.
 */
final class EndpointDirectory implements ServerConnections {
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final int MIN_CONNECTIONS = 2;
    private static final long US_PER_MS = 1_000;

    private final Registry registry;
    private final ConnectionPool connectionPool;
    private final PrefixCacheIndex prefixCacheIndex;
    private final PrefixAwarePlacement placement;
    private final LongSupplier clockUs;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();
    /** The servers by id, as last listed in the registry. */
    private final Map<String, Server> servers = new HashMap<>();
    /** Weights version of each server, as listed in the registry or inferred from a version mismatch. */
    private final Map<String, Long> weightsVersions = new HashMap<>();
    /** The configured services that the connection limits were last computed from. */
    private Map<String, Service> configuredServices = Map.of();
    /** The change count of the weights' deadlines that the placement knows. */
    private long appliedDeadlines;

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

    /** The pooled endpoint of a server; null if the server is not listed. */
    ConnectionPool.Endpoint endpoint(String server) {
        return endpoints.get(server);
    }

    /** The address of a server as host:port; null if the server is not listed. */
    String address(String server) {
        Server listed = servers.get(server);
        return listed == null ? null : listed.address();
    }

    /** The weights version of a server; 0 if unknown. */
    long weightsVersion(String server) {
        return weightsVersions.getOrDefault(server, 0L);
    }

    /**
     * The weights version that a server must have to execute a request now; 0 if unknown. A server that was ordered to load a
     * newer version, or whose weights may not be used any more, must not execute the request on its current ones.
     */
    long expectedWeightsVersion(String server) {
        long current = weightsVersion(server);
        Server listed = servers.get(server);
        if (current == 0 || listed == null) {
            return 0;
        }
        return Math.max(current, Math.max(listed.loadingVersion(), requiredVersion(listed)));
    }

    private long requiredVersion(Server server) {
        return registry.weightsDeadlines().requiredVersion(clockUs.getAsLong() / US_PER_MS, server.model());
    }

    /**
     * Whether a request may be sent to a server now: it is listed as ready, and weights of this version, or of an unknown one
     * (0), may still be used.
     */
    boolean mayUse(String server, long weightsVersion) {
        Server listed = servers.get(server);
        return listed != null
                && listed.state() == RegistryEntry.State.READY
                && (weightsVersion == 0 || weightsVersion >= requiredVersion(listed));
    }

    /**
     * Handles a server's rejection of a request because of its expected version. The server has changed its weights, most likely
     * to the model's current version, unless it still has to load that version.
     *
     * @return whether the server may execute the request if it is sent again
     */
    boolean onVersionMismatch(String server) {
        long current = weightsVersion(server);
        Server listed = servers.get(server);
        if (listed == null || expectedWeightsVersion(server) > current) {
            return false;
        }
        if (current > 0) {
            weightsVersions.put(
                    server, Math.max(current, registry.state().weights().getOrDefault(listed.model(), 0L)));
            updateUsableTime(listed);
        }
        return true;
    }

    /** The addresses of the configured cache stores that have responded to a reader. */
    List<String> cacheStores() {
        return configuration().services().values().stream()
                .map(Service::cacheStoreAddress)
                .filter(store -> store != null && prefixCacheIndex.hasUpdates(PrefixCacheIndex.storeId(store)))
                .toList();
    }

    /** Number of proxies that share the servers, including this one. */
    int proxyCount() {
        return Math.max(1, registry.readyKeys(RegistryEntry.Subject.PROXY).size());
    }

    private Configuration configuration() {
        return registry.state().configuration();
    }

    /** Applies an update of the registry; to be called after each message, for the deadlines may have changed without one. */
    void onRegistryUpdate(Registry.Update update) {
        update.entries().forEach(this::onEntry);
        if (appliedDeadlines != registry.weightsDeadlines().changeCount()) {
            appliedDeadlines = registry.weightsDeadlines().changeCount();
            servers.values().forEach(this::updateUsableTime);
        }
        if (update.stateAdvanced() && !configuration().services().equals(configuredServices)) {
            // Connection limits are part of the services' configuration.
            configuredServices = configuration().services();
            registry.servers().forEach(this::onServer);
        }
    }

    /** Tells the placement until when the server's weights may be used. */
    private void updateUsableTime(Server server) {
        long weights = weightsVersion(server.id());
        long untilMs = weights == 0
                ? WeightsDeadlines.NO_DEADLINE
                : registry.weightsDeadlines().usableUntilMs(server.model(), weights);
        placement.onUsableUntil(
                server.id(), untilMs == WeightsDeadlines.NO_DEADLINE ? Long.MAX_VALUE : untilMs * US_PER_MS);
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
        endpoint.update(null, false, 0);
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
        endpoint.update(socketAddress(server.address()), ready, maxConnections(server));
        placement.onListed(clockUs.getAsLong(), server.id(), server.service(), ready, server.loadingVersion() > 0);
        weightsVersions.put(server.id(), server.weightsVersion());
        updateUsableTime(server);
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        int port = (int) HttpFraming.parseNumber(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, colon), port);
    }

    /** This proxy's share of the connections that the service allows to one server. */
    private int maxConnections(Server server) {
        Service service = configuration().services().get(server.service());
        return service == null
                ? DEFAULT_MAX_CONNECTIONS
                : Math.max(MIN_CONNECTIONS, service.maxConnections() / proxyCount());
    }

    @Override
    public boolean isConnected(String server) {
        return endpoints.get(server).isConnected();
    }

    @Override
    public boolean isReachable(String server) {
        return endpoints.get(server).isReachable();
    }
}
