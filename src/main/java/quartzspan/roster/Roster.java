package quartzspan.roster;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.docket.Ledger;

/**
 * What one process knows of the fleet: facts, and the newest control state it was told. Every process has one; they pass on
 * news to a few others, and find gaps by comparing digests. No clock, no I/O; times are milliseconds of a steady clock.
 */
public final class Roster {
    /** Buckets by which facts are compared: what differs is sent a bucket at a time. */
    static final int BUCKETS = 32;
    /** How long what is gone is kept in mind, so that an old word does not bring it back. */
    private static final long FORGET_MS = 120_000;

    private final Map<String, Fact> facts = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private long ledgerEpoch = -1;
    private long ledgerIndex = -1;
    private Ledger ledger = Ledger.EMPTY;
    private byte[] ledgerBytes = Tidings.NOTHING;
    /** The latest time at which what is held here was surely the newest. */
    private long freshAt = Long.MIN_VALUE / 2;

    private static String id(Fact f) {
        return f.subject().ordinal() + f.key();
    }

    private static int bucket(Fact f) {
        return (int) (Hashing.xxh3_64().hashCharsToLong(f.key()) & BUCKETS - 1);
    }

    public Fact fact(Fact.Subject subject, String key) {
        return facts.get(subject.ordinal() + key);
    }

    public List<Fact> all(Fact.Subject subject) {
        return facts.values().stream().filter(f -> f.subject() == subject).toList();
    }

    /** Takes a fact; whether it was news. */
    public boolean take(long now, Fact fact) {
        Fact old = facts.get(id(fact));
        if (!fact.beats(old)) {
            return false;
        }
        int b = bucket(fact);
        buckets[b] ^= (old == null ? 0 : old.digest()) ^ fact.digest();
        facts.put(id(fact), fact);
        if (fact.state() == Fact.State.GONE || fact.state() == Fact.State.LOST) {
            goneAt.put(id(fact), now);
        } else {
            goneAt.remove(id(fact));
        }
        return true;
    }

    /** Forgets what has long been gone. */
    public void tidy(long now) {
        goneAt.entrySet().removeIf(e -> {
            if (now - e.getValue() < FORGET_MS) {
                return false;
            }
            Fact f = facts.remove(e.getKey());
            buckets[bucket(f)] ^= f.digest();
            return true;
        });
    }

    /** Takes a control state; whether it was newer than the one held. */
    public boolean take(long epoch, long index, Ledger state, byte[] bytes) {
        if (epoch < ledgerEpoch || epoch == ledgerEpoch && index <= ledgerIndex) {
            return false;
        }
        ledgerEpoch = epoch;
        ledgerIndex = index;
        ledger = state;
        ledgerBytes = bytes;
        return true;
    }

    /** The newest control state known here. */
    public Ledger ledger() {
        return ledger;
    }

    public long ledgerEpoch() {
        return ledgerEpoch;
    }

    public long ledgerIndex() {
        return ledgerIndex;
    }

    /** When the state held here was last surely the newest. */
    public long freshAt() {
        return freshAt;
    }

    public void fresh(long at) {
        freshAt = Math.max(freshAt, at);
    }

    private long age(long now) {
        return freshAt < 0 && freshAt < now - Integer.MAX_VALUE ? -1 : now - freshAt;
    }

    /** A question that names what is known here. */
    public Tidings ask(long now, long nonce) {
        return new Tidings(Tidings.Kind.ASK, nonce, age(now), ledgerEpoch, ledgerIndex, buckets.clone(), List.of(),
                Tidings.NOTHING);
    }

    /** The answer to a question: what the asker lacks, or has otherwise. */
    public Tidings answer(long now, Tidings ask) {
        List<Fact> differ = new ArrayList<>();
        if (ask.buckets().length == BUCKETS) {
            for (Fact f : facts.values()) {
                int b = bucket(f);
                if (buckets[b] != ask.buckets()[b]) {
                    differ.add(f);
                }
            }
        }
        boolean older = ask.ledgerEpoch() < ledgerEpoch
                || ask.ledgerEpoch() == ledgerEpoch && ask.ledgerIndex() < ledgerIndex;
        return new Tidings(Tidings.Kind.ANSWER, ask.nonce(), age(now), ledgerEpoch, ledgerIndex, buckets.clone(), differ,
                older ? ledgerBytes : Tidings.NOTHING);
    }

    /** News to pass on, unasked; {@code withLedger}: with the control state. */
    public Tidings news(long now, List<Fact> news, boolean withLedger) {
        return new Tidings(Tidings.Kind.NEWS, 0, -1, ledgerEpoch, ledgerIndex, Tidings.UNCOMPARED, news,
                withLedger ? ledgerBytes : Tidings.NOTHING);
    }

    /** What was new in tidings. */
    public record News(List<Fact> facts, boolean ledger) {
        public boolean any() {
            return ledger || !facts.isEmpty();
        }
    }

    /** Takes in what another says; {@code askedAt}: when the question left, for an answer. */
    public News take(long now, Tidings in, long askedAt) {
        boolean newer = in.ledger().length > 0 && (in.ledgerEpoch() > ledgerEpoch
                || in.ledgerEpoch() == ledgerEpoch && in.ledgerIndex() > ledgerIndex)
                && take(in.ledgerEpoch(), in.ledgerIndex(), Ledger.parse(in.ledger()), in.ledger());
        List<Fact> news = new ArrayList<>();
        for (Fact f : in.facts()) {
            if (take(now, f)) {
                news.add(f);
            }
        }
        // Its state was the newest so long before it answered, and it answered after it was asked.
        if (in.kind() == Tidings.Kind.ANSWER && in.ageMs() >= 0 && (ledgerEpoch > in.ledgerEpoch()
                || ledgerEpoch == in.ledgerEpoch() && ledgerIndex >= in.ledgerIndex())) {
            fresh(askedAt - in.ageMs());
        }
        return new News(news, newer);
    }

    /**
     * Of many names the few that one knows and watches: those whose hash together with its own is highest. Everybody works
     * out the same without a word, and one that comes or goes moves nobody else's choice but by itself.
     */
    public static List<String> few(String self, List<String> names, int count) {
        return names.stream().filter(n -> !n.equals(self))
                .sorted(Comparator.comparingLong((String n) -> Hashing.xxh3_64().hashCharsToLong(self + '|' + n)))
                .limit(count).toList();
    }
}
