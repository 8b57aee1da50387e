package quartzspan.transport;

import java.util.ArrayList;
import java.util.List;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.SnapshotChunk;
import quartzspan.registry.StateDelta;
import quartzspan.transport.sbe.GossipFrameDecoder;
import quartzspan.transport.sbe.GossipFrameEncoder;

/** Gossip messages in SBE. */
final class GossipCodec {
    private static final int MAX_BUCKETS = 4096;
    private static final int MAX_ENTRIES = 60_000;
    private static final int MAX_DELTAS = 4096;

    private GossipCodec() {}

    /** Writes a message behind its header; where it ends. */
    static int encode(GossipMessage message, GossipFrameEncoder to) {
        SnapshotChunk chunk = message.chunk();
        to.kind((short) message.kind().ordinal())
                .nonce(message.nonce())
                .ageMs(message.ageMs())
                .stateIndex(message.stateIndex())
                .snapshotIndex(chunk.index())
                .snapshotOffset(chunk.offset())
                .snapshotTotal(chunk.totalBytes());
        GossipFrameEncoder.BucketsEncoder buckets = to.bucketsCount(message.digests().length);
        for (long digest : message.digests()) {
            buckets.next().digest(digest);
        }
        GossipFrameEncoder.EntriesEncoder entries =
                to.entriesCount(message.entries().size());
        for (RegistryEntry entry : message.entries()) {
            entries.next()
                    .subject((short) entry.subject().ordinal())
                    .state((short) entry.state().ordinal())
                    .seq(entry.seq())
                    .key(entry.key())
                    .text(entry.text());
        }
        GossipFrameEncoder.DeltasEncoder deltas =
                to.deltasCount(message.deltas().size());
        for (StateDelta delta : message.deltas()) {
            deltas.next()
                    .from(delta.fromIndex())
                    .to(delta.toIndex())
                    .putChange(delta.change(), 0, delta.change().length);
        }
        to.putSnapshotBytes(chunk.bytes(), 0, chunk.bytes().length);
        return to.limit();
    }

    /** Reads {@link #encode}. */
    static GossipMessage decode(GossipFrameDecoder from) {
        int kind = from.kind();
        if (kind >= GossipMessage.Kind.values().length) {
            throw MessageCodec.malformed("message " + kind);
        }
        long nonce = from.nonce();
        long age = from.ageMs();
        long stateIndex = from.stateIndex();
        long snapshotIndex = from.snapshotIndex();
        int offset = MessageCodec.bounded(from.snapshotOffset(), MessageCodec.MAX_FRAME_BYTES);
        int total = MessageCodec.bounded(from.snapshotTotal(), MessageCodec.MAX_FRAME_BYTES);
        long[] buckets = buckets(from.buckets());
        List<RegistryEntry> entries = entries(from.entries());
        List<StateDelta> deltas = deltas(from.deltas());
        byte[] bytes = new byte[MessageCodec.bounded(from.snapshotBytesLength(), MessageCodec.MAX_FRAME_BYTES)];
        from.getSnapshotBytes(bytes, 0, bytes.length);
        return new GossipMessage(
                GossipMessage.Kind.values()[kind],
                nonce,
                age,
                stateIndex,
                buckets,
                entries,
                deltas,
                new SnapshotChunk(snapshotIndex, offset, total, bytes));
    }

    private static long[] buckets(GossipFrameDecoder.BucketsDecoder from) {
        long[] buckets = new long[MessageCodec.bounded(from.count(), MAX_BUCKETS)];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = from.next().digest();
        }
        return buckets;
    }

    private static List<RegistryEntry> entries(GossipFrameDecoder.EntriesDecoder from) {
        int count = MessageCodec.bounded(from.count(), MAX_ENTRIES);
        List<RegistryEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            from.next();
            int subject = from.subject();
            int state = from.state();
            if (subject >= RegistryEntry.Subject.values().length || state >= RegistryEntry.State.values().length) {
                throw MessageCodec.malformed("entry " + subject + "/" + state);
            }
            long seq = from.seq();
            String key = from.key();
            String text = from.text();
            entries.add(new RegistryEntry(
                    RegistryEntry.Subject.values()[subject], key, seq, RegistryEntry.State.values()[state], text));
        }
        return entries;
    }

    private static List<StateDelta> deltas(GossipFrameDecoder.DeltasDecoder from) {
        int count = MessageCodec.bounded(from.count(), MAX_DELTAS);
        List<StateDelta> deltas = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            from.next();
            long start = from.from();
            long end = from.to();
            byte[] change = new byte[MessageCodec.bounded(from.changeLength(), MessageCodec.MAX_FRAME_BYTES)];
            from.getChange(change, 0, change.length);
            deltas.add(new StateDelta(start, end, change));
        }
        return deltas;
    }
}
