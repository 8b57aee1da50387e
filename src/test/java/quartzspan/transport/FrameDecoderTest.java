package quartzspan.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Frames come out as they went in, however they are cut on their way; an incomplete one takes no more than what has arrived. */
class FrameDecoderTest {
    private static final int HISTORIES = 200;
    private static final int FRAMES = 20;

    private final List<Integer> bufferBytes = new ArrayList<>();
    private final FrameDecoder decoder = new FrameDecoder(bufferBytes::add);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private static ByteBuf frame(byte[] content) {
        return Unpooled.buffer().writeInt(content.length).writeBytes(content);
    }

    @Test
    void framesAreWholeHoweverTheyAreCut() {
        SplittableRandom random = new SplittableRandom(45);
        for (int history = 0; history < HISTORIES; history++) {
            EmbeddedChannel cut = new EmbeddedChannel(new FrameDecoder(bytes -> {}));
            ByteBuf stream = Unpooled.buffer();
            List<byte[]> sent = new ArrayList<>();
            for (int i = 0; i < FRAMES; i++) {
                byte[] content = new byte[random.nextInt(i == 0 ? FrameDecoder.MAX_FIRST_FRAME_BYTES : 5_000)];
                random.nextBytes(content);
                sent.add(content);
                stream.writeBytes(frame(content));
            }
            while (stream.isReadable()) {
                cut.writeInbound(stream.readBytes(Math.min(stream.readableBytes(), 1 + random.nextInt(3_000))));
            }
            for (byte[] content : sent) {
                assertArrayEquals(content, cut.readInbound());
            }
            assertNull(cut.readInbound());
        }
    }

    @Test
    void firstFrameMustBeShort() {
        byte[] tooLong = new byte[FrameDecoder.MAX_FIRST_FRAME_BYTES + 1];
        assertThrows(TooLongFrameException.class, () -> channel.writeInbound(frame(tooLong)));
        channel.writeInbound(frame(new byte[1]));
        assertNull(channel.readInbound(), "what follows is dropped");
    }

    @Test
    void announcedLengthAloneTakesNoMemory() {
        channel.writeInbound(frame(new byte[3]));
        channel.writeInbound(
                Unpooled.buffer().writeInt(MessageCodec.MAX_FRAME_BYTES).writeBytes(new byte[100]));
        assertTrue(bufferBytes.get(bufferBytes.size() - 1) < 1_000, "buffers: " + bufferBytes);
        assertEquals(2, bufferBytes.size());
    }

    @Test
    void lengthAboveTheLargestIsRefused() {
        channel.writeInbound(frame(new byte[3]));
        ByteBuf length = Unpooled.buffer().writeInt(MessageCodec.MAX_FRAME_BYTES + 1);
        assertThrows(TooLongFrameException.class, () -> channel.writeInbound(length));
    }

    @Test
    void negativeLengthIsRefused() {
        ByteBuf length = Unpooled.buffer().writeInt(-1);
        assertThrows(TooLongFrameException.class, () -> channel.writeInbound(length));
    }
}
