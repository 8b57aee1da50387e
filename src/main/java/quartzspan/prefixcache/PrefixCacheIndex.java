package quartzspan.prefixcache;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;

/**
 * Index of cached prompt blocks: for each server, the number of cached tokens of each block. It is maintained by updates; a gap in
 * their sequence numbers leads to a request for a snapshot. Its content may be slightly stale: it is a hint about where to find
 * blocks, and doesn't decide whether a cached block may be used.
 */
public final class PrefixCacheIndex {
    /**
     * Minimum time between requests for a snapshot. Every update received until the snapshot arrives shows the same gap;
     * requesting a snapshot for each would transfer it as many times, and more often over a slower link.
     */
    private static final long SNAPSHOT_REQUEST_INTERVAL_MS = 1_500;

    /** Servers cache whole memory pages: up to this many tokens at the end of a block are not cached. */
    private static final int UNCACHED_TAIL_TOKENS = 64;

    private static final class ServerBlocks {
        long snapshotRequestedAtMs = Long.MIN_VALUE / 2;
        long stream;
        long seq;
        final Map<Long, Integer> blocks = new HashMap<>();
    }

    private final Map<String, ServerBlocks> servers = new HashMap<>();

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

    private static void put(ServerBlocks entry, long block, int tokens) {
        if (tokens > 0) {
            entry.blocks.put(block, tokens);
        } else {
            entry.blocks.remove(block);
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
        servers.remove(server);
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
        return servers.values().stream().mapToInt(entry -> entry.blocks.size()).sum();
    }
}
