package quartzspan.registry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Until when each version of a model's weights may be used. Every target version has its own deadline, which a later version
 * does not postpone: a server's deadline is that of the oldest target version that it lacks.
 *
 * <p>A process computes the deadlines on its own steady clock, from a time before which the target version had certainly not
 * been acknowledged. It learns such times from the freshness of its published state (a version that it lacked while its state
 * was the newest was acknowledged later) and from the ages that core machines tell in their replies. The latest of them
 * applies: none lies after the acknowledgement, so no deadline lies after the actual one, however late a message or a timer
 * is. Whoever uses a server compares with the deadline at that moment. No clock, no I/O; times are milliseconds of a steady
 * clock.
 */
public final class WeightsDeadlines {
    /** The deadline of a server that lacks no target version of a known age. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;
    /** Fraction of the apply time before the deadline in which a server gets no requests: they may wait in its queue. */
    private static final double MARGIN_FRACTION = 0.1;
    /** Versions within this fraction of the apply time are told as one. */
    private static final double MERGE_FRACTION = 0.05;
    /** A later time of acknowledgement is ignored below this: each reply differs by its transmission time. */
    private static final long MIN_IMPROVEMENT_MS = 20;

    private final long applyMs;
    /** Deadlines by model and version; within a model they increase with the version. */
    private final Map<String, NavigableMap<Long, Long>> deadlines = new HashMap<>();

    private long changeCount;

    /** @param applyMs time after the acknowledgement of a target version within which all servers must have it */
    public WeightsDeadlines(long applyMs) {
        this.applyMs = applyMs;
    }

    /**
     * Records the current target versions, by model.
     *
     * @param notBefore a time before which those that were not observed before had not been acknowledged
     */
    public void observe(long notBefore, Map<String, Long> targets) {
        targets.forEach((model, version) -> {
            if (targetsOf(model).ceilingKey(version) == null) {
                put(model, version, notBefore);
            }
        });
    }

    /** Records a target version that had not been acknowledged before a time. */
    void onAgeReported(long notBefore, String model, long version) {
        Long known = targetsOf(model).get(version);
        if (known == null || notBefore + applyMs >= known + MIN_IMPROVEMENT_MS) {
            put(model, version, notBefore);
        }
    }

    private void put(String model, long version, long notBefore) {
        deadlines.computeIfAbsent(model, m -> new TreeMap<>()).put(version, notBefore + applyMs);
        changeCount++;
    }

    /** Drops all overdue versions except the latest: a server that lacks an earlier one lacks that one too. */
    public void expire(long now) {
        deadlines.forEach((model, versions) -> {
            Long latestOverdue = latestDueBy(now, versions);
            if (latestOverdue != null) {
                versions.headMap(latestOverdue).clear();
            }
        });
    }

    private static Long latestDueBy(long time, NavigableMap<Long, Long> versions) {
        Long latest = null;
        for (Map.Entry<Long, Long> target : versions.entrySet()) {
            if (target.getValue() <= time) {
                latest = target.getKey();
            }
        }
        return latest;
    }

    /**
     * The target versions of known age, to tell them to another process. Of versions in close succession only the latest is
     * told, with the age of the earliest.
     */
    List<TargetAge> ages(long now) {
        List<TargetAge> ages = new ArrayList<>();
        deadlines.forEach((model, versions) -> addAges(now, model, versions, ages));
        return ages;
    }

    private void addAges(long now, String model, NavigableMap<Long, Long> versions, List<TargetAge> ages) {
        long earliest = versions.firstEntry().getValue();
        for (Map.Entry<Long, Long> target : versions.entrySet()) {
            earliest = Math.min(earliest, target.getValue());
            Map.Entry<Long, Long> next = versions.higherEntry(target.getKey());
            if (next == null || next.getValue() - earliest > Math.round(applyMs * MERGE_FRACTION)) {
                ages.add(new TargetAge(model, target.getKey(), now - (earliest - applyMs)));
                earliest = next == null ? NO_DEADLINE : next.getValue();
            }
        }
    }

    /** Increases with every change of a deadline, so that callers can cache what they derive from them. */
    public long changeCount() {
        return changeCount;
    }

    /** The target versions of a model that servers must have, with their deadlines. */
    public NavigableMap<Long, Long> targetsOf(String model) {
        NavigableMap<Long, Long> versions = deadlines.get(model);
        return versions == null ? Collections.emptyNavigableMap() : Collections.unmodifiableNavigableMap(versions);
    }

    /** The time by which a server with this weights version must have a newer one. */
    public long deadlineOf(String model, long weightsVersion) {
        long earliest = NO_DEADLINE;
        for (long deadline : targetsOf(model).tailMap(weightsVersion, false).values()) {
            earliest = Math.min(earliest, deadline);
        }
        return earliest;
    }

    /** The time from which a server with this weights version gets no requests, some time before {@link #deadlineOf}. */
    public long usableUntilMs(String model, long weightsVersion) {
        long deadline = deadlineOf(model, weightsVersion);
        return deadline == NO_DEADLINE ? NO_DEADLINE : deadline - marginMs();
    }

    private long marginMs() {
        return Math.round(applyMs * MARGIN_FRACTION);
    }

    /** The version that a server must have at least to get requests; 0 if any will do. */
    public long requiredVersion(long now, String model) {
        Long required = latestDueBy(now + marginMs(), targetsOf(model));
        return required == null ? 0 : required;
    }

    /** Elapsed fraction of the time until a deadline; 1 from the deadline on. */
    public double elapsedFraction(long now, long deadline) {
        return now >= deadline ? 1 : 1 - (double) (deadline - now) / applyMs;
    }
}
