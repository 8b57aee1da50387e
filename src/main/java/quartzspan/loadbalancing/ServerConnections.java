package quartzspan.loadbalancing;

/** State of a proxy's connections to servers. */
public interface ServerConnections {
    /** Whether a connection to a server is established. */
    boolean isConnected(String server);

    /** Whether a request could be sent to a server: there is a connection, or one may be opened. */
    boolean isReachable(String server);
}
