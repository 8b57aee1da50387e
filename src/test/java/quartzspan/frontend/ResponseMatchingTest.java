package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.Server;

/** One answer belongs to one request: what servers send late, twice or without their marks is never another's. */
class ResponseMatchingTest extends FleetFixture {
    @Test
    void completeResponseIsPassedOnUnchanged() throws Exception {
        server("plain", s -> s.write(answer(id(s), "done")));
        Message answer = client().write(request("once", "a1")).read();
        assertEquals("done", answer.text());
        assertEquals("seal.1", answer.header("x-server-seal"));
        assertEquals("a1", answer.header("x-attempt-id"));
    }

    @Test
    void lateResponseIsSkipped() throws Exception {
        server(
                "late",
                s -> s.write((id(s).equals("a2") ? answer("a1", "not yours") : "") + answer(id(s), "for " + id(s))));
        Client client = client();
        assertEquals("for a1", client.write(request("once", "a1")).read().text());
        assertEquals("for a2", client.write(request("once", "a2")).read().text());
        assertEquals("for a3", client.write(request("once", "a3")).read().text());
    }

    @Test
    void lateRejectionWithoutLengthIsNotTheNextResponse() throws Exception {
        // Taken for a2's it would promise that a2 never ran, and let it run a second time elsewhere.
        Server server = server(
                "bare",
                s -> s.write("HTTP/1.1 503 x\r\nX-Attempt-Id: a0\r\nX-Not-Executed: 1\r\n\r\n" + answer(id(s), "ran")));
        assertNoPromise(client().write(request("once", "a2")).read());
        assertEquals(1, server.seen.size(), "written once");
    }

    @Test
    void aSuccessWithoutTheRequestsIdIsNotServed() throws Exception {
        server("anonymous", s -> s.write(answer(200, "X-Server-Seal: seal.1\r\n", "whose?")));
        assertNoPromise(client().write(request("once", "a1")).read());
    }

    @Test
    void aSuccessWithoutASealIsNotServed() throws Exception {
        server("unsealed", s -> s.write(answer(200, "X-Attempt-Id: " + id(s) + "\r\n", "x")));
        assertNoPromise(client().write(request("once", "a1")).read());
    }

    @Test
    void responseWithTwoIdsIsNotServed() throws Exception {
        server(
                "twofold",
                s -> s.write(answer(
                        200, "X-Attempt-Id: " + id(s) + "\r\nX-Attempt-Id: zz\r\nX-Server-Seal: seal.1\r\n", "x")));
        assertNoPromise(client().write(request("once", "a1")).read());
    }

    @Test
    void anEncodedSuccessIsNotTheServersBody() throws Exception {
        server(
                "encoded",
                s -> s.write(answer(
                        200,
                        "X-Attempt-Id: " + id(s) + "\r\nX-Server-Seal: seal.1\r\nContent-Encoding: gzip\r\n",
                        "x")));
        assertNoPromise(client().write(request("once", "a1")).read());
    }

    @Test
    void rejectionWithoutTheHeaderPromisesNothing() throws Exception {
        // 429, 503 and 408 tell a client that its request never runs; without the mark a server did not say so.
        for (int status : new int[] {503, 429, 408}) {
            Server server = server(
                    "unmarked" + status,
                    s -> s.write(answer(
                            status, "X-Attempt-Id: " + id(s) + "\r\nX-Server-Seal: seal.1\r\nRetry-After: 1\r\n", "")));
            Message answer = client().write(request("once", "a" + status)).read();
            assertNoPromise(answer);
            assertEquals(null, answer.header("retry-after"));
            assertEquals(1, server.seen.size());
            server.close();
        }
    }

    @Test
    void aFailureIsPassedOnWithItsServersStatusAndSeal() throws Exception {
        server("failing", s -> s.write(answer(500, "X-Attempt-Id: " + id(s) + "\r\nX-Server-Seal: seal.5\r\n", "why")));
        Message answer = client().write(request("once", "a1")).read();
        assertEquals(500, answer.status());
        assertEquals("seal.5", answer.header("x-server-seal"));
        assertEquals("why", answer.text());
    }

    @Test
    void resentRequestIsNotAnsweredByTheFirstAttemptsResponse() throws Exception {
        // A server of other weights turns it away, and once more, late, where the second send's answer is due.
        AtomicReference<Socket> first = new AtomicReference<>();
        String away = answer(421, "X-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nX-Instance-Id: twice\r\n", "");
        Server server = server("twice", s -> {
            boolean again = !first.compareAndSet(null, s.socket());
            s.write(!again ? away : (first.get() == s.socket() ? away : "") + answer("a1", "ran"));
        });
        Message answer = client().write(request("once", "a1")).read();
        assertEquals("ran", answer.text(), answer.first());
        assertEquals(2, server.seen.size());
    }
}
