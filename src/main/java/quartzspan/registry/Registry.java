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
 * One process's view of the fleet: the registry entries and the newest published state. Every process has one, and
 * {@link Gossip} synchronizes them. Performs no I/O and reads no clock; times are milliseconds of a monotonic clock.
 */
public final class Registry {
    /** Number of hash buckets of entries. Digests are compared by bucket, and all entries of a differing bucket are sent. */
    static final int BUCKETS = 32;

    private static final int MAX_FRESHNESS_CLAIMS = 16;
    /** A time before all others. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** Apply time of weights where the settings bound none: ten years. */
    private static final long UNBOUNDED_MS = 10L * 365 * 24 * 3600 * 1000;
    /** Retention of entries that are {@code GONE} or {@code LOST}, so that a delayed update does not restore them. */
    static final long TOMBSTONE_TTL_MS = 120_000;

    private final Map<RegistryEntry.Subject, SubjectEntries> entriesBySubject =
            new EnumMap<>(RegistryEntry.Subject.class);
    /** The same entries by bucket, so that a reply visits only the differing buckets. */
    private final List<Map<String, RegistryEntry>> entriesByBucket = new ArrayList<>();

    private final Map<String, Long> endedAtMs = new HashMap<>();
    private final long[] bucketDigests = new long[BUCKETS];
    private List<Server> servers = List.of();
    private long serversVersion;
    /** XOR of the digests of all entries. */
    private long digest;

    private final StateFollower stateFollower = new StateFollower(this::onStateAdvanced);
    private final WeightsDeadlines weightsDeadlines;
    /** The latest time at which the local state is known to have been the newest. */
    private long freshAtMs = NEVER;
    /** Claims about states that have not been received yet. */
    private final ArrayDeque<FreshnessClaim> freshnessClaims = new ArrayDeque<>();

    /** The state at {@code stateIndex} was the newest at {@code atMs}: a process with this or a later state is at least as fresh. */
    private record FreshnessClaim(long stateIndex, long atMs) {}

    /** A name with its rendezvous hash. */
    private record RankedName(String name, long hash) {}

    /** The entries of one subject; the lists derived from them are cached until the next change. */
    private static final class SubjectEntries {
        final Map<String, RegistryEntry> entries = new HashMap<>();
        long version;
        List<RegistryEntry> all = List.of();
        List<String> readyKeys = List.of();
        long listedVersion;

        void refreshLists() {
            if (listedVersion != version) {
                listedVersion = version;
                all = List.copyOf(entries.values());
                readyKeys = all.stream()
                        .filter(e -> e.state() == RegistryEntry.State.READY)
                        .map(RegistryEntry::key)
                        .toList();
            }
        }
    }

    /** An empty registry in which no weights are overdue. */
    public Registry() {
        this(UNBOUNDED_MS);
    }

    /**
     * An empty registry.
     *
     * @param versionApplyMs time after the acknowledgement of a target version of weights within which all servers must have it
     */
    public Registry(long versionApplyMs) {
        this.weightsDeadlines = new WeightsDeadlines(versionApplyMs);
        for (RegistryEntry.Subject subject : RegistryEntry.Subject.values()) {
            entriesBySubject.put(subject, new SubjectEntries());
        }
        for (int i = 0; i < BUCKETS; i++) {
            entriesByBucket.add(new HashMap<>());
        }
    }

    /** Identifies an entry across subjects: the digit of the subject followed by the key. */
    private static String entryId(RegistryEntry entry) {
        return entry.subject().ordinal() + entry.key();
    }

    private SubjectEntries subjectEntries(String id) {
        return entriesBySubject.get(RegistryEntry.Subject.values()[id.charAt(0) - '0']);
    }

    private static int bucketOf(String key) {
        int mixed = key.hashCode() * 0x9e3779b9;
        return mixed >>> 16 & BUCKETS - 1;
    }

    public RegistryEntry entry(RegistryEntry.Subject subject, String key) {
        return entriesBySubject.get(subject).entries.get(key);
    }

    /** All entries of a subject. */
    public List<RegistryEntry> all(RegistryEntry.Subject subject) {
        SubjectEntries subjectEntries = entriesBySubject.get(subject);
        subjectEntries.refreshLists();
        return subjectEntries.all;
    }

    /** The number of entries of a subject. */
    public int size(RegistryEntry.Subject subject) {
        return entriesBySubject.get(subject).entries.size();
    }

    /** Keys of the entries of a subject in state {@code READY}. */
    public List<String> readyKeys(RegistryEntry.Subject subject) {
        SubjectEntries subjectEntries = entriesBySubject.get(subject);
        subjectEntries.refreshLists();
        return subjectEntries.readyKeys;
    }

    /** All servers with a valid entry. */
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

    /** Increases with every change to the entries of a subject, so that callers can cache what they derive from them. */
    public long version(RegistryEntry.Subject subject) {
        return entriesBySubject.get(subject).version;
    }

    /** Merges an entry; returns whether it superseded the local one. */
    public boolean merge(long now, RegistryEntry entry) {
        SubjectEntries subjectEntries = entriesBySubject.get(entry.subject());
        RegistryEntry old = subjectEntries.entries.get(entry.key());
        if (!entry.supersedes(old)) {
            return false;
        }
        String id = entryId(entry);
        int bucket = bucketOf(entry.key());
        xorIntoDigests(bucket, (old == null ? 0 : old.digest()) ^ entry.digest());
        entriesByBucket.get(bucket).put(id, entry);
        subjectEntries.entries.put(entry.key(), entry);
        subjectEntries.version++;
        if (entry.state() == RegistryEntry.State.GONE || entry.state() == RegistryEntry.State.LOST) {
            endedAtMs.put(id, now);
        } else {
            endedAtMs.remove(id);
        }
        return true;
    }

    private void xorIntoDigests(int bucket, long digests) {
        bucketDigests[bucket] ^= digests;
        digest ^= digests;
    }

    /** Removes entries that have been {@code GONE} or {@code LOST} for {@link #TOMBSTONE_TTL_MS}. */
    public void expire(long now) {
        weightsDeadlines.expire(now);
        endedAtMs.entrySet().removeIf(e -> {
            if (now - e.getValue() < TOMBSTONE_TTL_MS) {
                return false;
            }
            SubjectEntries subjectEntries = subjectEntries(e.getKey());
            RegistryEntry expired = subjectEntries.entries.remove(e.getKey().substring(1));
            subjectEntries.version++;
            int bucket = bucketOf(expired.key());
            entriesByBucket.get(bucket).remove(e.getKey());
            xorIntoDigests(bucket, expired.digest());
            return true;
        });
    }

    /** Until when the servers' weights may be used. */
    public WeightsDeadlines weightsDeadlines() {
        return weightsDeadlines;
    }

    /** A target version that is new was acknowledged after the previous state was known to be the newest. */
    private void onStateAdvanced(long previousIndex) {
        applyFreshnessClaims(previousIndex);
        if (freshAtMs > NEVER) {
            weightsDeadlines.observe(freshAtMs, state().weights());
        }
    }

    /** Publishes a committed state of the local replica; returns whether it is newer than the previous one. */
    public boolean publish(long index, ControlState committed) {
        return stateFollower.publish(index, committed);
    }

    /** The published state and its recent deltas. */
    StateFollower stateFollower() {
        return stateFollower;
    }

    /** The newest published state known to this process. */
    public PublishedState state() {
        return stateFollower.state();
    }

    /** The committed index of {@link #state}; -1 if there is none. */
    public long stateIndex() {
        return stateFollower.index();
    }

    /** The latest time at which the local state is known to have been the newest. */
    public long freshAtMs() {
        applyFreshnessClaims(stateFollower.index());
        return freshAtMs;
    }

    private void applyFreshnessClaims(long stateIndex) {
        for (FreshnessClaim claim : freshnessClaims) {
            if (claim.stateIndex() <= stateIndex) {
                confirmFresh(claim.atMs());
            }
        }
        freshnessClaims.removeIf(claim -> claim.stateIndex() <= stateIndex);
    }

    public void confirmFresh(long atMs) {
        freshAtMs = Math.max(freshAtMs, atMs);
    }

    private long ageMs(long now) {
        long atMs = freshAtMs();
        return atMs < 0 && atMs < now - Integer.MAX_VALUE ? -1 : now - atMs;
    }

    /** A query with the digests of the local entries: of each bucket if {@code full}, otherwise one digest of all entries. */
    GossipMessage query(long now, long nonce, boolean full) {
        long[] digests = full ? bucketDigests.clone() : new long[] {digest};
        return new GossipMessage(
                GossipMessage.Kind.QUERY,
                nonce,
                ageMs(now),
                stateFollower.index(),
                digests,
                List.of(),
                List.of(),
                SnapshotChunk.NONE,
                List.of());
    }

    /**
     * The reply to a query: the entries of the differing buckets if the query is full, and the digests of all buckets unless the
     * query has a single digest and it equals the local one.
     */
    GossipMessage reply(long now, GossipMessage query) {
        boolean same = query.digests().length == 1 && query.digests()[0] == digest;
        return new GossipMessage(
                GossipMessage.Kind.REPLY,
                query.nonce(),
                ageMs(now),
                stateFollower.index(),
                same ? GossipMessage.NO_DIGESTS : bucketDigests.clone(),
                entriesInDifferingBuckets(query.digests()),
                List.of(),
                SnapshotChunk.NONE,
                weightsDeadlines.ages(now));
    }

    /** The local entries in the buckets whose digests differ. */
    List<RegistryEntry> entriesInDifferingBuckets(long[] otherDigests) {
        List<RegistryEntry> differing = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS && otherDigests.length == BUCKETS; bucket++) {
            if (bucketDigests[bucket] != otherDigests[bucket]) {
                differing.addAll(entriesByBucket.get(bucket).values());
            }
        }
        return differing;
    }

    /** The changes that a message made to the local registry. */
    public record Update(List<RegistryEntry> entries, boolean stateAdvanced) {
        public boolean isEmpty() {
            return !stateAdvanced && entries.isEmpty();
        }
    }

    /** Merges a message except for snapshot chunks; {@code queriedAtMs} is when the query of a reply was sent. */
    Update merge(long now, GossipMessage message, long queriedAtMs) {
        boolean stateAdvanced = stateFollower.apply(message.deltas());
        List<RegistryEntry> newer = new ArrayList<>();
        for (RegistryEntry entry : message.entries()) {
            if (merge(now, entry)) {
                newer.add(entry);
            }
        }
        if (queriedAtMs > NEVER) {
            message.targetAges()
                    .forEach(age ->
                            weightsDeadlines.onAgeReported(queriedAtMs - age.ageMs(), age.model(), age.version()));
        }
        // The sender's state was the newest ageMs before its reply, and the reply was sent after the query.
        if (message.kind() == GossipMessage.Kind.REPLY && message.ageMs() >= 0) {
            freshnessClaims.add(new FreshnessClaim(message.stateIndex(), queriedAtMs - message.ageMs()));
            if (freshnessClaims.size() > MAX_FRESHNESS_CLAIMS) {
                freshnessClaims.poll();
            }
        }
        return new Update(newer, stateAdvanced);
    }

    /**
     * Rendezvous hashing: selects the names with the lowest hash of {@code self} and the name. All processes compute the same
     * selection without exchanging messages, and adding or removing a name changes the selection only by that name.
     */
    public static List<String> rendezvousSelect(String self, List<String> names, int count) {
        Hasher64 hasher = Hashing.xxh3_64();
        List<RankedName> ranked = new ArrayList<>(names.size());
        for (String name : names) {
            if (!name.equals(self)) {
                ranked.add(new RankedName(name, hasher.hashLongLongToLong(self.hashCode(), name.hashCode())));
            }
        }
        // A single lambda: the class-data archive can't contain composed comparators, so the JVM would build them at
        // every start.
        Comparator<RankedName> order = (one, other) -> one.hash() != other.hash()
                ? Long.compare(one.hash(), other.hash())
                : one.name().compareTo(other.name());
        if (count == 1) {
            return ranked.stream().min(order).map(RankedName::name).stream().toList();
        }
        ranked.sort(order);
        return ranked.stream().limit(count).map(RankedName::name).toList();
    }
}
