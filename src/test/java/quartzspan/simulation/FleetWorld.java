package quartzspan.simulation;

import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import quartzspan.configuration.JsonFields;
import quartzspan.controlplane.SimulatedCore;
import quartzspan.frontend.SimulatedProxy;
import quartzspan.registry.Server;

/** The processes of a fleet, its model servers, operator and clients, and the ways between them. */
final class FleetWorld {
    private static final int SEED_NODE_COUNT = 3;
    private static final int START_JITTER_MS = 300;
    private static final int MAX_CONNECT_MS = 20;

    private final World world;
    private final FleetRules rules;
    private final int toleratedFailures;
    private final int maxLoadMs;
    private final List<String> seeds = new ArrayList<>();
    private final Map<String, SimulatedCore> cores = new LinkedHashMap<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final FleetOperator operator;
    private final FleetClients clients;
    private int startedServers;

    /** A fleet whose processes start within a third of a second of each other. */
    FleetWorld(FleetScenario scenario, boolean tracing) {
        this.world = new World(scenario.seed(), tracing);
        this.rules = new FleetRules(world);
        this.toleratedFailures = scenario.toleratedFailures();
        this.maxLoadMs = scenario.maxLoadMs();
        for (int i = 1; i <= scenario.cores(); i++) {
            seeds.add("10.0.0." + i + ":1");
        }
        List<String> seedNodes = seeds.subList(0, SEED_NODE_COUNT);
        seeds.forEach(name -> addCore(name, seedNodes, true));
        for (int i = 1; i <= scenario.proxies(); i++) {
            SimulatedProxy proxy = new SimulatedProxy(world, "10.0.1." + i + ":1", seedNodes, new ProxyEnvironment());
            proxies.add(proxy);
            world.add(proxy);
            world.schedule(world.random().nextInt(START_JITTER_MS), proxy::start);
        }
        for (int i = 0; i < scenario.servers(); i++) {
            world.schedule(world.random().nextInt(START_JITTER_MS), () -> startServer(1));
        }
        this.operator = new FleetOperator(this);
        this.clients = new FleetClients(this, operator);
    }

    World world() {
        return world;
    }

    /** How long a server may take to load weights. */
    int maxLoadMs() {
        return maxLoadMs;
    }

    FleetRules rules() {
        return rules;
    }

    FleetOperator operator() {
        return operator;
    }

    FleetClients clients() {
        return clients;
    }

    Map<String, SimulatedCore> cores() {
        return cores;
    }

    List<SimulatedProxy> proxies() {
        return proxies;
    }

    List<SimulatedServer> servingServers() {
        return servers.values().stream().filter(SimulatedServer::isServing).toList();
    }

    String randomCore() {
        List<String> names = List.copyOf(cores.keySet());
        return names.get(world.random().nextInt(names.size()));
    }

    private SimulatedCore addCore(String name, List<String> seedNodes, boolean bootstrap) {
        SimulatedCore core = new SimulatedCore(
                world, name, seedNodes, toleratedFailures, bootstrap, new ServerNetwork(), committed -> {});
        cores.put(name, core);
        world.add(core);
        world.schedule(world.random().nextInt(START_JITTER_MS), core::start);
        return core;
    }

    /** Removes a core machine for good and starts an empty one at another address. */
    void replaceCore(SimulatedCore old) {
        old.kill();
        cores.remove(old.name());
        addCore("10.0.2." + (cores.size() + world.random().nextInt(200)) + ":1", List.copyOf(cores.keySet()), false);
    }

    /** Starts a new server with a version of the weights, at an address of its own. */
    SimulatedServer startServer(long weights) {
        startedServers++;
        String id = "i-" + startedServers;
        SimulatedServer server =
                new SimulatedServer(this, id, "10.1.0." + startedServers % 250 + ":" + startedServers, weights);
        servers.put(id, server);
        server.start();
        return server;
    }

    private final class ServerNetwork implements SimulatedCore.ServerNetwork {
        @Override
        public void order(
                String core,
                Server server,
                String json,
                long timeoutMs,
                BooleanSupplier permitted,
                SimulatedCore.Result result) {
            world.cross(World.Crossing.SERVER_ORDER, core);
            long startedAtMs = world.nowMs();
            long connectMs = 1L + world.random().nextInt(MAX_CONNECT_MS);
            SimulatedCore sender = cores.get(core);
            world.schedule(
                    connectMs,
                    () -> sender.dispatch(server.id(), now -> {
                        if (world.nowMs() - startedAtMs > timeoutMs || !permitted.getAsBoolean()) {
                            result.onResponse(-1, new byte[0]);
                        } else {
                            world.schedule(1, () -> deliver(core, server, json, result));
                        }
                    }));
        }

        private void deliver(String core, Server server, String json, SimulatedCore.Result result) {
            JsonObject order = JsonFields.parse(json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            SimulatedServer target = servers.get(server.id());
            int status = target == null ? SimulatedServer.NO_RESPONSE : target.onOrder(core, order);
            world.schedule(1, () -> result.onResponse(status, new byte[0]));
        }

        @Override
        public void report(String core, Server server, SimulatedCore.Result result) {
            SimulatedServer target = servers.get(server.id());
            if (target != null) {
                world.schedule(2, () -> result.onResponse(200, target.report()));
            }
        }
    }

    private final class ProxyEnvironment implements SimulatedProxy.Environment {
        @Override
        public void forward(
                SimulatedProxy proxy,
                String server,
                SimulatedProxy.Forwarded forwarded,
                SimulatedProxy.Response response) {
            long sentAtMs = world.nowMs();
            world.schedule(1 + world.random().nextInt(2), () -> {
                SimulatedServer target = servers.get(server);
                if (target != null) {
                    target.onRequest(proxy.name(), sentAtMs, forwarded, response);
                }
            });
        }

        @Override
        public void answered(
                SimulatedProxy proxy,
                SimulatedProxy.Request request,
                SimulatedProxy.Answer answer,
                long configurationVersion) {
            clients.onAnswer(answer);
            rules.onDecided(proxy.name(), request, answer, configurationVersion);
        }
    }
}
