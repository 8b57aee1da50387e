package quartzspan.replication;

/** The times of the replication protocol, in milliseconds of a steady clock. */
final class Timing {
    /** Time between heartbeats. */
    static final long HEARTBEAT_MS = 150;
    /** Time between retries of a request that was not answered. */
    static final long RETRY_MS = 250;
    /** A primary without a quorum for so long steps down; longer than one heartbeat that was lost and one that was late. */
    static final long QUORUM_TIMEOUT_MS = 700;
    /** A replica grants no vote while it has heard the primary within this time (leader stickiness). */
    static final long VOTE_STICKINESS_MS = 500;
    /** Time without a heartbeat after which an election may be started, and the most that is added at random. */
    static final long ELECTION_TIMEOUT_MS = 700;

    static final long ELECTION_TIMEOUT_JITTER_MS = 500;
    /** A granted vote counts as a heartbeat that is already so old: it defers other elections for a moment. */
    static final long ELECTION_DEFERRAL_AGE_MS = 350;
    /** A backup that was not heard for so long is replaced by another replica. */
    static final long BACKUP_TIMEOUT_MS = 600;
    /** A voter that was not heard for so long is replaced by a standby for good. */
    static final long VOTER_TIMEOUT_MS = 2_000;
    /** The same where there is one voter more than needed, and none replaces it: an even set has no slack. */
    static final long SPARE_VOTER_TIMEOUT_MS = 1_000;
    /** A standby becomes a spare voter after this; by then it has replaced any voter that is not heard. */
    static final long STANDBY_PROMOTION_DELAY_MS = 2_500;
    /** Time allowed for one step of an election. */
    static final long ELECTION_STEP_TIMEOUT_MS = 900;
    /** Time allowed for a step that transfers a complete control state. */
    static final long STATE_TRANSFER_TIMEOUT_MS = 2_500;
    /** A disk that takes longer than this for a record makes its replica step down. */
    static final long DISK_TIMEOUT_MS = 800;
    /** Large states take longer to write, send and read: bytes that add one millisecond. */
    static final long STATE_BYTES_PER_MS = 4096;
    /** Time without elections after the own disk refused a record. */
    static final long ELECTION_PAUSE_MS = 1_500;

    private Timing() {}
}
