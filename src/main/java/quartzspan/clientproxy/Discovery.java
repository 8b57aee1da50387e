package quartzspan.clientproxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import quartzspan.http.ConnectionPool;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Source;

/**
 * Discovery's watch, and the hosts as last listed. A watch that ends, falls silent or talks nonsense has
 * failed, once; when to ask again is the module's to say, since discovery has little capacity.
 */
final class Discovery {
    /**
     * A heartbeat comes every 2 s: two missed ones and a little more are silence. What discovery has to tell
     * counts as told after 6 s even if it never came, so by then the next call must have been answered.
     */
    private static final long READ_TIMEOUT_MS = 4_500;
    /** News counts as told 4 s after a move: within that time a silent new address is asked again. */
    private static final long FIRST_READ_TIMEOUT_AFTER_MOVE_MS = 1_800;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    /** Told of lists and of watches that failed. */
    interface Listener {
        void onList(Source source, List<Endpoint> listedEndpoints);

        void onWatchFailed();
    }

    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final ConnectionPool upstream;
    private final Listener listener;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();
    /** Numbers by name. A name that the settings lack gets a number of its own: zones must not merge. */
    private final Map<String, Integer> zones = new HashMap<>();

    private final Map<String, Integer> kinds = new HashMap<>();
    private long version = -1;
    private Watch watch;
    private boolean stopped;

    Discovery(ClientProxyConfig config, EventLoop loop, ConnectionPool upstream, Listener listener) {
        this.address = config.discovery();
        this.upstream = upstream;
        this.listener = listener;
        config.zones().forEach(name -> zones.put(name, zones.size()));
        config.kinds().forEach(name -> kinds.put(name, kinds.size()));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, ConnectionPool.BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    /** The host of this id, or null if it is not listed. */
    ConnectionPool.Endpoint endpoint(String id) {
        return endpoints.get(id);
    }

    boolean hasEndpoints() {
        return !endpoints.isEmpty();
    }

    /** Asks for what changed and for all changes to come, unless that is asked for already. */
    void watch() {
        if (watch == null && !stopped) {
            startWatch(READ_TIMEOUT_MS);
        }
    }

    /**
     * Takes up another discovery at once. It may count its versions in its own way, so the whole list is
     * asked for; until it has come the old one holds. The old watch was given up, not failed.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address) && !stopped) {
            closeWatch();
            address = newAddress;
            version = -1;
            startWatch(FIRST_READ_TIMEOUT_AFTER_MOVE_MS);
        }
    }

    private void startWatch(long firstReadTimeoutMs) {
        Watch started;
        try {
            started = new Watch(firstReadTimeoutMs);
        } catch (ChannelException outOfDescriptors) {
            // Made by the bootstrap, it would tell of this on a thread that is not the loop's.
            listener.onWatchFailed();
            return;
        }
        watch = started;
        bootstrap
                .clone()
                .channelFactory(() -> started.channel)
                .handler(started.pipeline())
                .connect(address)
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        started.fail(f.cause());
                    }
                });
    }

    /** Ends the watch for good: nothing asks again. */
    void stop() {
        stopped = true;
        closeWatch();
    }

    private void closeWatch() {
        if (watch != null) {
            Watch previous = watch;
            watch = null;
            previous.channel.close();
        }
    }

    /** Takes over a list, first for the sockets and then for the module. */
    void applyList(EndpointList list, Source source) {
        version = list.version();
        List<Endpoint> listedEndpoints = new ArrayList<>();
        Map<String, ConnectionPool.Endpoint> unlisted =
                source == Source.DELTA ? new HashMap<>() : new HashMap<>(endpoints);
        for (EndpointList.Entry entry : list.entries()) {
            unlisted.remove(entry.id());
            listedEndpoints.add(new Endpoint(
                    entry.id(),
                    numberOf(zones, entry.zone()),
                    entry.cell(),
                    numberOf(kinds, entry.kind()),
                    entry.availability(),
                    entry.weight(),
                    entry.startedMs() * 1000));
            if (entry.availability() == Availability.GONE) {
                remove(endpoints.get(entry.id()));
                continue;
            }
            ConnectionPool.Endpoint endpoint = endpoints.computeIfAbsent(entry.id(), ConnectionPool.Endpoint::new);
            boolean addressChanged =
                    endpoint.address() != null && !endpoint.address().equals(entry.address());
            boolean ready = entry.availability() == Availability.READY;
            endpoint.listed(entry.address(), ready, ConnectionPool.Endpoint.UNBOUNDED);
            if (addressChanged || !ready) {
                upstream.closeIdle(endpoint);
            }
        }
        unlisted.values().forEach(this::remove);
        listener.onList(source, listedEndpoints);
    }

    private void remove(ConnectionPool.Endpoint endpoint) {
        if (endpoint != null) {
            endpoint.drain();
            endpoints.remove(endpoint.id());
            upstream.closeIdle(endpoint);
        }
    }

    private static int numberOf(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, n -> numbers.size());
    }

    /** One call. It fails once, however it ends, unless it was given up for another. */
    private final class Watch extends SimpleChannelInboundHandler<ByteBuf> {
        private final long firstReadTimeoutMs;
        private final NioSocketChannel channel = new NioSocketChannel();
        private boolean listReceived;

        Watch(long firstReadTimeoutMs) {
            this.firstReadTimeoutMs = firstReadTimeoutMs;
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                            .addLast(
                                    new HttpResponseDecoder(),
                                    new BodyDecoder(),
                                    new ListDecoder(),
                                    new ReadTimeoutHandler(firstReadTimeoutMs, TimeUnit.MILLISECONDS),
                                    Watch.this);
                }
            };
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String after = version >= 0 ? "&after=" + version : "";
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /api/targets?watch=1" + after + " HTTP/1.1\r\n" + "Host: discovery\r\n\r\n",
                    StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf json) throws IOException {
            if (watch == this && json.isReadable()) {
                EndpointList list = EndpointList.parse(ByteBufUtil.getBytes(json));
                if (!listReceived) {
                    listReceived = true;
                    ctx.pipeline()
                            .replace(
                                    ReadTimeoutHandler.class,
                                    null,
                                    new ReadTimeoutHandler(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS));
                }
                applyList(list, list.full() ? Source.FULL : Source.DELTA);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(new IOException("it ended"));
        }

        /** A bad list, a refusal, silence or a break: the call has failed, and nothing else has. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause);
            ctx.close();
        }

        /** Says so once for each watch that had worked: calls go on failing while discovery is down. */
        void fail(Throwable cause) {
            if (watch == this) {
                watch = null;
                if (listReceived) {
                    System.err.println(
                            "quartzspan: the watch of " + NetUtil.toSocketAddressString(address) + " failed: " + cause);
                }
                listener.onWatchFailed();
            }
        }
    }

    /**
     * Cuts what comes into lists, by their braces: a list may be indented over many lines. It hands on an
     * empty buffer whenever no list is half read, which is what an empty line is for; a list that comes a
     * little at a time and does not get to its end is silence like any other.
     */
    private static final class ListDecoder extends JsonObjectDecoder {
        ListDecoder() {
            super(MAX_LIST_BYTES);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            super.decode(ctx, in, out);
            if (!in.isReadable()) {
                out.add(Unpooled.EMPTY_BUFFER);
            }
        }
    }

    /** Hands on what a watch's answer holds; any answer but 200, or its end, is the end of the watch. */
    private static final class BodyDecoder extends MessageToMessageDecoder<HttpObject> {
        BodyDecoder() {
            super(HttpObject.class);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject in, List<Object> out) throws IOException {
            if (in.decoderResult().isFailure()
                    || in instanceof HttpResponse r && r.status().code() != 200) {
                throw new IOException("discovery refused the watch");
            }
            if (in instanceof HttpContent content && content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (in instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }
}
