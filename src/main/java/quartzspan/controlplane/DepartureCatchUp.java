package quartzspan.controlplane;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.registry.DepartureLog;
import quartzspan.registry.Gossip;
import quartzspan.replication.Membership;

/**
 * Determines when a core machine that has started knows every departure of a server that was acknowledged before. Until then a
 * heartbeat of an unknown server may be a delayed one of a server that has left. No clock, no I/O; times are milliseconds of a
 * steady clock.
 */
final class DepartureCatchUp {
    private static final Logger LOG = LoggerFactory.getLogger(DepartureCatchUp.class);
    /** Interval between queries to the core machines whose departures are not known yet. */
    static final long QUERY_INTERVAL_MS = 100;

    private final String self;
    private final Gossip gossip;
    private final DepartureLog log;
    private final Supplier<Membership> membership;
    private boolean caughtUp;
    private long nextQueryAtMs = Long.MIN_VALUE;

    /** @param firstStart whether there are no departures, since the whole system starts for the first time */
    DepartureCatchUp(
            String self, Gossip gossip, DepartureLog log, Supplier<Membership> membership, boolean firstStart) {
        this.self = self;
        this.gossip = gossip;
        this.log = log;
        this.membership = membership;
        this.caughtUp = firstStart;
    }

    /** Queries other core machines as long as it is necessary; to be called about every 50 ms. */
    void onTick(long now) {
        if (!isCaughtUp(now) && now >= nextQueryAtMs) {
            nextQueryAtMs = now + QUERY_INTERVAL_MS;
            gossip.queryCoresToMerge(now);
        }
    }

    /** Whether every departure that was acknowledged before the start is known. */
    boolean isCaughtUp(long now) {
        if (!caughtUp && DepartureQuorum.isComplete(membership.get(), machinesWithKnownDepartures())) {
            caughtUp = true;
            LOG.info(
                    "caught up with the departures of {} core machines",
                    gossip.mergedCores().size());
            log.onCaughtUp(now);
        }
        return caughtUp;
    }

    private Set<String> machinesWithKnownDepartures() {
        Set<String> known = new HashSet<>(gossip.mergedCores());
        if (log.isComplete()) {
            known.add(self);
        }
        return known;
    }
}
