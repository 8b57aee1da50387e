package quartzspan.controlplane;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quartzspan.common.FleetException;
import quartzspan.registry.Gossip;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;

/**
 * Acknowledges the drain announcements of servers ({@code draining}, {@code Deregister}). After the acknowledgement all proxies
 * must learn of it even if as many core machines as may be lost at once are lost right then, the acknowledging one among them.
 * So a request is acknowledged only when that many other core machines have the entry; else it is refused in time for the
 * server to call another machine. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class DrainAcknowledger {
    /** A server waits one second for the response; a refusal has to reach it before. */
    static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 800;

    /** The server that waits for the response. */
    interface Caller {
        void acknowledge();

        void refuse(FleetException why);
    }

    /** One request that waits; {@link #cancel} ends it without a response. */
    final class Pending {
        private final Caller caller;
        private final long deadlineMs;
        private long broadcast;

        private Pending(Caller caller, long deadlineMs) {
            this.caller = caller;
            this.deadlineMs = deadlineMs;
        }

        /** Whether the caller still waits. */
        boolean isPending() {
            return pending.contains(this);
        }

        /** The caller has disconnected. */
        void cancel() {
            if (pending.remove(this)) {
                gossip.cancelBroadcast(broadcast);
            }
        }
    }

    private final Gossip gossip;
    private final Set<Pending> pending = new LinkedHashSet<>();

    DrainAcknowledger(Gossip gossip) {
        this.gossip = gossip;
    }

    /**
     * Broadcasts an entry, and acknowledges it once enough core machines have it.
     *
     * @param requiredHolders number of other core machines that must have it
     */
    Pending begin(long now, RegistryEntry entry, int requiredHolders, Caller caller) {
        Pending call = new Pending(caller, now + ACKNOWLEDGEMENT_TIMEOUT_MS);
        if (requiredHolders == 0) {
            gossip.broadcast(now, new Registry.Update(List.of(entry), false), null);
            caller.acknowledge();
            return call;
        }
        pending.add(call);
        call.broadcast = gossip.broadcastUntilAcknowledged(now, List.of(entry), requiredHolders, () -> {
            if (pending.remove(call)) {
                caller.acknowledge();
            }
        });
        return call;
    }

    /** Refuses requests that have timed out; to be called every 50 ms or so. */
    void onTick(long now) {
        for (Iterator<Pending> all = pending.iterator(); all.hasNext(); ) {
            Pending call = all.next();
            if (now >= call.deadlineMs) {
                all.remove();
                gossip.cancelBroadcast(call.broadcast);
                call.caller.refuse(new FleetException(
                        FleetException.Code.NOT_PRIMARY,
                        "too few other core machines have confirmed it",
                        "ask another machine of the core"));
            }
        }
    }

    /** Whether no request waits. */
    boolean isIdle() {
        return pending.isEmpty();
    }
}
