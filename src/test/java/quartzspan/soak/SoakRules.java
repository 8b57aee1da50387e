package quartzspan.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks the record of a soak run against the guarantees of the fleet. */
final class SoakRules {
    /** The part of the grace period after which a request that still runs may be cut off. */
    private static final double GRACE_PERIOD_CUTOFF_FRACTION = 5.0 / 6;
    /** Statuses that promise that the request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private final SoakRecord record;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, List<SoakRecord.Execution>> executions;
    private final Map<String, List<SoakRecord.Arrival>> arrivals;

    SoakRules(SoakRecord record) {
        this.record = record;
        this.executions = record.executions.stream().collect(Collectors.groupingBy(SoakRecord.Execution::attemptId));
        this.arrivals = record.arrivals.stream().collect(Collectors.groupingBy(SoakRecord.Arrival::attemptId));
    }

    /** Descriptions of all violations. */
    List<String> violations() {
        violations.addAll(record.violations);
        record.requests.forEach(this::checkRequest);
        record.executions.forEach(this::checkVersion);
        executions.values().stream()
                .filter(all -> all.size() > 1)
                .forEach(all -> violations.add("TWICE: request was executed more than once: " + all));
        record.revocations.forEach(this::checkRevocation);
        record.drains.forEach(this::checkDrain);
        checkFencingTokens();
        return violations;
    }

    private void checkRequest(SoakRecord.ClientRequest request) {
        List<SoakRecord.Execution> requestExecutions = executions.getOrDefault(request.attemptId(), List.of());
        switch (request.outcome()) {
            case DISCONNECTED -> checkDisconnect(request, requestExecutions);
            case TIMED_OUT -> {
                if (!record.hadUnplannedDisruption(request.proxy(), request.sentAtMs(), request.endedAtMs())) {
                    violations.add("TIMEOUT: no response before the client timeout: " + request);
                }
            }
            default -> checkResponse(request, requestExecutions);
        }
    }

    private void checkResponse(SoakRecord.ClientRequest request, List<SoakRecord.Execution> requestExecutions) {
        if (request.status() == 200) {
            String event = "data: " + request.attemptId() + "\n\n";
            boolean complete = !request.body().isEmpty()
                    && request.body().replace(event, "").isEmpty();
            if (!complete || requestExecutions.isEmpty()) {
                violations.add("MIXED: response is incomplete, carries events of other requests or has no execution: "
                        + request);
            }
        } else if (NOT_EXECUTED_STATUSES.contains(request.status()) && !requestExecutions.isEmpty()) {
            violations.add("REFUSED: rejected request was executed: " + request + ' ' + requestExecutions);
        } else if (request.status() < 500
                && !NOT_EXECUTED_STATUSES.contains(request.status())
                && request.key().equals(SoakOperator.STABLE_KEY)) {
            violations.add("DENIED: valid request was rejected with an unexpected status: " + request);
        }
    }

    /** Checks a connection that ended before the response was complete, around a planned shutdown of its proxy. */
    private void checkDisconnect(SoakRecord.ClientRequest request, List<SoakRecord.Execution> requestExecutions) {
        record.disruptions.stream()
                .filter(disruption ->
                        disruption.planned() && disruption.process().equals(request.proxy()))
                .filter(disruption -> disruption.overlaps(request.sentAtMs(), request.endedAtMs()))
                .filter(disruption -> !record.hadUnplannedDisruption(
                        request.proxy(), request.sentAtMs() - SoakPlan.RECOVERY_MS, request.endedAtMs()))
                .filter(disruption -> isLost(request, requestExecutions, disruption))
                .forEach(disruption -> violations.add("LOST: connection closed before the response was complete: "
                        + request + ' ' + requestExecutions + ' ' + disruption));
    }

    private boolean isLost(
            SoakRecord.ClientRequest request,
            List<SoakRecord.Execution> requestExecutions,
            SoakRecord.Disruption disruption) {
        boolean reachedServer = arrivals.containsKey(request.attemptId());
        if (!reachedServer) {
            return request.endedAtMs() - request.sentAtMs() > SoakPlan.CLOSE_RACE_MS + SoakPlan.CLOCK_TOLERANCE_MS;
        }
        boolean deadlineReached = request.endedAtMs() >= request.deadlineMs() - SoakPlan.CLOCK_TOLERANCE_MS;
        long cutoffMs = disruption.startedAtMs() + (long) (SoakPlan.GRACE_PERIOD_MS * GRACE_PERIOD_CUTOFF_FRACTION);
        boolean runsPastCutoff = requestExecutions.stream().anyMatch(execution -> execution.endedAtMs() >= cutoffMs);
        boolean early = request.sentAtMs() <= disruption.startedAtMs() + SoakPlan.SHUTDOWN_ACCEPT_MS;
        boolean serverCrashed = requestExecutions.isEmpty();
        return !deadlineReached && !serverCrashed && !(early && runsPastCutoff);
    }

    /**
     * Checks that no execution starts on outdated weights later than the bound after the acknowledgement of a newer
     * target version. If the core was disrupted, the bound counts from its recovery.
     */
    private void checkVersion(SoakRecord.Execution execution) {
        record.targetVersions.stream()
                .filter(target -> target.version() > execution.weightsVersion())
                .filter(target -> execution.startedAtMs()
                                - Math.max(target.acknowledgedAtMs(), coreStableSinceMs(execution.startedAtMs()))
                        > SoakPlan.VERSION_APPLY_MS + SoakPlan.CLOCK_TOLERANCE_MS)
                .findFirst()
                .ifPresent(target -> violations.add(
                        "VERSION: request was executed on outdated weights: " + execution + ' ' + target));
    }

    private long coreStableSinceMs(long atMs) {
        return record.coreDisruptedUntilMs(atMs) + SoakPlan.RECOVERY_MS;
    }

    private void checkRevocation(SoakRecord.Revocation revocation) {
        record.requests.stream()
                .filter(request -> request.key().equals(revocation.key()))
                .filter(request -> request.sentAtMs() > revocation.acknowledgedAtMs() + SoakPlan.REVOCATION_MS)
                .filter(request -> executions.containsKey(request.attemptId()))
                .forEach(request -> violations.add(
                        "CONFIG: request with a revoked key was executed: " + request + ' ' + revocation));
    }

    private void checkDrain(SoakRecord.Drain drain) {
        Map<String, SoakRecord.ClientRequest> requests = record.requests.stream()
                .collect(Collectors.toMap(SoakRecord.ClientRequest::attemptId, request -> request));
        record.arrivals.stream()
                .filter(arrival -> arrival.server().equals(drain.server()))
                .filter(arrival -> arrival.atMs()
                        > drain.acknowledgedAtMs() + SoakPlan.DRAIN_TIMEOUT_MS + SoakPlan.CLOCK_TOLERANCE_MS)
                .filter(arrival -> requests.containsKey(arrival.attemptId()))
                .filter(arrival -> !record.hadUnplannedDisruption(
                        requests.get(arrival.attemptId()).proxy(), drain.acknowledgedAtMs(), arrival.atMs()))
                .forEach(arrival ->
                        violations.add("DRAIN: request arrived at a drained server: " + arrival + ' ' + drain));
    }

    /** Checks that each fencing token has one holder and that the tokens at each server never decrease. */
    private void checkFencingTokens() {
        Map<Long, String> holders = new HashMap<>();
        Map<String, Long> highestTokens = new HashMap<>();
        for (SoakRecord.ServerOrder order : record.orders) {
            String holder = holders.computeIfAbsent(order.fencingToken(), token -> order.holder());
            long before = highestTokens.merge(order.server(), order.fencingToken(), Math::max);
            if (!holder.equals(order.holder()) || before > order.fencingToken()) {
                violations.add(
                        "FENCING: " + order + ", the token's holder is " + holder + ", the highest token " + before);
            }
        }
    }
}
