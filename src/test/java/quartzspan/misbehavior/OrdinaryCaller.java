package quartzspan.misbehavior;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import quartzspan.http.LoopbackPeers;

/** A client that behaves: sends one request on a connection of its own, and repeats it on another one until it is answered. */
final class OrdinaryCaller {
    /** Ends a test that would hang; a passing one needs a part of it. */
    private static final long TIMEOUT_S = 90;

    /** A caller waits at least as long as the deadline of its request, which is 20 s at most. */
    private static final int ATTEMPT_TIMEOUT_MS = 25_000;

    private static final int PAUSE_MS = 50;

    private OrdinaryCaller() {}

    /** Whether a request gets a response, of any status, while the program lives. */
    static boolean isAnswered(ProgramProcess program, InetSocketAddress address, String request)
            throws InterruptedException {
        return awaitStatus(program, address, request, -1);
    }

    /** Whether a request gets a response of this status while the program lives. */
    static boolean isServed(ProgramProcess program, InetSocketAddress address, String request, int status)
            throws InterruptedException {
        return awaitStatus(program, address, request, status);
    }

    private static boolean awaitStatus(ProgramProcess program, InetSocketAddress address, String request, int wanted)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (program.isAlive() && System.nanoTime() < endNanos) {
            int status = call(address, request);
            if (status > 0 && (wanted < 0 || status == wanted)) {
                return true;
            }
            program.awaitEnd(PAUSE_MS);
        }
        return false;
    }

    /** The status of the response to one attempt; 0 if there is none. */
    static int call(InetSocketAddress address, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(address, ATTEMPT_TIMEOUT_MS);
            socket.setSoTimeout(ATTEMPT_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return LoopbackPeers.readHead(new BufferedInputStream(socket.getInputStream()))
                    .status();
        } catch (IOException noResponse) {
            return 0;
        }
    }
}
