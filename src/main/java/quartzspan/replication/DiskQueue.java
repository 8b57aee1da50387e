package quartzspan.replication;

import java.util.TreeMap;

/** Records on their way to the disk, which takes them in order and reports each once it is durable or refused. */
final class DiskQueue {
    /** Called once a record is durable or refused. */
    interface Completion {
        void done(boolean durable);
    }

    private final Replica.Output output;
    private final TreeMap<Long, Completion> pending = new TreeMap<>();
    private long lastNumber;
    /** Since when the oldest record has been waiting. */
    private long oldestSinceMs;

    DiskQueue(Replica.Output output) {
        this.output = output;
    }

    void write(long now, byte[] record, Completion completion) {
        if (pending.isEmpty()) {
            oldestSinceMs = now;
        }
        lastNumber++;
        pending.put(lastNumber, completion);
        output.persist(lastNumber, record);
    }

    void onPersisted(long now, long number, boolean durable) {
        Completion completion = pending.remove(number);
        oldestSinceMs = now;
        if (completion != null) {
            completion.done(durable);
        }
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    /** How long the oldest record has been waiting; 0 if there is none. */
    long waitingFor(long now) {
        return pending.isEmpty() ? 0 : now - oldestSinceMs;
    }
}
