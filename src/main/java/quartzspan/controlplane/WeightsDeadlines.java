package quartzspan.controlplane;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Until when servers have to have the weights that were named. Each naming has its own deadline, which a later naming does not
 * postpone: a server is bound by the oldest naming that it lacks. No clock, no I/O; times are milliseconds of a steady clock.
 *
 * <p>Every core machine observes all namings, so that a new primary knows the deadlines of those before its election.
 */
final class WeightsDeadlines {
    /** The deadline of a server that lacks nothing. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private final long applyMs;
    /** Deadlines by model and version; both rise together. */
    private final Map<String, NavigableMap<Long, Long>> deadlines = new HashMap<>();

    /** @param applyMs time within which all servers are to have the weights that were named */
    WeightsDeadlines(long applyMs) {
        this.applyMs = applyMs;
    }

    /** Takes note of the versions that are named at present, by model. */
    void observe(long now, Map<String, Long> targets) {
        targets.forEach((model, version) -> {
            NavigableMap<Long, Long> known = deadlines.computeIfAbsent(model, m -> new TreeMap<>());
            if (known.isEmpty() || known.lastKey() < version) {
                known.put(version, now + applyMs);
            }
            dropSuperseded(now, known);
        });
    }

    /** Of the namings that are overdue the last one says all: whoever lacks an earlier one lacks it too. */
    private static void dropSuperseded(long now, NavigableMap<Long, Long> known) {
        Long lastOverdue = latestDueBy(now, known);
        for (Iterator<Long> versions = known.keySet().iterator(); lastOverdue != null && versions.hasNext(); ) {
            if (versions.next() >= lastOverdue) {
                return;
            }
            versions.remove();
        }
    }

    private static Long latestDueBy(long time, NavigableMap<Long, Long> known) {
        Long last = null;
        for (Map.Entry<Long, Long> naming : known.entrySet()) {
            if (naming.getValue() > time) {
                return last;
            }
            last = naming.getKey();
        }
        return last;
    }

    /** The versions of a model that bind servers, with their deadlines. */
    NavigableMap<Long, Long> targetsOf(String model) {
        return Collections.unmodifiableNavigableMap(deadlines.getOrDefault(model, new TreeMap<>()));
    }

    /** Until when a server with these weights has to have others. */
    long deadlineOf(String model, long weights) {
        Map.Entry<Long, Long> earliestTarget = targetsOf(model).higherEntry(weights);
        return earliestTarget == null ? NO_DEADLINE : earliestTarget.getValue();
    }

    /** The last version whose deadline lies before a time; 0 if there is none. */
    long latestOverdueVersion(long time, String model) {
        Long last = latestDueBy(time, targetsOf(model));
        return last == null ? 0 : last;
    }

    /** A fraction of the time within which weights have to be applied. */
    long fractionOfApplyTime(double fraction) {
        return Math.round(applyMs * fraction);
    }

    /** Which part of the time until a deadline has passed; 1 from the deadline on. */
    double elapsedFraction(long now, long deadline) {
        return now >= deadline ? 1 : 1 - (double) (deadline - now) / applyMs;
    }
}
