package quartzspan.replication.simulation;

import static quartzspan.replication.simulation.Violation.require;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.replication.simulation.Violation.Rule;

/** Checks the safety invariants of a machine after each of its events. */
final class InvariantChecker {
    /** The newest version committed in each epoch. */
    private final TreeMap<String, Long> newestCommittedByEpoch = new TreeMap<>(ReplicaAdapter::compareEpochs);

    private final Map<String, String> primaryByEpoch = new HashMap<>();
    private final Map<String, String> membershipByEpoch = new HashMap<>();

    /** Records that a machine committed a version. */
    void onCommitted(SimulatedMachine machine, long version) {
        newestCommittedByEpoch.merge(machine.replica().epoch(), version, Math::max);
    }

    void check(SimulatedMachine machine) {
        ReplicaAdapter replica = machine.replica();
        if (!replica.isPrimary()) {
            machine.setCheckedMembership(null);
            return;
        }
        Object membership = replica.membershipObject();
        if (membership == machine.checkedMembership()) {
            return;
        }
        machine.setCheckedMembership(membership);
        String epoch = replica.epoch();
        String knownPrimary = primaryByEpoch.putIfAbsent(epoch, machine.incarnationName());
        require(
                knownPrimary == null || knownPrimary.equals(machine.incarnationName()),
                Rule.ONE_PRIMARY_PER_EPOCH,
                knownPrimary + " and " + machine.incarnationName() + " are both primary of epoch " + epoch);
        String knownMembership = membershipByEpoch.putIfAbsent(epoch, replica.membership());
        require(
                knownMembership == null || knownMembership.equals(replica.membership()),
                Rule.ONE_MEMBERSHIP_PER_EPOCH,
                "epoch " + epoch + " has the memberships " + knownMembership + " and " + replica.membership());
        if (knownPrimary == null) {
            long version = replica.state().configuration().version();
            long newestCommitted = newestCommittedByEpoch.headMap(epoch).values().stream()
                    .mapToLong(v -> v)
                    .max()
                    .orElse(0);
            require(
                    version >= newestCommitted,
                    Rule.PRIMARY_HAS_ALL_COMMITS,
                    machine.incarnationName() + " becomes primary of " + epoch + " with version " + version
                            + ", but a lower epoch committed version " + newestCommitted);
        }
    }
}
