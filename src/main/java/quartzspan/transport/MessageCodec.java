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
 * Encodes and decodes the messages between the system's processes in SBE (src/main/sbe/messages.xml). A frame is a length of
 * four bytes in big-endian order, followed by a message with its header. A malformed message is rejected, and only its connection
 * is closed.
 */
public final class MessageCodec {
    /** Maximum size of a frame; the largest frames contain a complete configuration. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /**
     * The schema version in the header of messages without fields of a later version: processes of all versions exchange the
     * same bytes for them.
     */
    static final int BASE_SCHEMA_VERSION = 1;

    private static final int FLAG_GRANTED = 1;
    private static final int FLAG_RECOVERING = 2;

    /**
     * The first message on a connection: identifies the process that opened it.
     *
     * @param controlAddress address of the API for servers and operators; empty for proxies
     * @param incarnation random number chosen at each start of a process, to distinguish it from others at the same address
     */
    public record Hello(boolean core, String address, String controlAddress, String zone, long incarnation) {
        private static final SplittableRandom INCARNATIONS = new SplittableRandom();

        /** A hello with a new random incarnation. */
        public Hello(boolean core, String address, String controlAddress, String zone) {
            this(core, address, controlAddress, zone, INCARNATIONS.nextLong());
        }
    }

    private MessageCodec() {}

    /** Encodes a {@link Hello}, {@link ReplicaMessage}, {@link GossipMessage} or {@link PrefixCacheUpdate}, without the length of the frame. */
    public static byte[] encode(Object message) {
        MutableDirectBuffer buffer = new ExpandableArrayBuffer(512);
        MessageHeaderEncoder header = new MessageHeaderEncoder();
        int schemaVersion = BASE_SCHEMA_VERSION;
        int length;
        if (message instanceof Hello hello) {
            HelloMessageEncoder encoder = new HelloMessageEncoder().wrapAndApplyHeader(buffer, 0, header);
            encoder.core((short) (hello.core() ? 1 : 0))
                    .incarnation(hello.incarnation())
                    .address(hello.address())
                    .control(hello.controlAddress())
                    .zone(hello.zone());
            length = encoder.limit();
        } else if (message instanceof ReplicaMessage replicaMessage) {
            length = encode(replicaMessage, new ReplicaFrameEncoder().wrapAndApplyHeader(buffer, 0, header));
        } else if (message instanceof GossipMessage gossipMessage) {
            schemaVersion = GossipCodec.schemaVersion(gossipMessage);
            length = GossipCodec.encode(gossipMessage, new GossipFrameEncoder().wrapAndApplyHeader(buffer, 0, header));
        } else if (message instanceof PrefixCacheUpdate update) {
            PrefixCacheFrameEncoder encoder = new PrefixCacheFrameEncoder().wrapAndApplyHeader(buffer, 0, header);
            encoder.kind((short) update.kind().ordinal()).stream(update.stream())
                    .seq(update.seq());
            PrefixCacheFrameEncoder.BlocksEncoder blocks = encoder.blocksCount(update.blocks().length);
            for (int i = 0; i < update.blocks().length; i++) {
                blocks.next().block(update.blocks()[i]).tokens(update.tokens()[i]);
            }
            encoder.server(update.server());
            length = encoder.limit();
        } else {
            throw new IllegalArgumentException("not a message type: " + message.getClass());
        }
        header.version(schemaVersion);
        byte[] bytes = new byte[length];
        buffer.getBytes(0, bytes);
        return bytes;
    }

    /** Decodes the result of {@link #encode}. */
    public static Object decode(byte[] bytes) {
        try {
            UnsafeBuffer buffer = new UnsafeBuffer(bytes);
            MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
            if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
                throw malformed("unknown schema id " + header.schemaId());
            }
            return switch (header.templateId()) {
                case HelloMessageDecoder.TEMPLATE_ID -> decodeHello(
                        new HelloMessageDecoder().wrapAndApplyHeader(buffer, 0, header));
                case ReplicaFrameDecoder.TEMPLATE_ID -> decodeReplicaMessage(
                        new ReplicaFrameDecoder().wrapAndApplyHeader(buffer, 0, header));
                case GossipFrameDecoder.TEMPLATE_ID -> GossipCodec.decode(
                        new GossipFrameDecoder().wrapAndApplyHeader(buffer, 0, header));
                case PrefixCacheFrameDecoder.TEMPLATE_ID -> decodePrefixCacheUpdate(
                        new PrefixCacheFrameDecoder().wrapAndApplyHeader(buffer, 0, header));
                default -> throw malformed("unknown template id " + header.templateId());
            };
        } catch (IndexOutOfBoundsException | IllegalStateException | NegativeArraySizeException e) {
            throw malformed(e.getMessage());
        }
    }

    private static Hello decodeHello(HelloMessageDecoder decoder) {
        boolean core = decoder.core() == 1;
        long incarnation = decoder.incarnation();
        return new Hello(core, decoder.address(), decoder.control(), decoder.zone(), incarnation);
    }

    private static int encode(ReplicaMessage message, ReplicaFrameEncoder encoder) {
        encoder.kind((short) message.kind().ordinal())
                .flags((short) ((message.granted() ? FLAG_GRANTED : 0) | (message.recovering() ? FLAG_RECOVERING : 0)))
                .nonce(message.nonce())
                .logIndex(message.logIndex())
                .generation(message.generation())
                .epoch(message.epoch().text())
                .promisedEpoch(message.promisedEpoch().text())
                .logEpoch(message.logEpoch().text())
                .generations(formatNumbers(message.generations()))
                .sinceHeardMs(formatNumbers(message.sinceLastContactMs()))
                .membership(message.membership().text())
                .putBody(message.body(), 0, message.body().length);
        return encoder.limit();
    }

    private static ReplicaMessage decodeReplicaMessage(ReplicaFrameDecoder decoder) {
        int kind = decoder.kind();
        int flags = decoder.flags();
        if (kind >= ReplicaMessage.Kind.values().length) {
            throw malformed("unknown kind of replica message " + kind);
        }
        long nonce = decoder.nonce();
        long logIndex = decoder.logIndex();
        long generation = decoder.generation();
        Epoch epoch = Epoch.parse(decoder.epoch());
        Epoch promisedEpoch = Epoch.parse(decoder.promisedEpoch());
        Epoch logEpoch = Epoch.parse(decoder.logEpoch());
        Map<String, Long> generations = parseNumbers(decoder.generations());
        Map<String, Long> sinceLastContactMs = parseNumbers(decoder.sinceHeardMs());
        Membership membership = Membership.parse(decoder.membership());
        if (epoch == null || promisedEpoch == null || logEpoch == null || membership == null) {
            throw malformed("epoch or membership is invalid");
        }
        byte[] body =
                new byte[checkedLength(decoder.bodyLength(), decoder.buffer().capacity())];
        decoder.getBody(body, 0, body.length);
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
                sinceLastContactMs,
                membership,
                body);
    }

    private static String formatNumbers(Map<String, Long> numbers) {
        StringJoiner pairs = new StringJoiner(",");
        numbers.forEach((name, number) -> pairs.add(name + '=' + number));
        return pairs.toString();
    }

    private static Map<String, Long> parseNumbers(String text) {
        Map<String, Long> pairs = new TreeMap<>();
        try {
            for (String entry : text.isEmpty() ? new String[0] : text.split(",")) {
                int equals = entry.lastIndexOf('=');
                pairs.put(entry.substring(0, equals), Long.parseLong(entry.substring(equals + 1)));
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw malformed("list of name=number pairs is invalid");
        }
        return pairs;
    }

    private static PrefixCacheUpdate decodePrefixCacheUpdate(PrefixCacheFrameDecoder decoder) {
        int kind = decoder.kind();
        if (kind >= PrefixCacheUpdate.Kind.values().length) {
            throw malformed("unknown kind of prefix cache update " + kind);
        }
        long stream = decoder.stream();
        long seq = decoder.seq();
        PrefixCacheFrameDecoder.BlocksDecoder blocksDecoder = decoder.blocks();
        int count = checkedLength(blocksDecoder.count(), PrefixCacheUpdate.MAX_BLOCKS);
        long[] blocks = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            blocksDecoder.next();
            blocks[i] = blocksDecoder.block();
            tokens[i] = blocksDecoder.tokens();
        }
        return new PrefixCacheUpdate(
                PrefixCacheUpdate.Kind.values()[kind], decoder.server(), stream, seq, blocks, tokens);
    }

    static int checkedLength(int length, int max) {
        if (length < 0 || length > max) {
            throw malformed("length " + length + " is not between 0 and " + max);
        }
        return length;
    }

    static FleetException malformed(String detail) {
        return new FleetException(
                FleetException.Code.MESSAGE_INVALID,
                "malformed message: " + detail,
                "run the same version on all machines");
    }
}
