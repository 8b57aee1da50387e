package quartzspan.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Inbound connections and their buffers stay within their bounds, and those that speak are the last to be closed. */
class InboundLimitsTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int MAX_BUFFER_BYTES = 100_000;
    private static final int STEPS = 20_000;
    private static final int LONG_BYTES = 70_000 + InboundLimits.INCLUDED_BUFFER_BYTES;

    private final InboundLimits limits = new InboundLimits(MAX_CONNECTIONS, MAX_BUFFER_BYTES);

    private final class Peer implements InboundLimits.Connection {
        private boolean closed;

        @Override
        public void close() {
            closed = true;
            limits.onClosed(this);
        }
    }

    private Peer open(boolean identified) {
        Peer peer = new Peer();
        limits.onOpened(peer);
        if (identified) {
            limits.onIdentified(peer);
        }
        return peer;
    }

    @Test
    void strangersMakeRoomFirst() {
        Peer known = open(true);
        Peer stranger = open(false);
        open(true);
        open(false);
        Peer next = open(true);
        assertTrue(stranger.closed);
        assertTrue(!known.closed && !next.closed);
        assertEquals(MAX_CONNECTIONS, limits.connectionCount());
    }

    @Test
    void longestSilentPeerMakesRoomIfAllAreKnown() {
        Peer first = open(true);
        Peer second = open(true);
        open(true);
        open(true);
        limits.onInput(first, 0);
        open(true);
        assertTrue(second.closed);
        assertTrue(!first.closed);
    }

    @Test
    void longestSilentHolderGivesItsBufferUp() {
        Peer silent = open(true);
        Peer holder = open(true);
        limits.onInput(holder, LONG_BYTES);
        Peer next = open(true);
        limits.onInput(next, LONG_BYTES);
        assertTrue(holder.closed);
        assertTrue(!silent.closed && !next.closed);
        assertEquals(LONG_BYTES - InboundLimits.INCLUDED_BUFFER_BYTES, limits.totalBufferBytes());
    }

    @Test
    void singleFrameMayExceedTheMemory() {
        Peer only = open(true);
        limits.onInput(only, 2 * MAX_BUFFER_BYTES);
        assertTrue(!only.closed);
        limits.onInput(only, 0);
        assertEquals(0, limits.totalBufferBytes());
    }

    @Test
    void boundsHoldInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(45);
        List<Peer> peers = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            peers.removeIf(peer -> peer.closed);
            if (peers.isEmpty() || random.nextInt(4) == 0) {
                peers.add(open(random.nextBoolean()));
            } else {
                Peer peer = peers.get(random.nextInt(peers.size()));
                if (random.nextInt(8) == 0) {
                    peer.close();
                } else {
                    limits.onInput(peer, random.nextInt(MAX_BUFFER_BYTES));
                }
            }
            assertTrue(limits.connectionCount() <= MAX_CONNECTIONS);
            assertTrue(limits.totalBufferBytes() <= MAX_BUFFER_BYTES, "step " + step);
        }
        peers.stream().filter(peer -> !peer.closed).forEach(Peer::close);
        assertEquals(0, limits.totalBufferBytes());
        assertEquals(0, limits.connectionCount());
    }
}
