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
 * Connections to hosts, one request at a time on each, and the attempts made on them. It resends nothing:
 * an attempt is written whole once at most, and ends exactly once, with the outcome that can be vouched for.
 */
public final class ConnectionPool {
    /** Part of the settings' idle time after which we close first: a host closes at the whole of it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    private static final long SWEEP_INTERVAL_MS = 100;
    /** How long a connection rests after an answer: what follows that unasked must not meet a new request. */
    private static final long MIN_IDLE_NANOS = 3_000_000;
    /** Interim answers (1xx) to one request; more of them is noise. */
    private static final int MAX_INTERIM_RESPONSES = 16;
    /** Fresh connections to one attempt, as long as they are reset before a request is written whole. */
    private static final int MAX_NEW_CONNECTIONS = 3;
    /**
     * A connection that is reset this soon after a request was written to it had been stale: its host forgot it while it
     * was idle, and did not tell.
     */
    private static final long STALE_RESET_NANOS = 20_000_000;

    /** Buffers count as heap, which is bounded once and for all, and need no pool at this traffic. */
    public static final UnpooledByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(false);

    /** What hosts' answers mean. */
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
    private final IdleTimeout idleLimit;
    private final int maxConnections;
    /** Idle connections to all hosts, the longest idle first. */
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

    private int connections;

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
        this.idleLimit = new IdleTimeout((long) (connIdleUs * 1000 * IDLE_TIMEOUT_FRACTION));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /**
     * From now on a connection that is closed takes with it what the other side has not read yet. A request that was given up
     * then can't arrive late, when a link has healed.
     */
    public void discardUnsentOnClose() {
        bootstrap.option(ChannelOption.SO_LINGER, 0);
    }

    /** Closes what has been idle for long, from now on. */
    public void begin() {
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    idle.stream().filter(c -> c.idleTooLong(now)).toList().forEach(Connection::close);
                },
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** A host as last listed; all fields are discovery's to set. */
    public static final class Endpoint {
        /** No bound of connections but that of all together. */
        public static final int UNBOUNDED = Integer.MAX_VALUE;

        final String id;
        InetSocketAddress address;
        boolean ready;
        /** Connections it may have of us at once. */
        private int most = UNBOUNDED;

        private int made;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

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

        /** What was heard of it. */
        public void listed(InetSocketAddress at, boolean isReady, int maxConnections) {
            address = at;
            ready = isReady;
            most = maxConnections;
        }

        /** Whether a connection to it is at hand. */
        public boolean connected() {
            return !idle.isEmpty();
        }

        /** Whether a connection is at hand or may be made. */
        public boolean reachable() {
            return !idle.isEmpty() || made < most;
        }
    }

    /** A host's whole answer; {@code headers} where the reading asks for them, else null. */
    public record Response(byte[] body, String contentType, HttpHeaders headers) {
        /** An answer without a body. */
        public static final Response EMPTY = new Response(new byte[0], null, null);
    }

    /** Told once how an attempt ended; {@code answer} is null unless there is one to pass on. */
    public interface CompletionListener {
        void ended(Outcome outcome, Response answer);
    }

    /** Whose answer it is that came while a request was open. */
    public enum ResponseMatch {
        /** The open request's. */
        OURS,
        /** An earlier request's, late: it is passed over, and the open one's is still to come. */
        EARLIER,
        /** Nobody can tell: the connection is closed, and the open request may have run. */
        UNKNOWN
    }

    /** What an answer means, and whether its body is wanted as it comes. */
    public interface ResponseHandler {
        Outcome outcome(HttpResponse head);

        /** Whose answer a final (not 1xx) head begins. */
        default ResponseMatch match(HttpResponse head) {
            return ResponseMatch.OURS;
        }

        /** The head of an answer; true if its body is to come in pieces, to {@link #piece}. */
        default boolean streams(HttpResponse head) {
            return false;
        }

        /** A piece of the body; the buffer is the caller's. False to read no more until told. */
        default boolean piece(ByteBuf bytes) {
            return true;
        }

        /** Whether answers that are no 2xx come with headers and body. */
        default boolean whole() {
            return false;
        }
    }

    /**
     * An attempt, to be started at once.
     *
     * @param wanted whether the request still waits for an answer
     */
    public Attempt attempt(
            Endpoint endpoint, OutgoingRequest call, long timeoutUs, BooleanSupplier wanted, CompletionListener end) {
        return attempt(endpoint, call, timeoutUs, wanted, DEFAULT_HANDLER, end);
    }

    /** An attempt whose answer is read in a way of its own. */
    public Attempt attempt(
            Endpoint endpoint,
            OutgoingRequest call,
            long timeoutUs,
            BooleanSupplier wanted,
            ResponseHandler responseHandler,
            CompletionListener end) {
        return new Attempt(endpoint, call, timeoutUs, wanted, responseHandler, end);
    }

    /** Closes the idle connections to a host; those in use close after their answer. */
    public void closeIdle(Endpoint endpoint) {
        for (Connection c; (c = endpoint.idle.peek()) != null; ) {
            c.close();
        }
    }

    /** Which connections a request may be written to. */
    public enum Reuse {
        /** Any that is at hand. */
        ANY,
        /** One that has hardly been idle, else a new one: the request is lost if its connection turns out to be stale. */
        RECENT,
        /** A new one: nothing that was asked for before can be answered on it. */
        NONE
    }

    /** The last used of the idle connections that have rested and show nothing; null if none will do. */
    private Connection rested(Endpoint endpoint, Reuse reuse) {
        if (reuse == Reuse.NONE) {
            return null;
        }
        long now = System.nanoTime();
        long limit = reuse == Reuse.RECENT ? idleLimit.cautiousNanos() : idleLimit.nanos();
        Connection older = null;
        for (Connection c : List.copyOf(endpoint.idle)) {
            long idleFor = now - c.idleAt;
            if (idleFor <= MIN_IDLE_NANOS) {
                continue;
            }
            if (c.idleTooLong(now) || !c.channel.untouched()) {
                c.close();
            } else if (idleFor <= limit) {
                c.leaveIdle();
                return c;
            } else if (older == null) {
                older = c;
            }
        }
        if (older != null && endpoint.made >= endpoint.most) {
            older.leaveIdle();
            return older;
        }
        return null;
    }

    /** One request written to one server, up to its one end. */
    public final class Attempt {
        private final Endpoint endpoint;
        private final OutgoingRequest call;
        private final long endNanos;
        private final BooleanSupplier wanted;
        private final ResponseHandler responseHandler;
        private final CompletionListener end;
        private final ScheduledFuture<?> timer;
        private ChannelFuture connecting;
        private Connection connection;
        private ChannelFuture written;
        private int fresh;
        private boolean cautious;
        private boolean stale;
        private long idleFor;
        private long writtenAt;
        private boolean over;

        private Attempt(
                Endpoint endpoint,
                OutgoingRequest call,
                long timeoutUs,
                BooleanSupplier wanted,
                ResponseHandler responseHandler,
                CompletionListener end) {
            this.endpoint = endpoint;
            this.call = call;
            this.wanted = wanted;
            this.responseHandler = responseHandler;
            this.end = end;
            this.endNanos = System.nanoTime() + timeoutUs * 1000;
            this.timer = loop.schedule(() -> abandon(Outcome.TIMED_OUT), timeoutUs, TimeUnit.MICROSECONDS);
        }

        /** The end may be told before this returns. */
        public void start() {
            start(Reuse.ANY);
        }

        /** The same, with a say in which connection is used. */
        public void start(Reuse reuse) {
            cautious = reuse == Reuse.RECENT;
            Connection reused = rested(endpoint, reuse);
            if (reused != null) {
                idleFor = System.nanoTime() - reused.idleAt;
                write(reused, true);
            } else {
                connect();
            }
        }

        private void connect() {
            if (endpoint.made >= endpoint.most) {
                finish(Outcome.IGNORED, null);
                return;
            }
            if (connections >= maxConnections && !idle.isEmpty()) {
                idle.iterator().next().close();
            }
            Connection made;
            try {
                made = new Connection(endpoint);
            } catch (ChannelException noDescriptor) {
                finish(Outcome.CONNECT_ERROR, null);
                return;
            }
            ChannelFuture up = bootstrap
                    .clone()
                    .channelFactory(() -> made.channel)
                    .handler(made.pipeline())
                    .connect(endpoint.address);
            fresh++;
            connections++;
            endpoint.made++;
            up.channel().closeFuture().addListener(f -> {
                connections--;
                endpoint.made--;
            });
            connecting = up;
            up.addListener(f -> {
                if (over) {
                    up.channel().close();
                } else if (f.isSuccess()) {
                    write(made, false);
                } else if (resetAtOnce(f.cause()) && fresh < MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
            });
        }

        /**
         * The one place where a request goes out. While the connection came up the host may have been told
         * to drain, the request may have ended, or its time may have passed if this process stood still: then nothing is
         * written, and that is known. A connection that does not take the whole of it says little of the host: a fresh one
         * is tried.
         */
        private void write(Connection c, boolean reused) {
            connection = c;
            connecting = null;
            writtenAt = System.nanoTime();
            long leftNanos = endNanos - writtenAt;
            if (!endpoint.ready || !wanted.getAsBoolean() || leftNanos <= 0) {
                finish(Outcome.IGNORED, null);
                return;
            }
            c.current = this;
            written = c.channel.writeAndFlush(call.encode(Math.max(1, leftNanos / 1_000_000)));
            written.addListener(f -> {
                boolean answered = c.current != this;
                if (f.isSuccess() || over || answered) {
                    return;
                }
                if (reused || fresh < MAX_NEW_CONNECTIONS) {
                    idleFor = 0;
                    release();
                    connect();
                } else {
                    broken();
                }
            });
        }

        /** Reads on after {@link Reading#piece} asked not to. */
        public void resumeReading() {
            if (connection != null) {
                connection.channel.config().setAutoRead(true);
            }
        }

        private boolean forHead() {
            return call.method().equals("HEAD");
        }

        /** Whether its connection, which had been kept, was reset at once: its host had forgotten it while it was idle. */
        public boolean stale() {
            return stale;
        }

        /** Whether the whole request has gone out. */
        public boolean sent() {
            return written != null && written.isSuccess();
        }

        /** Stops waiting: the connection goes with the attempt, so that the host stops too. */
        public void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            boolean whole = written != null && written.isSuccess();
            finish(outcome == Outcome.TIMED_OUT && !whole ? Outcome.CONNECT_ERROR : outcome, null);
        }

        /** The connection is gone. Only if the write did not reach the last byte has it surely not run. */
        private void broken() {
            stale = idleFor > 0 && System.nanoTime() - writtenAt < STALE_RESET_NANOS;
            learnIdle();
            finish(written.isSuccess() ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** What a reused connection taught: it had been idle for too long, or not. */
        private void learnIdle() {
            if (stale) {
                idleLimit.stale(System.nanoTime(), idleFor);
            } else if (idleFor > 0) {
                idleLimit.good(System.nanoTime(), idleFor, cautious);
            }
        }

        /** Whether something is there that would not have this connection: then the host is not away. */
        private static boolean resetAtOnce(Throwable cause) {
            return cause instanceof SocketException
                    && !(cause instanceof ConnectException)
                    && !(cause instanceof NoRouteToHostException);
        }

        private void release() {
            if (connection != null) {
                connection.current = null;
                connection.close();
                connection = null;
                written = null;
            } else if (connecting != null) {
                connecting.channel().close();
            }
        }

        /** Closes what the attempt still holds before its end is told: what follows may be another. */
        private void finish(Outcome outcome, Response answer) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            release();
            end.ended(outcome, answer);
        }
    }

    /** A socket that can be asked whether anything has come: the loop may not have seen it yet. */
    private static final class HostChannel extends NioSocketChannel {
        boolean untouched() {
            try {
                return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One connection to a host: busy with one attempt, or idle in its host's list, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final HostChannel channel = new HostChannel();
        private final ByteBuf body = BUFFERS.buffer();
        private Attempt current;
        private long idleAt;
        /** How long it may be idle by its host's word. */
        private long keepNanos = Long.MAX_VALUE;

        private HttpResponse head;
        private int interim;
        private boolean reusable = true;
        private Outcome outcome;
        private Response answer;
        /** Whether the answer at hand goes on in pieces. */
        private boolean streaming;
        /** Whether the answer at hand belongs to an earlier request. */
        private boolean passedOver;

        /** What comes while nothing is asked belongs to no request, read to its end or not. */
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
            protected boolean isContentAlwaysEmpty(HttpMessage answer) {
                return current != null && current.forHead() || super.isContentAlwaysEmpty(answer);
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

        void leaveIdle() {
            if (idle.remove(this)) {
                endpoint.idle.remove(this);
            }
        }

        boolean idleTooLong(long now) {
            return now - idleAt > Math.min(keepNanos, idleLimit.nanos());
        }

        void close() {
            leaveIdle();
            channel.close();
        }

        /**
         * An answer is served only if it is whole by its own word; the codec would also take as whole what
         * ends with its connection, or has two lengths. What can't be read may have run all the same.
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
                spoilt();
                return;
            }
            if (in instanceof HttpResponse response) {
                begin(response);
                if (outcome != null) {
                    return;
                }
            }
            if (in instanceof HttpContent content && head.status().code() >= 200) {
                if (passedOver) {
                    passedOver = !(in instanceof LastHttpContent);
                    return;
                }
                if (streaming) {
                    if (content.content().isReadable() && !current.responseHandler.piece(content.content())) {
                        channel.config().setAutoRead(false);
                    }
                    if (in instanceof LastHttpContent && current != null) {
                        whole();
                    }
                    return;
                }
                if (body.readableBytes() + content.content().readableBytes() > HttpFraming.MAX_BODY_BYTES) {
                    spoilt();
                    return;
                }
                body.writeBytes(content.content());
                if (in instanceof LastHttpContent) {
                    whole();
                }
            }
        }

        private void begin(HttpResponse response) {
            head = response;
            int status = response.status().code();
            boolean interimToo = status < 200 && status != 101 && ++interim <= MAX_INTERIM_RESPONSES;
            boolean stated = current.forHead() || HttpFraming.statesLength(response.headers());
            boolean good = status >= 200 && status < 300;
            if (!HttpFraming.sound(response) || status < 200 && !interimToo || good && !stated) {
                spoilt();
            } else if (status >= 200 && !ours(response, stated)) {
                return;
            } else if (good && current.responseHandler.streams(response)) {
                streaming = true;
            } else if (HttpFraming.tooLong(response.headers(), HttpFraming.MAX_BODY_BYTES)) {
                spoilt();
            } else if (status > 200 && !stated) {
                whole();
                reusable = false;
            }
        }

        /** Whether the answer is the open request's; an earlier one's can be passed over only if its end is known. */
        private boolean ours(HttpResponse response, boolean stated) {
            ResponseMatch match = current.responseHandler.match(response);
            if (match == ResponseMatch.EARLIER && stated) {
                passedOver = true;
            } else if (match != ResponseMatch.OURS) {
                spoilt();
            }
            return match == ResponseMatch.OURS;
        }

        private void spoilt() {
            outcome = Outcome.FAILED;
            reusable = false;
        }

        /** Keeps the answer until the read is over: what follows it unasked ends the connection. */
        private void whole() {
            outcome = current.responseHandler.outcome(head);
            reusable = HttpUtil.isKeepAlive(head) && current.written.isSuccess();
            long keepS = HttpFraming.keepAliveSeconds(head.headers());
            keepNanos = keepS < 0 ? Long.MAX_VALUE : (long) (IDLE_TIMEOUT_FRACTION * 1e9 * keepS);
            if (outcome == Outcome.OK || current.responseHandler.whole()) {
                byte[] bytes = new byte[body.readableBytes()];
                body.readBytes(bytes);
                answer = new Response(
                        bytes,
                        head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                        current.responseHandler.whole() ? head.headers() : null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (outcome != null) {
                deliver();
            }
        }

        private void deliver() {
            Attempt ended = current;
            Outcome how = outcome;
            Response what = answer;
            current = null;
            outcome = null;
            answer = null;
            interim = 0;
            streaming = false;
            channel.config().setAutoRead(true);
            body.clear();
            if (reusable && !decoder.holdsMore() && endpoint.ready && channel.isActive()) {
                idleAt = System.nanoTime();
                endpoint.idle.push(this);
                idle.add(this);
            } else {
                channel.close();
            }
            if (ended != null) {
                ended.learnIdle();
                ended.connection = null;
                ended.finish(how, what);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            leaveIdle();
            if (outcome != null) {
                deliver();
            } else if (current != null) {
                current.broken();
            }
        }

        /** A reset, say: it costs this connection and its attempt, no more. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null && outcome == null) {
                current.broken();
            }
            close();
        }
    }
}
