package quartzspan.http;

import io.netty.handler.codec.http.HttpRequest;

/** Handles the requests of an {@link HttpServer}. All methods are called on the event loop. */
public interface RequestHandler {
    /** The current time, microseconds. */
    long now();

    /** Handles a complete request, which must be answered exactly once, immediately or later. */
    void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs);

    /** The limits on clients at present; asked wherever a limit is enforced, since clients keep connections while limits change. */
    ConnectionLimits limits();
}
