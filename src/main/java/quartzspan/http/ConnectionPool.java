package quartzspan.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/**
 * Pool of keep-alive connections to endpoints, with at most one in-flight request on each. The pool retries nothing: of the
 * connections that an attempt tries at most one is handed the complete head of its request (see {@link RequestProgress}), and the
 * attempt ends exactly once, with the strongest outcome that is certain.
 *
 * <p>Confined to one event loop; all calls and callbacks are made on it. Example:
 *
 * <pre>
 * pool.attempt(endpoint, request, timeoutUs, () -> true, responseHandler, listener).start(Reuse.ANY);
 * </pre>
 */
public final class ConnectionPool {
    /** Idle connections are closed after this fraction of the server's idle timeout, before the server closes them. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    private static final long SWEEP_INTERVAL_MS = 100;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int BODY_BUFFER_BYTES = 256;
    /** Sizes of one read: little more is read after a slow client has made reading pause. */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 8 * 1024;
    /**
     * A connection is not reused this soon after a response, so that unsolicited input that follows the response is not taken
     * for the response to the next request.
     */
    private static final long MIN_IDLE_NANOS = 3_000_000;
    /** Interim responses (1xx) accepted for one request; more of them fail the attempt. */
    private static final int MAX_INTERIM_RESPONSES = 16;
    /** New connections that one attempt may open if they are reset before the request's head is completely written. */
    private static final int MAX_NEW_CONNECTIONS = 3;
    /**
     * A reused connection that is lost this soon after the request was written is considered stale: the server had closed it
     * while it was idle, and this process had not noticed.
     */
    private static final long STALE_RESET_NANOS = 20_000_000;

    /** Unpooled buffers on the heap, whose size is bounded; this rate of traffic needs no buffer pool. */
    public static final UnpooledByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(false);

    /** Used where the caller gives no handler: 200 succeeds; 503 or 504 with {@code X-Not-Run: 1} means the queue was full. */
    private static final ResponseHandler DEFAULT_HANDLER = new ResponseHandler() {
        @Override
        public Outcome outcome(HttpResponse head) {
            int status = head.status().code();
            boolean notRun = (status == 503 || status == 504)
                    && "1".equals(head.headers().get("X-Not-Run"));
            return status == 200 ? Outcome.OK : notRun ? Outcome.QUEUE_FULL : Outcome.FAILED;
        }
    };

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final IdleTimeout idleTimeout;
    private final int maxConnections;
    /** Idle connections to all endpoints, least recently used first. */
    private final LinkedHashSet<Connection> idleConnections = new LinkedHashSet<>();

    private int connectionCount;

    /**
     * Creates an empty pool.
     *
     * @param dialTimeoutUs time within which a connection must be established
     * @param connIdleUs time after which servers close idle connections
     * @param maxConnections maximum number of connections to all servers together
     */
    public ConnectionPool(EventLoop loop, long dialTimeoutUs, long connIdleUs, int maxConnections) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.idleTimeout = new IdleTimeout((long) (connIdleUs * 1000 * IDLE_TIMEOUT_FRACTION));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.TCP_NODELAY, true)
                // A failed write does not close the channel: a response that has arrived before it is still read.
                .option(ChannelOption.AUTO_CLOSE, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /**
     * Makes new connections discard unsent data on close (SO_LINGER of 0), so that an abandoned request can't arrive late, after
     * a network partition.
     */
    public void discardUnsentOnClose() {
        bootstrap.option(ChannelOption.SO_LINGER, 0);
    }

    /** Starts the periodic task that closes connections whose idle timeout has passed. */
    public void startIdleEviction() {
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    idleConnections.stream()
                            .filter(c -> c.idleTooLong(now))
                            .toList()
                            .forEach(Connection::close);
                },
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** A server that connections are opened to, as last reported by service discovery. */
    public static final class Endpoint {
        /** No limit of its own; only the limit of the pool applies. */
        public static final int UNBOUNDED = Integer.MAX_VALUE;

        final String id;
        InetSocketAddress address;
        boolean ready;
        /** Maximum number of connections from this process to the endpoint. */
        private int maxConnections = UNBOUNDED;

        /** Connections that are open or being established. */
        private int connectionCount;

        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();

        public Endpoint(String id) {
            this.id = id;
        }

        public String id() {
            return id;
        }

        /** The address to connect to; null before the first {@link #update}. */
        public InetSocketAddress address() {
            return address;
        }

        /** Stops sending new requests to the endpoint. */
        public void drain() {
            ready = false;
        }

        /**
         * Applies the endpoint's state from discovery.
         *
         * @param ready whether requests may be sent to it
         * @param maxConnections maximum number of connections from this process to it
         */
        public void update(InetSocketAddress address, boolean ready, int maxConnections) {
            this.address = address;
            this.ready = ready;
            this.maxConnections = maxConnections;
        }

        /** Whether an idle connection exists. */
        public boolean isConnected() {
            return !idleConnections.isEmpty();
        }

        /** Whether an idle connection exists or a new one may be opened. */
        public boolean isReachable() {
            return !idleConnections.isEmpty() || connectionCount < maxConnections;
        }
    }

    /** A complete response; {@code headers} is null unless the handler wants error bodies. */
    public record Response(byte[] body, String contentType, HttpHeaders headers) {
        /** A response without a body. */
        public static final Response EMPTY = new Response(new byte[0], null, null);
    }

    /** Called once when an attempt ends; {@code response} is null unless there is a response to forward. */
    public interface CompletionListener {
        void onComplete(Outcome outcome, Response response);
    }

    /** Which request a response that arrived while one was in flight belongs to. */
    public enum ResponseMatch {
        /** The request in flight. */
        CURRENT,
        /** An earlier request: the response is skipped, and the one to the request in flight is still expected. */
        EARLIER,
        /** Unknown: the attempt fails and the connection is closed; the request in flight may have been executed. */
        UNKNOWN
    }

    /** Maps responses to outcomes, and receives streamed bodies. */
    public interface ResponseHandler {
        Outcome outcome(HttpResponse head);

        /** Which request a final (not 1xx) response belongs to. */
        default ResponseMatch match(HttpResponse head) {
            return ResponseMatch.CURRENT;
        }

        /** Whether the body of this successful response is to be passed to {@link #onChunk} as it arrives. */
        default boolean streamsBody(HttpResponse head) {
            return false;
        }

        /**
         * Handles a chunk of the body. The caller keeps ownership of the buffer.
         *
         * @return false to stop reading from the channel until {@link Attempt#resumeReading} (backpressure)
         */
        default boolean onChunk(ByteBuf bytes) {
            return true;
        }

        /** The largest body in bytes that is accepted unless it is streamed; the response to a larger one counts as failed. */
        default int maxBodyBytes() {
            return HttpFraming.MAX_BODY_BYTES;
        }

        /** Whether the body of unsuccessful responses and the headers of all responses are delivered. */
        default boolean wantsErrorBody() {
            return false;
        }
    }

    /**
     * Creates an attempt whose timeout runs from now; the caller starts it at once.
     *
     * @param stillWanted whether the request still waits for a response; checked before the request is written
     */
    public Attempt attempt(
            Endpoint endpoint,
            OutgoingRequest request,
            long timeoutUs,
            BooleanSupplier stillWanted,
            CompletionListener listener) {
        return attempt(endpoint, request, timeoutUs, stillWanted, DEFAULT_HANDLER, listener);
    }

    /** Creates an attempt whose response is interpreted by a handler; see the other overload. */
    public Attempt attempt(
            Endpoint endpoint,
            OutgoingRequest request,
            long timeoutUs,
            BooleanSupplier stillWanted,
            ResponseHandler responseHandler,
            CompletionListener listener) {
        return new Attempt(endpoint, request, timeoutUs, stillWanted, responseHandler, listener);
    }

    /** Closes the idle connections to an endpoint. Those in use close after their response unless the endpoint is ready then. */
    public void closeIdle(Endpoint endpoint) {
        for (Connection connection; (connection = endpoint.idleConnections.peek()) != null; ) {
            connection.close();
        }
    }

    /** Which pooled connections a request may reuse. */
    public enum Reuse {
        /** Any idle connection. */
        ANY,
        /**
         * A connection that was idle for a short time only, else a new one. For requests that can't be retried if the connection
         * turns out to be stale.
         */
        RECENT,
        /** Always a new connection, on which no response to an earlier request can arrive. */
        NONE
    }

    /**
     * Takes the most recently used idle connection without unread input from the pool; null if there is none. One that is idle
     * for longer than {@code reuse} allows is taken only if the endpoint's connection limit rules out a new one.
     */
    private Connection acquireIdle(Endpoint endpoint, Reuse reuse) {
        if (reuse == Reuse.NONE) {
            return null;
        }
        long now = System.nanoTime();
        long maxIdleNanos = reuse == Reuse.RECENT ? idleTimeout.cautiousNanos() : idleTimeout.nanos();
        Connection older = null;
        for (Connection connection : List.copyOf(endpoint.idleConnections)) {
            long idleNanos = now - connection.idleSinceNanos;
            if (idleNanos <= MIN_IDLE_NANOS) {
                continue;
            }
            if (connection.idleTooLong(now) || !connection.channel.hasNoInput()) {
                connection.close();
            } else if (idleNanos <= maxIdleNanos) {
                connection.removeFromIdle();
                return connection;
            } else if (older == null) {
                older = connection;
            }
        }
        if (older != null && endpoint.connectionCount >= endpoint.maxConnections) {
            older.removeFromIdle();
            return older;
        }
        return null;
    }

    /** Counts a connection until it is closed. Its listener must not refer to an attempt: that would live as long. */
    private void count(Endpoint endpoint, Channel channel) {
        connectionCount++;
        endpoint.connectionCount++;
        channel.closeFuture().addListener(f -> {
            connectionCount--;
            endpoint.connectionCount--;
        });
    }

    /** Closes the least recently used idle connection to an endpoint if its connection limit rules out a new one. */
    private static void makeRoomForNewConnection(Endpoint endpoint) {
        Connection oldest = endpoint.idleConnections.peekLast();
        if (oldest != null && endpoint.connectionCount >= endpoint.maxConnections) {
            oldest.close();
        }
    }

    /** One attempt to send a request to one endpoint, until its outcome is known. */
    public final class Attempt {
        private final Endpoint endpoint;
        private final OutgoingRequest request;
        private final long deadlineNanos;
        private final BooleanSupplier stillWanted;
        private final ResponseHandler responseHandler;
        private final CompletionListener listener;
        private final ScheduledFuture<?> timer;
        private ChannelFuture connectFuture;
        private Connection connection;
        private ChannelFuture writeFuture;
        private int newConnections;
        private boolean cautious;
        private boolean stale;
        private long idleNanos;
        private long writtenAtNanos;
        /** Whether the present connection was taken from the pool. */
        private boolean reused;
        /** The size of the request's head, and how much of the request the present connection has taken. */
        private int headBytes = Integer.MAX_VALUE;

        private long writtenBytes;
        private boolean ended;

        private Attempt(
                Endpoint endpoint,
                OutgoingRequest request,
                long timeoutUs,
                BooleanSupplier stillWanted,
                ResponseHandler responseHandler,
                CompletionListener listener) {
            this.endpoint = endpoint;
            this.request = request;
            this.stillWanted = stillWanted;
            this.responseHandler = responseHandler;
            this.listener = listener;
            this.deadlineNanos = System.nanoTime() + timeoutUs * 1000;
            this.timer = loop.schedule(this::onTimeout, timeoutUs, TimeUnit.MICROSECONDS);
        }

        /** Starts with any connection; the listener may be called before this returns. */
        public void start() {
            start(Reuse.ANY);
        }

        /** Starts with a connection of the given kind; the listener may be called before this returns. */
        public void start(Reuse reuse) {
            cautious = reuse == Reuse.RECENT;
            if (reuse == Reuse.NONE) {
                makeRoomForNewConnection(endpoint);
            }
            Connection reused = acquireIdle(endpoint, reuse);
            if (reused != null) {
                idleNanos = System.nanoTime() - reused.idleSinceNanos;
                write(reused, true);
            } else {
                connect();
            }
        }

        private void connect() {
            if (endpoint.connectionCount >= endpoint.maxConnections) {
                finish(Outcome.IGNORED, null);
                return;
            }
            if (connectionCount >= maxConnections && !idleConnections.isEmpty()) {
                idleConnections.iterator().next().close();
            }
            Connection newConnection;
            try {
                newConnection = new Connection(endpoint);
            } catch (ChannelException noDescriptor) {
                finish(Outcome.CONNECT_ERROR, null);
                return;
            }
            ChannelFuture future = bootstrap
                    .clone()
                    .channelFactory(() -> newConnection.channel)
                    .handler(newConnection.pipeline())
                    .connect(endpoint.address);
            newConnections++;
            count(endpoint, future.channel());
            connectFuture = future;
            future.addListener(f -> {
                if (ended) {
                    future.channel().close();
                } else if (f.isSuccess()) {
                    write(newConnection, false);
                } else if (isConnectionReset(f.cause()) && newConnections < MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
            });
        }

        /**
         * Writes the request; the only place that does. While the connection was being established the endpoint may have started
         * to drain, the request may have ended, or its deadline may have passed if this process was suspended: then nothing is
         * written, and the outcome is {@code IGNORED}. What a failed write means is decided when the connection is lost: what has
         * been received before that is read first.
         */
        private void write(Connection acquired, boolean fromPool) {
            connection = acquired;
            reused = fromPool;
            connectFuture = null;
            writtenAtNanos = System.nanoTime();
            long remainingNanos = deadlineNanos - writtenAtNanos;
            if (!endpoint.ready || !stillWanted.getAsBoolean() || remainingNanos <= 0) {
                finish(Outcome.IGNORED, null);
                return;
            }
            acquired.current = this;
            EncodedRequest encoded = request.encode(Math.max(1, remainingNanos / NANOS_PER_MS));
            headBytes = encoded.headBytes();
            writtenBytes = 0;
            ChannelProgressivePromise written = acquired.channel.newProgressivePromise();
            written.addListener(new ChannelProgressiveFutureListener() {
                @Override
                public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
                    onBytesWritten(acquired, progress);
                }

                @Override
                public void operationComplete(ChannelProgressiveFuture future) {
                    if (future.isSuccess()) {
                        onBytesWritten(acquired, encoded.headBytes());
                    }
                }
            });
            writeFuture = acquired.channel.writeAndFlush(encoded.bytes(), written);
        }

        private void onBytesWritten(Connection target, long bytes) {
            if (connection == target) {
                writtenBytes = Math.max(writtenBytes, bytes);
            }
        }

        private RequestProgress progress() {
            boolean responding = connection != null && connection.hasResponseStarted();
            return RequestProgress.of(writtenBytes, headBytes, responding);
        }

        /** Resumes reading after {@link ResponseHandler#onChunk} returned false. */
        public void resumeReading() {
            if (connection != null) {
                connection.channel.config().setAutoRead(true);
            }
        }

        private boolean isHeadRequest() {
            return request.method().equals("HEAD");
        }

        /** Whether the reused connection was lost right after the write: the server had closed it while it was idle. */
        public boolean isStale() {
            return stale;
        }

        /** Cancels the attempt and closes its connection, so that the server can stop working on the request. */
        public void cancel() {
            finish(Outcome.CANCELED, null);
        }

        private void onTimeout() {
            finish(progress().onTimeout(), null);
        }

        /** Ends the attempt of a lost connection, or tries another one if nothing that could be executed was sent. */
        private void onConnectionLost() {
            RequestProgress progress = progress();
            stale = idleNanos > 0 && System.nanoTime() - writtenAtNanos < STALE_RESET_NANOS;
            updateIdleTimeout();
            if (progress.mayReconnect() && (reused || newConnections < MAX_NEW_CONNECTIONS)) {
                stale = false;
                idleNanos = 0;
                release();
                connect();
            } else {
                finish(progress.onConnectionLost(), null);
            }
        }

        /** Adjusts the idle timeout by whether the reused connection was stale. */
        private void updateIdleTimeout() {
            if (stale) {
                idleTimeout.onStale(System.nanoTime(), idleNanos);
            } else if (idleNanos > 0) {
                idleTimeout.onUsable(System.nanoTime(), idleNanos, cautious);
            }
        }

        /** Whether the server is reachable and only this connection was reset while it was established. */
        private static boolean isConnectionReset(Throwable cause) {
            return cause instanceof SocketException
                    && !(cause instanceof ConnectException)
                    && !(cause instanceof NoRouteToHostException);
        }

        private void release() {
            if (connection != null) {
                connection.current = null;
                connection.close();
                connection = null;
                writeFuture = null;
                writtenBytes = 0;
            } else if (connectFuture != null) {
                connectFuture.channel().close();
            }
        }

        /** Ends the attempt. Closes its connection before calling the listener, which may start another attempt. */
        private void finish(Outcome outcome, Response response) {
            if (ended) {
                return;
            }
            ended = true;
            timer.cancel(false);
            release();
            listener.onComplete(outcome, response);
        }
    }

    /** A channel that can be checked for input or a close that the event loop has not processed yet. */
    private static final class PeekableChannel extends NioSocketChannel {
        /** Whether the connection is open without unread input. Input that is found is consumed: the channel must be closed. */
        boolean hasNoInput() {
            try {
                return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One connection to an endpoint: in use by one attempt, idle in the pool, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final PeekableChannel channel = new PeekableChannel();
        private final ByteBuf body = BUFFERS.buffer(BODY_BUFFER_BYTES);
        private Attempt current;
        private long idleSinceNanos;
        /** Idle timeout derived from the server's Keep-Alive header. */
        private long keepAliveNanos = Long.MAX_VALUE;

        private HttpResponse head;
        private int interimResponses;
        private boolean reusable = true;
        private Outcome outcome;
        private Response fullResponse;
        /** Whether the body of the current response is passed to the handler in chunks. */
        private boolean streaming;
        /** Whether the current response belongs to an earlier request and is discarded. */
        private boolean skippingResponse;

        /** Closes the connection on input while no request is in flight. */
        private final HttpFraming.ResponseDecoder decoder = new HttpFraming.ResponseDecoder() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object in) throws Exception {
                if (current == null) {
                    ReferenceCountUtil.release(in);
                    ctx.close();
                } else {
                    super.channelRead(ctx, in);
                }
            }

            @Override
            protected boolean isContentAlwaysEmpty(HttpMessage message) {
                return current != null && current.isHeadRequest() || super.isContentAlwaysEmpty(message);
            }
        };

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(decoder, Connection.this);
                }
            };
        }

        /** Whether a response, interim or final, has begun since the request was written. */
        boolean hasResponseStarted() {
            return head != null;
        }

        void removeFromIdle() {
            if (idleConnections.remove(this)) {
                endpoint.idleConnections.remove(this);
            }
        }

        boolean idleTooLong(long now) {
            return now - idleSinceNanos > Math.min(keepAliveNanos, idleTimeout.nanos());
        }

        void close() {
            removeFromIdle();
            channel.close();
        }

        /**
         * Accepts a successful response only if it declares its length; the codec would also accept one that ends with the
         * connection, or that has two lengths. A request whose response is rejected may still have been executed.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (current == null) {
                return;
            }
            if (outcome != null) {
                reusable = false;
                return;
            }
            if (message.decoderResult().isFailure()) {
                rejectResponse();
                return;
            }
            if (message instanceof HttpResponse response) {
                onResponseHead(response);
                if (outcome != null) {
                    return;
                }
            }
            if (message instanceof HttpContent content && head.status().code() >= 200) {
                if (skippingResponse) {
                    skippingResponse = !(message instanceof LastHttpContent);
                    return;
                }
                if (streaming) {
                    if (content.content().isReadable() && !current.responseHandler.onChunk(content.content())) {
                        channel.config().setAutoRead(false);
                    }
                    if (message instanceof LastHttpContent && current != null) {
                        completeResponse();
                    }
                    return;
                }
                if (body.readableBytes() + content.content().readableBytes() > current.responseHandler.maxBodyBytes()) {
                    rejectResponse();
                    return;
                }
                body.writeBytes(content.content());
                if (message instanceof LastHttpContent) {
                    completeResponse();
                }
            }
        }

        private void onResponseHead(HttpResponse response) {
            head = response;
            int status = response.status().code();
            boolean allowedInterim = status < 200 && status != 101 && ++interimResponses <= MAX_INTERIM_RESPONSES;
            boolean lengthDeclared = current.isHeadRequest() || HttpFraming.declaresLength(response.headers());
            boolean successful = status >= 200 && status < 300;
            if (!HttpFraming.isUnambiguous(response)
                    || status < 200 && !allowedInterim
                    || successful && !lengthDeclared) {
                rejectResponse();
            } else if (status >= 200 && !belongsToCurrent(response, lengthDeclared)) {
                return;
            } else if (successful && current.responseHandler.streamsBody(response)) {
                streaming = true;
            } else if (HttpFraming.exceedsLength(response.headers(), current.responseHandler.maxBodyBytes())) {
                rejectResponse();
            } else if (status > 200 && !lengthDeclared) {
                completeResponse();
                reusable = false;
            }
        }

        /**
         * Whether the response belongs to the request in flight. A response to an earlier request can be skipped only if its
         * length is declared.
         */
        private boolean belongsToCurrent(HttpResponse response, boolean lengthDeclared) {
            ResponseMatch match = current.responseHandler.match(response);
            if (match == ResponseMatch.EARLIER && lengthDeclared) {
                skippingResponse = true;
            } else if (match != ResponseMatch.CURRENT) {
                rejectResponse();
            }
            return match == ResponseMatch.CURRENT;
        }

        private void rejectResponse() {
            outcome = Outcome.FAILED;
            reusable = false;
        }

        /** Keeps the response until the read is complete, because unsolicited input after it makes the connection unusable. */
        private void completeResponse() {
            outcome = current.responseHandler.outcome(head);
            reusable = HttpUtil.isKeepAlive(head) && current.writeFuture.isSuccess();
            long keepAliveSeconds = HttpFraming.keepAliveSeconds(head.headers());
            keepAliveNanos =
                    keepAliveSeconds < 0 ? Long.MAX_VALUE : (long) (IDLE_TIMEOUT_FRACTION * 1e9 * keepAliveSeconds);
            if (outcome == Outcome.OK || current.responseHandler.wantsErrorBody()) {
                byte[] bytes = new byte[body.readableBytes()];
                body.readBytes(bytes);
                fullResponse = new Response(
                        bytes,
                        head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                        current.responseHandler.wantsErrorBody() ? head.headers() : null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (outcome != null) {
                deliverResponse();
            }
        }

        private void deliverResponse() {
            Attempt attempt = current;
            Outcome attemptOutcome = outcome;
            Response response = fullResponse;
            current = null;
            head = null;
            outcome = null;
            fullResponse = null;
            interimResponses = 0;
            streaming = false;
            channel.config().setAutoRead(true);
            // A large buffer must not stay with a connection that rests in the pool.
            body.clear().capacity(BODY_BUFFER_BYTES);
            if (reusable && !decoder.hasBufferedInput() && endpoint.ready && channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                endpoint.idleConnections.push(this);
                idleConnections.add(this);
            } else {
                channel.close();
            }
            if (attempt != null) {
                attempt.updateIdleTimeout();
                attempt.connection = null;
                attempt.finish(attemptOutcome, response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            removeFromIdle();
            if (outcome != null) {
                deliverResponse();
            } else if (current != null) {
                current.onConnectionLost();
            }
        }

        /** An exception, such as a reset, ends only this connection and its attempt. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null && outcome == null) {
                current.onConnectionLost();
            }
            close();
        }
    }
}
