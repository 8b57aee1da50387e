package quartzspan.replication;

import java.util.SplittableRandom;

/** What the role objects of a replica share: its name, the time of the current event, random numbers, and the output. */
final class ReplicaContext {
    private final String self;
    private final int losses;
    private final SplittableRandom random;
    private final Replica.Output output;
    private long now;
    private CandidateState candidate;

    ReplicaContext(String self, int losses, long seed, long now, Replica.Output output) {
        this.self = self;
        this.losses = losses;
        this.random = new SplittableRandom(seed);
        this.now = now;
        this.output = output;
    }

    String self() {
        return self;
    }

    /** How many replicas may be lost at once. */
    int losses() {
        return losses;
    }

    long now() {
        return now;
    }

    void advance(long to) {
        now = to;
    }

    long randomLong() {
        return random.nextLong();
    }

    long randomBelow(long bound) {
        return random.nextLong(bound);
    }

    void send(String to, ReplicaMessage message) {
        output.send(to, message);
    }

    /** The election in progress; null if there is none. */
    CandidateState candidate() {
        return candidate;
    }

    void setCandidate(CandidateState current) {
        candidate = current;
    }

    /** Whether an election is still the one in progress, for completions that come later. */
    boolean isCurrent(CandidateState election) {
        return candidate == election;
    }
}
