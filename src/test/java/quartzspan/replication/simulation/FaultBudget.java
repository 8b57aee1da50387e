package quartzspan.replication.simulation;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks which machines count as unavailable: while they are down, frozen, slowed or cut off, and during the catch-up time
 * after their return or first start. A removed machine counts until the catch-up time of its successor is over.
 */
final class FaultBudget {
    private static final class MachineFaults {
        private int activeFaults;
        private long unavailableUntilMs;
        /** Time until which the machine may lack data that its disk held. */
        private long dataMissingUntilMs;
        /** Whether the current fault began before the catch-up time was over. */
        private boolean faultedBeforeCaughtUp;
    }

    private final Map<String, MachineFaults> faultsByMachine = new TreeMap<>();
    private int pendingActions;
    private long settledAtMs;
    private final int toleratedFailures;
    private final long catchUpMs;

    FaultBudget(int toleratedFailures, long catchUpMs) {
        this.toleratedFailures = toleratedFailures;
        this.catchUpMs = catchUpMs;
    }

    /** Adds a machine that has just started for the first time, with an empty disk. */
    void onAdded(String name, long nowMs) {
        MachineFaults faults = faultsByMachine.computeIfAbsent(name, n -> new MachineFaults());
        faults.unavailableUntilMs = Math.max(faults.unavailableUntilMs, nowMs + catchUpMs);
        faults.dataMissingUntilMs = faults.unavailableUntilMs;
    }

    /** Counts a successor in place of a machine that was removed without a handover. */
    void onReplaced(String successor, String removed, long nowMs) {
        faultsByMachine.remove(removed);
        onAdded(successor, nowMs);
    }

    /** Stops counting a removed machine; its successor is already running and counts for both. */
    void onRemoved(String name) {
        faultsByMachine.remove(name);
    }

    /** Records the start of a fault, unless the machine is no longer counted. */
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

    /** Whether the given machines may become unavailable in addition. */
    boolean allows(Collection<String> additional, long nowMs) {
        long otherUnavailable = faultsByMachine.entrySet().stream()
                .filter(e -> isUnavailable(e.getValue(), nowMs) && !additional.contains(e.getKey()))
                .count();
        return otherUnavailable + additional.size() <= toleratedFailures;
    }

    /** Whether any machine may still lack data that its disk held. */
    boolean isAnyDataMissing(long nowMs) {
        return faultsByMachine.values().stream()
                .anyMatch(faults -> faults.faultedBeforeCaughtUp || nowMs < faults.dataMissingUntilMs);
    }

    /** Starts an action that does not count as a fault itself, such as a planned replacement. */
    void beginPending() {
        pendingActions++;
    }

    void endPending() {
        pendingActions--;
    }

    /** Extends the time in which the other machines settle after a removal that no longer counts. */
    void extendSettling(long untilMs) {
        settledAtMs = Math.max(settledAtMs, untilMs);
    }

    /** Whether a planned replacement is in progress. */
    boolean isSettling(long nowMs) {
        return pendingActions > 0 || nowMs < settledAtMs;
    }

    boolean isAnyUnavailable(long nowMs) {
        return pendingActions > 0
                || nowMs < settledAtMs
                || faultsByMachine.values().stream().anyMatch(faults -> isUnavailable(faults, nowMs));
    }

    /** The next known time at which a machine stops counting as unavailable. */
    long nextAvailableAtMs(long nowMs) {
        return faultsByMachine.values().stream()
                .filter(faults -> faults.activeFaults == 0 && faults.unavailableUntilMs > nowMs)
                .mapToLong(faults -> faults.unavailableUntilMs)
                .min()
                .orElse(nowMs + 50);
    }
}
