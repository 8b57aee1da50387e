package quartzspan.frontend;

import java.util.Arrays;
import quartzspan.http.HttpFraming;
import quartzspan.prefixcache.PrefixCacheIndex;

/** The prompt of a request, by its parts; {@code wall} is what keeps apart what tenants may not share. */
final class Prompt {
    private static final long[] NONE = {};

    private final String[] ids;
    private final long[] tokens;
    private final String model;
    private final String isolationKey;

    /** @param prefix parts as ID:TOKENS, with commas between; null if there are none */
    Prompt(String prefix, String model, String isolationKey) {
        String[] parts = prefix == null || prefix.isBlank() ? new String[0] : prefix.split(",");
        ids = new String[parts.length];
        tokens = new long[parts.length];
        for (int i = 0; i < parts.length; i++) {
            int colon = parts[i].indexOf(':');
            ids[i] = (colon < 0 ? parts[i] : parts[i].substring(0, colon)).trim();
            tokens[i] = colon < 0
                    ? 0
                    : Math.max(
                            0, HttpFraming.number(parts[i].substring(colon + 1).trim()));
        }
        this.model = model;
        this.isolationKey = isolationKey;
    }

    String isolationKey() {
        return isolationKey;
    }

    /** Tokens of its parts. */
    long[] tokens() {
        return tokens;
    }

    /** Tokens of the whole prompt. */
    long totalTokens() {
        return Arrays.stream(tokens).sum();
    }

    /** Tokens of the parts that others share: all but the last. */
    long sharedTokens() {
        return totalTokens() - (tokens.length == 0 ? 0 : tokens[tokens.length - 1]);
    }

    /** Names of its parts under a salt. */
    long[] blocks(String salt) {
        if (ids.length == 0) {
            return NONE;
        }
        long[] names = new long[ids.length];
        for (int i = 0; i < ids.length; i++) {
            names[i] = PrefixCacheIndex.block(salt, ids[i], model);
        }
        return names;
    }
}
