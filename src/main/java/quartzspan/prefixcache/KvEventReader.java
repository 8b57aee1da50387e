package quartzspan.prefixcache;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Follows what one server keeps, by its events, and by its list where events were missed. No clock, no I/O: it says what to
 * call, gets the response, and returns updates of the index. Times are milliseconds of a steady clock.
 */
public final class KvEventReader {
    /** Time between calls: each that comes back at once costs the server as much as a health check. */
    private static final long CALL_INTERVAL_MS = 450;

    private static final long RETRY_INTERVAL_MS = 700;
    /** Failures in a row after which nothing it keeps is of use. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;
    /** A list delays the server; not more often than this. */
    private static final long MIN_LIST_INTERVAL_MS = 3_000;

    /** What to ask the server for. */
    public enum NextCall {
        NOTHING,
        EVENTS,
        LIST
    }

    /** A change of the cached blocks, as the server reports it. */
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

    /** The call to make now; it has to end before the next one is due. */
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

    /** From where events are wanted. */
    public long since() {
        return since;
    }

    /** The question failed; the report it makes. One that does not answer is no source to fetch from. */
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

    /** Events came; the reports they make. */
    public List<PrefixCacheUpdate> onEvents(
            long nowMs, long serverEpoch, long nextToken, boolean lost, List<Event> events) {
        callInFlight = false;
        failures = 0;
        nextCallAtMs = nowMs + CALL_INTERVAL_MS;
        boolean firstResponse = !started || serverEpoch != epoch;
        if (firstResponse) {
            // A new incarnation of the server has nothing cached yet, and sends its events from the first one on.
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
     * The last event of each block: a server's events since its start are many times what it has cached now, and a new reader would
     * broadcast all of them.
     */
    private static List<Event> latestPerBlock(List<Event> events) {
        Map<List<String>, Event> latest = new LinkedHashMap<>();
        events.forEach(event -> latest.put(List.of(event.salt(), event.id(), event.model()), event));
        return List.copyOf(latest.values());
    }

    /** The list came; the report it makes. */
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
