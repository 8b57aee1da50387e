package quartzspan.controlplane;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import quartzspan.common.FleetException;
import quartzspan.registry.Gossip;
import quartzspan.registry.RegistryEntry;

/**
 * Acknowledges the requests by which servers announce that they drain ({@code draining}, {@code Deregister}). After the
 * acknowledgement all proxies must be informed even if as many core machines as may be lost at once are lost immediately,
 * including the acknowledging one, and even if all processes end. A request is therefore acknowledged only when enough core
 * machines have the entry on disk; otherwise it is rejected early enough for the server to call another machine. No clock, no
 * I/O; times are milliseconds of a steady clock.
 */
final class DrainAcknowledger {
    /** A server waits one second for the response; a rejection must reach it before that. */
    static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 800;

    /** The server that waits for the response. */
    interface Caller {
        void acknowledge();

        void reject(FleetException rejection);
    }

    /** A request that waits for acknowledgements; {@link #cancel} ends it without a response. */
    final class PendingRequest {
        private final Caller caller;
        private final long deadlineMs;
        private long broadcastId;

        private PendingRequest(Caller caller, long deadlineMs) {
            this.caller = caller;
            this.deadlineMs = deadlineMs;
        }

        /** Whether the caller is still waiting. */
        boolean isPending() {
            return pending.contains(this);
        }

        /** To be called when the caller has disconnected. */
        void cancel() {
            if (pending.remove(this)) {
                gossip.cancelBroadcast(broadcastId);
            }
        }
    }

    private final Gossip gossip;
    private final Set<PendingRequest> pending = new LinkedHashSet<>();

    DrainAcknowledger(Gossip gossip) {
        this.gossip = gossip;
    }

    /**
     * Broadcasts an entry, and acknowledges the request once enough core machines have the entry on disk.
     *
     * @param enough whether these machines, which hold the entry, are enough
     */
    PendingRequest begin(long now, RegistryEntry entry, Predicate<Set<String>> enough, Caller caller) {
        PendingRequest request = new PendingRequest(caller, now + ACKNOWLEDGEMENT_TIMEOUT_MS);
        pending.add(request);
        request.broadcastId = gossip.broadcastUntilAcknowledged(now, List.of(entry), enough, () -> {
            if (pending.remove(request)) {
                caller.acknowledge();
            }
        });
        return request;
    }

    /** Rejects requests that have timed out; to be called about every 50 ms. */
    void onTick(long now) {
        for (Iterator<PendingRequest> requests = pending.iterator(); requests.hasNext(); ) {
            PendingRequest request = requests.next();
            if (now >= request.deadlineMs) {
                requests.remove();
                gossip.cancelBroadcast(request.broadcastId);
                request.caller.reject(new FleetException(
                        FleetException.Code.NOT_PRIMARY,
                        "too few core machines have stored the server's entry in time",
                        "call another core machine"));
            }
        }
    }

    /** Whether no request is waiting. */
    boolean isIdle() {
        return pending.isEmpty();
    }
}
