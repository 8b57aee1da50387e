package quartzspan.controlplane;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.registry.DepartureRecord;
import quartzspan.replication.ReplicaStore;
import quartzspan.store.Disk;
import quartzspan.store.FileDisk;
import quartzspan.store.PrefixedDisk;
import quartzspan.store.SlotStore;

/**
 * The data directory of a core machine, and the thread that writes to it: the records of the replica and those of departed servers.
 * The stores are opened by the constructor and used by the disk thread after that; results are reported on the disk thread.
 */
final class CoreDisk {
    private static final Logger LOG = LoggerFactory.getLogger(CoreDisk.class);
    private static final String DEPARTURES_PREFIX = "departures-";

    private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> new Thread(task, "disk"));
    private final ReplicaStore replicaStore;
    private final DepartureStore departureStore;
    private final List<byte[]> replicaRecords;
    private final StoredDepartures departures;

    /**
     * Opens the stores. One that is damaged is discarded and counts as empty: the other machines know what this one has promised.
     *
     * @param bootstrap whether the settings say that the whole system starts for the first time
     * @throws FleetException with {@code STORE_REFUSES} if a file can't be read
     */
    CoreDisk(Path directory, boolean bootstrap) {
        Disk disk = new FileDisk(directory);
        this.replicaStore = new ReplicaStore(new SlotStore(disk));
        this.replicaRecords = openReplicaStore(replicaStore);
        this.departureStore = new DepartureStore(new SlotStore(new PrefixedDisk(disk, DEPARTURES_PREFIX)));
        List<DepartureRecord> departureRecords = departureStore.open();
        this.departures = StoredDepartures.of(
                departureRecords,
                departureStore.isDiscarded() || replicaStore.discarded(),
                replicaRecords.isEmpty(),
                bootstrap);
    }

    private static List<byte[]> openReplicaStore(ReplicaStore store) {
        try {
            return store.open();
        } catch (FleetException failure) {
            if (failure.code() != FleetException.Code.STORE_DAMAGED) {
                throw failure;
            }
            LOG.error("store discarded, recovering from the other core machines: {}", failure.toString());
            store.discard();
            return List.of();
        }
    }

    /** The replica's records at the start, oldest first. */
    List<byte[]> replicaRecords() {
        return replicaRecords;
    }

    /** Whether the replica's records could not be read and were discarded. */
    boolean isReplicaDiscarded() {
        return replicaStore.discarded();
    }

    /** What was stored about departed servers at the start. */
    StoredDepartures departures() {
        return departures;
    }

    /** Writes a record of the replica durably; reports whether that succeeded. */
    void persistReplicaRecord(byte[] record, Consumer<Boolean> onDone) {
        thread.execute(() -> onDone.accept(initializeDepartures() && replicaStore.persist(record)));
    }

    /**
     * Stores whether the departures are complete before anything of the replica: a disk that has only the latter would count as one
     * that lacks none.
     */
    private boolean initializeDepartures() {
        return departureStore.isInitialized()
                || departureStore.persist(new DepartureRecord(true, departures.complete(), List.of()));
    }

    /** Writes a record of departed servers durably; reports whether that succeeded. */
    void persistDepartures(DepartureRecord record, Consumer<Boolean> onDone) {
        thread.execute(() -> onDone.accept(departureStore.persist(record)));
    }

    /** Stops the disk thread; acknowledged changes are already on disk. */
    void close() {
        thread.shutdownNow();
    }
}
