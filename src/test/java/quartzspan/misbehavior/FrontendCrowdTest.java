package quartzspan.misbehavior;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Crowds at the address of a proxy that clients connect to. */
class FrontendCrowdTest extends FleetCrowdTestBase {
    /** Within the limits of the pages: 16,384 bytes with the request line and the ordinary headers. */
    private static final int HEAD_BYTES = 15_800;

    private static final int BODY_BYTES = 1_000_000;

    /** Within the limit for heads; some 1,400 blocks. */
    private static final int PROMPT_BYTES = 15_500;

    /** Few enough that no head is rejected for memory. */
    private static final int PROMPT_CROWD_SIZE = 40;

    private static final int PROMPTS_PER_MEMBER = 30;
    private static final int WAVES = 3;
    private static final long SEED = 45;

    private CrowdTrial trial() {
        return new CrowdTrial(fleet().proxy(), fleet().frontend(), fleet().frontend(), SmallFleet.clientRequest());
    }

    private static HttpMisbehavior.Target target(String path) {
        return new HttpMisbehavior.Target(path, SmallFleet.CLIENT_HEADERS, HEAD_BYTES, BODY_BYTES);
    }

    /** The server holds what reaches it, so that complete requests stay in flight. */
    @ParameterizedTest
    @EnumSource
    void crowdOfOneKindEndsNothing(HttpMisbehavior misbehavior) throws Exception {
        byte[] bytes = misbehavior.bytes(target(SmallFleet.HELD_PATH));
        trial().run(member -> bytes);
    }

    @Test
    void unreadResponsesEndNothing() throws Exception {
        byte[] bytes = HttpMisbehavior.PIPELINED.bytes(target(SmallFleet.LONG_ERROR_PATH));
        trial().run(member -> bytes);
    }

    @Test
    void moreConnectionsThanThereIsRoomForEndNothing() throws Exception {
        trial().run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.SILENT.bytes(target(SmallFleet.HELD_PATH)));
        trial().run(LARGE_CROWD_SIZE, member -> HttpMisbehavior.MISSING_BODY.bytes(target(SmallFleet.HELD_PATH)));
    }

    /** Valid requests, all of whose prompts are new: what is remembered of them has to end too. */
    @Test
    void promptsOfVeryManyBlocksEndNothing() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int wave = 0; wave < WAVES; wave++) {
            trial().run(PROMPT_CROWD_SIZE, member -> requestsWithNewPrompts(random));
        }
    }

    private static byte[] requestsWithNewPrompts(SplittableRandom random) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < PROMPTS_PER_MEMBER; i++) {
            requests.append(requestWithNewPrompt(random));
        }
        return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String requestWithNewPrompt(SplittableRandom random) {
        StringBuilder prompt = new StringBuilder("1a:10");
        while (prompt.length() < PROMPT_BYTES) {
            prompt.append(',').append(Integer.toHexString(random.nextInt())).append(":9");
        }
        return "GET " + SmallFleet.SERVED_PATH + " HTTP/1.1\r\nHost: h.example\r\n"
                + SmallFleet.CLIENT_HEADERS.replace("1a:10,2b:10,3c:10", prompt) + "\r\n";
    }

    /** All kinds at once, in waves: a new crowd comes as the one before leaves. */
    @Test
    void wavesOfAllKindsEndNothing() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        HttpMisbehavior[] kinds = HttpMisbehavior.values();
        for (int wave = 0; wave < WAVES; wave++) {
            trial().run(member -> kinds[random.nextInt(kinds.length)].bytes(
                    target(random.nextBoolean() ? SmallFleet.HELD_PATH : SmallFleet.SERVED_PATH)));
        }
    }
}
