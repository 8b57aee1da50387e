package quartzspan.replication;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** When each other replica was last heard, which ones are standbys without a vote, and which ones are about to end. */
final class PeerLiveness {
    /** A standby asks every {@link Timing#RETRY_MS}; after some of these without a request it is not counted on. */
    private static final long STANDBY_TIMEOUT_MS = 1_000;
    /** A replica that ends says so every {@link Timing#RETRY_MS}; so long after the last time it has ended or come back. */
    private static final long LEAVING_TIMEOUT_MS = 1_000;

    /** Since when a replica has been a standby, and when it last said so. */
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

    /** Time since a replica was heard, by this one or by a primary that reported it. */
    long sinceLastContactMs(long nowMs, String name) {
        return name.equals(self) ? 0 : nowMs - lastContactAtMs.getOrDefault(name, startedAtMs);
    }

    /** Learns how long ago another replica heard the others. */
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

    /** Replicas that ask to be taken in and have no vote. */
    List<String> standbys(long nowMs, Membership membership) {
        standbys.values().removeIf(standby -> nowMs - standby.lastContactAtMs() > STANDBY_TIMEOUT_MS);
        return standbys.keySet().stream()
                .filter(name -> !membership.electorate().contains(name)
                        && !leaving(nowMs).contains(name))
                .toList();
    }

    /** How long a replica has been a standby without a break. */
    long standbyDurationMs(long nowMs, String name) {
        Standby standby = standbys.get(name);
        return standby == null ? 0 : nowMs - standby.sinceMs();
    }

    void onLeaving(long nowMs, String name) {
        leaving.put(name, nowMs);
    }

    /** Replicas that are about to end. */
    Set<String> leaving(long nowMs) {
        leaving.values().removeIf(at -> nowMs - at > LEAVING_TIMEOUT_MS);
        return new TreeSet<>(leaving.keySet());
    }
}
