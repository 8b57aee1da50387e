package quartzspan.guards;

import java.util.ArrayList;
import java.util.List;

/**
 * A check in the main sources, and how to take it out.
 *
 * @param file its source file below {@code src/main/java/quartzspan}
 * @param original text that stands in the file once
 * @param replacement the same text without the check
 * @param tests simple names of the test classes that are expected to fail without it
 */
record Guard(String name, String file, String original, String replacement, List<String> tests) {
    private static final String TEXT_LINE = "|";

    /**
     * Parses a list of guards: blocks of {@code guard:}, {@code file:}, {@code remove:}, {@code with:} and {@code tests:}, where
     * the texts follow in lines that begin with a bar.
     */
    static List<Guard> parse(List<String> lines) {
        List<Guard> guards = new ArrayList<>();
        String name = "";
        String file = "";
        List<String> original = new ArrayList<>();
        List<String> replacement = new ArrayList<>();
        List<String> text = original;
        for (String line : lines) {
            if (line.startsWith("guard: ")) {
                name = line.substring("guard: ".length());
                original = new ArrayList<>();
                replacement = new ArrayList<>();
            } else if (line.startsWith("file: ")) {
                file = line.substring("file: ".length());
            } else if (line.equals("remove:")) {
                text = original;
            } else if (line.equals("with:")) {
                text = replacement;
            } else if (line.startsWith(TEXT_LINE)) {
                text.add(line.substring(1));
            } else if (line.startsWith("tests: ")) {
                List<String> tests = List.of(line.substring("tests: ".length()).split(", "));
                guards.add(new Guard(name, file, String.join("\n", original), String.join("\n", replacement), tests));
            } else if (!line.isBlank() && !line.startsWith("#")) {
                throw new IllegalArgumentException("not a line of a guard: " + line);
            }
        }
        return guards;
    }

    /** The source without the guard. */
    String removeFrom(String source) {
        int first = source.indexOf(original);
        if (first < 0 || source.indexOf(original, first + 1) >= 0) {
            throw new IllegalStateException("the text of guard '" + name + "' does not stand once in " + file);
        }
        return source.substring(0, first) + replacement + source.substring(first + original.length());
    }
}
