package quartzspan.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import quartzspan.common.FleetException;
import quartzspan.replication.ReplicaMessage.Kind;

/** Records what a replica sends, writes and completes; the test decides when each write is done. */
final class RecordingOutput implements Replica.Output {
    /** A message and its receiver. */
    record Sent(String to, ReplicaMessage message) {}

    /** A result of a request; {@code rejection} is null on success. */
    record Completed(long requestId, FleetException rejection, ControlState state) {}

    /** A reported commit. */
    record Committed(long index, ControlState state) {}

    private final List<Sent> sent = new ArrayList<>();
    private final Queue<Long> pendingWrites = new ArrayDeque<>();
    private final List<byte[]> records = new ArrayList<>();
    private final List<Completed> completed = new ArrayList<>();
    private final List<Committed> committed = new ArrayList<>();
    private final List<String> results = new ArrayList<>();

    @Override
    public void send(String to, ReplicaMessage message) {
        sent.add(new Sent(to, message));
    }

    @Override
    public void persist(long recordNumber, byte[] record) {
        pendingWrites.add(recordNumber);
        records.add(record);
    }

    @Override
    public void completed(long requestId, FleetException rejection, ControlState state) {
        completed.add(new Completed(requestId, rejection, state));
        results.add(requestId + (rejection == null ? " accepted" : " " + rejection.code()));
    }

    @Override
    public void committed(long index, ControlState state, ChangeHistory history) {
        committed.add(new Committed(index, state));
        results.add("committed " + index);
    }

    /** All messages since the last {@link #clearSent}. */
    List<Sent> sent() {
        return sent;
    }

    void clearSent() {
        sent.clear();
    }

    /** The receivers of the messages of a kind, in the order of sending. */
    List<String> receivers(Kind kind) {
        return sent.stream()
                .filter(entry -> entry.message().kind() == kind)
                .map(Sent::to)
                .toList();
    }

    /** The last message of a kind; null if there is none. */
    ReplicaMessage last(Kind kind) {
        ReplicaMessage latest = null;
        for (Sent entry : sent) {
            latest = entry.message().kind() == kind ? entry.message() : latest;
        }
        return latest;
    }

    /** The last message of a kind to a receiver; null if there is none. */
    ReplicaMessage last(Kind kind, String to) {
        ReplicaMessage latest = null;
        for (Sent entry : sent) {
            latest = entry.message().kind() == kind && entry.to().equals(to) ? entry.message() : latest;
        }
        return latest;
    }

    /** Numbers of the writes that are not done. */
    Queue<Long> pendingWrites() {
        return pendingWrites;
    }

    /** All records written, done or not. */
    List<byte[]> records() {
        return records;
    }

    List<Completed> completed() {
        return completed;
    }

    List<Committed> committed() {
        return committed;
    }

    /** Completed requests and commits as text, in their order. */
    List<String> results() {
        return results;
    }
}
