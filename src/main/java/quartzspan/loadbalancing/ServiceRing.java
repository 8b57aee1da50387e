package quartzspan.loadbalancing;

import java.util.ArrayList;
import java.util.List;

/** The hash ring of a service and the total outstanding work of its servers. */
final class ServiceRing {
    private static final int POINTS_PER_SERVER = 120;

    private final Ring<PlacementServer> ring = new Ring<>();
    private int servers;
    private double outstandingWork;

    void add(PlacementServer server) {
        ring.add(server, Ring.points(Ring.HASH.hashCharsToLong(server.id()), POINTS_PER_SERVER));
        ring.merge();
        servers++;
    }

    void remove(PlacementServer server) {
        ring.remove(server);
        ring.merge();
        servers--;
        outstandingWork -= server.outstandingWork();
    }

    boolean isEmpty() {
        return servers == 0;
    }

    double outstandingWork() {
        return outstandingWork;
    }

    void addWork(double work) {
        outstandingWork = Math.max(0, outstandingWork + work);
    }

    /** All servers in ring order from a hash on, each at its first point. */
    List<PlacementServer> walk(long hash, int walkNumber) {
        List<PlacementServer> visited = new ArrayList<>(servers);
        int start = ring.firstIndex(hash);
        for (int step = 0; step < ring.size() && visited.size() < servers; step++) {
            PlacementServer server = ring.owner(start + step);
            if (server.visit(walkNumber)) {
                visited.add(server);
            }
        }
        return visited;
    }
}
