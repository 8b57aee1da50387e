package quartzspan.transport;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import quartzspan.registry.TargetAge;

/** Encodes and decodes the ages of target versions in a gossip message. */
final class TargetAgesCodec {
    private TargetAgesCodec() {}

    static byte[] encode(List<TargetAge> ages) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (TargetAge age : ages) {
                out.writeUTF(age.model());
                out.writeLong(age.version());
                out.writeLong(age.ageMs());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static List<TargetAge> decode(byte[] bytes) {
        List<TargetAge> ages = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            while (in.available() > 0) {
                ages.add(new TargetAge(in.readUTF(), in.readLong(), in.readLong()));
            }
        } catch (IOException e) {
            throw MessageCodec.malformed("ages of target versions: " + e.getMessage());
        }
        return ages;
    }
}
