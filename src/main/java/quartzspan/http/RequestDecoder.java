package quartzspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the requests of one client; an ambiguous message is a decoding failure. One request is decoded at a time: what a client sends while an earlier request of it is
 * handled waits as the bytes that were received, which take far less memory than decoded messages. Confined to the event loop of
 * its channel, which owns it.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** The connection that the requests belong to. */
    interface Flow {
        /** Whether all further input is to be dropped. */
        boolean isInputIgnored();

        /** Whether the next message may be decoded; else the input waits for {@link #decodeWaitingInput}. */
        boolean mayDecode();

        /** The current time, microseconds. */
        long nowUs();

        /** Called after each read, when what can be decoded of it is decoded. */
        void onInput();
    }

    private final Flow flow;
    private final InputArrivals arrivals = new InputArrivals();
    private ChannelHandlerContext context;

    RequestDecoder(int maxHeaderBytes, Flow flow) {
        super(HttpFraming.strictConfig(maxHeaderBytes));
        this.flow = flow;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf input && input.isReadable()) {
            arrivals.onRead(input.readableBytes(), flow.nowUs());
        }
        super.channelRead(ctx, message);
        flow.onInput();
    }

    /** When the last byte that was decoded was received, microseconds. */
    long lastDecodedAtUs() {
        return arrivals.lastDecodedAtUs(flow.nowUs());
    }

    /** The bytes that were received and are not decoded yet. */
    int waitingBytes() {
        return actualReadableBytes();
    }

    /** The size of the buffer that holds them. */
    int bufferBytes() {
        return internalBuffer().capacity();
    }

    /** Decodes the next request of the input that waits, as far as it has been received. */
    void decodeWaitingInput() {
        if (waitingBytes() > 0) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception failure) {
                context.fireExceptionCaught(failure);
            }
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (flow.isInputIgnored()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!flow.mayDecode()) {
            return;
        }
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        arrivals.onDecoded(in.readerIndex() - start);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw HttpFraming.twoLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpFraming.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
