package quartzspan.replication;

import java.util.SplittableRandom;

/** What the role objects of a replica share: its name, the time of the current event, random numbers, and the output. */
final class ReplicaContext {
    private final String self;
    private final int toleratedFailures;
    private final SplittableRandom random;
    private final Replica.Output output;
    private long nowMs;
    private CandidateState candidate;

    ReplicaContext(String self, int toleratedFailures, long randomSeed, long nowMs, Replica.Output output) {
        this.self = self;
        this.toleratedFailures = toleratedFailures;
        this.random = new SplittableRandom(randomSeed);
        this.nowMs = nowMs;
        this.output = output;
    }

    String self() {
        return self;
    }

    /** How many replicas may be lost at once. */
    int toleratedFailures() {
        return toleratedFailures;
    }

    long nowMs() {
        return nowMs;
    }

    void advance(long toMs) {
        nowMs = toMs;
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
