package quartzspan.replication;

/** What a replica does at present. */
public enum ReplicaRole {
    /** The disk was lost, and with it what the replica had promised; it takes no part until it has recovered. */
    RECOVERING("BLANK"),
    /** It has no vote, and asks to be taken in. */
    STANDBY("STANDBY"),
    /** It accepts changes and answers reads. */
    PRIMARY("PRIMARY"),
    /** It tries to become primary, or to change the membership. */
    CANDIDATE("CANDIDATE"),
    /** It holds the control state and syncs each change before that is answered. */
    BACKUP("BACKUP"),
    /** It votes and holds no control state. */
    WITNESS("WITNESS");

    private final String statusName;

    ReplicaRole(String statusName) {
        this.statusName = statusName;
    }

    /** The name in the status that operators read; it never changes. */
    public String statusName() {
        return statusName;
    }
}
