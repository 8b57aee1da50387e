package quartzspan.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;
import quartzspan.replication.Epoch;

/** Which machine may send orders to servers, from when on, and under which fencing token. */
class RolloutCoordinatorTest {
    private static final long LEASE_MS = 3_000;
    private static final long APPLY_MS = 10_000;
    private static final int TICK_MS = 50;

    /** The part of the control state that concerns the rollout. */
    private String holder = "";

    private long fencingToken;
    private final Map<String, Long> targets = new HashMap<>(Map.of("m", 2L));
    private long now = 100_000;
    private final List<RolloutCoordinator.Order> orders = new ArrayList<>();
    private final List<Long> orderedAtMs = new ArrayList<>();
    private final Set<String> announced = new HashSet<>();

    /** A core machine. */
    private final class Machine implements RolloutCoordinator.Actions {
        private final String name;
        private RolloutCoordinator coordinator;
        private long epoch = -1;
        private long confirmedAtMs;
        private boolean partitioned;
        private boolean reportsClaims = true;

        Machine(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            epoch = -1;
            coordinator = new RolloutCoordinator(
                    name, LEASE_MS, new RolloutPlanner(new WeightsDeadlines(APPLY_MS)), this::leadership, this);
        }

        private Optional<RolloutCoordinator.Leadership> leadership() {
            return epoch < 0
                    ? Optional.empty()
                    : Optional.of(new RolloutCoordinator.Leadership(
                            new Epoch(epoch, name, 0), confirmedAtMs, holder, fencingToken, targets));
        }

        void becomePrimary(long inEpoch) {
            epoch = inEpoch;
            confirmedAtMs = now;
        }

        void run(long ms) {
            for (long end = now + ms; now < end; now += TICK_MS) {
                if (!partitioned && epoch >= 0) {
                    confirmedAtMs = now;
                }
                coordinator.onTick(now, () -> List.of(server("i-1"), server("i-2"), server("i-3")));
            }
        }

        @Override
        public void claim(Epoch leadership) {
            holder = name;
            fencingToken++;
            if (reportsClaims) {
                coordinator.onClaimResult(leadership, true, fencingToken);
            }
        }

        @Override
        public void announce(Server server, long version) {
            announced.add(server.id());
        }

        @Override
        public void sendOrder(RolloutCoordinator.Order order) {
            if (coordinator.mayOrder(now, order)) {
                orders.add(order);
                orderedAtMs.add(now);
            }
        }

        @Override
        public void requestReport(Server server) {}

        @Override
        public void onProgress(RolloutPlanner.Status status) {}

        @Override
        public void onLoaded(LoadTracker.FinishedLoad load) {}
    }

    private static Server server(String id) {
        return new Server(id, "s", "10.0.0.9:80", "z", "m", 1, 0, 1, RegistryEntry.State.READY);
    }

    private long lastOrderAtMs() {
        return orderedAtMs.get(orderedAtMs.size() - 1);
    }

    @Test
    void firstLeaseHolderDoesNotWait() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(300);
        assertFalse(orders.isEmpty());
        assertEquals(1, orders.get(0).fencingToken());
    }

    @Test
    void nothingIsOrderedWithoutATargetVersion() {
        targets.clear();
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(5_000);
        assertTrue(orders.isEmpty());
        assertEquals("", holder, "the rollout is not claimed");
    }

    @Test
    void partitionedHolderStopsOrderingForALeaseBeforeTheNextHolderOrders() {
        Machine a = new Machine("a");
        Machine b = new Machine("b");
        a.becomePrimary(1);
        a.run(1_000);
        a.partitioned = true;
        // By this time at the latest another machine has a majority; the partitioned holder does not know this and
        // continues.
        b.becomePrimary(2);
        long electedAtMs = now;
        List<RolloutCoordinator.Order> ordersBefore = new ArrayList<>(orders);
        for (int tick = 0; tick < 200; tick++) {
            long tickStartMs = now;
            a.run(TICK_MS);
            now = tickStartMs;
            b.run(TICK_MS);
        }
        long lastOfA = orderedAtMs.get(lastIndex(1));
        long firstOfB = orderedAtMs.get(firstIndex(2));
        assertTrue(
                lastOfA <= electedAtMs + RolloutCoordinator.CONFIRMATION_VALID_MS,
                "the partitioned holder stops once its confirmation expires");
        assertTrue(firstOfB - lastOfA >= LEASE_MS, "the next holder waits for the lease");
        assertTrue(
                firstOfB - electedAtMs < LEASE_MS + 1_500,
                "the next holder waits no longer than necessary, because the deadlines still apply");
        assertTrue(orders.size() > ordersBefore.size());
    }

    private int lastIndex(long token) {
        int last = -1;
        for (int i = 0; i < orders.size(); i++) {
            last = orders.get(i).fencingToken() == token ? i : last;
        }
        return last;
    }

    private int firstIndex(long token) {
        for (int i = 0; i < orders.size(); i++) {
            if (orders.get(i).fencingToken() == token) {
                return i;
            }
        }
        return -1;
    }

    @Test
    void holderResumedAfterALongPauseSendsNothing() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        int before = orders.size();
        RolloutCoordinator.Order earlier = orders.get(0);
        now += 20_000;
        assertFalse(
                a.coordinator.mayOrder(now, earlier),
                "permission is checked right before the write, however long connecting took");
        a.partitioned = true;
        a.run(1_000);
        assertEquals(before, orders.size());
    }

    @Test
    void announcedOrderOfAnEarlierLeadershipIsNotSent() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        RolloutCoordinator.Order early = orders.get(0);
        a.becomePrimary(3);
        a.run(200);
        assertFalse(a.coordinator.mayOrder(now, early), "the order carries the token of an earlier claim");
    }

    @Test
    void reelectedHolderContinuesImmediatelyWithAHigherToken() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        a.becomePrimary(2);
        long reelectedAtMs = now;
        a.run(4_000);
        int first = firstIndex(2);
        assertTrue(first > 0);
        assertTrue(orderedAtMs.get(first) - reelectedAtMs < LEASE_MS, "no other machine held the rollout in between");
    }

    @Test
    void holderWithAnUnreportedClaimStillWaitsForThePreviousHoldersLease() {
        Machine a = new Machine("a");
        Machine b = new Machine("b");
        b.becomePrimary(1);
        b.run(1_000);
        long lastOfB = lastOrderAtMs();
        b.epoch = -1;
        a.reportsClaims = false;
        a.becomePrimary(2);
        a.run(100);
        a.epoch = -1;
        a.run(100);
        a.reportsClaims = true;
        a.becomePrimary(3);
        a.run(6_000);
        assertEquals("a", holder);
        int first = firstIndex(3);
        assertTrue(first > 0, "the new holder sends orders after the wait");
        assertTrue(orderedAtMs.get(first) - lastOfB >= LEASE_MS);
    }

    @Test
    void restartedHolderWaitsForTheLease() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        a.restart();
        a.becomePrimary(2);
        long restartedAtMs = now;
        a.run(6_000);
        assertTrue(
                orderedAtMs.get(firstIndex(2)) - restartedAtMs >= LEASE_MS,
                "a restarted holder does not know the results of its earlier claims");
    }

    @Test
    void tokensNeverDecreaseAndAreNeverShared() {
        List<Machine> machines = List.of(new Machine("a"), new Machine("b"), new Machine("c"));
        Map<Long, String> owners = new HashMap<>();
        for (int epoch = 1; epoch < 12; epoch++) {
            Machine next = machines.get(epoch * 7 % 3);
            machines.forEach(m -> m.epoch = -1);
            if (epoch % 4 == 0) {
                next.restart();
            }
            next.becomePrimary(epoch);
            int before = orders.size();
            next.run(epoch % 3 == 0 ? 1_000 : 6_000);
            orders.subList(before, orders.size())
                    .forEach(o -> assertEquals(
                            next.name,
                            owners.computeIfAbsent(o.fencingToken(), t -> next.name),
                            "each token belongs to one holder"));
        }
        for (int i = 1; i < orders.size(); i++) {
            assertTrue(orders.get(i).fencingToken() >= orders.get(i - 1).fencingToken());
        }
        assertTrue(owners.size() > 3);
    }

    @Test
    void targetVersionSetLongAfterTheElectionIsOrderedImmediately() {
        targets.clear();
        holder = "other";
        fencingToken = 7;
        Machine a = new Machine("a");
        a.becomePrimary(5);
        a.run(10_000);
        targets.put("m", 2L);
        long targetSetAtMs = now;
        a.run(1_000);
        assertFalse(orders.isEmpty(), "all earlier holders stopped sending orders long ago");
        assertTrue(orderedAtMs.get(0) - targetSetAtMs < 500);
    }

    @Test
    void unsentOrderIsRetriedSoonAndUnansweredOneLater() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        RolloutCoordinator.Order first = orders.get(0);
        a.coordinator.onResponse(now, first, ServerClient.NOT_SENT);
        int before = orders.size();
        a.run(700);
        assertTrue(orders.size() > before, "the unsent order is retried soon");
        RolloutCoordinator.Order second = orders.get(orders.size() - 1);
        a.coordinator.onResponse(now, second, ServerClient.NO_RESPONSE);
        int ordersAfterSecond = orders.size();
        a.run(1_000);
        assertEquals(ordersAfterSecond, orders.size(), "the unanswered order may have been accepted");
        a.run(2_000);
        assertTrue(orders.size() > ordersAfterSecond);
    }

    @Test
    void higherTokenLeadsToANewClaim() {
        Machine a = new Machine("a");
        a.becomePrimary(1);
        a.run(200);
        a.coordinator.onResponse(now, orders.get(0), 412);
        a.run(4_000);
        assertEquals(2, orders.get(orders.size() - 1).fencingToken());
    }

    @Test
    void leaseWaitOfANewHolderCountsTowardsTheDeadline() {
        holder = "other";
        fencingToken = 7;
        Machine a = new Machine("a");
        a.becomePrimary(5);
        a.run(LEASE_MS + RolloutCoordinator.CONFIRMATION_VALID_MS + RolloutCoordinator.ORDER_TIMEOUT_MS + 300);
        assertEquals(2, orders.size(), "two of three servers load at once; at the start of a rollout it is one");
    }

    @Test
    void serversAreWithdrawnBeforeTheirWeightsAreOverdueEvenWithoutALease() {
        Machine a = new Machine("a");
        a.reportsClaims = false;
        a.becomePrimary(1);
        a.run(APPLY_MS / 2);
        assertEquals(Set.of(), announced);
        a.reportsClaims = true;
        a.becomePrimary(2);
        holder = "other";
        a.partitioned = true;
        a.run(APPLY_MS / 2);
        assertTrue(orders.isEmpty());
        assertEquals(Set.of("i-1", "i-2", "i-3"), announced);
    }
}
