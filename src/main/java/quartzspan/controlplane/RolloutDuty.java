package quartzspan.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import quartzspan.common.JsonLines;
import quartzspan.registry.Server;
import quartzspan.replication.Epoch;

/**
 * The duty of bringing servers to the weights that were named, which one machine has at a time: the primary.
 *
 * <p>Servers need not check fencing tokens, so the holder before must have surely stopped when the next one begins. A holder
 * sends an order only within {@link #CONFIRMED_MS} of the sending of a heartbeat that a majority acknowledged, which is
 * asked right before the bytes go out. Whoever becomes primary was granted its epoch by a majority after that, so all
 * earlier holders are silent {@link #CONFIRMED_MS} after its term began, and it waits for the lease from there on. The
 * fencing token is the fence of the claim in the control state: it is this claim's alone, and higher than all before it.
 *
 * <p>No clock, no I/O; times are milliseconds of a steady clock.
 */
final class RolloutDuty {
    /** An order is sent only by a primary whose place was confirmed within this. */
    static final long CONFIRMED_MS = 450;
    /** Longest time for which an order may be on its way: after that it is taken back from its connection. */
    static final long DELIVERY_MS = 550;
    /** Between telling proxies that a server will load weights and ordering it to. */
    static final long ANNOUNCE_MS = 60;

    private static final long REPORT_EVERY_MS = 250;
    private static final long REPORT_FORGET_MS = 10_000;

    /**
     * This machine's place as primary.
     *
     * @param epoch names the term; each has one primary
     * @param confirmedAt when the last heartbeat that a majority acknowledged was sent
     * @param holder who claimed the duty last; empty if nobody ever did
     * @param fence fence of that claim
     * @param weights versions of weights that were named, by model
     */
    record Term(Epoch epoch, long confirmedAt, String holder, long fence, Map<String, Long> weights) {}

    /** An order to one server. */
    record Order(Server server, String model, long version, long fencingToken) {}

    /** What the duty does. */
    interface Out {
        /** Claims the duty in the control state; {@link RolloutDuty#claimed} tells of it. */
        void claim(Epoch term);

        /** Tells proxies that a server is about to load weights. */
        void announce(Server server, long version);

        /** Sends an order, if {@link RolloutDuty#permits} it right before the write; {@link RolloutDuty#answered} tells. */
        void order(Order order);

        /** Asks a server which weights it has. */
        void report(Server server);
    }

    private record Announced(long dueAt, Order order) {}

    private final String self;
    private final long leaseMs;
    private final Supplier<Optional<Term>> terms;
    private final Out out;
    private final Rollout rollout;
    private final List<Announced> announced = new ArrayList<>();
    private final Map<String, Long> reportAt = new HashMap<>();

    private Epoch epoch = Epoch.NONE;
    private long termSince;
    private boolean claiming;
    private boolean holding;
    private long fence;
    private long beginAt;
    /** Fence of the claim under which this process was last free to give orders. */
    private long servedFence = -1;

    /**
     * @param rollout whom to order when
     * @param terms this machine's place at the moment of asking; empty while it is not primary
     */
    RolloutDuty(String self, long leaseMs, Rollout rollout, Supplier<Optional<Term>> terms, Out out) {
        this.self = self;
        this.leaseMs = leaseMs;
        this.rollout = rollout;
        this.terms = terms;
        this.out = out;
    }

    /**
     * To be called every 50 ms or so.
     *
     * @param known the servers known at present
     */
    void onTick(long now, Supplier<List<Server>> known) {
        Optional<Term> term = terms.get();
        if (term.isEmpty()) {
            resign();
            return;
        }
        follow(now, term.get());
        if (term.get().weights().isEmpty()) {
            return;
        }
        if (!holding) {
            claim(term.get());
            return;
        }
        if (!free(now, term.get())) {
            rollout.observe(now, term.get().weights(), known.get());
            return;
        }
        servedFence = fence;
        sendAnnounced(now);
        List<Server> servers = known.get();
        announce(now, term.get(), servers);
        report(now, servers);
    }

    private void resign() {
        epoch = Epoch.NONE;
        claiming = false;
        holding = false;
        announced.clear();
    }

    private void follow(long now, Term term) {
        if (!term.epoch().equals(epoch)) {
            resign();
            epoch = term.epoch();
            termSince = now;
        }
    }

    private void claim(Term term) {
        if (claiming) {
            return;
        }
        claiming = true;
        boolean noOtherSince = term.holder().isEmpty() || term.holder().equals(self) && term.fence() == servedFence;
        beginAt = noOtherSince ? termSince : termSince + CONFIRMED_MS + DELIVERY_MS + leaseMs;
        out.claim(term.epoch());
    }

    /** What became of the claim made in a term; {@code claimFence} is its fence if it was granted. */
    void claimed(Epoch term, boolean granted, long claimFence) {
        if (!term.equals(epoch) || !claiming) {
            return;
        }
        claiming = false;
        holding = granted;
        fence = claimFence;
    }

    private boolean free(long now, Term term) {
        return holding && term.epoch().equals(epoch) && now >= beginAt && now - term.confirmedAt() <= CONFIRMED_MS;
    }

    /** Whether an order may go out at this very moment. */
    boolean permits(long now, Order order) {
        Optional<Term> term = terms.get();
        return term.isPresent() && order.fencingToken() == fence && free(now, term.get());
    }

    private void sendAnnounced(long now) {
        for (Iterator<Announced> all = announced.iterator(); all.hasNext(); ) {
            Announced next = all.next();
            if (now >= next.dueAt()) {
                all.remove();
                out.order(next.order());
            }
        }
    }

    private void announce(long now, Term term, List<Server> servers) {
        for (Rollout.Order due : rollout.due(now, term.weights(), servers)) {
            rollout.ordered(now, due.server().id());
            reportAt.put(due.server().id(), now + REPORT_EVERY_MS);
            out.announce(due.server(), due.version());
            announced.add(new Announced(now + ANNOUNCE_MS, new Order(due.server(), due.model(), due.version(), fence)));
        }
    }

    private void report(long now, List<Server> servers) {
        for (String id : rollout.under(now)) {
            if (now >= reportAt.getOrDefault(id, 0L)) {
                reportAt.put(id, now + REPORT_EVERY_MS);
                servers.stream().filter(s -> s.id().equals(id)).findFirst().ifPresent(out::report);
            }
        }
        reportAt.values().removeIf(at -> now - at > REPORT_FORGET_MS);
    }

    /** An order as sent to its server. */
    static String json(Order order, String holder) {
        StringBuilder json = new StringBuilder("{\"operation\":\"version\",\"model\":");
        JsonLines.quote(json, order.model());
        json.append(",\"version\":").append(order.version()).append(",\"method\":\"queue\",\"holder\":");
        JsonLines.quote(json, holder);
        return json.append(",\"fencing_token\":")
                .append(order.fencingToken())
                .append('}')
                .toString();
    }

    /** How an order ended; see {@link ServerClient.Answered}. */
    void answered(long now, Order order, int status) {
        boolean refused = status == ServerClient.NOT_SENT || status == 409 || status >= 500;
        if (refused) {
            rollout.refused(now, order.server().id());
        }
        if (status == 412 && order.fencingToken() == fence) {
            // The server has seen a higher token: only a new claim can be above it.
            holding = false;
        }
    }
}
