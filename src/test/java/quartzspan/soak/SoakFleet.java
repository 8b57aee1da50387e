package quartzspan.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The core machines and proxies of a soak run. Each process has its own loopback address; the ports are the same on
 * all.
 */
final class SoakFleet implements AutoCloseable {
    private static final String ZONE = "z";

    private final Path folder;
    private final int controlPort = freePort();
    private final int internalPort = freePort();
    private final int frontendPort = freePort();
    private final int readinessPort = freePort();
    private final List<FleetProcess> cores = new ArrayList<>();
    private final List<FleetProcess> proxies = new ArrayList<>();

    SoakFleet(Path folder, SoakPlan plan) throws IOException {
        this.folder = folder;
        List<String> coreHosts = hosts("127.1.0.", plan.cores());
        List<String> proxyHosts = hosts("127.2.0.", plan.proxies());
        for (String host : coreHosts) {
            Path dataDirectory = Files.createDirectory(folder.resolve("disk-" + host));
            String listen = "control_plane: \"" + host + ':' + controlPort + '"';
            Path settings = writeSettings(host, listen, coreHosts, true, '"' + dataDirectory.toString() + '"');
            cores.add(new FleetProcess("core-" + host, host, quartzspan.controlplane.Main.class, settings));
        }
        for (String host : proxyHosts) {
            String listen = "frontend: \"" + host + ':' + frontendPort + "\"\n  readiness: \"" + host + ':'
                    + readinessPort + '"';
            Path settings = writeSettings(host, listen, coreHosts, false, "null");
            proxies.add(new FleetProcess("proxy-" + host, host, quartzspan.frontend.Main.class, settings));
        }
    }

    private static List<String> hosts(String prefix, int count) {
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            hosts.add(prefix + i);
        }
        return hosts;
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException("no free port on the loopback address", e);
        }
    }

    private Path writeSettings(
            String host, String listen, List<String> seedNodes, boolean quorumMember, String dataDirectory)
            throws IOException {
        StringBuilder text = new StringBuilder("node_name: \"" + host + "\"\nip_address: \"" + host + "\"\nzone: \""
                + ZONE
                + "\"\nzones:\n  " + ZONE + ": \"r\"\nlisten_addresses:\n  " + listen + "\ninternal_ports:\n  - "
                + internalPort + "\n  - " + internalPort + "\nseed_nodes:\n");
        seedNodes.forEach(seed -> text.append("  - \"")
                .append(seed)
                .append(':')
                .append(controlPort)
                .append("\"\n"));
        text.append("bootstrap: true\nquorum_member: ").append(quorumMember);
        text.append("\nlimits:\n  memory_mb: 256\n  file_descriptors: 2048\ndata_directory: ")
                .append(dataDirectory);
        text.append("\nheartbeat_ms: ").append(SoakPlan.HEARTBEAT_MS);
        text.append("\nfault_tolerance:\n  machines: 1\nbounds:\n  strict_revocation: true\n  grace_period_s: ");
        text.append(SoakPlan.GRACE_PERIOD_MS / 1_000)
                .append("\n  revocation_ms: ")
                .append(SoakPlan.REVOCATION_MS);
        text.append("\n  version_apply_ms: ").append(SoakPlan.VERSION_APPLY_MS);
        text.append("\n  retry_budget_ratio: 0.2\n  retry_allowance: 52\n  lease_ms: 1000\n");
        Path settings = folder.resolve(host + ".yaml");
        Files.writeString(settings, text);
        return settings;
    }

    void start() throws IOException {
        for (FleetProcess core : cores) {
            core.start();
        }
        for (FleetProcess proxy : proxies) {
            proxy.start();
        }
    }

    List<FleetProcess> cores() {
        return cores;
    }

    List<FleetProcess> proxies() {
        return proxies;
    }

    List<String> coreHosts() {
        return cores.stream().map(FleetProcess::host).toList();
    }

    int controlPort() {
        return controlPort;
    }

    int frontendPort() {
        return frontendPort;
    }

    int readinessPort() {
        return readinessPort;
    }

    @Override
    public void close() {
        cores.forEach(FleetProcess::close);
        proxies.forEach(FleetProcess::close);
    }
}
