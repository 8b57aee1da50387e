package quartzspan.replication.simulation;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import quartzspan.common.FleetException;
import quartzspan.replication.Change;
import quartzspan.replication.ControlState;

/**
 * Simulated operators and readers. They send requests to any machine, follow redirects, and retry on another machine after a
 * failure or when no reply arrives within a second. A change without a definite reply is sent again unchanged.
 */
final class OperatorClients {
    private static final long REPLY_TIMEOUT_MS = 1_000;
    private static final int MAX_REDIRECTS = 2;
    private static final List<String> MODELS = List.of("m1", "m2");

    /** A request to a primary; each attempt is checked separately. */
    private interface Request {
        Attempt newAttempt();
    }

    /** One attempt at one machine. */
    private interface Attempt {
        void send(ReplicaAdapter replica, long nowMs, long requestId);

        void onReply(String machineName, FleetException rejection, ControlState state);
    }

    private final class OutgoingRequest {
        private final Request request;
        private final Runnable onAcknowledged;
        private final Runnable onRejected;
        private int attemptsLeft;
        private int currentAttempt;
        private boolean closed;

        private OutgoingRequest(Request request, int attemptsLeft, Runnable onAcknowledged, Runnable onRejected) {
            this.request = request;
            this.attemptsLeft = attemptsLeft;
            this.onAcknowledged = onAcknowledged;
            this.onRejected = onRejected;
        }

        private void scheduleAttempt(long delayMs) {
            if (attemptsLeft-- <= 0) {
                closed = true;
                return;
            }
            simulation.queue().schedule(delayMs, () -> send(simulation.pickMachine(random), MAX_REDIRECTS));
        }

        private void send(SimulatedMachine to, int redirects) {
            if (closed || to == null) {
                return;
            }
            int attemptNumber = ++currentAttempt;
            simulation
                    .queue()
                    .schedule(
                            1 + random.nextInt(4),
                            () -> to.request(
                                    nowMs -> handle(to, nowMs, attemptNumber, redirects),
                                    () -> onAttemptFailed(attemptNumber)));
            simulation.queue().schedule(REPLY_TIMEOUT_MS, () -> onAttemptFailed(attemptNumber));
        }

        private void handle(SimulatedMachine machine, long nowMs, int attemptNumber, int redirects) {
            ReplicaAdapter replica = machine.replica();
            if (replica.isPrimary()) {
                Attempt attempt = request.newAttempt();
                long requestId = machine.registerReply(new SimulatedMachine.ReplyHandler() {
                    @Override
                    public void onReply(FleetException rejection, ControlState state) {
                        attempt.onReply(machine.name, rejection, state);
                        if (rejection == null) {
                            simulation.onAcknowledged(machine);
                        }
                        deliverReply(attemptNumber, () -> onResult(attemptNumber, rejection));
                    }

                    @Override
                    public void onConnectionReset() {
                        deliverReply(attemptNumber, () -> onAttemptFailed(attemptNumber));
                    }
                });
                attempt.send(replica, nowMs, requestId);
                return;
            }
            String primaryName = replica.knownPrimary(nowMs);
            SimulatedMachine knownPrimary = primaryName == null ? null : simulation.machine(primaryName);
            deliverReply(attemptNumber, () -> {
                if (knownPrimary == null || redirects == 0) {
                    onAttemptFailed(attemptNumber);
                } else if (currentAttempt == attemptNumber) {
                    send(knownPrimary, redirects - 1);
                }
            });
        }

        private void deliverReply(int attemptNumber, Runnable action) {
            if (simulation.faultFree() || random.nextInt(1000) >= scenario.replyLossPerMille()) {
                simulation.queue().schedule(1 + random.nextInt(4), () -> {
                    if (currentAttempt == attemptNumber && !closed) {
                        action.run();
                    }
                });
            }
        }

        private void onAttemptFailed(int attemptNumber) {
            if (currentAttempt == attemptNumber && !closed) {
                currentAttempt++;
                scheduleAttempt(30L * Math.min(currentAttempt, 20) + random.nextInt(60));
            }
        }

        private void onResult(int attemptNumber, FleetException rejection) {
            if (rejection != null && rejection.code() == FleetException.Code.NOT_PRIMARY) {
                onAttemptFailed(attemptNumber);
                return;
            }
            closed = true;
            (rejection == null ? onAcknowledged : onRejected).run();
        }
    }

    private final Simulation simulation;
    private final Scenario scenario;
    private final HistoryChecker history;
    private final SplittableRandom random;
    private long knownVersion;
    private long highestVersion;

    OperatorClients(Simulation simulation, Scenario scenario, HistoryChecker history) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.history = history;
        this.random = simulation.randomStream("operators");
    }

    /** Submits concurrent changes based on the latest known version, sometimes with the same new version. */
    void submitConcurrentChanges(SplittableRandom details) {
        int count = details.nextInt(4) > 0 ? 1 : 2 + details.nextInt(7);
        boolean sameVersion = details.nextBoolean();
        highestVersion = Math.max(highestVersion, knownVersion) + 1 + details.nextInt(3);
        for (int i = 0; i < count; i++) {
            if (i > 0 && !sameVersion) {
                highestVersion += 1 + details.nextInt(3);
            }
            String padding = "x".repeat(details.nextInt(20) == 0 ? scenario.maxPaddingBytes() : 0);
            Change.Kind kind = details.nextInt(3) == 0 ? Change.Kind.REPLACE : Change.Kind.UPDATE;
            ChangeOperation operation = history.change(kind, knownVersion, highestVersion, true, padding);
            simulation.queue().schedule(details.nextInt(30), () -> send(operation, 3 + random.nextInt(8)));
        }
    }

    void submitInvalidChange(SplittableRandom details) {
        highestVersion = Math.max(highestVersion, knownVersion) + 1;
        send(history.change(Change.Kind.REPLACE, knownVersion, highestVersion, false, ""), 3);
    }

    /** Sends an earlier change again unchanged. */
    void resendChange(SplittableRandom details) {
        List<ChangeOperation> operations = history.operations();
        if (!operations.isEmpty()) {
            int age = details.nextBoolean()
                    ? details.nextInt(operations.size())
                    : details.nextInt(Math.min(4, operations.size()));
            ChangeOperation operation = operations.get(operations.size() - 1 - age);
            if (!operation.rejected) {
                send(operation, 4);
            }
        }
    }

    private void send(ChangeOperation operation, int maxAttempts) {
        simulation.trace(() -> "an operator sends " + operation);
        Attempt attempt = new Attempt() {
            @Override
            public void send(ReplicaAdapter replica, long nowMs, long requestId) {
                replica.submit(nowMs, requestId, operation.change);
            }

            @Override
            public void onReply(String machineName, FleetException rejection, ControlState state) {
                simulation.trace(() -> machineName + " replies to " + operation + " with "
                        + (rejection == null ? "200" : rejection.code() + ": " + rejection.getMessage()));
                history.onChangeReply(operation, rejection, state);
            }
        };
        new OutgoingRequest(
                        () -> attempt,
                        maxAttempts,
                        () -> knownVersion = Math.max(knownVersion, operation.version),
                        this::scheduleRead)
                .scheduleAttempt(0);
    }

    private void scheduleRead() {
        simulation.queue().schedule(random.nextInt(50), () -> read(3));
    }

    void read(int maxAttempts) {
        read(maxAttempts, () -> {});
    }

    void read(int maxAttempts, Runnable onAcknowledged) {
        new OutgoingRequest(Read::new, maxAttempts, onAcknowledged, () -> {}).scheduleAttempt(0);
    }

    private final class Read implements Attempt {
        private final long versionFloor = history.knownVersionFloor();
        private final Map<String, Long> weightsFloor = history.acknowledgedWeights();

        @Override
        public void send(ReplicaAdapter replica, long nowMs, long requestId) {
            replica.read(nowMs, requestId);
        }

        @Override
        public void onReply(String machineName, FleetException rejection, ControlState state) {
            if (rejection == null) {
                history.onReadReply(machineName, versionFloor, weightsFloor, state);
                knownVersion = Math.max(knownVersion, state.configuration().version());
            }
        }
    }

    void submitWeightsVersion(SplittableRandom details) {
        String model = MODELS.get(details.nextInt(MODELS.size()));
        long version = history.nextWeightsVersion(model);
        String body = "{\"model\":\"" + model + "\",\"version\":" + version + "}";
        Change change = new Change(Change.Kind.WEIGHTS, 0, body.getBytes(StandardCharsets.UTF_8));
        Attempt attempt = new Attempt() {
            @Override
            public void send(ReplicaAdapter replica, long nowMs, long requestId) {
                replica.submit(nowMs, requestId, change);
            }

            @Override
            public void onReply(String machineName, FleetException rejection, ControlState state) {
                history.onWeightsReply(model, version, rejection, state);
            }
        };
        new OutgoingRequest(() -> attempt, 6, () -> {}, () -> {}).scheduleAttempt(0);
    }
}
