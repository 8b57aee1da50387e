package quartzspan.promptindex;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Follows what one server keeps, by its events, and by its list where events were missed. No clock, no I/O: it says what to
 * ask, is told the answer, and says what is news. Times are milliseconds of a steady clock.
 */
public final class KvEventFollower {
    /** Time between calls: each that comes back at once costs the server as much as a health check. */
    private static final long PACE_MS = 450;

    private static final long AGAIN_MS = 700;
    /** Failures in a row after which nothing it keeps is of use. */
    private static final int FAILURES = 2;
    /** A list holds the server up; not more often than this. */
    private static final long LIST_MS = 3_000;

    /** What to ask the server for. */
    public enum Ask {
        NOTHING,
        EVENTS,
        LIST
    }

    /** A change of what is kept, as the server says it. */
    public record Event(String salt, String id, int tokens, String model) {}

    private final String server;
    private final long stream;
    private long seq;
    private long since;
    private long epoch = -1;
    private boolean begun;
    private boolean mustList;
    private boolean asking;
    private int failures;
    private long nextAt;
    private long listedAt = Long.MIN_VALUE / 2;

    public KvEventFollower(String server, long stream) {
        this.server = server;
        this.stream = stream;
    }

    /** What to ask now; the answer is owed before anything else is asked. */
    public Ask due(long now) {
        if (asking || now < nextAt) {
            return Ask.NOTHING;
        }
        asking = true;
        if (mustList && now - listedAt >= LIST_MS) {
            listedAt = now;
            return Ask.LIST;
        }
        return Ask.EVENTS;
    }

    /** From where events are wanted. */
    public long since() {
        return since;
    }

    /** The question failed; the report it makes. One that does not answer is no source to fetch from. */
    public List<PromptIndexUpdate> failed(long now) {
        asking = false;
        nextAt = now + AGAIN_MS;
        if (!begun || ++failures < FAILURES) {
            return List.of();
        }
        begun = false;
        mustList = false;
        since = 0;
        return List.of(report(PromptIndexUpdate.Kind.WHOLE, List.of()));
    }

    /** Events came; the reports they make. */
    public List<PromptIndexUpdate> events(long now, long itsEpoch, long next, boolean lost, List<Event> events) {
        asking = false;
        failures = 0;
        nextAt = now + PACE_MS;
        boolean first = !begun || itsEpoch != epoch;
        if (first) {
            // A new life keeps nothing yet, and tells its events from the first one on.
            mustList = begun && since > 0 || lost;
            begun = true;
            epoch = itsEpoch;
        }
        mustList |= lost;
        since = next;
        List<Event> outcome = outcome(events);
        if (first) {
            return List.of(report(
                    PromptIndexUpdate.Kind.WHOLE,
                    outcome.stream().filter(e -> e.tokens() > 0).toList()));
        }
        return outcome.isEmpty() ? List.of() : List.of(report(PromptIndexUpdate.Kind.NEWS, outcome));
    }

    /**
     * The last event of each part: a server's events since its start are many times what it keeps now, and whoever follows
     * it anew would tell them all to everybody.
     */
    private static List<Event> outcome(List<Event> events) {
        Map<List<String>, Event> last = new LinkedHashMap<>();
        events.forEach(e -> last.put(List.of(e.salt(), e.id(), e.model()), e));
        return List.copyOf(last.values());
    }

    /** The list came; the report it makes. */
    public PromptIndexUpdate list(long now, long itsEpoch, long next, List<Event> held) {
        asking = false;
        failures = 0;
        mustList = false;
        begun = true;
        nextAt = now + PACE_MS;
        epoch = itsEpoch;
        since = next;
        return report(PromptIndexUpdate.Kind.WHOLE, held);
    }

    private PromptIndexUpdate report(PromptIndexUpdate.Kind kind, List<Event> events) {
        long[] parts = new long[Math.min(PromptIndexUpdate.MOST, events.size())];
        int[] tokens = new int[parts.length];
        for (int i = 0; i < parts.length; i++) {
            Event e = events.get(i);
            parts[i] = PromptIndex.part(e.salt(), e.id(), e.model());
            tokens[i] = e.tokens();
        }
        return new PromptIndexUpdate(kind, server, stream, ++seq, parts, tokens);
    }
}
