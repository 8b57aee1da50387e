package quartzspan.controlplane;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Call;
import mulleinfront.proxy.Clock;
import mulleinfront.proxy.Framing;
import mulleinfront.proxy.Frontend;
import mulleinfront.proxy.Upstream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.JsonLines;
import quartzspan.common.Settings;
import quartzspan.configuration.Configuration;
import quartzspan.promptindex.KvEventFollower;
import quartzspan.promptindex.PromptIndex;
import quartzspan.promptindex.PromptIndexUpdate;
import quartzspan.registry.Gossip;
import quartzspan.registry.GossipMessage;
import quartzspan.registry.HeartbeatTracker;
import quartzspan.registry.Registry;
import quartzspan.registry.RegistryEntry;
import quartzspan.registry.Server;
import quartzspan.replication.Change;
import quartzspan.replication.ChangeHistory;
import quartzspan.replication.ControlState;
import quartzspan.replication.Replica;
import quartzspan.replication.ReplicaMessage;
import quartzspan.replication.ReplicaStore;
import quartzspan.store.FileDisk;
import quartzspan.store.SlotStore;
import quartzspan.transport.MessageCodec.Hello;
import quartzspan.transport.TcpTransport;

/**
 * A core machine's process: keeps the control state with the others, takes servers' and operators' calls, and tells proxies.
 * One event loop owns all of it; only the disk has a thread of its own.
 */
public final class ControlPlane implements Frontend.Desk {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
    private static final int TICK_MS = 50;
    private static final int MOST_BODY = 12 * 1024 * 1024;
    /** What is told of a server that leaves must be known elsewhere before it is answered; the server waits a second. */
    private static final int SURE_MS = 850;
    /** Older knowledge than this is no ground to count anybody as lost. */
    private static final long IN_TOUCH_MS = 1_000;
    /** How long a primary out of touch may go on before it knows: added to the lease of a duty. */
    private static final long STALE_DUTY_MS = 1_000;
    /** An order is sent only by one whose place was confirmed within this. */
    private static final long SURE_PLACE_MS = 450;

    private static final int DIAL_US = 500_000;
    private static final int ORDER_US = 2_000_000;
    private static final int REPORT_EVERY_MS = 250;
    /** Between telling that a server will load weights and ordering it to. */
    private static final long TOLD_MS = 60;

    private static final long WATCH_MS = 100;
    /** A core machine not heard for so long follows no server's events any more. */
    private static final long CORE_ALIVE_MS = 1_500;

    private final Settings settings;
    private final Clock clock = new Clock();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final ExecutorService disk = Executors.newSingleThreadExecutor(r -> new Thread(r, "disk"));
    private final Registry registry = new Registry();
    private final HeartbeatTracker heartbeats;
    private final Gossip gossip;
    private final TcpTransport transport;
    private final ReplicaStore replicaStore;
    private final Replica replica;
    private final Frontend frontend;
    private final Upstream upstream;
    private final Rollout rollout;
    private final Frontend.Terms terms;
    private final CallTable calls;
    private final String self;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long tickets;
    private boolean claiming;
    private long dutySince = Long.MAX_VALUE / 2;
    private long orders;
    private final PromptIndex promptIndex = new PromptIndex();
    /** Servers whose events this machine follows. */
    private final Map<String, KvEventFollower> watches = new HashMap<>();

    private final Map<String, Long> coreHeard = new HashMap<>();
    private long watchAt;
    private final Map<String, Long> reportAt = new HashMap<>();
    private String lastRole = "";
    private final Map<String, Upstream.Host> hosts = new HashMap<>();

    private interface Waiting {
        void done(FleetException why, ControlState state);
    }

    private ControlPlane(Settings settings, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.group = group;
        this.loop = loop;
        InetSocketAddress control = settings.listens("control_plane");
        this.self = text(settings.internal());
        // Seeds are control_plane addresses; on all machines of a day the ports are alike.
        List<String> seeds = settings.seeds().stream()
                .map(s -> s.getHostString() + ':' + settings.internalPort())
                .toList();
        this.terms = new Frontend.Terms(Math.max(64, settings.descriptors() / 2), 32 * 1024, MOST_BODY, 30_000, 30_000);
        this.replicaStore = new ReplicaStore(new SlotStore(new FileDisk(settings.disk())));
        List<byte[]> kept = open(replicaStore);
        this.rollout = new Rollout(settings.bounds().versionApplyMs());
        this.upstream = new Upstream(loop, DIAL_US, 2_000_000, 256);
        this.transport = new TcpTransport(loop, new Hello(true, self, text(control), settings.zone()), this::received);
        this.heartbeats = new HeartbeatTracker(registry, settings.heartbeatMs());
        this.gossip = new Gossip(self, true, seeds, registry, transport::send);
        this.frontend = new Frontend(this, loop);
        this.replica = new Replica(
                self,
                seeds,
                settings.losses(),
                settings.bootstrap() && !replicaStore.discarded(),
                kept,
                System.nanoTime(),
                ms(),
                new Replica.Out() {
                    @Override
                    public void send(String to, ReplicaMessage message) {
                        transport.send(to, message);
                    }

                    @Override
                    public void persist(long seq, byte[] record) {
                        disk.execute(() -> {
                            boolean ok = replicaStore.keep(record);
                            loop.execute(() -> replica().onPersisted(ms(), seq, ok));
                        });
                    }

                    @Override
                    public void done(long ticket, FleetException why, ControlState state) {
                        Waiting w = waiting.remove(ticket);
                        if (w != null) {
                            w.done(why, state);
                        }
                    }

                    @Override
                    public void committed(long index, ControlState state, ChangeHistory history) {
                        inForce(index, state);
                    }
                });
        this.calls = new CallTable()
                .on("POST", "/quartzspan/Instances.Heartbeat/", this::heartbeat)
                .on("POST", "/quartzspan/Instances.Deregister/", this::deregister)
                .on(
                        "POST",
                        "/quartzspan/Configuration.Replace",
                        (c, in, b, rest) -> change(c, in, Change.Kind.REPLACE, b))
                .on(
                        "POST",
                        "/quartzspan/Configuration.Update",
                        (c, in, b, rest) -> change(c, in, Change.Kind.UPDATE, b))
                .on("GET", "/quartzspan/Configuration.Describe", this::describe)
                .on("POST", "/quartzspan/version-put", (c, in, b, rest) -> change(c, in, Change.Kind.WEIGHTS, b))
                .on("GET", "/quartzspan/status", this::status);
    }

    /** Damage is as good as an empty disk: the others know what this machine promised. */
    private static List<byte[]> open(ReplicaStore replicaStore) {
        try {
            return replicaStore.open();
        } catch (FleetException why) {
            if (why.code() != FleetException.Code.STORE_DAMAGED) {
                throw why;
            }
            LOG.error("{}; it is put aside and this machine asks the others", why.toString());
            replicaStore.discard();
            return List.of();
        }
    }

    private Replica replica() {
        return replica;
    }

    private static String text(InetSocketAddress at) {
        return at.getHostString() + ':' + at.getPort();
    }

    /** Starts to serve; returns once it listens. */
    public static ControlPlane start(Settings settings) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ControlPlane c =
                loop.submit(() -> new ControlPlane(settings, group, loop)).get();
        ChannelFuture inside = c.transport.listen(settings.internal()).await();
        ChannelFuture outside = c.loop.submit(() -> c.frontend.listen(settings.listens("control_plane")))
                .get()
                .await();
        for (ChannelFuture f : List.of(inside, outside)) {
            if (!f.isSuccess()) {
                throw new FleetException(
                        FleetException.Code.ADDRESS_TAKEN,
                        "can't listen: " + f.cause().getMessage(),
                        "end what holds the address");
            }
        }
        c.loop.submit(() -> {
                    c.upstream.begin();
                    c.registry.take(
                            c.ms(),
                            new RegistryEntry(
                                    RegistryEntry.Subject.CORE,
                                    c.self,
                                    1,
                                    RegistryEntry.State.READY,
                                    text(settings.listens("control_plane"))));
                    c.loop.scheduleWithFixedDelay(c::tick, 1, TICK_MS, TimeUnit.MILLISECONDS);
                })
                .get();
        LOG.info("core machine {} takes calls at {}", settings.nodeName(), settings.listens("control_plane"));
        return c;
    }

    /** Ends: what was answered is on disk, and the others take over. */
    public void stop() {
        loop.execute(frontend::leave);
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        disk.shutdownNow();
    }

    @Override
    public long now() {
        return clock.now();
    }

    private long ms() {
        return clock.now() / 1000;
    }

    @Override
    public Frontend.Terms terms() {
        return terms;
    }

    @Override
    public void take(Frontend.Client client, HttpRequest in, byte[] body, long at) {
        calls.take(client, in, body);
    }

    // ---- the loop ------------------------------------------------------------------------------------

    private void tick() {
        try {
            long now = ms();
            replica.onTick(now);
            if (!replica.role().equals(lastRole)) {
                lastRole = replica.role();
                if (!lastRole.equals("CANDIDATE")) {
                    LOG.info(
                            "{} in epoch {}, view {}",
                            lastRole,
                            replica.promised().text(),
                            replica.view().text());
                }
            }
            if (replica.primary()) {
                registry.fresh(replica.confirmedAt());
            }
            gossip.onTick(now, replica.primary() ? null : replica.leader(now));
            List<RegistryEntry> heard = heartbeats.untold(now);
            if (!heard.isEmpty()) {
                GossipMessage t =
                        new GossipMessage(GossipMessage.Kind.HEARD, 0, -1, -1, -1, new long[0], heard, new byte[0]);
                gossip.cores().forEach(c -> transport.send(c, t));
            }
            if (now - registry.freshAt() > IN_TOUCH_MS) {
                heartbeats.excuse(now);
            } else {
                List<RegistryEntry> lost = heartbeats.lost(now);
                if (!lost.isEmpty()) {
                    LOG.info("lost: {}", lost.stream().map(RegistryEntry::key).toList());
                    gossip.tell(now, new Registry.News(lost, false), null);
                }
            }
            registry.tidy(now);
            transport.tidy(10_000);
            duty(now);
            if (now >= watchAt) {
                watchAt = now + WATCH_MS;
                watch(now);
            }
        } catch (RuntimeException e) {
            LOG.error("a turn failed", e);
        }
    }

    private void received(Hello from, Object message) {
        long now = ms();
        if (from.core()) {
            coreHeard.put(from.address(), now);
        }
        if (message instanceof PromptIndexUpdate c) {
            onPromptIndexUpdate(from, c);
        } else if (message instanceof ReplicaMessage step && from.core()) {
            replica.onMessage(now, from.address(), step);
        } else if (message instanceof GossipMessage update) {
            if (update.kind() == GossipMessage.Kind.HEARD) {
                heartbeats.heard(now, update.entries());
                return;
            }
            if (!from.core()) {
                tell(heartbeats.proxy(now, from.address(), from.zone()));
            }
            gossip.onGossip(now, from.address(), update);
        }
    }

    private void inForce(long index, ControlState state) {
        long now = ms();
        if (registry.take(0, index, state, state.bytes())) {
            gossip.tell(now, new Registry.News(List.of(), true), null);
        }
    }

    // ---- servers' calls ------------------------------------------------------------------------------

    private void heartbeat(Frontend.Client client, HttpRequest in, byte[] body, String id) {
        JsonObject o = Configuration.json(body);
        String state = o.getString("state", "ready");
        String model = "";
        long weights = 0;
        if (o.get("models") instanceof JsonArray models && !models.isEmpty()) {
            model = models.getJsonObject(0).getString("name", "");
            weights = Configuration.whole(models.getJsonObject(0), "version", 0);
        }
        String text = Server.text(
                o.getString("service", ""), o.getString("address", ""), o.getString("zone", ""), model, weights, 0);
        Server said =
                Server.of(new RegistryEntry(RegistryEntry.Subject.SERVER, id, 0, RegistryEntry.State.READY, text));
        if (said == null) {
            throw new FleetException(
                    FleetException.Code.MESSAGE_INVALID, "a heartbeat can't be read", "send it as the page says");
        }
        boolean draining = state.equals("draining");
        RegistryEntry news = heartbeats.beat(
                ms(),
                id,
                Configuration.whole(o, "call_count", 0),
                draining ? RegistryEntry.State.DRAINING : RegistryEntry.State.READY,
                said);
        if (draining) {
            surely(client, news != null ? news : registry.entry(RegistryEntry.Subject.SERVER, id));
        } else {
            tell(news);
            CallTable.ok(client);
        }
    }

    private void deregister(Frontend.Client client, HttpRequest in, byte[] body, String id) {
        RegistryEntry news = heartbeats.gone(ms(), id);
        surely(client, news != null ? news : registry.entry(RegistryEntry.Subject.SERVER, id));
    }

    /** Answers once another core machine knows too: the word must outlive this process. */
    private void surely(Frontend.Client client, RegistryEntry entry) {
        if (settings.losses() == 0) {
            gossip.tell(ms(), new Registry.News(List.of(entry), false), null);
            CallTable.ok(client);
            return;
        }
        boolean[] answered = {false};
        client.opened(() -> answered[0] = true);
        gossip.tellSurely(ms(), new Registry.News(List.of(entry), false), () -> {
            if (!answered[0]) {
                answered[0] = true;
                CallTable.ok(client);
            }
        });
        loop.schedule(
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        CallTable.refuse(
                                client,
                                new FleetException(
                                        FleetException.Code.NOT_PRIMARY,
                                        "no other core machine has confirmed it",
                                        "ask another machine of the core"));
                    }
                },
                SURE_MS,
                TimeUnit.MILLISECONDS);
    }

    // ---- operators' calls ----------------------------------------------------------------------------

    private void change(Frontend.Client client, HttpRequest in, Change.Kind kind, byte[] body) {
        long base =
                kind == Change.Kind.WEIGHTS ? 0 : Framing.number(in.headers().get("X-Base-Version"));
        if (base < 0) {
            throw new FleetException(
                    FleetException.Code.CONFIG_INVALID,
                    "X-Base-Version is missing",
                    "name the version that the change builds on, 0 for the first");
        }
        if (elsewhere(client, in)) {
            return;
        }
        replica.change(ms(), ticket(client, state -> CallTable.ok(client)), new Change(kind, base, body));
    }

    /** A ticket for the replica's answer, which goes to a client as long as it waits for one. */
    private long ticket(Frontend.Client client, Consumer<ControlState> granted) {
        boolean[] left = {false};
        client.opened(() -> left[0] = true);
        waiting.put(++tickets, (why, state) -> {
            if (!left[0]) {
                if (why == null) {
                    granted.accept(state);
                } else {
                    CallTable.refuse(client, why);
                }
            }
        });
        return tickets;
    }

    private void describe(Frontend.Client client, HttpRequest in, byte[] body, String rest) {
        if (elsewhere(client, in)) {
            return;
        }
        replica.confirm(
                ms(),
                ticket(
                        client,
                        state -> CallTable.answer(
                                client,
                                HttpResponseStatus.OK,
                                state.configuration().bytes())));
    }

    /** Sends the caller to the primary, if that is another; whether it did. */
    private boolean elsewhere(Frontend.Client client, HttpRequest in) {
        if (replica.primary()) {
            return false;
        }
        String leader = replica.leader(ms());
        RegistryEntry there = leader == null ? null : registry.entry(RegistryEntry.Subject.CORE, leader);
        if (there == null) {
            throw new FleetException(
                    FleetException.Code.NOT_PRIMARY, "nobody decides at present", "ask again in a moment");
        }
        CallTable.redirect(client, "http://" + there.text() + in.uri());
        return true;
    }

    private void status(Frontend.Client client, HttpRequest in, byte[] body, String rest) {
        long now = ms();
        StringBuilder json = new StringBuilder("{\"node\":");
        JsonLines.quote(json, settings.nodeName());
        JsonLines.quote(json.append(",\"role\":"), replica.role());
        JsonLines.quote(json.append(",\"leader\":"), String.valueOf(replica.leader(now)));
        JsonLines.quote(json.append(",\"view\":"), replica.view().text());
        JsonLines.quote(json.append(",\"duty\":"), registry.state().holder());
        json.append(",\"promised\":")
                .append(replica.promised().number())
                .append(",\"copy_epoch\":")
                .append(replica.copyBallot().number())
                .append(",\"copy_index\":")
                .append(replica.copyIndex())
                .append(",\"version\":")
                .append(registry.state().configuration().version())
                .append(",\"fresh_ms\":")
                .append(now - registry.freshAt());
        for (RegistryEntry.Subject subject : RegistryEntry.Subject.values()) {
            json.append(",\"")
                    .append(subject.name().toLowerCase(java.util.Locale.ROOT))
                    .append("s\":[");
            String comma = "";
            for (RegistryEntry f : registry.all(subject)) {
                JsonLines.quote(json.append(comma).append("{\"key\":"), f.key());
                JsonLines.quote(json.append(",\"state\":"), f.state().name());
                JsonLines.quote(json.append(",\"text\":"), f.text());
                json.append('}');
                comma = ",";
            }
            json.append(']');
        }
        CallTable.answer(
                client, HttpResponseStatus.OK, json.append('}').toString().getBytes(StandardCharsets.UTF_8));
    }

    // ---- the duty of weights -------------------------------------------------------------------------

    /** Who is primary orders servers about, once whoever did it before has surely stopped. */
    private void duty(long now) {
        if (!replica.primary()) {
            dutySince = Long.MAX_VALUE / 2;
            claiming = false;
            return;
        }
        ControlState state = replica.state();
        if (state.weights().isEmpty()) {
            return;
        }
        if (!state.holder().equals(self)) {
            if (!claiming) {
                claiming = true;
                long ticket = ++tickets;
                waiting.put(ticket, (why, claimed) -> {
                    claiming = false;
                    if (why == null) {
                        boolean first = claimed.holder().isEmpty();
                        dutySince = ms() + (first ? 0 : settings.bounds().leaseMs() + STALE_DUTY_MS);
                    }
                });
                replica.change(now, ticket, new Change(Change.Kind.DUTY, 0, self.getBytes(StandardCharsets.UTF_8)));
            }
            return;
        }
        if (dutySince > now + 3_600_000) {
            dutySince = now;
        }
        if (now < dutySince || now - replica.confirmedAt() > SURE_PLACE_MS) {
            return;
        }
        hosts.keySet().removeIf(id -> {
            RegistryEntry f = registry.entry(RegistryEntry.Subject.SERVER, id);
            return f != null && f.state() == RegistryEntry.State.GONE;
        });
        List<Server> servers = registry.servers();
        for (Rollout.Order o : rollout.due(now, state.weights(), servers)) {
            rollout.ordered(now, o.server().id());
            reportAt.put(o.server().id(), now + REPORT_EVERY_MS);
            tell(heartbeats.loads(now, o.server().id(), o.version()));
            // Proxies have time to hear that it will take nothing for a while.
            loop.schedule(
                    () -> {
                        if (replica.primary() && ms() - replica.confirmedAt() < SURE_PLACE_MS) {
                            order(o);
                        }
                    },
                    TOLD_MS,
                    TimeUnit.MILLISECONDS);
        }
        for (String id : rollout.under(now)) {
            if (now >= reportAt.getOrDefault(id, 0L)) {
                reportAt.put(id, now + REPORT_EVERY_MS);
                servers.stream().filter(s -> s.id().equals(id)).findFirst().ifPresent(this::report);
            }
        }
        reportAt.keySet().removeIf(id -> now - reportAt.get(id) > 10_000);
    }

    private void tell(RegistryEntry news) {
        if (news != null) {
            gossip.tell(ms(), new Registry.News(List.of(news), false), null);
        }
    }

    /** The whole answer of a server, whatever it is. */
    private static final class Plain implements Upstream.Reading {
        private int status;

        @Override
        public Outcome outcome(HttpResponse head) {
            status = head.status().code();
            return status >= 200 && status < 300 ? Outcome.OK : Outcome.FAILED;
        }

        @Override
        public boolean whole() {
            return true;
        }
    }

    private void order(Rollout.Order o) {
        long token = replica.state().fence() * 1_000_000 + ++orders % 1_000_000;
        StringBuilder json = new StringBuilder("{\"operation\":\"version\",\"model\":");
        JsonLines.quote(json, o.model());
        json.append(",\"version\":").append(o.version()).append(",\"method\":\"queue\",\"holder\":");
        JsonLines.quote(json, settings.nodeName());
        json.append(",\"fencing_token\":").append(token).append('}');
        LOG.info("{} is ordered to load version {} of {}", o.server().id(), o.version(), o.model());
        call(o.server(), "POST", "/quartzspan/order", json.toString(), Map.of(), (status, body) -> {
            if (status != 200 && status != 202) {
                LOG.info("{} answers an order with {}", o.server().id(), status);
            }
            if (status == 409 || status >= 500) {
                rollout.refused(ms(), o.server().id());
            }
        });
    }

    private void report(Server s) {
        call(s, "GET", "/quartzspan/report", "", Map.of(), (status, body) -> {
            if (status == 200) {
                JsonObject o = Configuration.json(body);
                if (!o.getBoolean("busy", false) && o.get("models") instanceof JsonArray models && !models.isEmpty()) {
                    tell(heartbeats.weighs(ms(), s.id(), Configuration.whole(models.getJsonObject(0), "version", 0)));
                }
            }
        });
    }

    // ---- what servers keep ---------------------------------------------------------------------------

    /** Each server's events are followed by one core machine of those that are heard: all work out the same one. */
    private void watch(long now) {
        coreHeard.values().removeIf(at -> now - at > CORE_ALIVE_MS);
        List<String> cores = new ArrayList<>(coreHeard.keySet());
        cores.add(self);
        Map<String, Server> there = new HashMap<>();
        for (Server s : registry.servers()) {
            if (!s.model().isEmpty()
                    && s.state() != RegistryEntry.State.GONE
                    && s.state() != RegistryEntry.State.LOST) {
                there.put(s.id(), s);
            }
        }
        for (Configuration.Service s :
                registry.state().configuration().services().values()) {
            if (s.store() != null) {
                there.put(
                        PromptIndex.store(s.store()),
                        new Server(
                                PromptIndex.store(s.store()),
                                s.name(),
                                s.store(),
                                s.zone(),
                                "",
                                0,
                                0,
                                0,
                                RegistryEntry.State.READY));
            }
        }
        watches.keySet()
                .removeIf(id -> !there.containsKey(id) || !watcher(id, cores).equals(self));
        for (Server s : there.values()) {
            if (watcher(s.id(), cores).equals(self)) {
                ask(now, s, watches.computeIfAbsent(s.id(), id -> new KvEventFollower(id, System.nanoTime())));
            }
        }
    }

    private static String watcher(String server, List<String> cores) {
        return Registry.few(server, cores, 1).get(0);
    }

    private void ask(long now, Server s, KvEventFollower w) {
        switch (w.due(now)) {
            case EVENTS -> call(
                    s,
                    "GET",
                    "/quartzspan/kv-events?since=" + w.since(),
                    "",
                    Map.of("Wait-Ms", "1000"),
                    (status, body) -> {
                        if (status != 200) {
                            publish(w.failed(ms()));
                            return;
                        }
                        JsonObject o = Configuration.json(body);
                        List<KvEventFollower.Event> events = new ArrayList<>();
                        for (JsonArray e : o.getJsonArray("events").getValuesAs(JsonArray.class)) {
                            events.add(new KvEventFollower.Event(
                                    e.getString(2), e.getString(3), e.getInt(4), e.getString(5)));
                        }
                        publish(w.events(
                                ms(),
                                Configuration.whole(o, "epoch", 0),
                                Configuration.whole(o, "next_token", 0),
                                o.getBoolean("lost", false),
                                events));
                    });
            case LIST -> call(s, "GET", "/quartzspan/kv-list", "", Map.of(), (status, body) -> {
                if (status != 200) {
                    publish(w.failed(ms()));
                    return;
                }
                JsonObject o = Configuration.json(body);
                List<KvEventFollower.Event> held = new ArrayList<>();
                for (JsonArray e : o.getJsonArray("held").getValuesAs(JsonArray.class)) {
                    held.add(new KvEventFollower.Event(e.getString(0), e.getString(1), e.getInt(2), e.getString(3)));
                }
                publish(List.of(w.list(
                        ms(), Configuration.whole(o, "epoch", 0), Configuration.whole(o, "next_token", 0), held)));
            });
            default -> {}
        }
    }

    private void publish(List<PromptIndexUpdate> reports) {
        for (PromptIndexUpdate c : reports) {
            promptIndex.take(c);
            gossip.cores().forEach(to -> transport.send(to, c));
            gossip.askers().forEach(to -> transport.send(to, c));
        }
    }

    private void onPromptIndexUpdate(Hello from, PromptIndexUpdate c) {
        if (c.kind() == PromptIndexUpdate.Kind.ASK) {
            PromptIndexUpdate whole = promptIndex.whole(c.server());
            if (whole != null) {
                transport.send(from.address(), whole);
            }
            return;
        }
        if (promptIndex.take(c)) {
            transport.send(
                    from.address(),
                    new PromptIndexUpdate(PromptIndexUpdate.Kind.ASK, c.server(), 0, 0, new long[0], new int[0]));
        } else if (from.core()) {
            List<String> cores = gossip.cores();
            gossip.askers().stream().filter(a -> !cores.contains(a)).forEach(to -> transport.send(to, c));
        }
    }

    private interface Answered {
        void answered(int status, byte[] body);
    }

    private void call(Server s, String method, String path, String body, Map<String, String> more, Answered then) {
        // The connection is kept: a new one costs the server as much as a small request.
        Upstream.Host host = hosts.computeIfAbsent(s.id(), Upstream.Host::new);
        int colon = s.address().lastIndexOf(':');
        host.listed(
                new InetSocketAddress(
                        s.address().substring(0, colon),
                        Integer.parseInt(s.address().substring(colon + 1))),
                true,
                4);
        io.netty.handler.codec.http.HttpHeaders headers =
                new io.netty.handler.codec.http.DefaultHttpHeaders().set("Host", s.address());
        if (!s.model().isEmpty()) {
            headers.set("X-Expected-Instance", s.id());
        }
        if (!body.isEmpty()) {
            headers.set("Content-Type", "application/json");
        }
        more.forEach(headers::set);
        Plain reading = new Plain();
        upstream.attempt(
                        host,
                        new Call(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                        ORDER_US,
                        () -> true,
                        reading,
                        (outcome, answer) -> {
                            try {
                                then.answered(
                                        answer == null ? 0 : reading.status,
                                        answer == null ? new byte[0] : answer.body());
                            } catch (RuntimeException e) {
                                LOG.warn("an answer of {} can't be read", s.id(), e);
                            }
                        })
                .start();
    }
}
