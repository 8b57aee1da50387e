package quartzspan.replication;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a replica has promised and which view it knows, in memory and on its disk.
 *
 * <p>A replica whose disk is lost begins a new <em>generation</em>. The others note it durably before they help it to recover,
 * and name the generations that they know in each vote and acceptance. A vote that was given before the loss is thereby known
 * to be void to any candidate that would count it together with one of theirs.
 */
final class VoterState {
    /** The tag of the record on disk. */
    static final byte RECORD = 'V';

    private static final String LINE = "\n";
    private static final int FIELDS = 5;

    /**
     * One life of a disk.
     *
     * @param generation how often the disk was lost before
     * @param nonce drawn at random at the first start with an empty disk
     */
    record DiskLife(long generation, long nonce) {
        static final DiskLife FIRST = new DiskLife(0, 0);

        private String text() {
            return generation + "/" + nonce;
        }

        private static DiskLife parse(String text) {
            int slash = text.indexOf('/');
            return new DiskLife(Long.parseLong(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1)));
        }
    }

    private final DiskQueue disk;
    private final Map<String, DiskLife> lives = new TreeMap<>();
    private Ballot promised = Ballot.NONE;
    private View view = View.NONE;
    private DiskLife life = DiskLife.FIRST;
    private boolean blank;
    private Ballot durablePromise = Ballot.NONE;
    private View durableView = View.NONE;

    VoterState(DiskQueue disk) {
        this.disk = disk;
    }

    Ballot promised() {
        return promised;
    }

    /** The newest view known here. */
    View view() {
        return view;
    }

    /** The highest promise that is on the disk: others are told of no other. */
    Ballot durablePromise() {
        return durablePromise;
    }

    /** The newest view that is on the disk: others are told of no other. */
    View durableView() {
        return durableView;
    }

    long generation() {
        return life.generation();
    }

    long lifeNonce() {
        return life.nonce();
    }

    /** Whether the disk was lost, and with it what was promised. */
    boolean blank() {
        return blank;
    }

    void begin(DiskLife begun) {
        life = begun;
    }

    void setBlank(boolean value) {
        blank = value;
    }

    /** Promises to take nothing below a ballot; takes effect for others once it is persisted. */
    void promise(Ballot ballot) {
        promised = Ballot.max(promised, ballot);
    }

    /** Takes note of a view if it is newer than the one known. */
    void learn(View newer) {
        if (newer.supersedes(view)) {
            view = newer;
        }
    }

    /** How often the disks of others were lost, as far as is known here. */
    Map<String, Long> generations() {
        Map<String, Long> all = new TreeMap<>();
        lives.forEach((name, known) -> all.put(name, known.generation()));
        return all;
    }

    /**
     * Notes that another replica's disk was lost; to be persisted before that replica is told anything.
     *
     * @return whether this life is the newest known of that disk
     */
    boolean noteLife(String name, DiskLife claimed) {
        DiskLife known = lives.get(name);
        if (known == null || claimed.generation() > known.generation()) {
            lives.put(name, claimed);
            return true;
        }
        return claimed.equals(known);
    }

    /** Writes all of this to the disk. */
    void persist(long now, DiskQueue.Completion completion) {
        Ballot promise = promised;
        View known = view;
        disk.write(now, record(), durable -> {
            if (durable) {
                durablePromise = promise;
                durableView = known;
            }
            completion.done(durable);
        });
    }

    private byte[] record() {
        StringBuilder all = new StringBuilder();
        lives.forEach((name, known) -> all.append(all.length() == 0 ? "" : ",")
                .append(name)
                .append('=')
                .append(known.text()));
        String tag = String.valueOf((char) RECORD);
        return String.join(LINE, tag, promised.text(), view.text(), life.text(), all)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Forgets everything. */
    void clear() {
        promised = Ballot.NONE;
        view = View.NONE;
        durablePromise = Ballot.NONE;
        durableView = View.NONE;
        life = DiskLife.FIRST;
        lives.clear();
    }

    /** Reads a record of {@link #persist} at a start. */
    void restore(byte[] record) {
        String[] fields = new String(record, StandardCharsets.UTF_8).split(LINE, -1);
        if (fields.length != FIELDS) {
            throw StateCopy.damaged();
        }
        Ballot promise = Ballot.parse(fields[1]);
        View known = View.parse(fields[2]);
        if (promise == null || known == null) {
            throw StateCopy.damaged();
        }
        promised = promise;
        view = known;
        durablePromise = promise;
        durableView = known;
        life = DiskLife.parse(fields[3]);
        lives.clear();
        for (String entry : fields[4].isEmpty() ? new String[0] : fields[4].split(",")) {
            int equals = entry.lastIndexOf('=');
            lives.put(entry.substring(0, equals), DiskLife.parse(entry.substring(equals + 1)));
        }
    }
}
