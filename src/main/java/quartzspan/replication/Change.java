package quartzspan.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import quartzspan.common.FleetException;

/**
 * A requested change of the control state.
 *
 * @param baseVersion the configuration version that the change is based on; 0 if it is based on none
 * @param body the unmodified body of the request
 */
public record Change(Kind kind, long baseVersion, byte[] body) {
    /**
     * The changed part: the complete configuration, some items of it, the target version of a model's weights, or the holder of
     * the weights rollout.
     * The ordinal is part of the encoding, so the order has to stay.
     */
    public enum Kind {
        REPLACE,
        UPDATE,
        WEIGHTS,
        ROLLOUT_CLAIM
    }

    private static final int HEADER_BYTES = 1 + 8 + 4;

    /** Size in bytes of the encoding written by {@link #writeTo}. */
    int size() {
        return HEADER_BYTES + body.length;
    }

    void writeTo(ByteBuffer out) {
        out.put((byte) kind.ordinal()).putLong(baseVersion).putInt(body.length).put(body);
    }

    /** Binary encoding, used on disk and in messages. */
    public byte[] bytes() {
        ByteBuffer out = ByteBuffer.allocate(size());
        writeTo(out);
        return out.array();
    }

    /**
     * Parses {@link #bytes}.
     *
     * @throws FleetException if the bytes are not a valid change
     */
    public static Change parse(byte[] bytes) {
        return readFrom(ByteBuffer.wrap(bytes));
    }

    static Change readFrom(ByteBuffer in) {
        try {
            int kind = in.get();
            long baseVersion = in.getLong();
            int length = in.getInt();
            if (kind < 0 || kind >= Kind.values().length || length < 0 || length > in.remaining()) {
                throw malformed();
            }
            byte[] body = new byte[length];
            in.get(body);
            return new Change(Kind.values()[kind], baseVersion, body);
        } catch (BufferUnderflowException e) {
            throw malformed();
        }
    }

    private static FleetException malformed() {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "the encoded change is truncated or malformed",
                "run the same version everywhere");
    }
}
