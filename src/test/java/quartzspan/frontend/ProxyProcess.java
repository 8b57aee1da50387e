package quartzspan.frontend;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Client;

/** A frontend proxy in a process of its own, which can receive signals, at a separate loopback address. */
final class ProxyProcess implements AutoCloseable {
    static final String HOST = "127.0.0.2";

    private final int frontendPort;
    private final int readinessPort;
    private final Process process;

    ProxyProcess(Path settings, int frontendPort, int readinessPort) throws IOException {
        this.frontendPort = frontendPort;
        this.readinessPort = readinessPort;
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName());
        builder.environment().put("QUARTZSPAN_CONFIG", settings.toString());
        this.process = builder.inheritIO().start();
    }

    Client client() throws IOException {
        return new Client(InetAddress.getByName(HOST), frontendPort);
    }

    /** Polls the readiness endpoint until it returns a status; fails after a timeout. */
    void awaitReadiness(int status) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackPeers.TIMEOUT_S);
        while (readiness() != status) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("the readiness endpoint never returned " + status);
            }
            Thread.onSpinWait();
        }
    }

    private int readiness() {
        try (Client client = new Client(InetAddress.getByName(HOST), readinessPort)) {
            return client.write("GET /quartzspan/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
                    .read()
                    .status();
        } catch (IOException notListeningYet) {
            return 0;
        }
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Whether the process exits by itself before a timeout. */
    boolean exitsInTime() throws InterruptedException {
        return process.waitFor(LoopbackPeers.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
