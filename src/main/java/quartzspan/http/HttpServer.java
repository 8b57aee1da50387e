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
import io.netty.channel.WriteBufferWaterMark;
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
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;

/**
 * HTTP/1.1 server for client connections: decodes requests, passes them to a {@link RequestHandler}, and writes responses, one at a
 * time on each connection. Whatever a client sends or fails to send affects only its own connection.
 *
 * <p>Confined to one event loop; all calls and callbacks are made on it. Example:
 *
 * <pre>
 * HttpServer server = new HttpServer(handler, loop);
 * server.listen(address);
 * </pre>
 */
public final class HttpServer {
    /**
     * Input that may wait while a request of its client is handled. Reading pauses at this limit (backpressure), and earlier while
     * the memory for requests is scarce.
     */
    private static final int MAX_WAITING_BYTES = 2 * 1024;
    /** Input that may wait so that the close behind it is noticed, as long as the memory for requests is not scarce. */
    private static final int MAX_PEEKED_BYTES = 64 * 1024;
    /** When a client whose request does not fit into memory should come back, microseconds. */
    private static final long OVERLOAD_RETRY_AFTER_US = 500_000;
    /** Bytes of a response that wait for a slow client before the server's connection is no longer read, and is read again. */
    private static final WriteBufferWaterMark RESPONSE_WATER_MARK = new WriteBufferWaterMark(4 * 1024, 8 * 1024);
    /**
     * Size of one read; small, so that little more is decoded after reading was paused. Reads are repeated until the input is
     * used up, because only the last one reveals that a client disconnected right after its request, but at most
     * {@code MAX_READS} times before other connections get their turn.
     */
    private static final int READ_BYTES = 8 * 1024;

    private static final int MAX_READS = 4;
    /** The part of a response that is included in the memory of its connection, bytes. */
    private static final int INCLUDED_RESPONSE_BYTES = 8 * 1024;

    private static final byte[] NO_BYTES = {};
    /** While reading is paused, one read at this interval detects a client that has disconnected. */
    private static final long PEEK_INTERVAL_MS = 200;

    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * Connection draining of the client proxy. Its clients have no other proxy, so they are served for as long as possible: new
     * connections are accepted for at least 0.4 s after SIGTERM. From {@code CLOSE_MARGIN_MS} before SIGKILL on, each response
     * closes its connection; {@code LAST_REQUEST_GRACE_MS} later, after time for one more request of each client, no more requests
     * are accepted.
     */
    private static final long MIN_DRAIN_MS = 400;

    private static final long CLOSE_MARGIN_MS = 900;
    private static final long LAST_REQUEST_GRACE_MS = 300;

    private final RequestHandler handler;
    private final EventLoop loop;
    private final ChannelGroup clients;
    /** Connections without a request in flight, longest idle first. */
    private final LinkedHashSet<ClientConnection> idleConnections = new LinkedHashSet<>();
    /** Connections with a partly received request, oldest request first. */
    private final LinkedHashSet<ClientConnection> receivingConnections = new LinkedHashSet<>();

    private final RequestMemory requestMemory;
    private Channel listener;
    private boolean draining;
    private boolean closingAfterResponses;
    private boolean closed;
    private int respondingConnections;

    /** Creates a server that does not listen yet. Must be called on the event loop. */
    public HttpServer(RequestHandler handler, EventLoop loop) {
        this.handler = handler;
        this.loop = loop;
        this.requestMemory = new RequestMemory(handler.limits().maxRequestMemoryBytes());
        this.clients = new DefaultChannelGroup(loop);
    }

    /** Binds to an address and starts the periodic task that enforces idle and request timeouts. */
    public ChannelFuture listen(InetSocketAddress address) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return bind(address);
    }

    /** Binds to an address without starting the timeout task; see {@link #listen}. */
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
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, RESPONSE_WATER_MARK)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        requestMemory.setLimit(handler.limits().maxRequestMemoryBytes());
                        ClientConnection client = new ClientConnection(ch);
                        ch.pipeline().addLast(client.decoder, new HttpResponseEncoder(), client);
                        admit(ch, client);
                    }
                })
                .bind(address);
        listener = bindFuture.channel();
        return bindFuture;
    }

    /**
     * Registers a new connection. At the connection limit the longest idle connection is closed; if none is idle, accepting
     * pauses.
     */
    private void admit(SocketChannel ch, ClientConnection client) {
        if (clients.size() >= handler.limits().maxConnections() && !idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            idleConnections.remove(longestIdle);
            longestIdle.channel.close();
        }
        clients.add(ch);
        client.markIdle();
        ch.closeFuture().addListener(f -> updateAccepting(ch));
    }

    private void updateAccepting(Channel client) {
        boolean belowLimit = clients.size() < handler.limits().maxConnections();
        client.parent().config().setAutoRead(belowLimit || !idleConnections.isEmpty());
    }

    private void sweep() {
        long now = System.nanoTime();
        closeTimedOutIdleConnections(now);
        timeOutSlowRequests(now);
    }

    private void closeTimedOutIdleConnections(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(handler.limits().idleTimeoutMs());
        while (!idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            if (now - longestIdle.idleSinceNanos <= timeoutNanos) {
                return;
            }
            longestIdle.onTimeout();
        }
    }

    private void timeOutSlowRequests(long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(handler.limits().requestTimeoutMs());
        while (!receivingConnections.isEmpty()) {
            ClientConnection longestReceiving = receivingConnections.iterator().next();
            if (now - longestReceiving.receivingSinceNanos <= timeoutNanos) {
                return;
            }
            receivingConnections.remove(longestReceiving);
            longestReceiving.onTimeout();
        }
    }

    /** The local port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Drains connections: first continues to serve; later lets each response close its connection; finally stops listening and
     * accepting requests, closes idle connections, and runs {@code done} when the last client connection is closed.
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

    /** Whether {@link #drain} was called. */
    public boolean draining() {
        return draining;
    }

    /** Makes each response close its connection from now on, including those on new connections. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** Stops listening, accepts no more requests and closes idle connections. The process is about to exit. */
    public void close() {
        closed = true;
        if (listener != null) {
            listener.close();
        }
        clients.forEach(c -> c.pipeline().get(ClientConnection.class).closeIfIdle());
    }

    /** Closes idle connections that have served a request. A request that arrives at the same time is not handled. */
    public void closeIdle() {
        idleConnections.stream().filter(ClientConnection::isIdle).toList().forEach(client -> client.channel.close());
    }

    /** The account of the memory for requests. */
    RequestMemory requestMemory() {
        return requestMemory;
    }

    /** Whether no request is in flight or being received. */
    public boolean isIdle() {
        return respondingConnections == 0 && receivingConnections.isEmpty();
    }

    /** One client connection: the last handler of its pipeline. */
    public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements RequestDecoder.Flow {
        private final Channel channel;
        private final HeadReservation headReservation = new HeadReservation(requestMemory);
        private final RequestDecoder decoder = new RequestDecoder(headReservation, this);
        /** The complete request that is handled next; null if none is. */
        private PendingRequest pending;
        /** The body of the request that is pending or being handled, bytes. */
        private int bodyBytes;
        /** The memory that is reserved for the response, bytes. */
        private int responseBytes;
        /** What the buffer of undecoded input has beyond the size of one read, bytes. */
        private int inputBufferBytes;

        /** The head of the request being received, or null. {@code body} is what has arrived of its body. */
        private HttpRequest head;

        private RequestBody body;
        /** Whether the rest of a rejected request's body is being read and dropped. */
        private boolean discardingBody;

        private boolean closeAfterDiscardedBody;
        /** Set by invalid input: all input after it is ignored. */
        private boolean inputRejected;

        private boolean responding;
        private boolean hasServedRequest;
        private boolean handlingPending;
        private boolean peekScheduled;
        private boolean keepAlive;
        private boolean lastResponse;
        private long idleSinceNanos;
        private long receivingSinceNanos;
        private Runnable disconnectListener;
        private Runnable writableListener;

        /** A complete request, or the error status for one that is not handled; its head is null if the input was invalid. */
        private record PendingRequest(HttpRequest head, byte[] body, long receivedAtUs, HttpResponseStatus error) {}

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public boolean isInputIgnored() {
            return inputRejected || closed;
        }

        @Override
        public boolean isInputRejected() {
            return inputRejected;
        }

        @Override
        public boolean mayDecode() {
            return discardingBody || !responding && pending == null;
        }

        @Override
        public int maxHeaderBytes() {
            return handler.limits().maxHeaderBytes();
        }

        @Override
        public long nowUs() {
            return handler.now();
        }

        @Override
        public void onInput() {
            accountInputBuffer();
            updateAutoRead();
        }

        /** Accounts for the buffer of undecoded input; a request whose head does not fit is rejected, one in flight goes on. */
        private void accountInputBuffer() {
            int needed = Math.max(0, decoder.bufferBytes() - READ_BYTES);
            int added = needed - inputBufferBytes;
            if (added > 0 && mayDecode() && !requestMemory.tryReserve(added, needed)) {
                rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            if (added < 0 || !mayDecode()) {
                requestMemory.add(added);
            }
            inputBufferBytes = needed;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (inputRejected) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                rejectInput(statusOf(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (discardingBody) {
                discard(message);
            } else if (message instanceof HttpContent content && !inputRejected) {
                appendBody(content);
                if (message instanceof LastHttpContent && body != null) {
                    finishRequest();
                }
            }
        }

        private static HttpResponseStatus statusOf(Throwable decodingFailure) {
            if (decodingFailure instanceof TooLongHttpLineException) {
                return HttpResponseStatus.REQUEST_URI_TOO_LONG;
            }
            if (decodingFailure instanceof TooLongHttpHeaderException) {
                return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            }
            return decodingFailure instanceof RequestMemoryException
                    ? HttpResponseStatus.SERVICE_UNAVAILABLE
                    : HttpResponseStatus.BAD_REQUEST;
        }

        private void discard(HttpObject message) {
            if (message instanceof LastHttpContent) {
                discardingBody = false;
                if (closeAfterDiscardedBody) {
                    channel.close();
                }
            }
        }

        private void startRequest(HttpRequest request) {
            String expected = request.headers().get(HttpHeaderNames.EXPECT);
            if (!HttpFraming.isUnambiguous(request)) {
                rejectInput(HttpResponseStatus.BAD_REQUEST);
            } else if (HttpFraming.exceedsLength(
                    request.headers(), handler.limits().maxBodyBytes())) {
                rejectInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                rejectInput(HttpResponseStatus.EXPECTATION_FAILED);
            } else {
                head = request;
                receivingSinceNanos = System.nanoTime();
                receivingConnections.add(this);
                body = new RequestBody(requestMemory, maxBodyBytes(request));
                if (expected != null) {
                    sendContinue();
                }
            }
        }

        /** The length that a valid request declares, or the largest one allowed. */
        private int maxBodyBytes(HttpRequest request) {
            long declared = HttpFraming.parseNumber(request.headers().get(HttpHeaderNames.CONTENT_LENGTH));
            return declared < 0 ? handler.limits().maxBodyBytes() : (int) declared;
        }

        private void sendContinue() {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }

        private void appendBody(HttpContent content) {
            if (body.exceedsLimit(content.content())) {
                rejectInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (!body.append(content.content())) {
                rejectForMemory(content);
            }
        }

        private void finishRequest() {
            byte[] completeBody = body.complete();
            bodyBytes = completeBody.length;
            HttpRequest request = head;
            head = null;
            body = null;
            receivingConnections.remove(this);
            setPending(new PendingRequest(request, completeBody, decoder.lastDecodedAtUs(), null));
        }

        /** Rejects a request whose body does not fit into memory: it was not handled. The rest of its body is read and dropped. */
        private void rejectForMemory(HttpContent content) {
            HttpRequest request = head;
            stopReceiving();
            discardingBody = !(content instanceof LastHttpContent);
            setPending(new PendingRequest(request, NO_BYTES, 0, HttpResponseStatus.SERVICE_UNAVAILABLE));
        }

        /** Gives up what has been received of a request. */
        private void stopReceiving() {
            receivingConnections.remove(this);
            headReservation.release();
            head = null;
            if (body != null) {
                requestMemory.release(body.reservedBytes());
                body = null;
            }
        }

        /** Ignores all further input of this client, responds with the error and closes the connection. */
        private void rejectInput(HttpResponseStatus error) {
            inputRejected = true;
            if (discardingBody) {
                discardingBody = false;
                if (closeAfterDiscardedBody || !responding && pending == null) {
                    channel.close();
                }
                return;
            }
            stopReceiving();
            setPending(new PendingRequest(null, NO_BYTES, 0, error));
        }

        /** Sets the next request. It is handled after the current read completes, and not at all if its client has disconnected. */
        private void setPending(PendingRequest next) {
            idleConnections.remove(this);
            pending = next;
            updateAutoRead();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!responding && pending != null) {
                loop.execute(this::handlePending);
            }
        }

        /**
         * Pauses reading while much input waits behind a request. Only a read reveals that a client has disconnected, so one is
         * made every {@link #PEEK_INTERVAL_MS}.
         */
        private void updateAutoRead() {
            boolean enoughWaits = !mayDecode()
                    && !inputRejected
                    && (decoder.waitingBytes() >= MAX_WAITING_BYTES || requestMemory.isScarce());
            channel.config().setAutoRead(!enoughWaits);
            if (enoughWaits && !peekScheduled) {
                peekScheduled = true;
                loop.schedule(this::peek, PEEK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void peek() {
            peekScheduled = false;
            if (channel.isActive()) {
                if (decoder.waitingBytes() < (requestMemory.isScarce() ? MAX_WAITING_BYTES : MAX_PEEKED_BYTES)) {
                    channel.read();
                }
                updateAutoRead();
            }
        }

        /** Handles the client's requests in order, one at a time. */
        private void handlePending() {
            if (handlingPending) {
                return;
            }
            handlingPending = true;
            while (!responding && channel.isActive() && isNextPending()) {
                PendingRequest next = pending;
                pending = null;
                handle(next);
            }
            handlingPending = false;
            if (closed && !responding && pending == null) {
                channel.close();
            }
            updateAutoRead();
        }

        /** Whether a request is pending; decodes the next one if it waits. */
        private boolean isNextPending() {
            if (pending == null) {
                decoder.decodeWaitingInput();
            }
            return pending != null;
        }

        private void handle(PendingRequest next) {
            responding = true;
            hasServedRequest = true;
            respondingConnections++;
            HttpRequest request = next.head();
            keepAlive = request != null && HttpUtil.isKeepAlive(request);
            if (next.error() != null) {
                long retryAfterUs =
                        next.error().equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? OVERLOAD_RETRY_AFTER_US : 0;
                answer(next.error(), ConnectionPool.Response.EMPTY, retryAfterUs);
            } else {
                handler.onRequest(this, request, next.body(), next.receivedAtUs());
            }
        }

        /** Sets a listener that runs if the client disconnects before the response to the current request is complete. */
        public void onDisconnect(Runnable listener) {
            this.disconnectListener = listener;
        }

        /** Sends a response without a body to the current request. */
        public void answer(HttpResponseStatus status) {
            answer(status, ConnectionPool.Response.EMPTY, 0);
        }

        /**
         * Sends the complete response to the current request; the next request is handled when it is written. If there is no memory
         * for it, the connection is closed, which promises the client nothing.
         *
         * @param retryAfterUs value of the Retry-After header, microseconds; 0 for none
         */
        public void answer(HttpResponseStatus status, ConnectionPool.Response response, long retryAfterUs) {
            if (!reserveResponse(response.body().length)) {
                abort();
                return;
            }
            forgetRequest();
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

        /** Reserves memory for a response until it is written, which takes as long as its client wants. */
        private boolean reserveResponse(int bytes) {
            int added = Math.max(0, bytes - INCLUDED_RESPONSE_BYTES);
            if (!requestMemory.tryReserve(added, added)) {
                return false;
            }
            responseBytes = added;
            return true;
        }

        private boolean markIfLast(HttpResponse responseHead) {
            boolean last = !keepAlive || closingAfterResponses && decoder.waitingBytes() == 0;
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
            releaseRequest();
            if (last && written.isSuccess() && discardingBody) {
                // Closing with unread input would reset the connection before the client has read the response.
                closeAfterDiscardedBody = true;
            } else if (last || inputRejected || !written.isSuccess()) {
                channel.close();
            } else {
                handlePending();
            }
        }

        /** Gives back the memory of the request that was handled or pending. */
        private void releaseRequest() {
            requestMemory.release(bodyBytes + responseBytes);
            bodyBytes = 0;
            responseBytes = 0;
            headReservation.release();
        }

        /** Starts a streamed response, which {@link #finishResponse} completes and {@link #abort} truncates. */
        public void startResponse(HttpResponse responseHead) {
            lastResponse = markIfLast(responseHead);
            channel.writeAndFlush(responseHead);
        }

        /** Writes a chunk of a streamed response. Takes ownership of the buffer. */
        public void writeChunk(ByteBuf bytes) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        }

        /** Completes a streamed response. */
        public void finishResponse() {
            forgetRequest();
            markIdle();
            boolean last = lastResponse;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(written -> onResponseWritten(last, written));
        }

        /** Closes the connection because the response can't be completed, or none can be given. */
        public void abort() {
            forgetRequest();
            channel.close();
        }

        /** Drops the listeners, which refer to the request: a connection that rests must not keep it. */
        private void forgetRequest() {
            disconnectListener = null;
            writableListener = null;
        }

        /** Whether the channel is writable. The listener replaces the previous one and runs when the channel becomes writable again. */
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

        /** Starts the idle timeout, even if the client has not read its response yet. */
        private void markIdle() {
            if (channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                idleConnections.remove(this);
                idleConnections.add(this);
                updateAccepting(channel);
            }
        }

        private boolean isIdle() {
            return hasServedRequest && !responding && head == null && pending == null;
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

        /** Closes the connection unless a request is in flight or pending; those get their response first. */
        private void closeIfIdle() {
            if (!responding && pending == null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            stopReceiving();
            pending = null;
            releaseRequest();
            requestMemory.release(inputBufferBytes);
            inputBufferBytes = 0;
            if (responding) {
                responding = false;
                respondingConnections--;
            }
            Runnable listener = disconnectListener;
            forgetRequest();
            if (listener != null) {
                listener.run();
            }
        }

        /** Any exception closes the connection; the client has to retry a request in flight. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
