package quartzspan.replication.simulation;

/**
 * One step of a scenario.
 *
 * @param atMs time since the start of the scenario
 * @param trigger the event after {@code atMs} that starts the step
 * @param triggerCount number of such events before the step starts
 * @param triggerDelayMs time between the event and the step
 * @param waitsForBudget whether a fault that exceeds the fault budget is retried as soon as the budget allows it
 * @param durationMs duration of a fault
 * @param detailSeed random seed for the details of the step
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

    /** The operation or fault. */
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

    /** What starts a step: its time, or an event after that time. */
    enum Trigger {
        TIME,
        ACKNOWLEDGEMENT,
        ROLE_CHANGE,
        MESSAGE,
        RECORD
    }

    /** The machine that a fault affects. */
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
                        : " of " + target + " for " + durationMs + " ms"
                                + (waitsForBudget ? ", waits for fault budget" : ""))
                + " (detail seed " + detailSeed + ")";
    }
}
