package quartzspan.frontend;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import quartzspan.http.Clock;
import quartzspan.http.ConnectionLimits;
import quartzspan.http.HttpServer;
import quartzspan.http.RequestHandler;

/** Responds to the platform's readiness checks. */
final class ReadinessHandler implements RequestHandler {
    private static final String PATH = "/quartzspan/readiness";
    /** The platform opens few connections. What they need is included in the fixed part of {@link ProxyMemory}. */
    private static final ConnectionLimits LIMITS =
            new ConnectionLimits(64, 8 * 1024, 8 * 1024, 30_000, 5_000, 1024 * 1024);

    private final Clock clock;
    private final BooleanSupplier ready;

    ReadinessHandler(Clock clock, BooleanSupplier ready) {
        this.clock = clock;
        this.ready = ready;
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public void onRequest(HttpServer.ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs) {
        boolean isReadinessPath = request.uri().split("\\?", 2)[0].equals(PATH);
        if (!isReadinessPath) {
            client.answer(HttpResponseStatus.NOT_FOUND);
        } else {
            client.answer(ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    @Override
    public ConnectionLimits limits() {
        return LIMITS;
    }
}
