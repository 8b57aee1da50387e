package quartzspan.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quartzspan.compatibility.GoldenFile;
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

/** One message of each kind, compared with its encoding by an earlier version. */
class MessageCompatibilityTest {
    private static final Epoch EPOCH = new Epoch(5, "10.0.0.1:7640", -9);
    private static final Membership MEMBERSHIP = new Membership(
            EPOCH,
            "10.0.0.1:7640",
            List.of("10.0.0.1:7640", "10.0.0.2:7640"),
            List.of("10.0.0.1:7640", "10.0.0.2:7640", "10.0.0.3:7640"),
            List.of("10.0.0.1:7640", "10.0.0.2:7640", "10.0.0.4:7640"));

    private static ReplicaMessage replicaMessage(ReplicaMessage.Kind kind) {
        int number = kind.ordinal();
        return new ReplicaMessage(
                kind,
                EPOCH,
                100 + number,
                new Epoch(7, "10.0.0.2:7640", Long.MIN_VALUE),
                new Epoch(4, "10.0.0.3:7640", 3),
                number - 1,
                number % 2 == 0,
                number % 3 == 0,
                number,
                new TreeMap<>(Map.of("10.0.0.1:7640", 2L, "10.0.0.2:7640", 0L)),
                new TreeMap<>(Map.of("10.0.0.2:7640", 700L)),
                number % 2 == 0 ? MEMBERSHIP : Membership.NONE,
                new byte[] {1, 2, (byte) number});
    }

    private static GossipMessage gossipMessage(GossipMessage.Kind kind, List<TargetAge> targetAges) {
        List<RegistryEntry> entries = new ArrayList<>();
        for (RegistryEntry.Subject subject : RegistryEntry.Subject.values()) {
            for (RegistryEntry.State state : RegistryEntry.State.values()) {
                entries.add(new RegistryEntry(subject, "key-" + subject.ordinal(), 3 + state.ordinal(), state, "a\tb"));
            }
        }
        return new GossipMessage(
                kind,
                kind.ordinal(),
                12,
                9,
                new long[] {1, -5},
                entries,
                List.of(new StateDelta(4, 7, new byte[] {5, 6}), new StateDelta(7, 9, new byte[0])),
                new SnapshotChunk(8, 2, 20, new byte[] {1, 2, 3}),
                targetAges);
    }

    private static Map<String, Object> messages() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("hello core", new Hello(true, "10.0.0.1:7640", "10.0.0.1:8169", "hall", 77));
        all.put("hello proxy", new Hello(false, "10.0.0.9:7640", "", "hall", -1));
        for (ReplicaMessage.Kind kind : ReplicaMessage.Kind.values()) {
            all.put("replica " + kind.ordinal(), replicaMessage(kind));
        }
        for (GossipMessage.Kind kind : GossipMessage.Kind.values()) {
            all.put("gossip " + kind.ordinal(), gossipMessage(kind, List.of()));
        }
        for (PrefixCacheUpdate.Kind kind : PrefixCacheUpdate.Kind.values()) {
            all.put(
                    "prompt index " + kind.ordinal(),
                    new PrefixCacheUpdate(kind, "i-9", 4, 5, new long[] {8, -9}, new int[] {100, 0}));
        }
        all.put(
                "gossip 1 with ages",
                gossipMessage(
                        GossipMessage.Kind.REPLY, List.of(new TargetAge("m", 2, 4_000), new TargetAge("n", 7, 0))));
        return all;
    }

    @Test
    void messagesAreEncodedAsByEarlierVersions() {
        StringBuilder lines = new StringBuilder();
        messages().forEach((name, message) -> lines.append(name)
                .append(": ")
                .append(HexFormat.of().formatHex(MessageCodec.encode(message)))
                .append('\n'));
        GoldenFile.assertText("transport/messages.txt", lines.toString());
    }

    @Test
    void messagesOfEarlierVersionsAreDecodedAndEncodedTheSame() {
        for (String line : GoldenFile.text("transport/messages.txt").split("\n")) {
            byte[] golden = HexFormat.of().parseHex(line.substring(line.indexOf(": ") + 2));
            assertArrayEquals(golden, MessageCodec.encode(MessageCodec.decode(golden)), line);
        }
    }

    /** Processes of version 1 read the fields that they know and ignore the bytes behind them. */
    @Test
    void agesOfTargetVersionsFollowTheBytesOfTheMessageWithoutThem() {
        byte[] without = MessageCodec.encode(messages().get("gossip 1"));
        byte[] with = MessageCodec.encode(messages().get("gossip 1 with ages"));
        int versionOffset = 6;
        assertEquals(1, without[versionOffset]);
        assertEquals(2, with[versionOffset]);
        with[versionOffset] = 1;
        assertArrayEquals(without, Arrays.copyOf(with, without.length));
    }
}
