package quartzspan.replication.simulation;

import java.nio.charset.StandardCharsets;
import quartzspan.replication.Change;

/** A configuration change submitted by an operator, with its known outcome. */
final class ChangeOperation {
    final int id;
    final long version;
    final Change change;
    final boolean valid;
    /** The newest version known to any client when the change was first sent. */
    final long knownVersionFloor;

    boolean acknowledged;
    boolean rejected;

    ChangeOperation(int id, long version, Change change, boolean valid, long knownVersionFloor) {
        this.id = id;
        this.version = version;
        this.change = change;
        this.valid = valid;
        this.knownVersionFloor = knownVersionFloor;
    }

    /** Name of the service that identifies the change in a configuration. */
    static String marker(int id) {
        return "op" + id;
    }

    static byte[] replacement(int id, long version, String padding) {
        return ("{\"version\":" + version + ",\"routes\":[],\"services\":[{\"name\":\"" + marker(id)
                        + "\",\"health_path\":\"/" + padding + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    static byte[] update(int id, long version) {
        return ("{\"version\":" + version + ",\"upsert\":{\"services\":[{\"name\":\"" + marker(id) + "\"}]}}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** A configuration whose route refers to a missing service. */
    static byte[] invalid(int id, long version) {
        return ("{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/\","
                        + "\"route_type\":\"read_only\",\"timeout_ms\":5,\"service\":\"none\"}],\"services\":[{\"name\":\""
                        + marker(id) + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "change " + id + " (" + change.kind() + " " + change.baseVersion() + " -> " + version + ")";
    }
}
