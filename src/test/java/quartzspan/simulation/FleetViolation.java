package quartzspan.simulation;

/** A rule of the fleet has been broken. */
final class FleetViolation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** The rules, by the names of the specification. */
    enum Rule {
        VERSION,
        DRAIN,
        ONE,
        CONFIG_REVOKED,
        CONFIG_APPLIED,
        CONFIG_READ,
        CONFIG_RACE,
        LOST,
        RECOVER,
        WALL
    }

    private final Rule rule;

    FleetViolation(Rule rule, String message) {
        super(rule + ": " + message);
        this.rule = rule;
    }

    Rule rule() {
        return rule;
    }
}
