package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.Settings;
import quartzspan.registry.CoreMachine;
import quartzspan.registry.DepartureLog;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;

/**
 * What a core machine knows of the fleet and does about it, apart from its I/O: the registry, its gossip with other processes,
 * the failure detector, the acknowledgement of draining servers, and the rollout of weights. Times are milliseconds of a steady
 * clock.
 */
final class CoreNode {
    private static final Logger LOG = LoggerFactory.getLogger(CoreNode.class);
    /** No server or proxy is declared lost while the local state is older than this. */
    private static final long MAX_STALENESS_MS = 1_000;
    /** A core machine from which no message has arrived for this long counts as unreachable. */
    private static final long CORE_TIMEOUT_MS = 1_500;

    private final int toleratedFailures;
    private final Replica replica;
    private final Registry registry;
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final DepartureLog departureLog;
    private final DepartureCatchUp departureCatchUp;
    private final DrainAcknowledger drainAcknowledger;
    private final RolloutActions rolloutActions;
    private final HeartbeatHandler heartbeatHandler;
    /** Messages to the other core machines are sent directly. */
    private final Gossip.Sender sender;
    /** Time of the last message of each other core machine, by internal address. */
    private final Map<String, Long> lastCoreMessageAtMs = new HashMap<>();

    /**
     * @param self internal address of this machine
     * @param seeds internal addresses of the initial core machines
     * @param storedDepartures what the disk has of departed servers
     * @param departureOutput writes to the disk; its results go to {@link #onDepartureRecordPersisted}
     * @param gossipSeed seed of the first nonce, different at each start
     */
    CoreNode(
            Settings settings,
            String self,
            List<String> seeds,
            LongSupplier clockMs,
            ReplicaAccess replicaAccess,
            Gossip.Sender sender,
            ServerCalls serverCalls,
            StoredDepartures storedDepartures,
            DepartureLog.Output departureOutput,
            long gossipSeed) {
        this.toleratedFailures = settings.toleratedFailures();
        this.replica = replicaAccess.replica();
        this.sender = sender;
        this.registry = new Registry(settings.bounds().versionApplyMs());
        this.heartbeats = new HeartbeatTracker(registry, settings.heartbeatMs());
        this.gossip = new Gossip(self, true, seeds, registry, sender, Gossip.firstNonce(gossipSeed));
        this.departureLog = new DepartureLog(
                clockMs.getAsLong(),
                registry,
                storedDepartures.records(),
                storedDepartures.complete(),
                departureOutput);
        gossip.acknowledgeOnceDurable(departureLog);
        this.departureCatchUp =
                new DepartureCatchUp(self, gossip, departureLog, replica::membership, storedDepartures.firstStart());
        this.drainAcknowledger = new DrainAcknowledger(gossip);
        this.heartbeatHandler =
                new HeartbeatHandler(registry, heartbeats, gossip, this::freshAtMs, departureCatchUp::isCaughtUp);
        this.rolloutActions = new RolloutActions(
                settings, self, clockMs, replicaAccess, heartbeats, gossip, serverCalls, registry.weightsDeadlines());
    }

    Registry registry() {
        return registry;
    }

    Gossip gossip() {
        return gossip;
    }

    HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    DrainAcknowledger drainAcknowledger() {
        return drainAcknowledger;
    }

    /** Registers this machine itself. */
    void register(long now, CoreMachine self) {
        registry.merge(now, self.entry());
    }

    /** Runs timers; to be called about every 50 ms, after those of the replica. */
    void onTick(long now) {
        freshAtMs();
        gossip.onTick(now, replica.isPrimary() ? null : replica.knownPrimary(now));
        departureCatchUp.onTick(now);
        departureLog.onTick(now);
        reportHeartbeats(now);
        expireUnresponsive(now);
        registry.expire(now);
        drainAcknowledger.onTick(now);
        rolloutActions.onTick(now, registry);
    }

    /**
     * Time at which the local state was last known to be the latest. On a primary, a quorum may have confirmed it since the
     * last tick.
     */
    long freshAtMs() {
        if (replica.isPrimary()) {
            registry.confirmFresh(replica.confirmedAtMs());
        }
        return registry.freshAtMs();
    }

    /** Reports to the other core machines which servers and proxies have sent messages to this one. */
    private void reportHeartbeats(long now) {
        List<RegistryEntry> unreported = heartbeats.takeUnreported(now);
        if (!unreported.isEmpty()) {
            GossipMessage report = GossipMessage.heartbeats(unreported);
            gossip.cores().forEach(core -> sender.send(core, report));
        }
    }

    private void expireUnresponsive(long now) {
        if (now - freshAtMs() > MAX_STALENESS_MS) {
            heartbeats.restartTimeouts(now);
            return;
        }
        List<RegistryEntry> lost = heartbeats.expireTimedOut(now);
        if (!lost.isEmpty()) {
            LOG.info("lost: {}", lost.stream().map(RegistryEntry::key).toList());
            gossip.broadcast(now, new Registry.Update(lost, false), null);
        }
    }

    /** Whether a server has deregistered. */
    boolean isDeregistered(String server) {
        RegistryEntry entry = registry.entry(RegistryEntry.Subject.SERVER, server);
        return entry != null && entry.state() == RegistryEntry.State.GONE;
    }

    /** The other core machines from which messages arrive. */
    List<String> reachableCores(long now) {
        lastCoreMessageAtMs.values().removeIf(at -> now - at > CORE_TIMEOUT_MS);
        return new ArrayList<>(lastCoreMessageAtMs.keySet());
    }

    /** A message of any kind has arrived from another core machine. */
    void onCoreMessage(long now, String from) {
        lastCoreMessageAtMs.put(from, now);
    }

    /**
     * Processes a gossip message.
     *
     * @param proxyZone the sender's zone if it is a proxy; null if it is a core machine
     */
    void onGossip(long now, String from, String proxyZone, GossipMessage message) {
        if (message.kind() == GossipMessage.Kind.HEARTBEATS) {
            heartbeats.onPeerReport(now, message.entries());
            return;
        }
        if (proxyZone == null && message.kind() == GossipMessage.Kind.QUERY && !departureLog.isComplete()) {
            // A reply would count as all departures that this machine has confirmed, but its disk was lost.
            return;
        }
        if (proxyZone != null) {
            RegistryEntry joined = heartbeats.onProxyMessage(now, from, proxyZone);
            if (joined != null) {
                gossip.broadcast(now, joined);
            }
        }
        gossip.onGossip(now, from, message);
    }

    /** The replica has committed a state. */
    void onStateCommitted(long now, long index, ControlState state) {
        if (registry.publish(index, state)) {
            gossip.onPublished(now);
        }
    }

    /** A record of departed servers is on disk, or could not be written. Records are reported in order. */
    void onDepartureRecordPersisted(long now, boolean durable) {
        departureLog.onPersisted(now, durable);
    }

    /** Whether these core machines are enough to hold the entry of a server that leaves, so that it can be acknowledged. */
    boolean isDepartureDurable(Set<String> holders) {
        return DepartureQuorum.isDurable(replica.membership(), toleratedFailures, holders);
    }
}
