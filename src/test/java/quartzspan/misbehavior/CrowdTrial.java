package quartzspan.misbehavior;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.IntFunction;

/**
 * One crowd at one listener of a program, and the checks: the program lives, stays within its memory and file descriptors, answers an
 * ordinary request while the crowd holds its connections, and serves it afterwards.
 *
 * @param program the program
 * @param listener the address that the crowd connects to
 * @param ordinaryAddress the address that an ordinary request is sent to
 * @param ordinaryRequest a request that is answered with 200 in calm
 */
record CrowdTrial(
        ProgramProcess program, InetSocketAddress listener, InetSocketAddress ordinaryAddress, String ordinaryRequest) {
    /** Clients of a crowd. */
    static final int CROWD_SIZE = 160;

    void run(IntFunction<byte[]> bytesOfMember) throws IOException, InterruptedException {
        run(CROWD_SIZE, bytesOfMember);
    }

    void run(int crowdSize, IntFunction<byte[]> bytesOfMember) throws IOException, InterruptedException {
        try (Crowd crowd = Crowd.connect(listener, crowdSize, bytesOfMember)) {
            crowd.send();
            boolean answered = OrdinaryCaller.isAnswered(program, ordinaryAddress, ordinaryRequest);
            checkResources();
            assertTrue(answered, "no answer to an ordinary request beside the crowd");
        }
        boolean served = OrdinaryCaller.isServed(program, ordinaryAddress, ordinaryRequest, 200);
        checkResources();
        assertTrue(served, "an ordinary request is not served after the crowd has left");
    }

    private void checkResources() throws IOException {
        assertTrue(program.isAlive(), () -> "the process has ended: " + endOfLog());
        long peakMib = program.peakMemoryMib();
        assertTrue(peakMib <= program.resources().memoryMib(), "resident memory at its peak, MiB: " + peakMib);
        int descriptors = program.openDescriptors();
        assertTrue(descriptors <= program.resources().fileDescriptors(), "open file descriptors: " + descriptors);
    }

    private String endOfLog() {
        try {
            return program.endOfLog();
        } catch (IOException e) {
            return "its log can't be read: " + e;
        }
    }
}
