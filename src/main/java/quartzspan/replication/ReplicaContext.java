package quartzspan.replication;

import java.util.SplittableRandom;

/** What the parts of a replica share: its name, the time of the event at hand, chance, and where messages go. */
final class ReplicaContext {
    private final String self;
    private final int losses;
    private final SplittableRandom random;
    private final Replica.Out out;
    private long now;
    private CandidateState candidacy;

    ReplicaContext(String self, int losses, long seed, long now, Replica.Out out) {
        this.self = self;
        this.losses = losses;
        this.random = new SplittableRandom(seed);
        this.now = now;
        this.out = out;
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
        out.send(to, message);
    }

    /** The candidacy under way; null if there is none. */
    CandidateState candidacy() {
        return candidacy;
    }

    void setCandidacy(CandidateState current) {
        candidacy = current;
    }

    /** Whether a candidacy is still the one under way, for what completes later. */
    boolean isCurrent(CandidateState asked) {
        return candidacy == asked;
    }
}
