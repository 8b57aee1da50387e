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
import quartzspan.http.LoopbackPeers.Seen;
import quartzspan.http.LoopbackPeers.Server;

/** A request that may run once is written once, whatever becomes of its connection; and what its client is told then. */
class RequestResendTest extends FleetFixture {
    private static final String EVENTS = "3\r\n1st\r\n3\r\n2nd\r\n0\r\n\r\n";

    /** A server that keeps its connections but forgets them while they are idle: what is sent next is reset. */
    private static void forgetful(Seen seen, Set<Socket> known) {
        if (known.add(seen.socket())) {
            seen.write(answer(id(seen), "for " + id(seen)));
        } else {
            seen.reset();
        }
    }

    @Test
    void nonIdempotentRequestIsNotResentAfterAStaleConnection() throws Exception {
        Set<Socket> known = ConcurrentHashMap.newKeySet();
        Server server = server("forgets", s -> forgetful(s, known));
        assertEquals("for a1", client().write(request("once", "a1")).read().text());
        rest();
        assertNoPromise(client().write(request("once", "a2")).read());
        assertEquals(2, server.seen.size(), "a1 and a2, once each");
        assertEquals(1, server.connections.size(), "the kept connection was used");
    }

    @Test
    void readIsResentOnAnotherConnectionAfterAStaleOne() throws Exception {
        Set<Socket> known = ConcurrentHashMap.newKeySet();
        server("forgets-a", s -> forgetful(s, known));
        server("forgets-b", s -> forgetful(s, known));
        for (int i = 0; i < 12; i++) {
            rest();
            assertEquals(
                    "for r" + i, client().write(request("read", "r" + i)).read().text());
        }
    }

    @Test
    void connectionIsClosedWithinTheServersKeepAlive() throws Exception {
        Server server = server(
                "brief",
                s -> s.write(answer(
                        200,
                        "X-Attempt-Id: " + id(s) + "\r\nX-Server-Seal: seal.1\r\nKeep-Alive: max=9, timeout=0\r\n",
                        "x")));
        client().write(request("once", "a1")).read();
        rest();
        client().write(request("once", "a2")).read();
        assertEquals(2, server.connections.size());
    }

    @Test
    void truncatedResponseIsNeverRetriedNorLooksComplete() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Server-Seal: seal.1\r\n";
        for (String whole :
                List.of(head + "Content-Length: 4\r\n\r\ndone", head + "Transfer-Encoding: chunked\r\n\r\n" + EVENTS)) {
            int[] length = {0};
            Server server = server("breaks" + whole.length(), s -> {
                s.write(whole.substring(0, length[0]));
                s.reset();
            });
            for (; length[0] < whole.length(); length[0]++) {
                server.seen.clear();
                Client client = client().write(request("once", "b"));
                assertTrue(brokenOff(client), "after " + length[0] + " bytes");
                assertEquals(1, server.seen.size(), "after " + length[0] + " bytes");
            }
            server.close();
        }
    }

    /** Whether a client got a 502, or the beginning of an answer and then the connection's end. */
    private static boolean brokenOff(Client client) throws IOException {
        Message head;
        try {
            head = client.readHead();
        } catch (IOException nothing) {
            return true;
        }
        if (head.status() == 502) {
            return true;
        }
        String rest = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        return head.status() == 200 && !rest.endsWith("done") && !rest.endsWith(EVENTS);
    }

    @Test
    void timeoutPromisesNothing() throws Exception {
        Server server = server("mute", s -> {});
        Message answer = client().write(request("POST", "once", "a1", "", 300)).read();
        assertEquals(504, answer.status());
        assertEquals(1, server.seen.size());
    }

    @Test
    void aRequestGoesToNoMoreServersThanItsRouteAllows() throws Exception {
        // Each server has other weights than the proxy thinks: that is no reason to go to another one.
        Server a = server("other-a", s -> s.write(otherWeights("other-a", id(s))));
        Server b = server("other-b", s -> s.write(otherWeights("other-b", id(s))));
        for (int i = 0; i < 16; i++) {
            a.seen.clear();
            b.seen.clear();
            assertEquals(503, client().write(request("single", "m" + i)).read().status());
            assertTrue(a.seen.isEmpty() || b.seen.isEmpty(), "sent to both");
        }
    }

    private static String otherWeights(String instance, String attemptId) {
        return answer(
                421, "X-Attempt-Id: " + attemptId + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + instance + "\r\n", "");
    }

    @Test
    void requestRejectedByAnotherInstanceRunsElsewhere() throws Exception {
        Server reused = server("reused", s -> s.write(notExecuted(421, id(s))));
        server("there", s -> s.write(answer(id(s), "ran")));
        reused.seen.clear();
        for (int i = 0; i < 8; i++) {
            assertEquals("ran", client().write(request("once", "a" + i)).read().text());
        }
        assertTrue(reused.seen.size() <= 1, "passed over once it is known");
    }

    @Test
    void earlyResponseIsTheResponse() throws Exception {
        // The server says no to a large request after its head, and does not read the rest.
        String body = "x".repeat(3_000_000);
        Server server = server("early", s -> s.write(answer(id(s), "ran")));
        try (ServerSocket early = new ServerSocket()) {
            early.setReceiveBufferSize(8_192);
            early.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listen("early-too", early);
            Queue<String> refused = new ConcurrentLinkedQueue<>();
            Thread refuser = new Thread(() -> refuseAfterHeads(early, refused));
            refuser.start();
            for (int i = 0; i < 6; i++) {
                String head = request("GET", "once", "l" + i, "", 20_000)
                        .replace("GET", "POST")
                        .replace("Content-Length: 0", "Content-Length: " + body.length());
                Message answer = client().write(head + body).read();
                assertEquals("ran", answer.text(), answer.first());
            }
            // Connections are accepted in their order: when this one is answered, all that came before have been.
            try (Client last = new Client(early.getLocalPort())) {
                last.write(request("GET", "once", "last", "", 1)).readHead();
            }
            assertEquals(List.copyOf(new LinkedHashSet<>(refused)), List.copyOf(refused), "one connection for each");
        }
        assertEquals(6, server.seen.size());
    }

    private static void refuseAfterHeads(ServerSocket early, Queue<String> refused) {
        try {
            while (true) {
                refuse(early.accept(), refused);
            }
        } catch (IOException e) {
            // closed: the test is over
        }
    }

    private static void refuse(Socket socket, Queue<String> refused) {
        try {
            String id = LoopbackPeers.readHead(socket.getInputStream()).header("x-attempt-id");
            refused.add(id);
            String answer = answer(503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nConnection: close\r\n", "");
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException nothingAsked) {
            refused.add("nothing");
            refused.add("nothing");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        Server server = server("orderly", s -> {
            if (!id(s).equals("p1")) {
                s.write(answer(id(s), "for " + id(s)));
            }
        });
        Client client = client().write(request("once", "p1") + request("read", "p2") + request("once", "p3"));
        Seen first = next(server, "the first");
        assertEquals("p1", id(first));
        first.write(answer("p1", "for p1"));
        for (String id : List.of("p1", "p2", "p3")) {
            Message answer = client.read();
            assertEquals("for " + id, answer.text());
            assertEquals(id, answer.header("x-attempt-id"));
        }
    }

    @Test
    void responseToADisconnectedClientReachesNoOther() throws Exception {
        Server server = server("slow", s -> {
            if (!id(s).equals("gone")) {
                s.write(answer(id(s), "for " + id(s)));
            }
        });
        Client leaves = client().write(request("once", "gone"));
        Seen open = next(server, "the request");
        leaves.close();
        open.awaitEnd();
        open.write(answer("gone", "late"));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    "for c" + i, client().write(request("once", "c" + i)).read().text());
        }
    }

    @Test
    void responsesToHeadHaveNoBody() throws Exception {
        server(
                "heads",
                s -> s.write(
                        id(s).equals("h1")
                                ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: h1\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\n"
                                : id(s).equals("h2")
                                        ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: h2\r\nX-Server-Seal: s\r\n"
                                                + "Transfer-Encoding: chunked\r\n\r\n"
                                        : answer(id(s), "whole")));
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
        assertEquals("whole", client.write(request("read", "h3")).read().text());
    }

    @Test
    void rejectionPromisesNonExecutionOnlyIfNothingWasExecuted() throws Exception {
        // Full first, then a reset: the refusal of the one says nothing of the other.
        Server full = server("full", s -> s.write(notExecuted(503, id(s))));
        Server broken = server("broken", Seen::reset);
        for (int i = 0; i < 8; i++) {
            full.seen.clear();
            broken.seen.clear();
            int status = client().write(request("once", "f" + i)).read().status();
            assertEquals(broken.seen.isEmpty() ? 503 : 502, status);
            assertTrue(broken.seen.size() <= 1);
        }
    }

    @Test
    void incompleteRequestOfADisconnectedClientIsNotForwarded() throws Exception {
        Server server = server("whole-only", s -> s.write(answer(id(s), "for " + id(s))));
        String half = request("once", "half");
        Client client = client().write(half.substring(0, half.length() - 1));
        client.socket.shutdownOutput();
        assertThrows(IOException.class, client::read);
        assertEquals(
                "for after", client().write(request("once", "after")).read().text());
        assertEquals(1, server.seen.size());
    }
}
