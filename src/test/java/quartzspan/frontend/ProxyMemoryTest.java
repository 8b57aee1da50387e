package quartzspan.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;

/** How a proxy's heap is divided between its connections and the bodies of requests. */
class ProxyMemoryTest {
    private static final long MIB = 1024 * 1024;
    /** Of 4,100 file descriptors, the most of a deployment's frontend machines. */
    private static final int MAX_CONNECTIONS = 1_900;

    private static final Pattern FRONTEND_HEAP = Pattern.compile("-Xmx(\\d+)m [^\"]*quartzspan\\.frontend\\.Main");

    @Test
    void partsAddUpToTheHeap() {
        ProxyMemory memory = ProxyMemory.divide(200 * MIB, 1_000);
        assertEquals(200 * MIB, ProxyMemory.FIXED_BYTES + 1_000 * ProxyMemory.CONNECTION_BYTES + memory.bodyBytes());
    }

    @Test
    void heapThatIsTooSmallForAllConnectionsAcceptsFewer() {
        ProxyMemory memory = ProxyMemory.divide(64 * MIB, MAX_CONNECTIONS);
        assertTrue(memory.maxConnections() >= ProxyMemory.MIN_CONNECTIONS && memory.maxConnections() < MAX_CONNECTIONS);
        assertTrue(memory.bodyBytes() >= ProxyMemory.MIN_BODY_BYTES);
        assertEquals(
                64 * MIB,
                ProxyMemory.FIXED_BYTES + memory.maxConnections() * ProxyMemory.CONNECTION_BYTES + memory.bodyBytes());
    }

    @Test
    void heapThatIsTooSmallForAProxyIsRefusedWithARemedy() {
        FleetException refusal =
                assertThrows(FleetException.class, () -> ProxyMemory.divide(40 * MIB, MAX_CONNECTIONS));
        assertEquals(FleetException.Code.SETTINGS_INVALID, refusal.code());
        assertTrue(refusal.toString().contains("-Xmx"), refusal::toString);
    }

    /** The serial collector counts one survivor space less than the heap's size, at most a tenth of the young generation. */
    @Test
    void heapOfTheDeployFileFitsTheLargestNumberOfConnections() throws IOException {
        Matcher heap = FRONTEND_HEAP.matcher(Files.readString(Path.of("deploy/system.toml")));
        assertTrue(heap.find());
        long heapBytes = Long.parseLong(heap.group(1)) * MIB;
        ProxyMemory memory = ProxyMemory.divide(heapBytes - heapBytes / 3 / 8, MAX_CONNECTIONS);
        assertEquals(MAX_CONNECTIONS, memory.maxConnections());
    }
}
