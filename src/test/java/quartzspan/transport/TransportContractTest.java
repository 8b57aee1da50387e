package quartzspan.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.SnapshotChunk;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;
import quartzspan.replication.ReplicaMessage;
import quartzspan.transport.MessageCodec.Hello;

/** The contract of the TCP transport and of the one in memory, and the handling of malformed input over TCP. */
class TransportContractTest {
    private static final int MAX_INBOUND_CONNECTIONS = 64;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private record Received(Hello from, Object message) {}

    /** A transport in memory that encodes and decodes each message. */
    private static final class InMemoryTransport implements Transport {
        private final Map<String, Receiver> receivers;
        private final Hello self;

        InMemoryTransport(Map<String, Receiver> receivers, Hello self, Receiver receiver) {
            this.receivers = receivers;
            this.self = self;
            receivers.put(self.address(), receiver);
        }

        @Override
        public void send(String to, Object message) {
            Receiver receiver = receivers.get(to);
            if (receiver != null) {
                receiver.received(self, MessageCodec.decode(MessageCodec.encode(message)));
            }
        }
    }

    private static String address() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    private static ReplicaMessage message(long nonce, int bytes) {
        return new ReplicaMessage(
                ReplicaMessage.Kind.REPLICATE,
                Epoch.INITIAL,
                nonce,
                Epoch.NONE,
                Epoch.NONE,
                0,
                true,
                false,
                0,
                Map.of(),
                Map.of(),
                Membership.NONE,
                new byte[bytes]);
    }

    private Transport tcpTransport(Hello self, Transport.Receiver receiver) {
        try {
            TcpTransport transport = new TcpTransport(loop, self, receiver, MAX_INBOUND_CONNECTIONS);
            int colon = self.address().indexOf(':');
            assertTrue(transport
                    .listen(new InetSocketAddress(
                            "127.0.0.1", Integer.parseInt(self.address().substring(colon + 1))))
                    .await()
                    .isSuccess());
            return (to, message) -> loop.execute(() -> transport.send(to, message));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void assertMeetsContract(BiFunction<Hello, Transport.Receiver, Transport> transports)
            throws Exception {
        Hello a = new Hello(true, address(), "c", "z");
        Hello b = new Hello(false, address(), "", "z");
        BlockingQueue<Received> atA = new LinkedBlockingQueue<>();
        BlockingQueue<Received> atB = new LinkedBlockingQueue<>();
        Transport fromA = transports.apply(a, (from, m) -> atA.add(new Received(from, m)));
        Transport fromB = transports.apply(b, (from, m) -> atB.add(new Received(from, m)));
        for (int i = 0; i < 40; i++) {
            fromA.send(b.address(), message(i, i == 20 ? 3_000_000 : i));
        }
        fromB.send(
                a.address(),
                new GossipMessage(
                        GossipMessage.Kind.QUERY,
                        1,
                        -1,
                        0,
                        new long[32],
                        List.of(),
                        List.of(),
                        SnapshotChunk.NONE,
                        List.of()));
        fromA.send("127.0.0.1:1", message(1, 1));
        List<Long> nonces = new ArrayList<>();
        List<Long> expected = new ArrayList<>();
        for (long i = 0; i < 40; i++) {
            Received received = atB.poll(10, TimeUnit.SECONDS);
            assertEquals(a, received.from());
            nonces.add(((ReplicaMessage) received.message()).nonce());
            expected.add(i);
        }
        assertEquals(expected, nonces, "in order, each once");
        assertEquals(b, atA.poll(10, TimeUnit.SECONDS).from());
    }

    @Test
    void tcpTransportMeetsTheContract() throws Exception {
        assertMeetsContract(this::tcpTransport);
    }

    @Test
    void inMemoryTransportMeetsTheContract() throws Exception {
        Map<String, Transport.Receiver> receivers = new HashMap<>();
        assertMeetsContract((self, receiver) -> new InMemoryTransport(receivers, self, receiver));
    }

    @Test
    void malformedInputClosesItsOwnConnectionOnly() throws Exception {
        Hello a = new Hello(true, address(), "c", "z");
        Hello b = new Hello(true, address(), "c", "z");
        BlockingQueue<Received> atB = new LinkedBlockingQueue<>();
        Transport fromA = tcpTransport(a, (from, m) -> {});
        tcpTransport(b, (from, m) -> atB.add(new Received(from, m)));
        fromA.send(b.address(), message(1, 1));
        assertEquals(1, ((ReplicaMessage) atB.poll(10, TimeUnit.SECONDS).message()).nonce());
        byte[] hello = MessageCodec.encode(a);
        byte[] helloFrame = java.nio.ByteBuffer.allocate(4 + hello.length)
                .putInt(hello.length)
                .put(hello)
                .array();
        List<byte[]> malformed = List.of(
                new byte[] {0, 0, 0, 3, 1, 2, 3},
                new byte[] {127, 0, 0, 0, 9},
                new byte[] {-1, -1, -1, -1, 0},
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                java.nio.ByteBuffer.allocate(helloFrame.length + 8)
                        .put(helloFrame)
                        .putInt(4)
                        .putInt(77)
                        .array());
        int port = Integer.parseInt(b.address().substring(b.address().indexOf(':') + 1));
        for (byte[] bytes : malformed) {
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                s.setSoTimeout(10_000);
                OutputStream out = s.getOutputStream();
                out.write(bytes);
                out.flush();
                assertEquals(-1, s.getInputStream().read(), "the connection is closed");
            }
        }
        // A truncated frame, after which the sender closes the connection.
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.getOutputStream().write(helloFrame, 0, helloFrame.length - 3);
        }
        fromA.send(b.address(), message(2, 1));
        assertEquals(
                2,
                ((ReplicaMessage) atB.poll(10, TimeUnit.SECONDS).message()).nonce(),
                "other connections are not affected");
    }

    @Test
    void peerThatStartsLaterIsReached() throws Exception {
        Hello a = new Hello(true, address(), "c", "z");
        Hello b = new Hello(true, address(), "c", "z");
        Transport fromA = tcpTransport(a, (from, m) -> {});
        fromA.send(b.address(), message(1, 1));
        loop.submit(() -> {}).get();
        BlockingQueue<Received> atB = new LinkedBlockingQueue<>();
        tcpTransport(b, (from, m) -> atB.add(new Received(from, m)));
        Received received = null;
        for (int i = 2; i < 200 && received == null; i++) {
            fromA.send(b.address(), message(i, 1));
            received = atB.poll(50, TimeUnit.MILLISECONDS);
        }
        assertTrue(received != null);
    }

    /** A peer with a plain socket, which writes frames under the control of the test. */
    private static final class RawPeer implements AutoCloseable {
        private final Socket socket;

        RawPeer(Hello to, Hello self) throws Exception {
            int port = Integer.parseInt(to.address().substring(to.address().indexOf(':') + 1));
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(10_000);
            write(self);
        }

        RawPeer write(Object message) throws Exception {
            byte[] bytes = MessageCodec.encode(message);
            socket.getOutputStream()
                    .write(java.nio.ByteBuffer.allocate(bytes.length + 4)
                            .putInt(bytes.length)
                            .put(bytes)
                            .array());
            return this;
        }

        boolean closed() throws Exception {
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketException reset) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static long nonce(BlockingQueue<Received> at) throws Exception {
        return ((ReplicaMessage) at.poll(10, TimeUnit.SECONDS).message()).nonce();
    }

    @Test
    void unreadInputOfAReplacedConnectionIsDropped() throws Exception {
        Hello a = new Hello(true, address(), "c", "z");
        Hello b = new Hello(true, address(), "c", "z");
        BlockingQueue<Received> atB = new LinkedBlockingQueue<>();
        tcpTransport(b, (from, m) -> atB.add(new Received(from, m)));
        try (RawPeer replaced = new RawPeer(b, a).write(message(1, 1))) {
            assertEquals(1, nonce(atB));
            try (RawPeer current = new RawPeer(b, a).write(message(2, 1))) {
                assertEquals(2, nonce(atB));
                replaced.write(message(3, 1));
                assertTrue(replaced.closed());
                current.write(message(4, 1));
                assertEquals(4, nonce(atB), "message 3 is not delivered");
            }
        }
    }

    @Test
    void messagesOfAReplacedIncarnationAreDropped() throws Exception {
        Hello b = new Hello(true, address(), "c", "z");
        String at = address();
        Hello first = new Hello(true, at, "c", "z");
        Hello second = new Hello(true, at, "c", "z");
        BlockingQueue<Received> atB = new LinkedBlockingQueue<>();
        tcpTransport(b, (from, m) -> atB.add(new Received(from, m)));
        try (RawPeer suspended = new RawPeer(b, first)) {
            suspended.write(message(1, 1));
            assertEquals(1, nonce(atB));
            try (RawPeer successor = new RawPeer(b, second).write(message(2, 1))) {
                assertEquals(2, nonce(atB));
                try (RawPeer resumed = new RawPeer(b, first).write(message(3, 1))) {
                    assertTrue(resumed.closed());
                }
                successor.write(message(4, 1));
                assertEquals(4, nonce(atB), "message 3 is not delivered");
            }
        }
    }
}
