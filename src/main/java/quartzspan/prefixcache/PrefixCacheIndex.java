package quartzspan.prefixcache;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of cached prompt blocks: for each server, the number of cached tokens of each block. It is maintained by updates; a gap in
 * their sequence numbers leads to a request for a snapshot. Its content may be slightly stale: it is a hint about where to find
 * blocks, and doesn't decide whether a cached block may be used. Its size is bounded: when it is full, a server's new block takes
 * the place of the one that the index has had for longest of that server.
 */
public final class PrefixCacheIndex {
    /**
     * Minimum time between requests for a snapshot. Every update received until the snapshot arrives shows the same gap;
     * requesting a snapshot for each would transfer it as many times, and more often over a slower link.
     */
    private static final long SNAPSHOT_REQUEST_INTERVAL_MS = 1_500;

    /** Servers cache whole memory pages: up to this many tokens at the end of a block are not cached. */
    private static final int UNCACHED_TAIL_TOKENS = 64;

    /** What one block of a server occupies in the index, bytes. */
    private static final int BLOCK_BYTES = 96;
    /** The part of the heap for the index. */
    private static final int HEAP_PARTS_PER_INDEX = 8;

    private static final class ServerBlocks {
        long snapshotRequestedAtMs = Long.MIN_VALUE / 2;
        long stream;
        long seq;
        /** Cached tokens by block, the one that was recorded first in front. */
        final Map<Long, Integer> blocks = new LinkedHashMap<>();
    }

    private final Map<String, ServerBlocks> servers = new HashMap<>();
    private final int maxBlocks;
    private int blockCount;

    /** An empty index, whose size follows from the heap. */
    public PrefixCacheIndex() {
        this((int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / HEAP_PARTS_PER_INDEX / BLOCK_BYTES));
    }

    /**
     * An empty index.
     *
     * @param maxBlocks the most blocks that it holds, of all servers together
     */
    PrefixCacheIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Identifies a block: a hash of the salt that it is cached under, its id and its model. */
    public static long blockHash(String salt, String id, String model) {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(salt)
                .putString(id)
                .putString(model)
                .getAsLong();
    }

    /**
     * Applies an update.
     *
     * @param nowMs milliseconds of a monotonic clock
     * @return whether to request a snapshot now, because earlier updates are missing
     */
    public boolean apply(long nowMs, PrefixCacheUpdate update) {
        ServerBlocks entry = servers.computeIfAbsent(update.server(), k -> new ServerBlocks());
        if (update.kind() == PrefixCacheUpdate.Kind.SNAPSHOT) {
            if (update.stream() == entry.stream && update.seq() < entry.seq) {
                return false;
            }
            blockCount -= entry.blocks.size();
            entry.blocks.clear();
        } else if (update.stream() != entry.stream || update.seq() > entry.seq + 1) {
            return shouldRequestSnapshot(nowMs, entry);
        } else if (update.seq() <= entry.seq) {
            return false;
        }
        entry.stream = update.stream();
        entry.seq = update.seq();
        for (int i = 0; i < update.blocks().length; i++) {
            put(entry, update.blocks()[i], update.tokens()[i]);
        }
        return false;
    }

    private static boolean shouldRequestSnapshot(long nowMs, ServerBlocks entry) {
        if (nowMs - entry.snapshotRequestedAtMs < SNAPSHOT_REQUEST_INTERVAL_MS) {
            return false;
        }
        entry.snapshotRequestedAtMs = nowMs;
        return true;
    }

    private void put(ServerBlocks entry, long block, int tokens) {
        if (tokens <= 0) {
            blockCount -= entry.blocks.remove(block) == null ? 0 : 1;
        } else if (entry.blocks.put(block, tokens) == null) {
            blockCount++;
            makeRoom(entry);
        }
    }

    private void makeRoom(ServerBlocks entry) {
        if (blockCount > maxBlocks) {
            entry.blocks.remove(entry.blocks.keySet().iterator().next());
            blockCount--;
        }
    }

    /** Records a block that a server has prefilled for a request of this process. */
    public void onPrefill(String server, long block, int tokens) {
        put(servers.computeIfAbsent(server, k -> new ServerBlocks()), block, tokens);
    }

    /** A snapshot of a server's blocks; null if the server is unknown. */
    public PrefixCacheUpdate snapshot(String server) {
        ServerBlocks entry = servers.get(server);
        if (entry == null) {
            return null;
        }
        int count = Math.min(PrefixCacheUpdate.MAX_BLOCKS, entry.blocks.size());
        long[] blocks = new long[count];
        int[] tokens = new int[count];
        int i = 0;
        for (Map.Entry<Long, Integer> block : entry.blocks.entrySet()) {
            if (i == count) {
                break;
            }
            blocks[i] = block.getKey();
            tokens[i++] = block.getValue();
        }
        return new PrefixCacheUpdate(PrefixCacheUpdate.Kind.SNAPSHOT, server, entry.stream, entry.seq, blocks, tokens);
    }

    /** Whether an update of this server was ever applied, which means that it responded to a reader. */
    public boolean hasUpdates(String server) {
        ServerBlocks entry = servers.get(server);
        return entry != null && entry.seq > 0;
    }

    /** The id of a cache store in the index. */
    public static String storeId(String address) {
        return "store " + address;
    }

    public void remove(String server) {
        ServerBlocks removed = servers.remove(server);
        blockCount -= removed == null ? 0 : removed.blocks.size();
    }

    /** Number of a prompt's tokens that a server has cached: a block counts only if all blocks before it are fully cached. */
    public long cachedTokens(String server, long[] blocks, long[] tokens) {
        ServerBlocks entry = servers.get(server);
        long sum = 0;
        if (entry != null) {
            for (int i = 0; i < blocks.length; i++) {
                int cached = entry.blocks.getOrDefault(blocks[i], 0);
                sum += Math.min(cached, tokens[i]);
                if (cached + UNCACHED_TAIL_TOKENS < tokens[i]) {
                    break;
                }
            }
        }
        return sum;
    }

    /** Number of cached blocks, summed over all servers. */
    public int blockCount() {
        return blockCount;
    }
}
