package quartzspan.simulation;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import quartzspan.frontend.SimulatedProxy;

/** Clients that send requests to all proxies at a steady rate, some with keys that have been taken away. */
final class FleetClients {
    private static final int INTERVAL_MS = 25;
    private static final int PLACEMENT_KEYS = 40;
    /** One in so many requests is the second tenant's. */
    private static final int OTHER_TENANT_EVERY = 4;

    private final FleetWorld fleet;
    private final FleetOperator operator;
    private final World world;
    private final Map<SimulatedProxy.Answer, Long> answers = new EnumMap<>(SimulatedProxy.Answer.class);
    private long sent;

    FleetClients(FleetWorld fleet, FleetOperator operator) {
        this.fleet = fleet;
        this.operator = operator;
        this.world = fleet.world();
    }

    void start() {
        world.schedule(1 + world.random().nextInt(2 * INTERVAL_MS), () -> {
            sendOne();
            start();
        });
    }

    private void sendOne() {
        List<SimulatedProxy> proxies = fleet.proxies();
        SimulatedProxy proxy = proxies.get(world.random().nextInt(proxies.size()));
        SimulatedProxy.Request request = new SimulatedProxy.Request(
                "r" + ++sent,
                "h.example",
                "/a/x",
                apiKey(),
                "k" + world.random().nextInt(PLACEMENT_KEYS),
                world.nowMs());
        world.schedule(1, () -> proxy.dispatch("client", now -> proxy.onRequest(request)));
    }

    private String apiKey() {
        if (sent % OTHER_TENANT_EVERY == 0) {
            return FleetOperator.OTHER_TENANT_KEY;
        }
        List<String> keys = operator.keys();
        return keys.isEmpty() || world.random().nextInt(3) == 0
                ? FleetOperator.STABLE_KEY
                : keys.get(Math.max(0, keys.size() - 1 - world.random().nextInt(3)));
    }

    void onAnswer(SimulatedProxy.Answer answer) {
        answers.merge(answer, 1L, Long::sum);
    }

    Map<SimulatedProxy.Answer, Long> answers() {
        return answers;
    }
}
