package quartzspan.registry;

import java.io.ByteArrayOutputStream;
import quartzspan.common.FleetException;

/**
 * Fetches the published state from a process that has a newer one: the deltas, or a snapshot chunk by chunk. From one process at
 * a time, so that nothing large comes twice. No clock, no I/O.
 */
final class StateFetch {
    /** A request that is not answered in this time is given up. */
    private static final long REQUEST_TIMEOUT_MS = 600;

    private static final int MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

    private final StateFollower states;
    private final Gossip.Sender sender;
    private long lastNonce;
    /** Whom the open request is put to; null if there is none. */
    private String source;

    private long requestedAtMs;
    /** The snapshot that is being read, as far as it came. */
    private long snapshotIndex = -1;

    private ByteArrayOutputStream received = new ByteArrayOutputStream();
    /** The deltas don't apply to the state here: only a snapshot helps. */
    private boolean stepsFailed;
    /** The process that was last heard to have a newer state, and its index. */
    private String newestHolder;

    private long newestIndex = -1;

    /** @param firstNonce one that no other incarnation of this process is likely to be near */
    StateFetch(StateFollower states, long firstNonce, Gossip.Sender sender) {
        this.states = states;
        this.lastNonce = firstNonce;
        this.sender = sender;
    }

    /**
     * Another process has the state at an index. Most often it is on its way here as well: unless there is none here yet, or
     * steps came that don't fit ({@code gap}), the next tick sees whether it is still needed.
     */
    void onIndex(long now, String from, long index, boolean gap) {
        if (index <= states.index()) {
            return;
        }
        if (index > newestIndex || newestHolder == null) {
            newestIndex = index;
            newestHolder = from;
        }
        if (gap || states.index() < 0) {
            begin(now, from);
        }
    }

    /** To be called every 50 to 100 ms; who left a request unanswered, or null. */
    String onTick(long now) {
        String unresponsive = null;
        if (source != null && now - requestedAtMs > REQUEST_TIMEOUT_MS) {
            unresponsive = source;
            source = null;
        }
        if (newestIndex > states.index() && newestHolder != null && source == null && unresponsive == null) {
            String from = newestHolder;
            newestHolder = null;
            begin(now, from);
        }
        return unresponsive;
    }

    private void begin(long now, String from) {
        if (source == null) {
            source = from;
            snapshotIndex = stepsFailed ? SnapshotChunk.WITHOUT_STEPS : SnapshotChunk.ANY;
            received = new ByteArrayOutputStream();
            request(now);
        }
    }

    private void request(long now) {
        requestedAtMs = now;
        sender.send(
                source,
                GossipMessage.fetch(
                        ++lastNonce, states.index(), SnapshotChunk.request(snapshotIndex, received.size())));
    }

    /** The reply to a request; whether the state here advanced by it. */
    boolean onFetchReply(long now, String from, GossipMessage in) {
        if (!from.equals(source) || in.nonce() != lastNonce) {
            return false;
        }
        if (in.chunk().total() > 0) {
            return onChunk(now, in);
        }
        source = null;
        boolean newer = states.apply(in.deltas());
        boolean behind = in.stateIndex() > states.index();
        stepsFailed = behind && !newer && !in.deltas().isEmpty();
        if (behind) {
            begin(now, from);
        }
        return newer;
    }

    private boolean onChunk(long now, GossipMessage in) {
        SnapshotChunk chunk = in.chunk();
        if (chunk.offset() == 0) {
            received.reset();
            snapshotIndex = chunk.index();
        }
        if (chunk.index() != snapshotIndex || chunk.offset() != received.size() || chunk.total() > MAX_SNAPSHOT_BYTES) {
            source = null;
            return false;
        }
        received.write(chunk.bytes(), 0, chunk.bytes().length);
        if (received.size() < chunk.total()) {
            request(now);
            return false;
        }
        String from = source;
        source = null;
        stepsFailed = false;
        boolean newer = takeSnapshot();
        if (newer && in.stateIndex() > states.index()) {
            begin(now, from);
        }
        return newer;
    }

    private boolean takeSnapshot() {
        byte[] bytes = received.toByteArray();
        received = new ByteArrayOutputStream();
        try {
            return states.take(new Snapshot(snapshotIndex, bytes));
        } catch (FleetException e) {
            // Nothing is taken of a snapshot that can't be read; another process is asked when next heard.
            return false;
        }
    }
}
