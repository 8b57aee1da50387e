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
 * The rollout of target versions of weights to servers: a singleton role that one machine holds at a time, the
 * primary, under a lease with a fencing token.
 *
 * <p>Servers need not check fencing tokens, so the previous holder must have stopped when the next one begins. A
 * holder sends an order only within {@link #CONFIRMATION_VALID_MS} of sending a heartbeat that a majority
 * acknowledged; this is checked immediately before the bytes are written. A new primary was granted its epoch by a
 * majority after that heartbeat, so all earlier holders have stopped sending orders {@link #CONFIRMATION_VALID_MS}
 * after its leadership began, and it waits for the lease from then on. The fencing token is assigned to a claim in
 * the control state: each claim has its own, higher than those of all earlier claims.
 *
 * <p>No clock, no I/O; times are milliseconds of a steady clock.
 */
final class RolloutCoordinator {
    /** An order is sent only by a primary whose leadership was confirmed within this time. */
    static final long CONFIRMATION_VALID_MS = 450;
    /** Longest time for which an order may be in flight; after that it is discarded from its connection. */
    static final long ORDER_TIMEOUT_MS = 550;
    /** Time between announcing to the proxies that a server will load weights and sending the order to it. */
    static final long ANNOUNCE_LEAD_MS = 60;

    static final int STATUS_OK = 200;
    static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int FIRST_SERVER_ERROR = 500;

    private static final long REPORT_INTERVAL_MS = 250;
    private static final long REPORT_EXPIRY_MS = 10_000;

    /**
     * This machine's leadership as primary.
     *
     * @param epoch the epoch of this machine's membership; each epoch has at most one primary
     * @param confirmedAtMs when the last heartbeat that a majority acknowledged was sent
     * @param holder the replica that last claimed the rollout; empty if none ever did
     * @param fencingToken fencing token of that claim
     * @param targets target versions of weights, by model
     */
    record Leadership(Epoch epoch, long confirmedAtMs, String holder, long fencingToken, Map<String, Long> targets) {}

    /** An order to one server to load a version. */
    record Order(Server server, String model, long version, long fencingToken) {}

    /** The actions that the coordinator takes on the control state, proxies and servers. */
    interface Actions {
        /** Claims the rollout in the control state; {@link RolloutCoordinator#onClaimResult} reports the outcome. */
        void claim(Epoch epoch);

        /**
         * Announces to the proxies that a server is about to load weights, so that they send it no requests for other
         * versions.
         */
        void announce(Server server, long version);

        /** Sends an order, if {@link RolloutCoordinator#mayOrder} permits it right before the write; {@link
         * RolloutCoordinator#onResponse} reports the outcome. */
        void sendOrder(Order order);

        /** Requests a server's report on its weights. */
        void requestReport(Server server);

        /** Reports the progress of a rollout; called at each tick of the lease holder. */
        void onProgress(RolloutPlanner.Status status);

        /** A server has finished loading the weights that it was ordered to load. */
        void onLoaded(LoadTracker.FinishedLoad load);
    }

    private record AnnouncedOrder(long dueAtMs, Order order) {}

    private final String self;
    private final long leaseMs;
    private final Supplier<Optional<Leadership>> currentLeadership;
    private final Actions actions;
    private final RolloutPlanner planner;
    private final List<AnnouncedOrder> announcedOrders = new ArrayList<>();
    private final Map<String, Long> nextReportAtMs = new HashMap<>();

    private Epoch epoch = Epoch.NONE;
    private long leadershipSinceMs;
    private boolean claiming;
    private boolean claimGranted;
    private long fencingToken;
    private long leaseStartsAtMs;
    /** Fencing token of the last claim under which this process held the lease. */
    private long lastActiveToken = -1;

    /**
     * @param planner plans which server is ordered when
     * @param currentLeadership this machine's current leadership; empty while it is not primary
     */
    RolloutCoordinator(
            String self,
            long leaseMs,
            RolloutPlanner planner,
            Supplier<Optional<Leadership>> currentLeadership,
            Actions actions) {
        this.self = self;
        this.leaseMs = leaseMs;
        this.planner = planner;
        this.currentLeadership = currentLeadership;
        this.actions = actions;
    }

    /**
     * To be called about every 50 ms.
     *
     * @param knownServers the servers that are currently known
     */
    void onTick(long now, Supplier<List<Server>> knownServers) {
        Optional<Leadership> leadership = currentLeadership.get();
        if (leadership.isEmpty()) {
            resetLeadership();
            return;
        }
        trackLeadership(now, leadership.get());
        planner.observe(now, leadership.get().targets());
        if (leadership.get().targets().isEmpty()) {
            return;
        }
        if (!claimGranted) {
            claim(leadership.get());
            return;
        }
        List<Server> servers = knownServers.get();
        withdraw(now, leadership.get(), servers);
        if (!holdsLease(now, leadership.get())) {
            return;
        }
        lastActiveToken = fencingToken;
        sendAnnouncedOrders(now);
        announceDueOrders(now, leadership.get(), servers);
        requestReports(now, servers);
        planner.takeFinished().forEach(actions::onLoaded);
        planner.statuses().forEach(actions::onProgress);
    }

    private void resetLeadership() {
        epoch = Epoch.NONE;
        claiming = false;
        claimGranted = false;
        announcedOrders.clear();
    }

    private void trackLeadership(long now, Leadership leadership) {
        if (!leadership.epoch().equals(epoch)) {
            resetLeadership();
            epoch = leadership.epoch();
            leadershipSinceMs = now;
        }
    }

    private void claim(Leadership leadership) {
        if (claiming) {
            return;
        }
        claiming = true;
        boolean noOtherHolderSince = leadership.holder().isEmpty()
                || leadership.holder().equals(self) && leadership.fencingToken() == lastActiveToken;
        leaseStartsAtMs = noOtherHolderSince
                ? leadershipSinceMs
                : leadershipSinceMs + CONFIRMATION_VALID_MS + ORDER_TIMEOUT_MS + leaseMs;
        actions.claim(leadership.epoch());
    }

    /** The claim made in an epoch has been granted or not; {@code claimToken} is its fencing token if it was granted. */
    void onClaimResult(Epoch claimEpoch, boolean granted, long claimToken) {
        if (!claimEpoch.equals(epoch) || !claiming) {
            return;
        }
        claiming = false;
        claimGranted = granted;
        fencingToken = claimToken;
    }

    private boolean holdsLease(long now, Leadership leadership) {
        return claimGranted
                && leadership.epoch().equals(epoch)
                && now >= leaseStartsAtMs
                && now - leadership.confirmedAtMs() <= CONFIRMATION_VALID_MS;
    }

    /** Whether an order may be sent at this moment. */
    boolean mayOrder(long now, Order order) {
        Optional<Leadership> leadership = currentLeadership.get();
        return leadership.isPresent() && order.fencingToken() == fencingToken && holdsLease(now, leadership.get());
    }

    private void sendAnnouncedOrders(long now) {
        for (Iterator<AnnouncedOrder> orders = announcedOrders.iterator(); orders.hasNext(); ) {
            AnnouncedOrder next = orders.next();
            if (now >= next.dueAtMs()) {
                orders.remove();
                actions.sendOrder(next.order());
            }
        }
    }

    /**
     * Takes servers whose weights are about to be overdue out of service. This needs no lease, because it sends no orders.
     */
    private void withdraw(long now, Leadership leadership, List<Server> servers) {
        for (RolloutPlanner.Order withdrawal : planner.dueWithdrawals(now, leadership.targets(), servers)) {
            actions.announce(withdrawal.server(), withdrawal.version());
        }
    }

    private void announceDueOrders(long now, Leadership leadership, List<Server> servers) {
        for (RolloutPlanner.Order due : planner.dueOrders(now, leadership.targets(), servers)) {
            planner.onOrdered(now, due);
            nextReportAtMs.put(due.server().id(), now + REPORT_INTERVAL_MS);
            actions.announce(due.server(), due.version());
            announcedOrders.add(new AnnouncedOrder(
                    now + ANNOUNCE_LEAD_MS, new Order(due.server(), due.model(), due.version(), fencingToken)));
        }
    }

    private void requestReports(long now, List<Server> servers) {
        for (String id : planner.loadingServers(now)) {
            if (now >= nextReportAtMs.getOrDefault(id, 0L)) {
                nextReportAtMs.put(id, now + REPORT_INTERVAL_MS);
                servers.stream().filter(s -> s.id().equals(id)).findFirst().ifPresent(actions::requestReport);
            }
        }
        nextReportAtMs.values().removeIf(at -> now - at > REPORT_EXPIRY_MS);
    }

    /** The JSON of an order, as sent to its server. */
    static String toJson(Order order, String holder) {
        StringBuilder json = new StringBuilder("{\"operation\":\"version\",\"model\":");
        JsonLines.quote(json, order.model());
        json.append(",\"version\":").append(order.version()).append(",\"method\":\"queue\",\"holder\":");
        JsonLines.quote(json, holder);
        return json.append(",\"fencing_token\":")
                .append(order.fencingToken())
                .append('}')
                .toString();
    }

    /** The request of an order has ended; see {@link ServerClient.ResponseListener}. */
    void onResponse(long now, Order order, int status) {
        String server = order.server().id();
        if (status == STATUS_OK || status == STATUS_ACCEPTED || status == STATUS_CONFLICT) {
            // A server in conflict is executing an earlier order.
            planner.onConfirmed(now, server);
        } else if (status == ServerClient.NOT_SENT || status >= FIRST_SERVER_ERROR) {
            planner.onRejected(now, server);
        }
        if (status == STATUS_PRECONDITION_FAILED && order.fencingToken() == fencingToken) {
            // The server knows a higher token, which only the token of a new claim exceeds.
            claimGranted = false;
        }
    }

    /** A server has reported whether it is loading. */
    void onReport(long now, String server, boolean loading) {
        if (loading) {
            planner.onConfirmed(now, server);
        } else {
            planner.onIdle(now, server);
        }
    }
}
