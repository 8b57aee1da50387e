package quartzspan.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Arrays;
import java.util.function.IntConsumer;

/**
 * Splits the input of a connection into frames: a length of four bytes in big-endian order, and as many bytes of content, which are
 * passed on as an array. The first frame, by which a peer introduces itself, must be short. The buffer of an incomplete frame grows
 * with what arrives.
 */
final class FrameDecoder extends SimpleChannelInboundHandler<ByteBuf> {
    /** The largest content of the first frame, bytes. */
    static final int MAX_FIRST_FRAME_BYTES = 1024;

    private static final int MIN_BUFFER_BYTES = 256;
    private static final byte[] EMPTY = {};

    private final IntConsumer onInput;
    private int maxFrameBytes = MAX_FIRST_FRAME_BYTES;
    /** The bytes of the length that have arrived, and the length so far. */
    private int lengthBytes;

    private int length;
    /** The content that has arrived; its buffer may be longer. */
    private byte[] buffer = EMPTY;

    private int received;
    private boolean discarding;

    /** @param onInput receives the size of the buffer of the incomplete frame, bytes, after each read */
    FrameDecoder(IntConsumer onInput) {
        this.onInput = onInput;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
        while (in.isReadable() && !discarding) {
            if (lengthBytes < Integer.BYTES) {
                readLength(in);
            } else {
                readContent(in);
            }
            if (lengthBytes == Integer.BYTES && received == length) {
                ctx.fireChannelRead(takeFrame());
            }
        }
        if (!discarding) {
            onInput.accept(buffer.length);
        }
    }

    private void readLength(ByteBuf in) {
        length = length << Byte.SIZE | in.readUnsignedByte();
        lengthBytes++;
        if (lengthBytes == Integer.BYTES && (length < 0 || length > maxFrameBytes)) {
            discard();
            throw new TooLongFrameException(
                    "a frame of " + length + " bytes, at most " + maxFrameBytes + " are allowed");
        }
    }

    private void readContent(ByteBuf in) {
        int added = Math.min(length - received, in.readableBytes());
        if (received + added > buffer.length) {
            int grown = Math.max(MIN_BUFFER_BYTES, Math.max(2 * buffer.length, received + added));
            buffer = Arrays.copyOf(buffer, Math.min(length, grown));
        }
        in.readBytes(buffer, received, added);
        received += added;
    }

    private byte[] takeFrame() {
        byte[] frame = buffer.length == length ? buffer : Arrays.copyOf(buffer, length);
        buffer = EMPTY;
        received = 0;
        lengthBytes = 0;
        length = 0;
        maxFrameBytes = MessageCodec.MAX_FRAME_BYTES;
        return frame;
    }

    /** Gives up the incomplete frame and drops all further input: the connection is being closed. */
    void discard() {
        discarding = true;
        buffer = EMPTY;
    }
}
