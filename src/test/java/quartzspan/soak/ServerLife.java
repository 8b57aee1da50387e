package quartzspan.soak;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import quartzspan.http.LoopbackPeers.Message;

/** One server after another in the same place: sends heartbeats, is drained, crashes, and comes back. */
final class ServerLife {
    private static final long RETRY_MS = 100;
    private static final long LINGER_MS = 500;
    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private final EventLoop loop;
    private final SoakClock clock;
    private final SoakRecord record;
    private final ControlClient control;
    private final ScheduledExecutorService calls;
    private volatile ModelServer server;
    private volatile boolean draining;

    /** @param calls a thread for its blocking calls to the core */
    ServerLife(
            EventLoop loop, SoakClock clock, SoakRecord record, ControlClient control, ScheduledExecutorService calls) {
        this.loop = loop;
        this.clock = clock;
        this.record = record;
        this.control = control;
        this.calls = calls;
    }

    void start(long weights) {
        server = ModelServer.start("i-" + NEXT_ID.incrementAndGet(), weights, loop, clock, record);
        draining = false;
        heartbeat(server);
    }

    private void heartbeat(ModelServer of) {
        if (of != server || draining) {
            return;
        }
        boolean acknowledged = call("Instances.Heartbeat", of, "ready");
        calls.schedule(() -> heartbeat(of), acknowledged ? SoakPlan.HEARTBEAT_MS : RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private boolean call(String operation, ModelServer of, String state) {
        Message answer = control.call("POST", "/quartzspan/" + operation + '/' + of.id(), "", of.heartbeat(state));
        return answer != null && answer.status() == 200;
    }

    /** Ends without a word; another one with the same weights comes after a while. */
    void crash(long downMs) {
        calls.execute(() -> {
            ModelServer before = server;
            server = null;
            before.crash();
            calls.schedule(() -> start(before.weights()), downMs, TimeUnit.MILLISECONDS);
        });
    }

    /** Says that it leaves, serves on for a while, deregisters and ends; another one with the same weights comes. */
    void release() {
        calls.execute(() -> {
            draining = true;
            announceDrain(server);
        });
    }

    private void announceDrain(ModelServer leaving) {
        if (leaving != server) {
            return;
        }
        if (!call("Instances.Heartbeat", leaving, "draining")) {
            calls.schedule(() -> announceDrain(leaving), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        record.drains.add(new SoakRecord.Drain(leaving.id(), clock.nowMs()));
        calls.schedule(() -> deregister(leaving), SoakPlan.DRAIN_TIMEOUT_MS + LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void deregister(ModelServer leaving) {
        if (leaving != server) {
            return;
        }
        call("Instances.Deregister", leaving, "draining");
        long weights = leaving.weights();
        leaving.retire();
        start(weights);
    }
}
