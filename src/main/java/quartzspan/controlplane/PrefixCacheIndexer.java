package quartzspan.controlplane;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.JsonFields;
import quartzspan.prefixcache.KvEventReader;
import quartzspan.prefixcache.PrefixCacheIndex;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.Gossip;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.transport.Transport;

/**
 * Keeps the index of the blocks that servers and stores have cached. Each of them is polled by one of the reachable core
 * machines, which all machines determine in the same way; polling by two at once does no harm.
 */
final class PrefixCacheIndexer {
    private static final long RUN_INTERVAL_MS = 100;
    private static final String LONG_POLL_WAIT_MS = "1000";

    /** Converts a response to updates of the index. */
    private interface ResponseParser {
        List<PrefixCacheUpdate> parse(JsonObject response);
    }

    private final LongSupplier clockMs;
    private final String self;
    private final Registry registry;
    private final Gossip gossip;
    private final Transport transport;
    private final ServerClient servers;
    private final PrefixCacheIndex prefixCacheIndex = new PrefixCacheIndex();
    private final Map<String, KvEventReader> readers = new HashMap<>();
    /** Updates to be sent with the next run, by recipient: those to one process cost it a single read. */
    private final Map<String, List<PrefixCacheUpdate>> pendingUpdates = new LinkedHashMap<>();

    private long nextRunAtMs;

    PrefixCacheIndexer(
            LongSupplier clockMs,
            String self,
            Registry registry,
            Gossip gossip,
            Transport transport,
            ServerClient servers) {
        this.clockMs = clockMs;
        this.self = self;
        this.registry = registry;
        this.gossip = gossip;
        this.transport = transport;
        this.servers = servers;
    }

    /** @param reachableCores the other core machines that are currently reachable */
    void onTick(long now, List<String> reachableCores) {
        if (now < nextRunAtMs) {
            return;
        }
        nextRunAtMs = now + RUN_INTERVAL_MS;
        pendingUpdates.forEach((to, updates) -> updates.forEach(update -> transport.send(to, update)));
        pendingUpdates.clear();
        List<String> cores = new ArrayList<>(reachableCores);
        cores.add(self);
        Map<String, Server> sources = sources();
        readers.keySet()
                .removeIf(id ->
                        !sources.containsKey(id) || !assignedCore(id, cores).equals(self));
        for (Server source : sources.values()) {
            if (assignedCore(source.id(), cores).equals(self)) {
                poll(now, source, readers.computeIfAbsent(source.id(), id -> new KvEventReader(id, System.nanoTime())));
            }
        }
    }

    private static String assignedCore(String server, List<String> cores) {
        return Registry.rendezvousSelect(server, cores, 1).get(0);
    }

    /** The servers that have a model, and the stores. */
    private Map<String, Server> sources() {
        Map<String, Server> all = new HashMap<>();
        for (Server server : registry.servers()) {
            boolean available =
                    server.state() != RegistryEntry.State.GONE && server.state() != RegistryEntry.State.LOST;
            if (available && !server.model().isEmpty()) {
                all.put(server.id(), server);
            }
        }
        for (Configuration.Service service :
                registry.state().configuration().services().values()) {
            if (service.cacheStoreAddress() != null) {
                Server store = storeAsServer(service);
                all.put(store.id(), store);
            }
        }
        return all;
    }

    private static Server storeAsServer(Configuration.Service service) {
        return new Server(
                PrefixCacheIndex.storeId(service.cacheStoreAddress()),
                service.name(),
                service.cacheStoreAddress(),
                service.zone(),
                "",
                0,
                0,
                0,
                RegistryEntry.State.READY);
    }

    private void poll(long now, Server source, KvEventReader reader) {
        switch (reader.nextCall(now)) {
            case EVENTS -> call(
                    source,
                    reader,
                    "/quartzspan/kv-events?since=" + reader.since(),
                    Map.of("Wait-Ms", LONG_POLL_WAIT_MS),
                    response -> reader.onEvents(
                            clockMs.getAsLong(),
                            JsonFields.wholeNumber(response, "epoch", 0),
                            JsonFields.wholeNumber(response, "next_token", 0),
                            response.getBoolean("lost", false),
                            blocks(response.getJsonArray("events"), 2)));
            case LIST -> call(
                    source,
                    reader,
                    "/quartzspan/kv-list",
                    Map.of(),
                    response -> List.of(reader.onList(
                            clockMs.getAsLong(),
                            JsonFields.wholeNumber(response, "epoch", 0),
                            JsonFields.wholeNumber(response, "next_token", 0),
                            blocks(response.getJsonArray("held"), 0))));
            default -> {}
        }
    }

    /**
     * Sends a request. An unreadable response counts as a failure: the reader must be notified of the end of each call, or it
     * requests no more.
     */
    private void call(
            Server source, KvEventReader reader, String path, Map<String, String> headers, ResponseParser parser) {
        servers.get(source, path, headers, (status, body) -> publish(parseUpdates(reader, status, body, parser)));
    }

    private List<PrefixCacheUpdate> parseUpdates(KvEventReader reader, int status, byte[] body, ResponseParser parser) {
        if (status != 200) {
            return reader.onFailure(clockMs.getAsLong());
        }
        try {
            return parser.parse(JsonFields.parse(body));
        } catch (FleetException | ClassCastException | NullPointerException | IndexOutOfBoundsException unreadable) {
            return reader.onFailure(clockMs.getAsLong());
        }
    }

    /** Parses blocks of the form [salt, ID, tokens, model], after {@code skip} other fields. */
    private static List<KvEventReader.Event> blocks(JsonArray all, int skip) {
        List<KvEventReader.Event> blocks = new ArrayList<>();
        for (JsonArray block : all.getValuesAs(JsonArray.class)) {
            blocks.add(new KvEventReader.Event(
                    block.getString(skip),
                    block.getString(skip + 1),
                    block.getInt(skip + 2),
                    block.getString(skip + 3)));
        }
        return blocks;
    }

    private void publish(List<PrefixCacheUpdate> updates) {
        Set<String> recipients = new LinkedHashSet<>(gossip.cores());
        recipients.addAll(gossip.subscribers());
        for (PrefixCacheUpdate update : updates) {
            prefixCacheIndex.apply(clockMs.getAsLong(), update);
            recipients.forEach(to -> enqueue(to, update));
        }
    }

    private void enqueue(String to, PrefixCacheUpdate update) {
        pendingUpdates.computeIfAbsent(to, other -> new ArrayList<>()).add(update);
    }

    /** Handles an update or a snapshot request of another process. */
    void onUpdate(String from, boolean fromCore, PrefixCacheUpdate update) {
        if (update.kind() == PrefixCacheUpdate.Kind.SNAPSHOT_REQUEST) {
            PrefixCacheUpdate snapshot = prefixCacheIndex.snapshot(update.server());
            if (snapshot != null) {
                transport.send(from, snapshot);
            }
            return;
        }
        if (prefixCacheIndex.apply(clockMs.getAsLong(), update)) {
            transport.send(from, PrefixCacheUpdate.snapshotRequest(update.server()));
        } else if (fromCore) {
            List<String> cores = gossip.cores();
            gossip.subscribers().stream()
                    .filter(address -> !cores.contains(address))
                    .forEach(to -> enqueue(to, update));
        }
    }
}
