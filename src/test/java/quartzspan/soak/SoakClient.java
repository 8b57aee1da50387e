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
 * A client that keeps its connection as long as the proxy does, whatever the proxy's readiness says, and sends one request after
 * another on it, with rests between.
 */
final class SoakClient implements Runnable {
    private static final AtomicLong NEXT_ATTEMPT = new AtomicLong();
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int PATIENCE_BEYOND_DEADLINE_MS = 2_000;
    private static final int LONG_DEADLINE_MS = 15_000;
    private static final int SHORT_DEADLINE_MS = 3_000;
    private static final int MAX_REST_MS = 2_500;
    private static final int RECONNECT_MS = 50;

    private final SoakClock clock;
    private final SoakRecord record;
    private final ReadinessMonitor readiness;
    private final int port;
    private final Supplier<String> keys;
    private final BooleanSupplier goesOn;
    private final SplittableRandom random;
    private String proxy;
    private HttpExchange connection;

    SoakClient(
            SoakClock clock,
            SoakRecord record,
            ReadinessMonitor readiness,
            int port,
            Supplier<String> keys,
            BooleanSupplier goesOn,
            SplittableRandom random) {
        this.clock = clock;
        this.record = record;
        this.readiness = readiness;
        this.port = port;
        this.keys = keys;
        this.goesOn = goesOn;
        this.random = random;
    }

    @Override
    public void run() {
        while (goesOn.getAsBoolean()) {
            if (connection == null && !connect()) {
                rest(RECONNECT_MS);
                continue;
            }
            sendOne();
            rest(random.nextInt(8) == 0 ? random.nextInt(MAX_REST_MS) : random.nextInt(40));
        }
        disconnect();
    }

    private static void rest(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private boolean connect() {
        proxy = readiness.pick(random);
        if (proxy == null) {
            return false;
        }
        try {
            connection = new HttpExchange(proxy, port, CONNECT_TIMEOUT_MS);
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void sendOne() {
        boolean isLong = random.nextInt(3) == 0;
        int deadlineMs = isLong ? LONG_DEADLINE_MS : SHORT_DEADLINE_MS;
        String path = isLong ? "/long/" : "/short/";
        int events = isLong ? random.nextInt(4, 30) : 2;
        int pauseMs = isLong ? random.nextInt(40, 220) : 15;
        String attemptId = "a" + NEXT_ATTEMPT.incrementAndGet();
        String key = keys.get();
        String request = "POST " + path + "x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attemptId
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\nX-Model: "
                + ModelServer.MODEL + "\r\nX-Token-Count: 30,4\r\nX-Prompt-Prefix: " + attemptId.substring(1)
                + ":10\r\n" + ModelServer.EVENTS + ": " + events + "\r\n" + ModelServer.PAUSE_MS + ": " + pauseMs
                + "\r\nContent-Length: 0\r\n\r\n";
        long sentAtMs = clock.nowMs();
        SoakRecord.End end = SoakRecord.End.ANSWERED;
        int status = 0;
        String body = "";
        try {
            connection.write(request);
            sentAtMs = clock.nowMs();
            Message answer = connection.read(deadlineMs + PATIENCE_BEYOND_DEADLINE_MS);
            status = answer.status();
            body = answer.text();
            if ("close".equals(answer.header("connection"))) {
                disconnect();
            }
        } catch (SocketTimeoutException silence) {
            end = SoakRecord.End.SILENT;
            disconnect();
        } catch (IOException | NumberFormatException broken) {
            end = SoakRecord.End.CUT;
            disconnect();
        }
        record.requests.add(new SoakRecord.ClientRequest(
                attemptId, proxy, path, key, sentAtMs, clock.nowMs(), sentAtMs + deadlineMs, end, status, body));
    }
}
