package quartzspan.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Holds what was seen in a soak against the rules of the fleet. */
final class SoakRules {
    private static final double LAST_PART_OF_GRACE = 5.0 / 6;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final SoakRecord record;
    private final List<String> broken = new ArrayList<>();
    private final Map<String, List<SoakRecord.Run>> runs;
    private final Map<String, List<SoakRecord.Arrival>> arrivals;

    SoakRules(SoakRecord record) {
        this.record = record;
        this.runs = record.runs.stream().collect(Collectors.groupingBy(SoakRecord.Run::attemptId));
        this.arrivals = record.arrivals.stream().collect(Collectors.groupingBy(SoakRecord.Arrival::attemptId));
    }

    /** All that breaks a rule. */
    List<String> broken() {
        broken.addAll(record.faults);
        record.requests.forEach(this::checkRequest);
        record.runs.forEach(this::checkWeights);
        runs.values().stream().filter(all -> all.size() > 1).forEach(all -> broken.add("TWICE: " + all));
        record.revocations.forEach(this::checkRevocation);
        record.drains.forEach(this::checkDrain);
        checkOrders();
        return broken;
    }

    private void checkRequest(SoakRecord.ClientRequest request) {
        List<SoakRecord.Run> its = runs.getOrDefault(request.attemptId(), List.of());
        switch (request.end()) {
            case CUT -> checkCut(request, its);
            case SILENT -> {
                if (!record.isTroubled(request.proxy(), request.sentAtMs(), request.endedAtMs())) {
                    broken.add("GIVEN UP: no final answer in time: " + request);
                }
            }
            default -> checkAnswer(request, its);
        }
    }

    private void checkAnswer(SoakRecord.ClientRequest request, List<SoakRecord.Run> its) {
        if (request.status() == 200) {
            String event = "data: " + request.attemptId() + "\n\n";
            boolean whole = !request.body().isEmpty()
                    && request.body().replace(event, "").isEmpty();
            if (!whole || its.isEmpty()) {
                broken.add("MIXED: " + request);
            }
        } else if (PROMISES.contains(request.status()) && !its.isEmpty()) {
            broken.add("REFUSED: it has run: " + request + ' ' + its);
        } else if (request.status() < 500
                && !PROMISES.contains(request.status())
                && request.key().equals(SoakOperator.STABLE_KEY)) {
            broken.add("DENIED: " + request);
        }
    }

    /** A connection that ends without a complete answer, around the planned end of its proxy. */
    private void checkCut(SoakRecord.ClientRequest request, List<SoakRecord.Run> its) {
        record.disturbances.stream()
                .filter(disturbance ->
                        disturbance.planned() && disturbance.process().equals(request.proxy()))
                .filter(end -> end.overlaps(request.sentAtMs(), request.endedAtMs()))
                .filter(end -> !record.isTroubled(
                        request.proxy(), request.sentAtMs() - SoakPlan.CONTACT_MS, request.endedAtMs()))
                .filter(end -> isLost(request, its, end))
                .forEach(end -> broken.add("LOST: " + request + ' ' + its + ' ' + end));
    }

    private boolean isLost(SoakRecord.ClientRequest request, List<SoakRecord.Run> its, SoakRecord.Disturbance end) {
        boolean forwarded = arrivals.containsKey(request.attemptId());
        if (!forwarded) {
            return request.endedAtMs() - request.sentAtMs() > SoakPlan.LOSS_SLACK_MS + SoakPlan.CLOCK_SLACK_MS;
        }
        boolean deadlineReached = request.endedAtMs() >= request.deadlineMs() - SoakPlan.CLOCK_SLACK_MS;
        long lastPartMs = end.beganAtMs() + (long) (SoakPlan.GRACE_PERIOD_MS * LAST_PART_OF_GRACE);
        boolean worksInLastPart = its.stream().anyMatch(run -> run.endedAtMs() >= lastPartMs);
        boolean early = request.sentAtMs() <= end.beganAtMs() + SoakPlan.LAST_REQUEST_MS;
        boolean serverCrashed = its.isEmpty();
        return !deadlineReached && !serverCrashed && !(early && worksInLastPart);
    }

    /** A run on weights whose successor was acknowledged too long before, with a core that was calm all the while. */
    private void checkWeights(SoakRecord.Run run) {
        record.namings.stream()
                .filter(naming -> naming.version() > run.weights())
                .filter(naming -> run.beganAtMs() - Math.max(naming.acknowledgedAtMs(), calmSinceMs(run.beganAtMs()))
                        > SoakPlan.VERSION_APPLY_MS + SoakPlan.CLOCK_SLACK_MS)
                .findFirst()
                .ifPresent(naming -> broken.add("VERSION: " + run + ' ' + naming));
    }

    private long calmSinceMs(long atMs) {
        return record.coreDisturbedUntilMs(atMs) + SoakPlan.CONTACT_MS;
    }

    private void checkRevocation(SoakRecord.Revocation revocation) {
        record.requests.stream()
                .filter(request -> request.key().equals(revocation.key()))
                .filter(request -> request.sentAtMs() > revocation.acknowledgedAtMs() + SoakPlan.REVOCATION_MS)
                .filter(request -> runs.containsKey(request.attemptId()))
                .forEach(request -> broken.add("CONFIG: it ran on a key that was taken away: " + request + revocation));
    }

    private void checkDrain(SoakRecord.Drain drain) {
        Map<String, SoakRecord.ClientRequest> requests = record.requests.stream()
                .collect(Collectors.toMap(SoakRecord.ClientRequest::attemptId, request -> request));
        record.arrivals.stream()
                .filter(arrival -> arrival.server().equals(drain.server()))
                .filter(arrival ->
                        arrival.atMs() > drain.acknowledgedAtMs() + SoakPlan.DRAIN_TIMEOUT_MS + SoakPlan.CLOCK_SLACK_MS)
                .filter(arrival -> requests.containsKey(arrival.attemptId()))
                .filter(arrival -> !record.isTroubled(
                        requests.get(arrival.attemptId()).proxy(), drain.acknowledgedAtMs(), arrival.atMs()))
                .forEach(arrival -> broken.add("DRAIN: " + arrival + ' ' + drain));
    }

    /** No token has two holders, and at one server none falls. */
    private void checkOrders() {
        Map<Long, String> holders = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (SoakRecord.ServerOrder order : record.orders) {
            String holder = holders.computeIfAbsent(order.fencingToken(), token -> order.holder());
            long before = highest.merge(order.server(), order.fencingToken(), Math::max);
            if (!holder.equals(order.holder()) || before > order.fencingToken()) {
                broken.add("ONE: " + order + ", the token's holder is " + holder + ", the highest token " + before);
            }
        }
    }
}
