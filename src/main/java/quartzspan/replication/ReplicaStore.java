package quartzspan.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import quartzspan.common.FleetException;
import quartzspan.store.SlotStore;

/** Keeps a replica's records in a {@link SlotStore}: the latest vote and the latest copy are all that a state is. Blocks. */
public final class ReplicaStore {
    /** The log is short: a start reads it whole, and a state is small. */
    private static final long MOST_LOG = 1024 * 1024;

    private final SlotStore store;
    private byte[] vote = {};
    private byte[] copy = {};
    private boolean begun;
    private boolean discarded;

    public ReplicaStore(SlotStore store) {
        this.store = store;
    }

    /** The records to begin with, oldest first. */
    public List<byte[]> open() {
        List<byte[]> all = new ArrayList<>();
        SlotStore.Contents found = store.open();
        begun = found.state() != null;
        if (begun) {
            ByteBuffer b = ByteBuffer.wrap(found.state());
            while (b.remaining() >= 4) {
                byte[] record = new byte[b.getInt()];
                b.get(record);
                all.add(record);
            }
        }
        all.addAll(found.records());
        all.removeIf(r -> r.length == 0);
        all.forEach(this::note);
        return all;
    }

    /** Gives up what can't be read. */
    public void discard() {
        store.discard();
        vote = new byte[0];
        copy = new byte[0];
        begun = false;
        discarded = true;
    }

    public boolean discarded() {
        return discarded;
    }

    private void note(byte[] record) {
        if (record[0] == Replica.VOTE) {
            vote = record;
        } else {
            copy = record;
        }
    }

    /** Keeps a record for good; whether the disk took it. */
    public boolean keep(byte[] record) {
        byte[] oldVote = vote;
        byte[] oldCopy = copy;
        note(record);
        try {
            if (begun && store.logged() < MOST_LOG) {
                store.append(record);
            } else {
                store.checkpoint(ByteBuffer.allocate(8 + vote.length + copy.length)
                        .putInt(vote.length)
                        .put(vote)
                        .putInt(copy.length)
                        .put(copy)
                        .array());
                begun = true;
            }
            return true;
        } catch (FleetException refused) {
            vote = oldVote;
            copy = oldCopy;
            return false;
        }
    }
}
