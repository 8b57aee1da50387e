package quartzspan.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks which core machines have acknowledged entries, for updates that are only durable once enough machines have them. A
 * machine counts once, however often it acknowledges. Performs no I/O and reads no clock; times are milliseconds of a monotonic
 * clock.
 */
final class AcknowledgementTracker {
    /** Time after which entries are sent again to machines that have not acknowledged them. */
    private static final long RETRY_INTERVAL_MS = 150;
    /** Maximum number of tracked broadcasts; beyond it the oldest is dropped. */
    static final int MAX_PENDING = 1_024;

    /** Entries to send again, and their recipients. */
    record Retry(long nonce, List<RegistryEntry> entries, List<String> recipients) {}

    private static final class Pending {
        private final Predicate<Set<String>> enough;
        private final List<RegistryEntry> entries;
        private final Runnable onAcknowledged;
        private final Set<String> recipients;
        private final Set<String> acknowledgedBy = new HashSet<>();
        private long sentAtMs;

        Pending(
                Predicate<Set<String>> enough,
                List<String> recipients,
                List<RegistryEntry> entries,
                Runnable onAcknowledged,
                long sentAtMs) {
            this.enough = enough;
            this.recipients = new HashSet<>(recipients);
            this.entries = entries;
            this.onAcknowledged = onAcknowledged;
            this.sentAtMs = sentAtMs;
        }
    }

    private final Map<Long, Pending> pendingByNonce = new LinkedHashMap<>();

    /**
     * Starts to track the acknowledgements of a broadcast.
     *
     * @param enough whether the acknowledgements of these machines are enough
     * @param recipients the machines whose acknowledgements count
     * @param onAcknowledged run once when enough machines have acknowledged
     */
    void track(
            long now,
            long nonce,
            Predicate<Set<String>> enough,
            List<String> recipients,
            List<RegistryEntry> entries,
            Runnable onAcknowledged) {
        pendingByNonce.put(nonce, new Pending(enough, recipients, entries, onAcknowledged, now));
        if (pendingByNonce.size() > MAX_PENDING) {
            Iterator<Long> oldest = pendingByNonce.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Records that a core machine has acknowledged the entries. */
    void onAcknowledgement(long nonce, String acknowledger) {
        Pending pending = pendingByNonce.get(nonce);
        if (pending != null
                && pending.recipients.contains(acknowledger)
                && pending.acknowledgedBy.add(acknowledger)
                && pending.enough.test(pending.acknowledgedBy)) {
            pendingByNonce.remove(nonce);
            pending.onAcknowledged.run();
        }
    }

    /** Stops tracking a broadcast. */
    void cancel(long nonce) {
        pendingByNonce.remove(nonce);
    }

    int size() {
        return pendingByNonce.size();
    }

    /** The retries that are due. */
    List<Retry> takeDueRetries(long now, List<String> cores) {
        List<Retry> due = new ArrayList<>();
        pendingByNonce.forEach((nonce, pending) -> {
            if (now - pending.sentAtMs >= RETRY_INTERVAL_MS) {
                pending.sentAtMs = now;
                pending.recipients.addAll(cores);
                due.add(new Retry(
                        nonce,
                        pending.entries,
                        cores.stream()
                                .filter(c -> !pending.acknowledgedBy.contains(c))
                                .toList()));
            }
        });
        return due;
    }
}
