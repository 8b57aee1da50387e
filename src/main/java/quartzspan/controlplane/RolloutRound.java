package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.List;
import quartzspan.registry.Server;
import quartzspan.registry.WeightsDeadlines;

/**
 * The state of a model's servers in one planning round: how many lack each target version, and how many of those are loading.
 */
final class RolloutRound {
    private static final class TargetVersion {
        final long version;
        final LoadConcurrencyLimit concurrencyLimit;
        final int outdated;
        int loading;

        TargetVersion(long version, int outdated, LoadConcurrencyLimit concurrencyLimit) {
            this.version = version;
            this.outdated = outdated;
            this.concurrencyLimit = concurrencyLimit;
        }

        boolean isOutdated(Server server) {
            return server.weightsVersion() < version;
        }
    }

    private final List<TargetVersion> targets = new ArrayList<>();
    private int loading;

    RolloutRound(long now, WeightsDeadlines deadlines, String model, List<Server> servers) {
        deadlines.targetsOf(model).forEach((version, deadline) -> {
            int outdated = (int) servers.stream()
                    .filter(server -> server.weightsVersion() < version)
                    .count();
            double elapsed = deadlines.elapsedFraction(now, deadline);
            targets.add(
                    new TargetVersion(version, outdated, new LoadConcurrencyLimit(servers.size(), outdated, elapsed)));
        });
    }

    /** Counts a server that is loading or about to. */
    void addLoading(Server server) {
        loading++;
        targets.stream().filter(target -> target.isOutdated(server)).forEach(target -> target.loading++);
    }

    /** Whether the limit of a version that a server lacks permits it to load in addition to those that are loading. */
    boolean mayLoad(Server server) {
        return targets.stream()
                .filter(target -> target.isOutdated(server))
                .anyMatch(target -> target.loading < target.concurrencyLimit.maxForVersion()
                        && loading < target.concurrencyLimit.maxTotal());
    }

    int loadingCount() {
        return loading;
    }

    /** How many servers lack a version. */
    int outdatedCount(long version) {
        return targets.stream()
                .filter(target -> target.version == version)
                .mapToInt(target -> target.outdated)
                .sum();
    }

    /** How many servers that lack a version may load at once. */
    long limit(long version) {
        return targets.stream()
                .filter(target -> target.version == version && target.outdated > 0)
                .mapToLong(target -> target.concurrencyLimit.maxForVersion())
                .sum();
    }
}
