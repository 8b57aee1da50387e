package quartzspan.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Simulated time, the processes, and the network between them. */
public final class World {
    /** Points of the protocol at which faults can be aimed, besides times. */
    public enum Crossing {
        REPLICA_MESSAGE,
        GOSSIP_MESSAGE,
        DISK_WRITE,
        SERVER_ORDER
    }

    private static final long START_MS = 1_000;
    private static final int MAX_DELAY_MS = 3;
    private static final int SLOW_PER_MILLE = 20;
    private static final int MAX_SLOW_MS = 120;
    /** A caller gives up a call that is not answered within this time. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    private record Link(String from, String to) {}

    /** A fault that waits for the n-th crossing of a kind. */
    private static final class AimedFault {
        private int remaining;
        private final Consumer<String> fault;

        AimedFault(int remaining, Consumer<String> fault) {
            this.remaining = remaining;
            this.fault = fault;
        }
    }

    private final EventQueue queue = new EventQueue(START_MS);
    private final SplittableRandom random;
    private final List<String> trace;
    private final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
    private final Map<Link, Integer> cuts = new HashMap<>();
    private final Map<Link, Long> lastDeliveryMs = new HashMap<>();
    private final Map<String, Long> extraDelayMs = new HashMap<>();
    private final Map<Crossing, List<AimedFault>> aimedFaults = new EnumMap<>(Crossing.class);
    private final Map<Crossing, Long> crossings = new EnumMap<>(Crossing.class);
    private final Troubles troubles = new Troubles();
    private int lossPerMille;
    private int duplicationPerMille;

    World(long seed, boolean tracing) {
        this.random = new SplittableRandom(seed);
        this.trace = tracing ? new ArrayList<>() : null;
    }

    /** The true time. */
    public long nowMs() {
        return queue.nowMs();
    }

    /** The random numbers of the world; only events use them, so that they are drawn in a fixed order. */
    public SplittableRandom random() {
        return random;
    }

    Troubles troubles() {
        return troubles;
    }

    /** Adds a line to the trace, if there is one. */
    public void trace(Supplier<String> line) {
        if (trace != null) {
            trace.add(queue.nowMs() + " " + line.get());
        }
    }

    List<String> traceLines() {
        return trace == null ? List.of() : trace;
    }

    /** Runs an action later, whatever happens to any process. */
    public void schedule(long delayMs, Runnable action) {
        queue.schedule(delayMs, action);
    }

    void runUntil(long timeMs) {
        queue.runUntil(timeMs);
    }

    void add(SimulatedProcess process) {
        processes.put(process.name(), process);
    }

    SimulatedProcess process(String name) {
        return processes.get(name);
    }

    /** Whether the name is that of a core machine. */
    public boolean isCore(String name) {
        SimulatedProcess process = processes.get(name);
        return process != null && process.isCore();
    }

    void cut(String from, String to) {
        cuts.merge(new Link(from, to), 1, Integer::sum);
    }

    void heal(String from, String to) {
        cuts.computeIfPresent(new Link(from, to), (link, count) -> count == 1 ? null : count - 1);
    }

    private boolean isCut(String from, String to) {
        return cuts.containsKey(new Link(from, to));
    }

    /** Adds up to this much to the delay of the messages of a sender; a negative value takes it back. */
    void addDelay(String sender, long delayMs) {
        extraDelayMs.merge(sender, delayMs, Long::sum);
    }

    void setLoss(int perMille) {
        lossPerMille = perMille;
    }

    void setDuplication(int perMille) {
        duplicationPerMille = perMille;
    }

    /** Injects a fault at the n-th crossing of a kind from now on; it gets the name of the process there. */
    void aim(Crossing crossing, int count, Consumer<String> fault) {
        aimedFaults.computeIfAbsent(crossing, c -> new ArrayList<>()).add(new AimedFault(count, fault));
    }

    /** A process is at such a point now. */
    public void cross(Crossing crossing, String process) {
        crossings.merge(crossing, 1L, Long::sum);
        for (AimedFault aimed : List.copyOf(aimedFaults.getOrDefault(crossing, List.of()))) {
            if (--aimed.remaining == 0) {
                aimedFaults.get(crossing).remove(aimed);
                queue.schedule(0, () -> aimed.fault.accept(process));
            }
        }
    }

    Map<Crossing, Long> crossings() {
        return crossings;
    }

    /** Sends a message between two processes. Messages of a link arrive in order, unless they are lost or doubled. */
    public void send(String from, String to, Object message) {
        if (isCut(from, to) || random.nextInt(1_000) < lossPerMille) {
            return;
        }
        Link link = new Link(from, to);
        long atMs = Math.max(queue.nowMs() + delayMs(from), lastDeliveryMs.getOrDefault(link, 0L));
        lastDeliveryMs.put(link, atMs);
        deliverAt(atMs, link, message);
        if (random.nextInt(1_000) < duplicationPerMille) {
            deliverAt(atMs + random.nextInt(1_000), link, message);
        }
    }

    private void deliverAt(long atMs, Link link, Object message) {
        queue.schedule(atMs - queue.nowMs(), () -> {
            SimulatedProcess recipient = processes.get(link.to());
            if (recipient != null && !isCut(link.from(), link.to())) {
                recipient.receive(link.from(), message);
            }
        });
    }

    private long delayMs(String from) {
        long delayMs = 1L + random.nextInt(MAX_DELAY_MS);
        if (random.nextInt(1_000) < SLOW_PER_MILLE) {
            delayMs += random.nextInt(MAX_SLOW_MS);
        }
        long extraMs = extraDelayMs.getOrDefault(from, 0L);
        return extraMs > 0 ? delayMs + random.nextLong(extraMs + 1) : delayMs;
    }

    /**
     * Calls a process from outside. Nothing limits the time that the process takes.
     *
     * @param onFailure runs if no connection can be made, or after the caller's time-out if the way is cut
     */
    void call(String from, String to, Consumer<SimulatedProcess> handler, Runnable onFailure) {
        SimulatedProcess callee = processes.get(to);
        if (callee == null || isCut(from, to) || isCut(to, from)) {
            queue.schedule(CALL_TIMEOUT_MS, onFailure);
            return;
        }
        queue.schedule(delayMs(from), () -> {
            if (callee.isRunning()) {
                callee.dispatch(from, now -> handler.accept(callee));
            } else {
                onFailure.run();
            }
        });
    }
}
