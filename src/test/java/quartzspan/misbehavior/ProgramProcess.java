package quartzspan.misbehavior;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program in a process of its own, with the options of its deployment; tells which resources it uses. */
final class ProgramProcess implements AutoCloseable {
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";
    private static final int KIB_PER_MIB = 1024;

    private final Resources resources;
    private final Process process;
    private final Path log;

    /**
     * Starts a program.
     *
     * @param settingsVariable the environment variable that names its settings file
     */
    ProgramProcess(
            String mainClass, List<String> arguments, String settingsVariable, Path settings, Resources resources)
            throws IOException {
        this.resources = resources;
        this.log = settings.resolveSibling(settings.getFileName() + ".log");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + resources.heapMib() + "m",
                "-XX:MaxDirectMemorySize=16m",
                "-XX:MaxMetaspaceSize=64m",
                "-XX:ReservedCodeCacheSize=32m",
                "-Xss512k",
                "-XX:-UsePerfData",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(log.toFile());
        builder.environment().put(settingsVariable, settings.toString());
        process = builder.start();
    }

    /** Waits until the process ends, at most for this time. */
    void awaitEnd(long timeoutMs) throws InterruptedException {
        process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    Resources resources() {
        return resources;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The largest resident memory that the process has had, MiB. */
    long peakMemoryMib() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith(PEAK_MEMORY_FIELD)) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KIB_PER_MIB;
            }
        }
        throw new IOException("the kernel tells no peak of the memory");
    }

    /** The number of file descriptors that the process has open. */
    int openDescriptors() {
        File[] descriptors =
                Path.of("/proc", Long.toString(process.pid()), "fd").toFile().listFiles();
        return descriptors == null ? 0 : descriptors.length;
    }

    /** The last lines of what the process has written. */
    String endOfLog() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
