package quartzspan.misbehavior;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Clients that each send some bytes and then keep their connections open without reading. What a server refuses or closes is given
 * up: a crowd has no expectations.
 */
final class Crowd implements AutoCloseable {
    /** Small, so that responses soon wait at the server. */
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    private static final int ROUND_MS = 20;
    /** The crowd goes on sending for this long, and holds its connections. */
    private static final int ROUNDS = 150;

    private final List<Member> members = new ArrayList<>();

    /** One client with what it has not sent yet. */
    private record Member(SocketChannel channel, ByteBuffer unsent) {}

    /**
     * Connects a crowd.
     *
     * @param bytesOfMember what each member sends, by its number
     */
    static Crowd connect(InetSocketAddress address, int size, IntFunction<byte[]> bytesOfMember) throws IOException {
        Crowd crowd = new Crowd();
        for (int i = 0; i < size; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.configureBlocking(false);
            crowd.members.add(new Member(channel, ByteBuffer.wrap(bytesOfMember.apply(i))));
            try {
                channel.connect(address);
            } catch (IOException refused) {
                channel.close();
            }
        }
        return crowd;
    }

    /** Sends as much as the server takes, for a fixed number of rounds. */
    void send() throws InterruptedException {
        for (int round = 0; round < ROUNDS; round++) {
            for (Member member : members) {
                send(member);
            }
            Thread.sleep(ROUND_MS);
        }
    }

    private static void send(Member member) {
        try {
            if (member.channel.isOpen() && member.unsent.hasRemaining() && member.channel.finishConnect()) {
                member.channel.write(member.unsent);
            }
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
    public void close() {
        members.forEach(Crowd::close);
    }
}
