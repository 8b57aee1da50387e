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
 * The server that clients connect to: reads requests, hands them to a {@link RequestHandler}, and writes final responses, one at a
 * time on each connection. Nothing that a client sends, or does not send, may cost more than its own connection.
 *
 * <p>Owned by one event loop; all calls and callbacks are made on it. Example:
 *
 * <pre>
 * HttpServer server = new HttpServer(handler, loop);
 * server.listen(address);
 * </pre>
 */
public final class HttpServer {
    /** Answers requests. All calls come on the event loop. */
    public interface RequestHandler {
        /** The present time, microseconds. */
        long now();

        /** A complete request, received at {@code receivedAtUs} (microseconds); it is to be answered once, now or later. */
        void onRequest(ClientConnection client, HttpRequest request, byte[] body, long receivedAtUs);

        /** The limits of clients; read again for each connection. */
        ConnectionLimits limits();
    }

    /**
     * The limits of clients.
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
     * How many requests, and bytes of bodies, a client may pipeline before reading stops. All clients together may pipeline
     * {@code MAX_BUFFERED_BYTES}; above that only requests that are not complete yet are read on.
     */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private static final int MAX_PIPELINED_BYTES = HttpFraming.MAX_BODY_BYTES;
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    /**
     * Size of one read, so that little is decoded after reading was stopped. Reads go on until there is nothing more, or
     * other connections have their turn: only the last of them shows that a client has disconnected behind its request.
     */
    private static final int READ_BYTES = 8 * 1024;

    private static final int MAX_READS = 16;
    /** While reading is stopped, one read at this interval detects a client that has disconnected. */
    private static final long PEEK_INTERVAL_MS = 200;

    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * The drain of the client proxy. Its clients have nowhere else to go, so they are served as long as there is time: new
     * connections are accepted for 0.4 s after SIGTERM at least; responses close their connection from some time before
     * SIGKILL on, and when each client has had time for one more request, none is accepted any more.
     */
    private static final long MIN_DRAIN_MS = 400;

    private static final long CLOSE_MARGIN_MS = 900;
    private static final long LAST_REQUEST_GRACE_MS = 300;

    private final RequestHandler handler;
    private final EventLoop loop;
    private final ChannelGroup clients;
    private ConnectionLimits limits;
    /** Connections without a request in flight, the longest idle first. */
    private final LinkedHashSet<ClientConnection> idleConnections = new LinkedHashSet<>();
    /** Connections of which a request is being received, the longest first. */
    private final LinkedHashSet<ClientConnection> receivingConnections = new LinkedHashSet<>();

    private long bufferedBytes;
    private Channel listener;
    private boolean draining;
    private boolean closingAfterResponses;
    private boolean closed;
    private int respondingConnections;

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
        ChannelFuture bindFuture = new ServerBootstrap()
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
        listener = bindFuture.channel();
        return bindFuture;
    }

    /** At the maximum the longest idle connection is closed; where all have a request in flight, a new one has to wait. */
    private void admit(SocketChannel ch, ClientConnection client) {
        if (clients.size() >= limits.maxConnections() && !idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            idleConnections.remove(longestIdle);
            longestIdle.channel.close();
        }
        clients.add(ch);
        client.markIdle();
        ch.closeFuture().addListener(f -> updateAccepting(ch));
    }

    private void updateAccepting(Channel client) {
        client.parent().config().setAutoRead(clients.size() < limits.maxConnections() || !idleConnections.isEmpty());
    }

    private void sweep() {
        long now = System.nanoTime();
        closeTimedOutIdleConnections(now);
        timeOutSlowRequests(now);
    }

    private void closeTimedOutIdleConnections(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMs());
        while (!idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            if (now - longestIdle.idleSinceNanos <= timeoutNanos) {
                return;
            }
            longestIdle.onTimeout();
        }
    }

    private void timeOutSlowRequests(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.requestTimeoutMs());
        while (!receivingConnections.isEmpty()) {
            ClientConnection longestReceiving = receivingConnections.iterator().next();
            if (now - longestReceiving.receivingSinceNanos <= timeoutNanos) {
                return;
            }
            receivingConnections.remove(longestReceiving);
            if (longestReceiving.responding) {
                // Its next request has all its time again: the one in flight must not end with it.
                longestReceiving.receivingSinceNanos = now;
                receivingConnections.add(longestReceiving);
            } else {
                longestReceiving.onTimeout();
            }
        }
    }

    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Serves on; from some time before the end each response closes its connection; then stops listening and accepting
     * requests, closes idle connections and runs {@code done} when the last client has its response.
     *
     * @param remainingMs time until the process may be killed
     */
    public void drain(long remainingMs, Runnable done) {
        draining = true;
        long closeDelayMs = Math.max(MIN_DRAIN_MS, remainingMs - CLOSE_MARGIN_MS);
        loop.schedule(() -> closingAfterResponses = true, closeDelayMs, TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    close();
                    clients.newCloseFuture().addListener((Future<Void> f) -> done.run());
                },
                closeDelayMs + LAST_REQUEST_GRACE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Whether a drain has begun. */
    public boolean draining() {
        return draining;
    }

    /** From now on each response closes its connection; new connections are served the same way. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** Accepts nothing more: stops listening and closes idle connections. The process is about to end. */
    public void close() {
        closed = true;
        if (listener != null) {
            listener.close();
        }
        clients.forEach(c -> c.pipeline().get(ClientConnection.class).closeIfIdle());
    }

    /** Closes the connections that were used before and have nothing in flight: a request that crosses that is not taken. */
    public void closeIdle() {
        idleConnections.stream().filter(ClientConnection::isIdle).toList().forEach(client -> client.channel.close());
    }

    /** Whether no request is in flight or being received. */
    public boolean isIdle() {
        return respondingConnections == 0 && receivingConnections.isEmpty();
    }

    /** One connection of a client. */
    public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final ArrayDeque<QueuedRequest> queuedRequests = new ArrayDeque<>();
        private int queuedBytes;
        /** The request being received, its body so far, and whether the client waits for {@code 100 Continue}. */
        private HttpRequest head;

        private ByteBuf body;
        private boolean expectsContinue;
        /** Set by input that can't be read: nothing after it is read. */
        private boolean inputRejected;

        private boolean responding;
        private boolean hasServedRequest;
        private boolean handlingQueued;
        private boolean peekScheduled;
        private boolean keepAlive;
        private boolean lastResponse;
        private long idleSinceNanos;
        private long receivingSinceNanos;
        private Runnable disconnectListener;
        private Runnable writableListener;

        /** A complete request, or the error of one that can't be read. */
        private record QueuedRequest(HttpRequest head, byte[] body, long receivedAtUs, HttpResponseStatus error) {}

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        // ---- reading ---------------------------------------------------------------------------------

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (inputRejected || closed) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                Throwable cause = message.decoderResult().cause();
                rejectInput(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (message instanceof HttpContent content && !inputRejected) {
                appendBody(content.content());
                if (message instanceof LastHttpContent && !inputRejected) {
                    finishRequest();
                }
            }
        }

        private void startRequest(HttpRequest request) {
            String expected = request.headers().get(HttpHeaderNames.EXPECT);
            expectsContinue = expected != null;
            if (!HttpFraming.isUnambiguous(request)) {
                rejectInput(HttpResponseStatus.BAD_REQUEST);
            } else if (HttpFraming.exceedsLength(request.headers(), limits.maxBodyBytes())) {
                rejectInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (expectsContinue && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                rejectInput(HttpResponseStatus.EXPECTATION_FAILED);
            } else {
                head = request;
                receivingSinceNanos = System.nanoTime();
                receivingConnections.add(this);
                body = ConnectionPool.BUFFERS.buffer();
                sendContinue();
            }
        }

        /** Sends {@code 100 Continue} once the request is the next to be handled. */
        private void sendContinue() {
            if (expectsContinue && head != null && !responding && queuedRequests.isEmpty()) {
                expectsContinue = false;
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private void appendBody(ByteBuf content) {
            if (body.readableBytes() + content.readableBytes() > limits.maxBodyBytes()) {
                rejectInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else {
                addBuffered(content.readableBytes());
                body.writeBytes(content);
            }
        }

        private void finishRequest() {
            byte[] completeBody = new byte[body.readableBytes()];
            body.readBytes(completeBody);
            HttpRequest request = head;
            head = null;
            receivingConnections.remove(this);
            enqueue(new QueuedRequest(request, completeBody, handler.now(), null));
        }

        /** The last input that is read of this client: the requests before it are answered, then it gets the error. */
        private void rejectInput(HttpResponseStatus error) {
            inputRejected = true;
            head = null;
            receivingConnections.remove(this);
            enqueue(new QueuedRequest(null, new byte[0], 0, error));
        }

        /** A request is handled when all input has been read, and never if its client has disconnected. */
        private void enqueue(QueuedRequest next) {
            idleConnections.remove(this);
            queuedRequests.add(next);
            updateAutoRead();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!responding && !queuedRequests.isEmpty()) {
                loop.execute(this::handleQueued);
            }
        }

        private void addBuffered(int bytes) {
            queuedBytes += bytes;
            bufferedBytes += bytes;
        }

        /** Reading stops while enough requests wait. Only a read shows that a client has disconnected: one is made at times. */
        private void updateAutoRead() {
            boolean queueFull = (responding || !queuedRequests.isEmpty())
                    && !inputRejected
                    && (queuedRequests.size() >= MAX_PIPELINED_REQUESTS
                            || queuedBytes >= MAX_PIPELINED_BYTES
                            || bufferedBytes >= MAX_BUFFERED_BYTES);
            channel.config().setAutoRead(!queueFull);
            if (queueFull && !peekScheduled) {
                peekScheduled = true;
                loop.schedule(this::peek, PEEK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void peek() {
            peekScheduled = false;
            if (channel.isActive()) {
                if (queuedBytes < 2 * MAX_PIPELINED_BYTES && bufferedBytes < MAX_BUFFERED_BYTES) {
                    channel.read();
                }
                updateAutoRead();
            }
        }

        // ---- answering -------------------------------------------------------------------------------

        /** Handles requests in their order, one at a time. */
        private void handleQueued() {
            if (handlingQueued) {
                return;
            }
            handlingQueued = true;
            while (!responding && !queuedRequests.isEmpty() && channel.isActive()) {
                QueuedRequest next = queuedRequests.poll();
                addBuffered(-next.body().length);
                handle(next);
            }
            handlingQueued = false;
            sendContinue();
            updateAutoRead();
        }

        private void handle(QueuedRequest next) {
            responding = true;
            hasServedRequest = true;
            respondingConnections++;
            HttpRequest request = next.head();
            keepAlive = request != null && HttpUtil.isKeepAlive(request);
            if (request == null) {
                answer(next.error());
            } else {
                handler.onRequest(this, request, next.body(), next.receivedAtUs());
            }
        }

        /** Sets a listener that runs if the client disconnects before the response to the current request is complete. */
        public void onDisconnect(Runnable listener) {
            this.disconnectListener = listener;
        }

        public void answer(HttpResponseStatus status) {
            answer(status, ConnectionPool.Response.EMPTY, 0);
        }

        /** Sends the complete response to the current request; the next request is handled when it is written. */
        public void answer(HttpResponseStatus status, ConnectionPool.Response response, long retryAfterUs) {
            disconnectListener = null;
            DefaultFullHttpResponse message =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(response.body()));
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            if (response.contentType() != null) {
                message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            }
            if (retryAfterUs > 0) {
                message.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf(retryAfterUs, 6)
                                        .stripTrailingZeros()
                                        .toPlainString());
            }
            if (response.headers() != null) {
                message.headers().add(response.headers());
            }
            boolean last = markIfLast(message);
            markIdle();
            channel.writeAndFlush(message).addListener(written -> onResponseWritten(last, written));
        }

        private boolean markIfLast(HttpResponse responseHead) {
            boolean last = !keepAlive || closingAfterResponses && queuedRequests.isEmpty();
            if (last) {
                responseHead.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return last;
        }

        private void onResponseWritten(boolean last, Future<?> written) {
            if (responding) {
                respondingConnections--;
                responding = false;
            }
            if (last || !written.isSuccess()) {
                channel.close();
            } else {
                handleQueued();
            }
        }

        /** Starts a response whose body comes in chunks; {@link #finishResponse} ends it, {@link #abort} breaks it off. */
        public void startResponse(HttpResponse responseHead) {
            lastResponse = markIfLast(responseHead);
            channel.writeAndFlush(responseHead);
        }

        /** Writes a chunk of the body. Takes ownership of the buffer. */
        public void writeChunk(ByteBuf bytes) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        }

        /** The response is complete. */
        public void finishResponse() {
            disconnectListener = null;
            markIdle();
            boolean last = lastResponse;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(written -> onResponseWritten(last, written));
        }

        /** The response can't be completed, or none can be given: the client sees the connection's end. */
        public void abort() {
            disconnectListener = null;
            channel.close();
        }

        /** Whether more can be written without buffering; the listener runs when it can be after it could not. */
        public boolean isWritable(Runnable listener) {
            writableListener = listener;
            return channel.isWritable();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (writableListener != null && channel.isWritable()) {
                writableListener.run();
            }
        }

        /** From here on the connection counts as idle: also one whose client does not read its response. */
        private void markIdle() {
            if (channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                idleConnections.remove(this);
                idleConnections.add(this);
                updateAccepting(channel);
            }
        }

        private boolean isIdle() {
            return hasServedRequest && !responding && head == null && queuedRequests.isEmpty();
        }

        private void onTimeout() {
            idleConnections.remove(this);
            if (head != null && !responding) {
                responding = true;
                respondingConnections++;
                keepAlive = false;
                answer(HttpResponseStatus.REQUEST_TIMEOUT);
            } else {
                channel.close();
            }
        }

        /** A request in flight gets its response first; reading only shows whether its client is still there. */
        private void closeIfIdle() {
            if (!responding && queuedRequests.isEmpty()) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            receivingConnections.remove(this);
            queuedRequests.clear();
            bufferedBytes -= queuedBytes;
            queuedBytes = 0;
            if (responding) {
                responding = false;
                respondingConnections--;
            }
            if (disconnectListener != null) {
                disconnectListener.run();
            }
        }

        /** Any failure costs this connection; the client has to retry the request in flight. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
