package quartzspan.simulation;

import java.util.PriorityQueue;

/** Event queue of simulated time: events run in time order; events of the same time run in scheduling order. */
public final class EventQueue {
    private record Event(long atMs, long order, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private long nowMs;
    private long nextOrder;

    public EventQueue(long startMs) {
        nowMs = startMs;
    }

    public long nowMs() {
        return nowMs;
    }

    /** Adds an event after a delay in milliseconds; a negative delay counts as none. */
    public void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + Math.max(0, delayMs), ++nextOrder, action));
    }

    /** Runs all events up to a time, which is the current one then. */
    public void runUntil(long timeMs) {
        while (!events.isEmpty() && events.peek().atMs <= timeMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = Math.max(nowMs, timeMs);
    }
}
