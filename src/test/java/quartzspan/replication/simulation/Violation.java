package quartzspan.replication.simulation;

/** Violation of a safety or liveness rule in a scenario. */
final class Violation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** The rules that every scenario must satisfy. */
    enum Rule {
        ONE_PRIMARY_PER_EPOCH,
        ONE_MEMBERSHIP_PER_EPOCH,
        COMMITTED_VERSIONS_INCREASE,
        PRIMARY_HAS_ALL_COMMITS,
        ACKNOWLEDGED_CHANGE_IS_COMMITTED,
        ACKNOWLEDGED_CHANGE_IS_DURABLE,
        ONE_CHANGE_PER_BASE_VERSION,
        READS_ARE_LINEARIZABLE,
        READS_RETURN_COMMITTED_STATE,
        REJECTED_CHANGE_IS_NOT_COMMITTED,
        REJECTION_HAS_VALID_REASON,
        INVALID_CHANGE_IS_REJECTED,
        STORE_SURVIVES_POWER_LOSS,
        PRIMARY_EXISTS_AFTER_FAULTS,
        REQUESTS_SUCCEED_AFTER_FAULTS,
        REDUNDANCY_RESTORED_AFTER_FAULTS,
        NO_EXCEPTION
    }

    private final Rule rule;

    Violation(Rule rule, String detail) {
        super(rule + ": " + detail);
        this.rule = rule;
    }

    Violation(Rule rule, RuntimeException cause) {
        super(rule + ": " + cause, cause);
        this.rule = rule;
    }

    Rule rule() {
        return rule;
    }

    static void require(boolean holds, Rule rule, String detail) {
        if (!holds) {
            throw new Violation(rule, detail);
        }
    }
}
