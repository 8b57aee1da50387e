package quartzspan.clientproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;
import quartzspan.http.LoopbackPeers.Discovery;
import quartzspan.http.LoopbackPeers.Message;
import quartzspan.http.LoopbackPeers.ReceivedRequest;
import quartzspan.http.LoopbackPeers.Server;

/** Runs the complete program in its own process, started as in a deployment, with the real load balancer. */
class ClientProxyProcessTest {
    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Process process;
    private Discovery discovery;

    private int start(Server... servers) throws Exception {
        discovery = closeAfterTest(new Discovery());
        List<String> known = new ArrayList<>();
        for (Server server : servers) {
            known.add(LoopbackPeers.endpoint("s" + known.size(), server.address(), "in_service"));
        }
        int port = freePort();
        startProcess(
                LoopbackPeers.config(
                        port,
                        discovery.server.address(),
                        "",
                        LoopbackPeers.list(1, true, known.toArray(String[]::new))),
                ProcessBuilder.Redirect.INHERIT);
        Discovery.push(discovery.awaitWatch(), LoopbackPeers.list(2, true, known.toArray(String[]::new)));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackPeers.TIMEOUT_S);
        while (System.nanoTime() < end) {
            try (Client client = new Client(port)) {
                if (client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                                .read()
                                .status()
                        == 200) {
                    return port;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the proxy did not become ready");
    }

    /** A free port below the ephemeral range, so that no outgoing connection can take it. */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // in use: try another one
            }
        }
    }

    private void startProcess(String config, ProcessBuilder.Redirect errors) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "quartzspan.clientproxy.Main",
                        "serve")
                .redirectError(errors);
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.start();
    }

    private Server startServer(Consumer<ReceivedRequest> script) throws Exception {
        return closeAfterTest(new Server(script));
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    @AfterEach
    void closeResources() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @Test
    void unsafeRequestIsRetriedOnlyWhenItIsKnownNotToHaveRun() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        Consumer<ReceivedRequest> script = s -> {
            boolean first = attempts.getAndIncrement() == 0;
            switch (s.message().header("x-request-id")) {
                case "not-run" -> {
                    if (first) {
                        s.notRun();
                    } else {
                        s.served("x");
                    }
                }
                case "error" -> s.answer(500, "", "");
                default -> s.reset();
            }
        };
        int port = start(startServer(script), startServer(script), startServer(script));
        try (Client client = new Client(port)) {
            assertEquals(200, client.unsafe("not-run", 20_000).read().status());
            assertEquals(2, attempts.getAndSet(0), "one retry after a rejection");
            assertEquals(502, client.unsafe("error", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "a request answered with an error may have run");
            assertEquals(502, client.unsafe("reset", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "a request that ended in a reset may have run");
            // A safe request is retried on another server, and may be rejected with 503 whether or not it has run.
            int status = client.safe("reset", 20_000).read().status();
            assertEquals(503, status);
            assertTrue(attempts.get() > 1, "attempts: " + attempts);
        }
    }

    @Test
    void afterSigtermRequestsAreServedUntilTheProcessExits() throws Exception {
        Server server = startServer(s -> {
            if (!s.message().header("x-request-id").equals("pending")) {
                s.served("x");
            }
        });
        int port = start(server);
        try (Client reused = new Client(port);
                Client pending = new Client(port);
                Client idle = new Client(port)) {
            // Enough requests for the load balancer to measure that a response takes less than the time until SIGKILL.
            for (int i = 0; i < 200; i++) {
                assertEquals(200, reused.unsafe("before" + i, 20_000).read().status());
                LoopbackPeers.next(server.received, "a request before the signal");
            }
            pending.unsafe("pending", 20_000);
            ReceivedRequest waiting = LoopbackPeers.next(server.received, "the pending request");
            long signalledNs = System.nanoTime();
            process.destroy();
            try {
                // Signal handling takes a moment; readiness changes when the drain begins and the exit is near.
                String ready = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
                Message last;
                do {
                    last = reused.write(ready).read();
                } while (last.status() == 200);
                assertEquals(200, reused.unsafe("after", 20_000).read().status());
                try (Client newClient = new Client(port)) {
                    assertEquals(
                            200, newClient.unsafe("fresh", 20_000).read().status(), "new connections must be served");
                }
                while (last.header("connection") == null) {
                    last = reused.write(ready).read();
                }
                assertEquals("close", last.header("connection"));
                assertTrue(reused.closed());
            } catch (IOException e) {
                // Acceptable only on a slow machine: the time in which requests are still served has passed.
                assertTrue(System.nanoTime() - signalledNs > TimeUnit.MILLISECONDS.toNanos(500), e.toString());
            }
            assertTrue(idle.closed(), "idle connections must be closed");
            assertTrue(process.isAlive(), "the process must run while a request is pending");
            waiting.served("late");
            assertEquals("late", pending.read().text());
            assertTrue(process.waitFor(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void sighupChangesTheDiscoveryAddressAndAnInvalidFileIsIgnored() throws Exception {
        Server server = startServer(s -> s.served("x"));
        int port = start(server);
        Discovery other = closeAfterTest(new Discovery());
        Path file = folder.resolve("config.json");
        String good = Files.readString(file);
        Files.writeString(file, "{");
        sendSighup();
        Files.writeString(file, good.replace(discovery.server.address(), other.server.address()));
        sendSighup();
        sendSighup();
        Discovery.push(
                other.awaitWatch(),
                LoopbackPeers.list(1, true, LoopbackPeers.endpoint("s0", server.address(), "in_service")));
        try (Client client = new Client(port)) {
            assertEquals(200, client.unsafe("after", 20_000).read().status());
        }
        assertEquals(0, other.server.received.size(), "two signals with the same file must open one watch");
    }

    private void sendSighup() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
        // Pending signals of the same kind are merged: only the last one is certain to be handled.
        Thread.sleep(50);
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        String good = LoopbackPeers.config(1, "127.0.0.1:1", "", "null");
        for (String config : List.of(
                "{",
                "7",
                "{\"listen\":\"here\"}",
                "{}",
                "{\"settings\":5}",
                good.replace("{\"cores\"", "5,\"x\":{\"cores\""),
                good.replace("8c1f30d27a5be964", "x"),
                good.replace("\"maxAttempts\":4", "\"maxAttempts\":0"))) {
            byte[] bytes = config.getBytes(StandardCharsets.UTF_8);
            assertThrows(Exception.class, () -> ClientProxyConfig.parse(bytes), config);
        }
        File errors = folder.resolve("errors").toFile();
        startProcess(
                good.replace("\"effect\":\"retryable\"", "\"effect\":\"odd\""), ProcessBuilder.Redirect.to(errors));
        assertTrue(process.waitFor(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertEquals("quartzspan: settings: safe: unknown effect odd\n", Files.readString(errors.toPath()));
    }

    @Test
    void portInUseIsReportedInOneLine() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            File errors = folder.resolve("errors").toFile();
            startProcess(
                    LoopbackPeers.config(occupied.getLocalPort(), "127.0.0.1:1", "", "null"),
                    ProcessBuilder.Redirect.to(errors));
            assertTrue(process.waitFor(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS));
            assertFalse(process.exitValue() == 0);
            List<String> lines = Files.readAllLines(errors.toPath());
            assertEquals(1, lines.size(), lines.toString());
            assertTrue(lines.get(0).startsWith("quartzspan: can't listen on "), lines.get(0));
        }
    }
}
