package quartzspan.transport;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;

/** The start of a program's listeners. */
public final class Listening {
    private Listening() {}

    /**
     * Waits until an address is bound.
     *
     * @throws FleetException with {@code ADDRESS_TAKEN} if it can't be
     */
    public static void await(ChannelFuture bound, InetSocketAddress address) throws InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new FleetException(
                    FleetException.Code.ADDRESS_TAKEN,
                    "can't listen at " + Settings.hostAndPort(address) + ": "
                            + bound.cause().getMessage(),
                    "end the process that uses the address");
        }
    }
}
