package quartzspan.waybill;

import java.util.ArrayList;
import java.util.List;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.agrona.ExpandableArrayBuffer;
import quartzspan.docket.Letter;
import quartzspan.docket.View;
import quartzspan.papers.Refusal;
import quartzspan.roster.Fact;
import quartzspan.roster.Tidings;
import quartzspan.warehouse.Consignment;
import quartzspan.waybill.sbe.HelloMessageDecoder;
import quartzspan.waybill.sbe.HelloMessageEncoder;
import quartzspan.waybill.sbe.LetterMessageDecoder;
import quartzspan.waybill.sbe.LetterMessageEncoder;
import quartzspan.waybill.sbe.MessageHeaderDecoder;
import quartzspan.waybill.sbe.MessageHeaderEncoder;
import quartzspan.waybill.sbe.StockMessageDecoder;
import quartzspan.waybill.sbe.StockMessageEncoder;
import quartzspan.waybill.sbe.TidingsMessageDecoder;
import quartzspan.waybill.sbe.TidingsMessageEncoder;

/**
 * The messages between the system's processes, in SBE (src/main/sbe/waybill.xml). One frame is a length of four bytes, big
 * end first, then a message with its header. Whatever is no such message is refused, and costs its connection only.
 */
public final class Waybill {
    /** No frame is longer; the largest hold a whole configuration. */
    public static final int MOST_BYTES = 16 * 1024 * 1024;
    private static final int MOST_FACTS = 60_000;

    /** Who opened a connection; {@code control} is where it answers servers and operators, empty for proxies. */
    public record Hello(boolean core, String address, String control, String zone) { }

    private Waybill() { }

    /** One of {@link Hello}, {@link Letter}, {@link Tidings} and {@link Consignment}, as bytes without the length. */
    public static byte[] encode(Object message) {
        MutableDirectBuffer to = new ExpandableArrayBuffer(512);
        MessageHeaderEncoder head = new MessageHeaderEncoder();
        int length;
        if (message instanceof Hello h) {
            HelloMessageEncoder e = new HelloMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.core((short) (h.core() ? 1 : 0)).address(h.address()).control(h.control()).zone(h.zone());
            length = e.limit();
        } else if (message instanceof Letter l) {
            LetterMessageEncoder e = new LetterMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) l.kind().ordinal()).flags((short) ((l.ok() ? 1 : 0) | (l.blank() ? 2 : 0))).epoch(l.epoch())
                    .nonce(l.nonce()).promised(l.promised()).copyEpoch(l.copyEpoch()).index(l.index())
                    .view(l.view().text()).putBody(l.body(), 0, l.body().length);
            length = e.limit();
        } else if (message instanceof Tidings t) {
            TidingsMessageEncoder e = new TidingsMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) t.kind().ordinal()).nonce(t.nonce()).ageMs(t.ageMs()).ledgerEpoch(t.ledgerEpoch())
                    .ledgerIndex(t.ledgerIndex());
            TidingsMessageEncoder.BucketsEncoder buckets = e.bucketsCount(t.buckets().length);
            for (long b : t.buckets()) {
                buckets.next().digest(b);
            }
            TidingsMessageEncoder.FactsEncoder facts = e.factsCount(t.facts().size());
            for (Fact f : t.facts()) {
                facts.next().subject((short) f.subject().ordinal()).state((short) f.state().ordinal()).seq(f.seq())
                        .key(f.key()).text(f.text());
            }
            e.putLedger(t.ledger(), 0, t.ledger().length);
            length = e.limit();
        } else if (message instanceof Consignment c) {
            StockMessageEncoder e = new StockMessageEncoder().wrapAndApplyHeader(to, 0, head);
            e.kind((short) c.kind().ordinal()).stream(c.stream()).seq(c.seq());
            StockMessageEncoder.PartsEncoder parts = e.partsCount(c.parts().length);
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
                case HelloMessageDecoder.TEMPLATE_ID -> hello(new HelloMessageDecoder().wrapAndApplyHeader(from, 0, head));
                case LetterMessageDecoder.TEMPLATE_ID -> letter(new LetterMessageDecoder().wrapAndApplyHeader(from, 0, head));
                case TidingsMessageDecoder.TEMPLATE_ID ->
                        tidings(new TidingsMessageDecoder().wrapAndApplyHeader(from, 0, head));
                case StockMessageDecoder.TEMPLATE_ID ->
                        consignment(new StockMessageDecoder().wrapAndApplyHeader(from, 0, head));
                default -> throw nonsense("message " + head.templateId());
            };
        } catch (IndexOutOfBoundsException | IllegalStateException | NegativeArraySizeException e) {
            throw nonsense(e.getMessage());
        }
    }

    private static Hello hello(HelloMessageDecoder d) {
        boolean core = d.core() == 1;
        return new Hello(core, d.address(), d.control(), d.zone());
    }

    private static Letter letter(LetterMessageDecoder d) {
        int kind = d.kind();
        int flags = d.flags();
        if (kind >= Letter.Kind.values().length) {
            throw nonsense("letter " + kind);
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
        return new Letter(Letter.Kind.values()[kind], epoch, nonce, promised, copyEpoch, index, (flags & 1) != 0,
                (flags & 2) != 0, view, body);
    }

    private static Tidings tidings(TidingsMessageDecoder d) {
        int kind = d.kind();
        if (kind >= Tidings.Kind.values().length) {
            throw nonsense("tidings " + kind);
        }
        long nonce = d.nonce();
        long age = d.ageMs();
        long epoch = d.ledgerEpoch();
        long index = d.ledgerIndex();
        TidingsMessageDecoder.BucketsDecoder b = d.buckets();
        long[] buckets = new long[bounded(b.count(), 4096)];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = b.next().digest();
        }
        TidingsMessageDecoder.FactsDecoder f = d.facts();
        int count = bounded(f.count(), MOST_FACTS);
        List<Fact> facts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            f.next();
            int subject = f.subject();
            int state = f.state();
            long seq = f.seq();
            String key = f.key();
            String text = f.text();
            if (subject >= Fact.Subject.values().length || state >= Fact.State.values().length) {
                throw nonsense("fact " + subject + "/" + state);
            }
            facts.add(new Fact(Fact.Subject.values()[subject], key, seq, Fact.State.values()[state], text));
        }
        byte[] ledger = new byte[bounded(d.ledgerLength(), MOST_BYTES)];
        d.getLedger(ledger, 0, ledger.length);
        return new Tidings(Tidings.Kind.values()[kind], nonce, age, epoch, index, buckets, facts, ledger);
    }

    private static Consignment consignment(StockMessageDecoder d) {
        int kind = d.kind();
        if (kind >= Consignment.Kind.values().length) {
            throw nonsense("consignment " + kind);
        }
        long stream = d.stream();
        long seq = d.seq();
        StockMessageDecoder.PartsDecoder p = d.parts();
        int count = bounded(p.count(), Consignment.MOST);
        long[] parts = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            p.next();
            parts[i] = p.part();
            tokens[i] = p.tokens();
        }
        return new Consignment(Consignment.Kind.values()[kind], d.server(), stream, seq, parts, tokens);
    }

    private static int bounded(int length, int most) {
        if (length < 0 || length > most) {
            throw nonsense("length " + length);
        }
        return length;
    }

    private static Refusal nonsense(String what) {
        return new Refusal(Refusal.Code.MESSAGE_INVALID, "no message of ours: " + what,
                "run the same version on all machines");
    }

}
