package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.registry.DepartureRecord;
import quartzspan.store.SlotStore;

/** Stores the records of departed servers in a {@link SlotStore}. Calls block on the disk. */
final class DepartureStore {
    private static final Logger LOG = LoggerFactory.getLogger(DepartureStore.class);

    private final SlotStore store;
    private boolean hasCheckpoint;
    private boolean discarded;

    /** Creates a store; {@link #open} has to be called first. */
    DepartureStore(SlotStore store) {
        this.store = store;
    }

    /** Opens the store and returns its records, oldest first; none if they can't be read. */
    List<DepartureRecord> open() {
        try {
            return read(store.open());
        } catch (FleetException failure) {
            if (failure.code() != FleetException.Code.STORE_DAMAGED) {
                throw failure;
            }
            LOG.error("departed servers discarded, learning them from the other core machines: {}", failure.toString());
            store.discard();
            discarded = true;
            return List.of();
        }
    }

    private List<DepartureRecord> read(SlotStore.Contents contents) {
        List<DepartureRecord> records = new ArrayList<>();
        if (contents.state() != null) {
            records.add(DepartureRecord.parse(contents.state()));
        }
        contents.records().forEach(record -> records.add(DepartureRecord.parse(record)));
        hasCheckpoint = contents.state() != null;
        return records;
    }

    /** Whether stored records could not be read and were discarded. */
    boolean isDiscarded() {
        return discarded;
    }

    /** Whether a record was ever stored. */
    boolean isInitialized() {
        return hasCheckpoint;
    }

    /**
     * Writes a record durably. The first one has to be a checkpoint.
     *
     * @return whether the write succeeded
     */
    boolean persist(DepartureRecord record) {
        if (!record.checkpoint() && !hasCheckpoint) {
            return false;
        }
        try {
            if (record.checkpoint()) {
                store.checkpoint(record.bytes());
                hasCheckpoint = true;
            } else {
                store.append(record.bytes());
            }
            return true;
        } catch (FleetException failure) {
            return false;
        }
    }
}
