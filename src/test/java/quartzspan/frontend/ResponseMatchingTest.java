package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.Server;

/** Responses are matched to requests: a late, duplicate or unmarked response is never passed on for another request. */
class ResponseMatchingTest extends FleetFixture {
    @Test
    void completeResponseIsPassedOnUnchanged() throws Exception {
        startServer("plain", s -> s.write(response(attemptId(s), "done")));
        Message response = client().write(request("once", "a1")).read();
        assertEquals("done", response.text());
        assertEquals("seal.1", response.header("x-server-seal"));
        assertEquals("a1", response.header("x-attempt-id"));
    }

    @Test
    void lateResponseIsSkipped() throws Exception {
        startServer(
                "late",
                s -> s.write((attemptId(s).equals("a2") ? response("a1", "not yours") : "")
                        + response(attemptId(s), "for " + attemptId(s))));
        Client client = client();
        assertEquals("for a1", client.write(request("once", "a1")).read().text());
        assertEquals("for a2", client.write(request("once", "a2")).read().text());
        assertEquals("for a3", client.write(request("once", "a3")).read().text());
    }

    @Test
    void lateRejectionWithoutLengthIsNotTakenAsTheNextResponse() throws Exception {
        // Taken as the response to a2 it would imply that a2 was not executed, and a2 would be executed again
        // elsewhere.
        Server server = startServer(
                "bare",
                s -> s.write("HTTP/1.1 503 x\r\nX-Attempt-Id: a0\r\nX-Not-Executed: 1\r\n\r\n"
                        + response(attemptId(s), "ran")));
        assertMayHaveBeenExecuted(client().write(request("once", "a2")).read());
        assertEquals(1, server.received.size(), "the request is sent once");
    }

    @Test
    void successWithoutTheAttemptIdIsNotPassedOn() throws Exception {
        startServer("anonymous", s -> s.write(response(200, "X-Server-Seal: seal.1\r\n", "no attempt id")));
        assertMayHaveBeenExecuted(client().write(request("once", "a1")).read());
    }

    @Test
    void successWithoutAServerSealIsNotPassedOn() throws Exception {
        startServer("unsealed", s -> s.write(response(200, "X-Attempt-Id: " + attemptId(s) + "\r\n", "x")));
        assertMayHaveBeenExecuted(client().write(request("once", "a1")).read());
    }

    @Test
    void responseWithTwoAttemptIdsIsNotPassedOn() throws Exception {
        startServer(
                "twofold",
                s -> s.write(response(
                        200,
                        "X-Attempt-Id: " + attemptId(s) + "\r\nX-Attempt-Id: zz\r\nX-Server-Seal: seal.1\r\n",
                        "x")));
        assertMayHaveBeenExecuted(client().write(request("once", "a1")).read());
    }

    @Test
    void successWithAContentEncodingIsNotPassedOn() throws Exception {
        startServer(
                "encoded",
                s -> s.write(response(
                        200,
                        "X-Attempt-Id: " + attemptId(s) + "\r\nX-Server-Seal: seal.1\r\nContent-Encoding: gzip\r\n",
                        "x")));
        assertMayHaveBeenExecuted(client().write(request("once", "a1")).read());
    }

    @Test
    void rejectionWithoutTheHeaderDoesNotImplyNonExecution() throws Exception {
        // Clients take 429, 503 and 408 to mean that the request is never executed; without X-Not-Executed no server
        // has stated that.
        for (int status : new int[] {503, 429, 408}) {
            Server server = startServer(
                    "unmarked" + status,
                    s -> s.write(response(
                            status,
                            "X-Attempt-Id: " + attemptId(s) + "\r\nX-Server-Seal: seal.1\r\nRetry-After: 1\r\n",
                            "")));
            Message response = client().write(request("once", "a" + status)).read();
            assertMayHaveBeenExecuted(response);
            assertEquals(null, response.header("retry-after"));
            assertEquals(1, server.received.size());
            server.close();
        }
    }

    @Test
    void failureIsPassedOnWithTheServersStatusAndSeal() throws Exception {
        startServer(
                "failing",
                s -> s.write(response(500, "X-Attempt-Id: " + attemptId(s) + "\r\nX-Server-Seal: seal.5\r\n", "why")));
        Message response = client().write(request("once", "a1")).read();
        assertEquals(500, response.status());
        assertEquals("seal.5", response.header("x-server-seal"));
        assertEquals("why", response.text());
    }

    @Test
    void resentRequestIsNotAnsweredByTheResponseToTheFirstAttempt() throws Exception {
        // A server with another weights version rejects the request, and sends that rejection again before the second
        // response.
        AtomicReference<Socket> firstConnection = new AtomicReference<>();
        String mismatch = response(421, "X-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nX-Instance-Id: twice\r\n", "");
        Server server = startServer("twice", s -> {
            boolean resent = !firstConnection.compareAndSet(null, s.socket());
            s.write(!resent ? mismatch : (firstConnection.get() == s.socket() ? mismatch : "") + response("a1", "ran"));
        });
        Message response = client().write(request("once", "a1")).read();
        assertEquals("ran", response.text(), response.first());
        assertEquals(2, server.received.size());
    }
}
