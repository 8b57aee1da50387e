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
    private record Standby(long since, long heardAt) {}

    private final String self;
    private final long startedAt;
    private final Map<String, Long> heardAt = new TreeMap<>();
    private final Map<String, Standby> standbys = new TreeMap<>();
    private final Map<String, Long> leaving = new TreeMap<>();

    PeerLiveness(String self, long startedAt) {
        this.self = self;
        this.startedAt = startedAt;
    }

    void onMessageFrom(long now, String name) {
        heardAt.put(name, now);
    }

    /** Time since a replica was heard, by this one or by a primary that reported it. */
    long sinceHeardMs(long now, String name) {
        return name.equals(self) ? 0 : now - heardAt.getOrDefault(name, startedAt);
    }

    /** Learns how long ago another replica heard the others. */
    void learnSinceHeard(long now, Map<String, Long> sinceHeard) {
        sinceHeard.forEach((name, elapsedMs) -> heardAt.merge(name, now - elapsedMs, Math::max));
    }

    Map<String, Long> allSinceHeardMs(long now, Collection<String> names) {
        Map<String, Long> all = new TreeMap<>();
        names.forEach(name -> all.put(name, sinceHeardMs(now, name)));
        return all;
    }

    void onStandby(long now, String name) {
        Standby known = standbys.get(name);
        boolean steady = known != null && now - known.heardAt() <= STANDBY_TIMEOUT_MS;
        standbys.put(name, new Standby(steady ? known.since() : now, now));
    }

    /** Replicas that ask to be taken in and have no vote. */
    List<String> standbys(long now, Membership membership) {
        standbys.values().removeIf(standby -> now - standby.heardAt() > STANDBY_TIMEOUT_MS);
        return standbys.keySet().stream()
                .filter(name ->
                        !membership.electorate().contains(name) && !leaving(now).contains(name))
                .toList();
    }

    /** How long a replica has been a standby without a break. */
    long standbyForMs(long now, String name) {
        Standby standby = standbys.get(name);
        return standby == null ? 0 : now - standby.since();
    }

    void onLeaving(long now, String name) {
        leaving.put(name, now);
    }

    /** Replicas that are about to end. */
    Set<String> leaving(long now) {
        leaving.values().removeIf(at -> now - at > LEAVING_TIMEOUT_MS);
        return new TreeSet<>(leaving.keySet());
    }
}
