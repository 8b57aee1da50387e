package quartzspan.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import quartzspan.common.FleetException;

/**
 * A requested change of the control state.
 *
 * @param baseVersion the configuration version that it builds on; 0 where it builds on none
 * @param body the request's body, as it was sent
 */
public record Change(Kind kind, long baseVersion, byte[] body) {
    /** What is changed: the complete configuration, some items of it, named weights, or the holder of the rollout lease. */
    public enum Kind {
        REPLACE,
        UPDATE,
        WEIGHTS,
        ROLLOUT_CLAIM
    }

    private static final int HEADER_BYTES = 1 + 8 + 4;

    /** Number of bytes that {@link #writeTo} writes. */
    int size() {
        return HEADER_BYTES + body.length;
    }

    void writeTo(ByteBuffer out) {
        out.put((byte) kind.ordinal()).putLong(baseVersion).putInt(body.length).put(body);
    }

    /** Binary form, used on disk and between processes. */
    public byte[] bytes() {
        ByteBuffer out = ByteBuffer.allocate(size());
        writeTo(out);
        return out.array();
    }

    /**
     * Reads {@link #bytes}.
     *
     * @throws FleetException if the bytes are no change
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
                FleetException.Code.MESSAGE_INVALID, "a change can't be read", "run the same version everywhere");
    }
}
