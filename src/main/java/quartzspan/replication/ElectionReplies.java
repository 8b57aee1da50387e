package quartzspan.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The replies to one step of an election, by replica. A reply does not count beside another one, or beside this replica's own
 * knowledge, that names a later generation of its sender's disk: it was given before that disk was lost.
 */
final class ElectionReplies {
    private final VoterState voter;
    private final Map<String, ReplicaMessage> replies = new TreeMap<>();

    ElectionReplies(VoterState voter) {
        this.voter = voter;
    }

    void put(String from, ReplicaMessage reply) {
        replies.put(from, reply);
    }

    void clear() {
        replies.clear();
    }

    boolean contains(String name) {
        return replies.containsKey(name);
    }

    /** All replies, also those that do not count. */
    Map<String, ReplicaMessage> byReplica() {
        return replies;
    }

    /** The replicas that granted what the step asks for. */
    Set<String> granting() {
        Set<String> all = new TreeSet<>();
        replies.forEach((name, reply) -> {
            if (reply.granted() && !isOutdated(name, reply)) {
                all.add(name);
            }
        });
        return all;
    }

    private boolean isOutdated(String name, ReplicaMessage reply) {
        long known = voter.generations().getOrDefault(name, 0L);
        return known > reply.generation()
                || replies.values().stream()
                        .anyMatch(other -> other.generations().getOrDefault(name, 0L) > reply.generation());
    }
}
