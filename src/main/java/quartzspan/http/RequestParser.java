package quartzspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Parses requests of one connection with a fixed limit on the size of a head; an ambiguous request is a failure. Not a handler of a
 * pipeline: {@link RequestDecoder} owns it and the input, and replaces it between two requests when the limit changes.
 */
final class RequestParser extends HttpRequestDecoder {
    private final int maxHeaderBytes;
    private int newLines;

    RequestParser(int maxHeaderBytes) {
        super(HttpFraming.strictConfig(maxHeaderBytes).setTrailersFactory(DiscardedTrailers.FACTORY));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    /** The largest head that it accepts, bytes. */
    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /** Parses what it can of the input, at most up to the end of one message or part of a message. */
    void parse(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        decode(ctx, in, out);
    }

    /** The header lines parsed since the last call. */
    int takeNewLines() {
        int taken = newLines;
        newLines = 0;
        return taken;
    }

    /** Releases its buffer; it can't be used any more. */
    void release() {
        handlerRemoved0(null);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        try {
            super.handlerRemoved0(ctx);
        } catch (Exception impossible) {
            throw new AssertionError(impossible);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw HttpFraming.twoLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        newLines++;
        HttpFraming.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
