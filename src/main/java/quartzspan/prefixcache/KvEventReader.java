package quartzspan.prefixcache;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt blocks one server has cached: reads the server's cache events, and its complete list after a gap in the
 * events. It has no clock and does no I/O: it returns the next call to make, receives the response, and returns updates for the
 * index. Times are milliseconds of a monotonic clock.
 */
public final class KvEventReader {
    /** Minimum time between calls: a call that returns immediately costs the server as much as a health check. */
    private static final long CALL_INTERVAL_MS = 450;

    private static final long RETRY_INTERVAL_MS = 700;
    /** Consecutive failures after which the server's blocks are removed from the index. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;
    /** Minimum time between list calls: listing delays the server's other work. */
    private static final long MIN_LIST_INTERVAL_MS = 3_000;

    /** The next call to the server. */
    public enum NextCall {
        NOTHING,
        EVENTS,
        LIST
    }

    /** A change of one cached block as reported by the server; 0 tokens if the block was evicted. */
    public record Event(String salt, String id, int tokens, String model) {}

    private final String server;
    private final long stream;
    private long seq;
    private long since;
    private long epoch = -1;
    private boolean started;
    private boolean listRequired;
    private boolean callInFlight;
    private int failures;
    private long nextCallAtMs;
    private long listRequestedAtMs = Long.MIN_VALUE / 2;

    public KvEventReader(String server, long stream) {
        this.server = server;
        this.stream = stream;
    }

    /** Returns the call to make now and marks it as in flight; no other call is due until its response or failure is reported. */
    public NextCall nextCall(long nowMs) {
        if (callInFlight || nowMs < nextCallAtMs) {
            return NextCall.NOTHING;
        }
        callInFlight = true;
        if (listRequired && nowMs - listRequestedAtMs >= MIN_LIST_INTERVAL_MS) {
            listRequestedAtMs = nowMs;
            return NextCall.LIST;
        }
        return NextCall.EVENTS;
    }

    /** The token from which the next events call reads. */
    public long since() {
        return since;
    }

    /**
     * Handles a failed call. After {@link #MAX_CONSECUTIVE_FAILURES} it returns an empty snapshot: a server that does not respond
     * can't be a source to fetch blocks from.
     */
    public List<PrefixCacheUpdate> onFailure(long nowMs) {
        callInFlight = false;
        nextCallAtMs = nowMs + RETRY_INTERVAL_MS;
        if (!started || ++failures < MAX_CONSECUTIVE_FAILURES) {
            return List.of();
        }
        started = false;
        listRequired = false;
        since = 0;
        return List.of(update(PrefixCacheUpdate.Kind.SNAPSHOT, List.of()));
    }

    /** Handles the response to an events call; returns the updates to publish. */
    public List<PrefixCacheUpdate> onEvents(
            long nowMs, long serverEpoch, long nextToken, boolean lost, List<Event> events) {
        callInFlight = false;
        failures = 0;
        nextCallAtMs = nowMs + CALL_INTERVAL_MS;
        boolean firstResponse = !started || serverEpoch != epoch;
        if (firstResponse) {
            // A new incarnation of the server starts with an empty cache and sends all of its events.
            listRequired = started && since > 0 || lost;
            started = true;
            epoch = serverEpoch;
        }
        listRequired |= lost;
        since = nextToken;
        List<Event> latest = latestPerBlock(events);
        if (firstResponse) {
            return List.of(update(
                    PrefixCacheUpdate.Kind.SNAPSHOT,
                    latest.stream().filter(event -> event.tokens() > 0).toList()));
        }
        return latest.isEmpty() ? List.of() : List.of(update(PrefixCacheUpdate.Kind.DELTA, latest));
    }

    /**
     * The last event of each block. The events since a server's start are many times its currently cached blocks, and a new
     * reader would otherwise broadcast all of them.
     */
    private static List<Event> latestPerBlock(List<Event> events) {
        Map<List<String>, Event> latest = new LinkedHashMap<>();
        events.forEach(event -> latest.put(List.of(event.salt(), event.id(), event.model()), event));
        return List.copyOf(latest.values());
    }

    /** Handles the response to a list call; returns the snapshot to publish. */
    public PrefixCacheUpdate onList(long nowMs, long serverEpoch, long nextToken, List<Event> cached) {
        callInFlight = false;
        failures = 0;
        listRequired = false;
        started = true;
        nextCallAtMs = nowMs + CALL_INTERVAL_MS;
        epoch = serverEpoch;
        since = nextToken;
        return update(PrefixCacheUpdate.Kind.SNAPSHOT, cached);
    }

    private PrefixCacheUpdate update(PrefixCacheUpdate.Kind kind, List<Event> events) {
        long[] blocks = new long[Math.min(PrefixCacheUpdate.MAX_BLOCKS, events.size())];
        int[] tokens = new int[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            Event event = events.get(i);
            blocks[i] = PrefixCacheIndex.blockHash(event.salt(), event.id(), event.model());
            tokens[i] = event.tokens();
        }
        return new PrefixCacheUpdate(kind, server, stream, ++seq, blocks, tokens);
    }
}
