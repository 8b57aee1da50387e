package quartzspan.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * When processes were in trouble, for rules that hold only in calm times. Late timers are no trouble: rules hold beside them.
 */
final class Troubles {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final Map<String, Integer> current = new HashMap<>();
    private final Map<String, Long> lastAtMs = new HashMap<>();

    void begin(long nowMs, String process) {
        current.merge(process, 1, Integer::sum);
        lastAtMs.put(process, nowMs);
    }

    void end(long nowMs, String process) {
        current.merge(process, -1, Integer::sum);
        lastAtMs.put(process, nowMs);
    }

    /** A trouble of a moment, such as a start. */
    void at(long nowMs, String process) {
        begin(nowMs, process);
        end(nowMs, process);
    }

    /** When the last trouble of a process was; now if it is in trouble, far in the past if it never was. */
    long lastAtMs(long nowMs, String process) {
        return current.getOrDefault(process, 0) > 0 ? nowMs : lastAtMs.getOrDefault(process, NEVER);
    }

    /** Since when none of all processes has been in trouble for the contact time; after now if they are not calm. */
    long calmSinceMs(long nowMs) {
        long last = NEVER;
        for (String process : lastAtMs.keySet()) {
            last = Math.max(last, lastAtMs(nowMs, process));
        }
        return last + Bounds.CONTACT_MS;
    }

    /** Whether a process has been free of trouble for the contact time. */
    boolean isInTouch(long nowMs, String process) {
        return nowMs - lastAtMs(nowMs, process) >= Bounds.CONTACT_MS;
    }
}
