package quartzspan.simulation;

/** The bounds of the simulated deployment, in milliseconds, as a settings file states them. */
public final class Bounds {
    static final long CONTACT_MS = 3_000;
    static final long DRAIN_TIMEOUT_MS = 2_000;
    static final long CONFIG_APPLY_MS = 2_000;
    static final long REVOCATION_MS = 5_000;
    static final long VERSION_APPLY_MS = 10_000;
    static final long LEASE_MS = 3_000;
    static final long THAW_SLACK_MS = 300;
    static final long HEARTBEAT_MS = 1_200;

    private Bounds() {}

    /** The settings of a process; nothing listens at its ports. */
    public static String settings(String address, int toleratedFailures) {
        return "node_name: \"" + address + "\"\nip_address: \"" + address + "\"\nzone: \"z\"\nzones:\n  z: \"r\"\n"
                + "listen_addresses:\n  control_plane: \"" + address + ":1\"\ninternal_ports:\n  - 1\n  - 1\n"
                + "seed_nodes:\n  - \"" + address + ":1\"\nlimits:\n  memory_mb: 256\nheartbeat_ms: " + HEARTBEAT_MS
                + "\nfault_tolerance:\n  machines: " + toleratedFailures + "\nbounds:\n  strict_revocation: true\n"
                + "  drain_timeout_ms: " + DRAIN_TIMEOUT_MS + "\n  config_apply_ms: " + CONFIG_APPLY_MS
                + "\n  revocation_ms: " + REVOCATION_MS + "\n  version_apply_ms: " + VERSION_APPLY_MS + "\n  lease_ms: "
                + LEASE_MS + "\n";
    }
}
