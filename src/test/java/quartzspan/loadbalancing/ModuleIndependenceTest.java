package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Size limits of the load balancer's source, and its independence of any deployment. */
class ModuleIndependenceTest {
    private static final Path SOURCE = Path.of("src/main/java/quartzspan/loadbalancing/RingHashLoadBalancer.java");

    @Test
    void loadBalancerStaysWithinItsSizeLimits() throws Exception {
        List<String> lines = Files.readAllLines(SOURCE);
        long filledLines = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(filledLines <= 900, filledLines + " lines with text");
        for (String line : lines) {
            assertTrue(line.length() <= 110, line);
        }
    }

    @Test
    void loadBalancerContainsNoDeploymentNames() throws Exception {
        for (Path file : List.of(SOURCE, Path.of("src/main/java/quartzspan/loadbalancing/LoadBalancer.java"))) {
            String text = Files.readString(file).toLowerCase(Locale.ROOT);
            for (String name : List.of(
                    "lisboa",
                    "factoring",
                    "vacature",
                    "confirm",
                    "payout",
                    "invoice",
                    "vacancy",
                    "publish",
                    "mechelen",
                    "oeiras",
                    "khan-uul",
                    "rotas",
                    "getname",
                    ".name()")) {
                assertFalse(text.contains(name), file + " contains the deployment name " + name);
            }
        }
    }
}
