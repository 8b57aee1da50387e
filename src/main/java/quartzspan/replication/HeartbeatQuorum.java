package quartzspan.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks which heartbeats of a primary a quorum has acknowledged. At the time an acknowledged heartbeat was sent, no other
 * replica was primary.
 */
final class HeartbeatQuorum {
    private static final int MAX_TRACKED_HEARTBEATS = 64;

    private final String self;
    private long lastSequence;
    private final TreeMap<Long, Long> sentAtMs = new TreeMap<>();
    private final Map<String, Long> acknowledgedSequences = new HashMap<>();
    private long confirmedSequence;
    private long confirmedAtMs = Long.MIN_VALUE / 2;

    HeartbeatQuorum(String self) {
        this.self = self;
    }

    /** Sequence number of the last heartbeat that was sent. */
    long lastSequence() {
        return lastSequence;
    }

    /** Sequence number of the last heartbeat that a quorum has acknowledged. */
    long confirmedSequence() {
        return confirmedSequence;
    }

    /** Time at which the last heartbeat acknowledged by a quorum was sent; far in the past if there is none. */
    long confirmedAtMs() {
        return confirmedAtMs;
    }

    /** Records that the next heartbeat is sent, and returns its sequence number. */
    long nextSequence(long nowMs) {
        lastSequence++;
        sentAtMs.put(lastSequence, nowMs);
        while (sentAtMs.size() > MAX_TRACKED_HEARTBEATS) {
            sentAtMs.pollFirstEntry();
        }
        return lastSequence;
    }

    void acknowledge(String from, long sequence) {
        acknowledgedSequences.merge(from, sequence, Math::max);
    }

    /** Finds the last heartbeat that a quorum of the membership has acknowledged. */
    void update(Membership membership) {
        long confirmed = confirmedSequence;
        for (long sequence : acknowledgedSequences.values()) {
            confirmed = sequence > confirmed && isConfirmed(sequence, membership) ? sequence : confirmed;
        }
        confirmed = isConfirmed(lastSequence, membership) ? lastSequence : confirmed;
        if (confirmed > confirmedSequence) {
            confirmedSequence = confirmed;
            Map.Entry<Long, Long> sentHeartbeat = sentAtMs.floorEntry(confirmed);
            confirmedAtMs = sentHeartbeat == null ? confirmedAtMs : Math.max(confirmedAtMs, sentHeartbeat.getValue());
        }
    }

    private boolean isConfirmed(long sequence, Membership membership) {
        Set<String> replicas = new HashSet<>();
        replicas.add(self);
        acknowledgedSequences.forEach((name, acknowledged) -> {
            if (acknowledged >= sequence) {
                replicas.add(name);
            }
        });
        return membership.isQuorum(replicas);
    }
}
