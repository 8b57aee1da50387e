package quartzspan.clientproxy;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import quartzspan.simulator.Adapter;
import sun.misc.Signal;

/**
 * Command line entry point: {@code java -jar quartzspan.jar serve}, {@code simulator} for benchmarks, or
 * {@code warmup} for the build.
 */
public final class Main {
    private Main() {}

    /**
     * Starts the client proxy configured by {@code NODE_CONFIG}, or the simulator adapter on standard input and
     * output.
     *
     * @param args exactly one argument, {@code serve}, {@code simulator} or {@code warmup}
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "simulator" -> Adapter.run(System.in, System.out);
                case "serve" -> serve();
                case "warmup" -> warmUp();
                default -> {
                    System.err.println("usage: java -jar quartzspan.jar serve|simulator|warmup");
                    System.exit(2);
                }
            }
        } catch (Exception e) {
            System.err.println("quartzspan: " + Adapter.errorMessage(e));
            System.exit(1);
        }
    }

    /**
     * Starts the client proxy and returns once it listens. From just before it listens, SIGTERM drains it before
     * the process ends. SIGHUP reloads the configuration; a SIGHUP during startup takes effect when that completes.
     */
    private static void serve() throws Exception {
        logToStandardError();
        String file = System.getenv("NODE_CONFIG");
        CompletableFuture<ClientProxy> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(proxy -> reload(proxy, file)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            ClientProxy proxy = started.getNow(null);
            if (proxy != null) {
                proxy.drain().awaitUninterruptibly();
            }
        }));
        ClientProxy.start(ClientProxyConfig.load(file), started::complete);
    }

    /**
     * Starts a client proxy, rejects one request for lack of endpoints and shuts down. The build has the JVM record
     * the classes loaded meanwhile, so that the deployed proxy has them available at startup.
     */
    private static void warmUp() throws Exception {
        logToStandardError();
        try (InputStream example = Main.class.getResourceAsStream("/warmup.json")) {
            ClientProxy proxy = ClientProxy.start(ClientProxyConfig.parse(example.readAllBytes()), starting -> {});
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
                client.getOutputStream()
                        .write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                                        + "X-Class: sample\r\nX-Deadline-Ms: 100\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                client.getInputStream().readAllBytes();
            }
            proxy.drain().awaitUninterruptibly();
        }
    }

    /** Synchronized because each signal has its own thread: the latest version of the file must be applied last. */
    private static synchronized void reload(ClientProxy proxy, String file) {
        try {
            proxy.reload(ClientProxyConfig.load(file));
        } catch (IOException | RuntimeException e) {
            System.err.println("quartzspan: configuration not reloaded, the previous one stays in effect: "
                    + Adapter.errorMessage(e));
        }
    }

    /**
     * Sends library logs to standard error as single lines. The default formatter opens a time zone file, so a
     * warning that the process is out of descriptors would end the thread that logs it.
     */
    private static void logToStandardError() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new Handler() {
            @Override
            public void publish(LogRecord logRecord) {
                System.err.println("quartzspan: " + logRecord.getMessage()
                        + (logRecord.getThrown() == null ? "" : ": " + logRecord.getThrown()));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }
}
