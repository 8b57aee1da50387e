package quartzspan.registry;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The deadlines by which servers must have the target versions of their weights. Each target version has its own deadline,
 * which a later version does not postpone: a server's deadline is that of the oldest target version that it lacks. No clock,
 * no I/O; times are milliseconds of a steady clock.
 *
 * <p>Every core machine observes all target versions, so that a new primary knows the deadlines of those set before its
 * election.
 */
public final class WeightsDeadlines {
    /** The deadline of a server that lacks no target version. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    private final long applyMs;
    /** Deadlines by model and version; within a model they increase with the version. */
    private final Map<String, NavigableMap<Long, Long>> deadlines = new HashMap<>();

    /** @param applyMs time within which all servers must have a target version */
    public WeightsDeadlines(long applyMs) {
        this.applyMs = applyMs;
    }

    /** Records the current target versions, by model. */
    public void observe(long now, Map<String, Long> targets) {
        targets.forEach((model, version) -> {
            NavigableMap<Long, Long> known = deadlines.computeIfAbsent(model, m -> new TreeMap<>());
            if (known.isEmpty() || known.lastKey() < version) {
                known.put(version, now + applyMs);
            }
            dropSuperseded(now, known);
        });
    }

    /** Drops all overdue versions except the latest: a server that lacks an earlier one lacks that one too. */
    private static void dropSuperseded(long now, NavigableMap<Long, Long> known) {
        Long latestOverdue = latestDueBy(now, known);
        for (Iterator<Long> versions = known.keySet().iterator(); latestOverdue != null && versions.hasNext(); ) {
            if (versions.next() >= latestOverdue) {
                return;
            }
            versions.remove();
        }
    }

    private static Long latestDueBy(long time, NavigableMap<Long, Long> known) {
        Long latest = null;
        for (Map.Entry<Long, Long> target : known.entrySet()) {
            if (target.getValue() > time) {
                return latest;
            }
            latest = target.getKey();
        }
        return latest;
    }

    /** The target versions of a model that servers must have, with their deadlines. */
    public NavigableMap<Long, Long> targetsOf(String model) {
        return Collections.unmodifiableNavigableMap(deadlines.getOrDefault(model, new TreeMap<>()));
    }

    /** The time by which a server with this weights version must have a newer one. */
    public long deadlineOf(String model, long weightsVersion) {
        Map.Entry<Long, Long> earliestTarget = targetsOf(model).higherEntry(weightsVersion);
        return earliestTarget == null ? NO_DEADLINE : earliestTarget.getValue();
    }

    /** The latest version whose deadline is not after a time; 0 if there is none. */
    public long latestOverdueVersion(long time, String model) {
        Long latest = latestDueBy(time, targetsOf(model));
        return latest == null ? 0 : latest;
    }

    /** A fraction of the time within which weights must be applied. */
    public long fractionOfApplyTime(double fraction) {
        return Math.round(applyMs * fraction);
    }

    /** Elapsed fraction of the time until a deadline; 1 from the deadline on. */
    public double elapsedFraction(long now, long deadline) {
        return now >= deadline ? 1 : 1 - (double) (deadline - now) / applyMs;
    }
}
