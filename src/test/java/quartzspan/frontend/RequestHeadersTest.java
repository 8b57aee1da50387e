package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** What servers are sent of a client's request: its headers, the time that is left, and nothing that only the proxy may set. */
class RequestHeadersTest extends FleetFixture {
    private static final long DEADLINE_MS = 5_000;
    private static final long SERVER_DELAY_MS = 300;

    private static void answer(ReceivedRequest seen) {
        seen.write(response(attemptId(seen), "ran"));
    }

    private Message send(Server server, String route, String attemptId, String headers) throws Exception {
        Message response = client().write(request("POST", route, attemptId, headers, DEADLINE_MS))
                .read();
        assertEquals("ran", response.text());
        return nextRequest(server, attemptId).message();
    }

    @Test
    void headersOfTheModelAndThePromptReachTheServerUnchanged() throws Exception {
        Server server = startServer("model", RequestHeadersTest::answer);
        Message received = send(
                server,
                "once",
                "m1",
                "X-Model: large\r\nX-Token-Count: 700,40\r\nX-Prompt-Prefix: a.300,b.400\r\nX-Other: kept\r\n");
        assertEquals("large", received.header("x-model"));
        assertEquals("700,40", received.header("x-token-count"));
        assertEquals("a.300,b.400", received.header("x-prompt-prefix"));
        assertEquals("kept", received.header("x-other"));
        assertEquals("m1", received.header("x-attempt-id"));
        assertEquals("model", received.header("x-expected-instance"));
        assertEquals("body", received.text());
    }

    @Test
    void lastEventIdReachesTheServer() throws Exception {
        Server server = startServer("events", RequestHeadersTest::answer);
        assertEquals("41", send(server, "read", "e1", "Last-Event-Id: 41\r\n").header("last-event-id"));
    }

    @Test
    void headersThatOnlyTheProxyMaySetAreRemoved() throws Exception {
        Server server = startServer("trusting", RequestHeadersTest::answer);
        Message received = send(
                server,
                "once",
                "s1",
                "Cache-Salt: stolen\r\nExpect-Version: 9\r\nKv-Fetch: x\r\nKv-Save: x\r\nX-Tenant: other\r\n"
                        + "Priority: 0\r\nX-Expected-Instance: other\r\n");
        for (String name : List.of("cache-salt", "expect-version", "kv-fetch", "kv-save", "x-tenant", "priority")) {
            assertNull(received.header(name), name);
        }
        assertEquals("trusting", received.header("x-expected-instance"));
    }

    @Test
    void headersOfOneConnectionAreNotForwarded() throws Exception {
        Server server = startServer("hops", RequestHeadersTest::answer);
        Message received =
                send(server, "once", "h1", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\n");
        assertNull(received.header("x-hop"));
        assertNull(received.header("keep-alive"));
    }

    @Test
    void clientThatWaitsFor100ContinueGetsItBeforeItsBody() throws Exception {
        Server server = startServer("continue", RequestHeadersTest::answer);
        String whole = request("POST", "once", "c1", "Expect: 100-continue\r\n", DEADLINE_MS);
        int bodyStart = whole.indexOf("\r\n\r\n") + 4;
        Client client = client().write(whole.substring(0, bodyStart));
        assertEquals(100, client.readHead().status());
        assertTrue(server.received.isEmpty(), "nothing is forwarded before the body");
        assertEquals("ran", client.write(whole.substring(bodyStart)).read().text());
        assertEquals("body", nextRequest(server, "the request").message().text());
    }

    @Test
    void serverIsGivenNoMoreTimeThanTheClientHas() throws Exception {
        Server server = startServer("timed", RequestHeadersTest::answer);
        long givenMs = Long.parseLong(send(server, "once", "t1", "").header("x-deadline-ms"));
        assertTrue(givenMs > 0 && givenMs <= DEADLINE_MS, givenMs + " ms");
    }

    @Test
    void timeUsedByAFirstServerIsNotGivenToTheNext() throws Exception {
        ConcurrentLinkedQueue<Long> givenMs = new ConcurrentLinkedQueue<>();
        for (String id : List.of("slow-a", "slow-b")) {
            startServer(id, seen -> {
                givenMs.add(Long.parseLong(seen.message().header("x-deadline-ms")));
                if (givenMs.size() > 1) {
                    answer(seen);
                } else {
                    rejectAfterDelay(seen);
                }
            });
        }
        Message response =
                client().write(request("POST", "once", "d1", "", DEADLINE_MS)).read();
        assertEquals("ran", response.text());
        assertEquals(2, givenMs.size());
        long firstMs = givenMs.remove();
        long secondMs = givenMs.remove();
        assertTrue(firstMs - secondMs >= SERVER_DELAY_MS, firstMs + " and " + secondMs);
    }

    private static void rejectAfterDelay(ReceivedRequest seen) {
        long endNanos = System.nanoTime() + SERVER_DELAY_MS * 1_000_000;
        while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
        seen.write(notExecutedResponse(503, attemptId(seen)));
    }

    /** The server's process has ended, and its registration has not timed out yet. */
    @Test
    void requestGoesToAnotherServerIfOneIsGone() throws Exception {
        Server there = startServer("there", RequestHeadersTest::answer);
        ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        registerServer("gone", gone);
        gone.close();
        for (int i = 0; i < 12; i++) {
            assertEquals("ran", client().write(request("once", "g" + i)).read().text());
        }
        assertEquals(12, there.received.size(), "each request is executed once");
    }

    @Test
    void requestThatTheOnlyServerDidNotExecuteIsRejectedWithATimeToRetry() throws Exception {
        Server only = startServer("full", seen -> seen.write(notExecutedResponse(503, attemptId(seen))));
        Message response = client().write(request("once", "n1")).read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("retry-after")) > 0, "it says when to come back");
        assertEquals(1, only.received.size());
    }
}
