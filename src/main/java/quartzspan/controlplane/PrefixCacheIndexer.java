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
 * Follows what servers and stores keep. Each is followed by one core machine of those that are heard: all work out the same
 * one. Two at once do no harm.
 */
final class PrefixCacheIndexer {
    private static final long INTERVAL_MS = 100;
    private static final String WAIT_MS = "1000";

    /** Reads an answer as the reports it makes. */
    private interface ResponseParser {
        List<PrefixCacheUpdate> read(JsonObject answer);
    }

    private final LongSupplier clockMs;
    private final String self;
    private final Registry registry;
    private final Gossip gossip;
    private final Transport transport;
    private final ServerClient servers;
    private final PrefixCacheIndex prefixCacheIndex = new PrefixCacheIndex();
    private final Map<String, KvEventReader> followers = new HashMap<>();
    /** Reports to be sent with the next tick, by whom they go to: those to one process cost it one read. */
    private final Map<String, List<PrefixCacheUpdate>> unsent = new LinkedHashMap<>();

    private long nextAt;

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

    /** @param heard the other core machines that were heard of late */
    void onTick(long now, List<String> heard) {
        if (now < nextAt) {
            return;
        }
        nextAt = now + INTERVAL_MS;
        unsent.forEach((to, reports) -> reports.forEach(report -> transport.send(to, report)));
        unsent.clear();
        List<String> cores = new ArrayList<>(heard);
        cores.add(self);
        Map<String, Server> sources = sources();
        followers
                .keySet()
                .removeIf(id -> !sources.containsKey(id) || !follower(id, cores).equals(self));
        for (Server source : sources.values()) {
            if (follower(source.id(), cores).equals(self)) {
                ask(
                        now,
                        source,
                        followers.computeIfAbsent(source.id(), id -> new KvEventReader(id, System.nanoTime())));
            }
        }
    }

    private static String follower(String server, List<String> cores) {
        return Registry.rendezvousSelect(server, cores, 1).get(0);
    }

    /** The servers with a model, and the stores. */
    private Map<String, Server> sources() {
        Map<String, Server> all = new HashMap<>();
        for (Server server : registry.servers()) {
            boolean there = server.state() != RegistryEntry.State.GONE && server.state() != RegistryEntry.State.LOST;
            if (there && !server.model().isEmpty()) {
                all.put(server.id(), server);
            }
        }
        for (Configuration.Service service :
                registry.state().configuration().services().values()) {
            if (service.store() != null) {
                Server store = store(service);
                all.put(store.id(), store);
            }
        }
        return all;
    }

    private static Server store(Configuration.Service service) {
        return new Server(
                PrefixCacheIndex.storeId(service.store()),
                service.name(),
                service.store(),
                service.zone(),
                "",
                0,
                0,
                0,
                RegistryEntry.State.READY);
    }

    private void ask(long now, Server source, KvEventReader follower) {
        switch (follower.nextCall(now)) {
            case EVENTS -> call(
                    source,
                    follower,
                    "/quartzspan/kv-events?since=" + follower.since(),
                    Map.of("Wait-Ms", WAIT_MS),
                    answer -> follower.onEvents(
                            clockMs.getAsLong(),
                            JsonFields.wholeNumber(answer, "epoch", 0),
                            JsonFields.wholeNumber(answer, "next_token", 0),
                            answer.getBoolean("lost", false),
                            blocks(answer.getJsonArray("events"), 2)));
            case LIST -> call(
                    source,
                    follower,
                    "/quartzspan/kv-list",
                    Map.of(),
                    answer -> List.of(follower.onList(
                            clockMs.getAsLong(),
                            JsonFields.wholeNumber(answer, "epoch", 0),
                            JsonFields.wholeNumber(answer, "next_token", 0),
                            blocks(answer.getJsonArray("held"), 0))));
            default -> {}
        }
    }

    /** An answer that can't be read counts as a failure: the follower must hear of every call's end, or it asks no more. */
    private void call(
            Server source, KvEventReader follower, String path, Map<String, String> headers, ResponseParser parser) {
        servers.get(source, path, headers, (status, body) -> publish(reports(follower, status, body, parser)));
    }

    private List<PrefixCacheUpdate> reports(KvEventReader follower, int status, byte[] body, ResponseParser parser) {
        if (status != 200) {
            return follower.onFailure(clockMs.getAsLong());
        }
        try {
            return parser.read(JsonFields.parse(body));
        } catch (FleetException | ClassCastException | NullPointerException | IndexOutOfBoundsException unreadable) {
            return follower.onFailure(clockMs.getAsLong());
        }
    }

    /** Blocks as [salt, ID, tokens, model], after {@code skip} other fields. */
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

    private void publish(List<PrefixCacheUpdate> reports) {
        Set<String> to = new LinkedHashSet<>(gossip.cores());
        to.addAll(gossip.subscribers());
        for (PrefixCacheUpdate report : reports) {
            prefixCacheIndex.apply(clockMs.getAsLong(), report);
            to.forEach(other -> send(other, report));
        }
    }

    private void send(String to, PrefixCacheUpdate report) {
        unsent.computeIfAbsent(to, other -> new ArrayList<>()).add(report);
    }

    /** Another process's report or question. */
    void received(String from, boolean fromCore, PrefixCacheUpdate update) {
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
            gossip.subscribers().stream().filter(a -> !cores.contains(a)).forEach(to -> send(to, update));
        }
    }
}
