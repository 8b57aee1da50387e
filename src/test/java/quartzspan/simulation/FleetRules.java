package quartzspan.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import quartzspan.frontend.SimulatedProxy;
import quartzspan.simulation.FleetViolation.Rule;

/** Checks what servers, clients and operators see against the rules; throws {@link FleetViolation}. */
final class FleetRules {
    private record Order(String core, long token, long atMs) {}

    private final World world;
    /** When each version of weights was acknowledged. */
    private final NavigableMap<Long, Long> weightsAcknowledgedAtMs = new TreeMap<>();
    /** When each version of the configuration was acknowledged. */
    private final NavigableMap<Long, Long> configurationAcknowledgedAtMs = new TreeMap<>();

    private final Map<Long, Long> versionByBase = new HashMap<>();
    private final Map<String, Long> keyRevokedAtMs = new HashMap<>();
    private final Map<Long, String> holderByToken = new HashMap<>();
    private final Map<String, Order> lastOrders = new HashMap<>();
    private long executions;

    FleetRules(World world) {
        this.world = world;
    }

    void onWeightsAcknowledged(long version) {
        weightsAcknowledgedAtMs.putIfAbsent(version, world.nowMs());
        world.trace(() -> "weights " + version + " acknowledged");
    }

    /** @param revokedKey the key that this version removes; null if none */
    void onConfigurationAcknowledged(long base, long version, String revokedKey) {
        Long other = versionByBase.putIfAbsent(base, version);
        require(
                other == null || other == version,
                Rule.CONFIG_RACE,
                () -> "versions " + other + " and " + version + " were both acknowledged on base " + base);
        configurationAcknowledgedAtMs.putIfAbsent(version, world.nowMs());
        if (revokedKey != null) {
            keyRevokedAtMs.putIfAbsent(revokedKey, world.nowMs());
        }
        world.trace(() -> "configuration " + version + " acknowledged");
    }

    long newestAcknowledgedConfiguration() {
        return configurationAcknowledgedAtMs.isEmpty() ? 0 : configurationAcknowledgedAtMs.lastKey();
    }

    long newestAcknowledgedWeights() {
        return weightsAcknowledgedAtMs.isEmpty() ? 0 : weightsAcknowledgedAtMs.lastKey();
    }

    /** The newest version that had been acknowledged some time ago. */
    private long configurationAcknowledgedBy(long atMs) {
        long newest = 0;
        for (Map.Entry<Long, Long> entry : configurationAcknowledgedAtMs.entrySet()) {
            newest = entry.getValue() <= atMs ? Math.max(newest, entry.getKey()) : newest;
        }
        return newest;
    }

    void onRead(String core, long readSentAtMs, long newestWhenSent, long version) {
        require(
                version >= newestWhenSent,
                Rule.CONFIG_READ,
                () -> core + " answers version " + version + ", but " + newestWhenSent + " was acknowledged before "
                        + readSentAtMs);
    }

    /** A proxy has decided by a version of the configuration. */
    void onDecided(String proxy, SimulatedProxy.Request request, SimulatedProxy.Answer answer, long version) {
        boolean byConfiguration = answer == SimulatedProxy.Answer.UNKNOWN_KEY
                || answer == SimulatedProxy.Answer.UNKNOWN_ROUTE
                || answer == SimulatedProxy.Answer.FORWARDED;
        if (!byConfiguration || !isInTouch(proxy) || !isCoreCalm()) {
            return;
        }
        long due = configurationAcknowledgedBy(request.sentAtMs() - Bounds.CONFIG_APPLY_MS);
        require(
                version >= due,
                Rule.CONFIG_APPLIED,
                () -> proxy + " handles " + request + " by version " + version + ", version " + due + " was due");
    }

    private boolean isInTouch(String proxy) {
        return world.troubles().isInTouch(world.nowMs(), proxy);
    }

    private boolean isCoreCalm() {
        return world.troubles().calmSinceMs(world.nowMs()) <= world.nowMs();
    }

    void onArrival(
            String server,
            long drainAcknowledgedAtMs,
            String proxy,
            long sentByProxyAtMs,
            SimulatedProxy.Request request) {
        boolean late = drainAcknowledgedAtMs < Long.MAX_VALUE / 2
                && world.nowMs() > drainAcknowledgedAtMs + Bounds.DRAIN_TIMEOUT_MS;
        require(
                !late || !isInTouch(proxy) || !isCoreCalm(),
                Rule.DRAIN,
                () -> request + " reaches " + server + " from " + proxy + " (sent at " + sentByProxyAtMs
                        + "), whose drain was acknowledged at " + drainAcknowledgedAtMs);
    }

    void onExecution(String server, long weights, String proxy, long sentByProxyAtMs, SimulatedProxy.Request request) {
        executions++;
        Long revokedAtMs = keyRevokedAtMs.get(request.apiKey());
        require(
                revokedAtMs == null || request.sentAtMs() <= revokedAtMs + Bounds.REVOCATION_MS,
                Rule.CONFIG_REVOKED,
                () -> request + " runs by a key that was revoked at " + revokedAtMs);
        checkVersion(server, weights, proxy, sentByProxyAtMs, request);
    }

    private void checkVersion(
            String server, long weights, String proxy, long sentByProxyAtMs, SimulatedProxy.Request request) {
        if (!isInTouch(proxy)) {
            return;
        }
        long calmSinceMs = world.troubles().calmSinceMs(world.nowMs());
        for (Map.Entry<Long, Long> newer :
                weightsAcknowledgedAtMs.tailMap(weights, false).entrySet()) {
            long countedFromMs = Math.max(newer.getValue(), calmSinceMs);
            require(
                    world.nowMs() - countedFromMs <= Bounds.VERSION_APPLY_MS,
                    Rule.VERSION,
                    () -> request + ", sent by " + proxy + " at " + sentByProxyAtMs + ", starts at " + server
                            + " on version " + weights + ", version " + newer.getKey() + " was acknowledged at "
                            + newer.getValue());
        }
    }

    void onOrder(String server, String core, long token) {
        String holder = holderByToken.computeIfAbsent(token, t -> core);
        Order last = lastOrders.put(server, new Order(core, token, world.nowMs()));
        require(holder.equals(core), Rule.ONE, () -> "token " + token + " is used by " + holder + " and " + core);
        if (last == null || world.troubles().lastAtMs(world.nowMs(), core) > world.nowMs() - Bounds.THAW_SLACK_MS) {
            return;
        }
        require(last.token() <= token, Rule.ONE, () -> server + " gets token " + token + " after " + last.token());
        require(
                last.core().equals(core) || world.nowMs() - last.atMs() >= Bounds.LEASE_MS,
                Rule.ONE,
                () -> server + " gets orders of " + last.core() + " and " + core + " within "
                        + (world.nowMs() - last.atMs()) + " ms");
    }

    /**
     * A request uses cached blocks.
     *
     * @param makers the tenants whose requests have made the blocks
     */
    void onMemoryUse(String server, Set<String> makers, SimulatedProxy.Forwarded forwarded) {
        String user = forwarded.tenant();
        long version = forwarded.configurationVersion();
        for (String maker : makers) {
            boolean isolated = FleetOperator.isIsolated(user, version) || FleetOperator.isIsolated(maker, version);
            require(
                    maker.equals(user) || !isolated,
                    Rule.WALL,
                    () -> forwarded + " uses blocks of " + maker + " at " + server);
        }
    }

    long executions() {
        return executions;
    }

    static void require(boolean holds, Rule rule, Supplier<String> message) {
        if (!holds) {
            throw new FleetViolation(rule, message.get());
        }
    }
}
