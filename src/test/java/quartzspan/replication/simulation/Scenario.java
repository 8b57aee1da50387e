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
        int losses,
        int machines,
        int lostPerMille,
        int doubledPerMille,
        int lostAnswersPerMille,
        boolean beyondTolerance,
        int largestPadding,
        long endMs,
        List<Step> steps) {

    Scenario with(List<Step> fewer) {
        return new Scenario(
                seed,
                losses,
                machines,
                lostPerMille,
                doubledPerMille,
                lostAnswersPerMille,
                beyondTolerance,
                largestPadding,
                endMs,
                List.copyOf(fewer));
    }

    long catchUpMs() {
        return losses <= 1 ? 4_000 : 6_000;
    }

    String describe() {
        StringBuilder text = new StringBuilder("seed " + seed + ": f = " + losses + ", " + machines + " machines, "
                + lostPerMille + " per mille of messages lost, " + doubledPerMille + " doubled, " + lostAnswersPerMille
                + " per mille of answers lost" + (beyondTolerance ? ", troubles beyond f with disks kept" : ""));
        steps.forEach(step -> text.append("\n  ").append(step.describe()));
        return text.toString();
    }
}
