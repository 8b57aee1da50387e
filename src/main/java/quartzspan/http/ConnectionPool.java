package quartzspan.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
 * Connections to endpoints, one request at a time on each, and the attempts made on them. It retries nothing: an attempt is
 * written completely once at most, and ends exactly once, with the outcome that can be vouched for.
 *
 * <p>Owned by one event loop; all calls and callbacks are made on it. Example:
 *
 * <pre>
 * pool.attempt(endpoint, request, timeoutUs, () -> true, responseHandler, listener).start(Reuse.ANY);
 * </pre>
 */
public final class ConnectionPool {
    /** Fraction of the idle timeout after which this side closes first: a server closes after all of it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    private static final long SWEEP_INTERVAL_MS = 100;
    /** How long a connection stays idle after a response: unsolicited input that follows must not meet a new request. */
    private static final long MIN_IDLE_NANOS = 3_000_000;
    /** Interim responses (1xx) to one request; more of them are an error. */
    private static final int MAX_INTERIM_RESPONSES = 16;
    /** New connections for one attempt, as long as they are reset before the request is written completely. */
    private static final int MAX_NEW_CONNECTIONS = 3;
    /**
     * A connection that is reset this soon after a request was written to it had been stale: its server had closed it while it
     * was idle, without a sign.
     */
    private static final long STALE_RESET_NANOS = 20_000_000;

    /** Buffers count as heap, which is bounded once and for all, and need no pool at this traffic. */
    public static final UnpooledByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(false);

    /** The meaning of servers' responses where the caller gives no handler. */
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
    /** Idle connections to all endpoints, the longest idle first. */
    private final LinkedHashSet<Connection> idleConnections = new LinkedHashSet<>();

    private int connectionCount;

    /**
     * An empty pool.
     *
     * @param dialTimeoutUs time within which a connection must be established
     * @param connIdleUs time after which servers close idle connections
     * @param maxConnections connections to all servers at once
     */
    public ConnectionPool(EventLoop loop, long dialTimeoutUs, long connIdleUs, int maxConnections) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.idleTimeout = new IdleTimeout((long) (connIdleUs * 1000 * IDLE_TIMEOUT_FRACTION));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /**
     * From now on closing a connection discards what the other side has not received yet. A request that was abandoned can't
     * arrive late then, after a partition.
     */
    public void discardUnsentOnClose() {
        bootstrap.option(ChannelOption.SO_LINGER, 0);
    }

    /** Closes connections that have been idle for long, from now on. */
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

    /** A server as last listed by discovery. */
    public static final class Endpoint {
        /** No bound of connections but that of all together. */
        public static final int UNBOUNDED = Integer.MAX_VALUE;

        final String id;
        InetSocketAddress address;
        boolean ready;
        /** Connections of this process that it may have at once. */
        private int maxConnections = UNBOUNDED;

        private int connectionCount;
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();

        public Endpoint(String id) {
            this.id = id;
        }

        public String id() {
            return id;
        }

        /** Where it is reached; null before it is listed. */
        public InetSocketAddress address() {
            return address;
        }

        /** From now on nothing more is sent to it. */
        public void drain() {
            ready = false;
        }

        /** Updates what is known of it. */
        public void update(InetSocketAddress address, boolean ready, int maxConnections) {
            this.address = address;
            this.ready = ready;
            this.maxConnections = maxConnections;
        }

        /** Whether a connection to it is at hand. */
        public boolean isConnected() {
            return !idleConnections.isEmpty();
        }

        /** Whether a connection is at hand or may be made. */
        public boolean isReachable() {
            return !idleConnections.isEmpty() || connectionCount < maxConnections;
        }
    }

    /** A complete response; {@code headers} where the handler wants error bodies, else null. */
    public record Response(byte[] body, String contentType, HttpHeaders headers) {
        /** A response without a body. */
        public static final Response EMPTY = new Response(new byte[0], null, null);
    }

    /** Called once when an attempt ends; {@code response} is null unless there is a response to pass on. */
    public interface CompletionListener {
        void onComplete(Outcome outcome, Response response);
    }

    /** Which request a response belongs to that came while one was in flight. */
    public enum ResponseMatch {
        /** To the request in flight. */
        CURRENT,
        /** To an earlier request: it is skipped, and the current one is still to come. */
        EARLIER,
        /** Unknown: the connection is closed, and the request in flight may have been executed. */
        UNKNOWN
    }

    /** Interprets responses, and takes bodies as they come. */
    public interface ResponseHandler {
        Outcome outcome(HttpResponse head);

        /** Which request a final (not 1xx) response belongs to. */
        default ResponseMatch match(HttpResponse head) {
            return ResponseMatch.CURRENT;
        }

        /** The head of a response; true if its body is to come in chunks, to {@link #onChunk}. */
        default boolean streamsBody(HttpResponse head) {
            return false;
        }

        /** A chunk of the body; the caller keeps ownership of the buffer. False to stop reading until {@link Attempt#resumeReading}. */
        default boolean onChunk(ByteBuf bytes) {
            return true;
        }

        /** Whether responses other than 2xx come with headers and body. */
        default boolean wantsErrorBody() {
            return false;
        }
    }

    /**
     * An attempt, to be started at once.
     *
     * @param stillWanted whether the request still waits for a response
     */
    public Attempt attempt(
            Endpoint endpoint,
            OutgoingRequest request,
            long timeoutUs,
            BooleanSupplier stillWanted,
            CompletionListener listener) {
        return attempt(endpoint, request, timeoutUs, stillWanted, DEFAULT_HANDLER, listener);
    }

    /** An attempt with a handler of its own. */
    public Attempt attempt(
            Endpoint endpoint,
            OutgoingRequest request,
            long timeoutUs,
            BooleanSupplier stillWanted,
            ResponseHandler responseHandler,
            CompletionListener listener) {
        return new Attempt(endpoint, request, timeoutUs, stillWanted, responseHandler, listener);
    }

    /** Closes the idle connections to an endpoint; those in use close after their response. */
    public void closeIdle(Endpoint endpoint) {
        for (Connection connection; (connection = endpoint.idleConnections.peek()) != null; ) {
            connection.close();
        }
    }

    /** Which connections a request may be written to. */
    public enum Reuse {
        /** Any that is at hand. */
        ANY,
        /** One that was idle for a short time only, else a new one: the request is lost if its connection turns out to be stale. */
        RECENT,
        /** A new one: no response to an earlier request can come on it. */
        NONE
    }

    /** The most recently used idle connection that shows no input; null if there is none. */
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

    /** One request written to one server, until its end. */
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
            this.timer = loop.schedule(() -> abandon(Outcome.TIMED_OUT), timeoutUs, TimeUnit.MICROSECONDS);
        }

        /** Starts with any connection; the listener may be called before this returns. */
        public void start() {
            start(Reuse.ANY);
        }

        /** Starts with a connection of the given kind; the listener may be called before this returns. */
        public void start(Reuse reuse) {
            cautious = reuse == Reuse.RECENT;
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
            connectionCount++;
            endpoint.connectionCount++;
            future.channel().closeFuture().addListener(f -> {
                connectionCount--;
                endpoint.connectionCount--;
            });
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
         * The one place where a request is written. While the connection was established the endpoint may have started to
         * drain, the request may have ended, or its deadline may have passed if this process was frozen: then nothing is
         * written, and that is known. A connection that does not take all of it says little about the server: a new one is
         * tried.
         */
        private void write(Connection acquired, boolean reused) {
            connection = acquired;
            connectFuture = null;
            writtenAtNanos = System.nanoTime();
            long leftNanos = deadlineNanos - writtenAtNanos;
            if (!endpoint.ready || !stillWanted.getAsBoolean() || leftNanos <= 0) {
                finish(Outcome.IGNORED, null);
                return;
            }
            acquired.current = this;
            writeFuture = acquired.channel.writeAndFlush(request.encode(Math.max(1, leftNanos / 1_000_000)));
            writeFuture.addListener(f -> {
                boolean responded = acquired.current != this;
                if (f.isSuccess() || ended || responded) {
                    return;
                }
                if (reused || newConnections < MAX_NEW_CONNECTIONS) {
                    idleNanos = 0;
                    release();
                    connect();
                } else {
                    onConnectionLost();
                }
            });
        }

        /** Reads on after {@link ResponseHandler#onChunk} stopped it. */
        public void resumeReading() {
            if (connection != null) {
                connection.channel.config().setAutoRead(true);
            }
        }

        private boolean forHead() {
            return request.method().equals("HEAD");
        }

        /** Whether its pooled connection was reset at once: the server had closed it while it was idle. */
        public boolean isStale() {
            return stale;
        }

        /** Whether the complete request was written. */
        public boolean sent() {
            return writeFuture != null && writeFuture.isSuccess();
        }

        /** Stops waiting: the connection is closed, so that the server stops too. */
        public void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            boolean completelyWritten = writeFuture != null && writeFuture.isSuccess();
            finish(outcome == Outcome.TIMED_OUT && !completelyWritten ? Outcome.CONNECT_ERROR : outcome, null);
        }

        /** The connection is lost. Only if the last byte was not written the request was surely not executed. */
        private void onConnectionLost() {
            stale = idleNanos > 0 && System.nanoTime() - writtenAtNanos < STALE_RESET_NANOS;
            updateIdleTimeout();
            finish(writeFuture.isSuccess() ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** Learns from a reused connection whether it had been idle for too long. */
        private void updateIdleTimeout() {
            if (stale) {
                idleTimeout.onStale(System.nanoTime(), idleNanos);
            } else if (idleNanos > 0) {
                idleTimeout.onUsable(System.nanoTime(), idleNanos, cautious);
            }
        }

        /** Whether the server is there and refused this connection only. */
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
            } else if (connectFuture != null) {
                connectFuture.channel().close();
            }
        }

        /** Closes the attempt's connection before the listener is called, which may start another attempt. */
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

    /** A socket that can be checked for input: the loop may not have seen it yet. */
    private static final class PeekableChannel extends NioSocketChannel {
        boolean hasNoInput() {
            try {
                return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One connection to an endpoint: in use by one attempt, or idle in the pool, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final PeekableChannel channel = new PeekableChannel();
        private final ByteBuf body = BUFFERS.buffer();
        private Attempt current;
        private long idleSinceNanos;
        /** How long it may be idle by the server's Keep-Alive header. */
        private long keepAliveNanos = Long.MAX_VALUE;

        private HttpResponse head;
        private int interimResponses;
        private boolean reusable = true;
        private Outcome outcome;
        private Response fullResponse;
        /** Whether the body of the current response goes to its handler in chunks. */
        private boolean streaming;
        /** Whether the current response belongs to an earlier request. */
        private boolean skippingResponse;

        /** Input while no request is in flight belongs to no request: it closes the connection. */
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
                return current != null && current.forHead() || super.isContentAlwaysEmpty(message);
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
         * A response is complete only if it states its length; the codec would also accept one that ends with its connection,
         * or has two lengths. A request whose response can't be read may have been executed all the same.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) {
            if (current == null) {
                return;
            }
            if (outcome != null) {
                reusable = false;
                return;
            }
            if (in.decoderResult().isFailure()) {
                rejectResponse();
                return;
            }
            if (in instanceof HttpResponse response) {
                onResponseHead(response);
                if (outcome != null) {
                    return;
                }
            }
            if (in instanceof HttpContent content && head.status().code() >= 200) {
                if (skippingResponse) {
                    skippingResponse = !(in instanceof LastHttpContent);
                    return;
                }
                if (streaming) {
                    if (content.content().isReadable() && !current.responseHandler.onChunk(content.content())) {
                        channel.config().setAutoRead(false);
                    }
                    if (in instanceof LastHttpContent && current != null) {
                        completeResponse();
                    }
                    return;
                }
                if (body.readableBytes() + content.content().readableBytes() > HttpFraming.MAX_BODY_BYTES) {
                    rejectResponse();
                    return;
                }
                body.writeBytes(content.content());
                if (in instanceof LastHttpContent) {
                    completeResponse();
                }
            }
        }

        private void onResponseHead(HttpResponse response) {
            head = response;
            int status = response.status().code();
            boolean allowedInterim = status < 200 && status != 101 && ++interimResponses <= MAX_INTERIM_RESPONSES;
            boolean lengthDeclared = current.forHead() || HttpFraming.declaresLength(response.headers());
            boolean successful = status >= 200 && status < 300;
            if (!HttpFraming.isUnambiguous(response)
                    || status < 200 && !allowedInterim
                    || successful && !lengthDeclared) {
                rejectResponse();
            } else if (status >= 200 && !belongsToCurrent(response, lengthDeclared)) {
                return;
            } else if (successful && current.responseHandler.streamsBody(response)) {
                streaming = true;
            } else if (HttpFraming.exceedsLength(response.headers(), HttpFraming.MAX_BODY_BYTES)) {
                rejectResponse();
            } else if (status > 200 && !lengthDeclared) {
                completeResponse();
                reusable = false;
            }
        }

        /** Whether the response belongs to the request in flight; an earlier one's can be skipped only if its end is known. */
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

        /** Keeps the response until the read is complete: unsolicited input that follows it closes the connection. */
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
            outcome = null;
            fullResponse = null;
            interimResponses = 0;
            streaming = false;
            channel.config().setAutoRead(true);
            body.clear();
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

        /** A reset, for instance: it costs this connection and its attempt only. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null && outcome == null) {
                current.onConnectionLost();
            }
            close();
        }
    }
}
