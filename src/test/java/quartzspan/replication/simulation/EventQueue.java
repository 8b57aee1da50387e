package quartzspan.replication.simulation;

import java.util.PriorityQueue;

/** Simulated time: events run in the order of their times, and of their scheduling where these are equal. */
final class EventQueue {
    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long now;
    private long order;

    EventQueue(long start) {
        now = start;
    }

    long now() {
        return now;
    }

    void after(long ms, Runnable run) {
        events.add(new Event(now + Math.max(0, ms), ++order, run));
    }

    void runUntil(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = Math.max(now, time);
    }
}
