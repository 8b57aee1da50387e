package quartzspan.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * One soak run: starts the fleet, the servers and the clients, runs the schedule of disruptions, waits for the fleet
 * to recover and checks the rules.
 */
final class SoakRun implements AutoCloseable {
    private static final long START_TIMEOUT_S = 60;
    private static final long SETTLE_TIMEOUT_S = 60;
    private static final long POLL_MS = 100;

    private final SoakPlan plan;
    private final SplittableRandom random;
    private final SoakClock clock = new SoakClock();
    private final SoakRecord record = new SoakRecord();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<ScheduledExecutorService> executors = new ArrayList<>();
    private final AtomicBoolean clientsRunning = new AtomicBoolean(true);
    private final SoakFleet fleet;

    SoakRun(SoakPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.fleet = new SoakFleet(folder, plan);
    }

    private ScheduledExecutorService executor(String name) {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, name));
        executors.add(executor);
        return executor;
    }

    private ControlPlaneClient control() {
        return new ControlPlaneClient(fleet.coreHosts(), fleet.controlPort(), random.split());
    }

    /** Runs the soak and returns the rule violations. */
    List<String> run() throws Exception {
        fleet.start();
        ReadinessMonitor readiness = monitorReadiness();
        SoakOperator operator = new SoakOperator(clock, record, control(), executor("operator"));
        List<ServerSupervisor> servers = startServers();
        CountDownLatch configured = new CountDownLatch(1);
        operator.applyInitialConfiguration(configured::countDown);
        await(
                () -> configured.getCount() == 0 && readiness.allReady(),
                START_TIMEOUT_S,
                () -> "all proxies ready: " + readiness);
        List<Thread> clients = startClients(readiness, operator);
        SoakSchedule schedule =
                new SoakSchedule(plan, random.split(), clock, record, fleet, servers, operator, executor("schedule"));
        schedule.schedule();
        long endMs = clock.nowMs() + plan.durationMs();
        await(() -> clock.nowMs() >= endMs, plan.durationMs(), () -> "end of the run");
        clientsRunning.set(false);
        for (Thread client : clients) {
            client.join();
        }
        await(schedule::isIdle, SETTLE_TIMEOUT_S, () -> "end of all disruptions: " + schedule);
        Stream.concat(fleet.cores().stream(), fleet.proxies().stream())
                .filter(process -> !process.isAlive())
                .forEach(process -> record.violations.add("FAULT: " + process.name() + " exited unexpectedly"));
        await(readiness::allReady, SETTLE_TIMEOUT_S, () -> "all proxies ready again: " + readiness);
        CountDownLatch read = new CountDownLatch(1);
        operator.verifyConfiguration(read::countDown);
        await(() -> read.getCount() == 0, SETTLE_TIMEOUT_S, () -> "reading the configuration");
        return new SoakRules(record).violations();
    }

    private ReadinessMonitor monitorReadiness() {
        List<String> hosts = fleet.proxies().stream().map(FleetProcess::host).toList();
        ReadinessMonitor monitor = new ReadinessMonitor(hosts, fleet.readinessPort());
        for (String host : hosts) {
            executor("readiness of " + host)
                    .scheduleAtFixedRate(
                            () -> monitor.probe(host), 0, ReadinessMonitor.PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return monitor;
    }

    private List<ServerSupervisor> startServers() {
        List<ServerSupervisor> servers = new ArrayList<>();
        for (int i = 0; i < plan.servers(); i++) {
            EventLoop loop = group.next();
            ServerSupervisor server = new ServerSupervisor(loop, clock, record, control(), executor("server " + i));
            server.start(1);
            servers.add(server);
        }
        return servers;
    }

    private List<Thread> startClients(ReadinessMonitor readiness, SoakOperator operator) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            SplittableRandom clientRandom = random.split();
            boolean usesStableKey = i % 3 > 0;
            SoakClient client = new SoakClient(
                    clock,
                    record,
                    readiness,
                    fleet.frontendPort(),
                    () -> usesStableKey ? SoakOperator.STABLE_KEY : pick(operator.clientKeys(), clientRandom),
                    clientsRunning::get,
                    clientRandom);
            Thread thread = new Thread(client, "client " + i);
            thread.start();
            clients.add(thread);
        }
        return clients;
    }

    private static String pick(List<String> keys, SplittableRandom random) {
        List<String> snapshot = List.copyOf(keys);
        return snapshot.get(random.nextInt(snapshot.size()));
    }

    private interface Condition {
        boolean holds();
    }

    private void await(Condition condition, long timeoutS, Supplier<String> description)
            throws InterruptedException, TimeoutException {
        long endMs = clock.nowMs() + TimeUnit.SECONDS.toMillis(timeoutS);
        CountDownLatch timer = new CountDownLatch(1);
        while (!condition.holds()) {
            if (clock.nowMs() > endMs) {
                throw new TimeoutException("timed out waiting for: " + description.get());
            }
            timer.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts of the observations, for the log. */
    String summary() {
        long served = record.requests.stream().filter(r -> r.status() == 200).count();
        long rejected = record.requests.stream().filter(r -> r.status() == 503).count();
        long disconnected = record.requests.stream()
                .filter(r -> r.outcome() == SoakRecord.Outcome.DISCONNECTED)
                .count();
        return "seed " + plan.seed() + ": " + record.requests.size() + " requests, " + served + " served, " + rejected
                + " rejected, " + disconnected + " disconnected; " + record.disruptions.size() + " disruptions, "
                + record.targetVersions.size() + " target versions, " + record.orders.size() + " orders, "
                + record.revocations.size()
                + " revocations, " + record.drains.size() + " drains";
    }

    @Override
    public void close() {
        clientsRunning.set(false);
        executors.forEach(ScheduledExecutorService::shutdownNow);
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
