package quartzspan.replication;

/** Timeouts and intervals of the replication protocol, in milliseconds of a steady clock. */
final class Timing {
    /** Interval between heartbeats. */
    static final long HEARTBEAT_MS = 150;
    /** Interval between retries of an unanswered request. */
    static final long RETRY_MS = 250;
    /** A primary steps down after this time without a quorum; allows for one lost and one late heartbeat. */
    static final long QUORUM_TIMEOUT_MS = 700;
    /** A replica grants no vote if it had contact with the primary within this time (leader stickiness). */
    static final long VOTE_STICKINESS_MS = 500;
    /** Time without contact to a primary after which an election may be started. */
    static final long ELECTION_TIMEOUT_MS = 700;
    /** Upper bound of the random delay before an election. */
    static final long ELECTION_TIMEOUT_JITTER_MS = 500;
    /** A granted vote counts as a heartbeat of this age, which briefly defers elections by the voter. */
    static final long ELECTION_DEFERRAL_AGE_MS = 350;
    /** A backup without contact for this time is replaced by another replica. */
    static final long BACKUP_TIMEOUT_MS = 600;
    /** A voter without contact for this time is permanently replaced by a standby. */
    static final long VOTER_TIMEOUT_MS = 2_000;
    /**
     * Used instead of {@link #VOTER_TIMEOUT_MS} if there is a spare voter, so that the voter can be removed without a replacement.
     * Shorter, since an even number of voters tolerates no more failures than one voter less.
     */
    static final long SPARE_VOTER_TIMEOUT_MS = 1_000;
    /** A standby becomes a spare voter after this time, by when it would have replaced any unresponsive voter. */
    static final long STANDBY_PROMOTION_DELAY_MS = 2_500;
    /** Timeout of one step of an election. */
    static final long ELECTION_STEP_TIMEOUT_MS = 900;
    /** Timeout of an election step that transfers a complete control state. */
    static final long STATE_TRANSFER_TIMEOUT_MS = 2_500;
    /** A replica steps down if its disk takes longer than this to write a record. */
    static final long DISK_TIMEOUT_MS = 800;
    /** State size that extends a timeout by one millisecond, since large states take longer to write, send and read. */
    static final long STATE_BYTES_PER_MS = 4096;
    /** Time for which a replica starts no elections after its disk failed or was too slow. */
    static final long ELECTION_PAUSE_MS = 1_500;

    private Timing() {}
}
