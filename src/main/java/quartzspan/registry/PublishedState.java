package quartzspan.registry;

import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.JsonFields;
import quartzspan.replication.ControlState;

/**
 * The part of the control state that all processes need. It omits what only the primary uses to validate changes.
 *
 * @param weights the target version of the weights, by model
 * @param rolloutHolder the replica that last claimed the rollout of weights; empty if none has
 */
public record PublishedState(Configuration configuration, Map<String, Long> weights, String rolloutHolder) {
    /** The state before the first change. */
    public static final PublishedState EMPTY = of(ControlState.EMPTY);

    /** The published part of a control state. */
    public static PublishedState of(ControlState state) {
        return new PublishedState(state.configuration(), Map.copyOf(state.weights()), state.rolloutHolder());
    }

    /** Encodes the delta from this state to a later one; null if the change can't be expressed as a delta. */
    byte[] deltaTo(PublishedState later) {
        JsonObject patch = later.configuration.patchFrom(configuration);
        if (patch == null || !later.weights.keySet().containsAll(weights.keySet())) {
            return null;
        }
        Map<String, Long> changedWeights = new TreeMap<>(later.weights);
        changedWeights.entrySet().removeIf(weight -> weight.getValue().equals(weights.get(weight.getKey())));
        boolean sameConfiguration = later.configuration.version() == configuration.version();
        return encode(sameConfiguration ? NO_PATCH : JsonFields.toBytes(patch), changedWeights, later.rolloutHolder);
    }

    /**
     * Applies a delta to this state.
     *
     * @throws FleetException if the delta doesn't apply to this state
     */
    PublishedState withDelta(byte[] delta) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(delta))) {
            byte[] patch = readBytes(in, delta.length);
            Map<String, Long> next = new TreeMap<>(weights);
            readWeights(in, next);
            return new PublishedState(
                    patch.length == 0 ? configuration : configuration.updated(JsonFields.parse(patch)),
                    Map.copyOf(next),
                    in.readUTF());
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /** Encodes the complete state. */
    byte[] bytes() {
        return encode(configuration.bytes(), weights, rolloutHolder);
    }

    /** Decodes the result of {@link #bytes}. */
    static PublishedState parse(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            Configuration configuration = Configuration.read(readBytes(in, bytes.length));
            Map<String, Long> weights = new TreeMap<>();
            readWeights(in, weights);
            return new PublishedState(configuration, Map.copyOf(weights), in.readUTF());
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static final byte[] NO_PATCH = {};

    private static byte[] encode(byte[] configurationBytes, Map<String, Long> weights, String rolloutHolder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(configurationBytes.length + 64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(configurationBytes.length);
            out.write(configurationBytes);
            out.writeInt(weights.size());
            for (Map.Entry<String, Long> weight : weights.entrySet()) {
                out.writeUTF(weight.getKey());
                out.writeLong(weight.getValue());
            }
            out.writeUTF(rolloutHolder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static byte[] readBytes(DataInputStream in, int maxLength) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > maxLength) {
            throw malformed(null);
        }
        return in.readNBytes(length);
    }

    private static void readWeights(DataInputStream in, Map<String, Long> target) throws IOException {
        for (int n = in.readInt(); n > 0; n--) {
            target.put(in.readUTF(), in.readLong());
        }
    }

    private static FleetException malformed(IOException cause) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "a published state can't be decoded" + (cause == null ? "" : ": " + cause),
                "run the same version on all machines");
    }
}
