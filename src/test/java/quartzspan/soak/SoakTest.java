package quartzspan.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The fleet keeps its guarantees under overlapping signals, restarts and configuration changes. */
class SoakTest {
    private static final String DEFAULT_SEEDS = "1-1";

    /** Keeps the settings, data directories and logs of the processes after the run. */
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "soak");

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", DEFAULT_SEEDS).split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void fleetViolatesNoRuleUnderOverlappingDisruptions(long seed) throws Exception {
        SoakPlan plan = SoakPlan.fromSystemProperties(seed);
        Path directory = OUTPUT_DIRECTORY.resolve("seed-" + seed + '-' + System.nanoTime());
        try (SoakRun run = new SoakRun(plan, Files.createDirectories(directory).toAbsolutePath())) {
            List<String> violations = run.run();
            System.out.println(run.summary());
            assertEquals("", String.join("\n", violations), "seed " + seed + ", logs in " + directory);
        }
    }
}
