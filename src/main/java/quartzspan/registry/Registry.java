package quartzspan.registry;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.replication.ControlState;

/**
 * What one process knows of the fleet: entries, and the newest control state it was told. Every process has one; they pass on
 * news to a few others, and find gaps by comparing digests. No clock, no I/O; times are milliseconds of a steady clock.
 */
public final class Registry {
    /** Buckets by which entries are compared: what differs is sent a bucket at a time. */
    static final int BUCKETS = 32;
    /** How long what is gone is kept in mind, so that an old word does not bring it back. */
    private static final long FORGET_MS = 120_000;

    private final Map<String, RegistryEntry> entries = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private long stateEpoch = -1;
    private long stateIndex = -1;
    private ControlState state = ControlState.EMPTY;
    private byte[] stateBytes = GossipMessage.NOTHING;
    /** The latest time at which what is held here was surely the newest. */
    private long freshAt = Long.MIN_VALUE / 2;

    private static String id(RegistryEntry f) {
        return f.subject().ordinal() + f.key();
    }

    private static int bucket(RegistryEntry f) {
        return (int) (Hashing.xxh3_64().hashCharsToLong(f.key()) & BUCKETS - 1);
    }

    public RegistryEntry entry(RegistryEntry.Subject subject, String key) {
        return entries.get(subject.ordinal() + key);
    }

    public List<RegistryEntry> all(RegistryEntry.Subject subject) {
        return entries.values().stream().filter(f -> f.subject() == subject).toList();
    }

    /** Takes a entry; whether it was news. */
    public boolean take(long now, RegistryEntry entry) {
        RegistryEntry old = entries.get(id(entry));
        if (!entry.beats(old)) {
            return false;
        }
        int b = bucket(entry);
        buckets[b] ^= (old == null ? 0 : old.digest()) ^ entry.digest();
        entries.put(id(entry), entry);
        if (entry.state() == RegistryEntry.State.GONE || entry.state() == RegistryEntry.State.LOST) {
            goneAt.put(id(entry), now);
        } else {
            goneAt.remove(id(entry));
        }
        return true;
    }

    /** Forgets what has long been gone. */
    public void tidy(long now) {
        goneAt.entrySet().removeIf(e -> {
            if (now - e.getValue() < FORGET_MS) {
                return false;
            }
            RegistryEntry f = entries.remove(e.getKey());
            buckets[bucket(f)] ^= f.digest();
            return true;
        });
    }

    /** Takes a control state; whether it was newer than the one held. */
    public boolean take(long epoch, long index, ControlState newer, byte[] bytes) {
        if (epoch < stateEpoch || epoch == stateEpoch && index <= stateIndex) {
            return false;
        }
        stateEpoch = epoch;
        stateIndex = index;
        state = newer;
        stateBytes = bytes;
        return true;
    }

    /** The newest control state known here. */
    public ControlState state() {
        return state;
    }

    public long stateEpoch() {
        return stateEpoch;
    }

    public long stateIndex() {
        return stateIndex;
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
    public GossipMessage ask(long now, long nonce) {
        return new GossipMessage(
                GossipMessage.Kind.ASK,
                nonce,
                age(now),
                stateEpoch,
                stateIndex,
                buckets.clone(),
                List.of(),
                GossipMessage.NOTHING);
    }

    /** The answer to a question: what the asker lacks, or has otherwise. */
    public GossipMessage answer(long now, GossipMessage ask) {
        List<RegistryEntry> differ = new ArrayList<>();
        if (ask.buckets().length == BUCKETS) {
            for (RegistryEntry f : entries.values()) {
                int b = bucket(f);
                if (buckets[b] != ask.buckets()[b]) {
                    differ.add(f);
                }
            }
        }
        boolean older =
                ask.stateEpoch() < stateEpoch || ask.stateEpoch() == stateEpoch && ask.stateIndex() < stateIndex;
        return new GossipMessage(
                GossipMessage.Kind.ANSWER,
                ask.nonce(),
                age(now),
                stateEpoch,
                stateIndex,
                buckets.clone(),
                differ,
                older ? stateBytes : GossipMessage.NOTHING);
    }

    /** News to pass on, unasked; {@code withState}: with the control state. */
    public GossipMessage news(long now, List<RegistryEntry> news, boolean withState) {
        return new GossipMessage(
                GossipMessage.Kind.NEWS,
                0,
                -1,
                stateEpoch,
                stateIndex,
                GossipMessage.UNCOMPARED,
                news,
                withState ? stateBytes : GossipMessage.NOTHING);
    }

    /** What was new in message. */
    public record News(List<RegistryEntry> entries, boolean state) {
        public boolean any() {
            return state || !entries.isEmpty();
        }
    }

    /** Takes in what another says; {@code askedAt}: when the question left, for an answer. */
    public News take(long now, GossipMessage in, long askedAt) {
        boolean newer = in.controlState().length > 0
                && (in.stateEpoch() > stateEpoch || in.stateEpoch() == stateEpoch && in.stateIndex() > stateIndex)
                && take(in.stateEpoch(), in.stateIndex(), ControlState.parse(in.controlState()), in.controlState());
        List<RegistryEntry> news = new ArrayList<>();
        for (RegistryEntry f : in.entries()) {
            if (take(now, f)) {
                news.add(f);
            }
        }
        // Its state was the newest so long before it answered, and it answered after it was asked.
        if (in.kind() == GossipMessage.Kind.ANSWER
                && in.ageMs() >= 0
                && (stateEpoch > in.stateEpoch() || stateEpoch == in.stateEpoch() && stateIndex >= in.stateIndex())) {
            fresh(askedAt - in.ageMs());
        }
        return new News(news, newer);
    }

    /**
     * Of many names the few that one knows and watches: those whose hash together with its own is highest. Everybody works
     * out the same without a word, and one that comes or goes moves nobody else's choice but by itself.
     */
    public static List<String> few(String self, List<String> names, int count) {
        return names.stream()
                .filter(n -> !n.equals(self))
                .sorted(Comparator.comparingLong((String n) -> Hashing.xxh3_64().hashCharsToLong(self + '|' + n)))
                .limit(count)
                .toList();
    }
}
