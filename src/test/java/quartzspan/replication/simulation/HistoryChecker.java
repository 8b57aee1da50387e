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
 * The record of operations, checked at each commit and each answer. Versions rise along the chain of configurations, so each
 * operation has a known place in it; the record is linearizable if and only if no operation that began after another one
 * ended has an earlier place. A try whose answer is lost is held to what the replica answered all the same.
 */
final class HistoryChecker {
    private final List<ChangeOperation> operations = new ArrayList<>();
    private final Map<Long, List<ChangeOperation>> byVersion = new HashMap<>();
    /** What came in force, by version. */
    private final TreeMap<Long, ChangeOperation> inForce = new TreeMap<>();

    private final Map<Long, Set<String>> contents = new HashMap<>();
    private final Map<Long, ChangeOperation> takenBase = new HashMap<>();
    private final TreeMap<Position, Long> commits = new TreeMap<>();
    private final Map<String, Long> weightsFloor = new TreeMap<>();
    private final Map<String, Long> weightsAsked = new TreeMap<>();
    private long newestCommitted;
    /** The newest version that an answer has told of. */
    private long floor;

    private int acknowledged;
    private int reads;

    // ---- operations ----------------------------------------------------------------------------------

    ChangeOperation change(Change.Kind kind, long base, long version, boolean valid, String padding) {
        int id = operations.size();
        byte[] body = !valid
                ? ChangeOperation.invalid(id, version)
                : kind == Change.Kind.REPLACE
                        ? ChangeOperation.replacement(id, version, padding)
                        : ChangeOperation.update(id, version);
        ChangeOperation operation = new ChangeOperation(id, version, new Change(kind, base, body), valid, floor);
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

    long floor() {
        return floor;
    }

    /** Next number for weights of a model. */
    long nextWeights(String model) {
        return weightsAsked.merge(model, 1L, Long::sum);
    }

    // ---- what is told --------------------------------------------------------------------------------

    void committed(SimulatedMachine by, Position position, ControlState state) {
        observe(state);
        long version = state.configuration().version();
        Map.Entry<Position, Long> before = commits.floorEntry(position);
        Map.Entry<Position, Long> after = commits.higherEntry(position);
        require(
                (before == null || before.getValue() <= version) && (after == null || after.getValue() >= version),
                Rule.COMMITS_ONLY_RISE,
                by.lifeName() + " commits version " + version + " at " + position + ", between " + before + " and "
                        + after);
        require(
                before == null || !before.getKey().equals(position) || before.getValue() == version,
                Rule.COMMITS_ONLY_RISE,
                by.lifeName() + " commits version " + version + " at " + position + " after " + before);
        commits.put(position, version);
        newestCommitted = Math.max(newestCommitted, version);
    }

    long newestCommitted() {
        return newestCommitted;
    }

    /** Notes a state that is in force somewhere. */
    private ChangeOperation observe(ControlState state) {
        Configuration configuration = state.configuration();
        long version = configuration.version();
        if (version <= 0) {
            return null;
        }
        Set<String> names = configuration.services().keySet();
        ChangeOperation known = inForce.get(version);
        if (known != null) {
            require(
                    names.equals(contents.get(version)),
                    Rule.ONE_CHANGE_PER_BASE,
                    "two contents of version " + version + ": " + names + " and " + contents.get(version));
            return known;
        }
        List<ChangeOperation> candidates = byVersion.getOrDefault(version, List.of()).stream()
                .filter(o -> names.contains(ChangeOperation.marker(o.id)))
                .toList();
        require(
                candidates.size() == 1,
                Rule.READS_ONLY_WHAT_CAME_IN_FORCE,
                "version " + version + " is of the changes " + candidates);
        ChangeOperation operation = candidates.get(0);
        require(operation.valid, Rule.INVALID_IS_REFUSED, operation + " is invalid and in force");
        require(
                !operation.refused,
                Rule.NEVER_REFUSED_WHAT_IS_IN_FORCE,
                operation + " was refused and is in force all the same");
        ChangeOperation other = takenBase.putIfAbsent(operation.change.baseVersion(), operation);
        require(other == null, Rule.ONE_CHANGE_PER_BASE, operation + " and " + other + " are both in force");
        inForce.put(version, operation);
        contents.put(version, Set.copyOf(names));
        return operation;
    }

    void changeAnswered(ChangeOperation operation, FleetException refusal, ControlState state) {
        if (refusal == null) {
            acknowledge(operation, state);
        } else if (refusal.code() != FleetException.Code.NOT_PRIMARY) {
            refuse(operation, refusal);
        }
    }

    private void acknowledge(ChangeOperation operation, ControlState state) {
        require(operation.valid, Rule.INVALID_IS_REFUSED, operation + " is invalid and acknowledged");
        observe(state);
        require(
                inForce.get(operation.version) == operation && newestCommitted >= operation.version,
                Rule.ACKNOWLEDGED_IS_IN_FORCE,
                operation + " is acknowledged, in force under its number is " + inForce.get(operation.version));
        require(
                operation.version > operation.floor,
                Rule.READS_ARE_LINEARIZABLE,
                operation + " was taken, though version " + operation.floor + " was known before it was sent");
        require(
                state.configuration().version() >= operation.version,
                Rule.ACKNOWLEDGED_IS_IN_FORCE,
                operation + " is acknowledged on a state of version "
                        + state.configuration().version());
        if (!operation.acknowledged) {
            operation.acknowledged = true;
            acknowledged++;
        }
        floor = Math.max(floor, operation.version);
    }

    private void refuse(ChangeOperation operation, FleetException refusal) {
        require(
                inForce.get(operation.version) != operation,
                Rule.NEVER_REFUSED_WHAT_IS_IN_FORCE,
                operation + " is in force and refused with " + refusal.code());
        operation.refused = true;
        if (!operation.valid) {
            return;
        }
        long base = operation.change.baseVersion();
        require(
                refusal.code() == FleetException.Code.CONFIG_STALE && newestCommitted > base,
                Rule.REFUSED_WITH_REASON,
                operation + " is refused with " + refusal.code() + " (" + refusal.getMessage() + "), newest is "
                        + newestCommitted);
        floor = Math.max(floor, inForce.higherKey(base));
    }

    /** A read that began when {@code floorThen} was known. */
    void readAnswered(String by, long floorThen, Map<String, Long> weightsThen, ControlState state) {
        long version = state.configuration().version();
        require(
                version >= floorThen,
                Rule.READS_ARE_LINEARIZABLE,
                by + " reads version " + version + ", before it began " + floorThen + " was known");
        observe(state);
        require(
                version <= newestCommitted,
                Rule.READS_ONLY_WHAT_CAME_IN_FORCE,
                by + " reads version " + version + ", newest in force is " + newestCommitted);
        weightsThen.forEach((model, least) -> require(
                state.weights().getOrDefault(model, 0L) >= least,
                Rule.READS_ARE_LINEARIZABLE,
                by + " reads weights " + state.weights() + ", before it began " + weightsThen + " was known"));
        reads++;
        floor = Math.max(floor, version);
    }

    Map<String, Long> weightsFloor() {
        return Map.copyOf(weightsFloor);
    }

    void weightsAnswered(String model, long version, FleetException refusal, ControlState state) {
        if (refusal == null) {
            require(
                    state.weights().getOrDefault(model, 0L) >= version,
                    Rule.ACKNOWLEDGED_IS_IN_FORCE,
                    "weights " + version + " of " + model + " are acknowledged on " + state.weights());
            weightsFloor.merge(model, version, Math::max);
        } else {
            require(
                    refusal.code() == FleetException.Code.NOT_PRIMARY,
                    Rule.REFUSED_WITH_REASON,
                    "weights refused with " + refusal.code());
        }
    }

    /** Everything that ever came in force is on the way to the state that is in force at the end. */
    void checkDurable(ControlState last) {
        observe(last);
        int length = 0;
        long version = last.configuration().version();
        while (version > 0) {
            ChangeOperation operation = inForce.get(version);
            require(
                    operation != null,
                    Rule.ACKNOWLEDGED_IS_DURABLE,
                    "version " + version + " is on the way to the last one and was never in force");
            length++;
            version = operation.change.baseVersion();
        }
        require(
                length == inForce.size(),
                Rule.ACKNOWLEDGED_IS_DURABLE,
                "of the versions " + inForce.keySet() + " only " + length + " lead to the last, "
                        + last.configuration().version());
        for (ChangeOperation operation : operations) {
            require(
                    !operation.acknowledged || inForce.get(operation.version) == operation,
                    Rule.ACKNOWLEDGED_IS_DURABLE,
                    operation + " was acknowledged and is not there");
        }
        weightsFloor.forEach((model, least) -> require(
                last.weights().getOrDefault(model, 0L) >= least,
                Rule.ACKNOWLEDGED_IS_DURABLE,
                "weights " + weightsFloor + " were acknowledged, there are " + last.weights()));
    }
}
