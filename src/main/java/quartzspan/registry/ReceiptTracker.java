package quartzspan.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts which core machines hold a piece of news, for news that may be acknowledged only once enough of them do. A machine
 * counts once, however often it answers. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class ReceiptTracker {
    /** Pause before news are sent again to those who have not answered. */
    private static final long RETRY_MS = 150;
    /** Receipts waited for at once; beyond that the oldest is given up. */
    static final int MOST_OPEN = 1_024;

    /** News that are due again, and to whom. */
    record Retry(long nonce, List<RegistryEntry> news, List<String> to) {}

    private static final class Pending {
        private final int wanted;
        private final List<RegistryEntry> news;
        private final Runnable known;
        private final Set<String> asked;
        private final Set<String> holders = new HashSet<>();
        private long sentAt;

        Pending(int wanted, List<String> asked, List<RegistryEntry> news, Runnable known, long sentAt) {
            this.wanted = wanted;
            this.asked = new HashSet<>(asked);
            this.news = news;
            this.known = known;
            this.sentAt = sentAt;
        }
    }

    private final Map<Long, Pending> open = new LinkedHashMap<>();

    /**
     * Begins to wait.
     *
     * @param wanted how many different machines must hold the news, at least one
     * @param asked who is told them, and may answer
     * @param known run once enough of them have answered
     */
    void open(long now, long nonce, int wanted, List<String> asked, List<RegistryEntry> news, Runnable known) {
        open.put(nonce, new Pending(wanted, asked, news, known, now));
        if (open.size() > MOST_OPEN) {
            Iterator<Long> oldest = open.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** A core machine says that it holds the news. */
    void acknowledged(long nonce, String holder) {
        Pending pending = open.get(nonce);
        if (pending != null
                && pending.asked.contains(holder)
                && pending.holders.add(holder)
                && pending.holders.size() >= pending.wanted) {
            open.remove(nonce);
            pending.known.run();
        }
    }

    /** Nobody waits for this one any more. */
    void cancel(long nonce) {
        open.remove(nonce);
    }

    int size() {
        return open.size();
    }

    /** What to send again now. */
    List<Retry> due(long now, List<String> cores) {
        List<Retry> due = new ArrayList<>();
        open.forEach((nonce, pending) -> {
            if (now - pending.sentAt >= RETRY_MS) {
                pending.sentAt = now;
                pending.asked.addAll(cores);
                due.add(new Retry(
                        nonce,
                        pending.news,
                        cores.stream().filter(c -> !pending.holders.contains(c)).toList()));
            }
        });
        return due;
    }
}
