package quartzspan.soak;

import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was seen in a soak. Filled by many threads; read when all is over. */
final class SoakRecord {
    /** How a client's request ended. */
    enum Outcome {
        /** With a complete answer. */
        COMPLETED,
        /** With the end of the connection. */
        DISCONNECTED,
        /** The client gave up waiting. */
        TIMED_OUT
    }

    /**
     * A client's request.
     *
     * @param sentAtMs when its last byte was written
     * @param status of the answer; 0 if there was none
     */
    record ClientRequest(
            String attemptId,
            String proxy,
            String path,
            String key,
            long sentAtMs,
            long endedAtMs,
            long deadlineMs,
            Outcome outcome,
            int status,
            String body) {}

    /** A request that has reached a server. */
    record Arrival(String attemptId, String server, long atMs) {}

    /** A request that a server has run, until it was complete or broken off. */
    record Execution(
            String attemptId, String server, String tenant, long weightsVersion, long startedAtMs, long endedAtMs) {}

    /** Something that was done to a process. {@code planned}: it is no trouble, and nothing may be lost by it. */
    record Disruption(String kind, String process, boolean core, boolean planned, long startedAtMs, long endedAtMs) {
        boolean overlaps(long fromMs, long toMs) {
            return startedAtMs <= toMs && endedAtMs >= fromMs;
        }
    }

    /** A naming of weights, as acknowledged. */
    record TargetVersion(long version, long acknowledgedAtMs) {}

    /** A key that was taken away, as acknowledged. */
    record Revocation(String key, long acknowledgedAtMs) {}

    /** A server that leaves, as acknowledged. */
    record Drain(String server, long acknowledgedAtMs) {}

    /** An order that a server got. */
    record ServerOrder(String server, String holder, long fencingToken, long atMs) {}

    final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    final Queue<Disruption> disruptions = new ConcurrentLinkedQueue<>();
    final Queue<TargetVersion> targetVersions = new ConcurrentLinkedQueue<>();
    final Queue<Revocation> revocations = new ConcurrentLinkedQueue<>();
    final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    final Queue<ServerOrder> orders = new ConcurrentLinkedQueue<>();
    /** What is wrong by itself, whatever else was seen. */
    final Queue<String> violations = new ConcurrentLinkedQueue<>();

    /** Whether anything but planned work struck a process, or the core, in a span of time. */
    boolean hadUnplannedDisruption(String process, long fromMs, long toMs) {
        return disruptions.stream()
                .filter(disruption -> !disruption.planned())
                .filter(disruption -> disruption.core() || disruption.process().equals(process))
                .anyMatch(disruption -> disruption.overlaps(fromMs, toMs));
    }

    /** When the core was disturbed, planned or not, for the last time before a moment; 0 if never. */
    long coreDisruptedUntilMs(long beforeMs) {
        return disruptions.stream()
                .filter(disruption -> disruption.core() && disruption.startedAtMs() <= beforeMs)
                .mapToLong(Disruption::endedAtMs)
                .max()
                .orElse(0);
    }

    static <T> List<T> copy(Collection<T> seen) {
        return List.copyOf(seen);
    }
}
