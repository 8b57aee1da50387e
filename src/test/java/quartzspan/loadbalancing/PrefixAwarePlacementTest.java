package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quartzspan.loadbalancing.LoadBalancer.Outcome;

/** Placement of requests: ring points from ids, the next usable owner, one connection at a time. */
class PrefixAwarePlacementTest {
    private final Set<String> connected = new HashSet<>();
    private final PrefixAwarePlacement placement = new PrefixAwarePlacement(7, new ServerConnections() {
        @Override
        public boolean isConnected(String server) {
            return connected.contains(server);
        }

        @Override
        public boolean isReachable(String server) {
            return true;
        }
    });

    PrefixAwarePlacementTest() {
        for (int i = 0; i < 6; i++) {
            placement.onListed(0, "i-" + i, "s", true, false);
        }
    }

    private static PlacementRequest request(String key) {
        return new PlacementRequest("s", key, 100, 10);
    }

    @Test
    void requestWithKeyGoesToItsOwnerOrTheNextUsableServer() {
        Map<String, Integer> shares = new HashMap<>();
        for (int k = 0; k < 600; k++) {
            String key = "k" + k;
            String owner = placement.pick(0, request(key), Set.of());
            shares.merge(owner, 1, Integer::sum);
            assertEquals(owner, placement.pick(0, request(key), Set.of()), "same key, same owner");
            String next = placement.pick(0, request(key), Set.of(owner));
            placement.onListed(0, owner, "s", false, false);
            assertEquals(
                    next, placement.pick(0, request(key), Set.of()), "a draining owner is replaced by the next one");
            placement.onListed(0, owner, "s", true, false);
            assertEquals(owner, placement.pick(0, request(key), Set.of()));
        }
        assertTrue(shares.values().stream().allMatch(n -> n > 45 && n < 180), shares.toString());
    }

    @Test
    void newIncarnationOfAServerGetsNewRingPoints() {
        PrefixAwarePlacement other = new PrefixAwarePlacement(7, null);
        Map<String, String> owners = new HashMap<>();
        for (int k = 0; k < 100; k++) {
            owners.put("k" + k, placement.pick(0, request("k" + k), Set.of()));
        }
        placement.onGone("i-0");
        placement.onListed(0, "i-0-again", "s", true, false);
        int movedAmongOthers = 0;
        int keysTakenOver = 0;
        for (int k = 0; k < 100; k++) {
            String owner = placement.pick(0, request("k" + k), Set.of());
            String before = owners.get("k" + k);
            movedAmongOthers += !before.equals("i-0") && !owner.equals(before) && !owner.equals("i-0-again") ? 1 : 0;
            keysTakenOver += before.equals("i-0") && owner.equals("i-0-again") ? 1 : 0;
        }
        assertEquals(0, movedAmongOthers);
        assertTrue(keysTakenOver < 12, "ring points come from the id");
        assertNull(other.pick(0, request("k"), Set.of()));
    }

    @Test
    void keylessRequestsOpenOneConnectionAtATime() {
        String first = placement.pick(0, request(null), Set.of());
        placement.onSent(first, request(null));
        connected.add("i-3");
        if (!first.equals("i-3")) {
            for (int i = 0; i < 50; i++) {
                String next = placement.pick(0, request(null), Set.of());
                assertTrue(next.equals("i-3") || next.equals(first), "second connection opened to " + next);
            }
        }
        placement.onResponseStarted(first);
        Set<String> later = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            String next = placement.pick(0, request(null), Set.of());
            later.add(next);
            placement.onResponseStarted(next);
        }
        assertTrue(later.size() > 2, "with no connection being opened, the first server of the walk is used");
    }

    @Test
    void failingServersAreSkippedTemporarily() {
        String owner = placement.pick(0, request("k"), Set.of());
        placement.onSent(owner, request("k"));
        placement.onEnded(0, owner, request("k"), Outcome.CONNECT_ERROR);
        assertNotEquals(owner, placement.pick(1_000, request("k"), Set.of()));
        assertEquals(owner, placement.pick(900_000, request("k"), Set.of()));
        placement.onListed(0, owner, "s", true, true);
        assertNotEquals(owner, placement.pick(900_000, request("k"), Set.of()), "the owner is loading weights");
    }

    @Test
    void ownerTakesNoMoreThanItsBoundedShareOfTheWork() {
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String server = placement.pick(0, request("hot"), Set.of());
            placement.onSent(server, request("hot"));
            sent.merge(server, 1, Integer::sum);
        }
        assertTrue(sent.values().stream().allMatch(n -> n <= 15), sent.toString());
    }

    @Test
    void serverWithMostCachedTokensIsThePrefixSource() {
        String target = placement.pick(20_000_000, request("k"), Set.of());
        String other = target.equals("i-1") ? "i-2" : "i-1";
        assertEquals(other, placement.prefixSource(20_000_000, request("k"), target, s -> s.equals(other) ? 5_000 : 0));
        assertNull(
                placement.prefixSource(20_000_000, request("k"), target, s -> 5_000),
                "the target has cached as much itself");
        assertNull(placement.prefixSource(20_000_000, request(null), target, s -> 0));
    }
}
