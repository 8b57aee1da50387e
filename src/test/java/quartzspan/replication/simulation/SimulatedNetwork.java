package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Unidirectional links between machines. A cut link drops messages, or buffers some of them until it is healed. */
final class SimulatedNetwork {
    private static final int MAX_DELAY_MS = 3;
    private static final int DELAYED_PER_MILLE = 20;
    private static final int MAX_EXTRA_DELAY_MS = 120;
    private static final int MAX_DUPLICATE_DELAY_MS = 4_000;
    private static final int MAX_BUFFERED_MESSAGES = 64;

    private record Link(String from, String to) {}

    private static final class Cut {
        private int count;
        private int bufferedPerMille;
        private final List<Runnable> buffered = new ArrayList<>();
    }

    private final Simulation simulation;
    private final Scenario scenario;
    private final Map<Link, Cut> cuts = new HashMap<>();
    private final Map<String, Long> extraDelaysMs = new HashMap<>();
    private final Map<String, SplittableRandom> randoms = new HashMap<>();

    SimulatedNetwork(Simulation simulation, Scenario scenario) {
        this.simulation = simulation;
        this.scenario = scenario;
    }

    private SplittableRandom random(String sender) {
        return randoms.computeIfAbsent(sender, s -> simulation.randomStream("network " + s));
    }

    void cut(String from, String to, int bufferedPerMille) {
        Cut cut = cuts.computeIfAbsent(new Link(from, to), l -> new Cut());
        cut.count++;
        cut.bufferedPerMille = bufferedPerMille;
    }

    void heal(String from, String to) {
        Link link = new Link(from, to);
        Cut cut = cuts.get(link);
        if (cut != null && --cut.count == 0) {
            cuts.remove(link);
            cut.buffered.forEach(
                    deliver -> simulation.queue().schedule(1 + random(from).nextInt(20), deliver));
        }
    }

    /** Adds to the maximum extra delay of this sender's messages; a negative value takes it back. */
    void addDelay(String sender, long maxDelayMs) {
        extraDelaysMs.merge(sender, maxDelayMs, Long::sum);
    }

    void send(String from, String to, Object message) {
        SplittableRandom random = random(from);
        if (random.nextInt(1000) < scenario.messageLossPerMille()) {
            return;
        }
        long delayMs = 1L + random.nextInt(MAX_DELAY_MS);
        if (random.nextInt(1000) < DELAYED_PER_MILLE) {
            delayMs += random.nextInt(MAX_EXTRA_DELAY_MS);
        }
        long extraDelayMs = extraDelaysMs.getOrDefault(from, 0L);
        if (extraDelayMs > 0 && random.nextBoolean()) {
            delayMs += random.nextLong(extraDelayMs);
        }
        Runnable deliver = () -> deliver(from, to, message);
        simulation.queue().schedule(delayMs, deliver);
        if (random.nextInt(1000) < scenario.messageDuplicationPerMille()) {
            simulation.queue().schedule(delayMs + random.nextInt(MAX_DUPLICATE_DELAY_MS), deliver);
        }
    }

    private void deliver(String from, String to, Object message) {
        if (simulation.machine(from).removed()) {
            // Messages in flight from a removed machine are dropped: they would make it appear to be still running.
            return;
        }
        Cut cut = cuts.get(new Link(from, to));
        if (cut != null) {
            if (cut.buffered.size() < MAX_BUFFERED_MESSAGES && random(from).nextInt(1000) < cut.bufferedPerMille) {
                int cycles = simulation.machine(from).powerCycles();
                cut.buffered.add(() -> {
                    if (simulation.machine(from).powerCycles() == cycles) {
                        deliver(from, to, message);
                    }
                });
            }
            return;
        }
        SimulatedMachine machine = simulation.machine(to);
        if (machine != null) {
            machine.receive(from, message);
        }
    }
}
