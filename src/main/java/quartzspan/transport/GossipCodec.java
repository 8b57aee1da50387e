package quartzspan.transport;

import java.util.ArrayList;
import java.util.List;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.SnapshotChunk;
import quartzspan.registry.StateDelta;
import quartzspan.transport.sbe.GossipFrameDecoder;
import quartzspan.transport.sbe.GossipFrameEncoder;

/** Encodes and decodes gossip messages in SBE. */
final class GossipCodec {
    private static final int MAX_BUCKETS = 4096;
    private static final int MAX_ENTRIES = 60_000;
    private static final int MAX_DELTAS = 4096;

    private GossipCodec() {}

    /** The schema version by which a message is encoded: one without ages of target versions is as in version 1. */
    static int schemaVersion(GossipMessage message) {
        return message.targetAges().isEmpty() ? MessageCodec.BASE_SCHEMA_VERSION : GossipFrameEncoder.SCHEMA_VERSION;
    }

    /** Encodes a message after its header; returns the end position. */
    static int encode(GossipMessage message, GossipFrameEncoder encoder) {
        SnapshotChunk chunk = message.chunk();
        encoder.kind((short) message.kind().ordinal())
                .nonce(message.nonce())
                .ageMs(message.ageMs())
                .stateIndex(message.stateIndex())
                .snapshotIndex(chunk.index())
                .snapshotOffset(chunk.offset())
                .snapshotTotal(chunk.totalBytes());
        GossipFrameEncoder.BucketsEncoder buckets = encoder.bucketsCount(message.digests().length);
        for (long digest : message.digests()) {
            buckets.next().digest(digest);
        }
        GossipFrameEncoder.EntriesEncoder entries =
                encoder.entriesCount(message.entries().size());
        for (RegistryEntry entry : message.entries()) {
            entries.next()
                    .subject((short) entry.subject().ordinal())
                    .state((short) entry.state().ordinal())
                    .seq(entry.seq())
                    .key(entry.key())
                    .text(entry.text());
        }
        GossipFrameEncoder.DeltasEncoder deltas =
                encoder.deltasCount(message.deltas().size());
        for (StateDelta delta : message.deltas()) {
            deltas.next()
                    .from(delta.fromIndex())
                    .to(delta.toIndex())
                    .putChange(delta.change(), 0, delta.change().length);
        }
        encoder.putSnapshotBytes(chunk.bytes(), 0, chunk.bytes().length);
        if (!message.targetAges().isEmpty()) {
            byte[] targetAges = TargetAgesCodec.encode(message.targetAges());
            encoder.putTargetAges(targetAges, 0, targetAges.length);
        }
        return encoder.limit();
    }

    /** Decodes the result of {@link #encode}. */
    static GossipMessage decode(GossipFrameDecoder decoder) {
        int kind = decoder.kind();
        if (kind >= GossipMessage.Kind.values().length) {
            throw MessageCodec.malformed("unknown kind of gossip message " + kind);
        }
        long nonce = decoder.nonce();
        long ageMs = decoder.ageMs();
        long stateIndex = decoder.stateIndex();
        long snapshotIndex = decoder.snapshotIndex();
        int offset = MessageCodec.checkedLength(decoder.snapshotOffset(), MessageCodec.MAX_FRAME_BYTES);
        int total = MessageCodec.checkedLength(decoder.snapshotTotal(), MessageCodec.MAX_FRAME_BYTES);
        long[] buckets = buckets(decoder.buckets());
        List<RegistryEntry> entries = entries(decoder.entries());
        List<StateDelta> deltas = deltas(decoder.deltas());
        byte[] bytes =
                new byte[MessageCodec.checkedLength(decoder.snapshotBytesLength(), MessageCodec.MAX_FRAME_BYTES)];
        decoder.getSnapshotBytes(bytes, 0, bytes.length);
        byte[] targetAges =
                new byte[MessageCodec.checkedLength(decoder.targetAgesLength(), MessageCodec.MAX_FRAME_BYTES)];
        decoder.getTargetAges(targetAges, 0, targetAges.length);
        return new GossipMessage(
                GossipMessage.Kind.values()[kind],
                nonce,
                ageMs,
                stateIndex,
                buckets,
                entries,
                deltas,
                new SnapshotChunk(snapshotIndex, offset, total, bytes),
                TargetAgesCodec.decode(targetAges));
    }

    private static long[] buckets(GossipFrameDecoder.BucketsDecoder decoder) {
        long[] buckets = new long[MessageCodec.checkedLength(decoder.count(), MAX_BUCKETS)];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = decoder.next().digest();
        }
        return buckets;
    }

    private static List<RegistryEntry> entries(GossipFrameDecoder.EntriesDecoder decoder) {
        int count = MessageCodec.checkedLength(decoder.count(), MAX_ENTRIES);
        List<RegistryEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            decoder.next();
            int subject = decoder.subject();
            int state = decoder.state();
            if (subject >= RegistryEntry.Subject.values().length || state >= RegistryEntry.State.values().length) {
                throw MessageCodec.malformed("unknown subject or state of a registry entry: " + subject + "/" + state);
            }
            long seq = decoder.seq();
            String key = decoder.key();
            String text = decoder.text();
            entries.add(new RegistryEntry(
                    RegistryEntry.Subject.values()[subject], key, seq, RegistryEntry.State.values()[state], text));
        }
        return entries;
    }

    private static List<StateDelta> deltas(GossipFrameDecoder.DeltasDecoder decoder) {
        int count = MessageCodec.checkedLength(decoder.count(), MAX_DELTAS);
        List<StateDelta> deltas = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            decoder.next();
            long fromIndex = decoder.from();
            long toIndex = decoder.to();
            byte[] change = new byte[MessageCodec.checkedLength(decoder.changeLength(), MessageCodec.MAX_FRAME_BYTES)];
            decoder.getChange(change, 0, change.length);
            deltas.add(new StateDelta(fromIndex, toIndex, change));
        }
        return deltas;
    }
}
