package quartzspan.loadbalancing;

/** What a proxy knows of its connections to servers. */
public interface ServerConnections {
    /** Whether a connection to a server is established. */
    boolean isConnected(String server);

    /** Whether a request could be sent to a server: there is a connection, or room for one. */
    boolean isReachable(String server);
}
