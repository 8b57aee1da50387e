package quartzspan.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import quartzspan.loadbalancing.LoadBalancer.Availability;
import quartzspan.loadbalancing.LoadBalancer.Endpoint;

/** Parses the groups of a batch into event objects, which are reused by later batches. */
final class EventReader {
    private final JsonParser parser;
    private final List<Event> pool = new ArrayList<>();
    private int size;
    /** Three numbers for each group: instance, index of the first event, index after the last event. */
    private int[] groups = new int[48];

    private int groupCount;

    EventReader(JsonParser parser) {
        this.parser = parser;
    }

    /** The fields of an event; absent fields have the values that {@link #clear} sets. */
    static final class Event {
        String type;
        String requestId;
        String host;
        String routeKey;
        String outcome;
        String discoverySource;
        long budgetUs;
        long expectedUs;
        long elapsedUs;
        long seed;
        int bits;
        int classIndex;
        int tenant;
        int attempt;
        int table;
        boolean complete;
        List<Endpoint> endpoints;
        SettingsReader settings;

        void clear() {
            type = requestId = host = routeKey = outcome = discoverySource = null;
            budgetUs = expectedUs = elapsedUs = seed = 0;
            bits = classIndex = tenant = attempt = 0;
            table = -1;
            complete = false;
            endpoints = List.of();
            settings = null;
        }
    }

    void reset() {
        size = 0;
        groupCount = 0;
    }

    int groupCount() {
        return groupCount;
    }

    int instance(int group) {
        return groups[3 * group];
    }

    int firstEvent(int group) {
        return groups[3 * group + 1];
    }

    /** Index after the last event of a group. */
    int endEvent(int group) {
        return groups[3 * group + 2];
    }

    Event event(int index) {
        return pool.get(index);
    }

    void readGroups() throws IOException {
        expect(JsonToken.START_ARRAY, "proxys must be an array");
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            readGroup();
        }
        expect(JsonToken.END_ARRAY, "proxys must contain only objects");
    }

    private void readGroup() throws IOException {
        boolean hasNumber = false;
        int number = 0;
        int firstEvent = size;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            if (name.equals("i")) {
                number = parser.getIntValue();
                hasNumber = true;
            } else if (name.equals("in")) {
                expect(JsonToken.START_ARRAY, "field in of an instance must be an array");
                while (parser.nextToken() == JsonToken.START_OBJECT) {
                    readEvent();
                }
                expect(JsonToken.END_ARRAY, "field in of an instance must contain only objects");
            } else {
                parser.skipChildren();
            }
        }
        if (!hasNumber) {
            throw new SimulatorInputException("proxys: instance has no field i");
        }
        if (3 * groupCount + 3 > groups.length) {
            groups = java.util.Arrays.copyOf(groups, 2 * groups.length);
        }
        groups[3 * groupCount] = number;
        groups[3 * groupCount + 1] = firstEvent;
        groups[3 * groupCount + 2] = size;
        groupCount++;
    }

    private void readEvent() throws IOException {
        if (size == pool.size()) {
            pool.add(new Event());
        }
        Event event = pool.get(size++);
        event.clear();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "m" -> event.type = parser.getText();
                case "xid" -> event.requestId = parser.getText();
                case "host" -> event.host = parser.getText();
                case "routeKey" -> event.routeKey = parser.getText();
                case "outcome" -> event.outcome = parser.getText();
                case "how" -> event.discoverySource = parser.getText();
                case "budgetUs" -> event.budgetUs = parser.getLongValue();
                case "expectedUs" -> event.expectedUs = parser.getLongValue();
                case "lagUs" -> event.elapsedUs = parser.getLongValue();
                case "rngSeed" -> event.seed = parser.getNumberValue().longValue();
                case "bits" -> event.bits = parser.getIntValue();
                case "tierClass" -> event.classIndex = parser.getIntValue();
                case "customer" -> event.tenant = parser.getIntValue();
                case "hop" -> event.attempt = parser.getIntValue();
                case "table" -> event.table = parser.getIntValue();
                case "complete" -> event.complete = parser.getBooleanValue();
                case "rowsIn" -> event.endpoints = readEndpoints();
                case "bootInfo" -> event.settings = SettingsReader.read(parser);
                default -> parser.skipChildren();
            }
        }
    }

    private List<Endpoint> readEndpoints() throws IOException {
        expect(JsonToken.START_ARRAY, "CATALOG: rowsIn must be an array");
        List<Endpoint> endpoints = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            String host = null;
            int zone = 0;
            int cell = 0;
            double weight = 1;
            int kind = 0;
            long startedAtUs = 0;
            Availability availability = Availability.READY;
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "host" -> host = parser.getText();
                    case "az" -> zone = parser.getIntValue();
                    case "machine" -> kind = parser.getIntValue();
                    case "cohort" -> cell = parser.getIntValue();
                    case "availability" -> availability = availability(parser.getText());
                    case "rating" -> weight = parser.getDoubleValue();
                    case "cameUpUs" -> startedAtUs = parser.getLongValue();
                    default -> parser.skipChildren();
                }
            }
            if (host == null) {
                throw new SimulatorInputException("CATALOG: row has no field host");
            }
            endpoints.add(new Endpoint(host, zone, cell, kind, availability, weight, startedAtUs));
        }
        expect(JsonToken.END_ARRAY, "CATALOG: rowsIn must contain only objects");
        return List.copyOf(endpoints);
    }

    private static Availability availability(String word) throws SimulatorInputException {
        return switch (word) {
            case "Ready" -> Availability.READY;
            case "Terminating" -> Availability.DRAINING;
            case "Gone" -> Availability.GONE;
            default -> throw new SimulatorInputException("CATALOG: unknown availability " + word);
        };
    }

    private void expect(JsonToken token, String problem) throws IOException {
        if (parser.currentToken() != token) {
            throw new SimulatorInputException(problem);
        }
    }
}
