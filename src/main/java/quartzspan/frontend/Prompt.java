package quartzspan.frontend;

import java.util.Arrays;
import quartzspan.http.HttpFraming;
import quartzspan.prefixcache.PrefixCacheIndex;

/** The prompt of a request, by its blocks; the isolation key separates what tenants may not share. */
final class Prompt {
    private static final long[] NONE = {};

    private final String[] ids;
    private final long[] tokens;
    private final String model;
    private final String isolationKey;

    /** @param prefix blocks as ID:TOKENS, with commas between; null if there are none */
    Prompt(String prefix, String model, String isolationKey) {
        String[] blocks = prefix == null || prefix.isBlank() ? new String[0] : prefix.split(",");
        ids = new String[blocks.length];
        tokens = new long[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            int colon = blocks[i].indexOf(':');
            ids[i] = (colon < 0 ? blocks[i] : blocks[i].substring(0, colon)).trim();
            tokens[i] = colon < 0
                    ? 0
                    : Math.max(
                            0, HttpFraming.number(blocks[i].substring(colon + 1).trim()));
        }
        this.model = model;
        this.isolationKey = isolationKey;
    }

    String isolationKey() {
        return isolationKey;
    }

    /** Tokens of each block. */
    long[] tokens() {
        return tokens;
    }

    /** Tokens of the complete prompt. */
    long totalTokens() {
        return Arrays.stream(tokens).sum();
    }

    /** Tokens of the blocks that other requests share: all but the last. */
    long sharedTokens() {
        return totalTokens() - (tokens.length == 0 ? 0 : tokens[tokens.length - 1]);
    }

    /** Names of the blocks under a salt. */
    long[] blocks(String salt) {
        if (ids.length == 0) {
            return NONE;
        }
        long[] names = new long[ids.length];
        for (int i = 0; i < ids.length; i++) {
            names[i] = PrefixCacheIndex.blockHash(salt, ids[i], model);
        }
        return names;
    }
}
