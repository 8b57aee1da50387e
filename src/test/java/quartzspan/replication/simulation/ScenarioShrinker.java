package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.List;

/** Shrinks a failing scenario: removes steps as long as the same rule is still violated. */
final class ScenarioShrinker {
    private final Violation.Rule rule;
    private final long deadlineMs;

    private ScenarioShrinker(Violation.Rule rule, long limitMs) {
        this.rule = rule;
        this.deadlineMs = System.nanoTime() / 1_000_000 + limitMs;
    }

    static Scenario shrink(Scenario failing, Violation.Rule rule, long limitMs) {
        return new ScenarioShrinker(rule, limitMs).shrink(failing);
    }

    private Scenario shrink(Scenario failing) {
        Scenario best = failing;
        int chunk = Math.max(1, best.steps().size() / 2);
        while (true) {
            boolean smaller = false;
            for (int from = 0; from < best.steps().size() && !isTimeUp(); ) {
                List<Step> fewer = new ArrayList<>(best.steps());
                fewer.subList(from, Math.min(fewer.size(), from + chunk)).clear();
                Scenario candidate = best.withSteps(fewer);
                if (fails(candidate)) {
                    best = candidate;
                    smaller = true;
                } else {
                    from += chunk;
                }
            }
            if (isTimeUp() || chunk == 1 && !smaller) {
                return best;
            }
            chunk = Math.max(1, chunk / 2);
        }
    }

    private boolean isTimeUp() {
        return System.nanoTime() / 1_000_000 > deadlineMs;
    }

    private boolean fails(Scenario candidate) {
        try {
            new Simulation(candidate, false).run();
            return false;
        } catch (Violation violation) {
            return violation.rule() == rule;
        }
    }
}
