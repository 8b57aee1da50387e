package quartzspan.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import quartzspan.http.LoopbackPeers.Message;

/**
 * A client that keeps its connection until the proxy closes it, whatever the readiness of the proxy, and sends one request after
 * another on it, with pauses between them.
 */
final class SoakClient implements Runnable {
    private static final AtomicLong NEXT_ATTEMPT = new AtomicLong();
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RESPONSE_TIMEOUT_MARGIN_MS = 2_000;
    private static final int LONG_DEADLINE_MS = 15_000;
    private static final int SHORT_DEADLINE_MS = 3_000;
    private static final int MAX_PAUSE_MS = 2_500;
    private static final int RECONNECT_DELAY_MS = 50;

    private final SoakClock clock;
    private final SoakRecord record;
    private final ReadinessMonitor readiness;
    private final int port;
    private final Supplier<String> apiKeys;
    private final BooleanSupplier shouldContinue;
    private final SplittableRandom random;
    private String proxy;
    private HttpClientConnection connection;

    SoakClient(
            SoakClock clock,
            SoakRecord record,
            ReadinessMonitor readiness,
            int port,
            Supplier<String> apiKeys,
            BooleanSupplier shouldContinue,
            SplittableRandom random) {
        this.clock = clock;
        this.record = record;
        this.readiness = readiness;
        this.port = port;
        this.apiKeys = apiKeys;
        this.shouldContinue = shouldContinue;
        this.random = random;
    }

    @Override
    public void run() {
        while (shouldContinue.getAsBoolean()) {
            if (connection == null && !connect()) {
                pause(RECONNECT_DELAY_MS);
                continue;
            }
            sendRequest();
            pause(random.nextInt(8) == 0 ? random.nextInt(MAX_PAUSE_MS) : random.nextInt(40));
        }
        disconnect();
    }

    private static void pause(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private boolean connect() {
        proxy = readiness.pick(random);
        if (proxy == null) {
            return false;
        }
        try {
            connection = new HttpClientConnection(proxy, port, CONNECT_TIMEOUT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void sendRequest() {
        boolean isLong = random.nextInt(3) == 0;
        int deadlineMs = isLong ? LONG_DEADLINE_MS : SHORT_DEADLINE_MS;
        String path = isLong ? "/long/" : "/short/";
        int events = isLong ? random.nextInt(4, 30) : 2;
        int eventIntervalMs = isLong ? random.nextInt(40, 220) : 15;
        String attemptId = "a" + NEXT_ATTEMPT.incrementAndGet();
        String key = apiKeys.get();
        String request = "POST " + path + "x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attemptId
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\nX-Model: "
                + ModelServer.MODEL + "\r\nX-Token-Count: 30,4\r\nX-Prompt-Prefix: " + attemptId.substring(1)
                + ":10\r\n" + ModelServer.EVENT_COUNT_HEADER + ": " + events + "\r\n"
                + ModelServer.EVENT_INTERVAL_MS_HEADER + ": " + eventIntervalMs
                + "\r\nContent-Length: 0\r\n\r\n";
        long sentAtMs = clock.nowMs();
        SoakRecord.Outcome outcome = SoakRecord.Outcome.COMPLETED;
        int status = 0;
        String body = "";
        try {
            connection.write(request);
            sentAtMs = clock.nowMs();
            Message response = connection.read(deadlineMs + RESPONSE_TIMEOUT_MARGIN_MS);
            status = response.status();
            body = response.text();
            if ("close".equals(response.header("connection"))) {
                disconnect();
            }
        } catch (SocketTimeoutException timeout) {
            outcome = SoakRecord.Outcome.TIMED_OUT;
            disconnect();
        } catch (IOException | NumberFormatException e) {
            outcome = SoakRecord.Outcome.DISCONNECTED;
            disconnect();
        }
        record.requests.add(new SoakRecord.ClientRequest(
                attemptId, proxy, path, key, sentAtMs, clock.nowMs(), sentAtMs + deadlineMs, outcome, status, body));
    }
}
