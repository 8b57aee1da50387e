package quartzspan.replication;

/** The times of the protocol, in milliseconds of a steady clock. */
final class Timing {
    /** Time between heartbeats. */
    static final long HEARTBEAT_MS = 150;
    /** Time between repeats of a request that was not answered. */
    static final long RETRY_MS = 250;
    /** A primary without a quorum for so long stands down; longer than a heartbeat that was lost and one that was late. */
    static final long QUORUM_TIMEOUT_MS = 700;
    /** Nobody grants a candidacy while it has heard the primary within this time. */
    static final long VOTE_STICKINESS_MS = 500;
    /** Silence of the primary after which to stand for its place, and the most that chance adds. */
    static final long ELECTION_TIMEOUT_MS = 700;

    static final long ELECTION_TIMEOUT_JITTER_MS = 500;
    /** A granted candidacy counts as a word of a primary that is already so old: it defers others for a moment. */
    static final long ELECTION_DEFERRAL_AGE_MS = 350;
    /** Silence of a backup after which another replica takes its place. */
    static final long BACKUP_TIMEOUT_MS = 600;
    /** Silence of a voter after which a standby takes its place for good. */
    static final long VOTER_TIMEOUT_MS = 2_000;
    /** Silence of a voter after which it is dropped where there is one more than needed: an even set has no slack. */
    static final long SPARE_VOTER_TIMEOUT_MS = 1_000;
    /** A standby is taken in beside all other voters after this; by then whoever is silent has been replaced by it. */
    static final long STANDBY_PROMOTION_DELAY_MS = 2_500;
    /** Time for one step of a candidacy. */
    static final long ELECTION_STEP_TIMEOUT_MS = 900;
    /** Time for a step that moves a whole control state. */
    static final long STATE_TRANSFER_TIMEOUT_MS = 2_500;
    /** A disk that takes longer than this for a record hands over. */
    static final long DISK_TIMEOUT_MS = 800;
    /** Large states take longer to write, send and read: bytes that add one millisecond. */
    static final long STATE_BYTES_PER_MS = 4096;
    /** After the disk refused: how long not to stand. */
    static final long ELECTION_PAUSE_MS = 1_500;

    private Timing() {}
}
