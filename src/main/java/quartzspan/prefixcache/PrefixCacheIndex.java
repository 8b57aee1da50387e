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

    private static final class ServerBlocks {
        long requestedAtMs = Long.MIN_VALUE / 2;
        long stream;
        long seq;
        final Map<Long, Integer> blocks = new HashMap<>();
    }

    private final Map<String, ServerBlocks> servers = new HashMap<>();

    /** The name of a block: a hash of the salt that it is cached under, its id and its model. */
    public static long block(String salt, String id, String model) {
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
     * @param now milliseconds of a steady clock
     */
    public boolean take(long now, PrefixCacheUpdate c) {
        ServerBlocks s = servers.computeIfAbsent(c.server(), k -> new ServerBlocks());
        if (c.kind() == PrefixCacheUpdate.Kind.SNAPSHOT) {
            if (c.stream() == s.stream && c.seq() < s.seq) {
                return false;
            }
            s.blocks.clear();
        } else if (c.stream() != s.stream || c.seq() > s.seq + 1) {
            return shouldRequestSnapshot(now, s);
        } else if (c.seq() <= s.seq) {
            return false;
        }
        s.stream = c.stream();
        s.seq = c.seq();
        for (int i = 0; i < c.blocks().length; i++) {
            put(s, c.blocks()[i], c.tokens()[i]);
        }
        return false;
    }

    private static boolean shouldRequestSnapshot(long now, ServerBlocks s) {
        if (now - s.requestedAtMs < SNAPSHOT_REQUEST_INTERVAL_MS) {
            return false;
        }
        s.requestedAtMs = now;
        return true;
    }

    private static void put(ServerBlocks s, long block, int tokens) {
        if (tokens > 0) {
            s.blocks.put(block, tokens);
        } else {
            s.blocks.remove(block);
        }
    }

    /** This process saw that a server has prefilled a block. */
    public void onPrefill(String server, long block, int tokens) {
        put(servers.computeIfAbsent(server, k -> new ServerBlocks()), block, tokens);
    }

    /** All that is known of a server; null if nothing is. */
    public PrefixCacheUpdate snapshot(String server) {
        ServerBlocks s = servers.get(server);
        if (s == null) {
            return null;
        }
        int n = Math.min(PrefixCacheUpdate.MAX_BLOCKS, s.blocks.size());
        long[] blocks = new long[n];
        int[] tokens = new int[n];
        int i = 0;
        for (Map.Entry<Long, Integer> e : s.blocks.entrySet()) {
            if (i == n) {
                break;
            }
            blocks[i] = e.getKey();
            tokens[i++] = e.getValue();
        }
        return new PrefixCacheUpdate(PrefixCacheUpdate.Kind.SNAPSHOT, server, s.stream, s.seq, blocks, tokens);
    }

    /** Whether anything was ever reported of a server: it is there and answers. */
    public boolean knows(String server) {
        ServerBlocks s = servers.get(server);
        return s != null && s.seq > 0;
    }

    /** The name under which a store of prompts stands in the index. */
    public static String store(String address) {
        return "store " + address;
    }

    /** A server is gone. */
    public void forget(String server) {
        servers.remove(server);
    }

    /** Tokens of a prompt that a server has cached: of its blocks in order, as far as all before are complete. */
    public long cachedTokens(String server, long[] blocks, long[] tokens) {
        ServerBlocks s = servers.get(server);
        long sum = 0;
        if (s != null) {
            for (int i = 0; i < blocks.length; i++) {
                int has = s.blocks.getOrDefault(blocks[i], 0);
                sum += Math.min(has, tokens[i]);
                // Memory is allocated in pages: the last few tokens of a block are never cached.
                if (has + 64 < tokens[i]) {
                    break;
                }
            }
        }
        return sum;
    }

    /** Number of blocks, over all servers. */
    public int size() {
        return servers.values().stream().mapToInt(s -> s.blocks.size()).sum();
    }
}
