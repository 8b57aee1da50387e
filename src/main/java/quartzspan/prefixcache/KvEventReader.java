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
    private static final int MAX_FAILURES = 2;
    /** A list delays the server; not more often than this. */
    private static final long LIST_INTERVAL_MS = 3_000;

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
    private long listedAtMs = Long.MIN_VALUE / 2;

    public KvEventReader(String server, long stream) {
        this.server = server;
        this.stream = stream;
    }

    /** The call to make now; it has to end before the next one is due. */
    public NextCall due(long now) {
        if (callInFlight || now < nextCallAtMs) {
            return NextCall.NOTHING;
        }
        callInFlight = true;
        if (listRequired && now - listedAtMs >= LIST_INTERVAL_MS) {
            listedAtMs = now;
            return NextCall.LIST;
        }
        return NextCall.EVENTS;
    }

    /** From where events are wanted. */
    public long since() {
        return since;
    }

    /** The question failed; the report it makes. One that does not answer is no source to fetch from. */
    public List<PrefixCacheUpdate> failed(long now) {
        callInFlight = false;
        nextCallAtMs = now + RETRY_INTERVAL_MS;
        if (!started || ++failures < MAX_FAILURES) {
            return List.of();
        }
        started = false;
        listRequired = false;
        since = 0;
        return List.of(report(PrefixCacheUpdate.Kind.SNAPSHOT, List.of()));
    }

    /** Events came; the reports they make. */
    public List<PrefixCacheUpdate> events(long now, long serverEpoch, long next, boolean lost, List<Event> events) {
        callInFlight = false;
        failures = 0;
        nextCallAtMs = now + CALL_INTERVAL_MS;
        boolean first = !started || serverEpoch != epoch;
        if (first) {
            // A new incarnation of the server has nothing cached yet, and sends its events from the first one on.
            listRequired = started && since > 0 || lost;
            started = true;
            epoch = serverEpoch;
        }
        listRequired |= lost;
        since = next;
        List<Event> outcome = outcome(events);
        if (first) {
            return List.of(report(
                    PrefixCacheUpdate.Kind.SNAPSHOT,
                    outcome.stream().filter(e -> e.tokens() > 0).toList()));
        }
        return outcome.isEmpty() ? List.of() : List.of(report(PrefixCacheUpdate.Kind.DELTA, outcome));
    }

    /**
     * The last event of each block: a server's events since its start are many times what it has cached now, and a new reader would
     * broadcast all of them.
     */
    private static List<Event> outcome(List<Event> events) {
        Map<List<String>, Event> last = new LinkedHashMap<>();
        events.forEach(e -> last.put(List.of(e.salt(), e.id(), e.model()), e));
        return List.copyOf(last.values());
    }

    /** The list came; the report it makes. */
    public PrefixCacheUpdate list(long now, long serverEpoch, long next, List<Event> cached) {
        callInFlight = false;
        failures = 0;
        listRequired = false;
        started = true;
        nextCallAtMs = now + CALL_INTERVAL_MS;
        epoch = serverEpoch;
        since = next;
        return report(PrefixCacheUpdate.Kind.SNAPSHOT, cached);
    }

    private PrefixCacheUpdate report(PrefixCacheUpdate.Kind kind, List<Event> events) {
        long[] blocks = new long[Math.min(PrefixCacheUpdate.MAX_BLOCKS, events.size())];
        int[] tokens = new int[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            Event e = events.get(i);
            blocks[i] = PrefixCacheIndex.block(e.salt(), e.id(), e.model());
            tokens[i] = e.tokens();
        }
        return new PrefixCacheUpdate(kind, server, stream, ++seq, blocks, tokens);
    }
}
