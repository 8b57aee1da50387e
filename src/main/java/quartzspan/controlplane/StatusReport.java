package quartzspan.controlplane;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import quartzspan.common.JsonLines;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.replication.Replica;

/**
 * The status of a core machine for operators. It is not confirmed by a quorum: {@code fresh_ms} is the time since the last
 * confirmation.
 */
final class StatusReport {
    private StatusReport() {}

    static byte[] toJson(long now, String node, Replica replica, Registry registry) {
        StringBuilder json = new StringBuilder("{\"node\":");
        JsonLines.quote(json, node);
        JsonLines.quote(json.append(",\"role\":"), replica.role().statusName());
        JsonLines.quote(json.append(",\"leader\":"), String.valueOf(replica.knownPrimary(now)));
        JsonLines.quote(json.append(",\"view\":"), replica.membership().text());
        JsonLines.quote(json.append(",\"duty\":"), registry.state().rolloutHolder());
        json.append(",\"promised\":")
                .append(replica.promisedEpoch().number())
                .append(",\"copy_epoch\":")
                .append(replica.logEpoch().number())
                .append(",\"copy_index\":")
                .append(replica.logIndex())
                .append(",\"version\":")
                .append(registry.state().configuration().version())
                .append(",\"fresh_ms\":")
                .append(now - registry.freshAtMs());
        for (RegistryEntry.Subject subject : RegistryEntry.Subject.values()) {
            appendEntries(json, subject, registry);
        }
        return json.append('}').toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendEntries(StringBuilder json, RegistryEntry.Subject subject, Registry registry) {
        json.append(",\"").append(subject.name().toLowerCase(Locale.ROOT)).append("s\":[");
        String separator = "";
        for (RegistryEntry entry : registry.all(subject)) {
            JsonLines.quote(json.append(separator).append("{\"key\":"), entry.key());
            JsonLines.quote(json.append(",\"state\":"), entry.state().name());
            JsonLines.quote(json.append(",\"text\":"), entry.text());
            json.append('}');
            separator = ",";
        }
        json.append(']');
    }
}
