package quartzspan.replication.simulation;

import static quartzspan.replication.simulation.Violation.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;
import quartzspan.replication.simulation.ReplicaAdapter.Position;
import quartzspan.replication.simulation.Violation.Rule;

/**
 * Records the history of client operations and checks it at each commit and each reply. Versions increase along the chain of
 * configurations, so each operation has a known position in it; the history is linearizable if and only if no operation that
 * began after another one ended has an earlier position. An attempt whose reply is lost on the way to the client is still
 * checked against the reply that the replica sent.
 */
final class HistoryChecker {
    private final List<ChangeOperation> operations = new ArrayList<>();
    private final Map<Long, List<ChangeOperation>> byVersion = new HashMap<>();
    /** Committed changes by version. */
    private final TreeMap<Long, ChangeOperation> committedByVersion = new TreeMap<>();

    private final Map<Long, Set<String>> serviceNamesByVersion = new HashMap<>();
    private final Map<Long, ChangeOperation> changeByBaseVersion = new HashMap<>();
    private final TreeMap<Position, Long> versionByPosition = new TreeMap<>();
    private final Map<String, Long> acknowledgedWeights = new TreeMap<>();
    private final Map<String, Long> requestedWeights = new TreeMap<>();
    private long newestCommittedVersion;
    /** The newest version that a reply has confirmed as committed. */
    private long knownVersionFloor;

    private int acknowledged;
    private int reads;

    ChangeOperation change(Change.Kind kind, long baseVersion, long version, boolean valid, String padding) {
        int id = operations.size();
        byte[] body = !valid
                ? ChangeOperation.invalid(id, version)
                : kind == Change.Kind.REPLACE
                        ? ChangeOperation.replacement(id, version, padding)
                        : ChangeOperation.update(id, version);
        ChangeOperation operation =
                new ChangeOperation(id, version, new Change(kind, baseVersion, body), valid, knownVersionFloor);
        operations.add(operation);
        byVersion.computeIfAbsent(version, v -> new ArrayList<>()).add(operation);
        return operation;
    }

    List<ChangeOperation> operations() {
        return operations;
    }

    int acknowledged() {
        return acknowledged;
    }

    int reads() {
        return reads;
    }

    long knownVersionFloor() {
        return knownVersionFloor;
    }

    /** Returns the next unused weights version of a model. */
    long nextWeightsVersion(String model) {
        return requestedWeights.merge(model, 1L, Long::sum);
    }

    void onCommitted(SimulatedMachine machine, Position position, ControlState state) {
        observe(state);
        long version = state.configuration().version();
        Map.Entry<Position, Long> before = versionByPosition.floorEntry(position);
        Map.Entry<Position, Long> after = versionByPosition.higherEntry(position);
        require(
                (before == null || before.getValue() <= version) && (after == null || after.getValue() >= version),
                Rule.COMMITTED_VERSIONS_INCREASE,
                machine.incarnationName() + " commits version " + version + " at " + position + ", between " + before
                        + " and " + after);
        require(
                before == null || !before.getKey().equals(position) || before.getValue() == version,
                Rule.COMMITTED_VERSIONS_INCREASE,
                machine.incarnationName() + " commits version " + version + " at " + position + " after " + before);
        versionByPosition.put(position, version);
        newestCommittedVersion = Math.max(newestCommittedVersion, version);
    }

    long newestCommittedVersion() {
        return newestCommittedVersion;
    }

    /** Records a state that a replica committed or returned, and matches it to the change that produced it. */
    private ChangeOperation observe(ControlState state) {
        Configuration configuration = state.configuration();
        long version = configuration.version();
        if (version <= 0) {
            return null;
        }
        Set<String> serviceNames = configuration.services().keySet();
        ChangeOperation committed = committedByVersion.get(version);
        if (committed != null) {
            require(
                    serviceNames.equals(serviceNamesByVersion.get(version)),
                    Rule.ONE_CHANGE_PER_BASE_VERSION,
                    "different configurations with version " + version + ": " + serviceNames + " and "
                            + serviceNamesByVersion.get(version));
            return committed;
        }
        List<ChangeOperation> candidates = byVersion.getOrDefault(version, List.of()).stream()
                .filter(candidate -> serviceNames.contains(ChangeOperation.marker(candidate.id)))
                .toList();
        require(
                candidates.size() == 1,
                Rule.READS_RETURN_COMMITTED_STATE,
                "version " + version + " matches the changes " + candidates + ", expected exactly one");
        ChangeOperation operation = candidates.get(0);
        require(operation.valid, Rule.INVALID_CHANGE_IS_REJECTED, operation + " is invalid but was committed");
        require(
                !operation.rejected,
                Rule.REJECTED_CHANGE_IS_NOT_COMMITTED,
                operation + " was rejected but is committed");
        ChangeOperation conflicting = changeByBaseVersion.putIfAbsent(operation.change.baseVersion(), operation);
        require(
                conflicting == null,
                Rule.ONE_CHANGE_PER_BASE_VERSION,
                operation + " and " + conflicting + " are both committed");
        committedByVersion.put(version, operation);
        serviceNamesByVersion.put(version, Set.copyOf(serviceNames));
        return operation;
    }

    void onChangeReply(ChangeOperation operation, FleetException rejection, ControlState state) {
        if (rejection == null) {
            acknowledge(operation, state);
        } else if (rejection.code() != FleetException.Code.NOT_PRIMARY) {
            reject(operation, rejection);
        }
    }

    private void acknowledge(ChangeOperation operation, ControlState state) {
        require(operation.valid, Rule.INVALID_CHANGE_IS_REJECTED, operation + " is invalid but was acknowledged");
        observe(state);
        require(
                committedByVersion.get(operation.version) == operation && newestCommittedVersion >= operation.version,
                Rule.ACKNOWLEDGED_CHANGE_IS_COMMITTED,
                operation + " is acknowledged, but the change committed with its version is "
                        + committedByVersion.get(operation.version));
        require(
                operation.version > operation.knownVersionFloor,
                Rule.READS_ARE_LINEARIZABLE,
                operation + " was accepted, although version " + operation.knownVersionFloor
                        + " was known to be committed before it was sent");
        require(
                state.configuration().version() >= operation.version,
                Rule.ACKNOWLEDGED_CHANGE_IS_COMMITTED,
                operation + " is acknowledged with a state of version "
                        + state.configuration().version());
        if (!operation.acknowledged) {
            operation.acknowledged = true;
            acknowledged++;
        }
        knownVersionFloor = Math.max(knownVersionFloor, operation.version);
    }

    private void reject(ChangeOperation operation, FleetException rejection) {
        require(
                committedByVersion.get(operation.version) != operation,
                Rule.REJECTED_CHANGE_IS_NOT_COMMITTED,
                operation + " is committed but was rejected with " + rejection.code());
        operation.rejected = true;
        if (!operation.valid) {
            return;
        }
        long baseVersion = operation.change.baseVersion();
        require(
                rejection.code() == FleetException.Code.CONFIG_STALE && newestCommittedVersion > baseVersion,
                Rule.REJECTION_HAS_VALID_REASON,
                operation + " is rejected with " + rejection.code() + " (" + rejection.getMessage()
                        + "), newest committed version is " + newestCommittedVersion);
        knownVersionFloor = Math.max(knownVersionFloor, committedByVersion.higherKey(baseVersion));
    }

    /** Checks a read that began when {@code versionFloor} was known to be committed. */
    void onReadReply(String machineName, long versionFloor, Map<String, Long> weightsFloor, ControlState state) {
        long version = state.configuration().version();
        require(
                version >= versionFloor,
                Rule.READS_ARE_LINEARIZABLE,
                machineName + " reads version " + version + ", but " + versionFloor
                        + " was known to be committed before it began");
        observe(state);
        require(
                version <= newestCommittedVersion,
                Rule.READS_RETURN_COMMITTED_STATE,
                machineName + " reads version " + version + ", newest committed version is " + newestCommittedVersion);
        weightsFloor.forEach((model, minVersion) -> require(
                state.weights().getOrDefault(model, 0L) >= minVersion,
                Rule.READS_ARE_LINEARIZABLE,
                machineName + " reads weights " + state.weights() + ", but " + weightsFloor
                        + " was known to be committed before it began"));
        reads++;
        knownVersionFloor = Math.max(knownVersionFloor, version);
    }

    Map<String, Long> acknowledgedWeights() {
        return Map.copyOf(acknowledgedWeights);
    }

    void onWeightsReply(String model, long version, FleetException rejection, ControlState state) {
        if (rejection == null) {
            require(
                    state.weights().getOrDefault(model, 0L) >= version,
                    Rule.ACKNOWLEDGED_CHANGE_IS_COMMITTED,
                    "weights " + version + " of " + model + " are acknowledged, but the state has " + state.weights());
            acknowledgedWeights.merge(model, version, Math::max);
        } else {
            require(
                    rejection.code() == FleetException.Code.NOT_PRIMARY,
                    Rule.REJECTION_HAS_VALID_REASON,
                    "weights change rejected with " + rejection.code());
        }
    }

    /** Checks that every committed change is an ancestor of the final state. */
    void checkDurable(ControlState finalState) {
        observe(finalState);
        int chainLength = 0;
        long version = finalState.configuration().version();
        while (version > 0) {
            ChangeOperation operation = committedByVersion.get(version);
            require(
                    operation != null,
                    Rule.ACKNOWLEDGED_CHANGE_IS_DURABLE,
                    "version " + version + " is an ancestor of the final version but was never committed");
            chainLength++;
            version = operation.change.baseVersion();
        }
        require(
                chainLength == committedByVersion.size(),
                Rule.ACKNOWLEDGED_CHANGE_IS_DURABLE,
                "of the committed versions " + committedByVersion.keySet() + " only " + chainLength
                        + " are ancestors of the final version "
                        + finalState.configuration().version());
        for (ChangeOperation operation : operations) {
            require(
                    !operation.acknowledged || committedByVersion.get(operation.version) == operation,
                    Rule.ACKNOWLEDGED_CHANGE_IS_DURABLE,
                    operation + " was acknowledged but is not committed");
        }
        acknowledgedWeights.forEach((model, minVersion) -> require(
                finalState.weights().getOrDefault(model, 0L) >= minVersion,
                Rule.ACKNOWLEDGED_CHANGE_IS_DURABLE,
                "weights " + acknowledgedWeights + " were acknowledged, but the final state has "
                        + finalState.weights()));
    }
}
