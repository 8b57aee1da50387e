package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** A non-idempotent request is sent only once, however its connection fails; and the responses that clients get after failures. */
class RequestResendTest extends FleetFixture {
    private static final String CHUNKS = "3\r\n1st\r\n3\r\n2nd\r\n0\r\n\r\n";

    /** Script of a server whose idle connections become stale: it resets a connection at the second request. */
    private static void resetReusedConnection(ReceivedRequest seen, Set<Socket> connections) {
        if (connections.add(seen.socket())) {
            seen.write(response(attemptId(seen), "for " + attemptId(seen)));
        } else {
            seen.reset();
        }
    }

    @Test
    void nonIdempotentRequestIsNotResentAfterAStaleConnection() throws Exception {
        Set<Socket> connections = ConcurrentHashMap.newKeySet();
        Server server = startServer("resets", s -> resetReusedConnection(s, connections));
        assertEquals("for a1", client().write(request("once", "a1")).read().text());
        waitUntilConnectionsAreReusable();
        assertMayHaveBeenExecuted(client().write(request("once", "a2")).read());
        assertEquals(2, server.received.size(), "a1 and a2 are sent once each");
        assertEquals(1, server.connections.size(), "the idle connection is reused");
    }

    @Test
    void readOnlyRequestIsResentOnAnotherConnectionAfterAStaleOne() throws Exception {
        Set<Socket> connections = ConcurrentHashMap.newKeySet();
        startServer("resets-a", s -> resetReusedConnection(s, connections));
        startServer("resets-b", s -> resetReusedConnection(s, connections));
        for (int i = 0; i < 12; i++) {
            waitUntilConnectionsAreReusable();
            assertEquals(
                    "for r" + i, client().write(request("read", "r" + i)).read().text());
        }
    }

    @Test
    void connectionIsClosedWithinTheServersKeepAlive() throws Exception {
        Server server = startServer(
                "brief",
                s -> s.write(response(
                        200,
                        "X-Attempt-Id: " + attemptId(s)
                                + "\r\nX-Server-Seal: seal.1\r\nKeep-Alive: max=9, timeout=0\r\n",
                        "x")));
        client().write(request("once", "a1")).read();
        waitUntilConnectionsAreReusable();
        client().write(request("once", "a2")).read();
        assertEquals(2, server.connections.size());
    }

    @Test
    void truncatedResponseIsNeitherRetriedNorPassedOnAsComplete() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Server-Seal: seal.1\r\n";
        for (String complete :
                List.of(head + "Content-Length: 4\r\n\r\ndone", head + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS)) {
            int[] length = {0};
            Server server = startServer("breaks" + complete.length(), s -> {
                s.write(complete.substring(0, length[0]));
                s.reset();
            });
            for (; length[0] < complete.length(); length[0]++) {
                server.received.clear();
                Client client = client().write(request("once", "b"));
                assertTrue(isTruncated(client), "after " + length[0] + " bytes");
                assertEquals(1, server.received.size(), "after " + length[0] + " bytes");
            }
            server.close();
        }
    }

    /** Whether a client received a 502, or a truncated response, or none. */
    private static boolean isTruncated(Client client) throws IOException {
        Message head;
        try {
            head = client.readHead();
        } catch (IOException noResponse) {
            return true;
        }
        if (head.status() == 502) {
            return true;
        }
        String rest = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        return head.status() == 200 && !rest.endsWith("done") && !rest.endsWith(CHUNKS);
    }

    @Test
    void timeoutDoesNotImplyNonExecution() throws Exception {
        Server server = startServer("unresponsive", s -> {});
        Message response =
                client().write(request("POST", "once", "a1", "", 300)).read();
        assertEquals(504, response.status());
        assertEquals(1, server.received.size());
    }

    @Test
    void requestIsSentToNoMoreServersThanTheRouteAllows() throws Exception {
        // Each server has another weights version than the proxy expects, which doesn't allow another server to be
        // tried.
        Server a = startServer("other-a", s -> s.write(versionMismatch("other-a", attemptId(s))));
        Server b = startServer("other-b", s -> s.write(versionMismatch("other-b", attemptId(s))));
        for (int i = 0; i < 16; i++) {
            a.received.clear();
            b.received.clear();
            assertEquals(503, client().write(request("single", "m" + i)).read().status());
            assertTrue(a.received.isEmpty() || b.received.isEmpty(), "the request was sent to both servers");
        }
    }

    private static String versionMismatch(String instance, String attemptId) {
        return response(
                421, "X-Attempt-Id: " + attemptId + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + instance + "\r\n", "");
    }

    @Test
    void requestRejectedByAnotherInstanceIsExecutedElsewhere() throws Exception {
        Server otherInstance = startServer("reused", s -> s.write(notExecutedResponse(421, attemptId(s))));
        startServer("there", s -> s.write(response(attemptId(s), "ran")));
        otherInstance.received.clear();
        for (int i = 0; i < 8; i++) {
            assertEquals("ran", client().write(request("once", "a" + i)).read().text());
        }
        assertTrue(otherInstance.received.size() <= 1, "the server is skipped after its first rejection");
    }

    @Test
    void responseBeforeTheEndOfTheRequestIsAccepted() throws Exception {
        // One server rejects a large request after its head and does not read the body.
        String body = "x".repeat(3_000_000);
        Server server = startServer("early", s -> s.write(response(attemptId(s), "ran")));
        try (ServerSocket early = new ServerSocket()) {
            early.setReceiveBufferSize(8_192);
            early.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            registerServer("early-too", early);
            Queue<String> rejected = new ConcurrentLinkedQueue<>();
            Thread rejectingThread = new Thread(() -> rejectAfterHeads(early, rejected));
            rejectingThread.start();
            for (int i = 0; i < 6; i++) {
                String head = request("GET", "once", "l" + i, "", 20_000)
                        .replace("GET", "POST")
                        .replace("Content-Length: 0", "Content-Length: " + body.length());
                Message response = client().write(head + body).read();
                assertEquals("ran", response.text(), response.first());
            }
            // Connections are accepted in order: after the response to this one, all earlier ones have been handled.
            try (Client last = new Client(early.getLocalPort())) {
                last.write(request("GET", "once", "last", "", 1)).readHead();
            }
            assertEquals(
                    List.copyOf(new LinkedHashSet<>(rejected)),
                    List.copyOf(rejected),
                    "each attempt reaches the server on one connection");
        }
        assertEquals(6, server.received.size());
    }

    private static void rejectAfterHeads(ServerSocket early, Queue<String> rejected) {
        try {
            while (true) {
                rejectAfterHead(early.accept(), rejected);
            }
        } catch (IOException e) {
            // The test has closed the socket.
        }
    }

    private static void rejectAfterHead(Socket socket, Queue<String> rejected) {
        try {
            String id = LoopbackPeers.readHead(socket.getInputStream()).header("x-attempt-id");
            rejected.add(id);
            String response =
                    response(503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nConnection: close\r\n", "");
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException noRequest) {
            // Recorded twice, so that the check for duplicates fails: the proxy opened a connection without a request.
            rejected.add("nothing");
            rejected.add("nothing");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        Server server = startServer("orderly", s -> {
            if (!attemptId(s).equals("p1")) {
                s.write(response(attemptId(s), "for " + attemptId(s)));
            }
        });
        Client client = client().write(request("once", "p1") + request("read", "p2") + request("once", "p3"));
        ReceivedRequest first = nextRequest(server, "the first pipelined request");
        assertEquals("p1", attemptId(first));
        first.write(response("p1", "for p1"));
        for (String id : List.of("p1", "p2", "p3")) {
            Message response = client.read();
            assertEquals("for " + id, response.text());
            assertEquals(id, response.header("x-attempt-id"));
        }
    }

    @Test
    void responseToADisconnectedClientIsNotSentToAnotherClient() throws Exception {
        Server server = startServer("slow", s -> {
            if (!attemptId(s).equals("gone")) {
                s.write(response(attemptId(s), "for " + attemptId(s)));
            }
        });
        Client disconnecting = client().write(request("once", "gone"));
        ReceivedRequest pending = nextRequest(server, "the request of the client that disconnects");
        disconnecting.close();
        pending.awaitEnd();
        pending.write(response("gone", "late"));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    "for c" + i, client().write(request("once", "c" + i)).read().text());
        }
    }

    @Test
    void responsesToHeadHaveNoBody() throws Exception {
        startServer(
                "heads",
                s -> s.write(
                        attemptId(s).equals("h1")
                                ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: h1\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\n"
                                : attemptId(s).equals("h2")
                                        ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: h2\r\nX-Server-Seal: s\r\n"
                                                + "Transfer-Encoding: chunked\r\n\r\n"
                                        : response(attemptId(s), "complete")));
        Client client = client();
        assertEquals(
                200,
                client.write(request("HEAD", "read", "h1", "", 20_000))
                        .readHead()
                        .status());
        assertEquals(
                200,
                client.write(request("HEAD", "read", "h2", "", 20_000))
                        .readHead()
                        .status());
        assertEquals("complete", client.write(request("read", "h3")).read().text());
    }

    @Test
    void rejectionImpliesNonExecutionOnlyIfNothingWasExecuted() throws Exception {
        // If one server rejects the request and the other resets its connection, the rejection doesn't imply
        // non-execution.
        Server full = startServer("full", s -> s.write(notExecutedResponse(503, attemptId(s))));
        Server broken = startServer("broken", ReceivedRequest::reset);
        for (int i = 0; i < 8; i++) {
            full.received.clear();
            broken.received.clear();
            int status = client().write(request("once", "f" + i)).read().status();
            assertEquals(broken.received.isEmpty() ? 503 : 502, status);
            assertTrue(broken.received.size() <= 1);
        }
    }

    @Test
    void incompleteRequestOfADisconnectedClientIsNotForwarded() throws Exception {
        Server server = startServer("complete-only", s -> s.write(response(attemptId(s), "for " + attemptId(s))));
        String incomplete = request("once", "incomplete");
        Client client = client().write(incomplete.substring(0, incomplete.length() - 1));
        client.socket.shutdownOutput();
        assertThrows(IOException.class, client::read);
        assertEquals(
                "for after", client().write(request("once", "after")).read().text());
        assertEquals(1, server.received.size());
    }
}
