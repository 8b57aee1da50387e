package quartzspan.waybill;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quartzspan.docket.Letter;
import quartzspan.docket.View;
import quartzspan.papers.Refusal;
import quartzspan.roster.Fact;
import quartzspan.roster.Tidings;
import quartzspan.warehouse.Consignment;
import quartzspan.waybill.Waybill.Hello;

/** What goes in comes out; what is cut or spoilt is refused or read as something, and never worse. */
class WaybillTest {
    private static final Hello HELLO = new Hello(true, "10.0.0.1:70", "10.0.0.1:80", "zône");
    private static final Letter LETTER = new Letter(Letter.Kind.COPY, 5, -1, 7, 8, Long.MAX_VALUE, true, false,
            new View(5, "a:1", List.of("a:1", "b:1"), List.of("a:1", "b:1", "c:1")), new byte[] {1, 2, 3});
    private static final Tidings TIDINGS = new Tidings(Tidings.Kind.ANSWER, 3, 12, 4, 9, new long[] {1, -5, 9},
            List.of(new Fact(Fact.Subject.SERVER, "i-1", 17, Fact.State.DRAINING, "s\tx"),
                    new Fact(Fact.Subject.PROXY, "", 0, Fact.State.READY, "")), new byte[70_000]);
    private static final Consignment CONSIGNMENT = new Consignment(Consignment.Kind.NEWS, "i-9", 4, 5, new long[] {8, 9},
            new int[] {100, 0});

    @Test
    void whatGoesInComesOut() {
        assertEquals(HELLO, Waybill.decode(Waybill.encode(HELLO)));
        Letter l = (Letter) Waybill.decode(Waybill.encode(LETTER));
        assertEquals(LETTER.view(), l.view());
        assertArrayEquals(LETTER.body(), l.body());
        assertEquals(LETTER.toString().split(", body")[0], l.toString().split(", body")[0]);
        Tidings t = (Tidings) Waybill.decode(Waybill.encode(TIDINGS));
        assertEquals(TIDINGS.facts(), t.facts());
        assertArrayEquals(TIDINGS.buckets(), t.buckets());
        assertEquals(70_000, t.ledger().length);
        Consignment c = (Consignment) Waybill.decode(Waybill.encode(CONSIGNMENT));
        assertArrayEquals(CONSIGNMENT.parts(), c.parts());
        assertArrayEquals(CONSIGNMENT.tokens(), c.tokens());
        assertEquals("i-9", c.server());
    }

    @Test
    void nonsenseIsRefusedAndNothingElse() {
        SplittableRandom random = new SplittableRandom(5);
        for (Object message : List.of(HELLO, LETTER, TIDINGS, CONSIGNMENT)) {
            byte[] good = Waybill.encode(message);
            for (int i = 0; i < 4_000; i++) {
                byte[] bad = random.nextBoolean() ? good.clone() : Arrays.copyOf(good, random.nextInt(good.length));
                for (int k = random.nextInt(4); k > 0 && bad.length > 0; k--) {
                    bad[random.nextInt(Math.min(bad.length, 120))] = (byte) random.nextInt();
                }
                try {
                    Waybill.decode(bad);
                } catch (Refusal refused) {
                    assertEquals(Refusal.Code.MESSAGE_INVALID, refused.code());
                }
            }
        }
    }
}
