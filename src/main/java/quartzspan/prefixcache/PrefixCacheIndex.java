package quartzspan.prefixcache;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;

/**
 * The index of cached prompt blocks: how many tokens of which block a server has. Fed by updates; a gap in their numbers leads to
 * the request of a snapshot. It may always be a little wrong: it says where to look, never what may be used.
 */
public final class PrefixCacheIndex {
    /**
     * Time between requests of a snapshot. Every update that comes meanwhile shows the same gap; a request for each would bring
     * the snapshot as often, the more of them the slower the link is.
     */
    private static final long SNAPSHOT_REQUEST_INTERVAL_MS = 1_500;

    private static final int UNCACHED_TAIL_TOKENS = 64;

    private static final class ServerBlocks {
        long snapshotRequestedAtMs = Long.MIN_VALUE / 2;
        long stream;
        long seq;
        final Map<Long, Integer> blocks = new HashMap<>();
    }

    private final Map<String, ServerBlocks> servers = new HashMap<>();

    /** The name of a block: a hash of the salt that it is cached under, its id and its model. */
    public static long blockHash(String salt, String id, String model) {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(salt)
                .putString(id)
                .putString(model)
                .getAsLong();
    }

    /**
     * Applies an update; whether a snapshot is to be requested now, since updates before it are missing.
     *
     * @param nowMs milliseconds of a steady clock
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

    /** This process saw that a server has prefilled a block. */
    public void onPrefill(String server, long block, int tokens) {
        put(servers.computeIfAbsent(server, k -> new ServerBlocks()), block, tokens);
    }

    /** All that is known of a server; null if nothing is. */
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

    /** Whether anything was ever reported of a server: it is there and answers. */
    public boolean hasUpdates(String server) {
        ServerBlocks entry = servers.get(server);
        return entry != null && entry.seq > 0;
    }

    /** The name under which a store of prompts stands in the index. */
    public static String storeId(String address) {
        return "store " + address;
    }

    /** A server is gone. */
    public void remove(String server) {
        servers.remove(server);
    }

    /** Tokens of a prompt that a server has cached: of its blocks in order, as far as all before are complete. */
    public long cachedTokens(String server, long[] blocks, long[] tokens) {
        ServerBlocks entry = servers.get(server);
        long sum = 0;
        if (entry != null) {
            for (int i = 0; i < blocks.length; i++) {
                int cached = entry.blocks.getOrDefault(blocks[i], 0);
                sum += Math.min(cached, tokens[i]);
                // Memory is allocated in pages: the last few tokens of a block are never cached.
                if (cached + UNCACHED_TAIL_TOKENS < tokens[i]) {
                    break;
                }
            }
        }
        return sum;
    }

    /** Number of blocks, over all servers. */
    public int blockCount() {
        return servers.values().stream().mapToInt(entry -> entry.blocks.size()).sum();
    }
}
