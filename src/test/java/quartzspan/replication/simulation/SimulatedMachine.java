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
    interface Reply {
        void answered(FleetException refusal, ControlState state);

        /** The process ended first. */
        void reset();
    }

    private record Write(long number, byte[] record) {}

    final String name;
    final SimulatedDisk disk = new SimulatedDisk();
    private final Simulation simulation;
    private final SplittableRandom random;
    private final EventQueue queue;
    private ReplicaAdapter replica;
    private int life;
    private int freezes;
    private final ArrayDeque<Runnable> piledUp = new ArrayDeque<>();
    /** Extra time that each event takes to be handled. */
    private long slowness;

    private int refusing;
    private long diskDelay;
    private long stalledUntil;
    private final ArrayDeque<Write> writes = new ArrayDeque<>();
    private final Map<Long, Reply> replies = new TreeMap<>();
    private long requestIds;
    private long clockOffset;
    private boolean removed;
    private int powerCycles;
    private boolean leaving;
    private boolean leftInOrder;
    private String lastRole = "";
    private Object checkedView;

    SimulatedMachine(String name, Simulation simulation, SplittableRandom random) {
        this.name = name;
        this.simulation = simulation;
        this.random = random;
        this.queue = simulation.queue();
        this.clockOffset = random.nextLong(1_000_000_000);
    }

    // ---- its process ---------------------------------------------------------------------------------

    boolean running() {
        return replica != null;
    }

    boolean removed() {
        return removed;
    }

    boolean leaving() {
        return leaving;
    }

    /** Whether its last process ended by itself after a SIGTERM, all handed over. */
    boolean leftInOrder() {
        return leftInOrder;
    }

    boolean frozen() {
        return freezes > 0;
    }

    ReplicaAdapter replica() {
        return replica;
    }

    String lifeName() {
        return name + " (life " + life + ")";
    }

    long localTime() {
        return queue.now() + clockOffset;
    }

    void start(List<String> seeds, boolean found) {
        if (replica != null || removed) {
            return;
        }
        life++;
        leaving = false;
        lastRole = "";
        checkedView = null;
        int mine = life;
        try {
            replica = new ReplicaAdapter(
                    name, seeds, simulation.losses(), found, disk, random.nextLong(), localTime(), this);
        } catch (FleetException why) {
            throw new Violation(Violation.Rule.STORE_OUTLIVES_POWER_LOSS, name + ": " + why.getMessage());
        }
        simulation.trace(() -> lifeName() + " starts: " + replica.describe());
        event(mine, now -> {});
        tick(mine);
    }

    private void tick(int mine) {
        event(mine, now -> {
            replica.tick(now);
            if (leaving && replica.isHandoverComplete(now)) {
                simulation.trace(() -> lifeName() + " has left");
                leftInOrder = true;
                end(false);
            }
        });
        queue.after(TICK_MS + random.nextInt(3), () -> {
            if (life == mine && replica != null) {
                if (frozen()) {
                    piledUp.add(() -> tick(mine));
                } else {
                    tick(mine);
                }
            }
        });
    }

    /** SIGTERM. */
    void terminate() {
        int mine = life;
        event(mine, now -> {
            leaving = true;
            simulation.trace(() -> lifeName() + " is told to leave");
            replica.beginHandover(now);
        });
    }

    /** The process ends; with a loss of power also what the disk had not synced. */
    void end(boolean powerLost) {
        if (replica == null) {
            return;
        }
        simulation.trace(() -> lifeName() + (powerLost ? " loses power" : " ends"));
        interruptWrites();
        replica = null;
        life++;
        leaving = false;
        piledUp.clear();
        if (powerLost) {
            powerCycles++;
            disk.losePower(random);
            clockOffset = random.nextLong(1_000_000_000);
        }
        List<Reply> open = new ArrayList<>(replies.values());
        replies.clear();
        if (!powerLost) {
            open.forEach(Reply::reset);
        }
    }

    /** The view in which this machine, as its primary, was checked last. */
    Object checkedView() {
        return checkedView;
    }

    void checked(Object view) {
        checkedView = view;
    }

    /** How often this machine lost power: what the network holds up for it is lost then. */
    int powerCycles() {
        return powerCycles;
    }

    void remove() {
        end(random.nextBoolean());
        powerCycles++;
        removed = true;
    }

    private void interruptWrites() {
        if (writes.isEmpty() || queue.now() < stalledUntil) {
            writes.clear();
            return;
        }
        disk.interruptAfter(random.nextInt(5));
        try {
            replica.keep(writes.peek().record());
        } catch (SimulatedDisk.Interrupted ended) {
            simulation.trace(() -> lifeName() + " ends within a write");
        }
        disk.interruptAfter(-1);
        writes.clear();
    }

    void freeze() {
        freezes++;
    }

    void thaw() {
        freezes--;
        if (freezes == 0) {
            List<Runnable> held = new ArrayList<>(piledUp);
            piledUp.clear();
            held.forEach(run -> queue.after(0, run));
        }
    }

    void slow(long more) {
        slowness += more;
    }

    /** Hands an event to the process as soon as it can take it; dropped if that life ends first. */
    private void event(int ofLife, LongConsumer handle) {
        if (life != ofLife || replica == null) {
            return;
        }
        if (frozen()) {
            piledUp.add(() -> event(ofLife, handle));
        } else if (slowness > 0) {
            queue.after(slowness, () -> handle(ofLife, handle));
        } else {
            handle(ofLife, handle);
        }
    }

    private void handle(int ofLife, LongConsumer handle) {
        if (life != ofLife || replica == null) {
            return;
        }
        if (frozen()) {
            piledUp.add(() -> handle(ofLife, handle));
            return;
        }
        try {
            handle.accept(localTime());
        } catch (FleetException | IllegalStateException | NullPointerException | IndexOutOfBoundsException e) {
            throw new Violation(Violation.Rule.NO_EXCEPTION, e);
        }
        if (replica != null) {
            simulation.invariants().check(this);
            if (!replica.role().equals(lastRole)) {
                lastRole = replica.role();
                simulation.trace(() -> lifeName() + " is " + replica.describe());
                simulation.triggers().fire(Step.Trigger.ROLE_CHANGE);
            }
        }
    }

    // ---- messages and requests -----------------------------------------------------------------------

    /** Something came for whoever runs here now. */
    void receive(String from, Object message) {
        if (replica != null) {
            event(life, now -> {
                simulation.trace(() -> name + " gets from " + from + ": " + ReplicaAdapter.describe(message));
                replica.message(now, from, message);
            });
        }
    }

    /** An operator's request, once the process gets to it. */
    void request(LongConsumer handle, Runnable refusedConnection) {
        if (replica == null) {
            refusedConnection.run();
        } else {
            event(life, handle);
        }
    }

    long requestId(Reply reply) {
        replies.put(++requestIds, reply);
        return requestIds;
    }

    @Override
    public void send(String to, Object message) {
        simulation.triggers().fire(Step.Trigger.MESSAGE);
        simulation.network().send(name, to, message);
    }

    @Override
    public void answered(long requestId, FleetException refusal, ControlState state) {
        Reply reply = replies.remove(requestId);
        if (reply != null) {
            reply.answered(refusal, state);
        }
    }

    @Override
    public void committed(ReplicaAdapter.Position position, ControlState state) {
        simulation.trace(
                () -> lifeName() + " commits version " + state.configuration().version() + " at " + position);
        simulation.history().committed(this, position, state);
        simulation.invariants().committed(this, state.configuration().version());
    }

    // ---- its disk ------------------------------------------------------------------------------------

    void refuseWrites(boolean begins) {
        refusing += begins ? 1 : -1;
        disk.full(refusing > 0);
    }

    void slowDisk(long more) {
        diskDelay += more;
    }

    void stallDisk(long until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    @Override
    public void persist(long number, byte[] record) {
        simulation.triggers().fire(Step.Trigger.RECORD);
        writes.add(new Write(number, record));
        if (writes.size() == 1) {
            schedule(life);
        }
    }

    private void schedule(int mine) {
        long waits = Math.max(0, stalledUntil - queue.now());
        queue.after(waits + 1 + random.nextInt(3) + diskDelay, () -> write(mine));
    }

    private void write(int mine) {
        if (life != mine) {
            return;
        }
        if (queue.now() < stalledUntil) {
            schedule(mine);
            return;
        }
        if (frozen()) {
            piledUp.add(() -> write(mine));
            return;
        }
        Write head = writes.poll();
        boolean kept = replica.keep(head.record());
        if (!writes.isEmpty()) {
            schedule(mine);
        }
        event(mine, now -> replica.persisted(now, head.number(), kept));
    }
}
