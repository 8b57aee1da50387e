package quartzspan.transport;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import quartzspan.common.FleetException;
import quartzspan.prefixcache.PrefixCacheUpdate;
import quartzspan.registry.GossipMessage;
import quartzspan.replication.Epoch;
import quartzspan.replication.Membership;
import quartzspan.replication.ReplicaMessage;
import quartzspan.transport.sbe.GossipFrameDecoder;
import quartzspan.transport.sbe.GossipFrameEncoder;
import quartzspan.transport.sbe.HelloMessageDecoder;
import quartzspan.transport.sbe.HelloMessageEncoder;
import quartzspan.transport.sbe.MessageHeaderDecoder;
import quartzspan.transport.sbe.MessageHeaderEncoder;
import quartzspan.transport.sbe.PrefixCacheFrameDecoder;
import quartzspan.transport.sbe.PrefixCacheFrameEncoder;
import quartzspan.transport.sbe.ReplicaFrameDecoder;
import quartzspan.transport.sbe.ReplicaFrameEncoder;

/**
 * The messages between the system's processes, in SBE (src/main/sbe/messages.xml). One frame is a length of four bytes, big
 * end first, then a message with its header. Whatever is no such message is refused, and costs its connection only.
 */
public final class MessageCodec {
    /** No frame is longer; the largest have a complete configuration. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int FLAG_GRANTED = 1;
    private static final int FLAG_RECOVERING = 2;

    /**
     * Who opened a connection.
     *
     * @param control where it answers servers and operators, empty for proxies
     * @param incarnation drawn at random at each start of a process, so that its successor at the same address can be distinguished
     */
    public record Hello(boolean core, String address, String control, String zone, long incarnation) {
        private static final SplittableRandom INCARNATIONS = new SplittableRandom();

        /** A new incarnation at an address. */
        public Hello(boolean core, String address, String control, String zone) {
            this(core, address, control, zone, INCARNATIONS.nextLong());
        }
    }

    private MessageCodec() {}

    /** One of {@link Hello}, {@link ReplicaMessage}, {@link GossipMessage} and {@link PrefixCacheUpdate}, as bytes without the length. */
    public static byte[] encode(Object message) {
        MutableDirectBuffer to = new ExpandableArrayBuffer(512);
        MessageHeaderEncoder head = new MessageHeaderEncoder();
        int length;
        if (message instanceof Hello h) {
            HelloMessageEncoder e = new HelloMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.core((short) (h.core() ? 1 : 0))
                    .incarnation(h.incarnation())
                    .address(h.address())
                    .control(h.control())
                    .zone(h.zone());
            length = e.limit();
        } else if (message instanceof ReplicaMessage l) {
            length = encode(l, new ReplicaFrameEncoder().wrapAndApplyHeader(to, 0, head));
        } else if (message instanceof GossipMessage t) {
            length = GossipCodec.encode(t, new GossipFrameEncoder().wrapAndApplyHeader(to, 0, head));
        } else if (message instanceof PrefixCacheUpdate c) {
            PrefixCacheFrameEncoder e = new PrefixCacheFrameEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) c.kind().ordinal()).stream(c.stream()).seq(c.seq());
            PrefixCacheFrameEncoder.BlocksEncoder blocks = e.blocksCount(c.blocks().length);
            for (int i = 0; i < c.blocks().length; i++) {
                blocks.next().block(c.blocks()[i]).tokens(c.tokens()[i]);
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
                throw malformed("schema " + head.schemaId());
            }
            return switch (head.templateId()) {
                case HelloMessageDecoder.TEMPLATE_ID -> hello(
                        new HelloMessageDecoder().wrapAndApplyHeader(from, 0, head));
                case ReplicaFrameDecoder.TEMPLATE_ID -> replicaMessage(
                        new ReplicaFrameDecoder().wrapAndApplyHeader(from, 0, head));
                case GossipFrameDecoder.TEMPLATE_ID -> GossipCodec.decode(
                        new GossipFrameDecoder().wrapAndApplyHeader(from, 0, head));
                case PrefixCacheFrameDecoder.TEMPLATE_ID -> prefixCacheUpdate(
                        new PrefixCacheFrameDecoder().wrapAndApplyHeader(from, 0, head));
                default -> throw malformed("message " + head.templateId());
            };
        } catch (IndexOutOfBoundsException | IllegalStateException | NegativeArraySizeException e) {
            throw malformed(e.getMessage());
        }
    }

    private static Hello hello(HelloMessageDecoder d) {
        boolean core = d.core() == 1;
        long incarnation = d.incarnation();
        return new Hello(core, d.address(), d.control(), d.zone(), incarnation);
    }

    private static int encode(ReplicaMessage message, ReplicaFrameEncoder to) {
        to.kind((short) message.kind().ordinal())
                .flags((short) ((message.granted() ? FLAG_GRANTED : 0) | (message.recovering() ? FLAG_RECOVERING : 0)))
                .nonce(message.nonce())
                .logIndex(message.logIndex())
                .generation(message.generation())
                .epoch(message.epoch().text())
                .promisedEpoch(message.promisedEpoch().text())
                .logEpoch(message.logEpoch().text())
                .generations(text(message.generations()))
                .sinceHeardMs(text(message.sinceLastContactMs()))
                .membership(message.membership().text())
                .putBody(message.body(), 0, message.body().length);
        return to.limit();
    }

    private static ReplicaMessage replicaMessage(ReplicaFrameDecoder d) {
        int kind = d.kind();
        int flags = d.flags();
        if (kind >= ReplicaMessage.Kind.values().length) {
            throw malformed("replica message " + kind);
        }
        long nonce = d.nonce();
        long logIndex = d.logIndex();
        long generation = d.generation();
        Epoch epoch = Epoch.parse(d.epoch());
        Epoch promisedEpoch = Epoch.parse(d.promisedEpoch());
        Epoch logEpoch = Epoch.parse(d.logEpoch());
        Map<String, Long> generations = numbers(d.generations());
        Map<String, Long> sinceHeardMs = numbers(d.sinceHeardMs());
        Membership membership = Membership.parse(d.membership());
        if (epoch == null || promisedEpoch == null || logEpoch == null || membership == null) {
            throw malformed("no epoch or no membership");
        }
        byte[] body = new byte[bounded(d.bodyLength(), MAX_FRAME_BYTES)];
        d.getBody(body, 0, body.length);
        return new ReplicaMessage(
                ReplicaMessage.Kind.values()[kind],
                epoch,
                nonce,
                promisedEpoch,
                logEpoch,
                logIndex,
                (flags & FLAG_GRANTED) != 0,
                (flags & FLAG_RECOVERING) != 0,
                generation,
                generations,
                sinceHeardMs,
                membership,
                body);
    }

    private static String text(Map<String, Long> numbers) {
        StringJoiner all = new StringJoiner(",");
        numbers.forEach((name, number) -> all.add(name + '=' + number));
        return all.toString();
    }

    private static Map<String, Long> numbers(String text) {
        Map<String, Long> all = new TreeMap<>();
        try {
            for (String entry : text.isEmpty() ? new String[0] : text.split(",")) {
                int equals = entry.lastIndexOf('=');
                all.put(entry.substring(0, equals), Long.parseLong(entry.substring(equals + 1)));
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw malformed("no numbers by name");
        }
        return all;
    }

    private static PrefixCacheUpdate prefixCacheUpdate(PrefixCacheFrameDecoder d) {
        int kind = d.kind();
        if (kind >= PrefixCacheUpdate.Kind.values().length) {
            throw malformed("promptIndexUpdate " + kind);
        }
        long stream = d.stream();
        long seq = d.seq();
        PrefixCacheFrameDecoder.BlocksDecoder p = d.blocks();
        int count = bounded(p.count(), PrefixCacheUpdate.MAX_BLOCKS);
        long[] blocks = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            p.next();
            blocks[i] = p.block();
            tokens[i] = p.tokens();
        }
        return new PrefixCacheUpdate(PrefixCacheUpdate.Kind.values()[kind], d.server(), stream, seq, blocks, tokens);
    }

    static int bounded(int length, int most) {
        if (length < 0 || length > most) {
            throw malformed("length " + length);
        }
        return length;
    }

    static FleetException malformed(String what) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "no message of ours: " + what,
                "run the same version on all machines");
    }
}
