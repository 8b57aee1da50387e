package quartzspan.frontend;

import io.netty.handler.codec.http.HttpHeaders;
import quartzspan.http.Clock;
import quartzspan.loadbalancing.PlacementRequest;
import quartzspan.prefixcache.PrefixCacheIndex;

/**
 * Decides which cached prompt blocks a server may use for a request, and where it fetches them from.
 *
 * <p>Blocks are cached under a salt made of the weights version and the {@linkplain quartzspan.configuration.CachePartitions
 * partition} of the tenant, and a server rejects a request whose expected version it doesn't have. Cached blocks are therefore never
 * used with weights other than their own, nor by requests of another partition.
 */
final class PrefixCacheRouting {
    /** Minimum number of tokens for which a transfer to or from a cache store is faster than computing them. */
    private static final long MIN_TRANSFER_TOKENS = 150;

    private static final String CACHE_SALT = "Cache-Salt";
    private static final String EXPECT_VERSION = "Expect-Version";
    private static final String KV_FETCH = "Kv-Fetch";
    private static final String KV_SAVE = "Kv-Save";
    private static final String VERSION_PREFIX = "v";
    private static final long[] NO_BLOCKS = {};

    private final EndpointDirectory endpoints;
    private final PrefixCacheIndex prefixCacheIndex;
    private final Clock clock;

    PrefixCacheRouting(EndpointDirectory endpoints, PrefixCacheIndex prefixCacheIndex, Clock clock) {
        this.endpoints = endpoints;
        this.prefixCacheIndex = prefixCacheIndex;
        this.clock = clock;
    }

    /**
     * Sets the cache headers of a request to a server.
     *
     * @param version the weights version that the server must have; 0 if unknown
     * @param partition the id of the cache partition whose blocks the request may use
     * @return the hashes of the prompt's blocks at that server; empty if its weights version is unknown
     */
    long[] setHeaders(
            HttpHeaders headers,
            String server,
            long version,
            String partition,
            PlacementRequest request,
            Prompt prompt) {
        if (version == 0) {
            if (!partition.isEmpty()) {
                headers.set(CACHE_SALT, partition);
            }
            return NO_BLOCKS;
        }
        String salt = VERSION_PREFIX + version + partition;
        headers.set(CACHE_SALT, salt).set(EXPECT_VERSION, version);
        long[] blocks = prompt.blockHashes(salt);
        setTransferHeaders(headers, server, request, prompt, version, blocks);
        return blocks;
    }

    private void setTransferHeaders(
            HttpHeaders headers, String server, PlacementRequest request, Prompt prompt, long version, long[] blocks) {
        String source = endpoints
                .placement()
                .prefixSource(
                        clock.now(),
                        request,
                        server,
                        other -> endpoints.weightsVersion(other) == version ? cachedTokens(other, blocks, prompt) : 0);
        boolean sourceHasVersion = source != null && endpoints.weightsVersion(source) == version;
        String fetchAddress = sourceHasVersion ? endpoints.address(source) : null;
        long cachedAtServer = cachedTokens(server, blocks, prompt);
        long cachedAtSource = fetchAddress == null ? cachedAtServer : cachedTokens(source, blocks, prompt);
        for (String store : endpoints.cacheStores()) {
            long stored = cachedTokens(PrefixCacheIndex.storeId(store), blocks, prompt);
            if (stored > Math.max(cachedAtServer, cachedAtSource) + MIN_TRANSFER_TOKENS) {
                fetchAddress = store;
                cachedAtSource = stored;
            }
            if (shouldSave(prompt, stored)) {
                headers.set(KV_SAVE, store);
            }
        }
        if (fetchAddress != null) {
            headers.set(KV_FETCH, fetchAddress);
        }
    }

    /**
     * Whether to save a prompt's blocks in a store: only if other requests share most of the prompt, since blocks of other prompts
     * would only evict shared ones.
     */
    private static boolean shouldSave(Prompt prompt, long stored) {
        return stored + MIN_TRANSFER_TOKENS < prompt.sharedTokens()
                && 2 * prompt.sharedTokens() >= prompt.totalTokens();
    }

    private long cachedTokens(String server, long[] blocks, Prompt prompt) {
        return prefixCacheIndex.cachedTokens(server, blocks, prompt.blockTokens());
    }
}
