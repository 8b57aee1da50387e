package quartzspan.replication.simulation;

/** A rule that a history broke. */
final class Violation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** What must hold. */
    enum Rule {
        ONE_PRIMARY_PER_BALLOT,
        ONE_VIEW_PER_BALLOT,
        COMMITS_ONLY_RISE,
        PRIMARY_HAS_ALL_COMMITS,
        ACKNOWLEDGED_IS_IN_FORCE,
        ACKNOWLEDGED_IS_DURABLE,
        ONE_CHANGE_PER_BASE,
        READS_ARE_LINEARIZABLE,
        READS_ONLY_WHAT_CAME_IN_FORCE,
        NEVER_REFUSED_WHAT_IS_IN_FORCE,
        REFUSED_WITH_REASON,
        INVALID_IS_REFUSED,
        STORE_OUTLIVES_POWER_LOSS,
        CALM_HAS_A_PRIMARY,
        CALM_ACCEPTS_A_CHANGE,
        CALM_RESTORES_REDUNDANCY,
        NO_EXCEPTION
    }

    private final Rule rule;

    Violation(Rule rule, String what) {
        super(rule + ": " + what);
        this.rule = rule;
    }

    Violation(Rule rule, RuntimeException cause) {
        super(rule + ": " + cause, cause);
        this.rule = rule;
    }

    Rule rule() {
        return rule;
    }

    static void require(boolean holds, Rule rule, String otherwise) {
        if (!holds) {
            throw new Violation(rule, otherwise);
        }
    }
}
