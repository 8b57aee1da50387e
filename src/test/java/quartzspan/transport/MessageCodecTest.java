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
import quartzspan.registry.TargetAge;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;
import quartzspan.replication.ReplicaMessage;
import quartzspan.transport.MessageCodec.Hello;

/** Messages are decoded as encoded; a truncated or corrupted one is decoded or rejected with the documented exception. */
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
            new SnapshotChunk(8, 65_536, 200_000, new byte[70_000]),
            List.of(new TargetAge("m\t1", 2, 4_000), new TargetAge("", 3, -1)));
    private static final PrefixCacheUpdate PREFIX_CACHE_UPDATE =
            new PrefixCacheUpdate(PrefixCacheUpdate.Kind.DELTA, "i-9", 4, 5, new long[] {8, 9}, new int[] {100, 0});

    @Test
    void messagesAreDecodedAsEncoded() {
        assertEquals(HELLO, MessageCodec.decode(MessageCodec.encode(HELLO)));
        ReplicaMessage replicaMessage = (ReplicaMessage) MessageCodec.decode(MessageCodec.encode(REPLICA_MESSAGE));
        assertEquals(REPLICA_MESSAGE.membership(), replicaMessage.membership());
        assertArrayEquals(REPLICA_MESSAGE.body(), replicaMessage.body());
        assertEquals(
                REPLICA_MESSAGE.toString().split(", body")[0],
                replicaMessage.toString().split(", body")[0]);
        GossipMessage gossipMessage = (GossipMessage) MessageCodec.decode(MessageCodec.encode(GOSSIP));
        assertEquals(GOSSIP.entries(), gossipMessage.entries());
        assertArrayEquals(GOSSIP.digests(), gossipMessage.digests());
        assertEquals(9, gossipMessage.stateIndex());
        assertEquals(
                List.of(4L, 7L),
                gossipMessage.deltas().stream().map(StateDelta::fromIndex).toList());
        assertEquals(
                List.of(7L, 9L),
                gossipMessage.deltas().stream().map(StateDelta::toIndex).toList());
        assertArrayEquals(new byte[] {5, 6}, gossipMessage.deltas().get(0).change());
        assertEquals(8, gossipMessage.chunk().index());
        assertEquals(65_536, gossipMessage.chunk().offset());
        assertEquals(200_000, gossipMessage.chunk().totalBytes());
        assertEquals(70_000, gossipMessage.chunk().bytes().length);
        PrefixCacheUpdate update = (PrefixCacheUpdate) MessageCodec.decode(MessageCodec.encode(PREFIX_CACHE_UPDATE));
        assertArrayEquals(PREFIX_CACHE_UPDATE.blocks(), update.blocks());
        assertArrayEquals(PREFIX_CACHE_UPDATE.tokens(), update.tokens());
        assertEquals("i-9", update.server());
    }

    @Test
    void malformedMessagesAreRejected() {
        SplittableRandom random = new SplittableRandom(5);
        for (Object message : List.of(HELLO, REPLICA_MESSAGE, GOSSIP, PREFIX_CACHE_UPDATE)) {
            byte[] valid = MessageCodec.encode(message);
            for (int i = 0; i < 4_000; i++) {
                byte[] malformed =
                        random.nextBoolean() ? valid.clone() : Arrays.copyOf(valid, random.nextInt(valid.length));
                for (int k = random.nextInt(4); k > 0 && malformed.length > 0; k--) {
                    malformed[random.nextInt(Math.min(malformed.length, 120))] = (byte) random.nextInt();
                }
                try {
                    MessageCodec.decode(malformed);
                } catch (FleetException rejected) {
                    assertEquals(FleetException.Code.MESSAGE_INVALID, rejected.code());
                }
            }
        }
    }
}
