package quartzspan.customhouse;

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
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Call;
import mulleinfront.proxy.Clock;
import mulleinfront.proxy.Frontend;
import mulleinfront.proxy.Framing;
import mulleinfront.proxy.Upstream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.bond.Bond;
import quartzspan.bond.FileDisk;
import quartzspan.docket.Docket;
import quartzspan.docket.Keeper;
import quartzspan.docket.Ledger;
import quartzspan.docket.Ledger.Change;
import quartzspan.docket.Letter;
import quartzspan.manifest.Manifest;
import quartzspan.papers.JsonLines;
import quartzspan.papers.Refusal;
import quartzspan.papers.Settings;
import quartzspan.roster.Fact;
import quartzspan.roster.Registry;
import quartzspan.roster.Roster;
import quartzspan.roster.Server;
import quartzspan.roster.Spread;
import quartzspan.roster.Tidings;
import quartzspan.warehouse.Consignment;
import quartzspan.warehouse.Stock;
import quartzspan.warehouse.Watch;
import quartzspan.waybill.Carrier;
import quartzspan.waybill.Waybill.Hello;

/**
 * A core machine's process: keeps the control state with the others, takes servers' and operators' calls, and tells proxies.
 * One event loop owns all of it; only the disk has a thread of its own.
 */
public final class Customhouse implements Frontend.Desk {
    private static final Logger LOG = LoggerFactory.getLogger(Customhouse.class);
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
    private final Roster roster = new Roster();
    private final Registry registry;
    private final Spread spread;
    private final Carrier carrier;
    private final Keeper keeper;
    private final Docket docket;
    private final Frontend frontend;
    private final Upstream upstream;
    private final Rollout rollout = new Rollout();
    private final Frontend.Terms terms;
    private final Calls calls;
    private final String self;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long tickets;
    private boolean claiming;
    private long dutySince = Long.MAX_VALUE / 2;
    private long orders;
    private final Stock stock = new Stock();
    /** Servers whose events this machine follows. */
    private final Map<String, Watch> watches = new HashMap<>();
    private final Map<String, Long> coreHeard = new HashMap<>();
    private long watchAt;
    private final Map<String, Long> reportAt = new HashMap<>();
    private String lastRole = "";
    private final Map<String, Upstream.Host> hosts = new HashMap<>();

    private interface Waiting {
        void done(Refusal why, Ledger ledger);
    }

    private Customhouse(Settings settings, EventLoopGroup group, EventLoop loop) {
        this.settings = settings;
        this.group = group;
        this.loop = loop;
        InetSocketAddress control = settings.listens("control_plane");
        this.self = text(settings.internal());
        // Seeds are control_plane addresses; on all machines of a day the ports are alike.
        List<String> seeds = settings.seeds().stream()
                .map(s -> s.getHostString() + ':' + settings.internalPort()).toList();
        this.terms = new Frontend.Terms(Math.max(64, settings.descriptors() / 2), 32 * 1024, MOST_BODY, 30_000, 30_000);
        this.keeper = new Keeper(new Bond(new FileDisk(settings.disk())));
        List<byte[]> kept = open(keeper);
        this.upstream = new Upstream(loop, DIAL_US, 2_000_000, 256);
        this.carrier = new Carrier(loop, new Hello(true, self, text(control), settings.zone()), this::received);
        this.registry = new Registry(roster, settings.heartbeatMs());
        this.spread = new Spread(self, true, seeds, roster, carrier::send);
        this.frontend = new Frontend(this, loop);
        this.docket = new Docket(self, seeds, settings.losses(), settings.bootstrap() && !keeper.discarded(), kept, System.nanoTime(), ms(),
                new Docket.Out() {
                    @Override
                    public void send(String to, Letter letter) {
                        carrier.send(to, letter);
                    }

                    @Override
                    public void persist(long seq, byte[] record) {
                        disk.execute(() -> {
                            boolean ok = keeper.keep(record);
                            loop.execute(() -> docket().onPersisted(ms(), seq, ok));
                        });
                    }

                    @Override
                    public void done(long ticket, Refusal why, Ledger ledger) {
                        Waiting w = waiting.remove(ticket);
                        if (w != null) {
                            w.done(why, ledger);
                        }
                    }

                    @Override
                    public void committed(long epoch, long index, Ledger ledger) {
                        inForce(epoch, index, ledger);
                    }
                });
        this.calls = new Calls()
                .on("POST", "/quartzspan/Instances.Heartbeat/", this::heartbeat)
                .on("POST", "/quartzspan/Instances.Deregister/", this::deregister)
                .on("POST", "/quartzspan/Configuration.Replace", (c, in, b, rest) -> change(c, in, Change.Kind.REPLACE, b))
                .on("POST", "/quartzspan/Configuration.Update", (c, in, b, rest) -> change(c, in, Change.Kind.UPDATE, b))
                .on("GET", "/quartzspan/Configuration.Describe", this::describe)
                .on("POST", "/quartzspan/version-put", (c, in, b, rest) -> change(c, in, Change.Kind.WEIGHTS, b))
                .on("GET", "/quartzspan/status", this::status);
    }

    /** Damage is as good as an empty disk: the others know what this machine promised. */
    private static List<byte[]> open(Keeper keeper) {
        try {
            return keeper.open();
        } catch (Refusal why) {
            if (why.code() != Refusal.Code.STORE_DAMAGED) {
                throw why;
            }
            LOG.error("{}; it is put aside and this machine asks the others", why.toString());
            keeper.discard();
            return List.of();
        }
    }

    private Docket docket() {
        return docket;
    }

    private static String text(InetSocketAddress at) {
        return at.getHostString() + ':' + at.getPort();
    }

    /** Starts to serve; returns once it listens. */
    public static Customhouse start(Settings settings) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Customhouse c = loop.submit(() -> new Customhouse(settings, group, loop)).get();
        ChannelFuture inside = c.carrier.listen(settings.internal()).await();
        ChannelFuture outside = c.loop.submit(() -> c.frontend.listen(settings.listens("control_plane"))).get().await();
        for (ChannelFuture f : List.of(inside, outside)) {
            if (!f.isSuccess()) {
                throw new Refusal(Refusal.Code.ADDRESS_TAKEN, "can't listen: " + f.cause().getMessage(),
                        "end what holds the address");
            }
        }
        c.loop.submit(() -> {
            c.upstream.begin();
            c.roster.take(c.ms(), new Fact(Fact.Subject.CORE, c.self, 1, Fact.State.READY,
                    text(settings.listens("control_plane"))));
            c.loop.scheduleWithFixedDelay(c::tick, 1, TICK_MS, TimeUnit.MILLISECONDS);
        }).get();
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
            docket.onTick(now);
            if (!docket.role().equals(lastRole)) {
                lastRole = docket.role();
                if (!lastRole.equals("SOUNDING")) {
                    LOG.info("{} in epoch {}, view {}", lastRole, docket.promised(), docket.view().text());
                }
            }
            if (docket.primary()) {
                roster.fresh(docket.confirmedAt());
            }
            spread.onTick(now, docket.primary() ? null : docket.leader(now));
            List<Fact> heard = registry.untold();
            if (!heard.isEmpty()) {
                Tidings t = new Tidings(Tidings.Kind.HEARD, 0, -1, -1, -1, new long[0], heard, new byte[0]);
                spread.cores().forEach(c -> carrier.send(c, t));
            }
            if (now - roster.freshAt() > IN_TOUCH_MS) {
                registry.excuse(now);
            } else {
                List<Fact> lost = registry.lost(now);
                if (!lost.isEmpty()) {
                    LOG.info("lost: {}", lost.stream().map(Fact::key).toList());
                    spread.tell(now, new Roster.News(lost, false), null);
                }
            }
            roster.tidy(now);
            carrier.tidy(10_000);
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
        if (message instanceof Consignment c) {
            onConsignment(from, c);
        } else if (message instanceof Letter letter && from.core()) {
            docket.onLetter(now, from.address(), letter);
        } else if (message instanceof Tidings tidings) {
            if (tidings.kind() == Tidings.Kind.HEARD) {
                registry.heard(now, tidings.facts());
                return;
            }
            if (!from.core()) {
                tell(registry.proxy(now, from.address(), from.zone()));
            }
            spread.onTidings(now, from.address(), tidings);
        }
    }

    private void inForce(long epoch, long index, Ledger ledger) {
        long now = ms();
        if (roster.take(epoch, index, ledger, ledger.bytes())) {
            spread.tell(now, new Roster.News(List.of(), true), null);
        }
    }

    // ---- servers' calls ------------------------------------------------------------------------------

    private void heartbeat(Frontend.Client client, HttpRequest in, byte[] body, String id) {
        JsonObject o = Manifest.json(body);
        String state = o.getString("state", "ready");
        String model = "";
        long weights = 0;
        if (o.get("models") instanceof JsonArray models && !models.isEmpty()) {
            model = models.getJsonObject(0).getString("name", "");
            weights = Manifest.whole(models.getJsonObject(0), "version", 0);
        }
        String text = Server.text(o.getString("service", ""), o.getString("address", ""), o.getString("zone", ""), model,
                weights, 0);
        Server said = Server.of(new Fact(Fact.Subject.SERVER, id, 0, Fact.State.READY, text));
        if (said == null) {
            throw new Refusal(Refusal.Code.MESSAGE_INVALID, "a heartbeat can't be read", "send it as the page says");
        }
        boolean draining = state.equals("draining");
        Fact news = registry.beat(ms(), id, Manifest.whole(o, "call_count", 0),
                draining ? Fact.State.DRAINING : Fact.State.READY, said);
        if (draining) {
            surely(client, news != null ? news : roster.fact(Fact.Subject.SERVER, id));
        } else {
            tell(news);
            Calls.ok(client);
        }
    }

    private void deregister(Frontend.Client client, HttpRequest in, byte[] body, String id) {
        Fact news = registry.gone(ms(), id);
        surely(client, news != null ? news : roster.fact(Fact.Subject.SERVER, id));
    }

    /** Answers once another core machine knows too: the word must outlive this process. */
    private void surely(Frontend.Client client, Fact fact) {
        if (settings.losses() == 0) {
            spread.tell(ms(), new Roster.News(List.of(fact), false), null);
            Calls.ok(client);
            return;
        }
        boolean[] answered = {false};
        client.opened(() -> answered[0] = true);
        spread.tellSurely(ms(), new Roster.News(List.of(fact), false), () -> {
            if (!answered[0]) {
                answered[0] = true;
                Calls.ok(client);
            }
        });
        loop.schedule(() -> {
            if (!answered[0]) {
                answered[0] = true;
                Calls.refuse(client, new Refusal(Refusal.Code.NOT_PRIMARY, "no other core machine has confirmed it",
                        "ask another machine of the core"));
            }
        }, SURE_MS, TimeUnit.MILLISECONDS);
    }

    // ---- operators' calls ----------------------------------------------------------------------------

    private void change(Frontend.Client client, HttpRequest in, Change.Kind kind, byte[] body) {
        long base = kind == Change.Kind.WEIGHTS ? 0 : Framing.number(in.headers().get("X-Base-Version"));
        if (base < 0) {
            throw new Refusal(Refusal.Code.CONFIG_INVALID, "X-Base-Version is missing",
                    "name the version that the change builds on, 0 for the first");
        }
        if (elsewhere(client, in)) {
            return;
        }
        docket.change(ms(), ticket(client, ledger -> Calls.ok(client)), new Change(kind, base, body));
    }

    /** A ticket for the docket's answer, which goes to a client as long as it waits for one. */
    private long ticket(Frontend.Client client, Consumer<Ledger> granted) {
        boolean[] left = {false};
        client.opened(() -> left[0] = true);
        waiting.put(++tickets, (why, ledger) -> {
            if (!left[0]) {
                if (why == null) {
                    granted.accept(ledger);
                } else {
                    Calls.refuse(client, why);
                }
            }
        });
        return tickets;
    }

    private void describe(Frontend.Client client, HttpRequest in, byte[] body, String rest) {
        if (elsewhere(client, in)) {
            return;
        }
        docket.confirm(ms(), ticket(client, ledger -> Calls.answer(client, HttpResponseStatus.OK, ledger.manifest().bytes())));
    }

    /** Sends the caller to the primary, if that is another; whether it did. */
    private boolean elsewhere(Frontend.Client client, HttpRequest in) {
        if (docket.primary()) {
            return false;
        }
        String leader = docket.leader(ms());
        Fact there = leader == null ? null : roster.fact(Fact.Subject.CORE, leader);
        if (there == null) {
            throw new Refusal(Refusal.Code.NOT_PRIMARY, "nobody decides at present", "ask again in a moment");
        }
        Calls.redirect(client, "http://" + there.text() + in.uri());
        return true;
    }

    private void status(Frontend.Client client, HttpRequest in, byte[] body, String rest) {
        long now = ms();
        StringBuilder json = new StringBuilder("{\"node\":");
        JsonLines.quote(json, settings.nodeName());
        JsonLines.quote(json.append(",\"role\":"), docket.role());
        JsonLines.quote(json.append(",\"leader\":"), String.valueOf(docket.leader(now)));
        JsonLines.quote(json.append(",\"view\":"), docket.view().text());
        JsonLines.quote(json.append(",\"duty\":"), roster.ledger().holder());
        json.append(",\"promised\":").append(docket.promised()).append(",\"copy_epoch\":").append(docket.copyEpoch())
                .append(",\"copy_index\":").append(docket.copyIndex()).append(",\"version\":")
                .append(roster.ledger().manifest().version()).append(",\"fresh_ms\":").append(now - roster.freshAt());
        for (Fact.Subject subject : Fact.Subject.values()) {
            json.append(",\"").append(subject.name().toLowerCase(java.util.Locale.ROOT)).append("s\":[");
            String comma = "";
            for (Fact f : roster.all(subject)) {
                JsonLines.quote(json.append(comma).append("{\"key\":"), f.key());
                JsonLines.quote(json.append(",\"state\":"), f.state().name());
                JsonLines.quote(json.append(",\"text\":"), f.text());
                json.append('}');
                comma = ",";
            }
            json.append(']');
        }
        Calls.answer(client, HttpResponseStatus.OK, json.append('}').toString().getBytes(StandardCharsets.UTF_8));
    }

    // ---- the duty of weights -------------------------------------------------------------------------

    /** Who is primary orders servers about, once whoever did it before has surely stopped. */
    private void duty(long now) {
        if (!docket.primary()) {
            dutySince = Long.MAX_VALUE / 2;
            claiming = false;
            return;
        }
        Ledger ledger = docket.ledger();
        if (ledger.weights().isEmpty()) {
            return;
        }
        if (!ledger.holder().equals(self)) {
            if (!claiming) {
                claiming = true;
                long ticket = ++tickets;
                waiting.put(ticket, (why, state) -> {
                    claiming = false;
                    if (why == null) {
                        boolean first = ledger.holder().isEmpty();
                        dutySince = ms() + (first ? 0 : settings.bounds().leaseMs() + STALE_DUTY_MS);
                    }
                });
                docket.change(now, ticket, new Change(Change.Kind.DUTY, 0, self.getBytes(StandardCharsets.UTF_8)));
            }
            return;
        }
        if (dutySince > now + 3_600_000) {
            dutySince = now;
        }
        if (now < dutySince || now - docket.confirmedAt() > SURE_PLACE_MS) {
            return;
        }
        hosts.keySet().removeIf(id -> {
            Fact f = roster.fact(Fact.Subject.SERVER, id);
            return f != null && f.state() == Fact.State.GONE;
        });
        List<Server> servers = new ArrayList<>();
        roster.all(Fact.Subject.SERVER).forEach(f -> servers.add(Server.of(f)));
        servers.removeIf(Objects::isNull);
        for (Rollout.Order o : rollout.due(now, ledger.weights(), servers)) {
            rollout.ordered(now, o.server().id());
            reportAt.put(o.server().id(), now + REPORT_EVERY_MS);
            tell(registry.loads(now, o.server().id(), o.version()));
            // Proxies have time to hear that it will take nothing for a while.
            loop.schedule(() -> {
                if (docket.primary() && ms() - docket.confirmedAt() < SURE_PLACE_MS) {
                    order(o);
                }
            }, TOLD_MS, TimeUnit.MILLISECONDS);
        }
        for (String id : rollout.under(now)) {
            if (now >= reportAt.getOrDefault(id, 0L)) {
                reportAt.put(id, now + REPORT_EVERY_MS);
                servers.stream().filter(s -> s.id().equals(id)).findFirst().ifPresent(this::report);
            }
        }
        reportAt.keySet().removeIf(id -> now - reportAt.get(id) > 10_000);
    }

    private void tell(Fact news) {
        if (news != null) {
            spread.tell(ms(), new Roster.News(List.of(news), false), null);
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
        long token = docket.view().epoch() * 1_000_000 + ++orders % 1_000_000;
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
                JsonObject o = Manifest.json(body);
                if (!o.getBoolean("busy", false) && o.get("models") instanceof JsonArray models && !models.isEmpty()) {
                    tell(registry.weighs(ms(), s.id(), Manifest.whole(models.getJsonObject(0), "version", 0)));
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
        for (Fact f : roster.all(Fact.Subject.SERVER)) {
            Server s = Server.of(f);
            if (s != null && !s.model().isEmpty() && f.state() != Fact.State.GONE && f.state() != Fact.State.LOST) {
                there.put(s.id(), s);
            }
        }
        for (Manifest.Service s : roster.ledger().manifest().services().values()) {
            if (s.store() != null) {
                there.put(Stock.store(s.store()), new Server(Stock.store(s.store()), s.name(), s.store(), s.zone(), "", 0, 0,
                        0, Fact.State.READY));
            }
        }
        watches.keySet().removeIf(id -> !there.containsKey(id) || !watcher(id, cores).equals(self));
        for (Server s : there.values()) {
            if (watcher(s.id(), cores).equals(self)) {
                ask(now, s, watches.computeIfAbsent(s.id(), id -> new Watch(id, System.nanoTime())));
            }
        }
    }

    private static String watcher(String server, List<String> cores) {
        return Roster.few(server, cores, 1).get(0);
    }

    private void ask(long now, Server s, Watch w) {
        switch (w.due(now)) {
            case EVENTS -> call(s, "GET", "/quartzspan/kv-events?since=" + w.since(), "", Map.of("Wait-Ms", "1000"),
                    (status, body) -> {
                        if (status != 200) {
                            publish(w.failed(ms()));
                            return;
                        }
                        JsonObject o = Manifest.json(body);
                        List<Watch.Event> events = new ArrayList<>();
                        for (JsonArray e : o.getJsonArray("events").getValuesAs(JsonArray.class)) {
                            events.add(new Watch.Event(e.getString(2), e.getString(3), e.getInt(4), e.getString(5)));
                        }
                        publish(w.events(ms(), Manifest.whole(o, "epoch", 0), Manifest.whole(o, "next_token", 0),
                                o.getBoolean("lost", false), events));
                    });
            case LIST -> call(s, "GET", "/quartzspan/kv-list", "", Map.of(), (status, body) -> {
                if (status != 200) {
                    publish(w.failed(ms()));
                    return;
                }
                JsonObject o = Manifest.json(body);
                List<Watch.Event> held = new ArrayList<>();
                for (JsonArray e : o.getJsonArray("held").getValuesAs(JsonArray.class)) {
                    held.add(new Watch.Event(e.getString(0), e.getString(1), e.getInt(2), e.getString(3)));
                }
                publish(List.of(w.list(ms(), Manifest.whole(o, "epoch", 0), Manifest.whole(o, "next_token", 0), held)));
            });
            default -> { }
        }
    }

    private void publish(List<Consignment> reports) {
        for (Consignment c : reports) {
            stock.take(c);
            spread.cores().forEach(to -> carrier.send(to, c));
            spread.askers().forEach(to -> carrier.send(to, c));
        }
    }

    private void onConsignment(Hello from, Consignment c) {
        if (c.kind() == Consignment.Kind.ASK) {
            Consignment whole = stock.whole(c.server());
            if (whole != null) {
                carrier.send(from.address(), whole);
            }
            return;
        }
        if (stock.take(c)) {
            carrier.send(from.address(), new Consignment(Consignment.Kind.ASK, c.server(), 0, 0, new long[0], new int[0]));
        } else if (from.core()) {
            List<String> cores = spread.cores();
            spread.askers().stream().filter(a -> !cores.contains(a)).forEach(to -> carrier.send(to, c));
        }
    }

    private interface Answered {
        void answered(int status, byte[] body);
    }

    private void call(Server s, String method, String path, String body, Map<String, String> more, Answered then) {
        // The connection is kept: a new one costs the server as much as a small request.
        Upstream.Host host = hosts.computeIfAbsent(s.id(), Upstream.Host::new);
        int colon = s.address().lastIndexOf(':');
        host.listed(new InetSocketAddress(s.address().substring(0, colon),
                Integer.parseInt(s.address().substring(colon + 1))), true, 4);
        io.netty.handler.codec.http.HttpHeaders headers = new io.netty.handler.codec.http.DefaultHttpHeaders()
                .set("Host", s.address());
        if (!s.model().isEmpty()) {
            headers.set("X-Expected-Instance", s.id());
        }
        if (!body.isEmpty()) {
            headers.set("Content-Type", "application/json");
        }
        more.forEach(headers::set);
        Plain reading = new Plain();
        upstream.attempt(host, new Call(method, path, headers, body.getBytes(StandardCharsets.UTF_8)), ORDER_US, () -> true,
                reading, (outcome, answer) -> {
                    try {
                        then.answered(answer == null ? 0 : reading.status, answer == null ? new byte[0] : answer.body());
                    } catch (RuntimeException e) {
                        LOG.warn("an answer of {} can't be read", s.id(), e);
                    }
                }).start();
    }
}
