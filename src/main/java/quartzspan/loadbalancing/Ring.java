package quartzspan.loadbalancing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A hash ring as in gRFC A42: a sorted array of points with binary search. The low 16 bits of a point are the
 * slot of its owner, so nothing is boxed. {@link #merge} moves only the points of owners that join or leave.
 *
 * @param <T> type of the owners, compared by identity
 */
final class Ring<T> {
    private static final int SLOT_MASK = 0xffff;
    /** Hash function of ids and keys. */
    static final Hasher64 HASH = Hashing.xxh3_64();

    private long[] points = {};
    /** Owners by slot; null where the owner has left. */
    private final List<T> slots = new ArrayList<>();

    private final List<T> joining = new ArrayList<>();
    private final List<long[]> joiningPoints = new ArrayList<>();
    private boolean changed;

    /**
     * The points of an owner: hashes of its hash and a sequence number.
     *
     * @param hash hash of the owner's id
     */
    static long[] points(long hash, int count) {
        long[] points = new long[count];
        Arrays.setAll(points, k -> HASH.hashLongLongToLong(hash, k));
        return points;
    }

    /** Adds an owner; its points take effect with the next {@link #merge}. */
    void add(T owner, long[] hashes) {
        changed = true;
        joining.add(owner);
        joiningPoints.add(hashes);
    }

    /** Removes an owner; until the next {@link #merge} the ring must not be walked. */
    void remove(T owner) {
        changed = true;
        int index = joining.indexOf(owner);
        if (index >= 0) {
            joining.remove(index);
            joiningPoints.remove(index);
        } else {
            slots.set(slots.indexOf(owner), null);
        }
    }

    /** Removes the points of owners that left and merges in those of owners that joined. */
    void merge() {
        if (!changed) {
            return;
        }
        changed = false;
        long[] kept = Arrays.stream(points)
                .filter(p -> slots.get((int) p & SLOT_MASK) != null)
                .toArray();
        long[] added = new long[joiningPoints.stream().mapToInt(h -> h.length).sum()];
        int filled = 0;
        for (int i = 0; i < joining.size(); i++) {
            int slot = slots.indexOf(null);
            if (slot < 0) {
                slot = slots.size();
                slots.add(null);
            }
            slots.set(slot, joining.get(i));
            for (long hash : joiningPoints.get(i)) {
                added[filled++] = hash & ~SLOT_MASK | slot;
            }
        }
        joining.clear();
        joiningPoints.clear();
        Arrays.sort(added);
        points = new long[kept.length + added.length];
        for (int i = 0, j = 0; i + j < points.length; ) {
            boolean takeKept = j == added.length || i < kept.length && kept[i] < added[j];
            points[i + j] = takeKept ? kept[i++] : added[j++];
        }
    }

    /** Number of points. */
    int size() {
        return points.length;
    }

    /** Index of the first point at or after a hash; may be {@link #size}, which {@link #owner} treats as 0. */
    int firstIndex(long hash) {
        int index = Arrays.binarySearch(points, hash & ~SLOT_MASK);
        return index < 0 ? ~index : index;
    }

    /** Owner of the point at an index; indexes wrap around. */
    T owner(int index) {
        return slots.get((int) points[index % points.length] & SLOT_MASK);
    }
}
