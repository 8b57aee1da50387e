package quartzspan.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import quartzspan.loadbalancing.LoadBalancer;
import quartzspan.loadbalancing.LoadBalancer.Actions;
import quartzspan.loadbalancing.LoadBalancer.AttemptEnd;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.Source;

/**
 * Connects the load balancer to the simulator: reads batches of events, passes them to one {@link LoadBalancer} for each instance
 * and writes their actions as replies. Makes no decisions itself.
 */
public final class Adapter {
    private static final int MAX_TABLES = 16;
    /** Bit of a request: its expected work is known. */
    private static final int EXPECTED_WORK_BIT = 1;

    /** Bit of a request: the client marks it as a repeat. */
    private static final int REPEAT_BIT = 2;

    private final JsonParser parser;
    private final JsonGenerator generator;
    private final EventReader events;
    private final TreeMap<Integer, Instance> instances = new TreeMap<>();
    /** Instances that the current batch addresses, in the order of their first occurrence. */
    private final List<Instance> addressed = new ArrayList<>();

    /** Endpoint lists by table number. */
    private final List<List<Endpoint>> tables = new ArrayList<>();

    private Adapter(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = new JsonFactory();
        factory.configure(JsonParser.Feature.AUTO_CLOSE_SOURCE, false);
        this.parser = factory.createParser(input);
        this.generator = factory.createGenerator(output);
        this.generator.setRootValueSeparator(null);
        this.events = new EventReader(parser);
        for (int i = 0; i < MAX_TABLES; i++) {
            tables.add(List.of());
        }
    }

    /**
     * Reads batches and replies to each until the input ends.
     *
     * @throws IOException if the input is malformed, or reading or writing fails
     */
    public static void run(InputStream input, OutputStream output) throws IOException {
        Adapter adapter = new Adapter(input, output);
        while (adapter.readBatch()) {
            adapter.writeReply();
        }
    }

    /** The message of an exception as a single line. */
    public static String errorMessage(Exception e) {
        String text = e instanceof JsonProcessingException j
                ? "malformed input: " + j.getOriginalMessage()
                : String.valueOf(e.getMessage());
        return text.replace('\n', ' ');
    }

    private boolean readBatch() throws IOException {
        JsonToken first = parser.nextToken();
        if (first == null) {
            return false;
        }
        addressed.clear();
        if (first != JsonToken.START_OBJECT) {
            throw new SimulatorInputException("batch must be an object");
        }
        long now = 0;
        boolean hasTime = false;
        events.reset();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "wallUs" -> {
                    now = parser.getLongValue();
                    hasTime = true;
                }
                case "proxys" -> events.readGroups();
                default -> parser.skipChildren();
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new SimulatorInputException("batch ends before its closing brace");
        }
        if (!hasTime) {
            throw new SimulatorInputException("batch has no field wallUs");
        }
        for (int group = 0; group < events.groupCount(); group++) {
            dispatch(events.instance(group), events.firstEvent(group), events.endEvent(group), now);
        }
        return true;
    }

    private void dispatch(int instanceNumber, int firstEvent, int endEvent, long now) throws IOException {
        Instance instance = instances.computeIfAbsent(instanceNumber, Instance::new);
        if (!addressed.contains(instance)) {
            addressed.add(instance);
        }
        for (int i = firstEvent; i < endEvent; i++) {
            EventReader.Event event = events.event(i);
            if (event.type == null) {
                throw new SimulatorInputException("event has no field m");
            }
            if (event.type.equals("CATALOG")) {
                if (event.table < 0 || event.table >= MAX_TABLES) {
                    throw new SimulatorInputException("CATALOG: table must be from 0 to " + (MAX_TABLES - 1));
                }
                tables.set(event.table, event.endpoints);
                continue;
            }
            try {
                instance.handle(event, now);
            } catch (RuntimeException failure) {
                instance.reportCrash(failure);
            }
        }
    }

    private void writeReply() throws IOException {
        generator.writeStartObject();
        generator.writeArrayFieldStart("proxys");
        for (Instance instance : addressed) {
            if (!instance.pendingActions.isEmpty()) {
                generator.writeStartObject();
                generator.writeNumberField("i", instance.number);
                generator.writeArrayFieldStart("actions");
                for (Action action : instance.pendingActions) {
                    action.write(generator);
                }
                generator.writeEndArray();
                generator.writeEndObject();
                instance.pendingActions.clear();
            }
        }
        generator.writeEndArray();
        generator.writeEndObject();
        generator.writeRaw('\n');
        generator.flush();
    }

    /** An action to be written to the reply; {@code number} is written under {@code numberName} if that is set. */
    private record Action(String type, String requestId, String host, String numberName, long number, String text) {
        void write(JsonGenerator generator) throws IOException {
            generator.writeStartObject();
            generator.writeStringField("m", type);
            if (requestId != null) {
                generator.writeStringField("xid", requestId);
            }
            if (host != null) {
                generator.writeStringField("host", host);
            }
            if (numberName != null) {
                generator.writeNumberField(numberName, number);
            }
            switch (type) {
                case "TIMER" -> generator.writeStringField("name", "wake");
                case "OBSERVE" -> generator.writeBooleanField("enable", true);
                case "CRASH" -> generator.writeStringField("msg", text);
                default -> {}
            }
            generator.writeEndObject();
        }
    }

    /** A simulated proxy: its load balancer, and its actions during the current batch. */
    private final class Instance implements Actions {
        final int number;
        final List<Action> pendingActions = new ArrayList<>();
        LoadBalancer balancer;

        Instance(int number) {
            this.number = number;
        }

        void handle(EventReader.Event event, long now) throws SimulatorInputException {
            if (event.type.equals("BOOT")) {
                if (event.settings == null) {
                    throw new IllegalArgumentException("settings: bootInfo is missing");
                }
                balancer = LoadBalancer.create(event.settings.toSettings(), event.seed, now, this);
                return;
            }
            if (balancer == null) {
                return;
            }
            switch (event.type) {
                case "DISCOVERY" -> handleDiscovery(event, now);
                case "ORDER" -> balancer.onRequest(
                        now,
                        new Request(
                                event.requestId,
                                event.classIndex,
                                event.routeKey,
                                event.budgetUs,
                                (event.bits & EXPECTED_WORK_BIT) != 0 ? event.expectedUs : 0,
                                event.tenant,
                                (event.bits & REPEAT_BIT) != 0));
                case "ABORTED" -> balancer.onRequestGone(now, event.requestId);
                case "FIRST_BYTE" -> balancer.onStreamStarted(now, event.requestId, event.attempt);
                case "ENDED" -> balancer.onAttemptEnded(
                        now,
                        new AttemptEnd(
                                event.requestId,
                                event.attempt,
                                outcome(event.outcome),
                                event.complete,
                                event.elapsedUs));
                case "BELL" -> balancer.onTimer(now);
                case "STOP" -> balancer = null;
                case "PONG" -> balancer.onProbeEnded(now, event.host, outcome(event.outcome), event.elapsedUs);
                case "FROM_PEER" -> {}
                default -> throw new SimulatorInputException("unknown event type " + event.type);
            }
        }

        private void handleDiscovery(EventReader.Event event, long now) throws SimulatorInputException {
            Source source =
                    switch (String.valueOf(event.discoverySource)) {
                        case "cached" -> Source.CACHED;
                        case "full" -> Source.FULL;
                        case "delta" -> Source.DELTA;
                        case "failed" -> null;
                        default -> throw new SimulatorInputException(
                                "DISCOVERY: unknown value of how: " + event.discoverySource);
                    };
            if (source == null) {
                balancer.onDiscoveryFailed(now);
            } else if (event.table < 0 || event.table >= MAX_TABLES) {
                throw new SimulatorInputException("DISCOVERY: table must be from 0 to " + (MAX_TABLES - 1));
            } else {
                balancer.onEndpoints(now, source, tables.get(event.table));
            }
        }

        void reportCrash(RuntimeException failure) {
            pendingActions.add(new Action("CRASH", null, null, null, 0, String.valueOf(failure)));
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            pendingActions.add(new Action("FORWARD", requestId, endpointId, "tryForUs", timeoutUs, null));
        }

        @Override
        public void refuse(String requestId, long retryAfterUs) {
            pendingActions.add(new Action(
                    "PUSH_BACK", requestId, null, retryAfterUs > 0 ? "holdOffUs" : null, retryAfterUs, null));
        }

        @Override
        public void fail(String requestId) {
            pendingActions.add(new Action("FAIL", requestId, null, null, 0, null));
        }

        @Override
        public void cancel(String requestId, int attempt) {
            pendingActions.add(new Action("ABORT_ATTEMPT", requestId, null, "hop", attempt, null));
        }

        @Override
        public void probe(String endpointId) {
            pendingActions.add(new Action("PROBE", null, endpointId, null, 0, null));
        }

        @Override
        public void subscribe() {
            pendingActions.add(new Action("OBSERVE", null, null, null, 0, null));
        }

        @Override
        public void wakeAt(long atUs) {
            pendingActions.add(new Action("TIMER", null, null, "atUs", atUs, null));
        }
    }

    private static Outcome outcome(String word) throws SimulatorInputException {
        return switch (String.valueOf(word)) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.FAILED;
            case "QueueFull" -> Outcome.QUEUE_FULL;
            case "TimedOut" -> Outcome.TIMED_OUT;
            case "ConnectError" -> Outcome.CONNECT_ERROR;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELED;
            case "Ignored" -> Outcome.IGNORED;
            default -> throw new SimulatorInputException("unknown outcome " + word);
        };
    }
}
