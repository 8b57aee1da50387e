package quartzspan.registry;

import java.io.ByteArrayOutputStream;
import quartzspan.common.FleetException;

/**
 * Fetches the published state from a process that has a newer one, as deltas or as the chunks of a snapshot. Fetches from one
 * process at a time, so that no large state is transferred twice. Performs no I/O and reads no clock.
 */
final class StateFetch {
    /** A request that is not answered within this time is abandoned. */
    private static final long REQUEST_TIMEOUT_MS = 600;

    private static final int MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

    private final StateFollower stateFollower;
    private final Gossip.Sender sender;
    private long lastNonce;
    /** The process to which the open request was sent; null if there is none. */
    private String source;

    private long requestedAtMs;
    /** Index of the snapshot being fetched, or a constant of {@link SnapshotChunk} before its first chunk. */
    private long snapshotIndex = -1;

    private ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();
    /** Whether the received deltas did not apply to the local state, so that a snapshot is required. */
    private boolean deltasFailed;
    /** The process that announced the newest state, and the index of that state. */
    private String newestSource;

    private long newestIndex = -1;

    /** @param firstNonce the value before the first nonce, far from those of other incarnations of this process */
    StateFetch(StateFollower stateFollower, long firstNonce, Gossip.Sender sender) {
        this.stateFollower = stateFollower;
        this.lastNonce = firstNonce;
        this.sender = sender;
    }

    /**
     * Records that another process has the state at an index. Usually the state is being sent to this process as well, so the
     * next tick starts a fetch if it is still needed. The fetch starts at once if there is no local state yet, or if the deltas
     * received did not lead to that index ({@code missingDeltas}).
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

    /** To be called every 50 to 100 ms; returns the process whose request timed out, or null. */
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

    /** Processes the reply to a request; returns whether the local state advanced. */
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
            // A malformed snapshot is discarded; the state is fetched again when another process announces it.
            return false;
        }
    }
}
