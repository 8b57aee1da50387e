package quartzspan.clientproxy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import quartzspan.loadbalancing.LoadBalancer.Availability;

/** A list of endpoints in discovery's format: the full list or, with {@code full} false, the changed entries. */
record EndpointList(long version, boolean full, List<Entry> entries) {
    static final JsonFactory JSON_FACTORY = new JsonFactory();

    /** One endpoint, with its zone and machine kind by name. */
    record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Availability availability,
            double weight,
            long startedMs) {}

    /** Parses a message of the watch; throws an {@link IOException} unless it is exactly one valid list. */
    static EndpointList parse(byte[] json) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            parser.nextToken();
            EndpointList list = read(parser);
            require(parser.nextToken() == null, "endpoint list is followed by other text");
            return list;
        }
    }

    /** Reads the list object at the parser's current position. */
    static EndpointList read(JsonParser parser) throws IOException {
        require(parser.currentToken() == JsonToken.START_OBJECT, "endpoint list must be a JSON object");
        long version = -1;
        boolean full = false;
        List<Entry> entries = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "version" -> version = parser.getLongValue();
                case "full" -> full = parser.getBooleanValue();
                case "servers" -> entries = readEntries(parser);
                default -> parser.skipChildren();
            }
        }
        require(parser.currentToken() == JsonToken.END_OBJECT, "endpoint list is truncated");
        require(version >= 0, "endpoint list has no field version");
        require(entries != null, "endpoint list has no field servers");
        return new EndpointList(version, full, entries);
    }

    private static List<Entry> readEntries(JsonParser parser) throws IOException {
        require(parser.currentToken() == JsonToken.START_ARRAY, "endpoint list: servers must be an array");
        List<Entry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            entries.add(readEntry(parser));
        }
        require(parser.currentToken() == JsonToken.END_ARRAY, "endpoint list: servers must contain only objects");
        return entries;
    }

    private static Entry readEntry(JsonParser parser) throws IOException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String kind = "";
        int cell = 0;
        Availability availability = null;
        double weight = 1;
        long startedMs = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "id" -> id = parser.getText();
                case "addr" -> address = parseAddress(parser.getText());
                case "zone" -> zone = parser.getText();
                case "kind" -> kind = parser.getText();
                case "cell" -> cell = parser.getIntValue();
                case "state" -> availability = parseAvailability(parser.getText());
                case "weight" -> weight = parser.getDoubleValue();
                case "started_ms" -> startedMs = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        require(
                id != null && address != null && availability != null,
                "endpoint list: a server has no field id, addr or state");
        return new Entry(id, address, zone, kind, cell, availability, weight, startedMs);
    }

    private static Availability parseAvailability(String text) throws IOException {
        return switch (text) {
            case "in_service" -> Availability.READY;
            case "terminating" -> Availability.DRAINING;
            case "terminated" -> Availability.GONE;
            default -> throw new IOException("endpoint list: unknown server state " + text);
        };
    }

    /** Parses a literal IP address and port; accepts no host name: there is no DNS, and a lookup would block the event loop. */
    static InetSocketAddress parseAddress(String text) throws IOException {
        int colon = String.valueOf(text).lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        require(ip != null, "not an IP address and port: " + text);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (IllegalArgumentException e) {
            throw new IOException("not an IP address and port: " + text, e);
        }
    }

    private static void require(boolean valid, String message) throws IOException {
        if (!valid) {
            throw new IOException(message);
        }
    }
}
