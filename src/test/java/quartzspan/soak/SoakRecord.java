package quartzspan.soak;

import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was seen in a soak. Filled by many threads; read when all is over. */
final class SoakRecord {
    /** How a client's request ended. */
    enum End {
        /** With a complete answer. */
        ANSWERED,
        /** With the end of the connection. */
        CUT,
        /** The client gave up waiting. */
        SILENT
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
            End end,
            int status,
            String body) {}

    /** A request that has reached a server. */
    record Arrival(String attemptId, String server, long atMs) {}

    /** A request that a server has run, until it was complete or broken off. */
    record Run(String attemptId, String server, String tenant, long weights, long beganAtMs, long endedAtMs) {}

    /** Something that was done to a process. {@code planned}: it is no trouble, and nothing may be lost by it. */
    record Disturbance(String kind, String process, boolean core, boolean planned, long beganAtMs, long endedAtMs) {
        boolean overlaps(long fromMs, long toMs) {
            return beganAtMs <= toMs && endedAtMs >= fromMs;
        }
    }

    /** A naming of weights, as acknowledged. */
    record Naming(long version, long acknowledgedAtMs) {}

    /** A key that was taken away, as acknowledged. */
    record Revocation(String key, long acknowledgedAtMs) {}

    /** A server that leaves, as acknowledged. */
    record Drain(String server, long acknowledgedAtMs) {}

    /** An order that a server got. */
    record ServerOrder(String server, String holder, long fencingToken, long atMs) {}

    final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();
    final Queue<Naming> namings = new ConcurrentLinkedQueue<>();
    final Queue<Revocation> revocations = new ConcurrentLinkedQueue<>();
    final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    final Queue<ServerOrder> orders = new ConcurrentLinkedQueue<>();
    /** What is wrong by itself, whatever else was seen. */
    final Queue<String> faults = new ConcurrentLinkedQueue<>();

    /** Whether anything but planned work struck a process, or the core, in a span of time. */
    boolean isTroubled(String process, long fromMs, long toMs) {
        return disturbances.stream()
                .filter(disturbance -> !disturbance.planned())
                .filter(disturbance ->
                        disturbance.core() || disturbance.process().equals(process))
                .anyMatch(disturbance -> disturbance.overlaps(fromMs, toMs));
    }

    /** When the core was disturbed, planned or not, for the last time before a moment; 0 if never. */
    long coreDisturbedUntilMs(long beforeMs) {
        return disturbances.stream()
                .filter(disturbance -> disturbance.core() && disturbance.beganAtMs() <= beforeMs)
                .mapToLong(Disturbance::endedAtMs)
                .max()
                .orElse(0);
    }

    static <T> List<T> copy(Collection<T> seen) {
        return List.copyOf(seen);
    }
}
