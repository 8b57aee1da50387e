package quartzspan.soak;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import quartzspan.http.LoopbackPeers.Message;

/** One server after another in the same place: sends heartbeats, is drained, crashes, and comes back. */
final class ServerSupervisor {
    private static final long RETRY_MS = 100;
    private static final long DEREGISTRATION_DELAY_MS = 500;
    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private final EventLoop loop;
    private final SoakClock clock;
    private final SoakRecord record;
    private final ControlPlaneClient control;
    private final ScheduledExecutorService callExecutor;
    private volatile ModelServer server;
    private volatile boolean draining;

    /** @param callExecutor a thread for its blocking calls to the core */
    ServerSupervisor(
            EventLoop loop,
            SoakClock clock,
            SoakRecord record,
            ControlPlaneClient control,
            ScheduledExecutorService callExecutor) {
        this.loop = loop;
        this.clock = clock;
        this.record = record;
        this.control = control;
        this.callExecutor = callExecutor;
    }

    void start(long weightsVersion) {
        server = ModelServer.start("i-" + NEXT_ID.incrementAndGet(), weightsVersion, loop, clock, record);
        draining = false;
        heartbeat(server);
    }

    private void heartbeat(ModelServer target) {
        if (target != server || draining) {
            return;
        }
        boolean acknowledged = call("Instances.Heartbeat", target, "ready");
        callExecutor.schedule(
                () -> heartbeat(target), acknowledged ? SoakPlan.HEARTBEAT_MS : RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private boolean call(String operation, ModelServer target, String state) {
        Message answer =
                control.call("POST", "/quartzspan/" + operation + '/' + target.id(), "", target.heartbeat(state));
        return answer != null && answer.status() == 200;
    }

    /** Ends without a word; another one with the same weights comes after a while. */
    void crash(long downMs) {
        callExecutor.execute(() -> {
            ModelServer before = server;
            server = null;
            before.crash();
            callExecutor.schedule(() -> start(before.weightsVersion()), downMs, TimeUnit.MILLISECONDS);
        });
    }

    /** Says that it leaves, serves on for a while, deregisters and ends; another one with the same weights comes. */
    void drainAndReplace() {
        callExecutor.execute(() -> {
            draining = true;
            announceDrain(server);
        });
    }

    private void announceDrain(ModelServer drainingServer) {
        if (drainingServer != server) {
            return;
        }
        if (!call("Instances.Heartbeat", drainingServer, "draining")) {
            callExecutor.schedule(() -> announceDrain(drainingServer), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        record.drains.add(new SoakRecord.Drain(drainingServer.id(), clock.nowMs()));
        callExecutor.schedule(
                () -> deregister(drainingServer),
                SoakPlan.DRAIN_TIMEOUT_MS + DEREGISTRATION_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void deregister(ModelServer drainingServer) {
        if (drainingServer != server) {
            return;
        }
        call("Instances.Deregister", drainingServer, "draining");
        long weightsVersion = drainingServer.weightsVersion();
        drainingServer.shutDownGracefully();
        start(weightsVersion);
    }
}
