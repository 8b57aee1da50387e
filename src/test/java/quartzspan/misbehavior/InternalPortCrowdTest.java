package quartzspan.misbehavior;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quartzspan.transport.MessageCodec;

/** Crowds at the port for the messages between the system's own processes. */
class InternalPortCrowdTest extends FleetCrowdTestBase {
    private static final int SENT_OF_FRAME_BYTES = 2_000_000;
    private static final int EMPTY_FRAMES = 50_000;

    /** Ways not to behave at this port. */
    enum Misbehavior {
        /** Opens connections and sends nothing. */
        SILENT(LARGE_CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                return new byte[0];
            }
        },
        /** Stops within a frame of the largest size. */
        PARTIAL_FRAME(CrowdTrial.CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                return partialFrame();
            }
        },
        /** Introduces itself, each client as another process, and stops within a frame of the largest size. */
        PARTIAL_FRAME_AFTER_HELLO(CrowdTrial.CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                byte[] hello = hello(member);
                byte[] frame = partialFrame();
                return ByteBuffer.allocate(hello.length + frame.length)
                        .put(hello)
                        .put(frame)
                        .array();
            }
        },
        /** Introduces itself, each client as another process, and sends no more. */
        ONLY_HELLO(LARGE_CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                return hello(member);
            }
        },
        /** Sends frames without content. */
        EMPTY_FRAMES_ONLY(CrowdTrial.CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                return new byte[EMPTY_FRAMES];
            }
        },
        /** Speaks another protocol. */
        HTTP(CrowdTrial.CROWD_SIZE) {
            @Override
            byte[] bytes(int member) {
                return "GET / HTTP/1.1\r\n\r\n".repeat(1_000).getBytes(StandardCharsets.ISO_8859_1);
            }
        };

        private final int crowdSize;

        Misbehavior(int crowdSize) {
            this.crowdSize = crowdSize;
        }

        abstract byte[] bytes(int member);

        private static byte[] partialFrame() {
            return ByteBuffer.allocate(Integer.BYTES + SENT_OF_FRAME_BYTES)
                    .putInt(MessageCodec.MAX_FRAME_BYTES - Integer.BYTES)
                    .array();
        }

        private static byte[] hello(int member) {
            byte[] message = MessageCodec.encode(new MessageCodec.Hello(false, "127.4.0.1:" + member, "", "z"));
            return ByteBuffer.allocate(Integer.BYTES + message.length)
                    .putInt(message.length)
                    .put(message)
                    .array();
        }
    }

    @ParameterizedTest
    @EnumSource
    void crowdAtACoreMachineEndsNothing(Misbehavior misbehavior) throws Exception {
        run(misbehavior, fleet().core(), fleet().control(), SmallFleet.describeRequest());
    }

    @ParameterizedTest
    @EnumSource
    void crowdAtAProxyEndsNothing(Misbehavior misbehavior) throws Exception {
        run(misbehavior, fleet().proxy(), fleet().frontend(), SmallFleet.clientRequest());
    }

    private void run(Misbehavior misbehavior, ProgramProcess program, InetSocketAddress address, String request)
            throws Exception {
        new CrowdTrial(program, fleet().internal(address), address, request)
                .run(misbehavior.crowdSize, misbehavior::bytes);
    }
}
