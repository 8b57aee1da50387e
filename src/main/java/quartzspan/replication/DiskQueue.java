package quartzspan.replication;

import java.util.TreeMap;

/** Pending disk writes. Records are written in order, and each is reported once it is durable or has failed. */
final class DiskQueue {
    /** Called once a record is durable or its write has failed. */
    interface Completion {
        void done(boolean durable);
    }

    private final Replica.Output output;
    private final TreeMap<Long, Completion> pending = new TreeMap<>();
    private long lastRecordNumber;
    /** Time since which the oldest record has been waiting. */
    private long oldestWaitingSinceMs;

    DiskQueue(Replica.Output output) {
        this.output = output;
    }

    void write(long nowMs, byte[] record, Completion completion) {
        if (pending.isEmpty()) {
            oldestWaitingSinceMs = nowMs;
        }
        lastRecordNumber++;
        pending.put(lastRecordNumber, completion);
        output.persist(lastRecordNumber, record);
    }

    void onPersisted(long nowMs, long recordNumber, boolean durable) {
        Completion completion = pending.remove(recordNumber);
        oldestWaitingSinceMs = nowMs;
        if (completion != null) {
            completion.done(durable);
        }
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    /** Waiting time of the oldest pending record; 0 if there is none. */
    long oldestWriteAgeMs(long nowMs) {
        return pending.isEmpty() ? 0 : nowMs - oldestWaitingSinceMs;
    }
}
