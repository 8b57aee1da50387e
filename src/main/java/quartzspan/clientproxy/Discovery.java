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
 * The watch on the discovery service and the endpoints last listed. A watch that ends, times out or delivers
 * invalid data is reported as failed once. The listener decides when to watch again, since discovery has little
 * capacity.
 */
final class Discovery {
    /**
     * Discovery sends a heartbeat every 2 s; the watch fails after two missed ones and some slack. The protocol
     * counts a change as received after 6 s even if it never arrived, so the next watch must be answered by then.
     */
    private static final long READ_TIMEOUT_MS = 4_500;
    /**
     * After a change of address the protocol counts lists as received after 4 s: an address that sends nothing
     * must be tried again within that time.
     */
    private static final long FIRST_READ_TIMEOUT_AFTER_ADDRESS_CHANGE_MS = 1_800;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    /** Receives lists and failures of the watch. */
    interface Listener {
        void onList(Source source, List<Endpoint> listedEndpoints);

        void onWatchFailed();
    }

    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final ConnectionPool upstream;
    private final Listener listener;
    private final Map<String, ConnectionPool.Endpoint> endpoints = new HashMap<>();
    /** Zone numbers by name. A name missing from the settings gets a new number, so that zones stay distinct. */
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

    /** The endpoint with this id, or null if it is not listed. */
    ConnectionPool.Endpoint endpoint(String id) {
        return endpoints.get(id);
    }

    boolean hasEndpoints() {
        return !endpoints.isEmpty();
    }

    /** Opens a watch for the changes since the last list and all later ones, unless one is open. */
    void watch() {
        if (watch == null && !stopped) {
            startWatch(READ_TIMEOUT_MS);
        }
    }

    /**
     * Switches to another discovery address at once. Its version numbers may be unrelated, so the full list is
     * requested; until it arrives the current list stays in use. Closing the previous watch is no failure.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address) && !stopped) {
            closeWatch();
            address = newAddress;
            version = -1;
            startWatch(FIRST_READ_TIMEOUT_AFTER_ADDRESS_CHANGE_MS);
        }
    }

    private void startWatch(long firstReadTimeoutMs) {
        Watch started;
        try {
            started = new Watch(firstReadTimeoutMs);
        } catch (ChannelException outOfDescriptors) {
            // A channel created by the bootstrap would report this failure on a thread other than the event loop.
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

    /** Closes the watch; no further watch is opened. */
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

    /** Applies a list to the connections first, then passes it to the listener. */
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
            endpoint.update(entry.address(), ready, ConnectionPool.Endpoint.UNBOUNDED);
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

    /** One watch request. It reports one failure, however it ends, unless it was replaced or stopped. */
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
            fail(new IOException("discovery closed the connection"));
        }

        /** An invalid list, a rejection, a read timeout or a reset fails this watch only. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause);
            ctx.close();
        }

        /** Logs only failures of a watch that has delivered a list: each retry fails while discovery is down. */
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
     * Splits the stream into lists by their braces, since a list may span several lines. Emits an empty buffer
     * whenever no list is partially read, so that an empty line (the heartbeat) resets the read timeout; parts of
     * an incomplete list don't.
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

    /** Passes on the content of the response; a status other than 200 or the end of the response ends the watch. */
    private static final class BodyDecoder extends MessageToMessageDecoder<HttpObject> {
        BodyDecoder() {
            super(HttpObject.class);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject in, List<Object> out) throws IOException {
            if (in.decoderResult().isFailure()
                    || in instanceof HttpResponse r && r.status().code() != 200) {
                throw new IOException("discovery rejected the watch or sent an invalid HTTP response");
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
