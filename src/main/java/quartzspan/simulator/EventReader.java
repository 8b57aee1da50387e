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
    private final JsonParser in;
    private final List<Event> pool = new ArrayList<>();
    private int size;
    /** Three numbers for each group: instance, index of the first event, index after the last event. */
    private int[] groups = new int[48];

    private int groupCount;

    EventReader(JsonParser in) {
        this.in = in;
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

    int endEvent(int group) {
        return groups[3 * group + 2];
    }

    Event event(int index) {
        return pool.get(index);
    }

    void readGroups() throws IOException {
        expect(JsonToken.START_ARRAY, "proxys must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
            readGroup();
        }
        expect(JsonToken.END_ARRAY, "proxys must contain only objects");
    }

    private void readGroup() throws IOException {
        boolean hasNumber = false;
        int number = 0;
        int firstEvent = size;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            if (name.equals("i")) {
                number = in.getIntValue();
                hasNumber = true;
            } else if (name.equals("in")) {
                expect(JsonToken.START_ARRAY, "in must be an array");
                while (in.nextToken() == JsonToken.START_OBJECT) {
                    readEvent();
                }
                expect(JsonToken.END_ARRAY, "in must contain only objects");
            } else {
                in.skipChildren();
            }
        }
        if (!hasNumber) {
            throw new SimulatorInputException("instance has no field i");
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
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "m" -> event.type = in.getText();
                case "xid" -> event.requestId = in.getText();
                case "host" -> event.host = in.getText();
                case "routeKey" -> event.routeKey = in.getText();
                case "outcome" -> event.outcome = in.getText();
                case "how" -> event.discoverySource = in.getText();
                case "budgetUs" -> event.budgetUs = in.getLongValue();
                case "expectedUs" -> event.expectedUs = in.getLongValue();
                case "lagUs" -> event.elapsedUs = in.getLongValue();
                case "rngSeed" -> event.seed = in.getNumberValue().longValue();
                case "bits" -> event.bits = in.getIntValue();
                case "tierClass" -> event.classIndex = in.getIntValue();
                case "customer" -> event.tenant = in.getIntValue();
                case "hop" -> event.attempt = in.getIntValue();
                case "table" -> event.table = in.getIntValue();
                case "complete" -> event.complete = in.getBooleanValue();
                case "rowsIn" -> event.endpoints = readEndpoints();
                case "bootInfo" -> event.settings = SettingsReader.read(in);
                default -> in.skipChildren();
            }
        }
    }

    private List<Endpoint> readEndpoints() throws IOException {
        expect(JsonToken.START_ARRAY, "rowsIn must be an array");
        List<Endpoint> endpoints = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            String host = null;
            int zone = 0;
            int cell = 0;
            double weight = 1;
            int kind = 0;
            long startedAtUs = 0;
            Availability availability = Availability.READY;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "host" -> host = in.getText();
                    case "az" -> zone = in.getIntValue();
                    case "machine" -> kind = in.getIntValue();
                    case "cohort" -> cell = in.getIntValue();
                    case "availability" -> availability = availability(in.getText());
                    case "rating" -> weight = in.getDoubleValue();
                    case "cameUpUs" -> startedAtUs = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
            if (host == null) {
                throw new SimulatorInputException("CATALOG: row has no field host");
            }
            endpoints.add(new Endpoint(host, zone, cell, kind, availability, weight, startedAtUs));
        }
        expect(JsonToken.END_ARRAY, "rowsIn must contain only objects");
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
        if (in.currentToken() != token) {
            throw new SimulatorInputException(problem);
        }
    }
}
