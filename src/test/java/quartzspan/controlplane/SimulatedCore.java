package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import quartzspan.registry.CoreMachine;
import quartzspan.registry.DepartureRecord;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.simulation.Bounds;
import quartzspan.simulation.SimulatedProcess;
import quartzspan.simulation.World;

/** A core machine in the simulated world: the real replica and the real {@link CoreNode}, with a simulated disk. */
public final class SimulatedCore extends SimulatedProcess {
    private static final int TICK_INTERVAL_MS = 50;
    private static final int MAX_WRITE_MS = 4;

    /** The servers of the world, as this machine reaches them. */
    public interface ServerNetwork {
        /** Delivers an order; the result is an HTTP status, or absent if nothing arrives. */
        void order(String core, Server server, String json, long timeoutMs, BooleanSupplier permitted, Result result);

        void report(String core, Server server, Result result);
    }

    /** Receives the result of a call to a server. */
    public interface Result {
        void onResponse(int status, byte[] body);
    }

    private final List<String> seeds;
    private final Settings settings;
    private final ServerNetwork servers;
    private final Consumer<ControlState> onCommitted;
    private boolean bootstrap;
    private final List<byte[]> disk = new ArrayList<>();
    private final List<DepartureRecord> departuresOnDisk = new ArrayList<>();
    /** The changes of the disk that writes in flight will make, oldest first. */
    private final List<Runnable> writesInFlight = new ArrayList<>();

    private long diskIdleAtMs;
    private long diskDelayMs;
    private boolean diskFull;
    private long writeEpoch;

    private Replica replica;
    private CoreNode node;
    private PendingReplicaRequests pending;

    /** A core machine with an empty disk; it creates the first membership if {@code bootstrap}. */
    public SimulatedCore(
            World world,
            String name,
            List<String> seeds,
            int toleratedFailures,
            boolean bootstrap,
            ServerNetwork servers,
            Consumer<ControlState> onCommitted) {
        super(world, name, true, TICK_INTERVAL_MS);
        this.seeds = seeds;
        this.settings = Settings.parse(Bounds.settings(name.split(":", 2)[0], toleratedFailures));
        this.bootstrap = bootstrap;
        this.servers = servers;
        this.onCommitted = onCommitted;
    }

    @Override
    protected void onStart(long now) {
        pending = new PendingReplicaRequests();
        replica = new Replica(
                name(),
                seeds,
                settings.toleratedFailures(),
                bootstrap,
                List.copyOf(disk),
                world.random().nextLong(),
                now,
                new Output());
        StoredDepartures stored = StoredDepartures.of(List.copyOf(departuresOnDisk), false, disk.isEmpty(), bootstrap);
        bootstrap = false;
        node = new CoreNode(
                settings,
                name(),
                seeds,
                this::localMs,
                new Access(),
                (to, message) -> send(World.Crossing.GOSSIP_MESSAGE, to, message),
                new Calls(),
                stored,
                this::persistDepartures,
                world.random().nextLong());
        node.register(now, new CoreMachine(name(), name(), "z"));
        onTick(now);
    }

    private void send(World.Crossing crossing, String to, Object message) {
        world.cross(crossing, name());
        world.send(name(), to, message);
    }

    @Override
    protected void onTick(long now) {
        replica.onTick(now);
        node.onTick(now);
    }

    @Override
    protected void onMessage(long now, String from, Object message) {
        boolean fromCore = world.isCore(from);
        if (fromCore) {
            node.onCoreMessage(now, from);
        }
        if (message instanceof ReplicaMessage replicaMessage) {
            replica.onMessage(now, from, replicaMessage);
        } else if (message instanceof GossipMessage gossipMessage) {
            node.onGossip(now, from, fromCore ? null : "z", gossipMessage);
        }
    }

    /** Of the writes in flight, the first ones reach the disk. */
    @Override
    protected void onKilled() {
        int kept = world.random().nextInt(writesInFlight.size() + 1);
        writesInFlight.subList(0, kept).forEach(Runnable::run);
        writesInFlight.clear();
        writeEpoch++;
        diskIdleAtMs = 0;
    }

    /** Replaces the disk by an empty one; to be called while the process is not running. */
    public void loseDisk() {
        disk.clear();
        departuresOnDisk.clear();
    }

    /** Adds to the time of each write; a negative value takes it back. */
    public void addDiskDelay(long delayMs) {
        diskDelayMs += delayMs;
    }

    /** Whether the disk refuses all writes. */
    public void setDiskFull(boolean full) {
        diskFull = full;
    }

    /** The machine to which an operator is redirected; null if this one answers, or none is known. */
    public String redirect(long now) {
        return replica.isPrimary() ? null : replica.knownPrimary(now);
    }

    /** Whether this machine considers itself the primary. */
    public boolean isPrimary() {
        return replica != null && replica.isPrimary();
    }

    /** Handles a heartbeat of a server; {@code onAcknowledged} runs when it is acknowledged, and never if it is not. */
    public void heartbeat(long now, String server, byte[] body, Runnable onAcknowledged) {
        RegistryEntry draining;
        try {
            draining = node.heartbeatHandler().onHeartbeat(now, server, body);
        } catch (FleetException rejection) {
            return;
        }
        if (draining == null) {
            onAcknowledged.run();
        } else {
            acknowledgeDrain(now, draining, onAcknowledged);
        }
    }

    /** Handles the deregistration of a server. */
    public void deregister(long now, String server, Runnable onAcknowledged) {
        acknowledgeDrain(now, node.heartbeatHandler().onDeregistration(now, server), onAcknowledged);
    }

    private void acknowledgeDrain(long now, RegistryEntry draining, Runnable onAcknowledged) {
        node.drainAcknowledger().begin(now, draining, node::isDepartureDurable, new DrainAcknowledger.Caller() {
            @Override
            public void acknowledge() {
                onAcknowledged.run();
            }

            @Override
            public void reject(FleetException rejection) {
                world.trace(() -> name() + " rejects " + draining.key());
            }
        });
    }

    /** Submits an operator's change; {@code onAccepted} runs when it is acknowledged. */
    public void change(Change change, Runnable onAccepted, Consumer<FleetException> onRejected) {
        new Access().submit(change, (rejection, state) -> {
            if (rejection == null) {
                onAccepted.run();
            } else {
                onRejected.accept(rejection);
            }
        });
    }

    /** Reads the control state as {@code Describe} does; nothing happens if the read is not answered. */
    public void describe(long now, Consumer<ControlState> onRead) {
        replica.read(now, pending.add(0, (rejection, state) -> {
            if (rejection == null) {
                onRead.accept(state);
            }
        }));
    }

    private void persistDepartures(DepartureRecord record) {
        world.cross(World.Crossing.DISK_WRITE, name());
        write(() -> applyToDisk(record), node::onDepartureRecordPersisted);
    }

    private void applyToDisk(DepartureRecord record) {
        if (record.checkpoint()) {
            departuresOnDisk.clear();
        }
        departuresOnDisk.add(record);
    }

    private interface WriteListener {
        void onWritten(long now, boolean durable);
    }

    /** Makes a change of the disk after those before it; none if the disk is full or the process ends first. */
    private void write(Runnable change, WriteListener listener) {
        writesInFlight.add(change);
        long expectedEpoch = writeEpoch;
        long doneAtMs =
                Math.max(world.nowMs(), diskIdleAtMs) + 1 + world.random().nextInt(MAX_WRITE_MS) + diskDelayMs;
        diskIdleAtMs = doneAtMs;
        world.schedule(doneAtMs - world.nowMs(), () -> {
            if (writeEpoch != expectedEpoch) {
                return;
            }
            Runnable written = writesInFlight.remove(0);
            boolean durable = !diskFull;
            if (durable) {
                written.run();
            }
            dispatch("disk", now -> listener.onWritten(now, durable));
        });
    }

    private final class Access implements ReplicaAccess {
        @Override
        public Replica replica() {
            return replica;
        }

        @Override
        public void submit(Change change, PendingReplicaRequests.Callback callback) {
            replica.submit(localMs(), pending.add(change.body().length, callback), change);
        }
    }

    private final class Output implements Replica.Output {
        @Override
        public void send(String to, ReplicaMessage message) {
            SimulatedCore.this.send(World.Crossing.REPLICA_MESSAGE, to, message);
        }

        @Override
        public void persist(long recordNumber, byte[] record) {
            world.cross(World.Crossing.DISK_WRITE, name());
            write(() -> disk.add(record), (now, durable) -> replica.onPersisted(now, recordNumber, durable));
        }

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {
            pending.complete(requestId, rejection, state);
        }

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {
            onCommitted.accept(state);
            node.onStateCommitted(localMs(), index, state);
        }
    }

    private final class Calls implements ServerCalls {
        @Override
        public void get(Server server, String path, Map<String, String> headers, ResponseListener listener) {
            servers.report(
                    name(), server, (status, body) -> dispatch(server.id(), now -> listener.onResponse(status, body)));
        }

        @Override
        public void post(
                Server server,
                String path,
                String json,
                long timeoutMs,
                BooleanSupplier permitted,
                ResponseListener listener) {
            Map<String, Boolean> answered = new HashMap<>();
            servers.order(name(), server, json, timeoutMs, permitted, (status, body) -> {
                if (answered.put("answered", true) == null) {
                    dispatch(server.id(), now -> listener.onResponse(status, body));
                }
            });
        }
    }
}
