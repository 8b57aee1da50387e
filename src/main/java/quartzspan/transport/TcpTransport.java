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
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
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
import quartzspan.http.Upstream;
import quartzspan.transport.MessageCodec.Hello;

/**
 * Messages between the system's processes over TCP: each keeps one connection to everybody it writes to, and reads from
 * those that others opened. Nothing is promised: what can't be written soon is dropped, and the protocols above ask again.
 * All on one event loop.
 */
public final class TcpTransport implements Transport {
    private static final Logger LOG = LoggerFactory.getLogger(TcpTransport.class);
    private static final int CONNECT_MS = 600;
    /** No word from one we write to for so long: the connection may hang behind a cut, and a new one would not. */
    private static final long MUTE_MS = 1_200;

    private static final long AGAIN_MS = 200;
    private static final int MOST_WAITING = 64;
    private static final int MOST_UNSENT = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final Hello self;
    private final Receiver receiver;
    private final Map<String, Link> links = new HashMap<>();
    private final Bootstrap out;
    private final ChannelWrites writes = new ChannelWrites();
    private final IncomingConnections incoming = new IncomingConnections();

    private static final class Link {
        Channel channel;
        boolean up;
        long openedAt;
        /** When something was first written since the other last said anything; 0 if all is answered. */
        long writtenAt;

        long usedAt;
        final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    }

    public TcpTransport(EventLoop loop, Hello self, Receiver receiver) {
        this.loop = loop;
        this.self = self;
        this.receiver = receiver;
        this.out = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
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

    /** Takes connections of others. */
    public ChannelFuture listen(InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(MessageCodec.MOST_BYTES, 0, 4, 0, 4),
                                        new In());
                    }
                })
                .bind(at);
    }

    /** Reads one connection; whatever is no message of ours ends it. */
    private final class In extends SimpleChannelInboundHandler<ByteBuf> {
        private final long accepted = incoming.accepted();
        private Hello from;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            Object message = MessageCodec.decode(bytes);
            if (from == null) {
                if (!(message instanceof Hello hello)) {
                    throw new FleetException(
                            FleetException.Code.MESSAGE_INVALID, "no hello first", "run the same version everywhere");
                }
                from = hello;
                return;
            }
            if (!incoming.speaks(from, accepted)) {
                ctx.close();
                return;
            }
            Link link = links.get(from.address());
            if (link != null) {
                link.writtenAt = 0;
            }
            receiver.received(from, message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                LOG.warn(
                        "a connection of {} is closed",
                        from == null ? ctx.channel().remoteAddress() : from.address(),
                        cause);
            }
            ctx.close();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void send(String to, Object message) {
        Link link = links.computeIfAbsent(to, t -> new Link());
        long now = now();
        link.usedAt = now;
        if (link.writtenAt == 0) {
            link.writtenAt = now;
        } else if (link.channel != null && now - link.writtenAt > MUTE_MS) {
            link.channel.close();
            link.channel = null;
            link.up = false;
            link.waiting.clear();
            link.writtenAt = now;
        }
        if (link.channel == null) {
            if (now - link.openedAt < AGAIN_MS) {
                return;
            }
            open(to, link, now);
        }
        byte[] bytes = MessageCodec.encode(message);
        if (link.up) {
            writes.write(link.channel, bytes);
        } else if (link.waiting.size() < MOST_WAITING) {
            link.waiting.add(bytes);
        }
    }

    private void open(String to, Link link, long now) {
        link.openedAt = now;
        int colon = to.lastIndexOf(':');
        ChannelFuture f =
                out.connect(new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1))));
        Channel channel = f.channel();
        link.channel = channel;
        f.addListener(done -> {
            if (link.channel != channel) {
                channel.close();
            } else if (done.isSuccess()) {
                link.up = true;
                // What could not be written before does not make this connection a mute one.
                link.writtenAt = now();
                writes.write(channel, MessageCodec.encode(self));
                for (byte[] b; (b = link.waiting.poll()) != null; ) {
                    writes.write(channel, b);
                }
            } else {
                drop(link);
            }
        });
        channel.closeFuture().addListener(closed -> {
            if (link.channel == channel) {
                drop(link);
            }
        });
    }

    private static void drop(Link link) {
        link.channel = null;
        link.up = false;
        link.waiting.clear();
    }

    /** Closes connections to those nobody has written to for long. */
    public void tidy(long unusedMs) {
        long now = now();
        links.values().removeIf(link -> {
            if (now - link.usedAt < unusedMs) {
                return false;
            }
            if (link.channel != null) {
                link.channel.close();
            }
            return true;
        });
    }

    /** Framing, and a bound to what may pile up behind a peer that does not read. */
    private final class ChannelWrites {
        private final Set<Channel> unflushed = new HashSet<>();

        /** Writes a message; those of one turn of the event loop go out together. */
        void write(Channel channel, byte[] bytes) {
            if (channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_UNSENT) {
                channel.close();
                return;
            }
            if (unflushed.isEmpty()) {
                loop.execute(this::flush);
            }
            unflushed.add(channel);
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
            List<Channel> written = List.copyOf(unflushed);
            unflushed.clear();
            written.forEach(Channel::flush);
        }
    }
}
