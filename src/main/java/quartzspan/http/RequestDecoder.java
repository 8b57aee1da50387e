package quartzspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the requests of one client; an ambiguous message is a decoding failure, and so is a head for which there is no memory
 * (cause {@link RequestMemoryException}). One request is decoded at a time: what a client sends while an earlier request of it is
 * handled waits as the bytes that were received, which take far less memory than decoded messages. The size limit of a head is the
 * one in force when its decoding begins. Confined to the event loop of its channel, which owns it.
 */
final class RequestDecoder extends ByteToMessageDecoder {
    /** The connection that the requests belong to. */
    interface Flow {
        /** Whether input that is received from now on is to be dropped. */
        boolean isInputIgnored();

        /** Whether input that was received and waits is to be dropped too. */
        boolean isInputRejected();

        /** Whether the next message may be decoded; else the input waits for {@link #decodeWaitingInput}. */
        boolean mayDecode();

        /** The largest head of a request, bytes, at present. */
        int maxHeaderBytes();

        /** The current time, microseconds. */
        long nowUs();

        /** Called after each read, when what can be decoded of it is decoded. */
        void onInput();
    }

    private final HeadReservation headReservation;
    private final Flow flow;
    private final InputArrivals arrivals = new InputArrivals();
    private ChannelHandlerContext context;
    private RequestParser parser;
    /** Whether the next input belongs to the head of a request. */
    private boolean withinHead = true;
    /** Whether a part of a request is decoded already; else the next input is the first of its head. */
    private boolean withinRequest;
    /** Set once a head was given up: what follows it can't be decoded. */
    private boolean failed;

    RequestDecoder(HeadReservation headReservation, Flow flow) {
        this.headReservation = headReservation;
        this.flow = flow;
        this.parser = new RequestParser(flow.maxHeaderBytes());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (flow.isInputIgnored() && message != Unpooled.EMPTY_BUFFER) {
            ReferenceCountUtil.release(message);
            return;
        }
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
        if (failed || flow.isInputRejected()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!flow.mayDecode()) {
            return;
        }
        applyHeaderLimit();
        int start = in.readerIndex();
        parser.parse(ctx, in, out);
        onDecoded(in.readerIndex() - start, out);
    }

    /** Clients keep their connections while the limit changes. The parser's limit is fixed, so a new request gets a new one. */
    private void applyHeaderLimit() {
        if (!withinRequest && parser.maxHeaderBytes() != flow.maxHeaderBytes()) {
            parser.release();
            parser = new RequestParser(flow.maxHeaderBytes());
        }
    }

    private void onDecoded(int bytes, List<Object> out) {
        arrivals.onDecoded(bytes);
        int newLines = parser.takeNewLines();
        if (withinHead && !headReservation.tryGrow(bytes, newLines)) {
            failForMemory(out);
        }
        withinRequest |= bytes > 0;
        if (!out.isEmpty()) {
            withinHead = out.get(out.size() - 1) instanceof LastHttpContent;
            withinRequest = !withinHead;
        }
    }

    private void failForMemory(List<Object> out) {
        failed = true;
        out.forEach(ReferenceCountUtil::release);
        out.clear();
        HttpRequest failure = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        failure.setDecoderResult(DecoderResult.failure(new RequestMemoryException()));
        out.add(failure);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        parser.release();
    }
}
