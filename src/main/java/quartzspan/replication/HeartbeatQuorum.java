package quartzspan.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The heartbeats of a primary, and up to which of them a quorum has acknowledged its epoch. Whatever was sent before the last
 * confirmed heartbeat was sent by the only primary.
 */
final class HeartbeatQuorum {
    private static final int MAX_HEARTBEATS_KEPT = 64;

    private final String self;
    private long nonce;
    private final TreeMap<Long, Long> sentAtMs = new TreeMap<>();
    private final Map<String, Long> acknowledgedNonces = new HashMap<>();
    private long confirmedNonce;
    private long confirmedAtMs = Long.MIN_VALUE / 2;

    HeartbeatQuorum(String self) {
        this.self = self;
    }

    /** Number of the last heartbeat that was sent. */
    long nonce() {
        return nonce;
    }

    /** Number of the last heartbeat that a quorum has acknowledged. */
    long confirmedNonce() {
        return confirmedNonce;
    }

    /** When the last heartbeat that a quorum has acknowledged was sent; far in the past if there is none. */
    long confirmedAtMs() {
        return confirmedAtMs;
    }

    /** The next heartbeat is being sent; returns its number. */
    long send(long nowMs) {
        nonce++;
        sentAtMs.put(nonce, nowMs);
        while (sentAtMs.size() > MAX_HEARTBEATS_KEPT) {
            sentAtMs.pollFirstEntry();
        }
        return nonce;
    }

    void acknowledge(String from, long acknowledgedNonce) {
        acknowledgedNonces.merge(from, acknowledgedNonce, Math::max);
    }

    /** Counts whose acknowledgements make a quorum. */
    void update(Membership membership) {
        long confirmed = confirmedNonce;
        for (long candidate : acknowledgedNonces.values()) {
            confirmed = candidate > confirmed && isConfirmed(candidate, membership) ? candidate : confirmed;
        }
        confirmed = isConfirmed(nonce, membership) ? nonce : confirmed;
        if (confirmed > confirmedNonce) {
            confirmedNonce = confirmed;
            Map.Entry<Long, Long> sent = sentAtMs.floorEntry(confirmed);
            confirmedAtMs = sent == null ? confirmedAtMs : Math.max(confirmedAtMs, sent.getValue());
        }
    }

    private boolean isConfirmed(long atNonce, Membership membership) {
        Set<String> replicas = new HashSet<>();
        replicas.add(self);
        acknowledgedNonces.forEach((name, acknowledged) -> {
            if (acknowledged >= atNonce) {
                replicas.add(name);
            }
        });
        return membership.isQuorum(replicas);
    }
}
