package quartzspan.http;

/**
 * The memory that the head of a request occupies beyond what each connection has anyway, from its first bytes until the response is
 * complete. A head of many short lines occupies many times its size: each line becomes an entry with a name and a value, in the
 * request and in the copies that are forwarded.
 */
final class HeadReservation {
    /** What the entries, the name and the value of one line occupy in a request and its forwarded copies, bytes. */
    private static final int LINE_OVERHEAD_BYTES = 320;
    /** The copies of a head's text: name or value, encoded request, and the text that it is encoded from. */
    private static final int TEXT_COPIES = 4;
    /** The part of a head's memory that is included in that of its connection, bytes; more than ordinary heads need. */
    static final int INCLUDED_BYTES = 8 * 1024;

    private final RequestMemory memory;
    private long neededBytes;
    private long reservedBytes;

    HeadReservation(RequestMemory memory) {
        this.memory = memory;
    }

    /**
     * Reserves memory for more of a head.
     *
     * @param textBytes the additional bytes of its text
     * @param lines the additional header lines
     * @return false if there is no memory for them; the head has to be given up then
     */
    boolean tryGrow(int textBytes, int lines) {
        neededBytes += (long) textBytes * TEXT_COPIES + (long) lines * LINE_OVERHEAD_BYTES;
        long missingBytes = neededBytes - INCLUDED_BYTES - reservedBytes;
        if (missingBytes <= 0) {
            return true;
        }
        if (!memory.tryReserve(missingBytes, reservedBytes + missingBytes)) {
            return false;
        }
        reservedBytes += missingBytes;
        return true;
    }

    /** Gives the memory back: the head is no longer referred to. */
    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
        neededBytes = 0;
    }
}
