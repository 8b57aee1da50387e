package quartzspan.loadbalancing;

/**
 * A request to be placed on a server.
 *
 * @param service service whose servers may run it
 * @param key affinity key, or null; requests with the same key share most of their prompt
 * @param promptTokens number of tokens of its prompt
 * @param maxOutputTokens maximum number of tokens that it may generate
 */
public record PlacementRequest(String service, String key, long promptTokens, long maxOutputTokens) {
    /** Fixed cost of a request, in prompt tokens. */
    private static final double BASE_WORK = 200;
    /** Cost of a generated token, in prompt tokens. */
    private static final double OUTPUT_TOKEN_WORK = 10;

    /** Expected cost, in prompt tokens. */
    double work() {
        return BASE_WORK + promptTokens + OUTPUT_TOKEN_WORK * maxOutputTokens;
    }
}
