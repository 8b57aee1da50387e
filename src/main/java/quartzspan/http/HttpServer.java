package quartzspan.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.concurrent.Future;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;

/**
 * What clients connect to. It reads requests, hands them to the {@link Desk} behind it and writes final answers, one at a time on each connection. Nothing that a client sends, or does not send,
 * may cost more than its own connection.
 */
public final class HttpServer {
    /** Who answers requests. All calls come on the event loop. */
    public interface RequestHandler {
        /** The present time, microseconds. */
        long now();

        /** A whole request, read at {@code at}; it is to be answered once, now or later. */
        void take(ClientConnection client, HttpRequest in, byte[] body, long at);

        /** What clients may do; asked anew for each connection. */
        ConnectionLimits limits();
    }

    /**
     * What clients may do.
     *
     * @param maxConnections connections at once
     * @param maxHeaderBytes bytes of a head
     * @param maxBodyBytes bytes of a body
     * @param idleTimeoutMs how long a connection may be without a request
     * @param requestTimeoutMs how long a request may take until it is received completely
     */
    public record ConnectionLimits(
            int maxConnections, int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMs, long requestTimeoutMs) {}

    /**
     * What a client may send ahead of its answers before reading stops: requests, and bytes of bodies. All
     * clients together may send {@code MOST_HELD} bytes ahead; above that only what is not yet whole is read.
     */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private static final int MAX_PIPELINED_BYTES = HttpFraming.MAX_BODY_BYTES;
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    /**
     * One read at most, so that what is decoded after reading has been stopped stays small. Reads go on until
     * there is nothing more, or others have their turn: a client that has left behind its request shows by the
     * last of them only.
     */
    private static final int READ_BYTES = 8 * 1024;

    private static final int MAX_READS = 16;
    /** While reading has stopped, one read now and then tells of a client that left. */
    private static final long PEEK_INTERVAL_MS = 200;

    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * Clients know of no other place to go: for as long as there is time they are served where they are.
     * New connections come for 0.4 s after SIGTERM; answers end their connection from some time before
     * SIGKILL on, and when each client has had time for one more, nothing more is taken.
     */
    private static final long MIN_DRAIN_MS = 400;

    private static final long CLOSE_MARGIN_MS = 900;
    private static final long LAST_REQUEST_MS = 300;

    private final RequestHandler handler;
    private final EventLoop loop;
    private final ChannelGroup clients;
    private ConnectionLimits limits;
    /** Connections without an open request, the longest quiet first. */
    private final LinkedHashSet<ClientConnection> idleConnections = new LinkedHashSet<>();
    /** Connections in the middle of a request, the longest first. */
    private final LinkedHashSet<ClientConnection> receivingConnections = new LinkedHashSet<>();

    private long held;
    private Channel server;
    private boolean draining;
    private boolean leaving;
    private boolean deaf;
    private int busyConnections;

    /** A server that does not listen yet; to be called on the event loop. */
    public HttpServer(RequestHandler handler, EventLoop loop) {
        this.handler = handler;
        this.loop = loop;
        this.limits = handler.limits();
        this.clients = new DefaultChannelGroup(loop);
    }

    public ChannelFuture listen(InetSocketAddress address) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return bind(address);
    }

    /** Listens at an address; idle connections are not closed before {@link #listen} was called once. */
    public ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        limits = handler.limits();
                        ClientConnection client = new ClientConnection(ch);
                        ch.pipeline()
                                .addLast(
                                        new HttpFraming.RequestDecoder(limits.maxHeaderBytes()),
                                        new HttpResponseEncoder(),
                                        client);
                        admit(ch, client);
                    }
                })
                .bind(address);
        server = bound.channel();
        return bound;
    }

    /** At the most, the longest quiet one makes room; where all have a request open, a new one must wait. */
    private void admit(SocketChannel ch, ClientConnection client) {
        if (clients.size() >= limits.maxConnections() && !idleConnections.isEmpty()) {
            ClientConnection longest = idleConnections.iterator().next();
            idleConnections.remove(longest);
            longest.channel.close();
        }
        clients.add(ch);
        client.markIdle();
        ch.closeFuture().addListener(f -> acceptIfRoom(ch));
    }

    private void acceptIfRoom(Channel client) {
        client.parent().config().setAutoRead(clients.size() < limits.maxConnections() || !idleConnections.isEmpty());
    }

    private void sweep() {
        long now = System.nanoTime();
        closeIdleTooLong(now);
        endReceivingTooLong(now);
    }

    private void closeIdleTooLong(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMs());
        while (!idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            if (now - longestIdle.idleSinceNanos <= timeoutNanos) {
                return;
            }
            longestIdle.tooLong();
        }
    }

    private void endReceivingTooLong(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.requestTimeoutMs());
        while (!receivingConnections.isEmpty()) {
            ClientConnection longest = receivingConnections.iterator().next();
            if (now - longest.readAt <= timeoutNanos) {
                return;
            }
            receivingConnections.remove(longest);
            if (longest.busy) {
                // Its next request has all its time again: the one in flight must not end with it.
                longest.readAt = now;
                receivingConnections.add(longest);
            } else {
                longest.tooLong();
            }
        }
    }

    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Serves on, from some time before the end with each answer the last of its connection; then stops
     * listening and taking requests, closes what is idle and runs {@code done} when the last client has its
     * answer.
     *
     * @param leftMs time until the process may be killed
     */
    public void drain(long leftMs, Runnable done) {
        draining = true;
        long leaveMs = Math.max(MIN_DRAIN_MS, leftMs - CLOSE_MARGIN_MS);
        loop.schedule(() -> leaving = true, leaveMs, TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    close();
                    clients.newCloseFuture().addListener((Future<Void> f) -> done.run());
                },
                leaveMs + LAST_REQUEST_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Whether its end has been told. */
    public boolean draining() {
        return draining;
    }

    /** From now on each answer is the last on its connection; new connections are served the same way. */
    public void leave() {
        leaving = true;
    }

    /** Takes nothing more: stops listening and closes what is idle. The process is about to end. */
    public void close() {
        deaf = true;
        if (server != null) {
            server.close();
        }
        clients.forEach(c -> c.pipeline().get(ClientConnection.class).closeIfIdle());
    }

    /** Closes the connections that were used before and have nothing in flight: a request that crosses that is not taken. */
    public void closeIdle() {
        idleConnections.stream().filter(ClientConnection::isIdle).toList().forEach(client -> client.channel.close());
    }

    /** Requests taken and not yet answered, and those being read. */
    public boolean idle() {
        return busyConnections == 0 && receivingConnections.isEmpty();
    }

    /** One connection of a client. */
    public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final ArrayDeque<QueuedRequest> ahead = new ArrayDeque<>();
        private int queuedBytes;
        /** The request being read, its body so far, and whether the client waits to be told to send it. */
        private HttpRequest head;

        private ByteBuf body;
        private boolean expects;
        /** Set by what can't be read: nothing after it is. */
        private boolean lost;

        private boolean busy;
        private boolean served;
        private boolean pumping;
        private boolean peeking;
        private boolean keepAlive;
        private boolean lastAnswer;
        private long idleSinceNanos;
        private long readAt;
        private Runnable gone;
        private Runnable writable;

        /** A request as read, or what is to be said of one that can't be. */
        private record QueuedRequest(HttpRequest head, byte[] body, long at, HttpResponseStatus error) {}

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        // ---- reading ---------------------------------------------------------------------------------

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) {
            if (lost || deaf) {
                return;
            }
            if (in.decoderResult().isFailure()) {
                Throwable why = in.decoderResult().cause();
                unreadable(
                        why instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : why instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (in instanceof HttpRequest request) {
                begin(request);
            }
            if (in instanceof HttpContent content && !lost) {
                append(content.content());
                if (in instanceof LastHttpContent && !lost) {
                    end();
                }
            }
        }

        private void begin(HttpRequest request) {
            String expected = request.headers().get(HttpHeaderNames.EXPECT);
            expects = expected != null;
            if (!HttpFraming.sound(request)) {
                unreadable(HttpResponseStatus.BAD_REQUEST);
            } else if (HttpFraming.tooLong(request.headers(), limits.maxBodyBytes())) {
                unreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (expects && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                unreadable(HttpResponseStatus.EXPECTATION_FAILED);
            } else {
                head = request;
                readAt = System.nanoTime();
                receivingConnections.add(this);
                body = ConnectionPool.BUFFERS.buffer();
                goAhead();
            }
        }

        /** Tells a client that asks first to send its body, once it is its turn. */
        private void goAhead() {
            if (expects && head != null && !busy && ahead.isEmpty()) {
                expects = false;
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private void append(ByteBuf more) {
            if (body.readableBytes() + more.readableBytes() > limits.maxBodyBytes()) {
                unreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else {
                hold(more.readableBytes());
                body.writeBytes(more);
            }
        }

        private void end() {
            byte[] whole = new byte[body.readableBytes()];
            body.readBytes(whole);
            HttpRequest request = head;
            head = null;
            receivingConnections.remove(this);
            wait(new QueuedRequest(request, whole, handler.now(), null));
        }

        /** The last that is read of this client: what it sent before is served, then it is told. */
        private void unreadable(HttpResponseStatus error) {
            lost = true;
            head = null;
            receivingConnections.remove(this);
            wait(new QueuedRequest(null, new byte[0], 0, error));
        }

        /** A request has its turn when all that is there has been read, and never if its client has left. */
        private void wait(QueuedRequest next) {
            idleConnections.remove(this);
            ahead.add(next);
            resumeReading();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!busy && !ahead.isEmpty()) {
                loop.execute(this::pump);
            }
        }

        private void hold(int bytes) {
            queuedBytes += bytes;
            held += bytes;
        }

        /** Reading stops while enough waits. Only a read shows that a client left: one is made at times. */
        private void resumeReading() {
            boolean enough = (busy || !ahead.isEmpty())
                    && !lost
                    && (ahead.size() >= MAX_PIPELINED_REQUESTS
                            || queuedBytes >= MAX_PIPELINED_BYTES
                            || held >= MAX_BUFFERED_BYTES);
            channel.config().setAutoRead(!enough);
            if (enough && !peeking) {
                peeking = true;
                loop.schedule(this::peek, PEEK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void peek() {
            peeking = false;
            if (channel.isActive()) {
                if (queuedBytes < 2 * MAX_PIPELINED_BYTES && held < MAX_BUFFERED_BYTES) {
                    channel.read();
                }
                resumeReading();
            }
        }

        // ---- answering -------------------------------------------------------------------------------

        /** Takes up requests in their order while none is open. */
        private void pump() {
            if (pumping) {
                return;
            }
            pumping = true;
            while (!busy && !ahead.isEmpty() && channel.isActive()) {
                QueuedRequest next = ahead.poll();
                hold(-next.body().length);
                handle(next);
            }
            pumping = false;
            goAhead();
            resumeReading();
        }

        private void handle(QueuedRequest next) {
            busy = true;
            served = true;
            busyConnections++;
            HttpRequest in = next.head();
            keepAlive = in != null && HttpUtil.isKeepAlive(in);
            if (in == null) {
                answer(next.error());
            } else {
                handler.take(this, in, next.body(), next.at());
            }
        }

        /** The request at hand is open until {@link #answer}; {@code left} is told if its client leaves before. */
        public void opened(Runnable left) {
            this.gone = left;
        }

        public void answer(HttpResponseStatus status) {
            answer(status, ConnectionPool.Response.EMPTY, 0);
        }

        /** The final answer of the request at hand; the next has its turn when this one is written. */
        public void answer(HttpResponseStatus status, ConnectionPool.Response what, long retryAfterUs) {
            gone = null;
            DefaultFullHttpResponse out =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(what.body()));
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, what.body().length);
            if (what.contentType() != null) {
                out.headers().set(HttpHeaderNames.CONTENT_TYPE, what.contentType());
            }
            if (retryAfterUs > 0) {
                out.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf(retryAfterUs, 6)
                                        .stripTrailingZeros()
                                        .toPlainString());
            }
            if (what.headers() != null) {
                out.headers().add(what.headers());
            }
            boolean last = last(out);
            markIdle();
            channel.writeAndFlush(out).addListener(written -> over(last, written));
        }

        private boolean last(HttpResponse head) {
            boolean last = !keepAlive || leaving && ahead.isEmpty();
            if (last) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return last;
        }

        private void over(boolean last, Future<?> written) {
            if (busy) {
                busyConnections--;
                busy = false;
            }
            if (last || !written.isSuccess()) {
                channel.close();
            } else {
                pump();
            }
        }

        /** Begins an answer whose body comes in pieces; {@link #finish} ends it, {@link #cut} breaks it off. */
        public void begin(HttpResponse out) {
            lastAnswer = last(out);
            channel.writeAndFlush(out);
        }

        /** A piece of the body, written at once. Takes over the buffer. */
        public void piece(ByteBuf bytes) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        }

        /** The answer is whole. */
        public void finish() {
            gone = null;
            markIdle();
            boolean last = lastAnswer;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> over(last, written));
        }

        /** The answer can't be made whole, or none can be given: its client sees that by the connection's end. */
        public void cut() {
            gone = null;
            channel.close();
        }

        /** Whether more can be written without piling up; {@code again} is told when it can be after it could not. */
        public boolean writable(Runnable again) {
            writable = again;
            return channel.isWritable();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (writable != null && channel.isWritable()) {
                writable.run();
            }
        }

        /** From here on the connection is quiet: also one whose client does not read its answer. */
        private void markIdle() {
            if (channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                idleConnections.remove(this);
                idleConnections.add(this);
                acceptIfRoom(channel);
            }
        }

        private boolean isIdle() {
            return served && !busy && head == null && ahead.isEmpty();
        }

        private void tooLong() {
            idleConnections.remove(this);
            if (head != null && !busy) {
                busy = true;
                busyConnections++;
                keepAlive = false;
                answer(HttpResponseStatus.REQUEST_TIMEOUT);
            } else {
                channel.close();
            }
        }

        /** What is open has its answer first, and reading only tells whether its client is still there. */
        private void closeIfIdle() {
            if (!busy && ahead.isEmpty()) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            receivingConnections.remove(this);
            ahead.clear();
            held -= queuedBytes;
            queuedBytes = 0;
            if (busy) {
                busy = false;
                busyConnections--;
            }
            if (gone != null) {
                gone.run();
            }
        }

        /** Whatever went wrong costs this connection; what was open on it is the client's to retry. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
