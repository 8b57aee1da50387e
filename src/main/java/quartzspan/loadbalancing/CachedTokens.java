package quartzspan.loadbalancing;

/** Cached tokens of one request by server, from the prefix cache index. */
public interface CachedTokens {
    /** Number of tokens of the prompt that a server has cached and that the request may use. */
    long onServer(String server);
}
