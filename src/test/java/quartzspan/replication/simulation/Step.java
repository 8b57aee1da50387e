package quartzspan.replication.simulation;

/**
 * One step of a history.
 *
 * @param atMs since the start of the history
 * @param trigger the event after {@code atMs} at which the step takes place
 * @param triggerCount how many such events have to come
 * @param triggerDelayMs the time between the event and the step
 * @param eager whether a trouble that exceeds the tolerance waits for the first moment at which it is allowed
 * @param durationMs how long a trouble lasts
 * @param variation a seed for the details
 */
record Step(
        long atMs,
        Kind kind,
        Trigger trigger,
        int triggerCount,
        long triggerDelayMs,
        boolean waitsForBudget,
        Target target,
        long durationMs,
        long detailSeed) {

    /** What happens. */
    enum Kind {
        RACE,
        READ,
        RESEND,
        NAME_WEIGHTS,
        INVALID_CHANGE,
        KILL,
        POWER_LOSS,
        KILL_ALL,
        POWER_LOSS_ALL,
        WIPE,
        CUT,
        CUT_LINKS,
        FREEZE,
        SLOW_PROCESS,
        LATE_MESSAGES,
        DISK_STALL,
        DISK_FULL,
        DISK_SLOW,
        TERMINATE,
        REPLACE_PLANNED,
        REPLACE_UNPLANNED;

        boolean isOperation() {
            return ordinal() <= INVALID_CHANGE.ordinal();
        }
    }

    /** When a step takes place: at its time, or at an event after it. */
    enum Trigger {
        TIME,
        ACKNOWLEDGEMENT,
        ROLE_CHANGE,
        MESSAGE,
        RECORD
    }

    /** Whom a trouble strikes. */
    enum Target {
        ANY,
        PRIMARY,
        BACKUP,
        WITNESS,
        STANDBY,
        LAST_ACKNOWLEDGING
    }

    String describe() {
        return "at " + atMs + " ms"
                + (trigger == Trigger.TIME
                        ? ""
                        : ", " + triggerDelayMs + " ms after " + trigger + " number " + triggerCount)
                + ": " + kind
                + (kind.isOperation()
                        ? ""
                        : " of " + target + " for " + durationMs + " ms" + (waitsForBudget ? ", eager" : ""))
                + " (variation " + detailSeed + ")";
    }
}
