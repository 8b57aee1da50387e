package quartzspan.replication.simulation;

import static quartzspan.replication.simulation.Violation.require;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.replication.simulation.Violation.Rule;

/** What must hold at a machine after each of its events. */
final class InvariantChecker {
    /** The newest version that came in force, by the epoch under which it did. */
    private final TreeMap<String, Long> committed = new TreeMap<>(ReplicaAdapter::compareEpochs);

    private final Map<String, String> primaryOf = new HashMap<>();
    private final Map<String, String> viewOf = new HashMap<>();

    /** A state came in force at a machine. */
    void committed(SimulatedMachine machine, long version) {
        committed.merge(machine.replica().epoch(), version, Math::max);
    }

    void check(SimulatedMachine machine) {
        ReplicaAdapter replica = machine.replica();
        if (!replica.isPrimary()) {
            machine.checked(null);
            return;
        }
        Object known = replica.membershipObject();
        if (known == machine.checkedView()) {
            return;
        }
        machine.checked(known);
        String epoch = replica.epoch();
        String primary = primaryOf.putIfAbsent(epoch, machine.lifeName());
        require(
                primary == null || primary.equals(machine.lifeName()),
                Rule.ONE_PRIMARY_PER_BALLOT,
                primary + " and " + machine.lifeName() + " are both primary of epoch " + epoch);
        String view = viewOf.putIfAbsent(epoch, replica.membership());
        require(
                view == null || view.equals(replica.membership()),
                Rule.ONE_VIEW_PER_BALLOT,
                "epoch " + epoch + " has the views " + view + " and " + replica.membership());
        if (primary == null) {
            long version = replica.inForce().configuration().version();
            long newest = committed.headMap(epoch).values().stream()
                    .mapToLong(v -> v)
                    .max()
                    .orElse(0);
            require(
                    version >= newest,
                    Rule.PRIMARY_HAS_ALL_COMMITS,
                    machine.lifeName() + " becomes primary of " + epoch + " with version " + version
                            + ", in force under a lower epoch was " + newest);
        }
    }
}
