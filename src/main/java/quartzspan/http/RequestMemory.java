package quartzspan.http;

/**
 * The account of the memory that the requests of all clients occupy beyond what each connection has: long heads, bodies, waiting
 * input and long responses, from the moment that a part of them is received until the response is complete or the client has
 * disconnected. What does not fit is not stored. Confined to one event loop.
 */
final class RequestMemory {
    /** Bodies up to this size, in bytes, may use the whole account; the rest of longer ones must leave a part to them. */
    static final int SHORT_BODY_BYTES = 16 * 1024;
    /** The part of the account that longer bodies may use. */
    private static final double LONG_BODY_SHARE = 0.75;

    private long limitBytes;
    private long reservedBytes;

    RequestMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Changes the size of the account; what is reserved stays reserved. */
    void setLimit(long bytes) {
        limitBytes = bytes;
    }

    /**
     * Reserves memory for more of a body.
     *
     * @param bytes the additional bytes
     * @param bodyBytes the size of the body's buffer with them, bytes
     * @return whether it was reserved; if not, the account is unchanged
     */
    boolean tryReserve(long bytes, long bodyBytes) {
        double usable = bodyBytes <= SHORT_BODY_BYTES ? limitBytes : LONG_BODY_SHARE * limitBytes;
        if (reservedBytes + bytes > usable) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves memory that is in use already, whether it fits or not; a negative number of bytes gives it back. */
    void add(long bytes) {
        reservedBytes += bytes;
    }

    /** Gives reserved memory back. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Whether more than half of the account is used. */
    boolean isScarce() {
        return 2 * reservedBytes > limitBytes;
    }

    /** The bytes that are reserved at present. */
    long reservedBytes() {
        return reservedBytes;
    }
}
