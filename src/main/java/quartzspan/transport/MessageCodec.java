package quartzspan.transport;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import quartzspan.common.FleetException;
import quartzspan.promptindex.PromptIndexUpdate;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.View;
import quartzspan.transport.sbe.GossipFrameDecoder;
import quartzspan.transport.sbe.GossipFrameEncoder;
import quartzspan.transport.sbe.HelloMessageDecoder;
import quartzspan.transport.sbe.HelloMessageEncoder;
import quartzspan.transport.sbe.MessageHeaderDecoder;
import quartzspan.transport.sbe.MessageHeaderEncoder;
import quartzspan.transport.sbe.PromptIndexFrameDecoder;
import quartzspan.transport.sbe.PromptIndexFrameEncoder;
import quartzspan.transport.sbe.ReplicaFrameDecoder;
import quartzspan.transport.sbe.ReplicaFrameEncoder;

/**
 * The messages between the system's processes, in SBE (src/main/sbe/messages.xml). One frame is a length of four bytes, big
 * end first, then a message with its header. Whatever is no such message is refused, and costs its connection only.
 */
public final class MessageCodec {
    /** No frame is longer; the largest hold a whole configuration. */
    public static final int MOST_BYTES = 16 * 1024 * 1024;

    private static final int MOST_ENTRIES = 60_000;

    /**
     * Who opened a connection.
     *
     * @param control where it answers servers and operators, empty for proxies
     * @param life drawn at random at each start of a process, so that its successor at the same address is told from it
     */
    public record Hello(boolean core, String address, String control, String zone, long life) {
        private static final SecureRandom LIVES = new SecureRandom();

        /** A new life at an address. */
        public Hello(boolean core, String address, String control, String zone) {
            this(core, address, control, zone, LIVES.nextLong());
        }
    }

    private MessageCodec() {}

    /** One of {@link Hello}, {@link ReplicaMessage}, {@link GossipMessage} and {@link PromptIndexUpdate}, as bytes without the length. */
    public static byte[] encode(Object message) {
        MutableDirectBuffer to = new ExpandableArrayBuffer(512);
        MessageHeaderEncoder head = new MessageHeaderEncoder();
        int length;
        if (message instanceof Hello h) {
            HelloMessageEncoder e = new HelloMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.core((short) (h.core() ? 1 : 0))
                    .life(h.life())
                    .address(h.address())
                    .control(h.control())
                    .zone(h.zone());
            length = e.limit();
        } else if (message instanceof ReplicaMessage l) {
            ReplicaFrameEncoder e = new ReplicaFrameEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) l.kind().ordinal())
                    .flags((short) ((l.ok() ? 1 : 0) | (l.blank() ? 2 : 0)))
                    .epoch(l.epoch())
                    .nonce(l.nonce())
                    .promised(l.promised())
                    .copyEpoch(l.copyEpoch())
                    .index(l.index())
                    .view(l.view().text())
                    .putBody(l.body(), 0, l.body().length);
            length = e.limit();
        } else if (message instanceof GossipMessage t) {
            GossipFrameEncoder e = new GossipFrameEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) t.kind().ordinal())
                    .nonce(t.nonce())
                    .ageMs(t.ageMs())
                    .stateEpoch(t.stateEpoch())
                    .stateIndex(t.stateIndex());
            GossipFrameEncoder.BucketsEncoder buckets = e.bucketsCount(t.buckets().length);
            for (long b : t.buckets()) {
                buckets.next().digest(b);
            }
            GossipFrameEncoder.EntriesEncoder entries =
                    e.entriesCount(t.entries().size());
            for (RegistryEntry f : t.entries()) {
                entries.next()
                        .subject((short) f.subject().ordinal())
                        .state((short) f.state().ordinal())
                        .seq(f.seq())
                        .key(f.key())
                        .text(f.text());
            }
            e.putControlState(t.controlState(), 0, t.controlState().length);
            length = e.limit();
        } else if (message instanceof PromptIndexUpdate c) {
            PromptIndexFrameEncoder e = new PromptIndexFrameEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) c.kind().ordinal()).stream(c.stream()).seq(c.seq());
            PromptIndexFrameEncoder.PartsEncoder parts = e.partsCount(c.parts().length);
            for (int i = 0; i < c.parts().length; i++) {
                parts.next().part(c.parts()[i]).tokens(c.tokens()[i]);
            }
            e.server(c.server());
            length = e.limit();
        } else {
            throw new IllegalArgumentException("no message: " + message.getClass());
        }
        byte[] bytes = new byte[length];
        to.getBytes(0, bytes);
        return bytes;
    }

    /** Reads {@link #encode}. */
    public static Object decode(byte[] bytes) {
        try {
            UnsafeBuffer from = new UnsafeBuffer(bytes);
            MessageHeaderDecoder head = new MessageHeaderDecoder().wrap(from, 0);
            if (head.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
                throw nonsense("schema " + head.schemaId());
            }
            return switch (head.templateId()) {
                case HelloMessageDecoder.TEMPLATE_ID -> hello(
                        new HelloMessageDecoder().wrapAndApplyHeader(from, 0, head));
                case ReplicaFrameDecoder.TEMPLATE_ID -> replicaMessage(
                        new ReplicaFrameDecoder().wrapAndApplyHeader(from, 0, head));
                case GossipFrameDecoder.TEMPLATE_ID -> gossipMessage(
                        new GossipFrameDecoder().wrapAndApplyHeader(from, 0, head));
                case PromptIndexFrameDecoder.TEMPLATE_ID -> promptIndexUpdate(
                        new PromptIndexFrameDecoder().wrapAndApplyHeader(from, 0, head));
                default -> throw nonsense("message " + head.templateId());
            };
        } catch (IndexOutOfBoundsException | IllegalStateException | NegativeArraySizeException e) {
            throw nonsense(e.getMessage());
        }
    }

    private static Hello hello(HelloMessageDecoder d) {
        boolean core = d.core() == 1;
        long life = d.life();
        return new Hello(core, d.address(), d.control(), d.zone(), life);
    }

    private static ReplicaMessage replicaMessage(ReplicaFrameDecoder d) {
        int kind = d.kind();
        int flags = d.flags();
        if (kind >= ReplicaMessage.Kind.values().length) {
            throw nonsense("message " + kind);
        }
        long epoch = d.epoch();
        long nonce = d.nonce();
        long promised = d.promised();
        long copyEpoch = d.copyEpoch();
        long index = d.index();
        View view = View.parse(d.view());
        if (view == null) {
            throw nonsense("no view");
        }
        byte[] body = new byte[bounded(d.bodyLength(), MOST_BYTES)];
        d.getBody(body, 0, body.length);
        return new ReplicaMessage(
                ReplicaMessage.Kind.values()[kind],
                epoch,
                nonce,
                promised,
                copyEpoch,
                index,
                (flags & 1) != 0,
                (flags & 2) != 0,
                view,
                body);
    }

    private static GossipMessage gossipMessage(GossipFrameDecoder d) {
        int kind = d.kind();
        if (kind >= GossipMessage.Kind.values().length) {
            throw nonsense("message " + kind);
        }
        long nonce = d.nonce();
        long age = d.ageMs();
        long epoch = d.stateEpoch();
        long index = d.stateIndex();
        GossipFrameDecoder.BucketsDecoder b = d.buckets();
        long[] buckets = new long[bounded(b.count(), 4096)];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = b.next().digest();
        }
        GossipFrameDecoder.EntriesDecoder f = d.entries();
        int count = bounded(f.count(), MOST_ENTRIES);
        List<RegistryEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            f.next();
            int subject = f.subject();
            int state = f.state();
            long seq = f.seq();
            String key = f.key();
            String text = f.text();
            if (subject >= RegistryEntry.Subject.values().length || state >= RegistryEntry.State.values().length) {
                throw nonsense("entry " + subject + "/" + state);
            }
            entries.add(new RegistryEntry(
                    RegistryEntry.Subject.values()[subject], key, seq, RegistryEntry.State.values()[state], text));
        }
        byte[] controlState = new byte[bounded(d.controlStateLength(), MOST_BYTES)];
        d.getControlState(controlState, 0, controlState.length);
        return new GossipMessage(
                GossipMessage.Kind.values()[kind], nonce, age, epoch, index, buckets, entries, controlState);
    }

    private static PromptIndexUpdate promptIndexUpdate(PromptIndexFrameDecoder d) {
        int kind = d.kind();
        if (kind >= PromptIndexUpdate.Kind.values().length) {
            throw nonsense("promptIndexUpdate " + kind);
        }
        long stream = d.stream();
        long seq = d.seq();
        PromptIndexFrameDecoder.PartsDecoder p = d.parts();
        int count = bounded(p.count(), PromptIndexUpdate.MOST);
        long[] parts = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            p.next();
            parts[i] = p.part();
            tokens[i] = p.tokens();
        }
        return new PromptIndexUpdate(PromptIndexUpdate.Kind.values()[kind], d.server(), stream, seq, parts, tokens);
    }

    private static int bounded(int length, int most) {
        if (length < 0 || length > most) {
            throw nonsense("length " + length);
        }
        return length;
    }

    private static FleetException nonsense(String what) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "no message of ours: " + what,
                "run the same version on all machines");
    }
}
