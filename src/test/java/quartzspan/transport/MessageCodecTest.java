package quartzspan.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quartzspan.common.FleetException;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.SnapshotChunk;
import quartzspan.registry.StateDelta;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;
import quartzspan.replication.ReplicaMessage;
import quartzspan.transport.MessageCodec.Hello;

/** What goes in comes out; what is cut or spoilt is refused or read as something, and never worse. */
class MessageCodecTest {
    private static final Hello HELLO = new Hello(true, "10.0.0.1:70", "10.0.0.1:80", "zône");
    private static final ReplicaMessage REPLICA_MESSAGE = new ReplicaMessage(
            ReplicaMessage.Kind.REPLICATE,
            new Epoch(5, "10.0.0.1:7", -9),
            -1,
            new Epoch(7, "10.0.0.2:7", Long.MIN_VALUE),
            new Epoch(8, "", 3),
            Long.MAX_VALUE,
            true,
            false,
            4,
            Map.of("10.0.0.1:7", 2L),
            new TreeMap<>(Map.of("10.0.0.2:7", 700L, "10.0.0.3:7", 0L)),
            new Membership(
                    new Epoch(5, "10.0.0.1:7", -9),
                    "10.0.0.1:7",
                    List.of("10.0.0.1:7", "10.0.0.2:7"),
                    List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"),
                    List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.4:7")),
            new byte[] {1, 2, 3});
    private static final GossipMessage GOSSIP = new GossipMessage(
            GossipMessage.Kind.REPLY,
            3,
            12,
            9,
            new long[] {1, -5, 9},
            List.of(
                    new RegistryEntry(RegistryEntry.Subject.SERVER, "i-1", 17, RegistryEntry.State.DRAINING, "s\tx"),
                    new RegistryEntry(RegistryEntry.Subject.PROXY, "", 0, RegistryEntry.State.READY, "")),
            List.of(new StateDelta(4, 7, new byte[] {5, 6}), new StateDelta(7, 9, new byte[0])),
            new SnapshotChunk(8, 65_536, 200_000, new byte[70_000]));
    private static final PrefixCacheUpdate INDEX_UPDATE =
            new PrefixCacheUpdate(PrefixCacheUpdate.Kind.DELTA, "i-9", 4, 5, new long[] {8, 9}, new int[] {100, 0});

    @Test
    void messagesAreDecodedAsEncoded() {
        assertEquals(HELLO, MessageCodec.decode(MessageCodec.encode(HELLO)));
        ReplicaMessage l = (ReplicaMessage) MessageCodec.decode(MessageCodec.encode(REPLICA_MESSAGE));
        assertEquals(REPLICA_MESSAGE.membership(), l.membership());
        assertArrayEquals(REPLICA_MESSAGE.body(), l.body());
        assertEquals(REPLICA_MESSAGE.toString().split(", body")[0], l.toString().split(", body")[0]);
        GossipMessage t = (GossipMessage) MessageCodec.decode(MessageCodec.encode(GOSSIP));
        assertEquals(GOSSIP.entries(), t.entries());
        assertArrayEquals(GOSSIP.digests(), t.digests());
        assertEquals(9, t.stateIndex());
        assertEquals(
                List.of(4L, 7L), t.deltas().stream().map(StateDelta::fromIndex).toList());
        assertEquals(
                List.of(7L, 9L), t.deltas().stream().map(StateDelta::toIndex).toList());
        assertArrayEquals(new byte[] {5, 6}, t.deltas().get(0).change());
        assertEquals(8, t.chunk().index());
        assertEquals(65_536, t.chunk().offset());
        assertEquals(200_000, t.chunk().totalBytes());
        assertEquals(70_000, t.chunk().bytes().length);
        PrefixCacheUpdate c = (PrefixCacheUpdate) MessageCodec.decode(MessageCodec.encode(INDEX_UPDATE));
        assertArrayEquals(INDEX_UPDATE.blocks(), c.blocks());
        assertArrayEquals(INDEX_UPDATE.tokens(), c.tokens());
        assertEquals("i-9", c.server());
    }

    @Test
    void malformedMessagesAreRefused() {
        SplittableRandom random = new SplittableRandom(5);
        for (Object message : List.of(HELLO, REPLICA_MESSAGE, GOSSIP, INDEX_UPDATE)) {
            byte[] good = MessageCodec.encode(message);
            for (int i = 0; i < 4_000; i++) {
                byte[] bad = random.nextBoolean() ? good.clone() : Arrays.copyOf(good, random.nextInt(good.length));
                for (int k = random.nextInt(4); k > 0 && bad.length > 0; k--) {
                    bad[random.nextInt(Math.min(bad.length, 120))] = (byte) random.nextInt();
                }
                try {
                    MessageCodec.decode(bad);
                } catch (FleetException refused) {
                    assertEquals(FleetException.Code.MESSAGE_INVALID, refused.code());
                }
            }
        }
    }
}
