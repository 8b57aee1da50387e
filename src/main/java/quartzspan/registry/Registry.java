package quartzspan.registry;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import quartzspan.replication.ControlState;

/**
 * What one process knows of the fleet: entries, and the newest published state. Every process has one; {@link Gossip} keeps them
 * in step. No clock, no I/O; times are milliseconds of a steady clock.
 */
public final class Registry {
    /** Buckets by which entries are compared: what differs is sent a bucket at a time. */
    static final int BUCKETS = 32;

    private static final int MAX_FRESHNESS_CLAIMS = 16;
    /** How long ended entries are kept, so that an old update does not bring them back. */
    private static final long TOMBSTONE_TTL_MS = 120_000;

    private final Map<RegistryEntry.Subject, SubjectEntries> bySubject = new EnumMap<>(RegistryEntry.Subject.class);
    /** The same entries by bucket, so that an answer looks only at what differs. */
    private final List<Map<String, RegistryEntry>> byBucket = new ArrayList<>();

    private final Map<String, Long> endedAtMs = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private List<Server> servers = List.of();
    private long serversVersion;
    /** Digest of all entries. */
    private long digest;

    private final StateFollower states = new StateFollower();
    /** The latest time at which the state here was surely the newest. */
    private long freshAt = Long.MIN_VALUE / 2;
    /** Claims about states that have not arrived here yet. */
    private final ArrayDeque<FreshnessClaim> claims = new ArrayDeque<>();

    /** The state at an index was surely the newest at a time: a process with it or a later one is as fresh as that. */
    private record FreshnessClaim(long index, long at) {}

    /** A name with the hash that orders it. */
    private record Ranked(String name, long hash) {}

    /** The entries of one subject; lists derived from them are kept until the next change. */
    private static final class SubjectEntries {
        final Map<String, RegistryEntry> entries = new HashMap<>();
        long version;
        List<RegistryEntry> all = List.of();
        List<String> ready = List.of();
        long listedVersion;

        void list() {
            if (listedVersion != version) {
                listedVersion = version;
                all = List.copyOf(entries.values());
                ready = all.stream()
                        .filter(e -> e.state() == RegistryEntry.State.READY)
                        .map(RegistryEntry::key)
                        .toList();
            }
        }
    }

    /** An empty registry. */
    public Registry() {
        for (RegistryEntry.Subject subject : RegistryEntry.Subject.values()) {
            bySubject.put(subject, new SubjectEntries());
        }
        for (int i = 0; i < BUCKETS; i++) {
            byBucket.add(new HashMap<>());
        }
    }

    /** Names an entry among those of all subjects: the subject's digit, then the key. */
    private static String id(RegistryEntry entry) {
        return entry.subject().ordinal() + entry.key();
    }

    private SubjectEntries subjectEntries(String id) {
        return bySubject.get(RegistryEntry.Subject.values()[id.charAt(0) - '0']);
    }

    private static int bucket(String key) {
        int mixed = key.hashCode() * 0x9e3779b9;
        return mixed >>> 16 & BUCKETS - 1;
    }

    public RegistryEntry entry(RegistryEntry.Subject subject, String key) {
        return bySubject.get(subject).entries.get(key);
    }

    /** All entries of a subject, as of now. */
    public List<RegistryEntry> all(RegistryEntry.Subject subject) {
        SubjectEntries subjectEntries = bySubject.get(subject);
        subjectEntries.list();
        return subjectEntries.all;
    }

    /** Keys of the entries of a subject that are ready, as of now. */
    public List<String> ready(RegistryEntry.Subject subject) {
        SubjectEntries subjectEntries = bySubject.get(subject);
        subjectEntries.list();
        return subjectEntries.ready;
    }

    /** All servers whose entries can be read, as of now. */
    public List<Server> servers() {
        long version = version(RegistryEntry.Subject.SERVER);
        if (serversVersion != version) {
            serversVersion = version;
            servers = all(RegistryEntry.Subject.SERVER).stream()
                    .map(Server::of)
                    .filter(Objects::nonNull)
                    .toList();
        }
        return servers;
    }

    /** Rises with every change of a subject's entries: what is derived from them is valid as long as this stays. */
    public long version(RegistryEntry.Subject subject) {
        return bySubject.get(subject).version;
    }

    /** Merges an entry; whether it was newer than the one here. */
    public boolean merge(long now, RegistryEntry entry) {
        SubjectEntries subjectEntries = bySubject.get(entry.subject());
        RegistryEntry old = subjectEntries.entries.get(entry.key());
        if (!entry.supersedes(old)) {
            return false;
        }
        String id = id(entry);
        int b = bucket(entry.key());
        toggle(b, (old == null ? 0 : old.digest()) ^ entry.digest());
        byBucket.get(b).put(id, entry);
        subjectEntries.entries.put(entry.key(), entry);
        subjectEntries.version++;
        if (entry.state() == RegistryEntry.State.GONE || entry.state() == RegistryEntry.State.LOST) {
            endedAtMs.put(id, now);
        } else {
            endedAtMs.remove(id);
        }
        return true;
    }

    private void toggle(int bucket, long digests) {
        buckets[bucket] ^= digests;
        digest ^= digests;
    }

    /** Removes entries that ended long ago. */
    public void expire(long now) {
        endedAtMs.entrySet().removeIf(e -> {
            if (now - e.getValue() < TOMBSTONE_TTL_MS) {
                return false;
            }
            SubjectEntries subjectEntries = subjectEntries(e.getKey());
            RegistryEntry forgotten = subjectEntries.entries.remove(e.getKey().substring(1));
            subjectEntries.version++;
            int b = bucket(forgotten.key());
            byBucket.get(b).remove(e.getKey());
            toggle(b, forgotten.digest());
            return true;
        });
    }

    /** Publishes a committed state of the replica at this process; whether it is newer than the one here. */
    public boolean publish(long index, ControlState committed) {
        return states.publish(index, committed);
    }

    /** The published state and its steps. */
    StateFollower states() {
        return states;
    }

    /** The newest published state known here. */
    public PublishedState state() {
        return states.state();
    }

    /** The committed index of {@link #state}; -1 if there is none. */
    public long stateIndex() {
        return states.index();
    }

    /** When the state here was last surely the newest. */
    public long freshAt() {
        for (FreshnessClaim claim : claims) {
            if (claim.index() <= states.index()) {
                confirmFresh(claim.at());
            }
        }
        claims.removeIf(claim -> claim.index() <= states.index());
        return freshAt;
    }

    public void confirmFresh(long at) {
        freshAt = Math.max(freshAt, at);
    }

    private long age(long now) {
        long at = freshAt();
        return at < 0 && at < now - Integer.MAX_VALUE ? -1 : now - at;
    }

    /** A query that names what is known here; {@code full}: bucket by bucket, else by one digest of all. */
    GossipMessage query(long now, long nonce, boolean full) {
        long[] digests = full ? buckets.clone() : new long[] {digest};
        return new GossipMessage(
                GossipMessage.Kind.QUERY,
                nonce,
                age(now),
                states.index(),
                digests,
                List.of(),
                List.of(),
                SnapshotChunk.NONE);
    }

    /** The reply to a query: the entries that differ, or the digests by which they can be queried. */
    GossipMessage reply(long now, GossipMessage query) {
        boolean same = query.buckets().length == 1 && query.buckets()[0] == digest;
        return new GossipMessage(
                GossipMessage.Kind.REPLY,
                query.nonce(),
                age(now),
                states.index(),
                same ? GossipMessage.UNCOMPARED : buckets.clone(),
                differing(query.buckets()),
                List.of(),
                SnapshotChunk.NONE);
    }

    /** The entries here in those buckets whose digests differ. */
    List<RegistryEntry> differing(long[] others) {
        List<RegistryEntry> differ = new ArrayList<>();
        for (int b = 0; b < BUCKETS && others.length == BUCKETS; b++) {
            if (buckets[b] != others[b]) {
                differ.addAll(byBucket.get(b).values());
            }
        }
        return differ;
    }

    /** What was new in a message. */
    public record Update(List<RegistryEntry> entries, boolean state) {
        public boolean isEmpty() {
            return !state && entries.isEmpty();
        }
    }

    /** Merges a message, but for chunks of snapshots; {@code askedAt}: when the query of a reply was sent. */
    Update merge(long now, GossipMessage in, long askedAt) {
        boolean stateAdvanced = states.apply(in.deltas());
        List<RegistryEntry> newer = new ArrayList<>();
        for (RegistryEntry f : in.entries()) {
            if (merge(now, f)) {
                newer.add(f);
            }
        }
        // Its state was the newest so long before it replied, and it replied after the query was sent.
        if (in.kind() == GossipMessage.Kind.REPLY && in.ageMs() >= 0) {
            claims.add(new FreshnessClaim(in.stateIndex(), askedAt - in.ageMs()));
            if (claims.size() > MAX_FRESHNESS_CLAIMS) {
                claims.poll();
            }
        }
        return new Update(newer, stateAdvanced);
    }

    /**
     * Rendezvous hashing: the names whose hash together with one's own is lowest. All processes work out the same without any
     * message, and a name that comes or goes changes no other choice.
     */
    public static List<String> rendezvousSelect(String self, List<String> names, int count) {
        Hasher64 hasher = Hashing.xxh3_64();
        List<Ranked> ranked = new ArrayList<>(names.size());
        for (String name : names) {
            if (!name.equals(self)) {
                ranked.add(new Ranked(name, hasher.hashLongLongToLong(self.hashCode(), name.hashCode())));
            }
        }
        // One lambda: composed comparators are built by the JVM at every start, for the class-data archive can't
        // contain
        // them.
        Comparator<Ranked> order = (one, other) -> one.hash() != other.hash()
                ? Long.compare(one.hash(), other.hash())
                : one.name().compareTo(other.name());
        if (count == 1) {
            return ranked.stream().min(order).map(Ranked::name).stream().toList();
        }
        ranked.sort(order);
        return ranked.stream().limit(count).map(Ranked::name).toList();
    }
}
