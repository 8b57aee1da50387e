package quartzspan.replication;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a replica has promised and which membership it knows, in memory and on its disk.
 *
 * <p>A replica whose disk is lost begins a new <em>generation</em>. The others note it durably before they help it to recover,
 * and name the generations that they know in each vote and acceptance. A vote that was given before the loss is thereby known
 * to be void to any candidate that would count it together with one of theirs.
 */
final class VoterState {
    /** The tag of the record on disk. */
    static final byte RECORD_TAG = 'V';

    private static final String LINE_SEPARATOR = "\n";
    private static final int FIELDS = 5;

    /**
     * One incarnation of a disk.
     *
     * @param generation how often the disk was lost before
     * @param nonce drawn at random at the first start with an empty disk
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

    /** The newest membership known here. */
    Membership membership() {
        return membership;
    }

    /** The highest promise that is on the disk: other replicas learn of no other. */
    Epoch durablePromisedEpoch() {
        return durablePromisedEpoch;
    }

    /** The newest membership that is on the disk: other replicas learn of no other. */
    Membership durableMembership() {
        return durableMembership;
    }

    long generation() {
        return diskIncarnation.generation();
    }

    long incarnationNonce() {
        return diskIncarnation.nonce();
    }

    /** Whether the disk was lost, and what was promised has not been learnt again. */
    boolean isRecovering() {
        return recovering;
    }

    void beginIncarnation(DiskIncarnation incarnation) {
        diskIncarnation = incarnation;
    }

    void setRecovering(boolean value) {
        recovering = value;
    }

    /** Promises to take nothing below an epoch; takes effect for others once it is persisted. */
    void promise(Epoch epoch) {
        promisedEpoch = Epoch.max(promisedEpoch, epoch);
    }

    /** Learns a membership if it is newer than the one known. */
    void adoptIfNewer(Membership newer) {
        if (newer.supersedes(membership)) {
            membership = newer;
        }
    }

    /** How often the disks of others were lost, as far as is known here. */
    Map<String, Long> generations() {
        Map<String, Long> all = new TreeMap<>();
        peerIncarnations.forEach((name, known) -> all.put(name, known.generation()));
        return all;
    }

    /**
     * Notes that another replica's disk was lost; to be persisted before that replica is answered.
     *
     * @return whether this incarnation is the newest known of that disk
     */
    boolean recordIncarnation(String name, DiskIncarnation claimed) {
        DiskIncarnation known = peerIncarnations.get(name);
        if (known == null || claimed.generation() > known.generation()) {
            peerIncarnations.put(name, claimed);
            return true;
        }
        return claimed.equals(known);
    }

    /** Writes all of this to the disk. */
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

    /** Forgets everything. */
    void clear() {
        promisedEpoch = Epoch.NONE;
        membership = Membership.NONE;
        durablePromisedEpoch = Epoch.NONE;
        durableMembership = Membership.NONE;
        diskIncarnation = DiskIncarnation.FIRST;
        peerIncarnations.clear();
    }

    /** Reads a record of {@link #persist} at a start. */
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
