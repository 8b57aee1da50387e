package quartzspan.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The most recent changes of a control state, one for each index up to the newest, bounded in bytes and in number. A replica
 * whose state lies within the history is brought up to date with the changes alone; any other replica needs a snapshot.
 */
public final class ChangeHistory {
    /** Beyond this size retaining the entries costs more than sending a snapshot. */
    private static final int MAX_BYTES = 1024 * 1024;

    private static final int MAX_ENTRIES = 2048;
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    /**
     * One entry of the log.
     *
     * @param epoch the epoch under which the state at this index was written
     * @param change null for an entry that only begins a new epoch
     */
    public record Entry(long index, Epoch epoch, Change change) {
        int size() {
            return ENTRY_OVERHEAD_BYTES + (change == null ? 0 : change.size());
        }
    }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    /** Index of the state before the first entry. */
    private long startIndex;

    private Epoch startEpoch;
    private long bytes;

    /** Creates an empty history that starts at the given state. */
    public ChangeHistory(long index, Epoch epoch) {
        startIndex = index;
        startEpoch = epoch;
    }

    /** Index of the newest state. */
    public long lastIndex() {
        return entries.isEmpty() ? startIndex : entries.peekLast().index();
    }

    /** Epoch of the newest state. */
    public Epoch lastEpoch() {
        return entries.isEmpty() ? startEpoch : entries.peekLast().epoch();
    }

    /** Adds the next entry, and drops the oldest entries while the history exceeds its bounds. */
    public void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry index " + entry.index() + " does not follow last index " + lastIndex());
        }
        entries.add(entry);
        bytes += entry.size();
        while (bytes > MAX_BYTES || entries.size() > MAX_ENTRIES) {
            Entry first = entries.poll();
            bytes -= first.size();
            startIndex = first.index();
            startEpoch = first.epoch();
        }
    }

    /** Drops all entries and restarts the history at the given state. */
    public void reset(long index, Epoch epoch) {
        entries.clear();
        bytes = 0;
        startIndex = index;
        startEpoch = epoch;
    }

    /**
     * The entries after one committed index up to another. An index alone identifies a committed state, since committed states
     * form a single sequence.
     *
     * @return null if the history does not contain all of them
     */
    public List<Entry> between(long after, long upTo) {
        if (after < startIndex || upTo > lastIndex()) {
            return null;
        }
        List<Entry> found = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.index() > after && entry.index() <= upTo) {
                found.add(entry);
            }
        }
        return found;
    }

    /**
     * The entries after a state that may be uncommitted, and therefore is identified by index and epoch.
     *
     * @return null if the history does not contain that state
     */
    public List<Entry> since(long index, Epoch epoch) {
        return contains(index, epoch) ? between(index, lastIndex()) : null;
    }

    private boolean contains(long index, Epoch epoch) {
        if (index == startIndex) {
            return epoch.equals(startEpoch);
        }
        return entries.stream().anyMatch(e -> e.index() == index && e.epoch().equals(epoch));
    }
}
