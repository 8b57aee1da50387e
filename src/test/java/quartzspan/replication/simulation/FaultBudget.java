package quartzspan.replication.simulation;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which machines count as lost: while down, frozen, slowed or cut off, and for the catch-up time after they are back, or
 * after the start of a new one. A removed machine counts until its successor has had that time.
 */
final class FaultBudget {
    private static final class MachineFaults {
        private int activeFaults;
        private long unavailableUntilMs;
        /** Until when it may lack what its disk held. */
        private long dataMissingUntilMs;
        /** Whether the trouble at hand struck before it had its time to catch up. */
        private boolean faultedBeforeCaughtUp;
    }

    private final Map<String, MachineFaults> faultsByMachine = new TreeMap<>();
    private int pendingReplacements;
    private long settledAtMs;
    private final int toleratedFailures;
    private final long catchUpMs;

    FaultBudget(int toleratedFailures, long catchUpMs) {
        this.toleratedFailures = toleratedFailures;
        this.catchUpMs = catchUpMs;
    }

    /** A machine that has just started for the first time, with an empty disk. */
    void onAdded(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.computeIfAbsent(name, n -> new MachineFaults());
        faults.unavailableUntilMs = Math.max(faults.unavailableUntilMs, nowMs + catchUpMs);
        faults.dataMissingUntilMs = faults.unavailableUntilMs;
    }

    /** A successor that takes over the account of one that was removed without notice. */
    void onReplaced(String successor, String removed, long nowMs) {
        faultsByMachine.remove(removed);
        onAdded(successor, nowMs);
    }

    /** One whose successor runs already: the successor's account stands for both. */
    void onRemoved(String name) {
        faultsByMachine.remove(name);
    }

    /** Trouble strikes; one that leaves for good has no account any more. */
    void beginFault(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.get(name);
        if (faults != null) {
            faults.activeFaults++;
            faults.faultedBeforeCaughtUp |= nowMs < faults.dataMissingUntilMs;
        }
    }

    void endFault(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.get(name);
        if (faults != null) {
            faults.activeFaults--;
            faults.unavailableUntilMs = Math.max(faults.unavailableUntilMs, nowMs + catchUpMs);
            if (faults.faultedBeforeCaughtUp && faults.activeFaults == 0) {
                faults.faultedBeforeCaughtUp = false;
                faults.dataMissingUntilMs = faults.unavailableUntilMs;
            }
        }
    }

    void onDiskLost(String name) {
        faultsByMachine.get(name).dataMissingUntilMs = Long.MAX_VALUE;
    }

    void onRestartedWithoutData(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.get(name);
        if (faults != null) {
            faults.dataMissingUntilMs = nowMs + catchUpMs;
        }
    }

    boolean isUnavailable(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.get(name);
        return faults != null && isUnavailable(faults, nowMs);
    }

    private static boolean isUnavailable(MachineFaults faults, long nowMs) {
        return faults.activeFaults > 0 || nowMs < faults.unavailableUntilMs;
    }

    /** Whether these may be lost as well. */
    boolean allows(Collection<String> additional, long nowMs) {
        long otherUnavailable = faultsByMachine.entrySet().stream()
                .filter(e -> isUnavailable(e.getValue(), nowMs) && !additional.contains(e.getKey()))
                .count();
        return otherUnavailable + additional.size() <= toleratedFailures;
    }

    /** Whether a machine may still lack what its disk held. */
    boolean isAnyDataMissing(long nowMs) {
        return faultsByMachine.values().stream().anyMatch(a -> a.faultedBeforeCaughtUp || nowMs < a.dataMissingUntilMs);
    }

    /** Something goes on that is no loss yet or no longer, such as a planned replacement. */
    void beginPending() {
        pendingReplacements++;
    }

    void endPending() {
        pendingReplacements--;
    }

    /** A machine was removed that no longer counts; the others still have to settle. */
    void extendSettling(long untilMs) {
        settledAtMs = Math.max(settledAtMs, untilMs);
    }

    /** Whether a planned replacement is under way. */
    boolean isSettling(long nowMs) {
        return pendingReplacements > 0 || nowMs < settledAtMs;
    }

    boolean isAnyUnavailable(long nowMs) {
        return pendingReplacements > 0
                || nowMs < settledAtMs
                || faultsByMachine.values().stream().anyMatch(a -> isUnavailable(a, nowMs));
    }

    /** The next time at which a machine stops counting as lost, as far as is known. */
    long nextAvailableAtMs(long nowMs) {
        return faultsByMachine.values().stream()
                .filter(a -> a.activeFaults == 0 && a.unavailableUntilMs > nowMs)
                .mapToLong(a -> a.unavailableUntilMs)
                .min()
                .orElse(nowMs + 50);
    }
}
