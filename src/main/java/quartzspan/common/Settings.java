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
 * The settings of a process, from the file that {@code QUARTZSPAN_CONFIG} names. Unknown fields are ignored; a missing or absurd
 * one is refused by its name.
 *
 * @param nodeName name of the machine, for logs and as holder of orders
 * @param ip its own address
 * @param zone its zone
 * @param zones regions by zone
 * @param listen addresses by what is served there ({@code frontend}, {@code readiness}, {@code control_plane})
 * @param internalPort first port that is free for the system's own traffic
 * @param seeds {@code control_plane} addresses of up to three core machines
 * @param bootstrap whether this is the first start of the complete system
 * @param voter whether this machine's loss is counted
 * @param memoryMb memory above which the process is killed
 * @param descriptors descriptors that the process may use
 * @param dataDirectory where state is kept; null on machines without a disk
 * @param heartbeatMs about how often a server sends a heartbeat
 * @param losses machines of the core that may be lost at once
 * @param bounds the figures of the rules
 */
public record Settings(
        String nodeName,
        String ip,
        String zone,
        Map<String, String> zones,
        Map<String, InetSocketAddress> listen,
        int internalPort,
        List<InetSocketAddress> seeds,
        boolean bootstrap,
        boolean voter,
        int memoryMb,
        int descriptors,
        Path dataDirectory,
        int heartbeatMs,
        int losses,
        Bounds bounds) {

    /** Name of the environment variable that names the file. */
    public static final String VARIABLE = "QUARTZSPAN_CONFIG";

    /** The figures of the rules that this system acts on; names and units are those of the settings file. */
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
            int versionApplyMs) {}

    /** Reads the file that the environment names. */
    public static Settings load() {
        String path = System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new FleetException(
                    FleetException.Code.SETTINGS_MISSING, VARIABLE + " is not set", "name the settings file in it");
        }
        try {
            return parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new FleetException(
                    FleetException.Code.SETTINGS_MISSING,
                    "can't read " + path + ": " + e.getMessage(),
                    "name a readable file in " + VARIABLE);
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
        if (!(root instanceof Map<?, ?> top)) {
            throw invalid("the file", "must be a mapping");
        }
        Fields f = new Fields(top, "");
        Fields ports = new Fields(top, "");
        List<Integer> internal = ports.list("internal_ports").stream()
                .map(p -> port(p, "internal_ports"))
                .toList();
        if (internal.size() != 2 || internal.get(0) > internal.get(1)) {
            throw invalid("internal_ports", "must be the first and the last free port");
        }
        Map<String, InetSocketAddress> listen = new java.util.HashMap<>();
        f.map("listen_addresses")
                .forEach((k, v) -> listen.put(String.valueOf(k), address(String.valueOf(v), "listen_addresses." + k)));
        Map<String, String> zones = new java.util.HashMap<>();
        f.map("zones").forEach((k, v) -> zones.put(String.valueOf(k), String.valueOf(v)));
        Fields limits = new Fields(f.map("limits"), "limits.");
        Fields losses = new Fields(f.map("fault_tolerance"), "fault_tolerance.");
        Fields b = new Fields(f.map("bounds"), "bounds.");
        Object directory = top.get("data_directory");
        return new Settings(
                f.text("node_name"),
                f.text("ip_address"),
                f.text("zone"),
                Map.copyOf(zones),
                Map.copyOf(listen),
                internal.get(0),
                f.list("seed_nodes").stream()
                        .map(s -> address(String.valueOf(s), "seed_nodes"))
                        .toList(),
                f.flag("bootstrap", false),
                f.flag("quorum_member", false),
                limits.count("memory_mb", 256),
                limits.count("file_descriptors", 1024),
                directory == null ? null : Path.of(String.valueOf(directory)),
                f.count("heartbeat_ms", 1000),
                losses.countFrom0("machines", 0),
                new Bounds(
                        b.count("drain_timeout_ms", 2000),
                        b.number("grace_period_s", 8),
                        b.count("config_apply_ms", 2000),
                        b.flag("strict_revocation", false),
                        b.count("revocation_ms", 5000),
                        b.number("retry_budget_ratio", 0.2),
                        b.number("retry_window_s", 10),
                        b.countFrom0("retry_allowance", 0),
                        b.count("transit_ms", 120),
                        b.count("ack_timeout_ms", 4000),
                        b.count("lease_ms", 3000),
                        b.count("version_apply_ms", 10_000)));
    }

    /** The address at which the system's other processes reach this one. */
    public InetSocketAddress internal() {
        return new InetSocketAddress(ip, internalPort);
    }

    /** Where state is kept; refused by name on a machine without a disk. */
    public Path disk() {
        if (dataDirectory == null) {
            throw invalid("data_directory", "is missing, but a core machine keeps state");
        }
        return dataDirectory;
    }

    /** Where the process serves something; refused by name if the settings don't say. */
    public InetSocketAddress listens(String what) {
        InetSocketAddress at = listen.get(what);
        if (at == null) {
            throw invalid("listen_addresses." + what, "is missing");
        }
        return at;
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
            // Refused below, like a number that is no port.
        }
        throw invalid(name, "must be ports from 1 to 65535, but has " + value);
    }

    private static FleetException invalid(String name, String what) {
        return new FleetException(
                FleetException.Code.SETTINGS_INVALID, name + " " + what, "correct " + name + " in the settings file");
    }

    /** Fields of one mapping, refused by name where they are not what they must be. */
    private record Fields(Map<?, ?> map, String prefix) {
        String text(String name) {
            Object v = map.get(name);
            if (v == null || String.valueOf(v).isBlank()) {
                throw invalid(prefix + name, "is missing");
            }
            return String.valueOf(v);
        }

        List<?> list(String name) {
            if (map.get(name) instanceof List<?> list) {
                return list;
            }
            throw invalid(prefix + name, "must be a list");
        }

        Map<?, ?> map(String name) {
            Object v = map.get(name);
            if (v == null) {
                return Map.of();
            }
            if (v instanceof Map<?, ?> m) {
                return m;
            }
            throw invalid(prefix + name, "must be a mapping");
        }

        boolean flag(String name, boolean otherwise) {
            Object v = map.get(name);
            if (v == null) {
                return otherwise;
            }
            if (v instanceof Boolean b) {
                return b;
            }
            throw invalid(prefix + name, "must be true or false, but is " + v);
        }

        double number(String name, double otherwise) {
            Object v = map.get(name);
            if (v == null) {
                return otherwise;
            }
            if (v instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() < 1e9) {
                return n.doubleValue();
            }
            throw invalid(prefix + name, "must be a number from 0 up, but is " + v);
        }

        int countFrom0(String name, int otherwise) {
            return (int) number(name, otherwise);
        }

        int count(String name, int otherwise) {
            int n = countFrom0(name, otherwise);
            if (n < 1) {
                throw invalid(prefix + name, "must be at least 1, but is " + n);
            }
            return n;
        }
    }

    /** Ends a program whose start failed, with one line and the status of the refusal behind it. */
    public static void refuse(Exception why, Consumer<String> log) {
        FleetException refusal = FleetException.in(why);
        log.accept(refusal != null ? refusal.toString() : "start failed: " + why);
        System.exit(refusal != null ? refusal.code().exit() : 1);
    }
}
