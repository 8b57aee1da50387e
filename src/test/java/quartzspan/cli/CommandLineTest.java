package quartzspan.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and the exit status of the command line client. */
class CommandLineTest {
    @TempDir
    Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int run(String... args) {
        return new Main(new PrintStream(out, true, StandardCharsets.UTF_8)).run(args);
    }

    @Test
    void unknownVerbPrintsUsage() {
        assertEquals(2, run("dance"));
        Approvals.verify(out.toString(StandardCharsets.UTF_8), new Options());
    }

    @Test
    void checkValidatesOfflineAndGetFailsWithoutACore() throws Exception {
        Path good = Files.writeString(folder.resolve("good.json"), "{\"version\":3,\"routes\":[],\"services\":[]}");
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"version\":3,\"routes\":[{\"name\":\"a\"}]}");
        assertEquals(0, run("check", good.toString()));
        assertEquals(6, run("check", bad.toString()));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("service is missing"));
        assertEquals(6, run("check"));
        assertEquals(8, run("get", "--core", "127.0.0.1:1"));
    }
}
