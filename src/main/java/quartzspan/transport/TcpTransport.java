package quartzspan.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.http.ConnectionPool;
import quartzspan.transport.MessageCodec.Hello;

/**
 * Sends messages between the system's processes over TCP. A process keeps one connection to every process to which it sends, and
 * receives on the connections that others opened. Delivery is not guaranteed: messages that can't be written soon are dropped,
 * and the protocols above retry. Runs on a single event loop.
 */
public final class TcpTransport implements Transport {
    private static final Logger LOG = LoggerFactory.getLogger(TcpTransport.class);
    private static final int CONNECT_TIMEOUT_MS = 600;
    /**
     * Time without a message from the peer after a write, after which the connection is replaced: it can hang after a network
     * partition, while a new one would work.
     */
    private static final long RESPONSE_TIMEOUT_MS = 1_200;

    private static final long RECONNECT_INTERVAL_MS = 200;
    private static final int MAX_QUEUED_MESSAGES = 64;
    private static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;
    /** Minimum time between two warnings about peers that have not introduced themselves. */
    private static final long WARNING_INTERVAL_MS = 1_000;
    /** The part of the heap for frames that are being received. */
    private static final int HEAP_PARTS_PER_FRAME_MEMORY = 8;

    private final EventLoop loop;
    private final Hello self;
    private final Receiver receiver;
    private final Map<String, OutgoingConnection> outgoingConnections = new HashMap<>();
    private final Bootstrap clientBootstrap;
    private final FrameWriter frameWriter = new FrameWriter();
    private final InboundConnections inboundConnections = new InboundConnections();
    private final InboundLimits inboundLimits;
    private long lastWarningMs;

    private static final class OutgoingConnection {
        Channel channel;
        boolean connected;
        long connectStartedAtMs;
        /** Time of the first write since the last message from the peer; 0 if nothing was written since. */
        long unansweredSinceMs;

        long lastUsedAtMs;
        final ArrayDeque<byte[]> queuedFrames = new ArrayDeque<>();
    }

    /**
     * Creates a transport without connections. Must be called on the event loop.
     *
     * @param maxInboundConnections the most connections that other processes may open
     */
    public TcpTransport(EventLoop loop, Hello self, Receiver receiver, int maxInboundConnections) {
        this.loop = loop;
        this.self = self;
        this.receiver = receiver;
        this.inboundLimits = new InboundLimits(
                maxInboundConnections, Runtime.getRuntime().maxMemory() / HEAP_PARTS_PER_FRAME_MEMORY);
        this.clientBootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
                                ctx.close();
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
                    }
                });
    }

    /** Starts to accept connections of other processes. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        InboundHandler handler = new InboundHandler(ch);
                        ch.pipeline().addLast(handler.decoder, handler);
                        inboundLimits.onOpened(handler);
                    }
                })
                .bind(address);
    }

    /** Receives the messages of one inbound connection; a malformed message closes it. */
    private final class InboundHandler extends SimpleChannelInboundHandler<byte[]> implements InboundLimits.Connection {
        private final Channel channel;
        private final FrameDecoder decoder = new FrameDecoder(this::onInput);
        private final long connectionNumber = inboundConnections.nextConnectionNumber();
        private Hello from;

        InboundHandler(Channel channel) {
            this.channel = channel;
        }

        private void onInput(int bufferBytes) {
            inboundLimits.onInput(this, bufferBytes);
        }

        @Override
        public void close() {
            inboundLimits.onClosed(this);
            decoder.discard();
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            inboundLimits.onClosed(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
            Object message = MessageCodec.decode(frame);
            if (from == null) {
                if (!(message instanceof Hello hello)) {
                    throw new FleetException(
                            FleetException.Code.MESSAGE_INVALID,
                            "the first message on a connection is not a hello",
                            "run the same version on all machines");
                }
                from = hello;
                inboundLimits.onIdentified(this);
                return;
            }
            if (!inboundConnections.isCurrent(from, connectionNumber)) {
                close();
                return;
            }
            OutgoingConnection connection = outgoingConnections.get(from.address());
            if (connection != null) {
                connection.unansweredSinceMs = 0;
            }
            receiver.received(from, message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                warn(ctx, cause);
            }
            close();
        }

        private void warn(ChannelHandlerContext ctx, Throwable cause) {
            if (from != null) {
                LOG.warn("closing the connection from {} after an error", from.address(), cause);
            } else if (nowMs() - lastWarningMs >= WARNING_INTERVAL_MS) {
                lastWarningMs = nowMs();
                LOG.warn(
                        "closing the connection from {}, which has not introduced itself: {}",
                        ctx.channel().remoteAddress(),
                        cause.toString());
            }
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void send(String to, Object message) {
        OutgoingConnection connection = outgoingConnections.computeIfAbsent(to, address -> new OutgoingConnection());
        long now = nowMs();
        connection.lastUsedAtMs = now;
        if (connection.unansweredSinceMs == 0) {
            connection.unansweredSinceMs = now;
        } else if (connection.channel != null && now - connection.unansweredSinceMs > RESPONSE_TIMEOUT_MS) {
            connection.channel.close();
            connection.channel = null;
            connection.connected = false;
            connection.queuedFrames.clear();
            connection.unansweredSinceMs = now;
        }
        if (connection.channel == null) {
            if (now - connection.connectStartedAtMs < RECONNECT_INTERVAL_MS) {
                return;
            }
            connect(to, connection, now);
        }
        byte[] bytes = MessageCodec.encode(message);
        if (connection.connected) {
            frameWriter.write(connection.channel, bytes);
        } else if (connection.queuedFrames.size() < MAX_QUEUED_MESSAGES) {
            connection.queuedFrames.add(bytes);
        }
    }

    private void connect(String to, OutgoingConnection connection, long now) {
        connection.connectStartedAtMs = now;
        int colon = to.lastIndexOf(':');
        ChannelFuture connectFuture = clientBootstrap.connect(
                new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1))));
        Channel channel = connectFuture.channel();
        connection.channel = channel;
        connectFuture.addListener(completed -> {
            if (connection.channel != channel) {
                channel.close();
            } else if (completed.isSuccess()) {
                connection.connected = true;
                // Messages that could not be written before must not count towards the response timeout of this
                // connection.
                connection.unansweredSinceMs = nowMs();
                frameWriter.write(channel, MessageCodec.encode(self));
                for (byte[] frame; (frame = connection.queuedFrames.poll()) != null; ) {
                    frameWriter.write(channel, frame);
                }
            } else {
                resetConnection(connection);
            }
        });
        channel.closeFuture().addListener(closed -> {
            if (connection.channel == channel) {
                resetConnection(connection);
            }
        });
    }

    private static void resetConnection(OutgoingConnection connection) {
        connection.channel = null;
        connection.connected = false;
        connection.queuedFrames.clear();
    }

    /** Closes outgoing connections on which nothing was sent for {@code idleMs}. */
    public void closeIdle(long idleMs) {
        long now = nowMs();
        outgoingConnections.values().removeIf(connection -> {
            if (now - connection.lastUsedAtMs < idleMs) {
                return false;
            }
            if (connection.channel != null) {
                connection.channel.close();
            }
            return true;
        });
    }

    /** Writes frames in batches, and bounds the bytes buffered for a peer that does not read. */
    private final class FrameWriter {
        private final Set<Channel> unflushedChannels = new HashSet<>();

        /** Writes a frame; all frames of one iteration of the event loop are flushed together. */
        void write(Channel channel, byte[] bytes) {
            if (channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
                channel.close();
                return;
            }
            if (unflushedChannels.isEmpty()) {
                loop.execute(this::flush);
            }
            unflushedChannels.add(channel);
            channel.write(Unpooled.wrappedBuffer(
                    new byte[] {
                        (byte) (bytes.length >>> 24),
                        (byte) (bytes.length >>> 16),
                        (byte) (bytes.length >>> 8),
                        (byte) bytes.length
                    },
                    bytes));
        }

        private void flush() {
            List<Channel> written = List.copyOf(unflushedChannels);
            unflushedChannels.clear();
            written.forEach(Channel::flush);
        }
    }
}
