package quartzspan.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The replies to one step of an election, by replica. A reply does not count if another reply, or this replica itself, knows a
 * later generation of the sender's disk: the reply was sent before that disk was lost.
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

    /** All replies, including those that do not count. */
    Map<String, ReplicaMessage> byReplica() {
        return replies;
    }

    /** The replicas that granted the request of the step, without outdated replies. */
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
