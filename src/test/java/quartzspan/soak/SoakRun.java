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

/** One soak: starts everything, lets clients send while things happen, lets all come to rest, and ends everything. */
final class SoakRun implements AutoCloseable {
    private static final long START_PATIENCE_S = 60;
    private static final long END_PATIENCE_S = 60;
    private static final long POLL_MS = 100;

    private final SoakPlan plan;
    private final SplittableRandom random;
    private final SoakClock clock = new SoakClock();
    private final SoakRecord record = new SoakRecord();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<ScheduledExecutorService> executors = new ArrayList<>();
    private final AtomicBoolean clientsGoOn = new AtomicBoolean(true);
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

    private ControlClient control() {
        return new ControlClient(fleet.coreHosts(), fleet.controlPort(), random.split());
    }

    /** Plays the soak; what broke a rule. */
    List<String> play() throws Exception {
        fleet.start();
        ReadinessMonitor readiness = monitorReadiness();
        SoakOperator operator = new SoakOperator(clock, record, control(), executor("operator"));
        List<ServerLife> servers = startServers();
        CountDownLatch configured = new CountDownLatch(1);
        operator.begin(configured::countDown);
        await(
                () -> configured.getCount() == 0 && readiness.allReady(),
                START_PATIENCE_S,
                () -> "a fleet that is ready: " + readiness);
        List<Thread> clients = startClients(readiness, operator);
        SoakTroubles troubles =
                new SoakTroubles(plan, random.split(), clock, record, fleet, servers, operator, executor("troubles"));
        troubles.schedule();
        long endMs = clock.nowMs() + plan.durationMs();
        await(() -> clock.nowMs() >= endMs, plan.durationMs(), () -> "the end");
        clientsGoOn.set(false);
        for (Thread client : clients) {
            client.join();
        }
        await(troubles::isCalm, END_PATIENCE_S, () -> "the end of all troubles: " + troubles);
        Stream.concat(fleet.cores().stream(), fleet.proxies().stream())
                .filter(process -> !process.isAlive())
                .forEach(process -> record.faults.add("FAULT: " + process.name() + " has ended by itself"));
        await(readiness::allReady, END_PATIENCE_S, () -> "a fleet that is ready again: " + readiness);
        CountDownLatch read = new CountDownLatch(1);
        operator.readBack(read::countDown);
        await(() -> read.getCount() == 0, END_PATIENCE_S, () -> "the configuration");
        return new SoakRules(record).broken();
    }

    private ReadinessMonitor monitorReadiness() {
        List<String> hosts = fleet.proxies().stream().map(FleetProcess::host).toList();
        ReadinessMonitor monitor = new ReadinessMonitor(hosts, fleet.readinessPort());
        for (String host : hosts) {
            executor("readiness of " + host)
                    .scheduleAtFixedRate(
                            () -> monitor.probe(host), 0, ReadinessMonitor.INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return monitor;
    }

    private List<ServerLife> startServers() {
        List<ServerLife> servers = new ArrayList<>();
        for (int i = 0; i < plan.servers(); i++) {
            EventLoop loop = group.next();
            ServerLife server = new ServerLife(loop, clock, record, control(), executor("server " + i));
            server.start(1);
            servers.add(server);
        }
        return servers;
    }

    private List<Thread> startClients(ReadinessMonitor readiness, SoakOperator operator) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            SplittableRandom own = random.split();
            boolean stable = i % 3 > 0;
            SoakClient client = new SoakClient(
                    clock,
                    record,
                    readiness,
                    fleet.frontendPort(),
                    () -> stable ? SoakOperator.STABLE_KEY : any(operator.usedKeys(), own),
                    clientsGoOn::get,
                    own);
            Thread thread = new Thread(client, "client " + i);
            thread.start();
            clients.add(thread);
        }
        return clients;
    }

    private static String any(List<String> keys, SplittableRandom random) {
        List<String> now = List.copyOf(keys);
        return now.get(random.nextInt(now.size()));
    }

    /** What can be asked of a condition that will hold some time. */
    private interface Condition {
        boolean holds();
    }

    private void await(Condition condition, long patienceS, Supplier<String> what)
            throws InterruptedException, TimeoutException {
        long endMs = clock.nowMs() + TimeUnit.SECONDS.toMillis(patienceS);
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.holds()) {
            if (clock.nowMs() > endMs) {
                throw new TimeoutException("never came: " + what.get());
            }
            never.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** How much was seen, for the log of a run. */
    String summary() {
        long answered = record.requests.stream().filter(r -> r.status() == 200).count();
        long refused = record.requests.stream().filter(r -> r.status() == 503).count();
        long cut = record.requests.stream()
                .filter(r -> r.end() == SoakRecord.End.CUT)
                .count();
        return "seed " + plan.seed() + ": " + record.requests.size() + " requests, " + answered + " served, " + refused
                + " refused, " + cut + " cut; " + record.disturbances.size() + " disturbances, "
                + record.namings.size() + " namings, " + record.orders.size() + " orders, " + record.revocations.size()
                + " revocations, " + record.drains.size() + " drains";
    }

    @Override
    public void close() {
        clientsGoOn.set(false);
        executors.forEach(ScheduledExecutorService::shutdownNow);
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
