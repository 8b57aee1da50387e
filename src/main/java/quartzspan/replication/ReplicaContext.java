package quartzspan.replication;

import java.util.SplittableRandom;

/** State shared by the role objects of a replica: its name, the time of the current event, random numbers, the output. */
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

    /** Number of replicas that may fail at the same time. */
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

    /** Whether an election is still in progress; checked by completions that may arrive after its end. */
    boolean isCurrent(CandidateState election) {
        return candidate == election;
    }
}
