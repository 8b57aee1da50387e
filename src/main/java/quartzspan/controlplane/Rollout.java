package quartzspan.controlplane;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;

/**
 * Brings servers to the weights that were named: the wanted state is the control state's, what is, the servers say; this
 * works out whom to order next. One machine does it, the primary, and only after the one before has surely stopped. No
 * clock, no I/O; times are milliseconds of a steady clock.
 */
final class Rollout {
    /** An order that was not answered or not seen to take effect is given anew after this. */
    private static final long AGAIN_MS = 2_500;
    /** Part of a service's servers that load at once; a load is slower while many do. */
    private static final double AT_ONCE = 0.28;

    /** Whom to order what. */
    record Order(Server server, String model, long version) {}

    private final Map<String, Long> orderedAt = new HashMap<>();

    /** The orders to give now. */
    List<Order> due(long now, Map<String, Long> wanted, List<Server> servers) {
        return wanted.entrySet().stream()
                .flatMap(w -> {
                    List<Server> of = servers.stream()
                            .filter(s -> s.model().equals(w.getKey())
                                    && s.state() != RegistryEntry.State.GONE
                                    && s.state() != RegistryEntry.State.LOST)
                            .toList();
                    List<Server> behind =
                            of.stream().filter(s -> s.weights() < w.getValue()).toList();
                    orderedAt.keySet().removeIf(id -> of.stream()
                            .anyMatch(s -> s.id().equals(id) && s.weights() >= w.getValue()));
                    long under = behind.stream().filter(s -> busy(now, s)).count();
                    return behind.stream()
                            .filter(s -> !busy(now, s))
                            .limit(Math.max(0, Math.max(1, Math.round(of.size() * AT_ONCE)) - under))
                            .map(s -> new Order(s, w.getKey(), w.getValue()));
                })
                .toList();
    }

    private boolean busy(long now, Server s) {
        return now - orderedAt.getOrDefault(s.id(), Long.MIN_VALUE / 2) < AGAIN_MS;
    }

    /** An order is about to be sent. */
    void ordered(long now, String id) {
        orderedAt.put(id, now);
    }

    /** Servers under an order. */
    List<String> under(long now) {
        return orderedAt.entrySet().stream()
                .filter(e -> now - e.getValue() < AGAIN_MS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The server takes no order now; it is asked again soon. */
    void refused(long now, String id) {
        orderedAt.put(id, now - AGAIN_MS + 400);
    }
}
