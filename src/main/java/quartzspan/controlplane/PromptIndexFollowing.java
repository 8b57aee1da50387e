package quartzspan.controlplane;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.promptindex.KvEventFollower;
import quartzspan.promptindex.PromptIndex;
import quartzspan.promptindex.PromptIndexUpdate;
import quartzspan.registry.Gossip;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.transport.Transport;

/**
 * Follows what servers and stores keep. Each is followed by one core machine of those that are heard: all work out the same
 * one. Two at once do no harm.
 */
final class PromptIndexFollowing {
    private static final long EVERY_MS = 100;
    private static final String WAIT_MS = "1000";

    /** Reads an answer as the reports it makes. */
    private interface Reading {
        List<PromptIndexUpdate> read(JsonObject answer);
    }

    private final LongSupplier clockMs;
    private final String self;
    private final Registry registry;
    private final Gossip gossip;
    private final Transport transport;
    private final ServerClient servers;
    private final PromptIndex promptIndex = new PromptIndex();
    private final Map<String, KvEventFollower> followers = new HashMap<>();
    private long nextAt;

    PromptIndexFollowing(
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
        nextAt = now + EVERY_MS;
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
                        followers.computeIfAbsent(source.id(), id -> new KvEventFollower(id, System.nanoTime())));
            }
        }
    }

    private static String follower(String server, List<String> cores) {
        return Registry.few(server, cores, 1).get(0);
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
                PromptIndex.store(service.store()),
                service.name(),
                service.store(),
                service.zone(),
                "",
                0,
                0,
                0,
                RegistryEntry.State.READY);
    }

    private void ask(long now, Server source, KvEventFollower follower) {
        switch (follower.due(now)) {
            case EVENTS -> call(
                    source,
                    follower,
                    "/quartzspan/kv-events?since=" + follower.since(),
                    Map.of("Wait-Ms", WAIT_MS),
                    answer -> follower.events(
                            clockMs.getAsLong(),
                            Configuration.whole(answer, "epoch", 0),
                            Configuration.whole(answer, "next_token", 0),
                            answer.getBoolean("lost", false),
                            parts(answer.getJsonArray("events"), 2)));
            case LIST -> call(
                    source,
                    follower,
                    "/quartzspan/kv-list",
                    Map.of(),
                    answer -> List.of(follower.list(
                            clockMs.getAsLong(),
                            Configuration.whole(answer, "epoch", 0),
                            Configuration.whole(answer, "next_token", 0),
                            parts(answer.getJsonArray("held"), 0))));
            default -> {}
        }
    }

    /** An answer that can't be read counts as a failure: the follower must hear of every call's end, or it asks no more. */
    private void call(
            Server source, KvEventFollower follower, String path, Map<String, String> headers, Reading reading) {
        servers.get(source, path, headers, (status, body) -> publish(reports(follower, status, body, reading)));
    }

    private List<PromptIndexUpdate> reports(KvEventFollower follower, int status, byte[] body, Reading reading) {
        if (status != 200) {
            return follower.failed(clockMs.getAsLong());
        }
        try {
            return reading.read(Configuration.json(body));
        } catch (FleetException | ClassCastException | NullPointerException | IndexOutOfBoundsException unreadable) {
            return follower.failed(clockMs.getAsLong());
        }
    }

    /** Parts as [salt, ID, tokens, model], after {@code skip} other fields. */
    private static List<KvEventFollower.Event> parts(JsonArray all, int skip) {
        List<KvEventFollower.Event> parts = new ArrayList<>();
        for (JsonArray part : all.getValuesAs(JsonArray.class)) {
            parts.add(new KvEventFollower.Event(
                    part.getString(skip), part.getString(skip + 1), part.getInt(skip + 2), part.getString(skip + 3)));
        }
        return parts;
    }

    private void publish(List<PromptIndexUpdate> reports) {
        Set<String> to = new LinkedHashSet<>(gossip.cores());
        to.addAll(gossip.askers());
        for (PromptIndexUpdate report : reports) {
            promptIndex.take(clockMs.getAsLong(), report);
            to.forEach(other -> transport.send(other, report));
        }
    }

    /** Another process's report or question. */
    void received(String from, boolean fromCore, PromptIndexUpdate update) {
        if (update.kind() == PromptIndexUpdate.Kind.ASK) {
            PromptIndexUpdate whole = promptIndex.whole(update.server());
            if (whole != null) {
                transport.send(from, whole);
            }
            return;
        }
        if (promptIndex.take(clockMs.getAsLong(), update)) {
            transport.send(
                    from,
                    new PromptIndexUpdate(PromptIndexUpdate.Kind.ASK, update.server(), 0, 0, new long[0], new int[0]));
        } else if (fromCore) {
            List<String> cores = gossip.cores();
            gossip.askers().stream().filter(a -> !cores.contains(a)).forEach(to -> transport.send(to, update));
        }
    }
}
