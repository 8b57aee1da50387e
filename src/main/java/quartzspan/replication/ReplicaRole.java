package quartzspan.replication;

/** The current role of a replica. */
public enum ReplicaRole {
    /** Has lost its disk with its promises; does not take part until it has recovered. */
    RECOVERING("BLANK"),
    /** Has no vote and requests to join. */
    STANDBY("STANDBY"),
    /** Accepts changes and serves reads. */
    PRIMARY("PRIMARY"),
    /** Runs an election to become primary or to change the membership. */
    CANDIDATE("CANDIDATE"),
    /** Votes, holds the control state and syncs each change before it is acknowledged. */
    BACKUP("BACKUP"),
    /** Votes, but holds no control state. */
    WITNESS("WITNESS");

    private final String statusName;

    ReplicaRole(String statusName) {
        this.statusName = statusName;
    }

    /** The name in the status shown to operators, which stays the same across versions. */
    public String statusName() {
        return statusName;
    }
}
