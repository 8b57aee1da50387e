package quartzspan.replication;

import com.dynatrace.hash4j.hashing.Hashing;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.JsonFields;

/**
 * The replicated control state, an immutable value: the configuration in effect, the digests of accepted changes by version, the
 * target version of the weights of each model, and the holder of the weights rollout.
 */
public final class ControlState {
    /** Number of retained digests of accepted changes, which identify a change that is submitted again. */
    private static final int MAX_ACCEPTED_DIGESTS = 4096;
    /** The state before the first change. */
    public static final ControlState EMPTY =
            new ControlState(Configuration.NONE, new TreeMap<>(), 0, new TreeMap<>(), "", 0);

    private final Configuration configuration;
    private final NavigableMap<Long, Long> acceptedDigests;
    /** The highest version whose digest is no longer retained. */
    private final long highestDroppedVersion;

    private final Map<String, Long> weights;
    private final String rolloutHolder;
    private final long fencingToken;

    private ControlState(
            Configuration configuration,
            NavigableMap<Long, Long> acceptedDigests,
            long highestDroppedVersion,
            Map<String, Long> weights,
            String rolloutHolder,
            long fencingToken) {
        this.configuration = configuration;
        this.acceptedDigests = acceptedDigests;
        this.highestDroppedVersion = highestDroppedVersion;
        this.weights = weights;
        this.rolloutHolder = rolloutHolder;
        this.fencingToken = fencingToken;
    }

    /** The configuration in effect. */
    public Configuration configuration() {
        return configuration;
    }

    /** The target version of the weights, by model. */
    public Map<String, Long> weights() {
        return weights;
    }

    /** The replica that last claimed the weights rollout; empty if none has. */
    public String rolloutHolder() {
        return rolloutHolder;
    }

    /** Incremented with every claim of the rollout, so that each claim has a token of its own. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * The state after a change; this object itself if the change has already been applied.
     *
     * @throws FleetException if the change is invalid or is based on another version
     */
    public ControlState with(Change change) {
        if (change.kind() == Change.Kind.ROLLOUT_CLAIM) {
            String name = new String(change.body(), StandardCharsets.UTF_8);
            return new ControlState(
                    configuration, acceptedDigests, highestDroppedVersion, weights, name, fencingToken + 1);
        }
        JsonObject body = JsonFields.parse(change.body());
        if (change.kind() == Change.Kind.WEIGHTS) {
            return withTargetVersion(body);
        }
        long version = JsonFields.wholeNumber(body, "version", -1);
        long digest = Hashing.xxh3_64()
                .hashStream()
                .putLong(change.kind().ordinal())
                .putLong(change.baseVersion())
                .putBytes(change.body())
                .getAsLong();
        Long acceptedDigest = acceptedDigests.get(version);
        if (acceptedDigest != null && acceptedDigest == digest) {
            return this;
        }
        if (acceptedDigest == null && version <= highestDroppedVersion) {
            throw new FleetException(
                    FleetException.Code.ORDER_FORGOTTEN,
                    "version " + version + " is older than the retained history of accepted changes",
                    "read the configuration in effect with Configuration.Describe");
        }
        if (change.baseVersion() != configuration.version()) {
            throw new FleetException(
                    FleetException.Code.CONFIG_STALE,
                    "the change is based on version " + change.baseVersion() + ", but version "
                            + configuration.version() + " is in effect",
                    "read the configuration in effect with Configuration.Describe and base the change on its version");
        }
        if (version <= configuration.version()) {
            throw new FleetException(
                    FleetException.Code.CONFIG_INVALID,
                    "version " + version + " is not above version " + configuration.version() + ", which is in effect",
                    "give the change a higher version");
        }
        Configuration next =
                change.kind() == Change.Kind.REPLACE ? Configuration.read(change.body()) : configuration.updated(body);
        TreeMap<Long, Long> digests = new TreeMap<>(acceptedDigests);
        digests.put(version, digest);
        long dropped = highestDroppedVersion;
        while (digests.size() > MAX_ACCEPTED_DIGESTS) {
            dropped = digests.pollFirstEntry().getKey();
        }
        return new ControlState(next, digests, dropped, weights, rolloutHolder, fencingToken);
    }

    /**
     * The state after a change that was submitted now. Changes that were accepted before are applied by {@link #with}, which does
     * not repeat the checks that an earlier version may have lacked.
     *
     * @throws FleetException if the change is invalid or is based on another version
     */
    ControlState withSubmitted(Change change) {
        ControlState next = with(change);
        next.configuration.checkNewTenantNames(configuration);
        return next;
    }

    private ControlState withTargetVersion(JsonObject body) {
        String model = body.getString("model", "");
        long version = JsonFields.wholeNumber(body, "version", 0);
        if (model.isEmpty() || version < 1) {
            throw new FleetException(
                    FleetException.Code.CONFIG_INVALID,
                    "field model or version is missing or invalid",
                    "send model as a non-empty string and version as an integer of at least 1");
        }
        if (weights.getOrDefault(model, 0L) >= version) {
            return this;
        }
        TreeMap<String, Long> next = new TreeMap<>(weights);
        next.put(model, version);
        return new ControlState(
                configuration, acceptedDigests, highestDroppedVersion, next, rolloutHolder, fencingToken);
    }

    /** Approximate size of {@link #bytes}; leaves out the weights. */
    long size() {
        return configuration.bytes().length + (long) acceptedDigests.size() * 2 * Long.BYTES;
    }

    /** Binary encoding, written to disk and sent to other replicas. */
    public byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            byte[] configurationBytes = configuration.bytes();
            out.writeInt(configurationBytes.length);
            out.write(configurationBytes);
            out.writeInt(acceptedDigests.size());
            for (Map.Entry<Long, Long> digest : acceptedDigests.entrySet()) {
                out.writeLong(digest.getKey());
                out.writeLong(digest.getValue());
            }
            out.writeInt(weights.size());
            for (Map.Entry<String, Long> weight : weights.entrySet()) {
                out.writeUTF(weight.getKey());
                out.writeLong(weight.getValue());
            }
            out.writeUTF(rolloutHolder);
            out.writeLong(fencingToken);
            out.writeLong(highestDroppedVersion);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Parses {@link #bytes}. */
    public static ControlState parse(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int length = in.readInt();
            if (length < 0 || length > bytes.length) {
                throw malformed(null);
            }
            Configuration configuration = Configuration.read(in.readNBytes(length));
            TreeMap<Long, Long> acceptedDigests = new TreeMap<>();
            for (int n = in.readInt(); n > 0; n--) {
                acceptedDigests.put(in.readLong(), in.readLong());
            }
            TreeMap<String, Long> weights = new TreeMap<>();
            for (int n = in.readInt(); n > 0; n--) {
                weights.put(in.readUTF(), in.readLong());
            }
            String rolloutHolder = in.readUTF();
            long fencingToken = in.readLong();
            return new ControlState(
                    configuration, acceptedDigests, in.readLong(), weights, rolloutHolder, fencingToken);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static FleetException malformed(IOException cause) {
        return new FleetException(
                FleetException.Code.STORE_DAMAGED,
                "the encoded control state is truncated or malformed" + (cause == null ? "" : ": " + cause),
                "move the data directory aside and start again");
    }
}
