package quartzspan.controlplane;

import java.util.Map;
import java.util.function.BooleanSupplier;
import quartzspan.registry.Server;

/** The core machine's own requests to servers. */
interface ServerCalls {
    /** Status of a request that ended without a response: it may have been executed. */
    int NO_RESPONSE = 0;
    /** Status of a request that was certainly not executed. */
    int NOT_SENT = -1;

    /** Called once when a request ends, with an HTTP status, {@link #NO_RESPONSE} or {@link #NOT_SENT}. */
    interface ResponseListener {
        void onResponse(int status, byte[] body);
    }

    /** Sends a GET request. */
    void get(Server server, String path, Map<String, String> headers, ResponseListener listener);

    /**
     * Sends a POST request that may be written only while it is permitted.
     *
     * @param timeoutMs time after which the request is abandoned and can no longer arrive
     * @param permitted checked immediately before each write to the socket, once the connection is established
     */
    void post(
            Server server,
            String path,
            String json,
            long timeoutMs,
            BooleanSupplier permitted,
            ResponseListener listener);
}
