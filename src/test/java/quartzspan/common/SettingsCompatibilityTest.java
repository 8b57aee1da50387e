package quartzspan.common;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quartzspan.compatibility.GoldenFile;

/** Parses the documented settings file of each role and compares every field with the golden file. */
class SettingsCompatibilityTest {
    @Test
    void frontendSettingsAreReadAsByEarlierVersions() {
        GoldenFile.assertText("settings/frontend.txt", describe("settings/frontend.yaml"));
    }

    @Test
    void coreSettingsAreReadAsByEarlierVersions() {
        GoldenFile.assertText("settings/core.txt", describe("settings/core.yaml"));
    }

    private static String describe(String file) {
        Settings settings = Settings.parse(GoldenFile.text(file));
        Settings.Bounds bounds = settings.bounds();
        return String.join(
                "\n",
                "node_name " + settings.nodeName(),
                "ip_address " + settings.ip(),
                "zone " + settings.zone(),
                "zones " + new TreeMap<>(settings.zones()),
                "listen_addresses " + new TreeMap<>(settings.listenAddresses()),
                "internal_ports " + settings.internalPort() + " " + settings.internalAddress(),
                "seed_nodes " + settings.seeds(),
                "bootstrap " + settings.bootstrap(),
                "quorum_member " + settings.quorumMember(),
                "memory_mb " + settings.memoryMb(),
                "file_descriptors " + settings.fileDescriptors(),
                "data_directory " + settings.dataDirectory(),
                "heartbeat_ms " + settings.heartbeatMs(),
                "fault_tolerance.machines " + settings.toleratedFailures(),
                "drain_timeout_ms " + bounds.drainTimeoutMs(),
                "grace_period_s " + bounds.gracePeriodS(),
                "config_apply_ms " + bounds.configApplyMs(),
                "strict_revocation " + bounds.strictRevocation(),
                "revocation_ms " + bounds.revocationMs(),
                "retry_budget_ratio " + bounds.retryBudgetRatio(),
                "retry_window_s " + bounds.retryWindowS(),
                "retry_allowance " + bounds.retryAllowance(),
                "transit_ms " + bounds.transitMs(),
                "ack_timeout_ms " + bounds.ackTimeoutMs(),
                "lease_ms " + bounds.leaseMs(),
                "version_apply_ms " + bounds.versionApplyMs(),
                "");
    }
}
