package quartzspan.replication;

import java.util.TreeMap;

/** Records on their way to the disk. The disk takes them in order and tells of each once it is durable or refused. */
final class DiskQueue {
    /** What follows once a record is durable or refused. */
    interface Completion {
        void done(boolean durable);
    }

    private final Replica.Out out;
    private final TreeMap<Long, Completion> pending = new TreeMap<>();
    private long lastNumber;
    /** Since when the oldest record has been waiting. */
    private long oldestSince;

    DiskQueue(Replica.Out out) {
        this.out = out;
    }

    void write(long now, byte[] record, Completion completion) {
        if (pending.isEmpty()) {
            oldestSince = now;
        }
        lastNumber++;
        pending.put(lastNumber, completion);
        out.persist(lastNumber, record);
    }

    void onPersisted(long now, long number, boolean durable) {
        Completion completion = pending.remove(number);
        oldestSince = now;
        if (completion != null) {
            completion.done(durable);
        }
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    /** How long the oldest record has been waiting; 0 if there is none. */
    long waitingFor(long now) {
        return pending.isEmpty() ? 0 : now - oldestSince;
    }
}
