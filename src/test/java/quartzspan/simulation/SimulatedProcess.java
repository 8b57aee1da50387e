package quartzspan.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * A process of the fleet: its lives, its steady clock, and its scheduler, which may run timers late or not run the process at
 * all for a while.
 */
public abstract class SimulatedProcess {
    private record DeferredEvent(String source, Runnable event) {}

    protected final World world;
    private final String name;
    private final boolean core;
    private final int tickIntervalMs;
    private final double clockRate;
    private final long clockOffsetMs;
    private final List<DeferredEvent> deferredEvents = new ArrayList<>();
    private int incarnation;
    private boolean running;
    private int freezes;
    private int maxTickLatenessMs;

    protected SimulatedProcess(World world, String name, boolean core, int tickIntervalMs) {
        this.world = world;
        this.name = name;
        this.core = core;
        this.tickIntervalMs = tickIntervalMs;
        this.clockRate = 0.98 + 0.04 * world.random().nextDouble();
        this.clockOffsetMs = world.random().nextLong(10_000_000);
    }

    /** Its name, which is also its internal address. */
    public final String name() {
        return name;
    }

    public final boolean isCore() {
        return core;
    }

    public final boolean isRunning() {
        return running;
    }

    /** The time of its steady clock. */
    public final long localMs() {
        return clockOffsetMs + (long) (clockRate * world.nowMs());
    }

    protected abstract void onStart(long now);

    protected abstract void onTick(long now);

    protected abstract void onMessage(long now, String from, Object message);

    /** The process has been killed. */
    protected abstract void onKilled();

    /** Starts the process; on a frozen machine, once it has thawed. */
    public final void start() {
        if (freezes > 0) {
            world.schedule(tickIntervalMs, this::start);
            return;
        }
        incarnation++;
        running = true;
        world.troubles().at(world.nowMs(), name);
        world.trace(() -> name + " starts");
        dispatch(name, this::onStart);
        scheduleTick();
    }

    /** Ends the process at once. */
    public final void kill() {
        if (running) {
            running = false;
            incarnation++;
            deferredEvents.clear();
            world.troubles().at(world.nowMs(), name);
            world.trace(() -> name + " is killed");
            onKilled();
        }
    }

    /** Timers of this process run up to this much late; 0 ends that. */
    public final void setTickLateness(int maxMs) {
        maxTickLatenessMs = maxMs;
    }

    private void scheduleTick() {
        int expected = incarnation;
        long lateMs = maxTickLatenessMs == 0 ? 0 : world.random().nextInt(maxTickLatenessMs + 1);
        world.schedule(tickIntervalMs + lateMs, () -> {
            if (incarnation == expected && running) {
                dispatch(name, this::onTick);
                scheduleTick();
            }
        });
    }

    /** The machine freezes. */
    public final void freeze() {
        world.troubles().begin(world.nowMs(), name);
        pause();
    }

    /** The machine thaws. */
    public final void thaw() {
        world.troubles().end(world.nowMs(), name);
        resume();
    }

    /** The process runs nothing until it is resumed. */
    public final void pause() {
        freezes++;
        world.trace(() -> name + " pauses");
    }

    /** Continues the process. What has arrived meanwhile is processed in order of its source, but the sources in any order. */
    public final void resume() {
        freezes--;
        if (freezes > 0) {
            return;
        }
        world.trace(() -> name + " resumes");
        List<DeferredEvent> events = new ArrayList<>(deferredEvents);
        deferredEvents.clear();
        Map<String, Long> order = new HashMap<>();
        events.forEach(deferred -> order.computeIfAbsent(
                deferred.source(), source -> world.random().nextLong()));
        events.sort(Comparator.comparingLong(deferred -> order.get(deferred.source())));
        events.forEach(deferred -> world.schedule(0, deferred.event()));
    }

    public final void receive(String from, Object message) {
        dispatch(from, now -> onMessage(now, from, message));
    }

    /** Runs an event as soon as the process can; it is dropped if this life of the process ends first. */
    public final void dispatch(String source, LongConsumer event) {
        int expected = incarnation;
        if (running) {
            dispatch(source, expected, event);
        }
    }

    private void dispatch(String source, int expected, LongConsumer event) {
        if (incarnation != expected || !running) {
            return;
        }
        if (freezes > 0) {
            deferredEvents.add(new DeferredEvent(source, () -> dispatch(source, expected, event)));
        } else {
            event.accept(localMs());
        }
    }
}
