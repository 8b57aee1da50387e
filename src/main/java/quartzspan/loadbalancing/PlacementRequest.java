package quartzspan.loadbalancing;

/**
 * A request to be placed on a server.
 *
 * @param service whose servers may run it
 * @param key requests with the same key share most of their prompt; null for none
 * @param promptTokens tokens of its prompt
 * @param maxOutputTokens the most tokens that it may generate
 */
public record PlacementRequest(String service, String key, long promptTokens, long maxOutputTokens) {
    /** Work of any request, in prompt tokens. */
    private static final double BASE_WORK = 200;
    /** Work of a generated token, in prompt tokens. */
    private static final double OUTPUT_TOKEN_WORK = 10;

    double work() {
        return BASE_WORK + promptTokens + OUTPUT_TOKEN_WORK * maxOutputTokens;
    }
}
