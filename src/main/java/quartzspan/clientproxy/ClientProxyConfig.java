package quartzspan.clientproxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import quartzspan.loadbalancing.LoadBalancer.Settings;
import quartzspan.simulator.SettingsReader;

/**
 * The configuration of a client proxy.
 *
 * @param listen address that clients connect to
 * @param discovery address of the discovery service
 * @param seed seed of the load balancer's random numbers
 * @param settings settings of the load balancer
 * @param zones names of the zones, by number
 * @param kinds names of the machine kinds, by number
 * @param tenants names of the tenants, by number
 * @param maxSockets file descriptors that the process may have open
 * @param dialTimeoutUs time within which a connection must be established
 * @param cachedList the last known endpoint list, possibly outdated; null if there is none
 */
public record ClientProxyConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        Settings settings,
        List<String> zones,
        List<String> kinds,
        List<String> tenants,
        int maxSockets,
        long dialTimeoutUs,
        EndpointList cachedList) {

    /** Descriptors that the program is designed for: a lower configured limit applies, a higher one is ignored. */
    private static final int SUPPORTED_SOCKETS = 1024;

    /**
     * Reads the file that {@code NODE_CONFIG} names.
     *
     * @throws IOException if the file is unreadable or malformed ({@link IllegalArgumentException} for invalid
     *     settings)
     */
    public static ClientProxyConfig load(String path) throws IOException {
        if (path == null) {
            throw new IOException("NODE_CONFIG is not set");
        }
        if (!Files.isReadable(Path.of(path))) {
            throw new IOException("NODE_CONFIG: can't read " + path);
        }
        return parse(Files.readAllBytes(Path.of(path)));
    }

    /**
     * Reads the JSON text of a configuration.
     *
     * @throws IOException if the text is malformed ({@link IllegalArgumentException} for invalid settings)
     */
    public static ClientProxyConfig parse(byte[] json) throws IOException {
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        String seed = null;
        EndpointList cachedList = null;
        int maxSockets = SUPPORTED_SOCKETS;
        SettingsReader settings = null;
        try (JsonParser parser = EndpointList.JSON_FACTORY.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("configuration: must be an object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "listen" -> listen = EndpointList.parseAddress(parser.getText());
                    case "discovery" -> discovery = EndpointList.parseAddress(parser.getText());
                    case "seed" -> seed = parser.getText();
                    case "limits" -> maxSockets = readMaxSockets(parser);
                    case "known" -> cachedList = EndpointList.read(parser);
                    case "settings" -> settings = SettingsReader.read(parser);
                    default -> parser.skipChildren();
                }
            }
        }
        require(listen, "listen");
        require(discovery, "discovery");
        require(settings, "settings");
        require(seed, "seed");
        return new ClientProxyConfig(
                listen,
                discovery,
                parseSeed(seed),
                settings.toSettings(),
                settings.names("azs"),
                settings.names("kinds"),
                settings.tenants(),
                maxSockets,
                settings.dialTimeoutUs(),
                cachedList);
    }

    private static int readMaxSockets(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("configuration: limits must be an object");
        }
        int maxSockets = SUPPORTED_SOCKETS;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean isSockets = parser.currentName().equals("sockets");
            parser.nextToken();
            if (isSockets) {
                maxSockets = Math.min(maxSockets, parser.getIntValue());
            } else {
                parser.skipChildren();
            }
        }
        return maxSockets;
    }

    private static long parseSeed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration: seed must be a number of up to 16 hex digits", e);
        }
    }

    private static void require(Object value, String name) throws IOException {
        if (value == null) {
            throw new IOException("configuration: " + name + " is missing");
        }
    }
}
