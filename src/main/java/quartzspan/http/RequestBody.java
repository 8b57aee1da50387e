package quartzspan.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The body of a request that is being received. Its buffer grows with what arrives, up to the declared length, and each growth is
 * reserved in the account of {@link RequestMemory} first.
 */
final class RequestBody {
    private static final int INITIAL_BYTES = 2 * 1024;
    private static final byte[] EMPTY = {};

    private final RequestMemory memory;
    /** The most that the body may have: its declared length, or the limit for bodies of unknown length. */
    private final int maxBytes;

    private byte[] bytes = EMPTY;
    private int length;

    RequestBody(RequestMemory memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** The bytes received so far. */
    int length() {
        return length;
    }

    /** The bytes that are reserved for it. */
    int reservedBytes() {
        return bytes.length;
    }

    /** Whether the body would be longer than allowed with these bytes. */
    boolean exceedsLimit(ByteBuf content) {
        return length + content.readableBytes() > maxBytes;
    }

    /**
     * Appends received bytes.
     *
     * @return false if there is no memory for them; the body is unchanged then
     */
    boolean append(ByteBuf content) {
        int added = content.readableBytes();
        if (length + added > bytes.length && !grow(length + added)) {
            return false;
        }
        content.readBytes(bytes, length, added);
        length += added;
        return true;
    }

    private boolean grow(int minBytes) {
        int doubled = Math.max(INITIAL_BYTES, 2 * bytes.length);
        int capacity = Math.max(minBytes, Math.min(maxBytes, doubled));
        if (!memory.tryReserve(capacity - bytes.length, capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** The complete body; its size stays reserved, what its buffer had beyond that is given back. */
    byte[] complete() {
        if (bytes.length > length) {
            memory.release(bytes.length - length);
            bytes = Arrays.copyOf(bytes, length);
        }
        return bytes;
    }
}
