package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The account of request bodies: never exceeded, and empty once all bodies are given up. */
class RequestMemoryTest {
    private static final int LIMIT_BYTES = 1_000_000;
    private static final int LONG_BODY_BYTES = 400_000;
    private static final int HISTORIES = 500;
    private static final int STEPS = 200;

    @Test
    void longBodiesLeaveAPartToShortOnes() {
        RequestMemory memory = new RequestMemory(LIMIT_BYTES);
        assertTrue(memory.tryReserve(LONG_BODY_BYTES, LONG_BODY_BYTES));
        assertFalse(memory.isScarce());
        assertFalse(memory.tryReserve(LONG_BODY_BYTES, LONG_BODY_BYTES), "only three quarters are theirs");
        assertEquals(LONG_BODY_BYTES, memory.reservedBytes());
        int shortBodies = 0;
        while (memory.tryReserve(RequestMemory.SHORT_BODY_BYTES, RequestMemory.SHORT_BODY_BYTES)) {
            shortBodies++;
        }
        assertEquals((LIMIT_BYTES - LONG_BODY_BYTES) / RequestMemory.SHORT_BODY_BYTES, shortBodies);
        assertTrue(memory.isScarce());
    }

    @Test
    void bodyTakesNoMoreThanItsDeclaredLength() {
        RequestMemory memory = new RequestMemory(LIMIT_BYTES);
        RequestBody body = new RequestBody(memory, 70_000);
        assertEquals(0, memory.reservedBytes(), "nothing before its first byte");
        byte[] part = new byte[35_000];
        assertTrue(body.append(Unpooled.wrappedBuffer(part)));
        assertTrue(body.append(Unpooled.wrappedBuffer(part)));
        assertEquals(70_000, memory.reservedBytes());
        assertTrue(body.exceedsLimit(Unpooled.wrappedBuffer(new byte[1])));
        assertEquals(70_000, body.complete().length);
    }

    @Test
    void spareMemoryOfABodyOfUnknownLengthIsGivenBack() {
        RequestMemory memory = new RequestMemory(LIMIT_BYTES);
        RequestBody body = new RequestBody(memory, 100_000);
        assertTrue(body.append(Unpooled.wrappedBuffer(new byte[] {1, 2, 3})));
        assertTrue(memory.reservedBytes() > 3);
        assertArrayEquals(new byte[] {1, 2, 3}, body.complete());
        assertEquals(3, memory.reservedBytes());
    }

    /** Draws bodies that grow, are completed, and are given up. */
    @Test
    void accountIsNeverExceededAndEmptyAtTheEnd() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RequestMemory memory = new RequestMemory(LIMIT_BYTES);
            List<RequestBody> bodies = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                drawStep(random, memory, bodies);
                long held =
                        bodies.stream().mapToLong(RequestBody::reservedBytes).sum();
                assertEquals(held, memory.reservedBytes(), "seed " + seed);
                assertTrue(held <= LIMIT_BYTES, "seed " + seed);
            }
            bodies.forEach(body -> memory.release(body.reservedBytes()));
            assertEquals(0, memory.reservedBytes(), "seed " + seed);
        }
    }

    private static void drawStep(SplittableRandom random, RequestMemory memory, List<RequestBody> bodies) {
        if (bodies.isEmpty() || random.nextInt(4) == 0) {
            bodies.add(new RequestBody(memory, 1 + random.nextInt(LONG_BODY_BYTES)));
            return;
        }
        RequestBody body = bodies.get(random.nextInt(bodies.size()));
        int kind = random.nextInt(8);
        if (kind == 0) {
            memory.release(body.reservedBytes());
            bodies.remove(body);
        } else if (kind == 1) {
            body.complete();
        } else {
            byte[] part = new byte[random.nextInt(30_000)];
            if (!body.exceedsLimit(Unpooled.wrappedBuffer(part))) {
                body.append(Unpooled.wrappedBuffer(part));
            }
        }
    }
}
