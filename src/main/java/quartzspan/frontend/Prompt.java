package quartzspan.frontend;

import java.util.Arrays;
import quartzspan.http.HttpFraming;
import quartzspan.prefixcache.PrefixCacheIndex;

/** The blocks of a request's prompt. */
final class Prompt {
    private static final long[] NO_BLOCKS = {};

    private final String[] blockIds;
    private final long[] blockTokens;
    private final String model;

    /** @param prefix comma-separated blocks of the form ID:TOKENS; null if there are none */
    Prompt(String prefix, String model) {
        String[] blocks = prefix == null || prefix.isBlank() ? new String[0] : prefix.split(",");
        blockIds = new String[blocks.length];
        blockTokens = new long[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            int colon = blocks[i].indexOf(':');
            blockIds[i] = (colon < 0 ? blocks[i] : blocks[i].substring(0, colon)).trim();
            blockTokens[i] = colon < 0
                    ? 0
                    : Math.max(
                            0,
                            HttpFraming.parseNumber(
                                    blocks[i].substring(colon + 1).trim()));
        }
        this.model = model;
    }

    /** Number of tokens of each block. */
    long[] blockTokens() {
        return blockTokens;
    }

    /** Number of tokens of the complete prompt. */
    long totalTokens() {
        return Arrays.stream(blockTokens).sum();
    }

    /** Number of tokens of the blocks that other requests share: all blocks except the last. */
    long sharedTokens() {
        return totalTokens() - (blockTokens.length == 0 ? 0 : blockTokens[blockTokens.length - 1]);
    }

    /** Hashes of the blocks under a salt, see {@link PrefixCacheIndex#blockHash}. */
    long[] blockHashes(String salt) {
        if (blockIds.length == 0) {
            return NO_BLOCKS;
        }
        long[] hashes = new long[blockIds.length];
        for (int i = 0; i < blockIds.length; i++) {
            hashes[i] = PrefixCacheIndex.blockHash(salt, blockIds[i], model);
        }
        return hashes;
    }
}
