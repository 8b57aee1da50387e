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
 * Acknowledges what servers say before a planned end ({@code draining}, {@code Deregister}). After the acknowledgement all
 * proxies must learn it although as many core machines as may be lost at once are lost right then, the one that
 * acknowledged among them. So it is given only when that many others hold the entry; else the caller is refused in time to
 * call another machine. No clock, no I/O; times are milliseconds of a steady clock.
 */
final class DrainAcknowledger {
    /** A server waits a second for its answer; a refusal has to reach it before. */
    static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 800;

    /** The server that waits for its answer. */
    interface Caller {
        void acknowledge();

        void refuse(FleetException why);
    }

    /** One call that waits; {@link #hangUp} ends it without an answer. */
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

        /** The caller has gone away. */
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
     * Tells an entry and answers the caller once it is held.
     *
     * @param holders how many other core machines must hold it
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

    /** Refuses those whose time is over; to be called every 50 ms or so. */
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

    /** Whether nobody waits. */
    boolean idle() {
        return pending.isEmpty();
    }
}
