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

/** A core machine: its disk, and the lives of its process one after the other. */
final class SimulatedMachine implements ReplicaAdapter.Host {
    private static final int TICK_MS = 50;

    /** The answer to a request that the replica took. */
    interface ReplyHandler {
        void onReply(FleetException rejection, ControlState state);

        /** The process ended first. */
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
    /** Extra time that each event takes to be handled. */
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

    // ---- its process ---------------------------------------------------------------------------------

    boolean running() {
        return replica != null;
    }

    boolean removed() {
        return removed;
    }

    boolean terminating() {
        return terminating;
    }

    /** Whether its last process ended by itself after a SIGTERM, all handed over. */
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
        return name + " (life " + incarnation + ")";
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
                simulation.trace(() -> incarnationName() + " has left");
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

    /** SIGTERM. */
    void terminate() {
        int startedIncarnation = incarnation;
        dispatch(startedIncarnation, nowMs -> {
            terminating = true;
            simulation.trace(() -> incarnationName() + " is told to leave");
            replica.beginHandover(nowMs);
        });
    }

    /** The process ends; with a loss of power also what the disk had not synced. */
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

    /** The view in which this machine, as its primary, was checked last. */
    Object checkedMembership() {
        return checkedMembership;
    }

    void setCheckedMembership(Object membership) {
        checkedMembership = membership;
    }

    /** How often this machine lost power: what the network holds up for it is lost then. */
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
            simulation.trace(() -> incarnationName() + " ends within a write");
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

    /** Hands an event to the process as soon as it can take it; dropped if that life ends first. */
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

    // ---- messages and requests -----------------------------------------------------------------------

    /** Something came for whoever runs here now. */
    void receive(String from, Object message) {
        if (replica != null) {
            dispatch(incarnation, nowMs -> {
                simulation.trace(() -> name + " gets from " + from + ": " + ReplicaAdapter.describe(message));
                replica.onMessage(nowMs, from, message);
            });
        }
    }

    /** An operator's request, once the process gets to it. */
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

    // ---- its disk ------------------------------------------------------------------------------------

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
