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
final class LeaveAcknowledgements {
    /** A server waits a second for its answer; a refusal has to reach it before. */
    static final long BUDGET_MS = 800;

    /** The server that waits for its answer. */
    interface Caller {
        void acknowledge();

        void refuse(FleetException why);
    }

    /** One call that waits; {@link #hangUp} ends it without an answer. */
    final class Waiting {
        private final Caller caller;
        private final long endAt;
        private long receipt;

        private Waiting(Caller caller, long endAt) {
            this.caller = caller;
            this.endAt = endAt;
        }

        /** Whether the caller still waits. */
        boolean open() {
            return open.contains(this);
        }

        /** The caller has gone away. */
        void hangUp() {
            if (open.remove(this)) {
                gossip.cancelReceipt(receipt);
            }
        }
    }

    private final Gossip gossip;
    private final Set<Waiting> open = new LinkedHashSet<>();

    LeaveAcknowledgements(Gossip gossip) {
        this.gossip = gossip;
    }

    /**
     * Tells an entry and answers the caller once it is held.
     *
     * @param holders how many other core machines must hold it
     */
    Waiting begin(long now, RegistryEntry entry, int holders, Caller caller) {
        Waiting waiting = new Waiting(caller, now + BUDGET_MS);
        if (holders == 0) {
            gossip.tell(now, new Registry.News(List.of(entry), false), null);
            caller.acknowledge();
            return waiting;
        }
        open.add(waiting);
        waiting.receipt = gossip.tellSurely(now, List.of(entry), holders, () -> {
            if (open.remove(waiting)) {
                caller.acknowledge();
            }
        });
        return waiting;
    }

    /** Refuses those whose time is over; to be called every 50 ms or so. */
    void onTick(long now) {
        for (Iterator<Waiting> all = open.iterator(); all.hasNext(); ) {
            Waiting waiting = all.next();
            if (now >= waiting.endAt) {
                all.remove();
                gossip.cancelReceipt(waiting.receipt);
                waiting.caller.refuse(new FleetException(
                        FleetException.Code.NOT_PRIMARY,
                        "too few other core machines have confirmed it",
                        "ask another machine of the core"));
            }
        }
    }

    /** Whether nobody waits. */
    boolean idle() {
        return open.isEmpty();
    }
}
