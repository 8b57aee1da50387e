package quartzspan.http;

import java.util.ArrayDeque;

/**
 * When the input of a connection that is not decoded yet was received: the deadline of a request counts from its arrival, not from
 * its decoding. Offsets count the bytes of the connection from its start; times are microseconds of the caller's clock.
 */
final class InputArrivals {
    /** Reads that are told apart; what exceeds them counts as received with the last read. */
    private static final int MAX_READS = 16;

    private record Read(long endOffset, long atUs) {}

    private final ArrayDeque<Read> waitingReads = new ArrayDeque<>(MAX_READS);
    private long receivedBytes;
    private long decodedBytes;

    void onRead(int bytes, long nowUs) {
        receivedBytes += bytes;
        if (waitingReads.size() >= MAX_READS) {
            waitingReads.removeLast();
        }
        waitingReads.add(new Read(receivedBytes, nowUs));
    }

    void onDecoded(int bytes) {
        decodedBytes += bytes;
        while (!waitingReads.isEmpty() && waitingReads.peek().endOffset() < decodedBytes) {
            waitingReads.remove();
        }
    }

    /** When the byte that was decoded last was received; now, if none was. */
    long lastDecodedAtUs(long nowUs) {
        return waitingReads.isEmpty() ? nowUs : waitingReads.peek().atUs();
    }
}
