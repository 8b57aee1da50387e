package quartzspan.loadbalancing;

/** What the index of cached prompts says of one request. */
public interface CachedTokens {
    /** Number of tokens of its prompt that a server has cached and that it may use. */
    long onServer(String server);
}
