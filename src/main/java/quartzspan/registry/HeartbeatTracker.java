package quartzspan.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Failure detector of a core machine: tracks the servers and proxies by their heartbeats and other messages. Only state changes
 * become registry entries; the heartbeats themselves are exchanged among the core machines only. Performs no I/O and reads no
 * clock.
 */
public final class HeartbeatTracker {
    /** Number of heartbeat intervals without a heartbeat after which a server counts as lost. */
    private static final double MAX_MISSED_HEARTBEATS = 3.7;
    /** Time without a message after which a proxy counts as lost. */
    private static final long PROXY_TIMEOUT_MS = 4_000;
    /** Minimum interval between reports of one proxy: it sends queries more often, and not every one needs to be reported. */
    private static final long PROXY_REPORT_INTERVAL_MS = 500;
    /** Time between reports to the other core machines. */
    private static final long REPORT_INTERVAL_MS = 200;
    /** Time between checks for servers and proxies that have timed out. */
    private static final long CHECK_INTERVAL_MS = 200;

    private record LastHeartbeat(long atMs, long count) {}

    private final Registry registry;
    private final long heartbeatMs;
    private final Map<String, LastHeartbeat> servers = new HashMap<>();
    private final Map<String, LastHeartbeat> proxies = new HashMap<>();
    /** Heartbeats received since the last report to the other core machines. */
    private final Map<String, RegistryEntry> unreported = new HashMap<>();

    private final Map<String, Long> proxyReportedAtMs = new HashMap<>();
    private long nextReportAtMs = Long.MIN_VALUE;
    private long nextCheckAtMs = Long.MIN_VALUE;

    public HeartbeatTracker(Registry registry, long heartbeatMs) {
        this.registry = registry;
        this.heartbeatMs = heartbeatMs;
    }

    /** Processes a server's heartbeat; returns the updated entry, or null if nothing changed. */
    public RegistryEntry onServerHeartbeat(
            long now, String id, long count, RegistryEntry.State state, Server reported) {
        LastHeartbeat last = servers.get(id);
        boolean late = last != null && count < last.count();
        if (late && state != RegistryEntry.State.DRAINING) {
            return null;
        }
        servers.put(id, new LastHeartbeat(now, late ? last.count() : count));
        unreported.put(id, new RegistryEntry(RegistryEntry.Subject.SERVER, id, count, state, ""));
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        // A heartbeat doesn't contain the version being loaded: it is kept until the server reports that version.
        Server previous = old == null ? null : Server.of(old);
        long loadingVersion = Math.max(reported.loadingVersion(), previous == null ? 0 : previous.loadingVersion());
        String text = reported.encodeWith(reported.weightsVersion(), loadingVersion);
        if (old != null && old.state() == state && old.text().equals(text)) {
            return null;
        }
        // A draining server never becomes ready again: an out-of-order heartbeat must not change its state.
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                id,
                Math.max(count, old == null ? 0 : old.seq() + 1),
                old != null && old.state() == RegistryEntry.State.DRAINING ? RegistryEntry.State.DRAINING : state,
                text);
        return registry.merge(now, next) ? next : null;
    }

    /** Processes a deregistration; returns the updated entry, or null if the server was already gone. */
    public RegistryEntry onDeregistered(long now, String id) {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        if (old != null && old.state() == RegistryEntry.State.GONE) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                id,
                old == null ? 1 : old.seq() + 1,
                RegistryEntry.State.GONE,
                old == null ? Server.encode("", "", "", "", 0, 0) : old.text());
        servers.remove(id);
        return registry.merge(now, next) ? next : null;
    }

    /**
     * Records the weights version that a server has reported; returns the updated entry, or null if nothing changed. The version
     * being loaded is kept until the server reports it.
     */
    public RegistryEntry onWeightsReported(long now, String id, long weightsVersion) {
        return updateWeights(now, id, weightsVersion, -1);
    }

    /** Records the weights version that a server is ordered to load; returns the updated entry, or null if nothing changed. */
    public RegistryEntry onLoadOrdered(long now, String id, long loadingVersion) {
        return updateWeights(now, id, -1, loadingVersion);
    }

    private RegistryEntry updateWeights(long now, String id, long weightsVersion, long loadingVersion) {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        Server previous = old == null ? null : Server.of(old);
        if (previous == null || old.state() == RegistryEntry.State.GONE) {
            return null;
        }
        String text = previous.encodeWith(
                weightsVersion < 0 ? previous.weightsVersion() : weightsVersion,
                loadingVersion < 0 ? previous.loadingVersion() : loadingVersion);
        if (old.text().equals(text)) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(RegistryEntry.Subject.SERVER, id, old.seq() + 1, old.state(), text);
        return registry.merge(now, next) ? next : null;
    }

    /** Processes a proxy's message; returns the updated entry, or null if nothing changed. */
    public RegistryEntry onProxyMessage(long now, String address, String zone) {
        proxies.put(address, new LastHeartbeat(now, 0));
        Long reportedAtMs = proxyReportedAtMs.get(address);
        if (reportedAtMs == null || now - reportedAtMs >= PROXY_REPORT_INTERVAL_MS) {
            proxyReportedAtMs.put(address, now);
            unreported.put(
                    "@" + address,
                    new RegistryEntry(RegistryEntry.Subject.PROXY, address, 0, RegistryEntry.State.READY, ""));
        }
        RegistryEntry old = registry.entry(RegistryEntry.Subject.PROXY, address);
        if (old != null && old.state() == RegistryEntry.State.READY) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.PROXY, address, old == null ? 1 : old.seq() + 1, RegistryEntry.State.READY, zone);
        return registry.merge(now, next) ? next : null;
    }

    /**
     * The servers and proxies from which messages were received since the last report to the other core machines; empty before the
     * next report is due.
     */
    public List<RegistryEntry> takeUnreported(long now) {
        if (now < nextReportAtMs) {
            return List.of();
        }
        nextReportAtMs = now + REPORT_INTERVAL_MS;
        List<RegistryEntry> all = List.copyOf(unreported.values());
        unreported.clear();
        return all;
    }

    /** Processes another core machine's report. */
    public void onPeerReport(long now, List<RegistryEntry> reported) {
        for (RegistryEntry entry : reported) {
            Map<String, LastHeartbeat> heartbeats = entry.subject() == RegistryEntry.Subject.SERVER ? servers : proxies;
            LastHeartbeat last = heartbeats.get(entry.key());
            if (last == null || entry.seq() >= last.count()) {
                heartbeats.put(entry.key(), new LastHeartbeat(now, entry.seq()));
            }
        }
    }

    /** Updates the entries of servers and proxies that have timed out. To be called only while connected to the rest of the core. */
    public List<RegistryEntry> expireTimedOut(long now) {
        if (now < nextCheckAtMs) {
            return List.of();
        }
        nextCheckAtMs = now + CHECK_INTERVAL_MS;
        List<RegistryEntry> expired = new ArrayList<>();
        for (RegistryEntry entry : registry.all(RegistryEntry.Subject.SERVER)) {
            boolean registered =
                    entry.state() == RegistryEntry.State.READY || entry.state() == RegistryEntry.State.DRAINING;
            if (registered && hasTimedOut(now, servers, entry.key(), (long) (heartbeatMs * MAX_MISSED_HEARTBEATS))) {
                // A draining server that timed out has stopped: it must not become ready again.
                RegistryEntry.State end = entry.state() == RegistryEntry.State.DRAINING
                        ? RegistryEntry.State.GONE
                        : RegistryEntry.State.LOST;
                expired.add(new RegistryEntry(entry.subject(), entry.key(), entry.seq() + 1, end, entry.text()));
            }
        }
        for (RegistryEntry entry : registry.all(RegistryEntry.Subject.PROXY)) {
            if (entry.state() == RegistryEntry.State.READY
                    && hasTimedOut(now, proxies, entry.key(), PROXY_TIMEOUT_MS)) {
                expired.add(new RegistryEntry(
                        entry.subject(), entry.key(), entry.seq() + 1, RegistryEntry.State.LOST, entry.text()));
            }
        }
        expired.removeIf(entry -> !registry.merge(now, entry));
        expired.forEach(entry -> proxyReportedAtMs.remove(entry.key()));
        forget(now, RegistryEntry.Subject.SERVER, servers);
        forget(now, RegistryEntry.Subject.PROXY, proxies);
        return expired;
    }

    /** Forgets processes that have long been silent and whose entries the registry has dropped. */
    private void forget(long now, RegistryEntry.Subject subject, Map<String, LastHeartbeat> heartbeats) {
        heartbeats
                .entrySet()
                .removeIf(heartbeat -> now - heartbeat.getValue().atMs() > Registry.TOMBSTONE_TTL_MS
                        && registry.entry(subject, heartbeat.getKey()) == null);
    }

    /** Starts the timeout now if no message from the process was received before. */
    private static boolean hasTimedOut(long now, Map<String, LastHeartbeat> heartbeats, String key, long timeoutMs) {
        LastHeartbeat last = heartbeats.computeIfAbsent(key, absent -> new LastHeartbeat(now, 0));
        return now - last.atMs() > timeoutMs;
    }

    /** Restarts all timeouts: no messages could be received while this machine was disconnected. */
    public void restartTimeouts(long now) {
        servers.replaceAll((key, last) -> new LastHeartbeat(now, last.count()));
        proxies.replaceAll((key, last) -> new LastHeartbeat(now, last.count()));
    }
}
