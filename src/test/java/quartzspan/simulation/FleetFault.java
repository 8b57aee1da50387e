package quartzspan.simulation;

/**
 * A fault of a scenario.
 *
 * @param atMs when it begins, or from when on its crossing is awaited
 * @param crossing the point of the protocol at whose n-th crossing it strikes the process there; null: it strikes at {@code atMs}
 * @param crossingCount which crossing
 * @param target number of the process, modulo the number of those that the kind can strike
 * @param durationMs how long it lasts
 * @param strength how strong it is, from 0 to 1
 */
record FleetFault(
        long atMs,
        Kind kind,
        World.Crossing crossing,
        int crossingCount,
        int target,
        long durationMs,
        double strength) {
    /** What goes wrong. */
    enum Kind {
        KILL_CORE,
        KILL_ALL_CORES,
        LOSE_DISK,
        REPLACE_CORE,
        FREEZE_CORE,
        CUT_CORE,
        CUT_CORE_ONE_WAY,
        SLOW_DISK,
        FULL_DISK,
        SLOW_LINKS_OF_CORE,
        /** The process does not run for a while of its own, which excuses nothing. */
        STALL_CORE,
        KILL_PROXY,
        STALL_PROXY,
        FREEZE_PROXY,
        CUT_PROXY,
        CRASH_SERVER,
        LOSSY_NETWORK,
        DOUBLED_MESSAGES,
        /** All processes of the fleet are killed at once. */
        KILL_ALL
    }

    @Override
    public String toString() {
        return kind
                + (crossing == null
                        ? " at " + atMs
                        : " at crossing " + crossingCount + " of " + crossing + " after " + atMs)
                + ", target " + target + ", for " + durationMs + " ms, strength " + strength;
    }
}
