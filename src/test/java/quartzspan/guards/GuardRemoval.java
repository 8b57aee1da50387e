package quartzspan.guards;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Takes out one guard after the other, each in a copy of its class, and reports which unit test fails without it and after how
 * many scenarios the simulated worlds break a rule. Prints a table for the documentation.
 *
 * <p>Arguments: the number of scenarios of each world at most, the number of guards that are tried at once, and optionally a
 * text that the names of the guards must contain.
 */
final class GuardRemoval {
    private static final Path GUARDS = Path.of("src/test/resources/guards/guards.txt");
    private static final Path SOURCES = Path.of("src/main/java/quartzspan");
    private static final Path OUTPUT = Path.of("target/guards");
    private static final long TIMEOUT_MIN = 10;
    private static final Pattern FAILED_TEST = Pattern.compile("failed: (\\S+)");
    private static final Pattern FIRST_FAILURE = Pattern.compile("first violation: scenario (\\d+), (\\S+)");

    private final int scenarios;

    private GuardRemoval(int scenarios) {
        this.scenarios = scenarios;
    }

    /** Tries all guards and prints the table; ends with status 1 if the removal of one is not found by any unit test. */
    public static void main(String[] arguments) throws Exception {
        GuardRemoval removal = new GuardRemoval(Integer.parseInt(arguments[0]));
        String nameFilter = arguments.length > 2 ? arguments[2].strip() : "";
        List<Guard> guards = Guard.parse(Files.readAllLines(GUARDS)).stream()
                .filter(guard -> guard.name().contains(nameFilter))
                .toList();
        ExecutorService executor = Executors.newFixedThreadPool(Integer.parseInt(arguments[1]));
        List<Future<String>> rows = new ArrayList<>();
        for (Guard guard : guards) {
            rows.add(executor.submit(() -> removal.row(guard)));
        }
        System.out.println("| guard | unit test that fails | fleet world | replica world |");
        System.out.println("|---|---|---|---|");
        boolean allFound = true;
        for (Future<String> row : rows) {
            System.out.println(row.get());
            allFound &= !row.get().contains("| **none** |");
        }
        executor.shutdown();
        System.exit(allFound ? 0 : 1);
    }

    private String row(Guard guard) throws IOException, InterruptedException {
        Path classes = compileWithout(guard);
        List<String> testArguments = new ArrayList<>(guard.tests());
        String failedTest = find(FAILED_TEST, run(classes, "quartzspan.guards.TestRun", testArguments));
        String fleet = firstFailure(classes, "quartzspan.simulation.FleetHistories");
        String replica = guard.file().startsWith("replication/")
                ? firstFailure(classes, "quartzspan.replication.simulation.SimulationRunner")
                : "";
        return "| " + guard.name() + " | " + (failedTest == null ? "**none**" : failedTest) + " | " + fleet + " | "
                + replica + " |";
    }

    private String firstFailure(Path classes, String mainClass) throws IOException, InterruptedException {
        String output = run(classes, mainClass, List.of("untilViolation", "1", String.valueOf(scenarios)));
        Matcher matcher = FIRST_FAILURE.matcher(output);
        return matcher.find() ? matcher.group(1) + " (" + matcher.group(2) + ")" : "not in " + scenarios;
    }

    private static String find(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : null;
    }

    /** Compiles the class of a guard without it; returns the folder of its class files. */
    private static Path compileWithout(Guard guard) throws IOException {
        Path folder = OUTPUT.resolve(guard.name().replaceAll("[^A-Za-z0-9]+", "-"));
        Path source = folder.resolve("src").resolve(Path.of(guard.file()).getFileName());
        Path classes = folder.resolve("classes");
        Files.createDirectories(source.getParent());
        Files.createDirectories(classes);
        Files.writeString(source, guard.removeFrom(Files.readString(SOURCES.resolve(guard.file()))));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int status = compiler.run(
                null,
                null,
                null,
                "-nowarn",
                "-proc:none",
                "-cp",
                System.getProperty("java.class.path"),
                "-d",
                classes.toString(),
                source.toString());
        if (status != 0) {
            throw new IllegalStateException("guard '" + guard.name() + "': the class does not compile without it");
        }
        return classes;
    }

    private static String run(Path classes, String mainClass, List<String> arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx1g",
                "-cp",
                classes + File.pathSeparator + System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        Path output = Files.createTempFile("guard", ".out");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        boolean ended = process.waitFor(TIMEOUT_MIN, TimeUnit.MINUTES);
        if (!ended) {
            process.destroyForcibly();
        }
        String text = Files.readString(output);
        Files.delete(output);
        return ended ? text : text + "\nfailed: (timed out)";
    }
}
