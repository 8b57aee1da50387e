package quartzspan.replication;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Tracks the last contact with each other replica, the standbys, and the replicas that are about to shut down. */
final class PeerLiveness {
    /** Standbys send a request every {@link Timing#RETRY_MS}; one that has missed several in a row is no longer counted. */
    private static final long STANDBY_TIMEOUT_MS = 1_000;
    /**
     * A replica that shuts down announces it every {@link Timing#RETRY_MS}; this long after the last announcement it has ended or
     * has been restarted.
     */
    private static final long LEAVING_TIMEOUT_MS = 1_000;

    /** Start of a replica's time as a standby, and the time of its last request. */
    private record Standby(long sinceMs, long lastContactAtMs) {}

    private final String self;
    private final long startedAtMs;
    private final Map<String, Long> lastContactAtMs = new TreeMap<>();
    private final Map<String, Standby> standbys = new TreeMap<>();
    private final Map<String, Long> leaving = new TreeMap<>();

    PeerLiveness(String self, long startedAtMs) {
        this.self = self;
        this.startedAtMs = startedAtMs;
    }

    void onMessageFrom(long nowMs, String name) {
        lastContactAtMs.put(name, nowMs);
    }

    /** Time since the last contact with a replica, by this replica or as reported by a primary. */
    long sinceLastContactMs(long nowMs, String name) {
        return name.equals(self) ? 0 : nowMs - lastContactAtMs.getOrDefault(name, startedAtMs);
    }

    /** Merges the contact times that another replica reports. */
    void mergeReportedContacts(long nowMs, Map<String, Long> sinceLastContact) {
        sinceLastContact.forEach(
                (name, sinceContactMs) -> lastContactAtMs.merge(name, nowMs - sinceContactMs, Math::max));
    }

    Map<String, Long> allSinceLastContactMs(long nowMs, Collection<String> names) {
        Map<String, Long> all = new TreeMap<>();
        names.forEach(name -> all.put(name, sinceLastContactMs(nowMs, name)));
        return all;
    }

    void onStandby(long nowMs, String name) {
        Standby known = standbys.get(name);
        boolean stillStandby = known != null && nowMs - known.lastContactAtMs() <= STANDBY_TIMEOUT_MS;
        standbys.put(name, new Standby(stillStandby ? known.sinceMs() : nowMs, nowMs));
    }

    /** Replicas without a vote that request to join and are not about to shut down. */
    List<String> standbys(long nowMs, Membership membership) {
        standbys.values().removeIf(standby -> nowMs - standby.lastContactAtMs() > STANDBY_TIMEOUT_MS);
        return standbys.keySet().stream()
                .filter(name -> !membership.electorate().contains(name)
                        && !leaving(nowMs).contains(name))
                .toList();
    }

    /** Time for which a replica has been a standby without interruption. */
    long standbyDurationMs(long nowMs, String name) {
        Standby standby = standbys.get(name);
        return standby == null ? 0 : nowMs - standby.sinceMs();
    }

    void onLeaving(long nowMs, String name) {
        leaving.put(name, nowMs);
    }

    /** Replicas that are about to shut down. */
    Set<String> leaving(long nowMs) {
        leaving.values().removeIf(at -> nowMs - at > LEAVING_TIMEOUT_MS);
        return new TreeSet<>(leaving.keySet());
    }
}
