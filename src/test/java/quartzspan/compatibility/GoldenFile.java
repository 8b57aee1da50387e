package quartzspan.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Compares output with files under {@code src/test/resources/golden}, which an earlier version of the software has written. A
 * later version must still read them and write the same bytes. The actual output of a test is kept under
 * {@code target/golden}.
 */
public final class GoldenFile {
    private static final Path EXPECTED = Path.of("src", "test", "resources", "golden");
    private static final Path ACTUAL = Path.of("target", "golden");

    private GoldenFile() {}

    /** The path of a golden file or folder. */
    public static Path path(String name) {
        return EXPECTED.resolve(name);
    }

    /** The text of a golden file. */
    public static String text(String name) {
        try {
            return Files.readString(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Fails unless a text equals the golden file; writes it to {@code target/golden} first. */
    public static void assertText(String name, String actual) {
        try {
            Path actualFile = ACTUAL.resolve(name);
            Files.createDirectories(actualFile.getParent());
            Files.writeString(actualFile, actual);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        assertEquals(Files.exists(path(name)) ? text(name) : "no golden file", actual, name);
    }

    /** Fails unless a folder contains exactly the golden files, with the same bytes. */
    public static void assertFolder(String name, Path actual) {
        copy(actual, ACTUAL.resolve(name));
        assertEquals(listing(path(name)), listing(actual), name);
    }

    private static String listing(Path folder) {
        StringBuilder all = new StringBuilder();
        for (Path file : files(folder)) {
            try {
                all.append(folder.relativize(file)).append(' ');
                for (byte value : Files.readAllBytes(file)) {
                    all.append(String.format("%02x", value));
                }
                all.append('\n');
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return all.toString();
    }

    /** The files below a folder, sorted by path; empty if the folder does not exist. */
    public static List<Path> files(Path folder) {
        if (!Files.exists(folder)) {
            return List.of();
        }
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile)
                    .sorted(Comparator.comparing(Path::toString))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Copies all files below a folder. */
    public static void copy(Path from, Path to) {
        for (Path file : files(from)) {
            Path target = to.resolve(from.relativize(file).toString());
            try {
                Files.createDirectories(target.getParent());
                Files.write(target, Files.readAllBytes(file));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
