package quartzspan.replication;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * The promised epoch and the newest known membership of a replica, in memory and on disk.
 *
 * <p>A replica that lost its disk begins a new disk <em>generation</em>. The other replicas record it durably before they help the
 * replica to recover, and report the generations they know with each vote and acceptance. A candidate thus detects a vote that
 * was granted before the disk loss, and does not count it together with such a reply.
 */
final class VoterState {
    /** First byte of the record on disk. */
    static final byte RECORD_TAG = 'V';

    private static final String LINE_SEPARATOR = "\n";
    private static final int FIELDS = 5;

    /**
     * Identifies the contents of a disk from one loss to the next.
     *
     * @param generation number of times that the disk was lost before
     * @param nonce random number drawn when recovery with an empty disk begins
     */
    record DiskIncarnation(long generation, long nonce) {
        static final DiskIncarnation FIRST = new DiskIncarnation(0, 0);

        private String text() {
            return generation + "/" + nonce;
        }

        private static DiskIncarnation parse(String text) {
            int slash = text.indexOf('/');
            return new DiskIncarnation(
                    Long.parseLong(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1)));
        }
    }

    private final DiskQueue disk;
    private final Map<String, DiskIncarnation> peerIncarnations = new TreeMap<>();
    private Epoch promisedEpoch = Epoch.NONE;
    private Membership membership = Membership.NONE;
    private DiskIncarnation diskIncarnation = DiskIncarnation.FIRST;
    private boolean recovering;
    private Epoch durablePromisedEpoch = Epoch.NONE;
    private Membership durableMembership = Membership.NONE;

    VoterState(DiskQueue disk) {
        this.disk = disk;
    }

    Epoch promisedEpoch() {
        return promisedEpoch;
    }

    /** The newest known membership. */
    Membership membership() {
        return membership;
    }

    /** The highest promise on disk; replies that grant a request report no other. */
    Epoch durablePromisedEpoch() {
        return durablePromisedEpoch;
    }

    /** The newest membership on disk; replies report no other. */
    Membership durableMembership() {
        return durableMembership;
    }

    long generation() {
        return diskIncarnation.generation();
    }

    long incarnationNonce() {
        return diskIncarnation.nonce();
    }

    /** Whether the disk was lost and the promises on it have not been recovered yet. */
    boolean isRecovering() {
        return recovering;
    }

    void beginIncarnation(DiskIncarnation incarnation) {
        diskIncarnation = incarnation;
    }

    void setRecovering(boolean value) {
        recovering = value;
    }

    /** Promises to reject requests below an epoch; the promise may be reported once it is persisted. */
    void promise(Epoch epoch) {
        promisedEpoch = Epoch.max(promisedEpoch, epoch);
    }

    /** Adopts a membership if it supersedes the known one. */
    void adoptIfNewer(Membership newer) {
        if (newer.supersedes(membership)) {
            membership = newer;
        }
    }

    /** Known disk generations of the other replicas, by name. */
    Map<String, Long> generations() {
        Map<String, Long> all = new TreeMap<>();
        peerIncarnations.forEach((name, known) -> all.put(name, known.generation()));
        return all;
    }

    /**
     * Records that another replica lost its disk; has to be persisted before the reply to that replica is sent.
     *
     * @return whether the claimed incarnation is the newest known one of that disk
     */
    boolean recordIncarnation(String name, DiskIncarnation claimed) {
        DiskIncarnation known = peerIncarnations.get(name);
        if (known == null || claimed.generation() > known.generation()) {
            peerIncarnations.put(name, claimed);
            return true;
        }
        return claimed.equals(known);
    }

    /** Writes the promise, the membership and the known incarnations to disk. */
    void persist(long nowMs, DiskQueue.Completion completion) {
        Epoch promise = promisedEpoch;
        Membership known = membership;
        disk.write(nowMs, encodeRecord(), durable -> {
            if (durable) {
                durablePromisedEpoch = promise;
                durableMembership = known;
            }
            completion.done(durable);
        });
    }

    private byte[] encodeRecord() {
        StringBuilder all = new StringBuilder();
        peerIncarnations.forEach((name, known) -> all.append(all.length() == 0 ? "" : ",")
                .append(name)
                .append('=')
                .append(known.text()));
        String tag = String.valueOf((char) RECORD_TAG);
        return String.join(LINE_SEPARATOR, tag, promisedEpoch.text(), membership.text(), diskIncarnation.text(), all)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Resets all fields except the recovering flag. */
    void clear() {
        promisedEpoch = Epoch.NONE;
        membership = Membership.NONE;
        durablePromisedEpoch = Epoch.NONE;
        durableMembership = Membership.NONE;
        diskIncarnation = DiskIncarnation.FIRST;
        peerIncarnations.clear();
    }

    /** Loads a record written by {@link #persist}. */
    void restore(byte[] record) {
        String[] fields = new String(record, StandardCharsets.UTF_8).split(LINE_SEPARATOR, -1);
        if (fields.length != FIELDS) {
            throw ReplicaLog.damagedRecord();
        }
        Epoch promise = Epoch.parse(fields[1]);
        Membership known = Membership.parse(fields[2]);
        if (promise == null || known == null) {
            throw ReplicaLog.damagedRecord();
        }
        promisedEpoch = promise;
        membership = known;
        durablePromisedEpoch = promise;
        durableMembership = known;
        diskIncarnation = DiskIncarnation.parse(fields[3]);
        peerIncarnations.clear();
        for (String entry : fields[4].isEmpty() ? new String[0] : fields[4].split(",")) {
            int equals = entry.lastIndexOf('=');
            peerIncarnations.put(entry.substring(0, equals), DiskIncarnation.parse(entry.substring(equals + 1)));
        }
    }
}
