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

    private final StateFollower stateFollower;
    private final Gossip.Sender sender;
    private long lastNonce;
    /** Whom the open request is put to; null if there is none. */
    private String source;

    private long requestedAtMs;
    /** The snapshot that is being read, as far as it came. */
    private long snapshotIndex = -1;

    private ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();
    /** The deltas don't apply to the state here: only a snapshot helps. */
    private boolean deltasFailed;
    /** The process that was last heard to have a newer state, and its index. */
    private String newestSource;

    private long newestIndex = -1;

    /** @param firstNonce one that no other incarnation of this process is likely to be near */
    StateFetch(StateFollower stateFollower, long firstNonce, Gossip.Sender sender) {
        this.stateFollower = stateFollower;
        this.lastNonce = firstNonce;
        this.sender = sender;
    }

    /**
     * Another process has the state at an index. Most often it is on its way here as well: unless there is none here yet, or
     * steps came that don't fit ({@code missingDeltas}), the next tick sees whether it is still needed.
     */
    void onIndex(long now, String from, long index, boolean missingDeltas) {
        if (index <= stateFollower.index()) {
            return;
        }
        if (index > newestIndex || newestSource == null) {
            newestIndex = index;
            newestSource = from;
        }
        if (missingDeltas || stateFollower.index() < 0) {
            startFetch(now, from);
        }
    }

    /** To be called every 50 to 100 ms; who left a request unanswered, or null. */
    String onTick(long now) {
        String unresponsive = null;
        if (source != null && now - requestedAtMs > REQUEST_TIMEOUT_MS) {
            unresponsive = source;
            source = null;
        }
        if (newestIndex > stateFollower.index() && newestSource != null && source == null && unresponsive == null) {
            String from = newestSource;
            newestSource = null;
            startFetch(now, from);
        }
        return unresponsive;
    }

    private void startFetch(long now, String from) {
        if (source == null) {
            source = from;
            snapshotIndex = deltasFailed ? SnapshotChunk.SNAPSHOT_ONLY : SnapshotChunk.DELTAS_OR_SNAPSHOT;
            receivedBytes = new ByteArrayOutputStream();
            request(now);
        }
    }

    private void request(long now) {
        requestedAtMs = now;
        sender.send(
                source,
                GossipMessage.fetch(
                        ++lastNonce,
                        stateFollower.index(),
                        SnapshotChunk.request(snapshotIndex, receivedBytes.size())));
    }

    /** The reply to a request; whether the state here advanced by it. */
    boolean onFetchReply(long now, String from, GossipMessage message) {
        if (!from.equals(source) || message.nonce() != lastNonce) {
            return false;
        }
        if (message.chunk().totalBytes() > 0) {
            return onChunk(now, message);
        }
        source = null;
        boolean newer = stateFollower.apply(message.deltas());
        boolean behind = message.stateIndex() > stateFollower.index();
        deltasFailed = behind && !newer && !message.deltas().isEmpty();
        if (behind) {
            startFetch(now, from);
        }
        return newer;
    }

    private boolean onChunk(long now, GossipMessage message) {
        SnapshotChunk chunk = message.chunk();
        if (chunk.offset() == 0) {
            receivedBytes.reset();
            snapshotIndex = chunk.index();
        }
        if (chunk.index() != snapshotIndex
                || chunk.offset() != receivedBytes.size()
                || chunk.totalBytes() > MAX_SNAPSHOT_BYTES) {
            source = null;
            return false;
        }
        receivedBytes.write(chunk.bytes(), 0, chunk.bytes().length);
        if (receivedBytes.size() < chunk.totalBytes()) {
            request(now);
            return false;
        }
        String from = source;
        source = null;
        deltasFailed = false;
        boolean newer = installSnapshot();
        if (newer && message.stateIndex() > stateFollower.index()) {
            startFetch(now, from);
        }
        return newer;
    }

    private boolean installSnapshot() {
        byte[] bytes = receivedBytes.toByteArray();
        receivedBytes = new ByteArrayOutputStream();
        try {
            return stateFollower.install(new Snapshot(snapshotIndex, bytes));
        } catch (FleetException e) {
            // Nothing is taken of a snapshot that can't be read; another process is asked when next heard.
            return false;
        }
    }
}
