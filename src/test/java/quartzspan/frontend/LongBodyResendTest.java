package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.ScriptedServer;

/** Requests whose connection is lost while a part of a long body is still to be written; servers begin before they have read it. */
class LongBodyResendTest extends FleetFixture {
    /** About the default limit of a configuration; more than the kernel takes at once with a small receive buffer. */
    private static final String BODY = "x".repeat(4_190_000);

    private static final int MAX_CALLS = 20_000;
    private static final int BYTES_READ_BEFORE_RESET = 100;
    private static final String WARM_UP = "warm-up";

    private final AtomicInteger runs = new AtomicInteger();

    private interface Run {
        void run(Socket socket, InputStream in, String attemptId, int number) throws IOException;
    }

    /** Starts a server; returns once the proxy forwards to it. */
    private void startServer(String id, Run run) throws Exception {
        AtomicInteger warmUps = new AtomicInteger();
        ScriptedServer server = closeAfterTest(ScriptedServer.startWithSmallBuffer((socket, in) -> {
            String attemptId = LoopbackPeers.readHead(in).header("x-attempt-id");
            if (WARM_UP.equals(attemptId)) {
                warmUps.incrementAndGet();
                ScriptedServer.write(socket, response(200, answerHeaders(WARM_UP) + "Connection: close\r\n", ""));
                socket.close();
            } else if (attemptId != null) {
                run.run(socket, in, attemptId, runs.incrementAndGet());
            }
        }));
        registerServer(id, server.socket);
        for (int i = 0; warmUps.get() == 0; i++) {
            assertTrue(i < MAX_CALLS, "the proxy forwards no request to " + id);
            try (Client client = client()) {
                client.write(request("GET", "once", WARM_UP, "", 20_000)).read();
            }
        }
    }

    private static String answerHeaders(String attemptId) {
        return "X-Attempt-Id: " + attemptId + "\r\nX-Server-Seal: seal.1\r\n";
    }

    private Client send(String route, String attemptId) throws Exception {
        String head = request("GET", route, attemptId, "", 20_000)
                .replaceFirst("GET", "POST")
                .replace("Content-Length: 0", "Content-Length: " + BODY.length());
        return client().write(head + BODY);
    }

    /** Guards against a second run whose pieces follow those of the first (review/1). */
    @Test
    void requestWhoseAnswerHasBegunRunsOnceAndItsAnswerIsCutOff() throws Exception {
        startServer("begins", (socket, in, id, number) -> {
            ScriptedServer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\n" + answerHeaders(id) + "Transfer-Encoding: chunked\r\n\r\n5\r\nrun" + number
                            + ";\r\n");
            in.readNBytes(BYTES_READ_BEFORE_RESET);
            ScriptedServer.reset(socket);
        });
        for (String route : new String[] {"once", "read"}) {
            runs.set(0);
            Client client = send(route, "begun-" + route);
            try {
                assertEquals(200, client.readHead().status());
                assertThrows(IOException.class, () -> readChunks(client), "no end of the answer");
            } catch (IOException noAnswer) {
                // The connection was lost before the proxy had read the head.
            }
            assertEquals(1, runs.get(), route);
        }
    }

    /** Reads chunks up to the last one; fails if the connection ends before it. */
    private static void readChunks(Client client) throws IOException {
        String text = "";
        while (!text.endsWith("0\r\n\r\n")) {
            int next = client.socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("cut off after " + text);
            }
            text += (char) next;
        }
    }

    /** Guards against a 503, which promises that the request has not run, for one that a server had begun. */
    @Test
    void requestWhoseServerHasBegunWithoutAnAnswerRunsOnce() throws Exception {
        startServer("silent", (socket, in, id, number) -> ScriptedServer.reset(socket));
        assertMayHaveBeenExecuted(send("once", "silent-1").read());
        assertEquals(1, runs.get());
    }

    @Test
    void requestThatMayBeRepeatedRunsOnAnotherServer() throws Exception {
        Run firstIsLost = (socket, in, id, number) -> {
            if (number == 1) {
                ScriptedServer.reset(socket);
            } else {
                ScriptedServer.write(socket, response(id, "run " + number));
            }
        };
        startServer("lost-a", firstIsLost);
        startServer("lost-b", firstIsLost);
        Message response = send("read", "repeated").read();
        assertEquals(200, response.status());
        assertEquals("run 2", response.text());
    }

    /** Guards against the loss of an answer that has arrived when the failure of the write is noticed. */
    @Test
    void completeEarlyAnswerOfAServerThatClosesIsPassedOn() throws Exception {
        startServer("early", (socket, in, id, number) -> {
            ScriptedServer.write(socket, response(200, answerHeaders(id) + "Connection: close\r\n", "run " + number));
            socket.close();
        });
        Message response = send("once", "early-1").read();
        assertEquals(200, response.status());
        assertEquals("run 1", response.text());
        assertEquals(1, runs.get());
    }
}
