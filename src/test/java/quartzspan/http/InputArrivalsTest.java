package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A request's arrival is the arrival of its last byte, however long it waits to be decoded. */
class InputArrivalsTest {
    private final InputArrivals arrivals = new InputArrivals();

    @Test
    void bytesArriveWithTheReadThatBroughtThem() {
        arrivals.onRead(10, 1_000);
        arrivals.onRead(10, 2_000);
        arrivals.onDecoded(5);
        assertEquals(1_000, arrivals.lastDecodedAtUs(9_000));
        arrivals.onDecoded(5);
        assertEquals(1_000, arrivals.lastDecodedAtUs(9_000));
        arrivals.onDecoded(1);
        assertEquals(2_000, arrivals.lastDecodedAtUs(9_000));
    }

    @Test
    void withoutInputItIsNow() {
        assertEquals(9_000, arrivals.lastDecodedAtUs(9_000));
    }

    @Test
    void manyReadsAreMergedIntoTheLast() {
        for (int i = 1; i <= 1_000; i++) {
            arrivals.onRead(1, i);
        }
        arrivals.onDecoded(1);
        assertEquals(1, arrivals.lastDecodedAtUs(9_000));
        arrivals.onDecoded(999);
        assertEquals(1_000, arrivals.lastDecodedAtUs(9_000));
    }
}
