package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run: one line an event, with milliseconds from the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) {
        try {
            this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... arguments) {
        out.println(now() + " " + String.format(format, arguments));
        out.flush();
    }

    /** A line that also goes to the terminal. */
    void say(String format, Object... arguments) {
        add(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
