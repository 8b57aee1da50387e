package quartzspan.replication.simulation;

import java.util.List;

/**
 * A generated scenario, which determines the whole simulation run.
 *
 * @param toleratedFailures machines that may be unavailable at once
 * @param machines machines at the start
 * @param messageLossPerMille messages between machines that are lost
 * @param messageDuplicationPerMille messages between machines that arrive twice, the second time up to seconds later
 * @param replyLossPerMille replies that do not reach operators
 * @param maxPaddingBytes bytes by which some configurations are larger
 * @param allowsExcessFaults whether more machines than {@code toleratedFailures} may be faulty while no disk is lost
 */
record Scenario(
        long seed,
        int toleratedFailures,
        int machines,
        int messageLossPerMille,
        int messageDuplicationPerMille,
        int replyLossPerMille,
        boolean allowsExcessFaults,
        int maxPaddingBytes,
        long endMs,
        List<Step> steps) {

    Scenario withSteps(List<Step> newSteps) {
        return new Scenario(
                seed,
                toleratedFailures,
                machines,
                messageLossPerMille,
                messageDuplicationPerMille,
                replyLossPerMille,
                allowsExcessFaults,
                maxPaddingBytes,
                endMs,
                List.copyOf(newSteps));
    }

    long catchUpMs() {
        return toleratedFailures <= 1 ? 4_000 : 6_000;
    }

    String describe() {
        StringBuilder text = new StringBuilder("seed " + seed + ": f = " + toleratedFailures + ", " + machines
                + " machines, "
                + messageLossPerMille + " per mille of messages lost, " + messageDuplicationPerMille + " duplicated, "
                + replyLossPerMille
                + " per mille of replies lost"
                + (allowsExcessFaults ? ", more than f faulty machines while no disk is lost" : ""));
        steps.forEach(step -> text.append("\n  ").append(step.describe()));
        return text.toString();
    }
}
