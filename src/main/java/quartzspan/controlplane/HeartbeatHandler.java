package quartzspan.controlplane;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import quartzspan.common.FleetException;
import quartzspan.configuration.JsonFields;
import quartzspan.registry.Gossip;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/** Applies the heartbeats and deregistrations of servers to the registry. No clock, no I/O; times are milliseconds of a steady clock. */
final class HeartbeatHandler {
    /**
     * After being disconnected from the rest of the core for longer than this, a machine applies heartbeats but rejects them:
     * the other machines would declare a server lost that sends its heartbeats only to this one. This time plus two heartbeat
     * intervals must be shorter than the timeout after which they do.
     */
    static final long MAX_STALENESS_MS = 1_200;
    /** The most servers that are registered, with those that have ended lately. Several times the largest fleet. */
    static final int MAX_SERVERS = 16_384;
    /** The longest id, service, address, zone or model of a server, characters. */
    static final int MAX_TEXT_LENGTH = 256;
    /** Below the seq of every entry that a heartbeat makes. */
    private static final long LOWEST_SEQ = -1;

    private final Registry registry;
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final LongSupplier freshAtMs;
    private final LongPredicate knowsDepartures;

    /**
     * @param freshAtMs time at which the local state was last known to be the latest
     * @param knowsDepartures whether this machine knows at a time all servers that have left
     */
    HeartbeatHandler(
            Registry registry,
            HeartbeatTracker heartbeats,
            Gossip gossip,
            LongSupplier freshAtMs,
            LongPredicate knowsDepartures) {
        this.freshAtMs = freshAtMs;
        this.knowsDepartures = knowsDepartures;
        this.registry = registry;
        this.heartbeats = heartbeats;
        this.gossip = gossip;
    }

    /**
     * Applies a heartbeat.
     *
     * @return the entry that other core machines must have before the heartbeat is acknowledged; null if none
     * @throws FleetException if the server has to call another machine
     */
    RegistryEntry onHeartbeat(long now, String id, byte[] body) {
        checkRoom(id);
        JsonObject json = JsonFields.parse(body);
        boolean draining = json.getString("state", "ready").equals("draining");
        Server reported = parseServer(now, id, json);
        if (!draining) {
            checkMayBeReady(now, reported);
        }
        RegistryEntry update = heartbeats.onServerHeartbeat(
                now,
                id,
                JsonFields.wholeNumber(json, "call_count", 0),
                draining ? RegistryEntry.State.DRAINING : RegistryEntry.State.READY,
                reported);
        if (draining) {
            return update != null ? update : registry.entry(RegistryEntry.Subject.SERVER, id);
        }
        if (update != null) {
            gossip.broadcast(now, update);
        }
        if (now - freshAtMs.getAsLong() > MAX_STALENESS_MS) {
            throw new FleetException(
                    FleetException.Code.NOT_PRIMARY,
                    "this core machine is disconnected from the others",
                    "call another core machine");
        }
        return null;
    }

    /** Applies a deregistration; returns the entry that other core machines must have before it is acknowledged. */
    RegistryEntry onDeregistration(long now, String id) {
        checkRoom(id);
        RegistryEntry update = heartbeats.onDeregistered(now, id);
        return update != null ? update : registry.entry(RegistryEntry.Subject.SERVER, id);
    }

    /**
     * Rejects a server that this machine does not know as ready while it may lack departures: the heartbeat may be a delayed one,
     * sent before the server has left. Operators see an unknown server as {@code LOST}, in an entry that any other one supersedes.
     */
    private void checkMayBeReady(long now, Server reported) {
        RegistryEntry known = registry.entry(RegistryEntry.Subject.SERVER, reported.id());
        boolean becomesReady = known == null || known.state() == RegistryEntry.State.LOST;
        if (becomesReady && !knowsDepartures.test(now)) {
            if (known == null) {
                registry.merge(now, lostEntry(reported));
            }
            throw new FleetException(
                    FleetException.Code.NOT_PRIMARY,
                    "this core machine has started and does not know yet which servers have left",
                    "call another core machine, or retry in a moment");
        }
    }

    private static RegistryEntry lostEntry(Server reported) {
        return new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                reported.id(),
                LOWEST_SEQ,
                RegistryEntry.State.LOST,
                reported.encodeWith(reported.weightsVersion(), reported.loadingVersion()));
    }

    /** Rejects a server that would be one too many: its entry would be kept by every process of the fleet. */
    private void checkRoom(String id) {
        if (id.length() > MAX_TEXT_LENGTH) {
            throw invalidField("the id is too long");
        }
        if (registry.entry(RegistryEntry.Subject.SERVER, id) == null
                && registry.size(RegistryEntry.Subject.SERVER) >= MAX_SERVERS) {
            throw new FleetException(
                    FleetException.Code.REGISTRY_FULL,
                    MAX_SERVERS + " servers are registered",
                    "end what registers them; entries of ended servers are dropped after two minutes");
        }
    }

    private static FleetException invalidField(String reason) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "heartbeat is invalid: " + reason,
                "send service, address, zone, state, models and call_count as documented");
    }

    /** A text of a heartbeat; empty if it is missing. */
    private static String text(JsonObject json, String field) {
        String value = json.getString(field, "");
        if (value.length() > MAX_TEXT_LENGTH) {
            throw invalidField(field + " is too long");
        }
        return value;
    }

    /**
     * The server that a heartbeat describes. A server whose weights may not be used any more is registered as loading.
     */
    private Server parseServer(long now, String id, JsonObject json) {
        String model = "";
        long weights = 0;
        if (json.get("models") instanceof JsonArray models && !models.isEmpty()) {
            model = text(models.getJsonObject(0), "name");
            weights = JsonFields.wholeNumber(models.getJsonObject(0), "version", 0);
        }
        String text = Server.encode(
                text(json, "service"),
                text(json, "address"),
                text(json, "zone"),
                model,
                weights,
                weights == 0 ? 0 : registry.weightsDeadlines().requiredVersion(now, model));
        Server server =
                Server.of(new RegistryEntry(RegistryEntry.Subject.SERVER, id, 0, RegistryEntry.State.READY, text));
        if (server == null) {
            throw invalidField("a field is missing or invalid");
        }
        return server;
    }
}
