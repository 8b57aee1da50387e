package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Ordinary heads cost nothing; long ones are reserved, and leave a part of the account to the others. */
class HeadReservationTest {
    private static final int LIMIT_BYTES = 1_000_000;
    private final RequestMemory memory = new RequestMemory(LIMIT_BYTES);

    @Test
    void ordinaryHeadIsIncludedInItsConnection() {
        assertTrue(new HeadReservation(memory).tryGrow(600, 14));
        assertEquals(0, memory.reservedBytes());
    }

    @Test
    void headOfManyLinesIsReservedAndGivenBack() {
        HeadReservation head = new HeadReservation(memory);
        for (int i = 0; i < 1_000; i++) {
            assertTrue(head.tryGrow(4, 1));
        }
        assertTrue(memory.reservedBytes() > 300_000, "reserved: " + memory.reservedBytes());
        head.release();
        assertEquals(0, memory.reservedBytes());
        assertTrue(head.tryGrow(600, 14));
        assertEquals(0, memory.reservedBytes(), "the next head of the connection starts anew");
    }

    @Test
    void longHeadsLeaveRoomToOtherRequests() {
        while (new HeadReservation(memory).tryGrow(16_000, 800)) {
            assertTrue(memory.reservedBytes() <= LIMIT_BYTES);
        }
        assertFalse(new HeadReservation(memory).tryGrow(16_000, 800));
        assertTrue(memory.tryReserve(RequestMemory.SHORT_BODY_BYTES, RequestMemory.SHORT_BODY_BYTES));
    }
}
