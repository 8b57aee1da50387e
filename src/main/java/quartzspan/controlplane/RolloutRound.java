package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.List;
import quartzspan.registry.Server;

/** One look at the servers of a model: how many lack each version that binds them, and how many of those are loading. */
final class RolloutRound {
    /** A named version. */
    private static final class Naming {
        final long version;
        final RolloutPace pace;
        final int lacking;
        int loading;

        Naming(long version, int lacking, RolloutPace pace) {
            this.version = version;
            this.lacking = lacking;
            this.pace = pace;
        }

        boolean isLackedBy(Server server) {
            return server.weightsVersion() < version;
        }
    }

    private final List<Naming> namings = new ArrayList<>();
    private int loading;

    RolloutRound(long now, WeightsDeadlines deadlines, String model, List<Server> servers) {
        deadlines.of(model).forEach((version, deadline) -> {
            int lacking = (int) servers.stream()
                    .filter(server -> server.weightsVersion() < version)
                    .count();
            double elapsed = deadlines.elapsedFraction(now, deadline);
            namings.add(new Naming(version, lacking, new RolloutPace(servers.size(), lacking, elapsed)));
        });
    }

    /** A server is loading, or about to. */
    void addLoading(Server server) {
        loading++;
        namings.stream().filter(naming -> naming.isLackedBy(server)).forEach(naming -> naming.loading++);
    }

    /** Whether one of the versions that a server lacks lets it load beside those that are loading. */
    boolean mayLoad(Server server) {
        return namings.stream()
                .filter(naming -> naming.isLackedBy(server))
                .anyMatch(naming -> naming.loading < naming.pace.limit() && loading < naming.pace.maximum());
    }

    int loading() {
        return loading;
    }

    /** How many servers lack a version. */
    int lacking(long version) {
        return namings.stream()
                .filter(naming -> naming.version == version)
                .mapToInt(naming -> naming.lacking)
                .sum();
    }

    /** How many servers that lack a version may load at once. */
    long limit(long version) {
        return namings.stream()
                .filter(naming -> naming.version == version && naming.lacking > 0)
                .mapToLong(naming -> naming.pace.limit())
                .sum();
    }
}
