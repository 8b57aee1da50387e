package quartzspan.guards;

import static org.junit.platform.engine.discovery.ClassNameFilter.includeClassNamePatterns;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectPackage;

import java.util.Arrays;
import org.junit.platform.engine.TestExecutionResult;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.Launcher;
import org.junit.platform.launcher.TestExecutionListener;
import org.junit.platform.launcher.TestIdentifier;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;

/** Runs test classes by their simple names and prints each failed test. */
final class TestRun {
    private TestRun() {}

    /** Arguments: the simple names. */
    public static void main(String[] arguments) {
        String[] patterns = Arrays.stream(arguments).map(name -> ".*\\." + name).toArray(String[]::new);
        Launcher launcher = LauncherFactory.create();
        launcher.execute(
                LauncherDiscoveryRequestBuilder.request()
                        .selectors(selectPackage("quartzspan"))
                        .filters(includeClassNamePatterns(patterns))
                        .build(),
                new FailurePrinter());
        System.exit(0);
    }

    private static final class FailurePrinter implements TestExecutionListener {
        @Override
        public void executionFinished(TestIdentifier test, TestExecutionResult result) {
            if (result.getStatus() == TestExecutionResult.Status.FAILED) {
                String name = test.getSource()
                        .filter(MethodSource.class::isInstance)
                        .map(MethodSource.class::cast)
                        .map(source -> source.getJavaClass().getSimpleName() + "." + source.getMethodName())
                        .orElse(test.getDisplayName());
                System.out.println("failed: " + name);
            }
        }
    }
}
