package quartzspan.replication.simulation;

import java.util.List;

/**
 * A history to play: everything that happens follows from it.
 *
 * @param losses machines that may be lost at once
 * @param machines machines at the start
 * @param lostPerMille messages between machines that are lost
 * @param doubledPerMille messages between machines that come twice, the second time up to seconds later
 * @param lostAnswersPerMille answers that do not reach operators
 * @param largestPadding bytes by which some configurations are larger
 * @param beyondTolerance whether more machines than {@code losses} may be in trouble while all disks are kept
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
                + messageLossPerMille + " per mille of messages lost, " + messageDuplicationPerMille + " doubled, "
                + replyLossPerMille
                + " per mille of answers lost" + (allowsExcessFaults ? ", troubles beyond f with disks kept" : ""));
        steps.forEach(step -> text.append("\n  ").append(step.describe()));
        return text.toString();
    }
}
