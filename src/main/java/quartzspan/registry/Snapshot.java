package quartzspan.registry;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import quartzspan.common.FleetException;

/**
 * A complete published state in its transfer format: compressed, since configurations are repetitive.
 *
 * @param index the committed index of the state
 */
record Snapshot(long index, byte[] bytes) {
    private static final int MAX_STATE_BYTES = 16 * 1024 * 1024;
    private static final int BUFFER_BYTES = 16 * 1024;

    static Snapshot of(long index, PublishedState state) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(state.bytes());
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return new Snapshot(index, out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Decompresses and decodes the state. */
    PublishedState state() {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(4 * bytes.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 || out.size() > MAX_STATE_BYTES) {
                    throw malformed("truncated, or larger than " + MAX_STATE_BYTES + " bytes");
                }
                out.write(buffer, 0, count);
            }
            return PublishedState.parse(out.toByteArray());
        } catch (DataFormatException e) {
            throw malformed(e.getMessage());
        } finally {
            inflater.end();
        }
    }

    SnapshotChunk chunk(int offset) {
        int end = Math.min(bytes.length, offset + SnapshotChunk.MAX_BYTES);
        return new SnapshotChunk(index, offset, bytes.length, Arrays.copyOfRange(bytes, offset, end));
    }

    private static FleetException malformed(String reason) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "a snapshot can't be decoded: " + reason,
                "run the same version on all machines");
    }
}
