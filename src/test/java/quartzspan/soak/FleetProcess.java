package quartzspan.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that runs a core machine or a proxy; it can be restarted with the same settings after it ends. */
final class FleetProcess implements AutoCloseable {
    private static final List<String> JVM_OPTIONS =
            List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m", "-Xss512k", "-XX:-UsePerfData");
    private static final long KILL_TIMEOUT_S = 20;

    private final String name;
    private final String host;
    private final Class<?> mainClass;
    private final Path settings;
    private final Path logFile;
    private Process process;

    FleetProcess(String name, String host, Class<?> mainClass, Path settings) {
        this.name = name;
        this.host = host;
        this.mainClass = mainClass;
        this.settings = settings;
        this.logFile = settings.resolveSibling(name + ".log");
    }

    String name() {
        return name;
    }

    String host() {
        return host;
    }

    Path settings() {
        return settings;
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString());
        builder.command().addAll(JVM_OPTIONS);
        builder.command().addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass.getName()));
        builder.environment().put("QUARTZSPAN_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        process = builder.start();
    }

    synchronized void signal(String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .onExit()
                .join();
    }

    synchronized boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the process to exit; returns whether it did so within the timeout. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return currentProcess().waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private synchronized Process currentProcess() {
        return process;
    }

    void kill() throws InterruptedException {
        currentProcess().destroyForcibly().waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** The standard output and error of all runs of the process. */
    String log() throws IOException {
        return Files.readString(logFile);
    }

    @Override
    public void close() {
        currentProcess().destroyForcibly().onExit().join();
    }
}
