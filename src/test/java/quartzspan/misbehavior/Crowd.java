package quartzspan.misbehavior;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Clients that each send some bytes and then keep their connections open without reading. What a server refuses or closes is given
 * up: a crowd has no expectations.
 */
final class Crowd implements AutoCloseable {
    /** Small, so that responses soon wait at the server. */
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    /** The crowd goes on sending for this long, and holds its connections. */
    private static final long SEND_MS = 3_000;

    private final Selector selector;
    private final List<Member> members = new ArrayList<>();

    /** One client with what it has not sent yet. */
    private record Member(SocketChannel channel, ByteBuffer unsent) {}

    private Crowd(Selector selector) {
        this.selector = selector;
    }

    /**
     * Connects a crowd.
     *
     * @param bytesOfMember what each member sends, by its number
     */
    static Crowd connect(InetSocketAddress address, int size, IntFunction<byte[]> bytesOfMember) throws IOException {
        Crowd crowd = new Crowd(Selector.open());
        for (int i = 0; i < size; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.configureBlocking(false);
            Member member = new Member(channel, ByteBuffer.wrap(bytesOfMember.apply(i)));
            crowd.members.add(member);
            crowd.connect(member, address);
        }
        return crowd;
    }

    private void connect(Member member, InetSocketAddress address) {
        try {
            member.channel.connect(address);
            member.channel.register(selector, SelectionKey.OP_CONNECT, member);
        } catch (IOException refused) {
            close(member);
        }
    }

    /** Sends as much as the server takes, for a fixed time. */
    void send() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SEND_MS);
        long leftMs = SEND_MS;
        while (leftMs > 0) {
            selector.select(Crowd::onReady, leftMs);
            leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        }
    }

    private static void onReady(SelectionKey key) {
        Member member = (Member) key.attachment();
        try {
            if (key.isConnectable()) {
                member.channel.finishConnect();
            }
            member.channel.write(member.unsent);
            key.interestOps(member.unsent.hasRemaining() ? SelectionKey.OP_WRITE : 0);
        } catch (IOException closedByServer) {
            close(member);
        }
    }

    private static void close(Member member) {
        try {
            member.channel.close();
        } catch (IOException e) {
            throw new AssertionError("a socket can't be closed", e);
        }
    }

    @Override
    public void close() throws IOException {
        members.forEach(Crowd::close);
        selector.close();
    }
}
