package quartzspan.http;

import io.netty.handler.codec.http.HttpRequest;

/** Handles the requests of an {@link HttpServer}. All methods are called on the event loop. */
public interface RequestHandler {
    /** The current time, microseconds. */
    long now();

    /** Handles a complete request, which must be answered exactly once, immediately or later. */
    void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs);

    /** The limits on client connections; read again for each new connection. */
    ConnectionLimits limits();
}
