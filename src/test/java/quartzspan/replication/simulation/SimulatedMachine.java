package quartzspan.replication.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import quartzspan.common.FleetException;
import quartzspan.replication.ControlState;
import quartzspan.simulation.EventQueue;

/** A core machine: its disk and the successive incarnations of its process. */
final class SimulatedMachine implements ReplicaAdapter.Host {
    private static final int TICK_MS = 50;

    /** Handles the reply to a request that reached the replica. */
    interface ReplyHandler {
        void onReply(FleetException rejection, ControlState state);

        /** The process ended before it replied. */
        void onConnectionReset();
    }

    private record Write(long number, byte[] record) {}

    final String name;
    final SimulatedDisk disk = new SimulatedDisk();
    private final Simulation simulation;
    private final SplittableRandom random;
    private final EventQueue queue;
    private ReplicaAdapter replica;
    private int incarnation;
    private int activeFreezes;
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();
    /** Extra processing time of each event. */
    private long processingDelayMs;

    private int diskFullFaults;
    private long diskDelayMs;
    private long diskStalledUntilMs;
    private final ArrayDeque<Write> pendingWrites = new ArrayDeque<>();
    private final Map<Long, ReplyHandler> pendingReplies = new TreeMap<>();
    private long lastRequestId;
    private long clockOffsetMs;
    private boolean removed;
    private int powerCycles;
    private boolean terminating;
    private boolean handedOver;
    private String lastRole = "";
    private Object checkedMembership;

    SimulatedMachine(String name, Simulation simulation, SplittableRandom random) {
        this.name = name;
        this.simulation = simulation;
        this.random = random;
        this.queue = simulation.queue();
        this.clockOffsetMs = random.nextLong(1_000_000_000);
    }

    boolean running() {
        return replica != null;
    }

    boolean removed() {
        return removed;
    }

    boolean terminating() {
        return terminating;
    }

    /** Whether the last process completed its handover after a SIGTERM and exited by itself. */
    boolean handedOver() {
        return handedOver;
    }

    boolean frozen() {
        return activeFreezes > 0;
    }

    ReplicaAdapter replica() {
        return replica;
    }

    String incarnationName() {
        return name + " (incarnation " + incarnation + ")";
    }

    long localTimeMs() {
        return queue.nowMs() + clockOffsetMs;
    }

    void start(List<String> seedNodes, boolean bootstrap) {
        if (replica != null || removed) {
            return;
        }
        incarnation++;
        terminating = false;
        lastRole = "";
        checkedMembership = null;
        int startedIncarnation = incarnation;
        try {
            replica = new ReplicaAdapter(
                    name,
                    seedNodes,
                    simulation.toleratedFailures(),
                    bootstrap,
                    disk,
                    random.nextLong(),
                    localTimeMs(),
                    this);
        } catch (FleetException failure) {
            throw new Violation(Violation.Rule.STORE_SURVIVES_POWER_LOSS, name + ": " + failure.getMessage());
        }
        simulation.trace(() -> incarnationName() + " starts: " + replica.describe());
        dispatch(startedIncarnation, nowMs -> {});
        tick(startedIncarnation);
    }

    private void tick(int startedIncarnation) {
        dispatch(startedIncarnation, nowMs -> {
            replica.tick(nowMs);
            if (terminating && replica.isHandoverComplete(nowMs)) {
                simulation.trace(() -> incarnationName() + " completed its handover");
                handedOver = true;
                stop(false);
            }
        });
        queue.schedule(TICK_MS + random.nextInt(3), () -> {
            if (incarnation == startedIncarnation && replica != null) {
                if (frozen()) {
                    deferredEvents.add(() -> tick(startedIncarnation));
                } else {
                    tick(startedIncarnation);
                }
            }
        });
    }

    /** Sends SIGTERM to the process. */
    void terminate() {
        int startedIncarnation = incarnation;
        dispatch(startedIncarnation, nowMs -> {
            terminating = true;
            simulation.trace(() -> incarnationName() + " receives SIGTERM");
            replica.beginHandover(nowMs);
        });
    }

    /** Stops the process; a power loss also discards what the disk has not synced. */
    void stop(boolean losesPower) {
        if (replica == null) {
            return;
        }
        simulation.trace(() -> incarnationName() + (losesPower ? " loses power" : " ends"));
        interruptWrites();
        replica = null;
        incarnation++;
        terminating = false;
        deferredEvents.clear();
        if (losesPower) {
            powerCycles++;
            disk.losePower(random);
            clockOffsetMs = random.nextLong(1_000_000_000);
        }
        List<ReplyHandler> interruptedReplies = new ArrayList<>(pendingReplies.values());
        pendingReplies.clear();
        if (!losesPower) {
            interruptedReplies.forEach(ReplyHandler::onConnectionReset);
        }
    }

    /** The membership at the last invariant check of this machine as primary. */
    Object checkedMembership() {
        return checkedMembership;
    }

    void setCheckedMembership(Object membership) {
        checkedMembership = membership;
    }

    /** Number of power losses; each one discards the messages from this machine that the network has buffered. */
    int powerCycles() {
        return powerCycles;
    }

    void remove() {
        stop(random.nextBoolean());
        powerCycles++;
        removed = true;
    }

    private void interruptWrites() {
        if (pendingWrites.isEmpty() || queue.nowMs() < diskStalledUntilMs) {
            pendingWrites.clear();
            return;
        }
        disk.interruptAfter(random.nextInt(5));
        try {
            replica.persist(pendingWrites.peek().record());
        } catch (SimulatedDisk.OperationInterrupted interrupted) {
            simulation.trace(() -> incarnationName() + " ends during a write");
        }
        disk.interruptAfter(-1);
        pendingWrites.clear();
    }

    void freeze() {
        activeFreezes++;
    }

    void thaw() {
        activeFreezes--;
        if (activeFreezes == 0) {
            List<Runnable> events = new ArrayList<>(deferredEvents);
            deferredEvents.clear();
            events.forEach(event -> queue.schedule(0, event));
        }
    }

    void addProcessingDelay(long delayMs) {
        processingDelayMs += delayMs;
    }

    /** Passes an event to the process as soon as it can run; dropped if that incarnation ends first. */
    private void dispatch(int expectedIncarnation, LongConsumer handler) {
        if (incarnation != expectedIncarnation || replica == null) {
            return;
        }
        if (frozen()) {
            deferredEvents.add(() -> dispatch(expectedIncarnation, handler));
        } else if (processingDelayMs > 0) {
            queue.schedule(processingDelayMs, () -> process(expectedIncarnation, handler));
        } else {
            process(expectedIncarnation, handler);
        }
    }

    private void process(int expectedIncarnation, LongConsumer handler) {
        if (incarnation != expectedIncarnation || replica == null) {
            return;
        }
        if (frozen()) {
            deferredEvents.add(() -> process(expectedIncarnation, handler));
            return;
        }
        try {
            handler.accept(localTimeMs());
        } catch (FleetException | IllegalStateException | NullPointerException | IndexOutOfBoundsException exception) {
            throw new Violation(Violation.Rule.NO_EXCEPTION, exception);
        }
        if (replica != null) {
            simulation.invariants().check(this);
            if (!replica.role().equals(lastRole)) {
                lastRole = replica.role();
                simulation.trace(() -> incarnationName() + " is " + replica.describe());
                simulation.triggers().fire(Step.Trigger.ROLE_CHANGE);
            }
        }
    }

    /** Delivers a message to the current process, if there is one. */
    void receive(String from, Object message) {
        if (replica != null) {
            dispatch(incarnation, nowMs -> {
                simulation.trace(() -> name + " receives from " + from + ": " + ReplicaAdapter.describe(message));
                replica.onMessage(nowMs, from, message);
            });
        }
    }

    /** Passes an operator's request to the process, or reports a refused connection if none is running. */
    void request(LongConsumer handler, Runnable onConnectionRefused) {
        if (replica == null) {
            onConnectionRefused.run();
        } else {
            dispatch(incarnation, handler);
        }
    }

    long registerReply(ReplyHandler handler) {
        pendingReplies.put(++lastRequestId, handler);
        return lastRequestId;
    }

    @Override
    public void send(String to, Object message) {
        simulation.triggers().fire(Step.Trigger.MESSAGE);
        simulation.network().send(name, to, message);
    }

    @Override
    public void completed(long requestId, FleetException rejection, ControlState state) {
        ReplyHandler handler = pendingReplies.remove(requestId);
        if (handler != null) {
            handler.onReply(rejection, state);
        }
    }

    @Override
    public void committed(ReplicaAdapter.Position position, ControlState state) {
        simulation.trace(() ->
                incarnationName() + " commits version " + state.configuration().version() + " at " + position);
        simulation.history().onCommitted(this, position, state);
        simulation.invariants().onCommitted(this, state.configuration().version());
    }

    void setDiskFull(boolean full) {
        diskFullFaults += full ? 1 : -1;
        disk.setFull(diskFullFaults > 0);
    }

    void addDiskDelay(long delayMs) {
        diskDelayMs += delayMs;
    }

    void stallDisk(long untilMs) {
        diskStalledUntilMs = Math.max(diskStalledUntilMs, untilMs);
    }

    @Override
    public void persist(long number, byte[] record) {
        simulation.triggers().fire(Step.Trigger.RECORD);
        pendingWrites.add(new Write(number, record));
        if (pendingWrites.size() == 1) {
            scheduleWrite(incarnation);
        }
    }

    private void scheduleWrite(int startedIncarnation) {
        long stallMs = Math.max(0, diskStalledUntilMs - queue.nowMs());
        queue.schedule(stallMs + 1 + random.nextInt(3) + diskDelayMs, () -> performWrite(startedIncarnation));
    }

    private void performWrite(int startedIncarnation) {
        if (incarnation != startedIncarnation) {
            return;
        }
        if (queue.nowMs() < diskStalledUntilMs) {
            scheduleWrite(startedIncarnation);
            return;
        }
        if (frozen()) {
            deferredEvents.add(() -> performWrite(startedIncarnation));
            return;
        }
        Write write = pendingWrites.poll();
        boolean persisted = replica.persist(write.record());
        if (!pendingWrites.isEmpty()) {
            scheduleWrite(startedIncarnation);
        }
        dispatch(startedIncarnation, nowMs -> replica.onPersisted(nowMs, write.number(), persisted));
    }
}
