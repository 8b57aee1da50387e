package quartzspan.controlplane;

import java.util.List;
import quartzspan.registry.DepartureRecord;

/**
 * What a core machine finds on its disk about departed servers when it starts.
 *
 * @param records the stored records, oldest first
 * @param complete whether they include every departure that this machine has confirmed before; not so if its disk was lost
 * @param firstStart whether the whole system starts for the first time, so that there are no departures
 */
record StoredDepartures(List<DepartureRecord> records, boolean complete, boolean firstStart) {
    /** Of a machine of a system that starts for the first time. */
    static final StoredDepartures FIRST_START = new StoredDepartures(List.of(), true, true);

    /**
     * Interprets the stored records.
     *
     * @param discarded whether records could not be read
     * @param replicaIsEmpty whether the disk has nothing of the control state either
     * @param bootstrap whether the settings say that the whole system starts for the first time
     */
    static StoredDepartures of(
            List<DepartureRecord> records, boolean discarded, boolean replicaIsEmpty, boolean bootstrap) {
        if (discarded) {
            return new StoredDepartures(List.of(), false, false);
        }
        if (records.isEmpty()) {
            // A disk with a control state but without departures was written by a version that kept none.
            return new StoredDepartures(records, !replicaIsEmpty || bootstrap, replicaIsEmpty && bootstrap);
        }
        boolean complete = records.get(0).complete();
        return new StoredDepartures(records, complete, false);
    }
}
