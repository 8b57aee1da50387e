package quartzspan.soak;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import quartzspan.http.LoopbackPeers.Message;

/** Runs one model server at a time: sends its heartbeats and replaces it after a drain or a crash. */
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

    /** @param callExecutor a single thread for the blocking calls to the core */
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
        Message response =
                control.call("POST", "/quartzspan/" + operation + '/' + target.id(), "", target.heartbeat(state));
        return response != null && response.status() == 200;
    }

    /** Stops the server without notice and starts another with the same weights after {@code downMs}. */
    void crash(long downMs) {
        callExecutor.execute(() -> {
            ModelServer before = server;
            server = null;
            before.crash();
            callExecutor.schedule(() -> start(before.weightsVersion()), downMs, TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Announces the drain, serves until after the drain timeout, deregisters, shuts down and starts another server
     * with the same weights.
     */
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
