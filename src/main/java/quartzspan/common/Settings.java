package quartzspan.common;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/**
 * The settings of a process, from the file that {@code QUARTZSPAN_CONFIG} names. Unknown fields are ignored; a missing or invalid
 * one is rejected with an error that names it.
 *
 * @param nodeName name of the machine, used in logs and as the holder named in orders
 * @param ip IP address of the machine
 * @param zone zone of the machine
 * @param zones region of each zone
 * @param listenAddresses listen addresses by service ({@code frontend}, {@code readiness}, {@code control_plane})
 * @param internalPort first port of the range reserved for traffic between the system's processes
 * @param seeds {@code control_plane} addresses of up to three core machines
 * @param bootstrap whether this is the first start of the system as a whole
 * @param quorumMember whether this machine is a member of the quorum, so that its failure counts among the tolerated ones
 * @param memoryMb memory limit above which the process is killed
 * @param fileDescriptors number of file descriptors that the process may use
 * @param dataDirectory directory of the stored state; null on machines without a disk
 * @param heartbeatMs approximate interval between two heartbeats of a server
 * @param toleratedFailures number of core machines that may fail at the same time
 * @param bounds time limits, ratios and counts from section {@code bounds}
 */
public record Settings(
        String nodeName,
        String ip,
        String zone,
        Map<String, String> zones,
        Map<String, InetSocketAddress> listenAddresses,
        int internalPort,
        List<InetSocketAddress> seeds,
        boolean bootstrap,
        boolean quorumMember,
        int memoryMb,
        int fileDescriptors,
        Path dataDirectory,
        int heartbeatMs,
        int toleratedFailures,
        Bounds bounds) {

    /** Name of the environment variable that holds the path of the settings file. */
    public static final String ENVIRONMENT_VARIABLE = "QUARTZSPAN_CONFIG";

    /** Time limits, ratios and counts that the system keeps to; names and units are those of the settings file. */
    public record Bounds(
            int drainTimeoutMs,
            double gracePeriodS,
            int configApplyMs,
            boolean strictRevocation,
            int revocationMs,
            double retryBudgetRatio,
            double retryWindowS,
            int retryAllowance,
            int transitMs,
            int ackTimeoutMs,
            int leaseMs,
            int versionApplyMs) {
        /** How long a process may run on after SIGTERM, milliseconds. */
        public long gracePeriodMs() {
            return (long) (gracePeriodS * 1000);
        }
    }

    /** Reads the file that {@link #ENVIRONMENT_VARIABLE} names. */
    public static Settings load() {
        String path = System.getenv(ENVIRONMENT_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new FleetException(
                    FleetException.Code.SETTINGS_MISSING,
                    ENVIRONMENT_VARIABLE + " is not set",
                    "set it to the path of the settings file");
        }
        try {
            return parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new FleetException(
                    FleetException.Code.SETTINGS_MISSING,
                    "can't read " + path + ": " + e.getMessage(),
                    "set " + ENVIRONMENT_VARIABLE + " to the path of a readable file");
        }
    }

    /** Reads the text of a settings file. */
    public static Settings parse(String yaml) {
        Object root;
        try {
            root = new Yaml(new SafeConstructor(new LoaderOptions())).load(yaml);
        } catch (YAMLException e) {
            throw invalid("the file", "is not YAML: " + e.getMessage());
        }
        if (!(root instanceof Map<?, ?> rootFields)) {
            throw invalid("the file", "must be a mapping");
        }
        Fields fields = new Fields(rootFields, "");
        Fields ports = new Fields(rootFields, "");
        List<Integer> internalPorts = ports.list("internal_ports").stream()
                .map(p -> port(p, "internal_ports"))
                .toList();
        if (internalPorts.size() != 2 || internalPorts.get(0) > internalPorts.get(1)) {
            throw invalid("internal_ports", "must be a list of two ports, the first and the last of the range");
        }
        Map<String, InetSocketAddress> listenAddresses = new java.util.HashMap<>();
        fields.map("listen_addresses")
                .forEach((k, v) ->
                        listenAddresses.put(String.valueOf(k), address(String.valueOf(v), "listen_addresses." + k)));
        Map<String, String> zones = new java.util.HashMap<>();
        fields.map("zones").forEach((k, v) -> zones.put(String.valueOf(k), String.valueOf(v)));
        Fields limits = new Fields(fields.map("limits"), "limits.");
        Fields faultTolerance = new Fields(fields.map("fault_tolerance"), "fault_tolerance.");
        Fields bounds = new Fields(fields.map("bounds"), "bounds.");
        Object directory = rootFields.get("data_directory");
        return new Settings(
                fields.text("node_name"),
                fields.text("ip_address"),
                fields.text("zone"),
                Map.copyOf(zones),
                Map.copyOf(listenAddresses),
                internalPorts.get(0),
                fields.list("seed_nodes").stream()
                        .map(s -> address(String.valueOf(s), "seed_nodes"))
                        .toList(),
                fields.flag("bootstrap", false),
                fields.flag("quorum_member", false),
                limits.positiveInteger("memory_mb", 256),
                limits.positiveInteger("file_descriptors", 1024),
                directory == null ? null : Path.of(String.valueOf(directory)),
                fields.positiveInteger("heartbeat_ms", 1000),
                faultTolerance.nonNegativeInteger("machines", 0),
                new Bounds(
                        bounds.positiveInteger("drain_timeout_ms", 2000),
                        bounds.nonNegativeNumber("grace_period_s", 8),
                        bounds.positiveInteger("config_apply_ms", 2000),
                        bounds.flag("strict_revocation", false),
                        bounds.positiveInteger("revocation_ms", 5000),
                        bounds.nonNegativeNumber("retry_budget_ratio", 0.2),
                        bounds.nonNegativeNumber("retry_window_s", 10),
                        bounds.nonNegativeInteger("retry_allowance", 0),
                        bounds.positiveInteger("transit_ms", 120),
                        bounds.positiveInteger("ack_timeout_ms", 4000),
                        bounds.positiveInteger("lease_ms", 3000),
                        bounds.positiveInteger("version_apply_ms", 10_000)));
    }

    /** The address at which the other processes of the system connect to this one. */
    public InetSocketAddress internalAddress() {
        return new InetSocketAddress(ip, internalPort);
    }

    /**
     * The internal addresses of the seeds, as host:port. The settings list their control_plane addresses; the internal port is the
     * same on all machines.
     */
    public List<String> internalSeeds() {
        return seeds.stream()
                .map(seed -> seed.getHostString() + ':' + internalPort)
                .toList();
    }

    /** An address as host:port, without a name look-up. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ':' + address.getPort();
    }

    /**
     * The directory of the stored state.
     *
     * @throws FleetException if the settings have none
     */
    public Path requiredDataDirectory() {
        if (dataDirectory == null) {
            throw invalid("data_directory", "is missing, but a core machine stores its state there");
        }
        return dataDirectory;
    }

    /**
     * The address at which the process offers a service.
     *
     * @throws FleetException if the settings have no address for it
     */
    public InetSocketAddress listenAddress(String service) {
        InetSocketAddress address = listenAddresses.get(service);
        if (address == null) {
            throw invalid("listen_addresses." + service, "is missing");
        }
        return address;
    }

    private static InetSocketAddress address(String text, String name) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
            throw invalid(name, "must be an IPv4 address and a port, but is " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), port(text.substring(colon + 1), name));
    }

    private static int port(Object value, String name) {
        try {
            int port = Integer.parseInt(String.valueOf(value));
            if (port > 0 && port < 65_536) {
                return port;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number that is not a valid port.
        }
        throw invalid(name, "needs ports from 1 to 65535, but has " + value);
    }

    private static FleetException invalid(String name, String problem) {
        return new FleetException(
                FleetException.Code.SETTINGS_INVALID,
                name + " " + problem,
                "correct " + name + " in the settings file");
    }

    /** Typed access to the fields of a mapping; an error names the field with its prefix. */
    private record Fields(Map<?, ?> map, String prefix) {
        String text(String name) {
            Object value = map.get(name);
            if (value == null || String.valueOf(value).isBlank()) {
                throw invalid(prefix + name, "is missing");
            }
            return String.valueOf(value);
        }

        List<?> list(String name) {
            if (map.get(name) instanceof List<?> list) {
                return list;
            }
            throw invalid(prefix + name, "must be a list");
        }

        Map<?, ?> map(String name) {
            Object value = map.get(name);
            if (value == null) {
                return Map.of();
            }
            if (value instanceof Map<?, ?> mapping) {
                return mapping;
            }
            throw invalid(prefix + name, "must be a mapping");
        }

        boolean flag(String name, boolean defaultValue) {
            Object value = map.get(name);
            if (value == null) {
                return defaultValue;
            }
            if (value instanceof Boolean flag) {
                return flag;
            }
            throw invalid(prefix + name, "must be true or false, but is " + value);
        }

        double nonNegativeNumber(String name, double defaultValue) {
            Object value = map.get(name);
            if (value == null) {
                return defaultValue;
            }
            if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() < 1e9) {
                return number.doubleValue();
            }
            throw invalid(prefix + name, "must be a number from 0 to below 1e9, but is " + value);
        }

        int nonNegativeInteger(String name, int defaultValue) {
            return (int) nonNegativeNumber(name, defaultValue);
        }

        int positiveInteger(String name, int defaultValue) {
            int number = nonNegativeInteger(name, defaultValue);
            if (number < 1) {
                throw invalid(prefix + name, "must be at least 1, but is " + number);
            }
            return number;
        }
    }

    /** Ends a program whose start failed: logs one line and exits with the status of the {@link FleetException} that caused it, or 1. */
    public static void exitAfterStartFailure(Exception failure, Consumer<String> log) {
        FleetException refusal = FleetException.findIn(failure);
        log.accept(refusal != null ? refusal.toString() : "start failed: " + failure);
        System.exit(refusal != null ? refusal.code().exitStatus() : 1);
    }
}
